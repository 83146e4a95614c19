//! The program as a whole, on loopback: a client, one target and discovery are played by hand.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::time::Duration;

mod members;
mod waiting;

/// Far longer than anything takes here: a test that waits so long hangs.
const HANG: Duration = Duration::from_secs(30);

struct Scheduler {
    process: Child,
    log: BufReader<ChildStderr>,
    addr: SocketAddr,
    mgmt: SocketAddr,
    target: TcpListener,
    discovery: TcpListener,
    config: PathBuf,
    setup: Option<PathBuf>,
}

/// A configuration file with so many targets, all at one address.
fn config(name: &str, discovery: SocketAddr, target: SocketAddr, targets: usize) -> PathBuf {
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
    fn start(name: &str) -> Scheduler {
        Scheduler::with(name, 1)
    }

    fn with(name: &str, targets: usize) -> Scheduler {
        let target = TcpListener::bind("127.0.0.1:0").unwrap();
        let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
        let config = config(name, discovery.local_addr().unwrap(), target.local_addr().unwrap(), targets);
        Scheduler::launch(config, None, target, discovery)
    }

    /// One at an address that a newer one can be given, too; `host` is no other test's, nor that of any client.
    fn upgradable(name: &str, host: u8) -> Scheduler {
        Scheduler::upgradable_with(name, host, None)
    }

    fn upgradable_with(name: &str, host: u8, setup: Option<PathBuf>) -> Scheduler {
        Scheduler::upgradable_where(name, host, setup, "")
    }

    /// The same where the settings say this, too.
    fn upgradable_where(name: &str, host: u8, setup: Option<PathBuf>, also: &str) -> Scheduler {
        let (target, discovery) =
            (TcpListener::bind("127.0.0.1:0").unwrap(), TcpListener::bind("127.0.0.1:0").unwrap());
        let config = config(name, discovery.local_addr().unwrap(), target.local_addr().unwrap(), 1);
        let free =
            TcpListener::bind(SocketAddr::from(([127, 77, 0, host], 0))).unwrap().local_addr().unwrap();
        let text = std::fs::read_to_string(&config).unwrap();
        let text = text.replacen("127.0.0.1:0", &free.to_string(), 1);
        std::fs::write(&config, text.replace("\"Services\"", &format!("{also}\"Services\""))).unwrap();
        Scheduler::launch(config, setup, target, discovery)
    }

    /// A newer process beside this one.
    fn newer(&self) -> Scheduler {
        let (target, discovery) = (self.target.try_clone().unwrap(), self.discovery.try_clone().unwrap());
        Scheduler::launch(self.config.clone(), self.setup.clone(), target, discovery)
    }

    /// The newer process beside this one, with its list; also the two watches on it.
    fn upgraded(&self) -> (Scheduler, [Peer; 2]) {
        let old = Peer::new(self.discovery.accept().unwrap().0);
        let mut new = self.newer();
        assert!(!new.says_yes("GET /healthcheck"));
        let mut list = Peer::new(self.discovery.accept().unwrap().0);
        assert_eq!(list.message().0, "GET /discovery/hosts HTTP/1.1");
        let text = std::fs::read_to_string(&self.config).unwrap();
        let known =
            text.split("\"known\": ").nth(1).and_then(|t| t.split(",\n        \"settings").next()).unwrap();
        list.send(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{known}", known.len()));
        new.logs("ready: this process takes clients now");
        assert!(new.says_yes("GET /healthcheck"));
        (new, [old, list])
    }

    fn launch(
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
        Scheduler { addr, mgmt, process, log, target, discovery, config, setup }
    }

    fn connect(&self) -> Peer {
        Peer::new(TcpStream::connect(self.addr).unwrap())
    }

    fn news(&self, text: &str) {
        let mut peer = self.connect();
        peer.send(&format!("POST /_jobs/news HTTP/1.1\r\nContent-Length: {}\r\n\r\n{text}", text.len()));
        assert_eq!(peer.message().0, "HTTP/1.1 200 OK");
    }

    /// Makes an operator's call; gives its status and body.
    fn call(&self, line: &str) -> (String, String) {
        let mut peer = Peer::new(TcpStream::connect(self.mgmt).unwrap());
        peer.send(&format!("{line} HTTP/1.1\r\nHost: m\r\n\r\n"));
        let (status, _, body) = peer.message();
        assert!(peer.ends());
        (status.split(' ').nth(1).unwrap().into(), body)
    }

    /// Whether a call is answered with yes.
    fn says_yes(&self, line: &str) -> bool {
        self.call(line).0 == "200"
    }

    /// Sends a signal to the process that this test has started.
    fn signal(&self, signal: &str) {
        let id = self.process.id().to_string();
        assert!(Command::new("kill").args([signal, &id]).status().unwrap().success());
    }

    /// Waits for a line of the log.
    fn logs(&mut self, part: &str) {
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
struct Peer(BufReader<TcpStream>);

impl Peer {
    fn new(stream: TcpStream) -> Peer {
        stream.set_read_timeout(Some(HANG)).unwrap();
        Peer(BufReader::new(stream))
    }

    fn send(&mut self, text: &str) {
        self.0.get_mut().write_all(text.as_bytes()).unwrap();
    }

    fn job(&mut self, id: &str) {
        self.send(&format!(
            "POST /render/x?y=1 HTTP/1.1\r\nX-Trace-Id: {id}\r\nX-Qos: render\r\nContent-Length: 2\r\n\r\nab"
        ));
    }

    /// The next message: its first line, its head and its body.
    fn message(&mut self) -> (String, String, String) {
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

    fn ends(&mut self) -> bool {
        self.0.read(&mut [0]).unwrap() == 0
    }
}

#[test]
fn a_job_is_forwarded_and_its_result_served_and_connections_are_used_again() {
    let s = Scheduler::start("served");
    let (mut client, mut target) = (s.connect(), None);
    for id in ["t1", "t2"] {
        client.job(id);
        let target = target.get_or_insert_with(|| Peer::new(s.target.accept().unwrap().0));
        let (line, head, body) = target.message();
        assert_eq!((line.as_str(), body.as_str()), ("POST /render/x?y=1 HTTP/1.1", "ab"));
        assert!(head.contains(&format!("X-Trace-Id: {id}\r\n")) && head.contains("X-Expires-In: "));
        target.send("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
        let done = format!(r#"{{"id":"{id}","from":"s-1","state":"done","result":"made for {id}"}}"#);
        s.news(&done);
        let (line, _, body) = client.message();
        assert_eq!((line.as_str(), body), ("HTTP/1.1 200 OK", format!("made for {id}")));
        s.news(&done); // late and repeated: answered and dropped
    }
}

#[test]
fn a_client_that_leaves_has_its_job_withdrawn() {
    let s = Scheduler::start("withdrawn");
    let mut client = s.connect();
    client.job("t1");
    let mut target = Peer::new(s.target.accept().unwrap().0);
    target.message();
    target.send("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
    s.news(r#"{"id":"t1","from":"s-1","state":"running","share":0.1}"#);
    drop(client);
    assert_eq!(target.message().0, "DELETE /jobs/t1 HTTP/1.1");
}

#[test]
fn a_job_that_its_target_does_not_take_goes_to_another() {
    let s = Scheduler::with("silent", 2);
    let mut client = s.connect();
    client.job("t1");
    let mut silent = Peer::new(s.target.accept().unwrap().0);
    silent.message();
    let mut other = Peer::new(s.target.accept().unwrap().0);
    assert!(other.message().1.contains("X-Trace-Id: t1\r\n") && silent.ends());
    other.send("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
    (1..=2).for_each(|n| s.news(&format!(r#"{{"id":"t1","from":"s-{n}","state":"done","result":"r"}}"#)));
    assert_eq!(client.message().0, "HTTP/1.1 200 OK");
}

#[test]
fn a_kept_connection_that_breaks_under_a_job_is_replaced_by_a_new_one() {
    let s = Scheduler::start("stale");
    let mut client = s.connect();
    let mut target: Option<Peer> = None;
    for id in ["t1", "t2"] {
        client.job(id);
        if let Some(mut kept) = target.take() {
            Peer::message(&mut kept); // it has the job, and ends without a word
        }
        let target = target.insert(Peer::new(s.target.accept().unwrap().0));
        assert!(target.message().1.contains(&format!("X-Trace-Id: {id}\r\n")));
        target.send("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
        s.news(&format!(r#"{{"id":"{id}","from":"s-1","state":"done","result":"r"}}"#));
        assert_eq!(client.message().0, "HTTP/1.1 200 OK");
    }
}

#[test]
fn a_target_that_refuses_connections_leads_to_a_refusal_and_bad_input_to_its_status() {
    let mut s = Scheduler::start("refused");
    s.target = TcpListener::bind("127.0.0.1:0").unwrap(); // the one of the list is closed now
    let mut client = s.connect();
    client.job("t1");
    assert_eq!(client.message().0, "HTTP/1.1 503 Service Unavailable");
    let cases = [
        ("POST /render HTTP/1.1\r\nX-Trace-Id: t2\r\nContent-Length: 99999\r\n\r\n", "413"),
        ("POST /other HTTP/1.1\r\nX-Trace-Id: t2\r\n\r\n", "404"),
        ("nonsense\r\n\r\n", "400"),
    ];
    for (text, status) in cases {
        let mut client = s.connect();
        client.send(text);
        assert_eq!(client.message().0.split(' ').nth(1), Some(status));
        assert!(client.ends());
    }
}

#[test]
fn news_come_through_when_clients_hold_all_other_descriptors() {
    // 82 descriptors: 13 of its own, 18 for operators, 12 for targets, 9 of the other 39 for news, so that 30 jobs fill the rest.
    let s = Scheduler::with("full", 8);
    let (took, taken) = std::sync::mpsc::channel();
    let target = s.target.try_clone().unwrap();
    std::thread::spawn(move || {
        for stream in target.incoming().map_while(Result::ok) {
            let (mut peer, took) = (Peer::new(stream), took.clone());
            std::thread::spawn(move || {
                while peer.0.fill_buf().is_ok_and(|b| !b.is_empty()) {
                    peer.message();
                    peer.send("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
                    let _ = took.send(()); // the test may be over
                }
            });
        }
    });
    let mut clients = Vec::new();
    for n in 0..30 {
        let mut client = s.connect();
        client.job(&format!("t{n}"));
        taken.recv_timeout(HANG).unwrap();
        clients.push(client);
    }
    let mut one_more = s.connect();
    one_more.job("t30");
    assert_eq!(one_more.message().0, "HTTP/1.1 503 Service Unavailable");
    for target in 1..=8 {
        s.news(&format!(r#"{{"id":"t0","from":"s-{target}","state":"done","result":"r"}}"#));
    }
    assert_eq!(clients[0].message().0, "HTTP/1.1 200 OK");
}

#[test]
fn operators_get_figures_and_a_no_to_what_is_none_whoever_else_says_nothing() {
    let mut s = Scheduler::start("figures");
    let silent: Vec<_> = (0..40).map(|_| TcpStream::connect(s.mgmt).unwrap()).collect();
    assert!(s.says_yes("GET /healthcheck"));
    let cases = [("GET /nothing", "404"), ("GET /healthcheck/fail", "405"), ("nonsense", "400")];
    cases.into_iter().for_each(|(line, status)| assert_eq!(s.call(line).0, status, "{line}"));
    let mut client = s.connect();
    client.job("t1");
    let mut target = Peer::new(s.target.accept().unwrap().0);
    target.message();
    let (served, flying) = (r#""served":{"render":1}"#, r#""attempts":1,"in_flight":1,"workers_known":1"#);
    assert!(s.call("GET /stats").1.contains(flying));
    target.send("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
    s.news(r#"{"id":"t1","from":"s-1","state":"done","result":"r"}"#);
    client.message();
    assert!(s.call("GET /stats").1.contains(served));
    s.signal("-HUP");
    s.logs("SIGHUP: discovery at");
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("figures.json");
    std::fs::write(&path, "{").unwrap();
    s.signal("-HUP");
    s.logs("SIGHUP: the configuration stays as it was");
    let last = r#""in_flight":0,"workers_known":1,"workers_excluded":0,"reloads_ok":1,"reloads_failed":1"#;
    assert!(s.call("GET /stats").1.contains(last));
    drop(silent);
}

#[test]
fn silent_and_endless_clients_are_closed_and_keep_nobody_waiting() {
    let s = Scheduler::start("rude");
    let (mut silent, mut half, mut endless) = (s.connect(), s.connect(), s.connect());
    half.send("POST /render HTTP/1.1\r\nContent-Le");
    endless.send("nonsense\r\n\r\n");
    let mut flood = endless.0.get_ref().try_clone().unwrap();
    let sender = std::thread::spawn(move || while flood.write_all(&[b'x'; 65_536]).is_ok() {});
    let mut good = s.connect();
    good.send("GET /up HTTP/1.1\r\n\r\n");
    assert_eq!(good.message().0, "HTTP/1.1 200 OK");
    assert_eq!(endless.message().0, "HTTP/1.1 400 Bad Request");
    assert_eq!(half.message().0, "HTTP/1.1 408 Request Timeout");
    assert!(half.ends() && silent.ends());
    sender.join().unwrap();
    // One that stands idle between its requests may stay.
    good.send("GET /up HTTP/1.1\r\n\r\n");
    assert_eq!(good.message().0, "HTTP/1.1 200 OK");
}

#[test]
fn a_watch_goes_on_and_a_broken_one_begins_again() {
    let s = Scheduler::start("watch");
    let mut discovery = Peer::new(s.discovery.accept().unwrap().0);
    assert!(discovery.message().0.contains("after=41&"));
    let body = r#"{"version":42,"full":false,"servers":[]}"#;
    discovery.send(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()));
    assert!(discovery.message().0.contains("after=42&"));
    drop(discovery);
    assert!(Peer::new(s.discovery.accept().unwrap().0).message().0.contains("after=42&"));
}

#[test]
fn sighup_moves_the_watch_and_disturbs_no_request() {
    let mut s = Scheduler::start("reloaded");
    let mut old = Peer::new(s.discovery.accept().unwrap().0);
    assert!(old.message().0.contains("after=41&"));
    let mut client = s.connect();
    client.job("t1");
    let mut target = Peer::new(s.target.accept().unwrap().0);
    target.message();
    target.send("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("reloaded.json");
    let good = std::fs::read_to_string(&path).unwrap();
    std::fs::write(&path, "{").unwrap();
    s.signal("-HUP");
    s.logs("SIGHUP: the configuration stays as it was");
    let new = TcpListener::bind("127.0.0.1:0").unwrap();
    let (from, to) = (s.discovery.local_addr().unwrap(), new.local_addr().unwrap());
    std::fs::write(&path, good.replace(&from.to_string(), &to.to_string())).unwrap();
    s.signal("-HUP");
    // The versions of another service mean nothing: the whole list comes first, also when the first call fails.
    for _ in 0..2 {
        assert_eq!(Peer::new(new.accept().unwrap().0).message().0, "GET /discovery/hosts HTTP/1.1");
    }
    assert!(old.ends());
    s.news(r#"{"id":"t1","from":"s-1","state":"done","result":"r"}"#);
    assert_eq!(client.message().0, "HTTP/1.1 200 OK");
}

#[test]
fn a_target_taken_out_gets_nothing_until_it_is_taken_back() {
    let mut s = Scheduler::start("taken-out");
    let mut client = s.connect();
    assert!(!s.says_yes("PUT /workers/s-9/maint") && !s.says_yes("PUT /workers/s-9/ready"));
    assert!(s.says_yes("PUT /workers/s-1/maint") && s.says_yes("PUT /workers/s-1/maint"));
    assert!(s.call("GET /stats").1.contains(r#""workers_known":1,"workers_excluded":1"#));
    s.signal("-HUP");
    s.logs("SIGHUP: discovery at");
    client.job("t1");
    assert_eq!(client.message().0, "HTTP/1.1 503 Service Unavailable");
    assert!(s.says_yes("PUT /workers/s-1/ready"));
    assert!(s.call("GET /stats").1.contains(r#""workers_excluded":0"#));
    client.job("t2");
    assert!(Peer::new(s.target.accept().unwrap().0).message().1.contains("X-Trace-Id: t2\r\n"));
}

#[test]
fn a_drain_by_call_turns_clients_away_step_by_step_and_is_undone() {
    let mut s = Scheduler::start("drained-by-call");
    let is_up = |s: &Scheduler| {
        let mut up = s.connect();
        up.send("GET /up HTTP/1.1\r\n\r\n");
        up.message().0 == "HTTP/1.1 200 OK"
    };
    let (mut idle, mut client) = (s.connect(), s.connect());
    idle.send("GET /up HTTP/1.1\r\n\r\n");
    idle.message();
    client.job("t1");
    let mut target = Peer::new(s.target.accept().unwrap().0);
    target.message();
    target.send("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
    assert!(s.says_yes("PUT /healthcheck/fail") && s.says_yes("PUT /healthcheck/fail"));
    assert!(!is_up(&s) && !s.says_yes("GET /healthcheck"));
    assert!(idle.ends()); // in the end; what is under way goes on
    let mut late = s.connect();
    late.job("t2");
    let (line, head, _) = late.message();
    assert!(
        line == "HTTP/1.1 503 Service Unavailable" && head.contains("Connection: close\r\n") && late.ends()
    );
    s.news(r#"{"id":"t1","from":"s-1","state":"done","result":"r"}"#);
    let (line, head, _) = client.message();
    assert!(line == "HTTP/1.1 200 OK" && head.contains("Connection: close\r\n"));
    assert!(s.call("GET /stats").1.contains(r#""served":{"render":1},"refused":{"render":1}"#));
    assert!(s.says_yes("PUT /healthcheck/ok") && is_up(&s) && s.says_yes("GET /healthcheck"));
    assert!(s.process.try_wait().unwrap().is_none());
    late = s.connect();
    late.job("t3");
    assert!(target.message().1.contains("X-Trace-Id: t3\r\n"));
}

#[test]
fn sigterm_lets_work_end_before_the_program_does() {
    let mut s = Scheduler::start("drained");
    let (mut client, mut up) = (s.connect(), s.connect());
    up.send("GET /up HTTP/1.1\r\n\r\n");
    assert_eq!(up.message().0, "HTTP/1.1 200 OK");
    client.job("t1");
    let mut target = Peer::new(s.target.accept().unwrap().0);
    target.message();
    target.send("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
    s.signal("-TERM");
    s.logs("SIGTERM: 1 request");
    up.send("GET /up HTTP/1.1\r\n\r\n");
    assert_eq!(up.message().0, "HTTP/1.1 503 Service Unavailable");
    assert!(up.ends());
    s.news(r#"{"id":"t1","from":"s-1","state":"done","result":"r"}"#);
    let (line, head, body) = client.message();
    assert_eq!((line.as_str(), body.as_str()), ("HTTP/1.1 200 OK", "r"));
    // For a while it may be that no other scheduler takes its clients: their connections stay open.
    assert!(!head.contains("Connection: close\r\n"));
    // What comes now and finds no end has an answer before the process is killed, long before its deadline.
    client.job("t2");
    assert_eq!(target.message().0, "POST /render/x?y=1 HTTP/1.1");
    let (line, head, _) = client.message();
    // It may have run, and may be repeated: both are true of it.
    assert!(["HTTP/1.1 503 Service Unavailable", "HTTP/1.1 504 Gateway Timeout"].contains(&line.as_str()));
    assert!(head.contains("Connection: close\r\n") && client.ends());
    assert!(s.process.wait().unwrap().success());
}

const TAKEN: &str = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";

#[test]
fn an_upgrade_loses_no_job_and_nothing_that_operators_said() {
    let mut old = Scheduler::upgradable("upgraded", 1);
    let mut client = old.connect();
    client.job("t1");
    let mut target = Peer::new(old.target.accept().unwrap().0);
    target.message();
    target.send(TAKEN);
    assert!(old.says_yes("PUT /workers/s-1/maint"));
    assert!(old.says_yes("PUT /healthcheck/fail"));
    let (mut new, _watches) = old.upgraded(); // with a yes, although it sends clients away as the old one does
    old.logs("the newer process takes clients now");
    let mut up = new.connect();
    up.send("GET /up HTTP/1.1\r\n\r\n");
    assert_eq!(up.message().0, "HTTP/1.1 503 Service Unavailable");
    assert!(new.says_yes("PUT /healthcheck/ok"));
    let excluded =
        |s: &Scheduler, n: u8| s.call("GET /stats").1.contains(&format!(r#""workers_excluded":{n}"#));
    assert!(excluded(&new, 1));
    // New connections come to the new one: it knows what is under way at the old one, and passes its news on.
    let mut twice = new.connect();
    twice.job("t1");
    assert_eq!(twice.message().0, "HTTP/1.1 409 Conflict");
    new.news(r#"{"id":"t1","from":"s-1","state":"done","result":"r"}"#);
    let (line, head, _) = client.message();
    assert!(line == "HTTP/1.1 200 OK" && head.contains("Connection: close\r\n") && client.ends());
    // What is said to one is said to both.
    assert!(new.says_yes("PUT /workers/s-1/ready"));
    while excluded(&old, 1) {}
    drop(client);
    old.signal("-TERM");
    assert!(old.process.wait().unwrap().success());
    new.logs("this one is alone");
    let mut client = new.connect();
    client.job("t2");
    assert!(Peer::new(new.target.accept().unwrap().0).message().1.contains("X-Trace-Id: t2\r\n"));
    assert!(new.says_yes("GET /healthcheck"));
}

#[test]
fn on_the_way_out_clients_go_to_the_newer_process_with_their_connections_and_jobs() {
    let mut old = Scheduler::upgradable("moved", 3);
    let (mut idle, mut client) = (old.connect(), old.connect());
    idle.send("GET /up HTTP/1.1\r\n\r\n");
    idle.message();
    client.job("t1");
    let mut target = Peer::new(old.target.accept().unwrap().0);
    target.message();
    target.send(TAKEN);
    let (new, _watches) = old.upgraded();
    old.logs("the newer process takes clients now");
    old.signal("-TERM");
    // It ends although the job goes on, and ends neither connection with it.
    assert!(old.process.wait().unwrap().success());
    assert!(new.call("GET /stats").1.contains(r#""in_flight":1"#));
    new.news(r#"{"id":"t1","from":"s-1","state":"done","result":"r"}"#);
    let (line, head, body) = client.message();
    assert_eq!((line.as_str(), body.as_str()), ("HTTP/1.1 200 OK", "r"));
    assert!(!head.contains("Connection: close\r\n"));
    for mut kept in [client, idle] {
        kept.send("GET /up HTTP/1.1\r\n\r\n");
        assert_eq!(kept.message().0, "HTTP/1.1 200 OK");
    }
}

#[test]
fn an_upgrade_called_off_by_sigterm_leaves_clients_where_they_are() {
    let mut old = Scheduler::upgradable("called-off", 4);
    let _watch = old.discovery.accept().unwrap();
    let mut new = old.newer();
    let mut list = Peer::new(old.discovery.accept().unwrap().0);
    list.message();
    new.signal("-TERM");
    new.logs("SIGTERM: 0 requests");
    let known = r#"{"version":42,"full":true,"servers":[]}"#;
    list.send(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{known}", known.len()));
    assert!(new.process.wait().unwrap().success());
    let mut line = String::new();
    while !line.contains("this one is alone") {
        assert!(!line.contains("the newer process takes clients"));
        line.clear();
        assert!(old.log.read_line(&mut line).unwrap() > 0);
    }
    assert!(old.says_yes("GET /healthcheck"));
}

#[test]
fn whichever_process_of_an_upgrade_dies_the_other_goes_on() {
    let mut old = Scheduler::upgradable("upgrade-broken", 2);
    let is_up = |s: &Scheduler| {
        let mut up = s.connect();
        up.send("GET /up HTTP/1.1\r\n\r\n");
        up.message().0 == "HTTP/1.1 200 OK"
    };
    let (mut new, watches) = old.upgraded();
    assert!(is_up(&old));
    new.process.kill().unwrap();
    old.logs("this one is alone");
    assert!(is_up(&old) && old.says_yes("GET /healthcheck"));
    drop((new, watches));
    // The old one dies before the next has had a list: that one takes clients all the same.
    let mut new = old.newer();
    old.process.kill().unwrap();
    new.logs("this one is alone");
    assert!(is_up(&new) && new.says_yes("GET /healthcheck"));
    // What an ended process has left at the meeting place stops no start.
    new.process.kill().unwrap();
    new.process.wait().unwrap();
    let last = new.newer();
    assert!(is_up(&last));
}

#[test]
fn a_bad_configuration_is_one_line_and_a_failure() {
    let run = |args: &[&str]| Command::new(env!("CARGO_BIN_EXE_postusher")).args(args).output().unwrap();
    for command in ["serve", "check-config"] {
        let output = run(&[command, "--config", "no/such/file"]);
        let error = String::from_utf8(output.stderr).unwrap();
        assert!(!output.status.success() && error.lines().count() == 1, "{error}");
        assert!(error.contains("no/such/file"));
    }
    let good = config("good", ([127, 0, 0, 1], 1).into(), ([127, 0, 0, 1], 2).into(), 1);
    assert!(run(&["check-config", "--config", good.to_str().unwrap()]).status.success());
    assert!(String::from_utf8(run(&["version"]).stdout).unwrap().starts_with("postusher "));
}
