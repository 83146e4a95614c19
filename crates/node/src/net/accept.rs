//! Accepting connections from a listener.

use mio::net::{TcpListener, TcpStream};
use std::io::{self, ErrorKind};

/// Result of one accept.
pub enum AcceptResult {
    /// A non-blocking connection.
    Connection(TcpStream),
    /// No connection is waiting.
    NoneWaiting,
    /// This accept failed, for example because the client has already disconnected, but another connection
    /// may be waiting.
    Retry,
    /// No connection can be accepted now, for example because no descriptor is available.
    Failed(io::Error),
}

/// Accepts one connection, if one is waiting.
pub fn accept(listener: &TcpListener) -> AcceptResult {
    match listener.accept() {
        Ok((stream, _)) => AcceptResult::Connection(stream),
        Err(e) => match e.kind() {
            ErrorKind::WouldBlock => AcceptResult::NoneWaiting,
            ErrorKind::Interrupted | ErrorKind::ConnectionAborted => AcceptResult::Retry,
            _ => AcceptResult::Failed(e),
        },
    }
}
