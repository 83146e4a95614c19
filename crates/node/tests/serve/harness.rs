//! A scheduler that runs, and what the tests do to it.

use super::connection::{Connection, Message};
use std::cell::RefCell;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::time::{Duration, Instant};

/// Far longer than anything takes here: a test that waits so long has failed.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// A worker's answer to a job that it has accepted.
pub const ACCEPTED: &str = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";

/// A scheduler that runs. It ends with the test.
pub struct Scheduler {
    pub process: Child,
    pub log: BufReader<ChildStderr>,
    /// Where clients connect.
    pub addr: SocketAddr,
    /// Where operators connect.
    pub admin_addr: SocketAddr,
    /// Where the workers of its list listen.
    pub worker_listener: TcpListener,
    /// Where discovery listens.
    pub discovery_listener: TcpListener,
    pub config: PathBuf,
    pub setup: Option<PathBuf>,
    /// Discovery's end of the watch, where it has confirmed the list already.
    watch: RefCell<Option<Connection>>,
}

/// An answer of the admin interface.
pub struct AdminAnswer {
    pub status: String,
    pub body: String,
}

/// A configuration file with so many workers, all at one address.
pub fn config(name: &str, discovery: SocketAddr, worker: SocketAddr, workers: usize) -> PathBuf {
    let entry = |n| {
        format!(
            r#"{{"id": "s-{n}", "addr": "{worker}", "zone": "a", "kind": "k", "cell": 0, "state": "up",
            "weight": 1.0, "started_ms": 0}}"#
        )
    };
    let servers = (1..=workers).map(entry).collect::<Vec<_>>().join(",");
    let text = format!(
        r#"{{"name": "n0", "listen": "127.0.0.1:0", "mgmt": "127.0.0.1:0", "discovery": "{discovery}", "seed": "8c1f30d27a5be964",
        "limits": {{"cores": 1.0, "memory_mb": 192, "sockets": 82}},
        "known": {{"version": 41, "full": true, "servers": [{servers}]}},
        "settings": {{"Discovery": "ask", "Zones": ["a"], "Models": ["k"],
            "Permissions": {{"Cancel": true, "ConnectTimeoutMs": 5000, "KeepaliveMs": 60000, "MaxAttempts": 2}},
            "Rules": {{"ColdFrom": 1, "FallMs": 1, "OverloadFactor": 3, "WarmAfterMs": 1}},
            "Services": [{{"Name": "render", "Effect": "repeatable", "GoalTimeMs": 400, "HardLimitMs": 60000}}]}}}}"#
    );
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.json"));
    std::fs::write(&path, text).unwrap();
    path
}

/// A listener of a worker or of discovery, at an address of the system's choice.
pub fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap()
}

impl Scheduler {
    /// One with a worker, whose list is confirmed.
    pub fn start(name: &str) -> Scheduler {
        Scheduler::with_workers(name, 1)
    }

    /// One that knows so many workers, whose list is confirmed.
    pub fn with_workers(name: &str, workers: usize) -> Scheduler {
        Scheduler::without_list(name, workers).with_confirmed_list()
    }

    /// One that has had no answer of discovery yet.
    pub fn without_list(name: &str, workers: usize) -> Scheduler {
        Scheduler::with_config_without_list(name, workers, |text| text)
    }

    /// One whose configuration is changed before it starts, with so many workers.
    pub fn with_config(name: &str, workers: usize, change: impl Fn(String) -> String) -> Scheduler {
        Scheduler::with_config_without_list(name, workers, change).with_confirmed_list()
    }

    /// The same, and it has had no answer of discovery yet.
    pub fn with_config_without_list(
        name: &str,
        workers: usize,
        change: impl Fn(String) -> String,
    ) -> Scheduler {
        Scheduler::with_worker_listener(listen(), name, workers, change)
    }

    /// The same with the listener that its workers have.
    pub fn with_worker_listener(
        worker_listener: TcpListener,
        name: &str,
        workers: usize,
        change: impl Fn(String) -> String,
    ) -> Scheduler {
        let discovery_listener = listen();
        let discovery = discovery_listener.local_addr().unwrap();
        let config = config(name, discovery, worker_listener.local_addr().unwrap(), workers);
        let text = std::fs::read_to_string(&config).unwrap();
        std::fs::write(&config, change(text)).unwrap();
        Scheduler::launch(config, None, worker_listener, discovery_listener)
    }

    /// One with a worker and a setup file, whose list is confirmed.
    pub fn with_setup(name: &str, setup: PathBuf) -> Scheduler {
        let worker_listener = listen();
        let discovery_listener = listen();
        let discovery = discovery_listener.local_addr().unwrap();
        let config = config(name, discovery, worker_listener.local_addr().unwrap(), 1);
        Scheduler::launch(config, Some(setup), worker_listener, discovery_listener).with_confirmed_list()
    }

    /// One at an address that a successor can be given, too; `host` is no other test's, nor that of any client.
    pub fn upgradable(name: &str, host: u8) -> Scheduler {
        Scheduler::upgradable_with_setup(name, host, None)
    }

    /// The same with a setup file.
    pub fn upgradable_with_setup(name: &str, host: u8, setup: Option<PathBuf>) -> Scheduler {
        Scheduler::upgradable_with_settings(name, host, setup, "")
    }

    /// The same with further settings.
    pub fn upgradable_with_settings(
        name: &str,
        host: u8,
        setup: Option<PathBuf>,
        settings: &str,
    ) -> Scheduler {
        let worker_listener = listen();
        let discovery_listener = listen();
        let discovery = discovery_listener.local_addr().unwrap();
        let config = config(name, discovery, worker_listener.local_addr().unwrap(), 1);
        let free_listener = TcpListener::bind(SocketAddr::from(([127, 77, 0, host], 0))).unwrap();
        let free = free_listener.local_addr().unwrap();
        drop(free_listener);
        let text = std::fs::read_to_string(&config).unwrap();
        let text = text.replacen("127.0.0.1:0", &free.to_string(), 1);
        let text = text.replace("\"Services\"", &format!("{settings}\"Services\""));
        std::fs::write(&config, text).unwrap();
        Scheduler::launch(config, setup, worker_listener, discovery_listener).with_confirmed_list()
    }

    /// A successor of this process, which has had no answer of discovery yet.
    pub fn start_successor(&self) -> Scheduler {
        let worker_listener = self.worker_listener.try_clone().unwrap();
        let discovery_listener = self.discovery_listener.try_clone().unwrap();
        Scheduler::launch(self.config.clone(), self.setup.clone(), worker_listener, discovery_listener)
    }

    /// A successor of this process that accepts clients; also discovery's ends of this one's watch and of its own.
    pub fn upgrade(&self) -> (Scheduler, [Connection; 2]) {
        let old_watch = self.confirm_list();
        let mut successor = self.start_successor();
        assert!(!successor.admin_accepts("GET /healthcheck"));
        let new_watch = self.send_complete_list();
        successor.wait_for_log("accepting clients: role=successor");
        assert!(successor.admin_accepts("GET /healthcheck"));
        (successor, [old_watch, new_watch])
    }

    /// Starts the program and waits until it listens.
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
        command.env("TMPDIR", env!("CARGO_TARGET_TMPDIR"));
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

    /// The scheduler with its list confirmed: it places jobs from now on.
    pub fn with_confirmed_list(self) -> Scheduler {
        let watch = self.confirm_list();
        self.watch.replace(Some(watch));
        self
    }

    /// Confirms the scheduler's list, if that was not done yet, so that it is ready; gives discovery's end of the watch.
    pub fn confirm_list(&self) -> Connection {
        if let Some(watch) = self.watch.take() {
            return watch;
        }
        let mut discovery = self.accept_discovery_connection();
        assert!(discovery.message().line.contains("after=41&wait_ms=0 "));
        discovery.send_list(r#"{"version":41,"full":false,"servers":[]}"#);
        assert!(discovery.message().line.contains("after=41&wait_ms=4000 "));
        discovery
    }

    /// Answers a scheduler that asks for the complete list with the one of the configuration; gives discovery's end of the
    /// watch.
    pub fn send_complete_list(&self) -> Connection {
        let mut discovery = self.accept_discovery_connection();
        assert_eq!(discovery.message().line, "GET /discovery/hosts HTTP/1.1");
        let text = std::fs::read_to_string(&self.config).unwrap();
        let known =
            text.split("\"known\": ").nth(1).and_then(|t| t.split(",\n        \"settings").next()).unwrap();
        discovery.send_list(known);
        assert!(discovery.message().line.contains("after=41&wait_ms=4000 "));
        discovery
    }

    /// The next connection to a worker.
    pub fn accept_worker_connection(&self) -> Connection {
        Connection::new(self.worker_listener.accept().unwrap().0)
    }

    /// The next connection to discovery.
    pub fn accept_discovery_connection(&self) -> Connection {
        Connection::new(self.discovery_listener.accept().unwrap().0)
    }

    /// A client's or a worker's connection to the scheduler.
    pub fn connect(&self) -> Connection {
        Connection::new(TcpStream::connect(self.addr).unwrap())
    }

    /// Sends a job status update as a worker does.
    pub fn send_job_status(&self, text: &str) {
        let mut worker = self.connect();
        worker.send(&format!("POST /_jobs/news HTTP/1.1\r\nContent-Length: {}\r\n\r\n{text}", text.len()));
        assert_eq!(worker.message().line, "HTTP/1.1 200 OK");
    }

    /// Makes an operator's request, such as `GET /stats`.
    pub fn admin_request(&self, line: &str) -> AdminAnswer {
        let mut operator = Connection::new(TcpStream::connect(self.admin_addr).unwrap());
        operator.send(&format!("{line} HTTP/1.1\r\nHost: m\r\n\r\n"));
        let Message { line: status, body, .. } = operator.message();
        assert!(operator.reaches_end());
        AdminAnswer { status: status.split(' ').nth(1).unwrap().into(), body }
    }

    /// Whether an operator's request is answered with 200.
    pub fn admin_accepts(&self, line: &str) -> bool {
        self.admin_request(line).status == "200"
    }

    /// Whether the scheduler says that clients should come to it.
    pub fn is_ready(&self) -> bool {
        let mut client = self.connect();
        client.send("GET /up HTTP/1.1\r\n\r\n");
        client.message().line == "HTTP/1.1 200 OK"
    }

    /// Reports a job as served by its worker.
    pub fn finish_job(&self, id: &str) {
        self.send_job_status(&format!(r#"{{"id":"{id}","from":"s-1","state":"done","result":"r"}}"#));
    }

    /// Sends a signal to the process that this test has started.
    pub fn signal(&self, signal: &str) {
        let id = self.process.id().to_string();
        assert!(Command::new("kill").args([signal, &id]).status().unwrap().success());
    }

    /// The connection on which the next request for a worker comes: the one kept, or a new one, which is kept then. The
    /// scheduler reuses a connection only after a pause.
    pub fn next_request<'a>(&self, kept: &'a mut Option<Connection>) -> &'a mut Connection {
        let until = Instant::now() + TEST_TIMEOUT;
        self.worker_listener.set_nonblocking(true).unwrap();
        while !kept.as_ref().is_some_and(Connection::has_data) {
            if let Ok((stream, _)) = self.worker_listener.accept() {
                stream.set_nonblocking(false).unwrap();
                *kept = Some(Connection::new(stream));
            }
            assert!(Instant::now() < until, "no request comes");
            std::thread::yield_now();
        }
        self.worker_listener.set_nonblocking(false).unwrap();
        kept.as_mut().unwrap()
    }

    /// Waits for a line of the log with this in it.
    pub fn wait_for_log(&mut self, part: &str) {
        let mut line = String::new();
        while !line.contains(part) {
            line.clear();
            assert!(self.log.read_line(&mut line).unwrap() > 0, "the log ended");
        }
    }
}

/// The address in the fields of a logged event.
fn logged_address(log: &mut BufReader<ChildStderr>, event: &str) -> SocketAddr {
    let mut line = String::new();
    while !line.contains(event) {
        line.clear();
        assert!(log.read_line(&mut line).unwrap() > 0, "the log ended");
    }
    let fields = line.split(event).nth(1).expect(&line);
    let address = fields.split_whitespace().find_map(|field| field.strip_prefix("address=")).expect(&line);
    address.parse().unwrap()
}

impl Drop for Scheduler {
    fn drop(&mut self) {
        let _ = self.process.kill(); // it has ended already, where the test went well
        let _ = self.process.wait();
    }
}
