//! A standalone scheduler gets SIGTERM while clients read long answers slowly.

use super::direct::Standalone;
use crate::http::Conn;
use crate::record::Record;
use std::io::{self, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

const CLIENTS: usize = 60;
/// The lengths of the answers differ, as it depends on the system's buffers which of them the scheduler has read
/// to the end, but not written, when it gets the signal.
const FIRST_LENGTH: usize = 2_000_000;
const STEP: usize = 60_000;

pub fn run(record: &Record, trouble: bool) -> io::Result<bool> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let addr = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let mut conn = Conn::new(stream);
                while let Ok(Some(message)) = conn.read(None) {
                    let length: usize = message.target()[1..].parse().unwrap_or(0);
                    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
                    let answer = [head.as_bytes(), &vec![b'x'; length]].concat();
                    if conn.send(&answer).is_err() {
                        return;
                    }
                }
            });
        }
    });
    let site = Standalone::start("cut", &[addr])?;
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let length = FIRST_LENGTH + number * STEP;
        let mut stream = TcpStream::connect(site.listen)?;
        stream.write_all(format!("GET /{length} HTTP/1.1\r\nHost: service\r\n\r\n").as_bytes())?;
        clients.push((stream, length));
    }
    thread::sleep(Duration::from_secs(2));
    if trouble {
        site.terminate();
        record.line("SIGTERM");
    }
    thread::sleep(Duration::from_millis(300));
    let mut cut = 0;
    for (mut stream, length) in clients {
        stream.set_read_timeout(Some(Duration::from_secs(10)))?;
        let (mut bytes, mut buffer) = (Vec::new(), vec![0; 1 << 20]);
        let body = loop {
            let head_end = bytes.windows(4).position(|window| window == b"\r\n\r\n").map(|at| at + 4);
            let body = head_end.map_or(0, |end| bytes.len() - end);
            if head_end.is_some() && body >= length {
                break body;
            }
            match stream.read(&mut buffer) {
                Ok(0) | Err(_) => break body,
                Ok(count) => bytes.extend_from_slice(&buffer[..count]),
            }
        };
        record.line(&format!("client length={length} received={body}"));
        if body < length {
            cut += 1;
            record.say(&format!("an answer of {length} bytes was cut after {body}"));
        }
    }
    record.say(&format!("answers={CLIENTS} cut={cut}"));
    record.line(&site.log());
    Ok(cut == 0)
}
