//! Accepting connections.

use mio::net::{TcpListener, TcpStream};
use std::io::{self, ErrorKind};

/// What one accept brought.
pub enum Accepted {
    /// A connection that does not block.
    Connection(TcpStream),
    /// No further connection is waiting.
    NoneWaiting,
    /// Only this attempt failed, such as for a client that has left meanwhile; another may be waiting.
    Retry,
    /// No connection can be accepted now, such as for want of descriptors.
    Failed(io::Error),
}

/// Accepts one connection, if one is waiting.
pub fn accept(listener: &TcpListener) -> Accepted {
    match listener.accept() {
        Ok((stream, _)) => Accepted::Connection(stream),
        Err(e) => match e.kind() {
            ErrorKind::WouldBlock => Accepted::NoneWaiting,
            ErrorKind::Interrupted | ErrorKind::ConnectionAborted => Accepted::Retry,
            _ => Accepted::Failed(e),
        },
    }
}
