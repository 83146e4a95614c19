//! Mock workers of direct pools, which answer HTTP requests themselves, and a client of the scheduler in
//! front of them.

use crate::wire::{self, Connection, StartLine};
use anyhow::{bail, Result};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// How a mock worker handles requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Behavior {
    /// Answers with 200 and the worker's name.
    #[default]
    Answer,
    /// Answers with this status.
    Status(u16),
    /// Reads the request and closes the connection.
    Disconnect,
    /// Closes the connection in the middle of the answer.
    DisconnectInAnswer,
    /// Reads the request and sends nothing.
    Silent,
    /// Closes each new connection at once.
    RefuseConnections,
}

/// A request that a mock worker has received.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedRequest {
    /// The method and the target.
    pub line: String,
    /// The headers.
    pub headers: Vec<(String, String)>,
    /// The length of the body, in bytes.
    pub body_length: usize,
}

struct State {
    behavior: Behavior,
    delay: Duration,
    requests: Vec<ReceivedRequest>,
}

/// A mock worker that answers requests itself.
#[derive(Clone)]
pub struct MockWorker {
    /// The name, which is the body of its answers.
    pub name: String,
    /// The listen address.
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl MockWorker {
    /// Starts a worker on the loopback interface.
    ///
    /// # Errors
    /// Returns an error if the operating system has no free address.
    pub async fn start(name: &str, delay: Duration) -> Result<MockWorker> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let state = State { behavior: Behavior::Answer, delay, requests: Vec::new() };
        let worker = MockWorker {
            name: name.into(),
            addr: listener.local_addr()?,
            state: Arc::new(Mutex::new(state)),
        };
        let listening_worker = worker.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                if listening_worker.state().behavior == Behavior::RefuseConnections {
                    continue; // dropping the stream closes the connection
                }
                let worker = listening_worker.clone();
                tokio::spawn(async move { worker.serve(Connection::new(stream)).await });
            }
        });
        Ok(worker)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        match self.state.lock() {
            Ok(state) => state,
            Err(poisoned) => poisoned.into_inner(), // the panic of the other task fails the test
        }
    }

    /// Changes how the worker handles requests.
    pub fn set_behavior(&self, behavior: Behavior) {
        self.state().behavior = behavior;
    }

    /// Returns the requests received since the last call.
    pub fn take_requests(&self) -> Vec<ReceivedRequest> {
        std::mem::take(&mut self.state().requests)
    }

    async fn serve(&self, mut connection: Connection) {
        while let Ok(Some(message)) = connection.message().await {
            let StartLine::Request(method, target) = &message.line else { return };
            let request = ReceivedRequest {
                line: format!("{method} {target}"),
                headers: message.headers.clone(),
                body_length: message.body.len(),
            };
            let (behavior, delay) = {
                let mut state = self.state();
                state.requests.push(request);
                (state.behavior, state.delay)
            };
            if !delay.is_zero() {
                tokio::time::sleep(delay).await;
            }
            let headers = [("X-Worker", self.name.as_str())];
            let body = if method == "HEAD" { "" } else { self.name.as_str() };
            let answer = match behavior {
                Behavior::Answer => wire::response(200, &headers, body.as_bytes()),
                Behavior::Status(status) => wire::response(status, &headers, body.as_bytes()),
                Behavior::DisconnectInAnswer => {
                    let whole = wire::response(200, &headers, &[b'x'; 1000]);
                    // The connection is closed whether or not this succeeds.
                    let _ = connection.send(&whole[..whole.len() - 500]).await;
                    return;
                }
                Behavior::Silent => {
                    connection.wait_until_closed().await;
                    return;
                }
                Behavior::Disconnect | Behavior::RefuseConnections => return,
            };
            if connection.send(&answer).await.is_err() {
                return;
            }
        }
    }
}

/// A client with one connection, which is replaced when it ends.
pub struct Client {
    addr: SocketAddr,
    connection: Option<Connection>,
}

impl Client {
    /// Creates a client of the scheduler at the given address.
    pub fn new(addr: SocketAddr) -> Client {
        Client { addr, connection: None }
    }

    /// Sends a request, with its method and target in `line`, and reads its answer. If the scheduler closes a
    /// reused connection without an answer, the request is sent again on a new one.
    ///
    /// # Errors
    /// Returns an error if no connection can be opened, if the connection fails or ends before the answer is
    /// complete, if there is no answer within 20 s, or if more bytes follow the answer.
    pub async fn request(
        &mut self,
        line: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> Result<wire::Message> {
        for may_retry in [self.connection.is_some(), false] {
            let mut connection = match self.connection.take() {
                Some(connection) => connection,
                None => Connection::new(TcpStream::connect(self.addr).await?),
            };
            let request = wire::message(&format!("{line} HTTP/1.1\r\n"), headers, body);
            let answer = match connection.send(&request).await {
                Ok(()) => tokio::time::timeout(Duration::from_secs(20), connection.message()).await?,
                Err(e) => Err(e),
            };
            match answer {
                Ok(Some(message)) => {
                    let extra = connection.unexpected_bytes();
                    if extra > 0 {
                        bail!("{extra} unexpected bytes after the answer to {line:?}");
                    }
                    if !message.closes() {
                        self.connection = Some(connection);
                    }
                    return Ok(message);
                }
                Ok(None) if may_retry => {}
                Ok(None) => bail!("{} closed the connection without an answer to {line:?}", self.addr),
                Err(e) => return Err(e.into()),
            }
        }
        bail!("{} closed each connection without an answer to {line:?}", self.addr)
    }
}
