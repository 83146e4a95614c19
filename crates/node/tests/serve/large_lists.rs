//! Lists of fleets with thousands of workers, and answers of discovery that do not arrive whole.

use super::*;

/// The most workers that a fleet may have, by the operators' page.
const LARGEST_FLEET: usize = 3_200;

/// A list in which the worker of the configuration drains, with as many others as the largest fleet has.
fn large_list(version: u64, full: bool, addr: &str) -> String {
    let entry = |id: &str| {
        format!(
            r#"{{"id":"{id}","addr":"{addr}","zone":"a","kind":"k","cell":0,"state":"draining","weight":1.0,"started_ms":1764633600000}}"#
        )
    };
    let others = (0..LARGEST_FLEET).map(|n| entry(&format!("s-{n:08x}")));
    let servers: Vec<String> = std::iter::once(entry("s-1")).chain(others).collect();
    format!(r#"{{"version":{version},"full":{full},"servers":[{}]}}"#, servers.join(","))
}

fn in_chunks(body: &str) -> String {
    let chunks = body.as_bytes().chunks(10_000).map(|part| {
        let text = std::str::from_utf8(part).unwrap();
        format!("{:x}\r\n{text}\r\n", part.len())
    });
    let chunks: String = chunks.collect();
    format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}0\r\n\r\n")
}

/// The list of a large fleet is longer than any request or result may be.
#[test]
fn a_list_of_thousands_of_workers_is_taken_in_and_its_draining_workers_get_nothing() {
    let scheduler = Scheduler::start("large-list");
    let mut watch = scheduler.confirm_list();
    let addr = scheduler.worker_listener.local_addr().unwrap().to_string();
    watch.send_list(&large_list(42, false, &addr));
    assert!(watch.message().line.contains("after=42&wait_ms=4000 "));
    watch.send(&in_chunks(&large_list(43, true, &addr)));
    assert!(watch.message().line.contains("after=43&wait_ms=4000 "));
    let mut client = scheduler.connect();
    client.send_job("t1");
    assert_eq!(client.message().line, "HTTP/1.1 503 Service Unavailable");
    // Without a length the answer ends with its connection.
    watch.send(&format!("HTTP/1.1 200 OK\r\n\r\n{}", large_list(44, false, &addr)));
    drop(watch);
    let mut again = scheduler.accept_discovery_connection();
    assert!(again.message().line.contains("after=44&"));
}

/// The list of the configuration may be of long ago, and clients may come before `/up` was ever asked.
#[test]
fn the_first_jobs_of_a_process_are_placed_by_the_list_that_discovery_has() {
    let scheduler = Scheduler::without_list("first-list", 2);
    let addr = scheduler.worker_listener.local_addr().unwrap().to_string();
    let mut client = scheduler.connect();
    client.send_job("t1");
    let mut watch = scheduler.accept_discovery_connection();
    assert!(watch.message().line.contains("after=41&wait_ms=0 "));
    std::thread::sleep(Duration::from_millis(150));
    let draining = |id| format!(r#"{{"id":"{id}","addr":"{addr}","state":"draining"}}"#);
    watch.send_list(&format!(
        r#"{{"version":42,"full":false,"servers":[{},{}]}}"#,
        draining("s-1"),
        draining("s-2")
    ));
    assert_eq!(client.message().line, "HTTP/1.1 503 Service Unavailable");
    scheduler.worker_listener.set_nonblocking(true).unwrap();
    assert!(scheduler.worker_listener.accept().is_err(), "a job went out before the list had come");
}

/// What discovery has begun to send counts as notified, whether or not the rest arrives.
#[test]
fn nothing_begins_by_a_list_that_discovery_has_begun_to_replace() {
    let scheduler = Scheduler::start("cut-list");
    let mut watch = scheduler.confirm_list();
    watch.send("HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n{\"version\":42,");
    // Nothing more comes: the call is made again elsewhere, and this one is given up.
    let mut again = scheduler.accept_discovery_connection();
    assert!(again.message().line.contains("after=41&wait_ms=0 ") && watch.reaches_end());
    let mut client = scheduler.connect();
    client.send_job("t1");
    std::thread::sleep(Duration::from_millis(100));
    scheduler.worker_listener.set_nonblocking(true).unwrap();
    assert!(scheduler.worker_listener.accept().is_err(), "a job went out by a list that was replaced");
    scheduler.worker_listener.set_nonblocking(false).unwrap();
    again.send_list(r#"{"version":42,"full":false,"servers":[]}"#);
    assert!(scheduler.accept_worker_connection().message().head.contains("X-Trace-Id: t1\r\n"));
}

/// The rejection of a discovery that is down or busy notifies of nothing, in however many pieces it comes.
#[test]
fn a_refusal_of_discovery_leaves_the_list_in_force() {
    let scheduler = Scheduler::start("refusing-discovery");
    let mut watch = scheduler.confirm_list();
    watch.send("HTTP/1.1 503 Serv");
    std::thread::sleep(Duration::from_millis(400));
    watch.send("ice Unavailable\r\nContent-Length: 0\r\n\r\n");
    assert!(scheduler.accept_discovery_connection().message().line.contains("wait_ms=0 "));
    let mut client = scheduler.connect();
    client.send_job("t1");
    assert!(scheduler.accept_worker_connection().message().head.contains("X-Trace-Id: t1\r\n"));
}
