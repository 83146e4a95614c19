//! SIGTERM while jobs, partial requests, an operator drain or a discovery call are in progress.

use super::closes::wait_for_in_flight;
use super::*;

/// Starts a scheduler with a confirmed list and a job `t1` that a worker has accepted. Also returns the
/// connections of the client and the worker, and discovery's end of the watch.
fn start_with_running_job(name: &str) -> (Scheduler, Connection, Connection, Connection) {
    let scheduler = Scheduler::start(name);
    let watch = scheduler.confirm_list();
    let mut client = scheduler.connect();
    client.send_job("t1");
    let mut worker = scheduler.accept_worker_connection();
    worker.read_message();
    worker.send(ACCEPTED);
    (scheduler, client, worker, watch)
}

/// Waits until the process exits and asserts that its exit status is 0.
fn assert_clean_exit(mut scheduler: Scheduler) {
    assert!(scheduler.process.wait().unwrap().success());
}

#[test]
fn partial_request_at_sigterm_is_served_once_complete() {
    let (mut scheduler, mut client, worker, _watch) = start_with_running_job("partial-request");
    let mut partial = scheduler.connect();
    partial.send("POST /render HTTP/1.1\r\nX-Trace-Id: t2\r\nContent-Le");
    scheduler.signal("-TERM");
    scheduler.wait_for_log("shutdown started: unanswered_jobs=1");
    partial.send("ngth: 0\r\n\r\n");
    let mut keep_alive = Some(worker);
    assert!(scheduler.next_request(&mut keep_alive).read_message().head.contains("X-Trace-Id: t2\r\n"));
    keep_alive.as_mut().unwrap().send(ACCEPTED);
    scheduler.finish_job("t1");
    scheduler.finish_job("t2");
    assert_eq!(client.read_message().line, "HTTP/1.1 200 OK");
    assert_eq!(partial.read_message().line, "HTTP/1.1 200 OK");
    assert_clean_exit(scheduler);
}

#[test]
fn partial_request_at_process_exit_is_rejected() {
    let (mut scheduler, mut client, _worker, _watch) = start_with_running_job("partial-at-exit");
    scheduler.signal("-TERM");
    scheduler.wait_for_log("shutdown started: unanswered_jobs=1");
    scheduler.finish_job("t1");
    assert_eq!(client.read_message().line, "HTTP/1.1 200 OK");
    // The connection is still open: a request that begins now gets a response even if it stays incomplete.
    client.send("POST /render HTTP/1.1\r\nX-Trace-Id: t2\r\nContent-Le");
    let Message { line, head, .. } = client.read_message();
    assert!(
        ["HTTP/1.1 503 Service Unavailable", "HTTP/1.1 408 Request Timeout"].contains(&line.as_str()),
        "{line}"
    );
    assert!(head.contains("Connection: close\r\n") && client.reads_eof());
    assert_clean_exit(scheduler);
}

#[test]
fn partial_request_at_the_shutdown_limit_is_rejected() {
    let (mut scheduler, _client, _worker, _watch) = start_with_running_job("partial-at-limit");
    scheduler.signal("-TERM");
    scheduler.wait_for_log("shutdown started: unanswered_jobs=1");
    // A shutdown takes at most 3.6 s, and a request may take 2.5 s to arrive. As the process is stopped for
    // 1.5 s, the shutdown limit comes before the timeout of the partial request.
    scheduler.signal("-STOP");
    let mut partial = scheduler.connect();
    partial.send("POST /render HTTP/1.1\r\nX-Trace-Id: t2\r\nContent-Le");
    std::thread::sleep(Duration::from_millis(1_500));
    scheduler.signal("-CONT");
    assert_eq!(partial.read_message().line, "HTTP/1.1 503 Service Unavailable");
    assert!(partial.reads_eof());
    assert_clean_exit(scheduler);
}

/// A delay of the process must not turn the rejection, which tells the client to retry elsewhere, into the
/// timeout of a slow client: the process is stopped across the shutdown limit and the timeout of the request.
#[test]
fn partial_request_at_a_delayed_shutdown_limit_is_rejected() {
    let (mut scheduler, _client, _worker, _watch) = start_with_running_job("partial-at-delayed-limit");
    scheduler.signal("-TERM");
    scheduler.wait_for_log("shutdown started: unanswered_jobs=1");
    std::thread::sleep(Duration::from_millis(1_500));
    let mut partial = scheduler.connect();
    partial.send("POST /render HTTP/1.1\r\nX-Trace-Id: t2\r\nContent-Le");
    std::thread::sleep(Duration::from_millis(300));
    // 1.8 s after SIGTERM. The limit comes after 3.6 s, the timeout of the request after 4.0 s.
    scheduler.signal("-STOP");
    std::thread::sleep(Duration::from_millis(3_000));
    scheduler.signal("-CONT");
    assert_eq!(partial.read_message().line, "HTTP/1.1 503 Service Unavailable");
    scheduler.finish_job("t1");
    assert_clean_exit(scheduler);
}

#[test]
fn pipelined_request_at_sigterm_is_served() {
    let (mut scheduler, mut client, worker, _watch) = start_with_running_job("pipelined");
    client.send_job("t2");
    scheduler.signal("-TERM");
    scheduler.wait_for_log("shutdown started: unanswered_jobs=1");
    scheduler.finish_job("t1");
    assert_eq!(client.read_message().line, "HTTP/1.1 200 OK");
    let mut keep_alive = Some(worker);
    assert!(scheduler.next_request(&mut keep_alive).read_message().head.contains("X-Trace-Id: t2\r\n"));
    keep_alive.as_mut().unwrap().send(ACCEPTED);
    scheduler.finish_job("t2");
    assert_eq!(client.read_message().line, "HTTP/1.1 200 OK");
    assert_clean_exit(scheduler);
}

#[test]
fn sigterm_together_with_sighup_loses_no_job() {
    let (mut scheduler, mut client, _worker, _watch) = start_with_running_job("term-and-hup");
    scheduler.signal("-STOP");
    scheduler.signal("-HUP");
    scheduler.signal("-TERM");
    scheduler.signal("-CONT");
    scheduler.wait_for_log("shutdown started: unanswered_jobs=1");
    scheduler.finish_job("t1");
    assert_eq!(client.read_message().line, "HTTP/1.1 200 OK");
    assert_clean_exit(scheduler);
}

#[test]
fn sigterm_during_operator_drain_waits_for_jobs_in_flight() {
    let (mut scheduler, mut client, _worker, _watch) = start_with_running_job("term-in-drain");
    assert!(scheduler.admin_accepts("PUT /healthcheck/fail"));
    scheduler.signal("-TERM");
    scheduler.wait_for_log("shutdown started: unanswered_jobs=1");
    scheduler.finish_job("t1");
    assert_eq!(client.read_message().line, "HTTP/1.1 200 OK");
    assert_clean_exit(scheduler);
}

#[test]
fn sigterm_before_the_first_list_serves_new_requests() {
    let mut scheduler = Scheduler::without_list("term-before-list", 1);
    scheduler.signal("-TERM");
    scheduler.wait_for_log("shutdown started: unanswered_jobs=0");
    let mut client = scheduler.connect();
    let mut late = scheduler.connect();
    client.send_job("t1");
    wait_for_in_flight(&scheduler, 1);
    // No job is placed by the configured list, which may be outdated: the job waits for discovery.
    scheduler.worker_listener.set_nonblocking(true).unwrap();
    assert!(scheduler.worker_listener.accept().is_err());
    scheduler.worker_listener.set_nonblocking(false).unwrap();
    let _watch = scheduler.confirm_list();
    let mut worker = scheduler.accept_worker_connection();
    worker.read_message();
    worker.send(ACCEPTED);
    wait_for_in_flight(&scheduler, 1);
    scheduler.finish_job("t1");
    assert_eq!(client.read_message().line, "HTTP/1.1 200 OK");
    late.send_job("t2");
    let mut keep_alive = Some(worker);
    assert!(scheduler.next_request(&mut keep_alive).read_message().head.contains("X-Trace-Id: t2\r\n"));
    keep_alive.as_mut().unwrap().send(ACCEPTED);
    scheduler.finish_job("t2");
    assert_eq!(late.read_message().line, "HTTP/1.1 200 OK");
    assert_clean_exit(scheduler);
}

#[test]
fn sigterm_with_unresponsive_discovery_rejects_new_requests() {
    let mut scheduler = Scheduler::without_list("term-without-list", 1);
    scheduler.signal("-TERM");
    scheduler.wait_for_log("shutdown started: unanswered_jobs=0");
    let mut client = scheduler.connect();
    client.send_job("t1");
    assert_eq!(client.read_message().line, "HTTP/1.1 503 Service Unavailable");
    assert_clean_exit(scheduler);
}

#[test]
fn unread_request_is_served_when_idle_connections_are_closed() {
    let (mut scheduler, mut client, worker, _watch) = start_with_running_job("unread-at-close");
    let mut idle = scheduler.connect();
    idle.send("GET /up HTTP/1.1\r\n\r\n");
    assert_eq!(idle.read_message().line, "HTTP/1.1 200 OK");
    scheduler.signal("-TERM");
    scheduler.wait_for_log("shutdown started: unanswered_jobs=1");
    // Idle connections are closed 2.0 s after SIGTERM. The process is stopped for longer, and when it
    // continues, it has not read the request that has arrived on such a connection meanwhile.
    scheduler.signal("-STOP");
    idle.send_job("t2");
    std::thread::sleep(Duration::from_millis(2_200));
    scheduler.signal("-CONT");
    let mut keep_alive = Some(worker);
    assert!(scheduler.next_request(&mut keep_alive).read_message().head.contains("X-Trace-Id: t2\r\n"));
    keep_alive.as_mut().unwrap().send(ACCEPTED);
    scheduler.finish_job("t2");
    scheduler.finish_job("t1");
    assert_eq!(idle.read_message().line, "HTTP/1.1 200 OK");
    assert_eq!(client.read_message().line, "HTTP/1.1 200 OK");
    assert_clean_exit(scheduler);
}

/// A connection that the system has established while the process exits must not be reset with a request on it:
/// clients either get an answer or cannot connect.
#[test]
fn connections_established_at_the_exit_are_answered() {
    const CLIENTS: usize = 4;
    let scheduler = Scheduler::start("connections-at-exit");
    let _watch = scheduler.confirm_list();
    scheduler.signal("-TERM");
    let addr = scheduler.addr;
    let clients: Vec<_> =
        (0..CLIENTS).map(|_| std::thread::spawn(move || connect_until_refused(addr))).collect();
    for client in clients {
        let unanswered = client.join().unwrap();
        assert_eq!(unanswered, 0);
    }
    assert_clean_exit(scheduler);
}

/// Checks readiness on a new connection again and again until no connection can be established. Returns the
/// number of connections that ended without an answer.
fn connect_until_refused(addr: SocketAddr) -> usize {
    let mut unanswered = 0;
    while let Ok(mut stream) = TcpStream::connect(addr) {
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        let is_sent = stream.write_all(b"GET /up HTTP/1.1\r\n\r\n").is_ok();
        let is_answered = is_sent && stream.read(&mut [0]).is_ok_and(|length| length > 0);
        unanswered += usize::from(!is_answered);
    }
    unanswered
}
