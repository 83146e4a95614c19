//! Golden file: what goes over a running scheduler's sockets, whoever is at the other end, line ends aside.
//! `UPDATE_GOLDEN=1` writes the fixture anew, for a deliberate change of a format.

use super::*;
use std::collections::BTreeMap;
use std::time::Instant;

/// Reads what has a known length, head and body, as it came.
fn whole(peer: &mut Connection) -> String {
    let Message { head, body, .. } = peer.message();
    format!("{head}\n{body}\n---\n")
}

/// Ports are the system's choice, and the time left is measured: both are blanked.
fn steady(text: &str) -> String {
    let blank = |line: &str| match line.split_once(": ") {
        Some(("X-Expires-In", value)) => format!("X-Expires-In: N{}", &value[value.len() - 1..]),
        Some(("Host", _)) => "Host: H".to_string(),
        _ => line.to_string(),
    };
    text.lines().map(|line| blank(line) + "\n").collect()
}

fn admin(scheduler: &Scheduler, line: &str) -> String {
    let mut peer = Connection::new(TcpStream::connect(scheduler.admin_addr).unwrap());
    peer.send(&format!("{line} HTTP/1.1\r\nHost: m\r\n\r\n"));
    format!("> {line}\n{}", whole(&mut peer))
}

fn client(scheduler: &Scheduler, text: &str) -> String {
    let mut peer = scheduler.connect();
    peer.send(text);
    format!("> {}\n{}", text.lines().next().unwrap(), whole(&mut peer))
}

/// One request of each method that a worker gets for a job whose client leaves once it has started.
fn worker_requests(scheduler: &Scheduler) -> String {
    let mut client = Some(scheduler.connect());
    client.as_mut().unwrap().send_job("t1");
    let mut peers = Vec::<Connection>::new();
    let mut by_method = BTreeMap::new();
    scheduler.worker_listener.set_nonblocking(true).unwrap();
    let until = Instant::now() + TEST_TIMEOUT;
    while by_method.len() < 3 {
        assert!(Instant::now() < until, "only {by_method:?} came");
        if let Ok((stream, _)) = scheduler.worker_listener.accept() {
            stream.set_nonblocking(false).unwrap();
            peers.push(Connection::new(stream));
        }
        for peer in peers.iter_mut().filter(|peer| peer.has_data()) {
            let text = whole(peer);
            let method = text.split(' ').next().unwrap().to_string();
            by_method.entry(method).or_insert(text.clone());
            if text.starts_with("GET ") {
                peer.send_list(r#"{"qps":1,"x0":4}"#);
            } else {
                peer.send(ACCEPTED);
            }
            if text.starts_with("POST ") {
                scheduler.send_job_status(r#"{"id":"t1","from":"s-1","state":"started"}"#);
                client = None;
            }
        }
        std::thread::yield_now();
    }
    drop(client);
    scheduler.worker_listener.set_nonblocking(false).unwrap();
    by_method.into_values().collect()
}

#[test]
fn what_goes_over_sockets_keeps_its_bytes() {
    let probes = |text: String| {
        let text = text.replace("\"Cancel\": true", "\"Cancel\": true, \"Probes\": true");
        let specifics = r#""Report": {"Fields": ["tps", "x0"], "Source": "on_probe"},
            "Specifics": {"ReportX0": "free slots"}, "Services""#;
        text.replace("\"Services\"", specifics)
    };
    let scheduler = Scheduler::with_config_without_list("golden", 1, probes);
    let mut seen = String::new();
    let mut discovery = scheduler.accept_discovery_connection();
    seen += &whole(&mut discovery);
    discovery.send_list(r#"{"version":41,"full":false,"servers":[]}"#);
    seen += &whole(&mut discovery);
    for line in ["GET /healthcheck", "GET /stats", "GET /members", "PUT /stats", "GET /nothing"] {
        seen += &admin(&scheduler, line);
    }
    for line in ["PUT /workers/s-9/maint", "PUT /workers/s-1/maint", "PUT /workers/s-1/ready"] {
        seen += &admin(&scheduler, line);
    }
    seen += &client(&scheduler, "GET /up HTTP/1.1\r\n\r\n");
    seen += &client(&scheduler, "POST /up HTTP/1.1\r\n\r\n");
    seen += &client(&scheduler, "POST /other HTTP/1.1\r\nX-Trace-Id: a\r\n\r\n");
    seen += &client(&scheduler, "nonsense\r\n\r\n");
    seen += &client(&scheduler, "POST /_jobs/news HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}");
    seen += &worker_requests(&scheduler);
    assert!(scheduler.admin_accepts("PUT /healthcheck/fail"));
    seen += &admin(&scheduler, "GET /healthcheck");
    seen += &client(&scheduler, "GET /up HTTP/1.1\r\n\r\n");
    let seen = steady(&seen);
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden/sockets.txt");
    if std::env::var_os("UPDATE_GOLDEN").is_some() {
        std::fs::write(&path, &seen).unwrap();
    }
    assert_eq!(seen, std::fs::read_to_string(path).unwrap());
}
