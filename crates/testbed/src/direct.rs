//! Stand-in workers that answer requests themselves, and a client for them: what an imported setup is run against.

use crate::wire::{self, Line, Wire};
use anyhow::{bail, Result};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// How a stand-in answers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Manner {
    /// With 200 and its name.
    #[default]
    Well,
    /// With this status.
    Status(u16),
    /// It reads the request and breaks off.
    Breaks,
    /// It breaks off in the middle of its answer.
    BreaksInAnswer,
    /// It reads the request and says nothing.
    Silent,
    /// It takes no connections.
    Closed,
}

/// A request that came to a stand-in.
#[derive(Clone, Debug, PartialEq)]
pub struct Came {
    /// Its method and target.
    pub line: String,
    /// Its headers.
    pub headers: Vec<(String, String)>,
    /// The length of its body.
    pub body: usize,
}

struct Inside {
    manner: Manner,
    delay: Duration,
    came: Vec<Came>,
}

/// A worker that answers requests itself.
#[derive(Clone)]
pub struct Standin {
    /// Its name, which it answers with.
    pub name: String,
    /// Where it listens.
    pub addr: SocketAddr,
    inside: Arc<Mutex<Inside>>,
}

impl Standin {
    /// Starts one on loopback.
    ///
    /// # Errors
    /// There is no address.
    pub async fn start(name: &str, delay: Duration) -> Result<Standin> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let inside = Inside { manner: Manner::Well, delay, came: Vec::new() };
        let new =
            Standin { name: name.into(), addr: listener.local_addr()?, inside: Arc::new(Mutex::new(inside)) };
        let served = new.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                if served.inside().manner == Manner::Closed {
                    continue; // it ends here
                }
                let one = served.clone();
                tokio::spawn(async move { one.serve(Wire::new(stream)).await });
            }
        });
        Ok(new)
    }

    fn inside(&self) -> MutexGuard<'_, Inside> {
        match self.inside.lock() {
            Ok(inside) => inside,
            Err(poisoned) => poisoned.into_inner(), // a panic elsewhere; the test fails by that
        }
    }

    /// Changes how it answers.
    pub fn behave(&self, manner: Manner) {
        self.inside().manner = manner;
    }

    /// All that came so far; it forgets that.
    pub fn came(&self) -> Vec<Came> {
        std::mem::take(&mut self.inside().came)
    }

    async fn serve(&self, mut wire: Wire) {
        while let Ok(Some(message)) = wire.message().await {
            let Line::Request(method, target) = &message.line else { return };
            let came = Came {
                line: format!("{method} {target}"),
                headers: message.headers.clone(),
                body: message.body.len(),
            };
            let (manner, delay) = {
                let mut inside = self.inside();
                inside.came.push(came);
                (inside.manner, inside.delay)
            };
            if !delay.is_zero() {
                tokio::time::sleep(delay).await;
            }
            let headers = [("X-Worker", self.name.as_str())];
            let body = if method == "HEAD" { "" } else { self.name.as_str() };
            let answer = match manner {
                Manner::Well => wire::answer(200, &headers, body.as_bytes()),
                Manner::Status(status) => wire::answer(status, &headers, body.as_bytes()),
                Manner::BreaksInAnswer => {
                    let whole = wire::answer(200, &headers, &[b'x'; 1000]);
                    let _ = wire.send(&whole[..whole.len() - 500]).await; // it ends either way
                    return;
                }
                Manner::Silent => {
                    wire.closed().await;
                    return;
                }
                Manner::Breaks | Manner::Closed => return,
            };
            if wire.send(&answer).await.is_err() {
                return;
            }
        }
    }
}

/// A client on one connection, opened again when it ends.
pub struct Client {
    addr: SocketAddr,
    wire: Option<Wire>,
}

impl Client {
    /// Of the scheduler at this address.
    pub fn new(addr: SocketAddr) -> Client {
        Client { addr, wire: None }
    }

    /// Sends a request and reads its answer.
    ///
    /// # Errors
    /// The connection ends before the answer is whole.
    pub async fn ask(&mut self, line: &str, headers: &[(&str, &str)], body: &[u8]) -> Result<wire::Message> {
        for again in [self.wire.is_some(), false] {
            let mut wire = match self.wire.take() {
                Some(wire) => wire,
                None => Wire::new(TcpStream::connect(self.addr).await?),
            };
            let request = wire::message(&format!("{line} HTTP/1.1\r\n"), headers, body);
            let answer = match wire.send(&request).await {
                Ok(()) => tokio::time::timeout(Duration::from_secs(20), wire.message()).await?,
                Err(e) => Err(e),
            };
            match answer {
                Ok(Some(message)) => {
                    let extra = wire.surplus();
                    if extra > 0 {
                        bail!("{extra} bytes come after an answer");
                    }
                    if !message.closes() {
                        self.wire = Some(wire);
                    }
                    return Ok(message);
                }
                Ok(None) if again => {}
                Ok(None) => bail!("the connection ends without an answer"),
                Err(e) => return Err(e.into()),
            }
        }
        bail!("no connection stays open")
    }
}
