//! Workers of direct pools that close a connection while bytes are still on their way: the end of an answer to
//! the client, or the rest of a request to the worker.

use crate::rig::{block_on, import_sample, import_samples, Scheduler};
use socket2::{Domain, Socket, Type};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// Size of a message that fills the buffers between its two ends.
const LARGE_BODY_BYTES: usize = 16 * 1024 * 1024;
/// Limit of a read.
const READ_TIMEOUT: Duration = Duration::from_secs(30);
/// Size of the receive buffer of a client that reads late.
const RECEIVE_BUFFER_BYTES: usize = 64 * 1024;
/// Difference between the sizes of two answers to clients that read late.
const ANSWER_SIZE_STEP: usize = 48 * 1024;
/// Size of the largest answer to a client that reads late: more than a system buffers by default.
const MAX_ANSWER_SIZE: usize = 5 * 1024 * 1024;
/// Number of answers to late readers at a time, few enough for the single worker of the pool.
const CONCURRENT_ANSWERS: usize = 16;
/// Time in which the buffers between two ends fill up.
const FILL_TIME: Duration = Duration::from_millis(500);

/// Starts a scheduler whose only worker is the returned listener.
async fn start_with_worker(name: &str) -> (Scheduler, TcpListener) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut pools = import_sample(&import_samples().join("apache-two-members")).unwrap();
    pools[0].workers.truncate(1);
    pools[0].workers[0].addr = listener.local_addr().unwrap().to_string();
    (Scheduler::start(name, &pools).await, listener)
}

/// Connects with a small receive buffer, so that a client that does not read holds its sender up.
fn connect_with_small_buffer(addr: SocketAddr) -> TcpStream {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
    socket.connect(&addr.into()).unwrap();
    let client = TcpStream::from(socket);
    client.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    client
}

/// Reads from a stream up to the end of a message head.
fn read_head(stream: &mut TcpStream) -> String {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        let mut byte = [0];
        assert_eq!(stream.read(&mut byte).unwrap(), 1, "the connection ended after {head:?}");
        head.push(char::from(byte[0]));
    }
    head
}

/// The end of the worker's connection must not overtake the end of the answer. Which size fills the buffers
/// between the scheduler and a client so that only the end of the answer is left at the scheduler depends on the
/// system, so answers of many sizes are sent to clients that read late.
#[test]
fn answer_that_ends_with_the_connection_reaches_a_late_reader_completely() {
    block_on(async {
        let (scheduler, listener) = start_with_worker("late-reader").await;
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                std::thread::spawn(move || answer_until_close(stream));
            }
        });
        let sizes: Vec<usize> = (ANSWER_SIZE_STEP..=MAX_ANSWER_SIZE).step_by(ANSWER_SIZE_STEP).collect();
        for batch in sizes.chunks(CONCURRENT_ANSWERS) {
            let clients: Vec<TcpStream> =
                batch.iter().map(|size| send_request_for(*size, scheduler.addr)).collect();
            std::thread::sleep(FILL_TIME);
            for (size, mut client) in batch.iter().zip(clients) {
                let head = read_head(&mut client);
                assert!(head.starts_with("HTTP/1.1 200 "), "answer of {size} bytes: {head}");
                let mut body = Vec::new();
                client.read_to_end(&mut body).unwrap();
                assert_eq!(body.len(), *size);
            }
        }
    });
}

/// Sends a request for an answer of this size on a new connection with a small receive buffer.
fn send_request_for(size: usize, scheduler: SocketAddr) -> TcpStream {
    let mut client = connect_with_small_buffer(scheduler);
    client.write_all(format!("GET /pay?{size} HTTP/1.0\r\nHost: h\r\n\r\n").as_bytes()).unwrap();
    client
}

/// Answers a request with as many bytes as the query of its target says, and closes the connection.
fn answer_until_close(mut stream: TcpStream) {
    let head = read_head(&mut stream);
    let size = head.split(['?', ' ']).nth(2).unwrap().parse().unwrap();
    stream.write_all(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n").unwrap();
    stream.write_all(&vec![b'x'; size]).unwrap();
}

/// A worker may answer and close before it has read the whole request. The scheduler is stopped meanwhile, so
/// that its next write fails before it has read the answer.
#[test]
fn early_answer_reaches_the_client_although_the_request_cannot_be_sent() {
    block_on(async {
        let (scheduler, listener) = start_with_worker("early-answer").await;
        let mut client = TcpStream::connect(scheduler.addr).unwrap();
        client.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
        let mut request = client.try_clone().unwrap();
        let sender = std::thread::spawn(move || {
            let head = format!("POST /pay HTTP/1.1\r\nHost: h\r\nContent-Length: {LARGE_BODY_BYTES}\r\n\r\n");
            request.write_all(head.as_bytes()).unwrap();
            let _ = request.write_all(&vec![b'x'; LARGE_BODY_BYTES]); // fails once the request is answered
        });
        let mut worker = listener.accept().unwrap().0;
        read_head(&mut worker);
        std::thread::sleep(FILL_TIME);
        scheduler.signal("-STOP");
        let answer = "HTTP/1.1 413 Content Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
        worker.write_all(answer.as_bytes()).unwrap();
        drop(worker);
        scheduler.signal("-CONT");
        assert!(read_head(&mut client).starts_with("HTTP/1.1 413 "));
        drop(client);
        sender.join().unwrap();
    });
}
