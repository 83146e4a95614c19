//! A worker: takes jobs with 202, runs them in its slots for the time that `X-Size-Hint` names, and tells the
//! scheduler of the result by `POST /_jobs/news`.

use crate::http::{request, response, Conn, Message};
use crate::record::Record;
use std::collections::{HashMap, VecDeque};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

struct State {
    busy: usize,
    queue: VecDeque<(String, Duration)>,
    /// Jobs that are here and have not ended.
    open: HashMap<String, bool>,
}

#[derive(Clone)]
pub struct Worker {
    pub id: String,
    pub addr: SocketAddr,
    slots: usize,
    scheduler: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
    news: Arc<Mutex<Option<Conn>>>,
    /// The free slots that the next load report names in place of the true number.
    spoilt_report: Arc<Mutex<Option<u32>>>,
    /// When the worker got its attempts, in milliseconds since the start of the run.
    pub attempts: Arc<Mutex<Vec<f64>>>,
    record: Record,
}

impl Worker {
    pub fn start(id: &str, slots: usize, scheduler: SocketAddr, record: &Record) -> std::io::Result<Worker> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let state = State { busy: 0, queue: VecDeque::new(), open: HashMap::new() };
        let worker = Worker {
            id: id.to_string(),
            addr: listener.local_addr()?,
            slots,
            scheduler,
            state: Arc::new((Mutex::new(state), Condvar::new())),
            news: Arc::new(Mutex::new(None)),
            spoilt_report: Arc::new(Mutex::new(None)),
            attempts: Arc::default(),
            record: record.clone(),
        };
        let service = worker.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let service = service.clone();
                thread::spawn(move || service.serve(Conn::new(stream)));
            }
        });
        for _ in 0..slots {
            let runner = worker.clone();
            thread::spawn(move || runner.run_jobs());
        }
        Ok(worker)
    }

    /// Makes the next load report name this number of free slots.
    pub fn spoil_next_report(&self, free_slots: u32) {
        *self.spoilt_report.lock().unwrap() = Some(free_slots);
    }

    fn load(&self) -> String {
        let state = self.state.0.lock().unwrap();
        let free = self.slots.saturating_sub(state.busy);
        format!("inflight={}, x0={free}", state.open.len())
    }

    fn serve(&self, mut conn: Conn) {
        while let Ok(Some(message)) = conn.read(None) {
            let answer = match message.method() {
                "GET" => response(200, "", self.load().as_bytes()),
                "DELETE" => {
                    let id = message.target().rsplit('/').next().unwrap_or("").to_string();
                    self.cancel(&id);
                    response(200, "", b"")
                }
                _ => self.take(&message),
            };
            if conn.send(&answer).is_err() {
                return;
            }
        }
    }

    fn take(&self, message: &Message) -> Vec<u8> {
        let Some(id) = message.header("X-Trace-Id").map(String::from) else { return response(404, "", b"") };
        self.attempts.lock().unwrap().push(self.record.now());
        let expires = message.header("X-Expires-In").unwrap_or("").to_string();
        self.record.line(&format!("worker={} attempt id={id} expires={expires}", self.id));
        let micros: u64 = message.header("X-Size-Hint").and_then(|text| text.parse().ok()).unwrap_or(200_000);
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        if state.queue.len() >= 4 * self.slots {
            return response(503, "X-Never-Ran: 1\r\n", b"");
        }
        state.open.insert(id.clone(), true);
        state.queue.push_back((id, Duration::from_micros(micros)));
        changed.notify_one();
        response(202, "", b"")
    }

    fn cancel(&self, id: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.queue.retain(|(queued, _)| queued != id);
        state.open.remove(id);
        self.record.line(&format!("worker={} cancelled id={id}", self.id));
    }

    fn run_jobs(&self) {
        let (lock, changed) = &*self.state;
        loop {
            let (id, time) = {
                let mut state = lock.lock().unwrap();
                loop {
                    if let Some(job) = state.queue.pop_front() {
                        state.busy += 1;
                        break job;
                    }
                    state = changed.wait(state).unwrap();
                }
            };
            self.record.line(&format!("worker={} runs id={id}", self.id));
            thread::sleep(time);
            let still_open = {
                let mut state = lock.lock().unwrap();
                state.busy -= 1;
                state.open.remove(&id).is_some()
            };
            if still_open {
                self.tell(&id, "done");
            }
        }
    }

    /// Tells the scheduler what became of a job; tries up to ten times until it gets an answer.
    pub fn tell(&self, id: &str, state: &str) {
        let (held, free) = {
            let state = self.state.0.lock().unwrap();
            (state.open.len(), self.slots.saturating_sub(state.busy) as u32)
        };
        let spoilt = self.spoilt_report.lock().unwrap().take();
        if let Some(free) = spoilt {
            self.record.line(&format!("worker={} tells a spoilt load report: x0={free}", self.id));
        }
        let free = spoilt.unwrap_or(free);
        let body = format!(
            "{{\"id\":\"{id}\",\"from\":\"{}\",\"state\":\"{state}\",\"result\":\"{}\",\
             \"load\":{{\"inflight\":{},\"x0\":{}}}}}",
            self.id,
            result_of(id),
            held,
            free
        );
        let call = request("POST /_jobs/news", "Host: scheduler\r\n", body.as_bytes());
        let mut kept = self.news.lock().unwrap();
        for attempt in 0..10 {
            if attempt > 0 {
                thread::sleep(Duration::from_millis(100));
            }
            let conn = match kept.take() {
                Some(conn) => Ok(conn),
                None => Conn::connect(self.scheduler, Duration::from_millis(1_000)),
            };
            let Ok(mut conn) = conn else { continue };
            let until = Instant::now() + Duration::from_secs(1);
            let answer = conn.send(&call).and_then(|()| conn.read(Some(until)));
            if let Ok(Some(answer)) = answer {
                self.record.line(&format!(
                    "worker={} tells id={id} state={state} answer={}",
                    self.id,
                    answer.status()
                ));
                if !answer.closes() {
                    *kept = Some(conn);
                }
                return;
            }
        }
        self.record.line(&format!("worker={} tells id={id} state={state} answer=none", self.id));
    }
}

/// The result of a job, from which a client can tell that it is its own.
pub fn result_of(id: &str) -> String {
    format!("result of {id}")
}
