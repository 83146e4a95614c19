//! What a dispatcher is told at its start: classes of jobs, customers, report fields and limits.

use super::{Ending, Micros};

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
