//! Names and signatures that callers outside this package still use. Each only calls what replaces it; this module
//! goes when they have changed.

use crate::{Framing, Head, MessageReader, ParseError, Piece, ResponseConnection, ResponseHead};
use crate::{Routes, StickySessions};
use postusher_setup::Pool;

/// The status with which a request that is none is answered. [`ParseError`] replaces it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Wrong(pub u16);

impl From<ParseError> for Wrong {
    fn from(error: ParseError) -> Wrong {
        Wrong(error.status())
    }
}

impl MessageReader {
    /// [`MessageReader::for_requests`] or [`MessageReader::for_responses`].
    pub fn new(requests: bool) -> MessageReader {
        if requests {
            MessageReader::for_requests()
        } else {
            MessageReader::for_responses()
        }
    }

    /// [`MessageReader::next_piece`].
    ///
    /// # Errors
    /// What arrived is no message.
    pub fn piece(&mut self) -> Result<Option<Piece>, Wrong> {
        self.next_piece().map_err(Wrong::from)
    }

    /// [`MessageReader::end_of_input`].
    pub fn closed(&mut self) -> bool {
        self.end_of_input()
    }
}

impl Head {
    /// [`Head::values`].
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> + 'a {
        self.values(name)
    }

    /// [`Head::expects_continue`].
    pub fn expects(&self) -> bool {
        self.expects_continue()
    }
}

/// [`ResponseHead::new`].
pub fn response_head(head: &Head, modern: bool, headless: bool, keep: bool) -> (Vec<u8>, Framing, bool) {
    let connection =
        ResponseConnection { client_is_modern: modern, is_head_request: headless, keep_open: keep };
    let response = ResponseHead::new(head, connection);
    (response.bytes, response.framing, response.keep_open)
}

impl Routes {
    /// [`Routes::find_route`].
    pub fn find(&self, host: &str, target: &str) -> Option<(usize, String)> {
        let found = self.find_route(host, target)?;
        Some((found.pool, found.target))
    }
}

impl StickySessions {
    /// [`StickySessions::reconfigure`].
    pub fn again(&mut self, pool: &Pool, now: f64) {
        self.reconfigure(pool, now);
    }

    /// [`StickySessions::update_rotation`].
    pub fn turn(&mut self, now: f64) -> bool {
        self.update_rotation(now)
    }

    /// [`StickySessions::record_sent`].
    pub fn sent(&mut self, proposed: usize, worker: usize) {
        self.record_sent(proposed, worker);
    }

    /// [`StickySessions::withdraw_proposal`].
    pub fn undone(&mut self, proposed: usize) {
        self.withdraw_proposal(proposed);
    }

    /// [`StickySessions::record_failure`].
    pub fn failed(&mut self, worker: usize, now: f64) {
        self.record_failure(worker, now);
    }

    /// [`StickySessions::record_answer`].
    pub fn answered(&mut self, worker: usize) {
        self.record_answer(worker);
    }

    /// [`StickySessions::next_retry_at`].
    pub fn next_due(&self) -> Option<f64> {
        self.next_retry_at()
    }
}
