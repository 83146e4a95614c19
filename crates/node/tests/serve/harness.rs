//! Starts scheduler processes for the tests and plays the parts of their peers.

use super::connection::{Connection, Message};
use std::cell::RefCell;
use std::io::{BufRead, BufReader, ErrorKind};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::time::{Duration, Instant};

/// Limit of a read or wait. Every step takes far less, so a test that reaches the limit has failed.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval at which a listener is checked for a connection.
const ACCEPT_INTERVAL: Duration = Duration::from_micros(200);

/// The response of a worker that accepts a job.
pub const ACCEPTED: &str = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";

/// A running scheduler process, killed when the value is dropped.
pub struct Scheduler {
    pub process: Child,
    /// The rest of the log, which the process writes to its standard error.
    pub log: BufReader<ChildStderr>,
    /// Address of the client listener.
    pub addr: SocketAddr,
    /// Address of the admin interface.
    pub admin_addr: SocketAddr,
    /// Listener of all workers on the configured endpoint list.
    pub worker_listener: TcpListener,
    /// Listener of discovery.
    pub discovery_listener: TcpListener,
    /// Path of the configuration file.
    pub config: PathBuf,
    /// Path of the setup file, if the process has one.
    pub setup: Option<PathBuf>,
    /// Discovery's end of the watch, from the confirmation of the list until `confirm_list` returns it.
    watch: RefCell<Option<Connection>>,
}

/// A response of the admin interface.
pub struct AdminResponse {
    /// Status code.
    pub status: String,
    pub body: String,
}

/// Writes a configuration file with `worker_count` workers, all at one address, and returns its path. The
/// workers are named `s-1`, `s-2` and so on.
pub fn write_config(
    name: &str,
    discovery_addr: SocketAddr,
    worker_addr: SocketAddr,
    worker_count: usize,
) -> PathBuf {
    let entry = |n| {
        format!(
            r#"{{"id": "s-{n}", "addr": "{worker_addr}", "zone": "a", "kind": "k", "cell": 0, "state": "up",
            "weight": 1.0, "started_ms": 0}}"#
        )
    };
    let servers = (1..=worker_count).map(entry).collect::<Vec<_>>().join(",");
    let text = format!(
        r#"{{"name": "n0", "listen": "127.0.0.1:0", "mgmt": "127.0.0.1:0", "discovery": "{discovery_addr}",
        "seed": "8c1f30d27a5be964",
        "limits": {{"cores": 1.0, "memory_mb": 192, "sockets": 82}},
        "known": {{"version": 41, "full": true, "servers": [{servers}]}},
        "settings": {{"Discovery": "ask", "Zones": ["a"], "Models": ["k"],
        "Permissions": {{"Cancel": true, "ConnectTimeoutMs": 5000, "KeepaliveMs": 60000, "MaxAttempts": 2}},
        "Rules": {{"ColdFrom": 1, "FallMs": 1, "OverloadFactor": 3, "WarmAfterMs": 1}},
        "Services": [{{"Name": "render", "Effect": "repeatable", "GoalTimeMs": 400,
        "HardLimitMs": 60000}}]}}}}"#
    );
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.json"));
    std::fs::write(&path, text).unwrap();
    path
}

/// Binds a listener of a worker or of discovery to a loopback port that the system chooses.
pub fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap()
}

/// Returns an address on `host` whose port is free for TCP. The socket that is bound to find the port does
/// not listen: a child process that another test forks meanwhile holds a copy of the socket until it
/// executes its program, and a listening copy would accept connections and then reset them.
pub fn free_address_on(host: [u8; 4]) -> SocketAddr {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_reuse_address(true).unwrap();
    socket.bind(&SocketAddr::from((host, 0)).into()).unwrap();
    socket.local_addr().unwrap().as_socket().unwrap()
}

impl Scheduler {
    /// Starts a scheduler with one worker and a confirmed endpoint list; see [`Scheduler::confirm_list`].
    pub fn start(name: &str) -> Scheduler {
        Scheduler::with_workers(name, 1)
    }

    /// Starts a scheduler with `worker_count` workers and a confirmed endpoint list.
    pub fn with_workers(name: &str, worker_count: usize) -> Scheduler {
        Scheduler::without_list(name, worker_count).with_confirmed_list()
    }

    /// Starts a scheduler that has not received a response from discovery yet.
    pub fn without_list(name: &str, worker_count: usize) -> Scheduler {
        Scheduler::with_config_without_list(name, worker_count, |text| text)
    }

    /// Starts a scheduler with a confirmed list from a configuration that `change` has edited.
    pub fn with_config(name: &str, worker_count: usize, change: impl Fn(String) -> String) -> Scheduler {
        Scheduler::with_config_without_list(name, worker_count, change).with_confirmed_list()
    }

    /// Like `with_config`, but without a response from discovery yet.
    pub fn with_config_without_list(
        name: &str,
        worker_count: usize,
        change: impl Fn(String) -> String,
    ) -> Scheduler {
        Scheduler::with_worker_listener(listen(), name, worker_count, change)
    }

    /// Like `with_config_without_list`, but with this listener for the workers.
    pub fn with_worker_listener(
        worker_listener: TcpListener,
        name: &str,
        worker_count: usize,
        change: impl Fn(String) -> String,
    ) -> Scheduler {
        let discovery_listener = listen();
        let discovery_addr = discovery_listener.local_addr().unwrap();
        let config = write_config(name, discovery_addr, worker_listener.local_addr().unwrap(), worker_count);
        let text = std::fs::read_to_string(&config).unwrap();
        std::fs::write(&config, change(text)).unwrap();
        Scheduler::launch(config, None, worker_listener, discovery_listener)
    }

    /// Starts a scheduler with one worker, a setup file and a confirmed list.
    pub fn with_setup(name: &str, setup: PathBuf) -> Scheduler {
        let worker_listener = listen();
        let discovery_listener = listen();
        let discovery_addr = discovery_listener.local_addr().unwrap();
        let config = write_config(name, discovery_addr, worker_listener.local_addr().unwrap(), 1);
        Scheduler::launch(config, Some(setup), worker_listener, discovery_listener).with_confirmed_list()
    }

    /// Starts a scheduler at a fixed address, on which a successor can listen too. No other test and no
    /// client may use `host`, the last byte of the address: it could take the port before the scheduler does.
    pub fn upgradable(name: &str, host: u8) -> Scheduler {
        Scheduler::upgradable_with_setup(name, host, None)
    }

    /// Like `upgradable`, with a setup file.
    pub fn upgradable_with_setup(name: &str, host: u8, setup: Option<PathBuf>) -> Scheduler {
        Scheduler::upgradable_with_settings(name, host, setup, "")
    }

    /// Like `upgradable_with_setup`, with `settings`, the JSON text of further settings, each followed by a
    /// comma.
    pub fn upgradable_with_settings(
        name: &str,
        host: u8,
        setup: Option<PathBuf>,
        settings: &str,
    ) -> Scheduler {
        let worker_listener = listen();
        let discovery_listener = listen();
        let discovery_addr = discovery_listener.local_addr().unwrap();
        let config = write_config(name, discovery_addr, worker_listener.local_addr().unwrap(), 1);
        let addr = free_address_on([127, 77, 0, host]);
        let text = std::fs::read_to_string(&config).unwrap();
        let text = text.replacen("127.0.0.1:0", &addr.to_string(), 1);
        let text = text.replace("\"Services\"", &format!("{settings}\"Services\""));
        std::fs::write(&config, text).unwrap();
        Scheduler::launch(config, setup, worker_listener, discovery_listener).with_confirmed_list()
    }

    /// Starts a successor of this process, which has not received a response from discovery yet.
    pub fn start_successor(&self) -> Scheduler {
        let worker_listener = self.worker_listener.try_clone().unwrap();
        let discovery_listener = self.discovery_listener.try_clone().unwrap();
        Scheduler::launch(self.config.clone(), self.setup.clone(), worker_listener, discovery_listener)
    }

    /// Starts a successor and waits until it accepts clients. Also returns discovery's ends of the watches,
    /// the one of the predecessor first.
    pub fn upgrade(&self) -> (Scheduler, [Connection; 2]) {
        let old_watch = self.confirm_list();
        let mut successor = self.start_successor();
        assert!(!successor.admin_accepts("GET /healthcheck"));
        let new_watch = self.send_complete_list();
        successor.wait_for_log("accepting clients: role=successor");
        assert!(successor.admin_accepts("GET /healthcheck"));
        (successor, [old_watch, new_watch])
    }

    /// Starts the program and waits until its client listener and its admin interface listen.
    pub fn launch(
        config: PathBuf,
        setup: Option<PathBuf>,
        worker_listener: TcpListener,
        discovery_listener: TcpListener,
    ) -> Scheduler {
        let mut command = Command::new(env!("CARGO_BIN_EXE_postusher"));
        command.arg("serve").arg("--config").arg(&config).env_remove("RUST_LOG");
        if let Some(setup) = &setup {
            command.arg("--setup").arg(setup);
        }
        command.env("TMPDIR", config.parent().unwrap());
        let mut process = command.stderr(Stdio::piped()).spawn().unwrap();
        let mut log = BufReader::new(process.stderr.take().unwrap());
        let addr = logged_address(&mut log, "] listening: ");
        let admin_addr = logged_address(&mut log, "admin interface listening: ");
        Scheduler {
            process,
            log,
            addr,
            admin_addr,
            worker_listener,
            discovery_listener,
            config,
            setup,
            watch: RefCell::new(None),
        }
    }

    /// Confirms the endpoint list, without which the scheduler places no jobs, and keeps the watch open.
    pub fn with_confirmed_list(self) -> Scheduler {
        let watch = self.confirm_list();
        self.watch.replace(Some(watch));
        self
    }

    /// Confirms the endpoint list as discovery does, with the response that nothing has changed, and returns
    /// discovery's end of the watch. If `with_confirmed_list` has confirmed the list already, the first call
    /// only returns that watch.
    pub fn confirm_list(&self) -> Connection {
        if let Some(watch) = self.watch.take() {
            return watch;
        }
        let mut discovery = self.accept_discovery_connection();
        assert!(discovery.read_message().line.contains("after=41&wait_ms=0 "));
        discovery.send_ok(r#"{"version":41,"full":false,"servers":[]}"#);
        assert!(discovery.read_message().line.contains("after=41&wait_ms=4000 "));
        discovery
    }

    /// Responds to a complete-list request with the configured list; returns discovery's end of the watch.
    pub fn send_complete_list(&self) -> Connection {
        let mut discovery = self.accept_discovery_connection();
        assert_eq!(discovery.read_message().line, "GET /discovery/hosts HTTP/1.1");
        let text = std::fs::read_to_string(&self.config).unwrap();
        let configured_list =
            text.split("\"known\": ").nth(1).and_then(|t| t.split(",\n        \"settings").next()).unwrap();
        discovery.send_ok(configured_list);
        assert!(discovery.read_message().line.contains("after=41&wait_ms=4000 "));
        discovery
    }

    /// Accepts the next connection to a worker.
    pub fn accept_worker_connection(&self) -> Connection {
        Connection::new(accept(&self.worker_listener))
    }

    /// Accepts the next connection to discovery.
    pub fn accept_discovery_connection(&self) -> Connection {
        Connection::new(accept(&self.discovery_listener))
    }

    /// Connects to the scheduler as a client or a worker.
    pub fn connect(&self) -> Connection {
        Connection::new(TcpStream::connect(self.addr).unwrap())
    }

    /// Sends a job status update as a worker does and waits for the acknowledgement.
    pub fn send_job_status(&self, text: &str) {
        let mut worker = self.connect();
        worker.send(&format!("POST /_jobs/news HTTP/1.1\r\nContent-Length: {}\r\n\r\n{text}", text.len()));
        assert_eq!(worker.read_message().line, "HTTP/1.1 200 OK");
    }

    /// Sends an operator's request, such as `GET /stats`, and returns the response.
    pub fn admin_request(&self, line: &str) -> AdminResponse {
        let mut operator = Connection::new(TcpStream::connect(self.admin_addr).unwrap());
        operator.send(&format!("{line} HTTP/1.1\r\nHost: m\r\n\r\n"));
        let Message { line: status, body, .. } = operator.read_message();
        assert!(operator.reads_eof());
        AdminResponse { status: status.split(' ').nth(1).unwrap().into(), body }
    }

    /// Sends an operator's request and returns whether the status of the response is 200.
    pub fn admin_accepts(&self, line: &str) -> bool {
        self.admin_request(line).status == "200"
    }

    /// Returns whether `/up` reports the scheduler as ready for clients.
    pub fn is_ready(&self) -> bool {
        let mut client = self.connect();
        client.send("GET /up HTTP/1.1\r\n\r\n");
        client.read_message().line == "HTTP/1.1 200 OK"
    }

    /// Reports a job as done by the worker `s-1`, with the result `r`.
    pub fn finish_job(&self, id: &str) {
        self.send_job_status(&format!(r#"{{"id":"{id}","from":"s-1","state":"done","result":"r"}}"#));
    }

    /// Sends a signal, such as `-TERM`, to the scheduler process.
    pub fn signal(&self, signal: &str) {
        let id = self.process.id().to_string();
        assert!(Command::new("kill").args([signal, &id]).status().unwrap().success());
    }

    /// Waits for the next request to a worker and returns its connection: `keep_alive`, or a new connection,
    /// which replaces `keep_alive`. The scheduler reuses a connection only some milliseconds after the last
    /// response.
    pub fn next_request<'a>(&self, keep_alive: &'a mut Option<Connection>) -> &'a mut Connection {
        let deadline = Instant::now() + TEST_TIMEOUT;
        self.worker_listener.set_nonblocking(true).unwrap();
        while !keep_alive.as_ref().is_some_and(Connection::is_readable) {
            if let Ok((stream, _)) = self.worker_listener.accept() {
                stream.set_nonblocking(false).unwrap();
                *keep_alive = Some(Connection::new(stream));
            }
            assert!(Instant::now() < deadline, "no request reached a worker");
            std::thread::yield_now();
        }
        self.worker_listener.set_nonblocking(false).unwrap();
        keep_alive.as_mut().unwrap()
    }

    /// Reads the log up to the next line that contains `text`.
    pub fn wait_for_log(&mut self, text: &str) {
        let mut line = String::new();
        while !line.contains(text) {
            line.clear();
            assert!(
                self.log.read_line(&mut line).unwrap() > 0,
                "the log ended without a line that contains {text:?}"
            );
        }
    }
}

/// Accepts the next connection, within [`TEST_TIMEOUT`].
pub fn accept(listener: &TcpListener) -> TcpStream {
    let deadline = Instant::now() + TEST_TIMEOUT;
    listener.set_nonblocking(true).unwrap();
    let stream = loop {
        match listener.accept() {
            Ok((stream, _)) => break stream,
            Err(error) => assert_eq!(error.kind(), ErrorKind::WouldBlock),
        }
        assert!(Instant::now() < deadline, "no connection arrived");
        std::thread::sleep(ACCEPT_INTERVAL);
    };
    listener.set_nonblocking(false).unwrap();
    stream.set_nonblocking(false).unwrap();
    stream
}

/// Reads the log up to this event and returns the `address` field of the event.
fn logged_address(log: &mut BufReader<ChildStderr>, event: &str) -> SocketAddr {
    let mut line = String::new();
    while !line.contains(event) {
        line.clear();
        assert!(log.read_line(&mut line).unwrap() > 0, "the log ended without the event {event:?}");
    }
    let fields = line.split(event).nth(1).expect(&line);
    let address = fields.split_whitespace().find_map(|field| field.strip_prefix("address=")).expect(&line);
    address.parse().unwrap()
}

impl Drop for Scheduler {
    fn drop(&mut self) {
        let _ = self.process.kill(); // the process may have exited already
        let _ = self.process.wait();
    }
}
