//! A scheduler that runs, and the other ends of its connections.

use std::cell::RefCell;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::time::{Duration, Instant};

/// Far longer than anything takes here: a test that waits so long hangs.
pub const HANG: Duration = Duration::from_secs(30);

pub struct Scheduler {
    pub process: Child,
    pub log: BufReader<ChildStderr>,
    pub addr: SocketAddr,
    pub mgmt: SocketAddr,
    pub target: TcpListener,
    pub discovery: TcpListener,
    pub config: PathBuf,
    pub setup: Option<PathBuf>,
    /// Discovery's end of the watch, where it has confirmed the list already.
    watch: RefCell<Option<Peer>>,
}

/// A configuration file with so many targets, all at one address.
pub fn config(name: &str, discovery: SocketAddr, target: SocketAddr, targets: usize) -> PathBuf {
    let entry = |n| {
        format!(
            r#"{{"id": "s-{n}", "addr": "{target}", "zone": "a", "kind": "k", "cell": 0, "state": "up",
            "weight": 1.0, "started_ms": 0}}"#
        )
    };
    let servers = (1..=targets).map(entry).collect::<Vec<_>>().join(",");
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

impl Scheduler {
    /// One with a target, whose list is confirmed.
    pub fn start(name: &str) -> Scheduler {
        Scheduler::with(name, 1)
    }

    /// One that knows so many targets, whose list is confirmed.
    pub fn with(name: &str, targets: usize) -> Scheduler {
        Scheduler::unconfirmed(name, targets).confirmed()
    }

    /// One that has heard nothing of discovery yet.
    pub fn unconfirmed(name: &str, targets: usize) -> Scheduler {
        let target = TcpListener::bind("127.0.0.1:0").unwrap();
        let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
        let config = config(name, discovery.local_addr().unwrap(), target.local_addr().unwrap(), targets);
        Scheduler::launch(config, None, target, discovery)
    }

    /// One whose configuration is changed before it starts, with so many targets.
    pub fn changed(name: &str, targets: usize, change: impl Fn(String) -> String) -> Scheduler {
        Scheduler::changed_unconfirmed(name, targets, change).confirmed()
    }

    /// The same, and it has heard nothing of discovery yet.
    pub fn changed_unconfirmed(name: &str, targets: usize, change: impl Fn(String) -> String) -> Scheduler {
        Scheduler::before(TcpListener::bind("127.0.0.1:0").unwrap(), name, targets, change)
    }

    /// The same with the listener that its targets have.
    pub fn before(
        target: TcpListener,
        name: &str,
        targets: usize,
        change: impl Fn(String) -> String,
    ) -> Scheduler {
        let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
        let config = config(name, discovery.local_addr().unwrap(), target.local_addr().unwrap(), targets);
        let text = std::fs::read_to_string(&config).unwrap();
        std::fs::write(&config, change(text)).unwrap();
        Scheduler::launch(config, None, target, discovery)
    }

    /// One at an address that a newer one can be given, too; `host` is no other test's, nor that of any client.
    pub fn upgradable(name: &str, host: u8) -> Scheduler {
        Scheduler::upgradable_with(name, host, None)
    }

    pub fn upgradable_with(name: &str, host: u8, setup: Option<PathBuf>) -> Scheduler {
        Scheduler::upgradable_where(name, host, setup, "")
    }

    /// The same where the settings say this, too.
    pub fn upgradable_where(name: &str, host: u8, setup: Option<PathBuf>, also: &str) -> Scheduler {
        let (target, discovery) =
            (TcpListener::bind("127.0.0.1:0").unwrap(), TcpListener::bind("127.0.0.1:0").unwrap());
        let config = config(name, discovery.local_addr().unwrap(), target.local_addr().unwrap(), 1);
        let free =
            TcpListener::bind(SocketAddr::from(([127, 77, 0, host], 0))).unwrap().local_addr().unwrap();
        let text = std::fs::read_to_string(&config).unwrap();
        let text = text.replacen("127.0.0.1:0", &free.to_string(), 1);
        std::fs::write(&config, text.replace("\"Services\"", &format!("{also}\"Services\""))).unwrap();
        Scheduler::launch(config, setup, target, discovery).confirmed()
    }

    /// A newer process beside this one.
    pub fn newer(&self) -> Scheduler {
        let (target, discovery) = (self.target.try_clone().unwrap(), self.discovery.try_clone().unwrap());
        Scheduler::launch(self.config.clone(), self.setup.clone(), target, discovery)
    }

    /// The newer process beside this one, with its list; also the two watches on it.
    pub fn upgraded(&self) -> (Scheduler, [Peer; 2]) {
        let old = self.listed();
        let mut new = self.newer();
        assert!(!new.says_yes("GET /healthcheck"));
        let list = self.listed_whole();
        new.logs("accepting clients: role=successor");
        assert!(new.says_yes("GET /healthcheck"));
        (new, [old, list])
    }

    pub fn launch(
        config: PathBuf,
        setup: Option<PathBuf>,
        target: TcpListener,
        discovery: TcpListener,
    ) -> Scheduler {
        let mut command = Command::new(env!("CARGO_BIN_EXE_postusher"));
        let command = command.arg("serve").arg("--config").arg(&config).env_remove("RUST_LOG");
        let command = setup.iter().fold(command, |c, path| c.arg("--setup").arg(path));
        let command = command.env("TMPDIR", env!("CARGO_TARGET_TMPDIR"));
        let mut process = command.stderr(Stdio::piped()).spawn().unwrap();
        let mut log = BufReader::new(process.stderr.take().unwrap());
        let mut address = |before: &str| {
            let mut line = String::new();
            while !line.contains(before) {
                line.clear();
                assert!(log.read_line(&mut line).unwrap() > 0, "the log ended");
            }
            let addr = line.split(before).nth(1).and_then(|l| l.trim().split(',').next()).expect(&line);
            addr.parse().unwrap()
        };
        let (addr, mgmt) = (address("listening on "), address("operators call at "));
        let watch = RefCell::new(None);
        Scheduler { addr, mgmt, process, log, target, discovery, config, setup, watch }
    }

    /// The scheduler with its list confirmed: it places jobs from now on.
    pub fn confirmed(self) -> Scheduler {
        let watch = self.listed();
        self.watch.replace(Some(watch));
        self
    }

    /// Discovery's end of the watch, once the scheduler has heard there that its list is up to date: it is ready then.
    pub fn listed(&self) -> Peer {
        if let Some(watch) = self.watch.take() {
            return watch;
        }
        let mut discovery = Peer::new(self.discovery.accept().unwrap().0);
        assert!(discovery.message().0.contains("after=41&wait_ms=0 "));
        discovery.list(r#"{"version":41,"full":false,"servers":[]}"#);
        assert!(discovery.message().0.contains("after=41&wait_ms=4000 "));
        discovery
    }

    /// The same of one that asks for the whole list: it is the one of the configuration.
    pub fn listed_whole(&self) -> Peer {
        let mut discovery = Peer::new(self.discovery.accept().unwrap().0);
        assert_eq!(discovery.message().0, "GET /discovery/hosts HTTP/1.1");
        let text = std::fs::read_to_string(&self.config).unwrap();
        let known =
            text.split("\"known\": ").nth(1).and_then(|t| t.split(",\n        \"settings").next()).unwrap();
        discovery.list(known);
        assert!(discovery.message().0.contains("after=41&wait_ms=4000 "));
        discovery
    }

    pub fn connect(&self) -> Peer {
        Peer::new(TcpStream::connect(self.addr).unwrap())
    }

    pub fn news(&self, text: &str) {
        let mut peer = self.connect();
        peer.send(&format!("POST /_jobs/news HTTP/1.1\r\nContent-Length: {}\r\n\r\n{text}", text.len()));
        assert_eq!(peer.message().0, "HTTP/1.1 200 OK");
    }

    /// Makes an operator's call; gives its status and body.
    pub fn call(&self, line: &str) -> (String, String) {
        let mut peer = Peer::new(TcpStream::connect(self.mgmt).unwrap());
        peer.send(&format!("{line} HTTP/1.1\r\nHost: m\r\n\r\n"));
        let (status, _, body) = peer.message();
        assert!(peer.ends());
        (status.split(' ').nth(1).unwrap().into(), body)
    }

    /// Whether a call is answered with yes.
    pub fn says_yes(&self, line: &str) -> bool {
        self.call(line).0 == "200"
    }

    /// Sends a signal to the process that this test has started.
    pub fn signal(&self, signal: &str) {
        let id = self.process.id().to_string();
        assert!(Command::new("kill").args([signal, &id]).status().unwrap().success());
    }

    /// The connection on which the next request for a worker comes: the one kept, or a new one, which is kept then. A connection
    /// is used again only after it has been quiet for a while.
    pub fn next_request<'a>(&self, kept: &'a mut Option<Peer>) -> &'a mut Peer {
        let until = Instant::now() + HANG;
        self.target.set_nonblocking(true).unwrap();
        while !kept.as_ref().is_some_and(Peer::has_data) {
            if let Ok((stream, _)) = self.target.accept() {
                stream.set_nonblocking(false).unwrap();
                *kept = Some(Peer::new(stream));
            }
            assert!(Instant::now() < until, "no request comes");
            std::thread::yield_now();
        }
        self.target.set_nonblocking(false).unwrap();
        kept.as_mut().unwrap()
    }

    /// Waits for a line of the log.
    pub fn logs(&mut self, part: &str) {
        let mut line = String::new();
        while !line.contains(part) {
            line.clear();
            assert!(self.log.read_line(&mut line).unwrap() > 0, "the log ended");
        }
    }
}

impl Drop for Scheduler {
    fn drop(&mut self) {
        let _ = self.process.kill(); // it has ended already, where the test went well
        let _ = self.process.wait();
    }
}

/// The other end of one of the scheduler's connections.
pub struct Peer(pub BufReader<TcpStream>);

impl Peer {
    pub fn new(stream: TcpStream) -> Peer {
        stream.set_read_timeout(Some(HANG)).unwrap();
        Peer(BufReader::new(stream))
    }

    pub fn send(&mut self, text: &str) {
        self.0.get_mut().write_all(text.as_bytes()).unwrap();
    }

    pub fn job(&mut self, id: &str) {
        self.send(&format!(
            "POST /render/x?y=1 HTTP/1.1\r\nX-Trace-Id: {id}\r\nX-Qos: render\r\nContent-Length: 2\r\n\r\nab"
        ));
    }

    /// Answers a call to discovery.
    pub fn list(&mut self, body: &str) {
        self.send(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()));
    }

    /// The next message: its first line, its head and its body.
    pub fn message(&mut self) -> (String, String, String) {
        let (mut head, mut length) = (String::new(), 0);
        loop {
            let mut line = String::new();
            assert!(self.0.read_line(&mut line).unwrap() > 0, "the connection ended after {head:?}");
            if let Some(n) = line.strip_prefix("Content-Length: ") {
                length = n.trim().parse().unwrap();
            }
            if line == "\r\n" {
                break;
            }
            head += &line;
        }
        let mut body = vec![0; length];
        self.0.read_exact(&mut body).unwrap();
        (head.lines().next().unwrap().into(), head, String::from_utf8(body).unwrap())
    }

    /// Whether something has come and is not read yet, or the end has.
    pub fn has_data(&self) -> bool {
        let stream = self.0.get_ref();
        stream.set_nonblocking(true).unwrap();
        let come = !self.0.buffer().is_empty() || stream.peek(&mut [0]).is_ok();
        stream.set_nonblocking(false).unwrap();
        come
    }

    pub fn ends(&mut self) -> bool {
        self.0.read(&mut [0]).unwrap() == 0
    }
}

/// A target's listener at which no connection comes up until it is opened: its queue of one is full.
pub struct Gate {
    listener: TcpListener,
    _filler: TcpStream,
}

impl Gate {
    pub fn shut() -> Gate {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        socket.listen(0).unwrap();
        let listener = TcpListener::from(socket);
        let filler = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        Gate { listener, _filler: filler }
    }

    /// For the scheduler's configuration.
    pub fn target(&self) -> TcpListener {
        self.listener.try_clone().unwrap()
    }

    /// Lets connections come up; gives the first that does, once the system has tried it again.
    pub fn open(&self) -> Peer {
        drop(self.listener.accept().unwrap());
        Peer::new(self.listener.accept().unwrap().0)
    }
}
