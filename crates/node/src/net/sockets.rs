//! The open TCP connections of an event loop, each with an id that is never reused, and their deadlines.

use crate::clock::Millis;
use crate::connection_id::ConnectionId;
use crate::timers::{TimerId, Timers};
use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use slab::Slab;
use std::io;

/// An open TCP connection.
pub struct Socket<R> {
    /// The TCP stream.
    pub stream: TcpStream,
    /// The id of the connection.
    pub id: ConnectionId,
    /// What the event loop uses the connection for, with the protocol state.
    pub role: R,
    /// The connect is still in progress.
    pub is_connecting: bool,
    /// The peer has closed its sending direction; earlier bytes may still be unread.
    pub peer_closed: bool,
    /// A write has failed, so nothing more is written; bytes that the peer sent before may still be unread.
    pub has_failed_write: bool,
    /// Memory that the connection holds, in bytes; see [`Sockets::set_held_bytes`].
    held_bytes: usize,
    /// Time at which the connection is checked for a timeout; infinity means never.
    deadline: Millis,
    /// The timer for the deadline; `None` if it has expired or the deadline is infinite.
    timer: Option<TimerId>,
}

impl<R> Socket<R> {
    /// Returns whether bytes can be written to the connection.
    pub fn can_write(&self) -> bool {
        !self.is_connecting && !self.has_failed_write
    }

    /// Returns the memory that the connection holds, in bytes; see [`Sockets::set_held_bytes`].
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Returns the time at which the connection is checked for a timeout; infinity means never.
    pub fn deadline(&self) -> Millis {
        self.deadline
    }
}

/// All open connections. The poll token of a connection is the slot of its id. Each connection has at most
/// one timer.
pub struct Sockets<R> {
    slots: Slab<Socket<R>>,
    timers: Timers<ConnectionId>,
    /// Sum of the memory that the open connections hold, in bytes.
    held_bytes: usize,
    /// Number of connections opened since the start, which is also the serial number of the last one.
    opened_count: u64,
}

impl<R> Sockets<R> {
    /// Creates an empty collection.
    pub fn new() -> Self {
        Sockets { slots: Slab::new(), timers: Timers::new(), held_bytes: 0, opened_count: 0 }
    }

    /// Adds a connection and registers it for reading and writing.
    ///
    /// # Errors
    /// The connection cannot be registered for polling; it is then closed.
    pub fn insert(
        &mut self,
        registry: &Registry,
        mut stream: TcpStream,
        role: R,
        is_connecting: bool,
    ) -> io::Result<ConnectionId> {
        let entry = self.slots.vacant_entry();
        self.opened_count += 1;
        let id = ConnectionId { slot: entry.key(), serial: self.opened_count };
        let interest = Interest::READABLE | Interest::WRITABLE;
        registry.register(&mut stream, Token(id.slot), interest)?;
        entry.insert(Socket {
            stream,
            id,
            role,
            is_connecting,
            peer_closed: false,
            has_failed_write: false,
            held_bytes: 0,
            deadline: f64::INFINITY,
            timer: None,
        });
        Ok(id)
    }

    /// Returns a connection if it is still open.
    pub fn get(&self, id: ConnectionId) -> Option<&Socket<R>> {
        self.slots.get(id.slot).filter(|socket| socket.id == id)
    }

    /// Returns a connection if it is still open.
    pub fn get_mut(&mut self, id: ConnectionId) -> Option<&mut Socket<R>> {
        self.slots.get_mut(id.slot).filter(|socket| socket.id == id)
    }

    /// Returns whether a write to an open connection has failed.
    pub fn has_failed_write(&self, id: ConnectionId) -> bool {
        self.get(id).is_some_and(|socket| socket.has_failed_write)
    }

    /// Returns the connection with the given poll token, if it is still open.
    pub fn at_token(&self, token: Token) -> Option<&Socket<R>> {
        self.slots.get(token.0)
    }

    /// Returns the connection with the given poll token, if it is still open.
    pub fn at_token_mut(&mut self, token: Token) -> Option<&mut Socket<R>> {
        self.slots.get_mut(token.0)
    }

    /// Removes and deregisters a connection if it is still open. The connection closes when the returned
    /// socket is dropped.
    pub fn remove(&mut self, registry: &Registry, id: ConnectionId) -> Option<Socket<R>> {
        self.get(id)?;
        let mut socket = self.slots.remove(id.slot);
        self.held_bytes -= socket.held_bytes;
        let _ = registry.deregister(&mut socket.stream); // closing the stream also deregisters it
        if let Some(timer) = socket.timer.take() {
            self.timers.cancel(timer);
        }
        Some(socket)
    }

    /// Sets the time at which a connection is checked for a timeout; infinity means that it is never checked.
    /// Replaces its earlier deadline. Has no effect if the connection is closed.
    pub fn set_deadline(&mut self, id: ConnectionId, deadline: Millis) {
        let Some(socket) = self.slots.get_mut(id.slot).filter(|socket| socket.id == id) else { return };
        if let Some(timer) = socket.timer.take() {
            self.timers.cancel(timer);
        }
        socket.deadline = deadline;
        if deadline.is_finite() {
            socket.timer = Some(self.timers.set(deadline, id));
        }
    }

    /// Records the memory that a connection holds for its protocol state. Has no effect if the connection is
    /// closed.
    pub fn set_held_bytes(&mut self, id: ConnectionId, bytes: usize) {
        let Some(socket) = self.slots.get_mut(id.slot).filter(|socket| socket.id == id) else { return };
        self.held_bytes = self.held_bytes - socket.held_bytes + bytes;
        socket.held_bytes = bytes;
    }

    /// Returns the sum of the memory that the open connections hold, in bytes.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Returns the time of the earliest deadline that has not expired; `None` if there is none.
    pub fn next_deadline(&self) -> Option<Millis> {
        self.timers.next_expiry()
    }

    /// Returns the next connection whose deadline has expired, once for each deadline; `None` if there is
    /// none.
    pub fn pop_expired(&mut self, now: Millis) -> Option<ConnectionId> {
        let id = self.timers.pop_expired(now)?;
        if let Some(socket) = self.get_mut(id) {
            socket.timer = None;
        }
        Some(id)
    }

    /// Returns the number of pending timers.
    pub fn timer_count(&self) -> usize {
        self.timers.len()
    }

    /// Iterates over all open connections, in the order of their slots.
    pub fn iter(&self) -> impl Iterator<Item = &Socket<R>> {
        self.slots.iter().map(|(_, socket)| socket)
    }

    /// Returns the ids of all matching open connections, in the order of their slots.
    pub fn ids(&self, matches: impl Fn(&Socket<R>) -> bool) -> Vec<ConnectionId> {
        self.iter().filter(|socket| matches(socket)).map(|socket| socket.id).collect()
    }

    /// Returns the number of open connections.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Returns the number of connections opened since the start.
    pub fn opened_count(&self) -> u64 {
        self.opened_count
    }
}
