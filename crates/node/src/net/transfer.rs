//! Reads, writes and connects on non-blocking sockets.

use crate::http::WriteBuffer;
use mio::net::TcpStream;
use std::io::{ErrorKind, Read, Write};

/// Result of one read.
pub enum ReadResult {
    /// This number of bytes was read.
    Received(usize),
    /// No bytes are available for now.
    WouldBlock,
    /// The peer has closed its sending direction.
    Closed,
    /// The connection has failed.
    Failed,
}

/// Reads once, and retries if a signal interrupts the read.
pub fn read(stream: &mut impl Read, buffer: &mut [u8]) -> ReadResult {
    loop {
        match stream.read(buffer) {
            Ok(0) => return ReadResult::Closed,
            Ok(length) => return ReadResult::Received(length),
            Err(e) if e.kind() == ErrorKind::WouldBlock => return ReadResult::WouldBlock,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(_) => return ReadResult::Failed,
        }
    }
}

/// Returns whether a read would not block: there are unread bytes, the peer has closed its sending direction,
/// or the connection has failed.
pub fn is_readable(stream: &TcpStream) -> bool {
    loop {
        match stream.peek(&mut [0]) {
            Err(e) if e.kind() == ErrorKind::WouldBlock => return false,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Ok(_) | Err(_) => return true,
        }
    }
}

/// Result of one write.
pub enum WriteResult {
    /// This number of bytes was written and removed from the write buffer.
    Written(usize),
    /// The socket accepts no bytes for now.
    WouldBlock,
    /// The connection has failed.
    Failed,
}

/// Writes as much of a write buffer as one write accepts, and retries if a signal interrupts the write.
pub fn write(stream: &mut impl Write, write_buffer: &mut WriteBuffer) -> WriteResult {
    loop {
        match stream.write(write_buffer.unsent()) {
            Ok(length) => {
                write_buffer.mark_sent(length);
                return WriteResult::Written(length);
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => return WriteResult::WouldBlock,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(_) => return WriteResult::Failed,
        }
    }
}

/// Progress of a connect.
pub enum ConnectProgress {
    /// The connection is established.
    Connected,
    /// The connect is still in progress.
    Pending,
    /// The connect has failed.
    Failed,
}

/// Returns the progress of a connect.
pub fn connect_progress(stream: &TcpStream) -> ConnectProgress {
    if let Ok(Some(_)) | Err(_) = stream.take_error() {
        return ConnectProgress::Failed;
    }
    match stream.peer_addr() {
        Ok(_) => ConnectProgress::Connected,
        Err(e) if e.kind() == ErrorKind::NotConnected => ConnectProgress::Pending,
        Err(_) => ConnectProgress::Failed,
    }
}
