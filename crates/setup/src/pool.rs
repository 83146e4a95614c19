//! Direct pools: pools of workers that the setup file lists and that answer HTTP requests themselves.

mod read;

pub(crate) use read::read;

/// A direct pool. Timeouts are in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// The name.
    pub name: String,
    /// The routes, which select the requests that the pool serves. A pool without routes other than
    /// exceptions matches all requests that are not excepted.
    pub routes: Vec<Route>,
    /// The session affinity; if `None`, any worker may serve any request.
    pub sticky: Option<Sticky>,
    /// The workers, in the order of the file.
    pub workers: Vec<Worker>,
    /// The timeout for the start of the response to a request, over all its attempts. Each part of the
    /// response body that arrives restarts it.
    pub timeout: f64,
    /// The timeout for connecting to a worker.
    pub connect_timeout: f64,
    /// The maximum number of attempts for a request.
    pub max_attempts: u32,
    /// The requests that may be retried after a worker may already have processed them.
    pub retry_policy: RetryPolicy,
}

/// The requests that may be retried after a worker may already have processed them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RetryPolicy {
    /// Requests with a safe method (RFC 9110, 9.2.1).
    #[default]
    Safe,
    /// Requests with an idempotent method, which includes the safe methods (RFC 9110, 9.2.2).
    Idempotent,
    /// No requests.
    Never,
}

/// A condition on requests that a pool serves.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Route {
    /// The host of the request; `None` matches any host.
    pub host: Option<String>,
    /// The path prefix, compared by segments; `None` matches any path.
    pub path: Option<String>,
    /// The path that replaces `path` in the request to the worker; if `None`, the path is unchanged.
    pub to: Option<String>,
    /// Whether matching requests are excluded from the pool, even if another of its routes matches them,
    /// unless the path of that route is longer.
    pub except: bool,
}

/// Session affinity: the cookie or parameter whose value identifies a worker. The part of the value after the
/// last dot is the worker's route.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Sticky {
    /// The name of the cookie; `None` if sessions are not identified by a cookie.
    pub cookie: Option<String>,
    /// The name of the parameter in the path or the query; `None` if sessions are not identified by a
    /// parameter.
    pub path: Option<String>,
    /// Whether a request is rejected if the worker of its session cannot serve it; otherwise it is sent to
    /// another worker. In both cases, requests of sessions whose worker is unusable are sent to the worker
    /// that it redirects to, if that one is usable.
    pub strict: bool,
}

/// The administrative state of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    /// The worker receives requests.
    #[default]
    Live,
    /// The worker receives only requests of sessions that belong to it or are redirected to it.
    Draining,
    /// The worker receives no requests.
    Stopped,
}

/// The condition under which a live worker receives requests other than those of sessions that belong to it
/// or are redirected to it. If no live worker is usable under these conditions, all live workers receive
/// requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// Always.
    #[default]
    Active,
    /// While no active worker of the same set is usable and no spare takes the place of one.
    Standby,
    /// In place of an unusable active worker of the same set.
    Spare,
}

/// A worker of a direct pool.
#[derive(Clone, Debug, PartialEq)]
pub struct Worker {
    /// The name, which is unique in the pool.
    pub id: String,
    /// The address, as HOST:PORT.
    pub addr: String,
    /// The share of the requests without a session, relative to the weights of the other workers.
    pub weight: f64,
    /// The administrative state.
    pub state: State,
    /// The condition under which the worker receives requests.
    pub role: Role,
    /// The number of the set that the worker belongs to. Workers of a higher set receive requests only while
    /// no worker of a lower set is usable, apart from requests of sessions that belong or are redirected to
    /// them.
    pub set: u32,
    /// The name that identifies the worker in session cookies and parameters.
    pub route: Option<String>,
    /// The route of the worker that receives requests of this worker's sessions while this worker is
    /// unusable.
    pub redirect: Option<String>,
    /// The maximum number of concurrent requests; if `None`, the scheduler's default applies.
    pub max_in_flight: Option<usize>,
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
            max_attempts: 3,
            retry_policy: RetryPolicy::default(),
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
            max_in_flight: None,
        }
    }
}

/// The keywords of the states in the setup file.
pub const STATES: &[(&str, State)] =
    &[("live", State::Live), ("draining", State::Draining), ("stopped", State::Stopped)];
/// The keywords of the roles in the setup file.
pub const ROLES: &[(&str, Role)] =
    &[("active", Role::Active), ("standby", Role::Standby), ("spare", Role::Spare)];
/// The keywords of the retry policies in the setup file.
pub const RETRY_POLICIES: &[(&str, RetryPolicy)] =
    &[("safe", RetryPolicy::Safe), ("idempotent", RetryPolicy::Idempotent), ("never", RetryPolicy::Never)];

/// Returns whether a path is equal to `prefix` or below it, compared by segments.
pub fn has_path_prefix(path: &str, prefix: &str) -> bool {
    let prefix = prefix.trim_end_matches('/');
    path.strip_prefix(prefix).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}
