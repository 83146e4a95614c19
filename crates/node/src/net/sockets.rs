//! The open connections of an event loop, each under an id that is never given twice.

use crate::clock::Millis;
use crate::connection_id::ConnectionId;
use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use slab::Slab;
use std::io;

/// One connection.
pub struct Socket<R> {
    /// Its stream.
    pub stream: TcpStream,
    /// Its id.
    pub id: ConnectionId,
    /// What it is used for.
    pub role: R,
    /// Its connect has neither succeeded nor failed yet.
    pub is_connecting: bool,
    /// The peer has sent its last byte; what came before it may be unread.
    pub peer_closed: bool,
    /// When to look at it again; infinite: never.
    pub deadline: Millis,
}

/// All open connections. The poll token of a connection is the slot of its id.
pub struct Sockets<R> {
    slots: Slab<Socket<R>>,
    opened: u64,
}

impl<R> Sockets<R> {
    /// None yet.
    pub fn new() -> Self {
        Sockets { slots: Slab::new(), opened: 0 }
    }

    /// Adds a connection and polls it for reading and writing.
    ///
    /// # Errors
    /// It cannot be polled; it is closed then.
    pub fn insert(
        &mut self,
        registry: &Registry,
        mut stream: TcpStream,
        role: R,
        is_connecting: bool,
    ) -> io::Result<ConnectionId> {
        let entry = self.slots.vacant_entry();
        self.opened += 1;
        let id = ConnectionId { slot: entry.key(), serial: self.opened };
        let interest = Interest::READABLE | Interest::WRITABLE;
        registry.register(&mut stream, Token(id.slot), interest)?;
        entry.insert(Socket { stream, id, role, is_connecting, peer_closed: false, deadline: f64::INFINITY });
        Ok(id)
    }

    /// A connection, if it is still open.
    pub fn get(&self, id: ConnectionId) -> Option<&Socket<R>> {
        self.slots.get(id.slot).filter(|socket| socket.id == id)
    }

    /// A connection, if it is still open.
    pub fn get_mut(&mut self, id: ConnectionId) -> Option<&mut Socket<R>> {
        self.slots.get_mut(id.slot).filter(|socket| socket.id == id)
    }

    /// The connection that a poll token names, if it is still open.
    pub fn at_token(&self, token: Token) -> Option<&Socket<R>> {
        self.slots.get(token.0)
    }

    /// The connection that a poll token names, if it is still open.
    pub fn at_token_mut(&mut self, token: Token) -> Option<&mut Socket<R>> {
        self.slots.get_mut(token.0)
    }

    /// Removes a connection, if it is still open, and polls it no more; it closes when the result is dropped.
    pub fn remove(&mut self, registry: &Registry, id: ConnectionId) -> Option<Socket<R>> {
        self.get(id)?;
        let mut socket = self.slots.remove(id.slot);
        let _ = registry.deregister(&mut socket.stream); // closing it does the same
        Some(socket)
    }

    /// All open connections, in the order of their slots.
    pub fn iter(&self) -> impl Iterator<Item = &Socket<R>> {
        self.slots.iter().map(|(_, socket)| socket)
    }

    /// The ids of all open connections that match, in the order of their slots.
    pub fn ids(&self, matches: impl Fn(&Socket<R>) -> bool) -> Vec<ConnectionId> {
        self.iter().filter(|socket| matches(socket)).map(|socket| socket.id).collect()
    }

    /// How many are open.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// How many were opened since the start.
    pub fn opened(&self) -> u64 {
        self.opened
    }
}
