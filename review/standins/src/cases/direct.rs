//! A worker that answers requests itself sends one of its answers twice, the second copy some milliseconds late.

use super::{other_address, temporary_folder};
use crate::http::{request, response, Conn};
use crate::record::Record;
use crate::scheduler::{call, free_address, run_command, Process, SIGHUP, SIGTERM};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// How late the second copy comes.
const LATE: Duration = Duration::from_millis(5);
const CLIENTS: usize = 4;
const REQUESTS_EACH: usize = 20;

/// A worker; its answer to a request names the request's own path.
fn start_worker(name: &'static str, twice: &Arc<AtomicBool>, record: &Record) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let addr = listener.local_addr()?;
    let (twice, record) = (twice.clone(), record.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (twice, record) = (twice.clone(), record.clone());
            thread::spawn(move || {
                let mut conn = Conn::new(stream);
                while let Ok(Some(message)) = conn.read(None) {
                    let path = message.target().to_string();
                    let answer = response(200, "", answer_to(&path).as_bytes());
                    record.line(&format!("worker={name} request={path} answered"));
                    if conn.send(&answer).is_err() {
                        return;
                    }
                    if twice.swap(false, Ordering::SeqCst) {
                        thread::sleep(LATE);
                        record.line(&format!("worker={name} request={path} answered a second time"));
                        let _ = conn.send(&answer);
                    }
                }
            });
        }
    });
    Ok(addr)
}

fn answer_to(path: &str) -> String {
    format!("this is the answer to {path}")
}

/// A scheduler with a standalone setup of one pool.
pub struct Standalone {
    process: Process,
    pub listen: SocketAddr,
    mgmt: SocketAddr,
    folder: PathBuf,
}

impl Standalone {
    pub fn start(name: &str, workers: &[SocketAddr]) -> io::Result<Standalone> {
        Standalone::start_after("", name, workers)
    }

    /// Starts it after this shell command.
    pub fn start_after(first: &str, name: &str, workers: &[SocketAddr]) -> io::Result<Standalone> {
        let listen = free_address()?;
        let mgmt = other_address(listen)?;
        let folder = temporary_folder(name)?;
        write_setup(&folder, listen, mgmt, workers)?;
        let command = format!("{first}{} --setup {}", run_command()?, folder.join("setup.xml").display());
        let process = Process::start(&command, &[], &folder, &folder.join("log"))?;
        let until = Instant::now() + Duration::from_secs(10);
        while !call(mgmt, "GET /healthcheck").is_ok_and(|answer| answer.status() == 200) {
            if Instant::now() > until {
                return Err(io::Error::other("the scheduler is not ready"));
            }
            thread::sleep(Duration::from_millis(50));
        }
        Ok(Standalone { process, listen, mgmt, folder })
    }

    pub fn write_setup(&self, workers: &[SocketAddr]) -> io::Result<()> {
        write_setup(&self.folder, self.listen, self.mgmt, workers)
    }

    pub fn hang_up(&self) {
        self.process.signal(SIGHUP);
    }

    pub fn terminate(&self) {
        self.process.signal(SIGTERM);
    }

    pub fn descriptors(&self) -> usize {
        self.process.descriptors()
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }
}

impl Drop for Standalone {
    fn drop(&mut self) {
        self.process.end();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn write_setup(
    folder: &Path,
    listen: SocketAddr,
    mgmt: SocketAddr,
    workers: &[SocketAddr],
) -> io::Result<()> {
    let mut listed = String::new();
    for (number, addr) in workers.iter().enumerate() {
        listed += &format!("    <worker id=\"w{}\" addr=\"{addr}\"/>\n", number + 1);
    }
    std::fs::write(
        folder.join("setup.xml"),
        format!(
            "<postusher listen=\"{listen}\" mgmt=\"{mgmt}\">\n  <pool name=\"a\" answers=\"direct\">\n{listed}  </pool>\n\
             </postusher>\n"
        ),
    )
}

pub fn run(record: &Record, trouble: bool) -> io::Result<bool> {
    let twice = Arc::new(AtomicBool::new(false));
    let workers = [start_worker("w1", &twice, record)?, start_worker("w2", &twice, record)?];
    let site = Standalone::start("direct", &workers)?;
    let mut conns = Vec::new();
    for _ in 0..CLIENTS {
        conns.push(Conn::connect(site.listen, Duration::from_secs(1))?);
    }
    // The clients take turns, so that each answer belongs to the only request that is open.
    let mut foreign = 0;
    for number in 0..REQUESTS_EACH {
        for (client, conn) in conns.iter_mut().enumerate() {
            if trouble && number == 5 && client == 0 {
                twice.store(true, Ordering::SeqCst);
            }
            let path = format!("/client-{client}/request-{number}");
            conn.send(&request(&format!("GET {path}"), "Host: service\r\n", b""))?;
            let answer = conn.read(Some(Instant::now() + Duration::from_secs(5)))?;
            let Some(answer) = answer else { return Err(io::Error::other("a connection was closed")) };
            let body = String::from_utf8_lossy(&answer.body).into_owned();
            record.line(&format!("client={client} sent={path} status={} body={body}", answer.status()));
            if answer.status() == 200 && body != answer_to(&path) {
                foreign += 1;
                if foreign <= 5 {
                    record.say(&format!("client {client} asked for {path} and got: {body}"));
                }
            }
            thread::sleep(Duration::from_millis(25));
        }
    }
    record.line(&site.log());
    record.say(&format!("requests={} foreign answers={foreign}", CLIENTS * REQUESTS_EACH));
    Ok(foreign == 0)
}
