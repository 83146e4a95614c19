//! The part of a predecessor in an upgrade, played by a test: it hands a scheduler its client listener, and
//! migrates client connections to it.

use super::harness::{free_address_on, listen, write_config, Scheduler};
use rustix::net::{sendmsg, SendAncillaryBuffer, SendAncillaryMessage, SendFlags};
use serde_json::{json, Value};
use std::io::{IoSlice, Write};
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::{AsFd, BorrowedFd};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};

/// A predecessor, with the listener that it hands over.
pub struct Predecessor {
    /// Path of the upgrade socket at which the successor finds it.
    socket_path: PathBuf,
    upgrade_socket: UnixListener,
    listener: TcpListener,
}

/// The predecessor's end of the link to its successor.
pub struct SuccessorLink {
    stream: UnixStream,
}

impl Predecessor {
    /// Listens for clients and for a successor at a free address on 127.77.0.`host`, which no other test may
    /// use.
    pub fn listen(host: u8) -> Predecessor {
        let addr = free_address_on([127, 77, 0, host]);
        let name = format!("postusher-{}-{}.sock", addr.ip(), addr.port());
        let socket_path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        let _ = std::fs::remove_file(&socket_path); // an earlier run may have left it
        let upgrade_socket = UnixListener::bind(&socket_path).unwrap();
        Predecessor { socket_path, upgrade_socket, listener: TcpListener::bind(addr).unwrap() }
    }

    /// Starts a successor and hands it the client listener and the trace ids of the jobs that are open here.
    pub fn start_successor(&self, name: &str, open_jobs: &[&str]) -> (Scheduler, SuccessorLink) {
        self.start_successor_with(name, open_jobs, &[])
    }

    /// Like `start_successor`, with further messages that arrive together with the end of the state.
    pub fn start_successor_with(
        &self,
        name: &str,
        open_jobs: &[&str],
        messages: &[Value],
    ) -> (Scheduler, SuccessorLink) {
        let worker_listener = listen();
        let discovery_listener = listen();
        let discovery_addr = discovery_listener.local_addr().unwrap();
        let config = write_config(name, discovery_addr, worker_listener.local_addr().unwrap(), 1);
        let text = std::fs::read_to_string(&config).unwrap();
        let text = text.replacen("127.0.0.1:0", &self.addr().to_string(), 1);
        std::fs::write(&config, text).unwrap();
        // The successor is ready for the test only once it has the state, so another thread sends it.
        std::thread::scope(|scope| {
            let link = scope.spawn(|| self.send_state(open_jobs, messages));
            let scheduler = Scheduler::launch(config, None, worker_listener, discovery_listener);
            (scheduler, link.join().unwrap())
        })
    }

    fn addr(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }

    fn send_state(&self, open_jobs: &[&str], messages: &[Value]) -> SuccessorLink {
        let link = SuccessorLink { stream: self.upgrade_socket.accept().unwrap().0 };
        let state = json!({"state": {"taken_out": [], "drained": false, "open": open_jobs}});
        let lines: String = messages.iter().map(|message| format!("{message}\n")).collect();
        link.send_text_with_descriptor(&format!("{state}\n{lines}"), self.listener.as_fd());
        link
    }

    /// Opens a client connection to the predecessor; returns the client's and the predecessor's end.
    pub fn accept_client(&self) -> (TcpStream, TcpStream) {
        let client = TcpStream::connect(self.addr()).unwrap();
        (client, self.listener.accept().unwrap().0)
    }
}

impl Drop for Predecessor {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.socket_path); // the successor has replaced or removed it
    }
}

impl SuccessorLink {
    fn send_with_descriptor(&self, message: &Value, descriptor: BorrowedFd) {
        self.send_text_with_descriptor(&format!("{message}\n"), descriptor);
    }

    fn send_text_with_descriptor(&self, line: &str, descriptor: BorrowedFd) {
        let descriptors = [descriptor];
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut ancillary = SendAncillaryBuffer::new(&mut space);
        ancillary.push(SendAncillaryMessage::ScmRights(&descriptors));
        let slices = [IoSlice::new(line.as_bytes())];
        let sent = sendmsg(&self.stream, &slices, &mut ancillary, SendFlags::NOSIGNAL).unwrap();
        assert_eq!(sent, line.len());
    }

    /// Migrates a client connection, with the job that its client waits for, if there is one.
    pub fn migrate(&self, connection: TcpStream, job: Option<Value>) {
        let migrated = json!({"moved": {"age": 10.0, "has_served": true, "job": job}});
        self.send_with_descriptor(&migrated, connection.as_fd());
    }

    /// Returns whether the successor accepts no more messages.
    pub fn is_closed(&mut self) -> bool {
        self.stream.write_all(b"\n").is_err()
    }
}

/// Returns a job in the form in which it migrates. Its worker `s-1` has accepted the only attempt.
pub fn migrated_job(trace_id: &str) -> Value {
    let request = format!(
        "POST /render/x?y=1 HTTP/1.1\r\nX-Trace-Id: {trace_id}\r\nX-Qos: render\r\nX-Expires-In: 20000m\r\n\
         Content-Length: 2\r\n\r\nab"
    );
    let attempt = json!({"target": "s-1", "age": 5.0, "out": true, "ran": true});
    json!({"request": request.as_bytes(), "last": false, "legs": [attempt]})
}
