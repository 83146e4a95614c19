//! What goes into a [`Dispatcher`](crate::Dispatcher) and what comes out of it.
//!
//! Times are whole microseconds on one clock that only moves forward; the host supplies it with each event.

/// A point in time or a length of time, in microseconds.
pub type Micros = u64;

/// Names a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerId(pub u32);

/// Names one try of one client's job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u32);

/// Which workers drop a repeat of a keyed job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// Every worker.
    All,
    /// The workers of one zone.
    Zone,
    /// The workers of one cell.
    Cell,
}

/// How often a job may take effect, and so when it may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Safe to repeat.
    Repeatable,
    /// Repeats are dropped inside `group` for `window` from the first sending that may have run.
    ByKey {
        /// Who drops repeats.
        group: Group,
        /// For how long.
        window: Micros,
    },
    /// Must never run twice.
    Once,
}

/// What is known of a class of jobs.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// When it may be repeated.
    pub effect: Effect,
    /// Full worth inside this time plus `stretch` times the job's own running time.
    pub goal: Micros,
    /// See `goal`.
    pub stretch: f64,
    /// What a job is worth.
    pub credit: f64,
    /// The part of `credit` that an answer past its aim still earns.
    pub late_value: f64,
    /// Jobs of one key keep their order of arrival at this dispatcher.
    pub keep_order: bool,
    /// The machine kinds open to it; `None` sets no bound, an empty list closes all.
    pub kinds: Option<Vec<u16>>,
    /// The zones open to it, likewise.
    pub zones: Option<Vec<u16>>,
}

/// A customer, one of those that share the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Customer {
    /// Jobs a second within its share, at all dispatchers together; what it asks for beyond is worth little.
    pub quota: f64,
}

/// A value in a worker's load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Field {
    /// Slots without a job.
    FreeSlots,
    /// Jobs waiting.
    Queue,
    /// Jobs that it has, those waiting included.
    Jobs,
    /// Anything else: not used.
    Other,
}

/// All that a dispatcher is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The classes, by number.
    pub classes: Vec<Class>,
    /// The customers, by number; none where all are alike.
    pub customers: Vec<Customer>,
    /// `credit` counts per unit of work instead of per job.
    pub worth_by_work: bool,
    /// How many dispatchers feed the same workers, this one included.
    pub siblings: u32,
    /// The list of workers comes only when asked for.
    pub must_ask: bool,
    /// An unsubscribed dispatcher has to ask within this time.
    pub ask_within: Micros,
    /// A worker gets nothing new so long after this dispatcher was told that it drains or is gone.
    pub drain_grace: Micros,
    /// The fields of a load report, in order.
    pub fields: Vec<Field>,
    /// Load reports come with probes alone, not with outcomes.
    pub by_probes: bool,
    /// This dispatcher's zone.
    pub zone: u16,
    /// Price of an attempt that crosses zones.
    pub cross_zone_price: f64,
    /// Price of a new connection.
    pub connect_price: f64,
    /// An idle connection is kept for so long.
    pub keepalive: Micros,
    /// Time between progress notes; 0 where there are none.
    pub progress: Micros,
    /// Workers tell when a job starts.
    pub tells_start: bool,
    /// Probes may be sent.
    pub probes: bool,
    /// Attempts may be withdrawn.
    pub cancel: bool,
    /// Two attempts of one job may be out at once.
    pub second_copies: bool,
    /// Clients are handed the retry-after.
    pub retry_after: bool,
    /// The longest retry-after that clients follow.
    pub max_retry_after: Micros,
    /// Attempts for one job, at most.
    pub max_attempts: u8,
    /// A worker starts with this part of its capacity or more.
    pub cold_from: f64,
    /// And is warm after this time.
    pub warm_after: Micros,
    /// Work over this multiple of a cold worker's capacity ...
    pub overload_factor: f64,
    /// ... within this time makes it fall over.
    pub fall: Micros,
    /// An attempt that ends as `Full` may have run.
    pub full_may_have_run: bool,
    /// A key that keeps order rests so long after an attempt whose end is not sure.
    pub order_pause: Micros,
    /// Price of a fetch of what a job needs, for each job.
    pub fetch_price: f64,
    /// Weight of the part that counts only while few jobs miss their aim; a prompt refusal is no miss.
    pub punctual: f64,
    /// The share of jobs that may miss at no loss there. Neither is acted on: hopeless jobs end at once anyway.
    pub borne_misses: f64,
}

/// Whether a listed worker takes jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// Takes jobs.
    Ready,
    /// Takes only jobs for which it is wished.
    Reserved,
    /// Finishes what it has.
    Draining,
    /// Removed.
    Gone,
}

/// One line of the list of workers.
#[derive(Clone, Debug)]
pub struct Member {
    /// Which worker.
    pub worker: WorkerId,
    /// Its state.
    pub readiness: Readiness,
    /// Its size against other workers; no unit.
    pub heft: f64,
    /// When it last started; 0: long ago.
    pub up_since: Micros,
    /// Its cell.
    pub cell: u16,
    /// Its machine kind.
    pub kind: u16,
    /// Its zone.
    pub zone: u16,
}

/// What a message about the list brings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only the lines that changed.
    Delta,
    /// The whole list.
    Full,
    /// The whole list as last seen, maybe out of date.
    Cached,
    /// A call failed or the subscription ended.
    Failed,
}

/// A job that a client brought.
#[derive(Clone, Debug)]
pub struct Job {
    /// Its id, never used again.
    pub id: JobId,
    /// Its class, by number.
    pub class: u16,
    /// When the client gives up.
    pub expires: Micros,
    /// Rough running time on a standard core, where told.
    pub hint: Option<Micros>,
    /// Slots that it takes.
    pub slots: u32,
    /// What it concerns; 0 where it has no key.
    pub key: u64,
    /// Whose it is, by number; one that the settings don't have has a share of none.
    pub customer: u16,
}

/// What a dispatcher has learned of the fleet, in figures that another process of it can take over.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Memory {
    /// Usual figures of the fleet, in an order of the module's own.
    pub fleet: Vec<Option<f64>>,
    /// For how long jobs lie before they start.
    pub lay: f64,
    /// Strain of the latest outcomes.
    pub recent: Vec<f64>,
    /// Of each class: the logarithm and the mean of its running time, and the share that was turned away.
    pub classes: Vec<(Option<f64>, Option<f64>, f64)>,
    /// Of each machine kind that was seen: the logarithm of its running time over the usual.
    pub kinds: Vec<(u16, Option<f64>)>,
    /// What each customer has left of its share, in jobs.
    pub accounts: Vec<f64>,
    /// Of each worker.
    pub workers: Vec<(WorkerId, Health)>,
}

/// What a dispatcher has learned of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Health {
    /// Most free slots ever reported.
    pub slots: i64,
    /// Slots that others took at the latest report.
    pub others: f64,
    /// How long ago that came; `None`: never.
    pub reported: Option<Micros>,
    /// How much slower than expected it is, failures included.
    pub strain: f64,
    /// For how long it is still avoided; 0: it is not.
    pub avoided: Micros,
    /// How often it was, since it last served well.
    pub strikes: u32,
}

/// Slots of the fleet at which a job would start at once, as far as is known here.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Vacancy {
    /// Free ones.
    pub free: u32,
    /// All that are in service, free ones included.
    pub total: u32,
    /// The most free ones at a single worker.
    pub widest: u32,
}

/// An attempt that another process has made.
#[derive(Clone, Debug)]
pub struct Begun {
    /// Where it went.
    pub worker: WorkerId,
    /// How long ago.
    pub age: Micros,
    /// It has not ended.
    pub out: bool,
    /// It may have run.
    pub ran: bool,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Served.
    Ok,
    /// An error; may have run.
    Error,
    /// Turned away; did not run, but for where the settings say that it may have.
    Full,
    /// No answer in time; may have run.
    Timeout,
    /// No connection; did not run.
    ConnectFailed,
    /// The connection broke; may have run.
    Reset,
    /// Turned away as nothing that can be run, by the worker's word; it may be the job or the worker.
    Rejected,
    /// A kept connection broke under it; may have run. That says nothing of the worker.
    Stale,
    /// Withdrawn; may have run.
    Cancelled,
    /// Never sent; did not run.
    Moot,
}

/// How an attempt ended.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Whose attempt.
    pub job: JobId,
    /// Which of its attempts.
    pub leg: u8,
    /// How it ended.
    pub ending: Ending,
    /// How long it was out.
    pub latency: Micros,
    /// The job has its final answer, by this outcome or before it.
    pub done: bool,
    /// The worker's load report, if one came along.
    pub report: Vec<f64>,
}

/// What happens to a dispatcher.
#[derive(Clone, Debug)]
pub enum Event {
    /// News of the list of workers.
    Members { kind: ListKind, members: Vec<Member> },
    /// The list is kept elsewhere from now on: it has to be asked for there, whatever failed before.
    ListMoved,
    /// An operator takes a worker out: nothing new may go there, whatever the list says, until it is taken back.
    TakenOut(WorkerId),
    /// And takes it back.
    TakenBack(WorkerId),
    /// A worker is wished for a job that comes next: it is taken where it can serve the job at all; else, if `only`,
    /// the job is turned away, or goes where all jobs go.
    Wished { job: JobId, worker: WorkerId, only: bool },
    /// A client's job; the dispatcher owes one final answer.
    Arrived(Job),
    /// A job that another process of this dispatcher has taken comes over to this one, with its attempts.
    Adopted { job: Job, begun: Vec<Begun> },
    /// What another process of this dispatcher has learned comes over to this one.
    Learned(Memory),
    /// The job has started on the worker.
    Started { job: JobId, leg: u8 },
    /// This part of the job is done.
    Progress { job: JobId, leg: u8, done: f64 },
    /// The answer has begun and belongs to the client; no deadline any more.
    Streaming { job: JobId, leg: u8 },
    /// An attempt ended; each `Send` gets exactly one.
    Settled(Outcome),
    /// The client has left.
    ClientGone(JobId),
    /// A probe ended.
    Probed { worker: WorkerId, ending: Ending, report: Vec<f64> },
    /// A timer came due.
    Timer(u64),
}

/// What a dispatcher wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt; `within` 0 means until the client gives up.
    Send { job: JobId, worker: WorkerId, within: Micros },
    /// Stop waiting for an attempt.
    Withdraw { job: JobId, leg: u8 },
    /// Final: turned away, harmless to try again; `retry_after` 0 gives no advice.
    Refuse { job: JobId, retry_after: Micros },
    /// Final: failed, with no promise.
    Fail { job: JobId },
    /// Ask for a `Timer` event.
    Wake { after: Micros, cookie: u64 },
    /// Look at a worker's load.
    Probe { worker: WorkerId },
    /// Ask for changes of the list from now on.
    Subscribe,
    /// Close the idle connections to a worker.
    Disconnect { worker: WorkerId },
}

impl Default for Settings {
    /// One dispatcher, a list that comes by itself, nothing but sending allowed, and workers that start warm.
    fn default() -> Self {
        Settings {
            classes: Vec::new(),
            customers: Vec::new(),
            worth_by_work: false,
            siblings: 1,
            must_ask: false,
            ask_within: 10_000_000,
            drain_grace: 500_000,
            fields: Vec::new(),
            by_probes: false,
            zone: 0,
            cross_zone_price: 0.0,
            connect_price: 0.0,
            keepalive: 0,
            progress: 0,
            tells_start: false,
            probes: false,
            cancel: false,
            second_copies: false,
            retry_after: false,
            max_retry_after: 0,
            max_attempts: 1,
            cold_from: 1.0,
            warm_after: 0,
            overload_factor: 1.0,
            fall: 0,
            full_may_have_run: false,
            order_pause: 0,
            fetch_price: 0.0,
            punctual: 0.0,
            borne_misses: 0.0,
        }
    }
}

impl Class {
    /// A class of this effect with this goal: worth 1 in time and nothing late, bound to nothing.
    pub fn new(effect: Effect, goal: Micros) -> Self {
        let (stretch, credit, late_value) = (0.0, 1.0, 0.0);
        Class { effect, goal, stretch, credit, late_value, keep_order: false, kinds: None, zones: None }
    }

    /// Whether some workers are closed to it.
    pub(crate) fn is_bound(&self) -> bool {
        self.kinds.is_some() || self.zones.is_some()
    }

    /// Whether it may be sent to machines of this kind in this zone.
    pub(crate) fn open_to(&self, zone: u16, kind: u16) -> bool {
        let open = |list: &Option<Vec<u16>>, x| list.as_ref().is_none_or(|l| l.contains(&x));
        open(&self.kinds, kind) && open(&self.zones, zone)
    }
}

impl Settings {
    /// Whether an attempt that ended so may have taken effect.
    pub fn may_have_run(&self, ending: Ending) -> bool {
        let never = matches!(ending, Ending::ConnectFailed | Ending::Moot);
        !never && (ending != Ending::Full || self.full_may_have_run)
    }

    /// A value of a load report, if it is there and is a number that can be meant.
    pub(crate) fn reported(&self, field: Field, report: &[f64]) -> Option<f64> {
        let at = self.fields.iter().position(|f| *f == field)?;
        report.get(at).copied().filter(|v| v.is_finite() && *v >= 0.0)
    }
}

impl Member {
    /// Whether this worker drops repeats of what the other has run.
    pub(crate) fn drops_repeats_of(&self, other: &Member, group: Group) -> bool {
        match group {
            Group::All => true,
            Group::Zone => self.zone == other.zone,
            Group::Cell => self.cell == other.cell,
        }
    }
}
