//! Clients that send jobs at full speed which no worker can run, and the same again once they are rejected.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Number of jobs that are sent at once.
const JOBS_AT_ONCE: usize = 200;
/// Time that the clients of these jobs wait, in milliseconds.
const CLIENT_TIMEOUT_MS: u32 = 20_000;
/// Number of slots of each job, more than any worker has.
const SLOTS: u32 = 1_000;
/// Limit of a write or a read.
const IO_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause before a connection is opened again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);
/// Size of the read buffer, in bytes.
const READ_BUFFER_BYTES: usize = 256 * 1024;
/// Start of an answer.
const ANSWER_START: &[u8] = b"HTTP/1.1 ";

/// Sends jobs of a class over one connection until a time, and opens it again whenever it ends. Returns the
/// number of answers. Blocks the thread.
pub fn send_rejected_jobs(addr: SocketAddr, class: &str, connection: usize, until: Instant) -> usize {
    let jobs = encode_jobs(class, connection);
    let mut answers = 0;
    while Instant::now() < until {
        // A scheduler that is killed or shut down ends the connection.
        let _ = send_on_one_connection(addr, &jobs, until, &mut answers);
        std::thread::sleep(RECONNECT_PAUSE);
    }
    answers
}

/// Returns the requests that are sent at once. Their trace ids can be used again after the answers.
fn encode_jobs(class: &str, connection: usize) -> Vec<u8> {
    let mut jobs = String::new();
    for number in 0..JOBS_AT_ONCE {
        jobs += &format!(
            "POST /{class}/job HTTP/1.1\r\nHost: s\r\nX-Trace-Id: flood-{connection}-{number}\r\n\
             X-Qos: {class}\r\nX-Expires-In: {CLIENT_TIMEOUT_MS}m\r\nX-Props: slots={SLOTS}\r\n\
             Content-Length: 0\r\n\r\n"
        );
    }
    jobs.into_bytes()
}

fn send_on_one_connection(
    addr: SocketAddr,
    jobs: &[u8],
    until: Instant,
    answers: &mut usize,
) -> io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&addr, IO_TIMEOUT)?;
    stream.set_read_timeout(Some(IO_TIMEOUT))?;
    stream.set_write_timeout(Some(IO_TIMEOUT))?;
    while Instant::now() < until {
        stream.write_all(jobs)?;
        read_answers(&mut stream)?;
        *answers += JOBS_AT_ONCE;
    }
    Ok(())
}

/// Reads until all jobs that were sent at once are answered.
fn read_answers(stream: &mut TcpStream) -> io::Result<()> {
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    // Bytes at the start of the buffer that may begin an answer.
    let mut kept = 0;
    let mut answers = 0;
    while answers < JOBS_AT_ONCE {
        let length = stream.read(&mut buffer[kept..])?;
        if length == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let received = kept + length;
        answers +=
            buffer[..received].windows(ANSWER_START.len()).filter(|part| *part == ANSWER_START).count();
        kept = received.min(ANSWER_START.len() - 1);
        buffer.copy_within(received - kept..received, 0);
    }
    Ok(())
}
