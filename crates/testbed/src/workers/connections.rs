//! The connections of workers from schedulers.

use super::Worker;
use crate::journal::Observation;
use crate::wire::{self, Connection, StartLine};
use socket2::SockRef;
use std::sync::Arc;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Length of the queue of connections that a worker has not accepted.
const BACKLOG: i32 = 1024;
/// End of the status line of an answer.
const STATUS_LINE_END: &[u8] = b"\r\n";

impl Worker {
    /// Starts or stops holding back new connections. Those that are begun meanwhile are established when the
    /// system retries the handshake, about a second after the first try.
    pub fn hold_new_connections(&self, is_held: bool) {
        self.holds.send_replace(is_held);
    }

    /// Accepts no connection until they are no longer held back. The queue has room for one, which a
    /// connection of its own takes.
    async fn hold_connections(&self, listener: &TcpListener, holds: &mut watch::Receiver<bool>) {
        let _ = SockRef::from(listener).listen(0); // fails only for sockets that do not listen
        let filler = match listener.local_addr() {
            Ok(addr) => TcpStream::connect(addr).await.ok(),
            Err(_) => None,
        };
        let _ = holds.wait_for(|is_held| !is_held).await;
        let _ = SockRef::from(listener).listen(BACKLOG);
        drop(filler);
    }

    /// Accepts and serves the connections of a scheduler, except while connections are held back.
    pub(super) async fn listen(self: Arc<Worker>, scheduler: usize, listener: TcpListener) {
        let mut holds = self.holds.subscribe();
        loop {
            if *holds.borrow_and_update() {
                self.hold_connections(&listener, &mut holds).await;
            }
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = holds.changed() => continue,
            };
            let Ok((stream, _)) = accepted else { return };
            let (is_down, process) = {
                let state = self.state();
                (state.faults.is_down, state.process)
            };
            if is_down {
                continue; // dropping the stream closes the connection
            }
            let (worker, mut processes) = (self.clone(), self.processes.subscribe());
            tokio::spawn(async move {
                tokio::select! {
                    _ = worker.serve(scheduler, Connection::new(stream)) => {}
                    _ = processes.wait_for(|current| *current != process) => {}
                }
            });
        }
    }

    async fn serve(&self, scheduler: usize, mut connection: Connection) {
        while let Ok(Some(message)) = connection.message().await {
            let StartLine::Request(method, path) = &message.line else { return };
            let answer = match (method.as_str(), path.as_str()) {
                ("POST", _) => match self.receive_job(scheduler, &message) {
                    Some(answer) => answer,
                    None => return,
                },
                ("DELETE", path) => {
                    let id = path.strip_prefix("/jobs/").unwrap_or("");
                    self.journal
                        .record(Observation::AttemptCancelled { job: id.into(), worker: self.number });
                    self.state().machine.cancel(id);
                    wire::response(200, &[], b"")
                }
                ("GET", "/metrics/load") => {
                    let report = self.load_report();
                    wire::response(200, &[], format!("TEXT {report}").as_bytes())
                }
                ("GET", "/alive") => wire::response(200, &[], b""),
                _ => wire::response(404, &[], b""),
            };
            let is_closing = self.state().faults.closes_connections;
            let answer = if is_closing { with_connection_close(&answer) } else { answer };
            if connection.send(&answer).await.is_err() || is_closing {
                return;
            }
        }
    }
}

/// Adds the header that announces the end of the connection to an answer.
fn with_connection_close(answer: &[u8]) -> Vec<u8> {
    let line_end = answer.windows(STATUS_LINE_END.len()).position(|part| part == STATUS_LINE_END);
    let head_start = line_end.map_or(answer.len(), |at| at + STATUS_LINE_END.len());
    let (status_line, rest) = answer.split_at(head_start);
    [status_line, b"Connection: close\r\n", rest].concat()
}
