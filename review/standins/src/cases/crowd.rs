//! Hundreds of clients send half a request and stay, while ordinary clients send jobs.

use super::{lost, settings, Limits, Site};
use crate::client::{Client, Job, Outcome};
use crate::record::Record;
use std::io::{self, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const BAD_CLIENTS: usize = 256;
const CLIENTS: u64 = 20;
const JOBS_EACH: usize = 10;
/// Half of a request: its head does not end.
const HALF_REQUEST: &[u8] =
    b"POST /report HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: half\r\nX-Expires-In: 5000m\r\nContent-Le";

pub fn run(record: &Record, trouble: bool) -> io::Result<bool> {
    let mut site = Site::start(record, "crowd", 4, Limits { sockets: 256, memory_mb: 192 }, settings())?;
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let listen = site.listen;
    let mut threads = Vec::new();
    for client in 0..CLIENTS {
        let (record, outcomes) = (record.clone(), outcomes.clone());
        threads.push(thread::spawn(move || {
            thread::sleep(Duration::from_millis(45 * client));
            let mut sender = Client::new(listen, &record);
            for number in 0..JOBS_EACH {
                let job = Job {
                    class: "report",
                    id: format!("c{client:02}-{number:02}"),
                    key: None,
                    expires_ms: 1_000,
                    micros: 200_000,
                };
                let outcome = sender.send(&job, 4_000);
                outcomes.lock().unwrap().push(outcome);
                thread::sleep(Duration::from_millis(700));
            }
        }));
    }
    thread::sleep(Duration::from_secs(2));
    let mut bad = Vec::new();
    if trouble {
        record.line(&format!("{BAD_CLIENTS} clients connect, send half a request and stay"));
        for _ in 0..BAD_CLIENTS {
            let mut stream = TcpStream::connect(listen)?;
            stream.write_all(HALF_REQUEST)?;
            bad.push(stream);
        }
        record.line("all of them have connected");
    }
    for thread in threads {
        let _ = thread.join();
    }
    site.check_running()?;
    let lost = lost(record, &outcomes.lock().unwrap());
    record.line(&site.log());
    Ok(lost == 0)
}
