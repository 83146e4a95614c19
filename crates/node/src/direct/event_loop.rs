//! The loop of a scheduler that stands alone: poll, gather, decide, act; clients' connections on one side, workers' on
//! the other, and between them bodies of any size that pass in pieces.

use super::load;
use super::service::{Ask, Command, Service};
use crate::clock::{Clock, Millis, Timers};
use crate::http::Outbox;
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token};
use postusher_decision::{AttemptId, AttemptResult, WorkerId};
use postusher_direct::{
    request_head, response_head, session, Framing, Head, Piece, Reader, Wrong, CHUNKS_END,
};
use postusher_setup::Setup;
use signal_hook::consts::SIGHUP;
use signal_hook_mio::v1_0::Signals;
use slab::Slab;
use std::collections::HashMap;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

const LISTENER: Token = Token(usize::MAX);
const SIGNAL: Token = Token(usize::MAX - 1);
const MANAGEMENT: Token = Token(usize::MAX - 2);
/// Of each connection so much may wait to be written; over that, nothing more is read for it.
const FULL: usize = 64 * 1024;
/// So much is read of one connection in a turn. Guards against: one that sends at full speed, for which the loop would
/// never come to the others.
const READ_BUDGET: usize = 128 * 1024;
const ACCEPT_BUDGET: usize = 64;
/// A request's head must be whole within this time.
const WHOLE: Millis = 10_000.0;
/// A client's connection without a request is closed after this time.
const IDLE: Millis = 75_000.0;
/// A worker's connection without a request is dropped after this time.
const KEPT: Millis = 10_000.0;
/// After its last answer a connection is kept this long for the client to read it and close.
const LINGER: Millis = 2_000.0;
/// On the way out nobody is waited for longer.
const WAY_OUT: Millis = 30_000.0;
const LONGEST_SLEEP: Millis = 1_000.0;
/// Descriptors beside connections.
const OWN: usize = 16;

/// Names a connection for as long as it lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct ConnectionId {
    slot: usize,
    serial: u64,
}

/// A client's connection.
struct Front {
    reader: Reader,
    ask: Option<Ask>,
    /// All of the request at hand has been read.
    read: bool,
    /// It closes after the answer at hand.
    last: bool,
    /// An operator's.
    manages: bool,
    shut: bool,
    /// When it must have gone on.
    until: Millis,
}

/// A worker's connection.
struct Back {
    reader: Reader,
    ask: Option<(Ask, AttemptId)>,
    place: (usize, WorkerId),
    connecting: bool,
    /// It has served before: that it breaks says nothing of the worker.
    kept: bool,
    /// Something of the request at hand has been written.
    written: bool,
    /// Something of its answer has come.
    begun: bool,
    until: Millis,
}

enum Role {
    Front(Front),
    Back(Back),
}

struct Socket {
    stream: TcpStream,
    key: ConnectionId,
    out: Outbox,
    role: Role,
}

/// A request under way.
struct Exchange {
    front: ConnectionId,
    back: Option<ConnectionId>,
    attempt: AttemptId,
    head: Head,
    target: String,
    /// The body so far, framed, as long as it may have to be sent again.
    body: Vec<u8>,
    /// Some of it is gone: it cannot be sent again.
    dropped: bool,
    /// All of it has come.
    whole: bool,
    /// How the answer's body is framed, once it has begun.
    answer: Option<Framing>,
    expires: Millis,
}

/// What happens at a time.
enum Due {
    Socket(ConnectionId),
    Ask(Ask),
}

/// A scheduler at work.
pub struct EventLoop {
    poll: Poll,
    clock: Clock,
    signals: Signals,
    path: PathBuf,
    listen: SocketAddr,
    listener: TcpListener,
    admin_listener: Option<TcpListener>,
    service: Service,
    exchanges: HashMap<Ask, Exchange>,
    sockets: Slab<Socket>,
    serial: u64,
    fronts: usize,
    most_fronts: usize,
    backs: usize,
    most_backs: usize,
    idle: HashMap<(usize, WorkerId), Vec<ConnectionId>>,
    timers: Timers<Due>,
    /// Connections to look at in this turn, besides those that are ready.
    again: Vec<ConnectionId>,
    accepts: bool,
    leaving: Option<Millis>,
    scratch: Vec<u8>,
}

fn status_line(status: u16) -> &'static str {
    match status {
        200 => "200 OK",
        404 => "404 Not Found",
        408 => "408 Request Timeout",
        431 => "431 Request Header Fields Too Large",
        501 => "501 Not Implemented",
        502 => "502 Bad Gateway",
        503 => "503 Service Unavailable",
        504 => "504 Gateway Timeout",
        _ => "400 Bad Request",
    }
}

fn fixed(status: u16, headers: &str, body: &str, keep: bool) -> Vec<u8> {
    let close = if keep { "" } else { "Connection: close\r\n" };
    let length = body.len();
    format!("HTTP/1.1 {}\r\n{headers}{close}Content-Length: {length}\r\n\r\n{body}", status_line(status))
        .into_bytes()
}

fn framed(framing: Framing, bytes: &[u8]) -> Vec<u8> {
    match framing {
        Framing::Chunked => [format!("{:x}\r\n", bytes.len()).as_bytes(), bytes, b"\r\n"].concat(),
        _ => bytes.to_vec(),
    }
}

impl EventLoop {
    /// Listens; nothing is served yet.
    pub fn new(
        setup: Setup,
        path: PathBuf,
        listen: SocketAddr,
        sockets: usize,
        mut signals: Signals,
        clock: Clock,
    ) -> io::Result<EventLoop> {
        let poll = Poll::new()?;
        let listening = |addr: SocketAddr| {
            TcpListener::bind(addr).map_err(|e| io::Error::new(e.kind(), format!("listening on {addr}: {e}")))
        };
        let mut listener = listening(listen)?;
        poll.registry().register(&mut listener, LISTENER, Interest::READABLE)?;
        poll.registry().register(&mut signals, SIGNAL, Interest::READABLE)?;
        let mut admin_listener = setup.mgmt.map(listening).transpose()?;
        if let Some(m) = &mut admin_listener {
            poll.registry().register(m, MANAGEMENT, Interest::READABLE)?;
        }
        let service = Service::new(setup.pools, clock.now()).map_err(io::Error::other)?;
        let name = setup.name.unwrap_or_else(|| "postusher".into());
        log::info!("{name}: listening on {}", listener.local_addr()?);
        if let Some(m) = &admin_listener {
            log::info!("{name}: operators call at {}", m.local_addr()?);
        }
        let connections = sockets - OWN;
        Ok(EventLoop {
            poll,
            clock,
            signals,
            path,
            listen,
            listener,
            admin_listener,
            service,
            exchanges: HashMap::new(),
            sockets: Slab::new(),
            serial: 0,
            fronts: 0,
            most_fronts: connections / 2,
            backs: 0,
            most_backs: connections - connections / 2,
            idle: HashMap::new(),
            timers: Timers::new(),
            again: Vec::new(),
            accepts: true,
            leaving: None,
            scratch: vec![0; 64 * 1024],
        })
    }

    /// Runs until SIGTERM and the end of all requests.
    pub fn run(&mut self) -> io::Result<()> {
        let mut events = Events::with_capacity(1024);
        loop {
            let now = self.clock.now();
            if let Some(since) = self.leaving {
                if self.exchanges.is_empty() && self.sockets.iter().all(|(_, s)| s.out.unsent().is_empty()) {
                    log::info!("at the end: all requests have their answers");
                    return Ok(());
                }
                if now > since + WAY_OUT {
                    log::warn!("at the end: {} requests are given up", self.exchanges.len());
                    return Ok(());
                }
            }
            let next = [self.service.next_due(), self.timers.next()].into_iter().flatten();
            let next = next.fold(now + LONGEST_SLEEP, f64::min);
            let busy = self.service.has_events() || !self.again.is_empty() || self.accepts;
            let micros = if busy { 0.0 } else { ((next - now) * 1e3).ceil().max(0.0) };
            match self.poll.poll(&mut events, Some(Duration::from_micros(micros as u64))) {
                Err(e) if e.kind() != ErrorKind::Interrupted => return Err(e),
                _ => {}
            }
            for event in &events {
                match event.token() {
                    LISTENER => self.accepts = true,
                    MANAGEMENT => self.accept_managers(),
                    SIGNAL => self.signalled(),
                    Token(slot) => {
                        if let Some(key) = self.sockets.get(slot).map(|s| s.key) {
                            self.drive(key);
                        }
                    }
                }
            }
            if self.accepts {
                self.accept();
            }
            std::mem::take(&mut self.again).into_iter().for_each(|key| self.drive(key));
            let now = self.clock.now();
            while let Some(due) = self.timers.due(now) {
                match due {
                    Due::Socket(key) => self.socket_due(key, now),
                    Due::Ask(ask) => self.ask_due(ask, now),
                }
            }
            self.decide();
        }
    }

    fn decide(&mut self) {
        // Acting may bring news at once, such as a connect that fails; what is left waits for the next turn.
        for _ in 0..8 {
            let now = self.clock.now();
            for command in self.service.decide(now) {
                match command {
                    Command::Send { ask, attempt, worker, addr } => {
                        self.send(ask, attempt, worker, addr, now)
                    }
                    Command::Drop { ask, attempt } => {
                        self.give_up(ask, attempt, AttemptResult::Cancelled, now)
                    }
                    Command::Refuse { ask, retry_after } => {
                        let advice = match retry_after > 0.0 {
                            true => format!("Retry-After: {}\r\n", (retry_after / 1e3).ceil().max(1.0)),
                            false => String::new(),
                        };
                        self.finish(ask, 503, &advice);
                    }
                    Command::Fail { ask } => {
                        let late = self.exchanges.get(&ask).is_some_and(|x| x.expires <= now);
                        self.finish(ask, if late { 504 } else { 502 }, "");
                    }
                }
            }
            if !self.service.has_events() {
                return;
            }
        }
    }

    fn signalled(&mut self) {
        for signal in self.signals.pending().collect::<Vec<_>>() {
            if signal != SIGHUP {
                log::info!("SIGTERM: {} requests to finish", self.exchanges.len());
                self.leaving.get_or_insert(self.clock.now());
                let _ = self.poll.registry().deregister(&mut self.listener); // else it only wakes up in vain
                self.accepts = false;
                for key in self.all_fronts(|f| f.ask.is_none() && f.reader.is_idle()) {
                    self.close(key);
                }
                continue;
            }
            let now = self.clock.now();
            let read = load(&self.path, Some(self.listen));
            match read.and_then(|(setup, _)| self.service.again(setup.pools, now)) {
                Ok(()) => log::info!("SIGHUP: the setup is read again"),
                Err(e) => log::error!("SIGHUP: the setup stays as it was: {e}"),
            }
        }
    }

    fn all_fronts(&self, which: impl Fn(&Front) -> bool) -> Vec<ConnectionId> {
        let fits = |s: &Socket| matches!(&s.role, Role::Front(f) if which(f));
        self.sockets.iter().filter(|(_, s)| fits(s)).map(|(_, s)| s.key).collect()
    }

    fn accept(&mut self) {
        for _ in 0..ACCEPT_BUDGET {
            // Those beyond wait in the system's queue until a connection ends.
            if self.fronts >= self.most_fronts || self.leaving.is_some() {
                self.accepts = false;
                return;
            }
            match self.listener.accept() {
                Ok((stream, _)) => self.add_front(stream, false),
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    self.accepts = false;
                    return;
                }
                Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
                Err(e) => {
                    self.accepts = false;
                    return log::warn!("accept: {e}");
                }
            }
        }
    }

    fn accept_managers(&mut self) {
        while let Some(Ok((stream, _))) = self.admin_listener.as_ref().map(TcpListener::accept) {
            self.add_front(stream, true);
        }
    }

    fn add_front(&mut self, stream: TcpStream, manages: bool) {
        let until = self.clock.now() + WHOLE;
        let front = Front {
            reader: Reader::new(true),
            ask: None,
            read: true,
            last: false,
            manages,
            shut: false,
            until,
        };
        match self.add(stream, Role::Front(front)) {
            Ok(key) => {
                self.timers.set(until, Due::Socket(key));
                self.drive(key);
            }
            Err(e) => log::warn!("a new connection cannot be polled: {e}"),
        }
    }

    fn add(&mut self, mut stream: TcpStream, role: Role) -> io::Result<ConnectionId> {
        let _ = stream.set_nodelay(true); // a delay at worst
        let entry = self.sockets.vacant_entry();
        self.serial += 1;
        let key = ConnectionId { slot: entry.key(), serial: self.serial };
        let interest = Interest::READABLE | Interest::WRITABLE;
        self.poll.registry().register(&mut stream, Token(key.slot), interest)?;
        match role {
            Role::Front(_) => self.fronts += 1,
            Role::Back(_) => self.backs += 1,
        }
        entry.insert(Socket { stream, key, out: Outbox::default(), role });
        Ok(key)
    }

    fn socket(&mut self, key: ConnectionId) -> Option<&mut Socket> {
        self.sockets.get_mut(key.slot).filter(|s| s.key == key)
    }

    fn front(&mut self, key: ConnectionId) -> Option<(&mut Front, &mut Outbox)> {
        match self.socket(key) {
            Some(Socket { role: Role::Front(f), out, .. }) => Some((f, out)),
            _ => None,
        }
    }

    fn back(&mut self, key: ConnectionId) -> Option<(&mut Back, &mut Outbox)> {
        match self.socket(key) {
            Some(Socket { role: Role::Back(b), out, .. }) => Some((b, out)),
            _ => None,
        }
    }

    fn close(&mut self, key: ConnectionId) {
        if self.socket(key).is_none() {
            return;
        }
        let mut socket = self.sockets.remove(key.slot);
        let _ = self.poll.registry().deregister(&mut socket.stream);
        match socket.role {
            Role::Front(_) => {
                self.fronts -= 1;
                self.accepts |= self.leaving.is_none();
            }
            Role::Back(b) => {
                self.backs -= 1;
                if let Some(idle) = self.idle.get_mut(&b.place) {
                    idle.retain(|k| *k != key);
                }
            }
        }
    }

    /// Reads and writes what a connection can, up to its part of a turn.
    fn drive(&mut self, key: ConnectionId) {
        let Some(socket) = self.socket(key) else { return };
        if let Role::Back(b) = &mut socket.role {
            if b.connecting {
                let failed = !matches!(socket.stream.take_error(), Ok(None));
                match socket.stream.peer_addr() {
                    Ok(_) if !failed => b.connecting = false,
                    Err(e) if !failed && e.kind() == ErrorKind::NotConnected => return,
                    _ => return self.broken(key),
                }
            }
        }
        self.flush(key);
        self.pieces(key);
        let mut total = 0;
        while let Some(socket) = self.sockets.get_mut(key.slot).filter(|s| s.key == key) {
            if total >= READ_BUDGET {
                self.again.push(key);
                break;
            }
            let full = match &socket.role {
                Role::Front(f) => f.reader.is_full() || f.shut && total > 0,
                Role::Back(b) => b.reader.is_full(),
            };
            if full {
                break; // it goes on once what was read has been handed on
            }
            match socket.stream.read(&mut self.scratch) {
                Ok(0) => {
                    self.ended(key);
                    break;
                }
                Ok(n) => {
                    total += n;
                    let (reader, begun) = match &mut socket.role {
                        Role::Front(f) => (&mut f.reader, None),
                        Role::Back(b) => (&mut b.reader, Some(&mut b.begun)),
                    };
                    begun.into_iter().for_each(|b| *b = true);
                    reader.feed(&self.scratch[..n]);
                    self.pieces(key);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => {
                    self.broken(key);
                    break;
                }
            }
        }
        self.flush(key);
    }

    /// Writes what waits to be written; what waited for that room goes on.
    fn flush(&mut self, key: ConnectionId) {
        let Some(socket) = self.sockets.get_mut(key.slot).filter(|s| s.key == key) else { return };
        if matches!(&socket.role, Role::Back(b) if b.connecting) {
            return;
        }
        let was_full = socket.out.unsent().len() >= FULL;
        while !socket.out.unsent().is_empty() {
            match socket.stream.write(socket.out.unsent()) {
                Ok(n) => {
                    socket.out.sent(n);
                    if let Role::Back(b) = &mut socket.role {
                        b.written |= n > 0;
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return self.broken(key),
            }
        }
        let left = socket.out.unsent().len();
        let mut other = None;
        match &mut socket.role {
            Role::Front(f) => {
                if left == 0 && f.last && f.ask.is_none() && !f.shut {
                    // The answer may still be on its way: closing now, with input unread, could cut it off.
                    f.shut = true;
                    let _ = socket.stream.shutdown(Shutdown::Write); // fails only where it is gone already
                    let until = self.clock.now() + LINGER;
                    f.until = until;
                    self.timers.set(until, Due::Socket(key));
                }
                if was_full && left < FULL {
                    other = f.ask.and_then(|ask| self.exchanges.get(&ask)).and_then(|x| x.back);
                }
            }
            Role::Back(b) => {
                if was_full && left < FULL {
                    other = b.ask.and_then(|(ask, _)| self.exchanges.get(&ask)).map(|x| x.front);
                }
            }
        }
        self.again.extend(other);
    }

    /// Hands on what has been read, as far as the other side takes it.
    fn pieces(&mut self, key: ConnectionId) {
        let now = self.clock.now();
        while let Some(socket) = self.sockets.get(key.slot).filter(|s| s.key == key) {
            match &socket.role {
                Role::Front(f) => {
                    let takes = match f.ask.and_then(|ask| self.exchanges.get(&ask)) {
                        // Between requests: the next begins once the answer before it is on its way.
                        None => f.ask.is_none() && f.read && !f.last && socket.out.unsent().len() < FULL,
                        Some(x) => {
                            let waits = x.back.and_then(|b| self.sockets.get(b.slot).filter(|s| s.key == b));
                            let waits = waits.map_or(x.body.len(), |s| s.out.unsent().len());
                            !f.read && waits < FULL
                        }
                    };
                    if !takes {
                        return;
                    }
                    let Some((f, _)) = self.front(key) else { return };
                    match f.reader.piece() {
                        Ok(Some(piece)) => self.client_sent(key, piece, now),
                        Ok(None) => {
                            // A head that has come in part must be whole in time.
                            let until =
                                if f.reader.is_begun() && f.ask.is_none() { now + WHOLE } else { f.until };
                            if f.ask.is_none() && f.read && until < f.until {
                                f.until = until;
                                self.timers.set(until, Due::Socket(key));
                            }
                            return;
                        }
                        Err(wrong) => return self.wrong(key, wrong),
                    }
                }
                Role::Back(b) => {
                    let Some((ask, attempt)) = b.ask else { return };
                    let Some(x) = self.exchanges.get(&ask) else { return };
                    let client = self.sockets.get(x.front.slot).filter(|s| s.key == x.front);
                    if client.is_some_and(|s| s.out.unsent().len() >= FULL) {
                        return;
                    }
                    let Some((b, _)) = self.back(key) else { return };
                    match b.reader.piece() {
                        Ok(Some(piece)) => self.worker_sent(key, ask, attempt, piece, now),
                        Ok(None) => return,
                        Err(_) => return self.broken(key),
                    }
                }
            }
        }
    }

    fn client_sent(&mut self, key: ConnectionId, piece: Piece, now: Millis) {
        match piece {
            Piece::Head(head) => self.begin(key, head, now),
            Piece::Body(bytes) => self.body(key, &bytes),
            Piece::End => {
                let Some((f, _)) = self.front(key) else { return };
                f.read = true;
                let Some(ask) = f.ask else { return };
                let Some(x) = self.exchanges.get_mut(&ask) else { return };
                x.whole = true;
                if x.head.framing == Framing::Chunked {
                    self.pass_on(ask, CHUNKS_END.to_vec());
                }
            }
        }
    }

    fn body(&mut self, key: ConnectionId, bytes: &[u8]) {
        let Some((f, _)) = self.front(key) else { return };
        let Some(ask) = f.ask else { return }; // answered before it was whole
        let Some(framing) = self.exchanges.get(&ask).map(|x| x.head.framing) else { return };
        self.pass_on(ask, framed(framing, bytes));
    }

    /// Some of a request's body goes on to its worker, and is kept as long as it may have to go again.
    fn pass_on(&mut self, ask: Ask, bytes: Vec<u8>) {
        let Some(x) = self.exchanges.get_mut(&ask) else { return };
        let back = x.back;
        if !x.dropped {
            x.body.extend_from_slice(&bytes);
            if back.is_some() && x.body.len() > FULL {
                (x.body, x.dropped) = (Vec::new(), true);
            }
        }
        let Some(back) = back else { return };
        if let Some((_, out)) = self.back(back) {
            out.put(&bytes);
            self.flush(back);
        }
    }

    /// A request begins.
    fn begin(&mut self, key: ConnectionId, head: Head, now: Millis) {
        let Some((f, out)) = self.front(key) else { return };
        f.read = false;
        f.last = !head.keeps;
        if f.manages {
            return self.manage(key, &head);
        }
        if head.expects() {
            out.put(b"HTTP/1.1 100 Continue\r\n\r\n");
        }
        let host = head.all("Host").next().unwrap_or("").to_string();
        // A target with a host in it names the host that counts (RFC 9112, 3.2.2).
        let (host, target) = match head.target().split_once("://") {
            Some((_, rest)) if !head.target().starts_with('/') => {
                let at = rest.find('/').unwrap_or(rest.len());
                let path = if at < rest.len() { &rest[at..] } else { "/" };
                (rest[..at].to_string(), path.to_string())
            }
            _ => (host, head.target().to_string()),
        };
        let bad = head.modern && head.all("Host").count() != 1
            || !target.starts_with('/')
            || head.method() == "CONNECT";
        if bad {
            return self.wrong(key, Wrong(400));
        }
        let Some((pool, target)) = self.service.route(&host, &target) else {
            return self.wrong(key, Wrong(404));
        };
        let sticky = self.service.pool(pool).sticky.clone();
        let session = sticky.as_ref().and_then(|s| session(s, head.target(), head.all("Cookie")));
        let whole = match head.framing {
            Framing::None => true,
            Framing::Length(n) => n < FULL as u64,
            Framing::Chunked | Framing::Close => false,
        };
        let ask = self.service.arrived(pool, head.method(), whole, session, now);
        let expires = now + self.service.pool(pool).timeout;
        let (back, body, answer) = (None, Vec::new(), None);
        let (attempt, dropped) = (AttemptId(0), false);
        let x = Exchange {
            front: key,
            back,
            attempt,
            head,
            target,
            body,
            dropped,
            whole: false,
            answer,
            expires,
        };
        self.exchanges.insert(ask, x);
        self.timers.set(expires, Due::Ask(ask));
        if let Some((f, _)) = self.front(key) {
            f.ask = Some(ask);
        }
        self.flush(key);
    }

    /// An operator's call.
    fn manage(&mut self, key: ConnectionId, head: &Head) {
        let (status, body) = match (head.method(), head.target().split('?').next().unwrap_or("")) {
            ("GET", "/healthcheck") => (if self.leaving.is_some() { 503 } else { 200 }, String::new()),
            ("GET", "/stats") => (200, self.service.stats().to_string()),
            _ => (404, String::new()),
        };
        self.reply(key, &fixed(status, "Content-Type: application/json\r\n", &body, false), false);
    }

    /// What a client sends is no request, or none that is served here.
    fn wrong(&mut self, key: ConnectionId, wrong: Wrong) {
        let Some((f, _)) = self.front(key) else { return };
        if let Some(ask) = f.ask {
            // The request at hand goes wrong in its body.
            self.leave(ask);
        }
        self.reply(key, &fixed(wrong.0, "", "", false), false);
    }

    /// The last bytes of an answer.
    fn reply(&mut self, key: ConnectionId, bytes: &[u8], keep: bool) {
        let leaving = self.leaving.is_some();
        let Some((f, out)) = self.front(key) else { return };
        out.put(bytes);
        f.ask = None;
        // What is left of a request that has its answer already is not waited for.
        f.last |= !keep || !f.read || leaving;
        let until = self.clock.now() + IDLE;
        if let Some((f, _)) = self.front(key) {
            f.until = until;
        }
        self.timers.set(until, Due::Socket(key));
        self.flush(key);
        self.again.push(key);
    }

    /// A request has its final answer without a worker.
    fn finish(&mut self, ask: Ask, status: u16, headers: &str) {
        let Some(x) = self.exchanges.remove(&ask) else { return };
        // An attempt that is still out is called off by the module after this.
        x.back.into_iter().for_each(|back| self.close(back));
        if x.answer.is_some() {
            return self.cut(x.front); // part of another answer is there already
        }
        let keep = x.whole && x.head.keeps;
        self.reply(x.front, &fixed(status, headers, "", keep), keep);
    }

    /// An answer has broken off: its client sees that by the end of the connection.
    fn cut(&mut self, key: ConnectionId) {
        if let Some((f, _)) = self.front(key) {
            f.ask = None;
        }
        self.close(key);
    }

    fn send(&mut self, ask: Ask, attempt: AttemptId, worker: WorkerId, addr: SocketAddr, now: Millis) {
        let place = (ask.pool, worker);
        let Some(x) = self.exchanges.get_mut(&ask) else {
            return self.service.settled(ask, attempt, AttemptResult::NotSent, false, now);
        };
        if x.dropped || x.answer.is_some() {
            return self.service.settled(ask, attempt, AttemptResult::NotSent, false, now);
        }
        let mut request = request_head(&x.head, &x.target);
        request.extend_from_slice(&x.body);
        let headless = x.head.method() == "HEAD";
        x.attempt = attempt;
        let (limit, timeout) =
            (self.service.pool(ask.pool).connect_timeout, self.service.pool(ask.pool).timeout);
        let kept = self.idle.get_mut(&place).and_then(Vec::pop);
        let key = match kept {
            Some(key) => key,
            None if self.backs >= self.most_backs && !self.free_back() => {
                return self.service.settled(ask, attempt, AttemptResult::NotSent, false, now);
            }
            None => {
                let (until, reader) = (now + limit, Reader::new(false));
                let back = Back {
                    reader,
                    ask: None,
                    place,
                    connecting: true,
                    kept: false,
                    written: false,
                    begun: false,
                    until,
                };
                let opened = TcpStream::connect(addr).and_then(|stream| self.add(stream, Role::Back(back)));
                match opened {
                    Ok(key) => key,
                    Err(e) => {
                        log::warn!("no connection to {addr}: {e}");
                        return self.service.settled(ask, attempt, AttemptResult::ConnectFailed, false, now);
                    }
                }
            }
        };
        if let Some((b, out)) = self.back(key) {
            b.ask = Some((ask, attempt));
            (b.written, b.begun, b.reader.headless) = (false, false, headless);
            b.until = if b.connecting { now + limit } else { now + timeout };
            let until = b.until;
            out.put(&request);
            self.timers.set(until, Due::Socket(key));
        }
        if let Some(x) = self.exchanges.get_mut(&ask) {
            x.back = Some(key);
            let front = x.front;
            self.again.push(front); // more of the body may go on now
        }
        self.flush(key);
    }

    /// Closes a worker's connection that stands idle.
    fn free_back(&mut self) -> bool {
        let key = self.idle.values_mut().find_map(Vec::pop);
        key.map(|key| self.close(key)).is_some()
    }

    /// Gives up an attempt.
    fn give_up(&mut self, ask: Ask, attempt: AttemptId, ending: AttemptResult, now: Millis) {
        let back = self.exchanges.get_mut(&ask).filter(|x| x.attempt == attempt).and_then(|x| x.back.take());
        back.into_iter().for_each(|key| self.close(key));
        self.service.settled(ask, attempt, ending, false, now);
    }

    fn worker_sent(&mut self, key: ConnectionId, ask: Ask, attempt: AttemptId, piece: Piece, now: Millis) {
        let Some(x) = self.exchanges.get_mut(&ask) else { return };
        let front = x.front;
        match piece {
            Piece::Head(head) if (100..200).contains(&head.status()) => {
                // 101 would end HTTP on this connection, which nobody has asked for.
                if head.status() == 101 {
                    self.broken(key);
                }
            }
            Piece::Head(head) => {
                let headless = x.head.method() == "HEAD";
                let keep = x.head.keeps && x.whole && self.leaving.is_none();
                let (bytes, framing, keep) = response_head(&head, x.head.modern, headless, keep);
                x.answer = Some(framing);
                if let Some((b, _)) = self.back(key) {
                    b.kept = head.keeps;
                }
                if let Some((f, out)) = self.front(front) {
                    f.last |= !keep;
                    out.put(&bytes);
                }
                self.service.streaming(ask, attempt);
                self.flush(front);
            }
            Piece::Body(bytes) => {
                let Some(framing) = x.answer else { return };
                let timeout = self.service.pool(ask.pool).timeout;
                if let Some((b, _)) = self.back(key) {
                    b.until = now + timeout; // it goes on
                }
                if let Some((_, out)) = self.front(front) {
                    out.put(&framed(framing, &bytes));
                }
                self.flush(front);
            }
            Piece::End => self.answered(key, ask, attempt, now),
        }
    }

    /// An answer is whole.
    fn answered(&mut self, key: ConnectionId, ask: Ask, attempt: AttemptId, now: Millis) {
        let Some(x) = self.exchanges.remove(&ask) else { return };
        let end: &[u8] = if x.answer == Some(Framing::Chunked) { CHUNKS_END } else { b"" };
        self.service.settled(ask, attempt, AttemptResult::Success, true, now);
        let reusable = x.whole;
        let mut keeps = false;
        if let Some((b, out)) = self.back(key) {
            b.ask = None;
            keeps = b.kept && reusable && out.unsent().is_empty() && b.reader.is_idle();
            if keeps {
                b.until = now + KEPT;
                let place = b.place;
                self.timers.set(now + KEPT, Due::Socket(key));
                self.idle.entry(place).or_default().push(key);
            }
        }
        if !keeps {
            self.close(key);
        }
        self.reply(x.front, end, true);
    }

    /// The other side has ended a connection.
    fn ended(&mut self, key: ConnectionId) {
        let now = self.clock.now();
        if let Some((b, _)) = self.back(key) {
            if let (Some((ask, attempt)), true) = (b.ask, b.reader.closed()) {
                b.kept = false;
                return self.answered(key, ask, attempt, now);
            }
        }
        self.broken(key);
    }

    /// A client is gone: nothing is done for its request any more.
    fn leave(&mut self, ask: Ask) {
        let now = self.clock.now();
        let Some(x) = self.exchanges.get(&ask) else { return };
        let (attempt, is_out) = (x.attempt, x.back.is_some());
        self.service.gone(ask);
        if is_out {
            self.give_up(ask, attempt, AttemptResult::Cancelled, now);
        }
        self.exchanges.remove(&ask);
    }

    /// A connection has ended, failed or run out of time.
    fn broken(&mut self, key: ConnectionId) {
        let now = self.clock.now();
        let Some(socket) = self.socket(key) else { return };
        match &mut socket.role {
            Role::Front(f) => {
                let ask = f.ask.take();
                self.close(key);
                ask.into_iter().for_each(|ask| self.leave(ask));
            }
            Role::Back(b) => {
                let (ask, late) = (b.ask, b.until <= now);
                // What was not written cannot have run; a kept connection that ends at once says nothing.
                let ending = match () {
                    _ if b.connecting || !b.written => AttemptResult::ConnectFailed,
                    _ if late => AttemptResult::TimedOut,
                    _ if b.kept && !b.begun => AttemptResult::StaleConnection,
                    _ => AttemptResult::Reset,
                };
                self.close(key);
                let Some((ask, attempt)) = ask else { return };
                let begun = self.exchanges.get(&ask).is_some_and(|x| x.answer.is_some());
                if begun {
                    // Its client has had a part of it: one honest end, and nothing goes again.
                    if let Some(x) = self.exchanges.remove(&ask) {
                        self.cut(x.front);
                    }
                    return self.service.settled(ask, attempt, ending, true, now);
                }
                if let Some(x) = self.exchanges.get_mut(&ask) {
                    x.back = None;
                }
                self.service.settled(ask, attempt, ending, false, now);
            }
        }
    }

    /// The time has come to look at a connection.
    fn socket_due(&mut self, key: ConnectionId, now: Millis) {
        let Some(socket) = self.socket(key) else { return };
        match &mut socket.role {
            Role::Front(f) if f.ask.is_some() => {}
            Role::Front(f) if f.until > now => {
                let until = f.until;
                self.timers.set(until, Due::Socket(key));
            }
            Role::Front(f) if f.reader.is_begun() && !f.last => self.wrong(key, Wrong(408)),
            Role::Front(_) => self.broken(key),
            Role::Back(b) if b.until > now => {
                let until = b.until;
                self.timers.set(until, Due::Socket(key));
            }
            // No connection came up, nobody needed it, or a body stands still for as long as an answer may take.
            Role::Back(_) => self.broken(key),
        }
    }

    /// A request's time is over.
    fn ask_due(&mut self, ask: Ask, now: Millis) {
        let Some(x) = self.exchanges.get(&ask).filter(|x| x.answer.is_none()) else { return };
        if x.back.is_some() {
            let attempt = x.attempt;
            self.give_up(ask, attempt, AttemptResult::TimedOut, now);
        }
    }
}
