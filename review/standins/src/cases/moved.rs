//! A new setup gives the only worker of a standalone setup another address, under steady requests.

use super::direct::Standalone;
use crate::http::{request, response, Conn};
use crate::record::Record;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time after SIGHUP from which the old address must get nothing new: the grace of a drain, with the slack.
const GRACE: Duration = Duration::from_millis(800);
const REQUESTS_AFTER: usize = 50;

/// When a server got its requests.
type Arrivals = Arc<Mutex<Vec<Instant>>>;

fn start_server(name: &'static str, record: &Record) -> io::Result<(SocketAddr, Arrivals)> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let addr = listener.local_addr()?;
    let arrivals = Arrivals::default();
    let (taken, record) = (arrivals.clone(), record.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (taken, record) = (taken.clone(), record.clone());
            thread::spawn(move || {
                let mut conn = Conn::new(stream);
                while let Ok(Some(message)) = conn.read(None) {
                    taken.lock().unwrap().push(Instant::now());
                    record.line(&format!("server={name} request={}", message.target()));
                    if conn.send(&response(200, "", name.as_bytes())).is_err() {
                        return;
                    }
                }
            });
        }
    });
    Ok((addr, arrivals))
}

pub fn run(record: &Record, trouble: bool) -> io::Result<bool> {
    let (old, old_arrivals) = start_server("old", record)?;
    let (new, new_arrivals) = start_server("new", record)?;
    let site = Standalone::start("moved", &[old])?;
    let mut conn = Conn::connect(site.listen, Duration::from_secs(1))?;
    let mut ask = |number: usize| -> io::Result<()> {
        conn.send(&request(&format!("GET /{number}"), "Host: service\r\n", b""))?;
        let answer = conn.read(Some(Instant::now() + Duration::from_secs(5)))?;
        thread::sleep(Duration::from_millis(200));
        answer.map(|_| ()).ok_or_else(|| io::Error::other("a connection was closed"))
    };
    for number in 0..5 {
        ask(number)?;
    }
    if trouble {
        site.write_setup(&[new])?;
        site.hang_up();
        record.line("the setup names the new address; SIGHUP");
    }
    let told = Instant::now();
    for number in 0..REQUESTS_AFTER {
        ask(100 + number)?;
    }
    let late = old_arrivals.lock().unwrap().iter().filter(|at| **at > told + GRACE).count();
    let moved = new_arrivals.lock().unwrap().len();
    record.say(&format!(
        "requests after SIGHUP={REQUESTS_AFTER}: old address after the grace={late} new address={moved}"
    ));
    record.line(&site.log());
    Ok(!trouble || late == 0)
}
