//! A client that sends one job at a time, keeps its connection, and waits for the answer.

use crate::http::{request, Conn};
use crate::record::Record;
use crate::worker::result_of;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// A job as a client sends it.
#[derive(Clone)]
pub struct Job {
    pub class: &'static str,
    pub id: String,
    /// The key of a job of a keyed class.
    pub key: Option<String>,
    pub expires_ms: u64,
    /// Running time, which workers read from `X-Size-Hint`.
    pub micros: u64,
}

/// What a client saw of its job.
#[derive(Clone)]
pub struct Outcome {
    pub id: String,
    pub sent_at: f64,
    pub expires_ms: u64,
    /// When the last byte of the answer had come, and its status; `None`: no whole answer.
    pub answer: Option<(f64, u16)>,
    /// The body of an answer 200 is the result that a worker gave for this very job.
    pub own_result: bool,
    /// How the wait ended if there was no answer.
    pub end: &'static str,
}

impl Outcome {
    /// Whether the job was served with something other than the result that a worker gave for it.
    pub fn is_foreign(&self) -> bool {
        self.answer.is_some_and(|(_, status)| status == 200) && !self.own_result
    }
}

pub struct Client {
    addr: SocketAddr,
    conn: Option<Conn>,
    record: Record,
}

impl Client {
    pub fn new(addr: SocketAddr, record: &Record) -> Client {
        Client { addr, conn: None, record: record.clone() }
    }

    /// Sends a job and waits for its answer until `patience_ms` after its time. A connection that is closed
    /// without an answer is followed by one more try on a new connection, as the protocol page says.
    pub fn send(&mut self, job: &Job, patience_ms: u64) -> Outcome {
        let key = match &job.key {
            Some(key) => format!("Idempotency-Key: {key}\r\n"),
            None => String::new(),
        };
        let headers = format!(
            "Host: origin.svc\r\nX-Trace-Id: {}\r\nX-Qos: {}\r\nX-Expires-In: {}m\r\nX-Size-Hint: {}\r\n{key}",
            job.id, job.class, job.expires_ms, job.micros
        );
        let bytes = request(&format!("POST /{}", job.class), &headers, b"work");
        let sent_at = self.record.now();
        let until = Instant::now() + Duration::from_millis(job.expires_ms + patience_ms);
        let mut outcome = Outcome {
            id: job.id.clone(),
            sent_at,
            expires_ms: job.expires_ms,
            answer: None,
            own_result: false,
            end: "never answered",
        };
        for _ in 0..2 {
            let conn = match self.conn.take() {
                Some(conn) => Ok(conn),
                None => Conn::connect(self.addr, Duration::from_secs(5)),
            };
            let Ok(mut conn) = conn else {
                outcome.end = "not connected";
                break;
            };
            let answer = conn.send(&bytes).and_then(|()| conn.read(Some(until)));
            match answer {
                Ok(Some(answer)) => {
                    outcome.answer = Some((self.record.now(), answer.status()));
                    outcome.own_result =
                        answer.status() == 200 && answer.body == result_of(&job.id).as_bytes();
                    outcome.end = "answered";
                    if !answer.closes() {
                        self.conn = Some(conn);
                    }
                    break;
                }
                Ok(None) => outcome.end = "closed without an answer",
                Err(e) if e.kind() == ErrorKind::TimedOut => {
                    outcome.end = "never answered";
                    break;
                }
                Err(_) => outcome.end = "reset without an answer",
            }
        }
        let seen = match outcome.answer {
            Some((at, status)) => {
                format!("answer={status} after={:.0} own={}", at - sent_at, outcome.own_result)
            }
            None => format!("answer=none ({})", outcome.end),
        };
        self.record.line(&format!(
            "client id={} class={} sent={sent_at:.1} expires={} {seen}",
            job.id, job.class, job.expires_ms
        ));
        outcome
    }
}
