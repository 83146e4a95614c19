//! Groups of workers that stand in the setup file itself, and answer requests themselves.

use crate::element::Element;
use crate::{units, Mistake};
use std::collections::BTreeSet;

/// A group of workers. Times are in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// Its name.
    pub name: String,
    /// What it serves; everything, where there is none.
    pub routes: Vec<Route>,
    /// Requests that belong together.
    pub sticky: Option<Sticky>,
    /// Its workers, in order.
    pub workers: Vec<Worker>,
    /// For so long an answer is waited for.
    pub timeout: f64,
    /// And a connection.
    pub connect_timeout: f64,
    /// Attempts for one request, at most.
    pub attempts: u32,
    /// What may be sent again after it may have run.
    pub repeat: Repeat,
}

/// What may be sent again after it may have run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Repeat {
    /// Requests whose method is safe (RFC 9110, 9.2.1).
    #[default]
    Safe,
    /// And those whose method is idempotent (RFC 9110, 9.2.2).
    Idempotent,
    /// Nothing.
    Never,
}

/// Requests that a pool serves.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Route {
    /// The host that is asked for; any, where there is none.
    pub host: Option<String>,
    /// Paths that begin so; all, where there is none.
    pub path: Option<String>,
    /// What stands in the place of that beginning when a worker is asked.
    pub to: Option<String>,
    /// Requests like these are not served by this pool, whatever other routes say.
    pub except: bool,
}

/// How a request names the worker that it belongs to: the part of a value behind the last point is a worker's route.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Sticky {
    /// By a cookie of this name.
    pub cookie: Option<String>,
    /// By a parameter of the path or the query of this name.
    pub path: Option<String>,
    /// A request whose worker cannot serve it is refused; else it goes to another.
    pub strict: bool,
}

/// Whether a worker gets requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    /// It does.
    #[default]
    Live,
    /// Only those that belong to it.
    Draining,
    /// None.
    Stopped,
}

/// When a worker gets requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// Always.
    #[default]
    Active,
    /// While no active one of its set can be used, all of these.
    Standby,
    /// One for each active one that cannot be used.
    Spare,
}

/// A worker.
#[derive(Clone, Debug, PartialEq)]
pub struct Worker {
    /// Its name.
    pub id: String,
    /// Where it listens: HOST:PORT.
    pub addr: String,
    /// Its part of the requests against that of others.
    pub weight: f64,
    /// Whether it gets requests.
    pub state: State,
    /// When it does.
    pub role: Role,
    /// Its set: those of a higher one get requests only while none of a lower one can be used.
    pub set: u32,
    /// By what requests name it.
    pub route: Option<String>,
    /// Who gets what belongs to it while it cannot be used.
    pub redirect: Option<String>,
    /// Requests that it may have at a time.
    pub most: Option<usize>,
}

impl Default for Pool {
    fn default() -> Self {
        Pool {
            name: String::new(),
            routes: Vec::new(),
            sticky: None,
            workers: Vec::new(),
            timeout: 60_000.0,
            connect_timeout: 1_000.0,
            attempts: 3,
            repeat: Repeat::default(),
        }
    }
}

impl Default for Worker {
    fn default() -> Self {
        Worker {
            id: String::new(),
            addr: String::new(),
            weight: 1.0,
            state: State::default(),
            role: Role::default(),
            set: 0,
            route: None,
            redirect: None,
            most: None,
        }
    }
}

/// Words and what they stand for, for reading and writing alike.
pub const STATES: &[(&str, State)] =
    &[("live", State::Live), ("draining", State::Draining), ("stopped", State::Stopped)];
/// See [`STATES`].
pub const ROLES: &[(&str, Role)] =
    &[("active", Role::Active), ("standby", Role::Standby), ("spare", Role::Spare)];
/// See [`STATES`].
pub const REPEATS: &[(&str, Repeat)] =
    &[("safe", Repeat::Safe), ("idempotent", Repeat::Idempotent), ("never", Repeat::Never)];
const YES: &[(&str, bool)] = &[("yes", true), ("no", false)];

/// Whether a path lies at another or below it: routes begin and end at slashes.
pub fn begins(path: &str, with: &str) -> bool {
    let with = with.trim_end_matches('/');
    path.strip_prefix(with).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

pub(crate) fn read(mut e: Element, pools: &mut Vec<Pool>, mistakes: &mut Vec<Mistake>) {
    let mut pool = Pool::default();
    e.need("name", mistakes, units::label, &mut pool.name);
    e.need("answers", mistakes, units::word(&[("direct", ())]), &mut ());
    e.read("timeout", mistakes, units::positive_duration, &mut pool.timeout);
    e.read("connect-timeout", mistakes, units::positive_duration, &mut pool.connect_timeout);
    e.read("attempts", mistakes, units::attempts, &mut pool.attempts);
    e.read("repeat", mistakes, units::word(REPEATS), &mut pool.repeat);
    e.no_more_attributes(mistakes);
    if !pool.name.is_empty() && pools.iter().any(|p| p.name == pool.name) {
        e.wrong(
            mistakes,
            format!("there are two pools {:?}", pool.name),
            "give each a name of its own".into(),
        );
    }
    let mut names = BTreeSet::new();
    for mut child in e.children(mistakes) {
        match child.name() {
            "route" => {
                let mut route = Route::default();
                child.read("host", mistakes, |t| units::host(t).map(Some), &mut route.host);
                child.read("path", mistakes, |t| units::path(t).map(Some), &mut route.path);
                child.read("to", mistakes, |t| units::path(t).map(Some), &mut route.to);
                child.read("except", mistakes, units::word(YES), &mut route.except);
                pool.routes.push(route);
            }
            "sticky" if pool.sticky.is_none() => {
                let mut sticky = Sticky::default();
                child.read("cookie", mistakes, |t| units::label(t).map(Some), &mut sticky.cookie);
                child.read("path", mistakes, |t| units::label(t).map(Some), &mut sticky.path);
                child.read("strict", mistakes, units::word(YES), &mut sticky.strict);
                pool.sticky = Some(sticky);
            }
            "sticky" => child.wrong(mistakes, "<sticky> stands here twice".into(), "join the two".into()),
            "worker" => {
                let mut w = Worker::default();
                child.need("id", mistakes, units::label, &mut w.id);
                child.need("addr", mistakes, units::place, &mut w.addr);
                child.read("weight", mistakes, units::weight, &mut w.weight);
                child.read("state", mistakes, units::word(STATES), &mut w.state);
                child.read("role", mistakes, units::word(ROLES), &mut w.role);
                child.read("set", mistakes, units::small, &mut w.set);
                child.read("route", mistakes, |t| units::label(t).map(Some), &mut w.route);
                child.read("redirect", mistakes, |t| units::label(t).map(Some), &mut w.redirect);
                child.read("most", mistakes, |t| units::count(t).map(Some), &mut w.most);
                if !w.id.is_empty() && !names.insert(w.id.clone()) {
                    let what = format!("there are two workers {:?} in this pool", w.id);
                    child.wrong(mistakes, what, "give each a name of its own".into());
                }
                pool.workers.push(w);
            }
            _ => {
                child.unknown(mistakes, &["route", "sticky", "worker"]);
                continue;
            }
        }
        child.no_more_attributes(mistakes);
        child.no_children(mistakes);
    }
    if pool.workers.is_empty() {
        e.wrong(
            mistakes,
            "a pool without workers serves nobody".into(),
            "add <worker id=\"...\" addr=\"...\"/>".into(),
        );
    }
    pools.push(pool);
}
