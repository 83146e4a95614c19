//! Memory that the requests of clients take, whatever part of them has arrived.

use super::{Connection, Message, Scheduler, ACCEPTED};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Memory limit of the scheduler: the lowest one of any deployment.
const MEMORY_LIMIT_MB: usize = 32;
/// Descriptor limit of the scheduler, which leaves some 430 for connections of clients and workers.
const DESCRIPTORS: usize = 608;
/// Number of clients that send the same large request.
const CLIENTS: usize = 400;
/// Size of the body of a large request; a body may have 65,536 bytes.
const LARGE_BODY_BYTES: usize = 65_000;
/// Time within which a client that does not complete its request must get an error or be disconnected.
const ERROR_TIMEOUT: Duration = Duration::from_secs(3);

fn with_limits(text: String) -> String {
    let sockets = format!("\"sockets\": {DESCRIPTORS}");
    let memory = format!("\"memory_mb\": {MEMORY_LIMIT_MB}");
    text.replace("\"sockets\": 82", &sockets).replace("\"memory_mb\": 192", &memory)
}

/// Returns the largest size of the scheduler's resident memory so far, in bytes.
fn peak_memory(scheduler: &Scheduler) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{}/status", scheduler.process.id())).unwrap();
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    peak.trim().trim_end_matches(" kB").parse::<usize>().unwrap() * 1024
}

fn assert_within_memory_limit(scheduler: &Scheduler) {
    let peak = peak_memory(scheduler);
    println!("peak memory: {peak} bytes");
    assert!(peak <= MEMORY_LIMIT_MB * 1_000_000, "{peak} bytes of {MEMORY_LIMIT_MB} MB");
}

/// Opens connections of which each sends what `request` returns for its number. Writes that the scheduler
/// does not take are given up.
fn send_from_clients(addr: SocketAddr, request: impl Fn(usize) -> String) -> Vec<Connection> {
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let mut stream = TcpStream::connect(addr).unwrap();
        stream.set_nonblocking(true).unwrap();
        let _ = stream.write(request(number).as_bytes()); // the socket's buffer takes as much as it can
        stream.set_nonblocking(false).unwrap();
        clients.push(Connection::new(stream));
    }
    clients
}

fn head(number: usize, framing: &str) -> String {
    format!("POST /render/x HTTP/1.1\r\nX-Trace-Id: large{number}\r\nX-Qos: render\r\n{framing}\r\n\r\n")
}

/// Returns a request with a body in chunks, of which the last one is missing.
fn partial_chunked_request(number: usize) -> String {
    let head = head(number, "Transfer-Encoding: chunked");
    format!("{head}{LARGE_BODY_BYTES:x}\r\n{}\r\n", "x".repeat(LARGE_BODY_BYTES))
}

/// Returns a request whose body lacks its last bytes.
fn partial_request(number: usize) -> String {
    let framing = format!("Content-Length: {}", LARGE_BODY_BYTES + 10);
    head(number, &framing) + &"x".repeat(LARGE_BODY_BYTES)
}

fn complete_request(number: usize) -> String {
    head(number, &format!("Content-Length: {LARGE_BODY_BYTES}")) + &"x".repeat(LARGE_BODY_BYTES)
}

/// Asserts that an ordinary job is served.
fn assert_serves_job(scheduler: &Scheduler, id: &str) {
    let mut client = scheduler.connect();
    client.send_job(id);
    let mut worker = scheduler.accept_worker_connection();
    worker.read_message();
    worker.send(ACCEPTED);
    scheduler.finish_job(id);
    assert_eq!(client.read_message().line, "HTTP/1.1 200 OK");
}

fn assert_partial_requests_are_bounded(name: &str, request: impl Fn(usize) -> String) {
    let scheduler = Scheduler::with_config(name, 1, with_limits);
    let started_at = Instant::now();
    let clients = send_from_clients(scheduler.addr, request);
    assert_serves_job(&scheduler, "t1");
    for mut client in clients {
        let Message { line, .. } = client.read_message();
        let status = line.split(' ').nth(1).unwrap_or_default();
        assert!(["408", "503"].contains(&status), "{line}");
    }
    assert!(started_at.elapsed() < ERROR_TIMEOUT, "{:?}", started_at.elapsed());
    assert_within_memory_limit(&scheduler);
}

#[test]
fn partial_chunked_requests_of_many_clients_stay_within_the_memory_limit() {
    // Guards against memory in proportion to the number of clients: the scheduler was killed.
    assert_partial_requests_are_bounded("memory-chunks", partial_chunked_request);
}

#[test]
fn partial_requests_of_many_clients_stay_within_the_memory_limit() {
    // Guards against memory in proportion to the number of clients: the scheduler was killed.
    assert_partial_requests_are_bounded("memory-partial", partial_request);
}

#[test]
fn waiting_jobs_of_many_clients_stay_within_the_memory_limit() {
    // Guards against complete requests that take the memory while their jobs wait for the endpoint list.
    let scheduler = Scheduler::with_config_without_list("memory-waiting", 1, with_limits);
    let mut clients = send_from_clients(scheduler.addr, complete_request);
    let rejected = clients.split_off(CLIENTS - 1).pop().map(|mut client| client.read_message().line);
    assert_eq!(rejected.as_deref(), Some("HTTP/1.1 503 Service Unavailable"), "no memory for the last job");
    assert_within_memory_limit(&scheduler);
}

#[test]
fn requests_sent_ahead_by_many_clients_stay_within_the_memory_limit() {
    // Guards against input that is read ahead while the answer to an earlier request is not known yet.
    let scheduler = Scheduler::with_config_without_list("memory-pipelined", 1, with_limits);
    let pipelined = |number: usize| {
        let first = head(number, "Content-Length: 0");
        first + &complete_request(number + CLIENTS) + &complete_request(number + 2 * CLIENTS)
    };
    let clients = send_from_clients(scheduler.addr, pipelined);
    std::thread::sleep(Duration::from_millis(500));
    drop(clients);
    assert_within_memory_limit(&scheduler);
}

#[test]
fn slow_small_request_stays_while_large_ones_make_room() {
    // Guards against a shortage of memory that ends the requests of clients that take little of it.
    let scheduler = Scheduler::with_config("memory-slow", 1, with_limits);
    let mut slow = scheduler.connect();
    slow.send("POST /render/x HTTP/1.1\r\nX-Trace-Id: slow\r\nX-Qos: render\r\nContent-Length: 2\r\n\r\na");
    let mut clients = send_from_clients(scheduler.addr, partial_chunked_request);
    assert_eq!(clients[0].read_message().line, "HTTP/1.1 503 Service Unavailable");
    slow.send("b");
    let mut worker = scheduler.accept_worker_connection();
    assert!(worker.read_message().head.contains("X-Trace-Id: slow\r\n"));
    worker.send(ACCEPTED);
    scheduler.finish_job("slow");
    assert_eq!(slow.read_message().line, "HTTP/1.1 200 OK");
}

#[test]
fn partial_job_status_updates_make_room_without_an_answer() {
    // Guards against an error status that a worker takes for the acknowledgement of a result.
    let scheduler = Scheduler::with_config("memory-status", 1, with_limits);
    let partial_update = |_| {
        let head = format!("POST /_jobs/news HTTP/1.1\r\nContent-Length: {}\r\n\r\n", LARGE_BODY_BYTES + 10);
        head + &"x".repeat(LARGE_BODY_BYTES)
    };
    let mut workers = send_from_clients(scheduler.addr, partial_update);
    assert!(workers[0].reads_eof(), "the update that has waited longest makes room first");
    assert_serves_job(&scheduler, "t1");
    assert_within_memory_limit(&scheduler);
}
