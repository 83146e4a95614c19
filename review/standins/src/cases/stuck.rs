//! A standalone scheduler runs out of descriptors while a client connects, and has some again some seconds later.

use super::direct::Standalone;
use crate::http::{request, response, Conn};
use crate::record::Record;
use std::io::{self, ErrorKind};
use std::net::TcpListener;
use std::thread;
use std::time::{Duration, Instant};

/// The descriptors that the process may hold; the setup names no number.
const DESCRIPTORS: usize = 40;
const PATIENCE: Duration = Duration::from_secs(30);

pub fn run(record: &Record, trouble: bool) -> io::Result<bool> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let addr = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let mut conn = Conn::new(stream);
                while let Ok(Some(_)) = conn.read(None) {
                    thread::sleep(Duration::from_millis(300));
                    if conn.send(&response(200, "", b"ok")).is_err() {
                        return;
                    }
                }
            });
        }
    });
    let limit = if trouble { format!("ulimit -n {DESCRIPTORS}; ") } else { String::new() };
    let site = Standalone::start_after(&limit, "stuck", &[addr])?;
    let get = request("GET /", "Host: service\r\n", b"");
    // Eight requests at once use eight connections to the worker, which stay open for some seconds.
    let mut clients = Vec::new();
    for _ in 0..8 {
        let mut conn = Conn::connect(site.listen, Duration::from_secs(1))?;
        conn.send(&get)?;
        clients.push(conn);
    }
    for conn in &mut clients {
        conn.read(Some(Instant::now() + Duration::from_secs(5)))?;
    }
    // Further clients come one after another and keep their connections, until one is not accepted.
    let mut last = None;
    let mut sent = Instant::now();
    while last.is_none() && clients.len() < 60 {
        let mut conn = Conn::connect(site.listen, Duration::from_secs(1))?;
        conn.send(&get)?;
        sent = Instant::now();
        match conn.read(Some(sent + Duration::from_millis(1_500))) {
            Ok(_) => clients.push(conn),
            Err(_) => last = Some(conn),
        }
    }
    record.line(&format!("clients={} descriptors={}", clients.len(), site.descriptors()));
    let Some(mut last) = last else {
        record.say("all clients were answered");
        return Ok(true);
    };
    let mut answered = None;
    while answered.is_none() && sent.elapsed() < PATIENCE {
        match last.read(Some(Instant::now() + Duration::from_secs(1))) {
            Ok(Some(_)) => answered = Some(sent.elapsed()),
            Ok(None) => return Err(io::Error::other("the connection was closed")),
            Err(e) if e.kind() == ErrorKind::TimedOut => {}
            Err(e) => return Err(e),
        }
        record.line(&format!(
            "{:.0} s after the request: descriptors={}",
            sent.elapsed().as_secs_f64(),
            site.descriptors()
        ));
    }
    match answered {
        Some(after) => {
            record.say(&format!("the last client was answered after {:.1} s", after.as_secs_f64()))
        }
        None => record.say(&format!(
            "the last client has no answer after {PATIENCE:?}; descriptors={}",
            site.descriptors()
        )),
    }
    record.line(&site.log());
    Ok(answered.is_some())
}
