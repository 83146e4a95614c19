//! Message stream between the two processes of an upgrade.

use super::Message;
use crate::http::WriteBuffer;

/// Maximum number of bytes that are queued for the other process, or received from it without the end of a
/// line.
pub(super) const MAX_QUEUED_BYTES: usize = 16 * 1024 * 1024;

/// Message stream to and from the other process. Does not use the socket itself.
#[derive(Default)]
pub struct Link {
    /// Received bytes of a message that is not complete.
    inbox: Vec<u8>,
    /// Messages that have not been written to the socket yet.
    pub write_buffer: WriteBuffer,
}

impl Link {
    /// Queues a message for sending.
    pub fn send(&mut self, message: &Message) {
        match serde_json::to_vec(message) {
            Ok(line) => self.write_buffer.append(&[&line, &b"\n"[..]].concat()),
            Err(error) => log::error!("upgrade message not written: message={message:?} error={error}"),
        }
    }

    /// Processes received bytes and returns the messages that are complete. A message that cannot be parsed
    /// is skipped, as the other process may be of another version.
    pub fn receive(&mut self, bytes: &[u8]) -> Vec<Message> {
        self.inbox.extend_from_slice(bytes);
        let Some(end) = self.inbox.iter().rposition(|byte| *byte == b'\n') else { return Vec::new() };
        let rest = self.inbox.split_off(end + 1);
        let lines = std::mem::replace(&mut self.inbox, rest);
        let mut messages = Vec::new();
        for line in lines.split(|byte| *byte == b'\n').filter(|line| !line.is_empty()) {
            match serde_json::from_slice(line) {
                Ok(message) => messages.push(message),
                Err(error) => log::warn!("upgrade message not read: error={error}"),
            }
        }
        messages
    }

    /// Returns whether too many bytes are queued for sending, because the other process has stopped reading.
    pub fn is_write_stuck(&self) -> bool {
        self.write_buffer.unsent().len() > MAX_QUEUED_BYTES
    }

    /// Returns whether the other process has sent too many bytes without the end of a line.
    pub fn is_message_too_long(&self) -> bool {
        self.inbox.len() > MAX_QUEUED_BYTES
    }
}
