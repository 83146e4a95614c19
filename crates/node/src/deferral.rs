//! Jobs that wait before they start: what a request says of it, and the waiting room beside the decision module,
//! where the setup has one.

use crate::clock::Millis;
use crate::http::Headers;
use crate::intake::{is_id, millis, Job};
use crate::upgrade_protocol::{JobEnd, MigratedDeferral};
use postusher_decision::JobId;
use postusher_deferred_jobs::{
    After, Carried, Count, Decision, JobEndStatus, Limits, Newcomer, No, Room, Wish, MOST_NAMES,
};
use time::format_description::well_known::Rfc3339;
use time::OffsetDateTime;

/// `ID[;any][, ...]`: jobs that have to end first.
const AFTER: &str = "X-Start-After";
/// RFC 3339 date-time: not before then.
const AT: &str = "X-Start-At";
/// Not before so long from now, in the units of `X-Expires-In`.
const IN: &str = "X-Start-In";

/// What a request says of its start; of several things the last counts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StartConditions {
    after: Vec<After>,
    at: Option<Millis>,
    within: Option<Millis>,
}

impl StartConditions {
    /// Takes what concerns the start out of a request: it is meant for this scheduler alone. `None` if it cannot be
    /// read.
    pub fn take(headers: &mut Headers) -> Option<StartConditions> {
        let mut after = Vec::new();
        for line in headers.all(AFTER) {
            for part in std::str::from_utf8(line).ok()?.split(',') {
                after.push(named(part.trim())?);
            }
        }
        let at = headers.single(AT).ok()?.map(|text| instant(text).ok_or(())).transpose().ok()?;
        let within = headers.single(IN).ok()?.map(|text| millis(text, None).ok_or(())).transpose().ok()?;
        if after.len() > MOST_NAMES {
            return None;
        }
        let own = |name: &str| [AFTER, AT, IN].iter().any(|n| n.eq_ignore_ascii_case(name));
        headers.0.retain(|(name, _)| !own(name));
        Some(StartConditions { after, at, within })
    }

    /// Whether there is nothing to wait for.
    pub fn is_empty(&self) -> bool {
        self.after.is_empty() && self.at.is_none() && self.within.is_none()
    }

    fn wish(self, now: Millis) -> Wish {
        let within = self.within.map(|ms| now + ms);
        Wish { after: self.after, start: self.at.into_iter().chain(within).reduce(f64::max) }
    }
}

fn named(text: &str) -> Option<After> {
    let (name, any) = match text.split_once(';') {
        Some((name, word)) => (name.trim_end(), word.trim().eq_ignore_ascii_case("any").then_some(true)?),
        None => (text, false),
    };
    is_id(name).then(|| After { name: name.into(), any })
}

/// Milliseconds since 1970 of an RFC 3339 date-time.
fn instant(text: &str) -> Option<Millis> {
    let nanos = OffsetDateTime::parse(text, &Rfc3339).ok()?.unix_timestamp_nanos();
    Some(nanos as f64 / 1e6)
}

/// Why a job that wants to wait is not held.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DeferralError {
    /// No room for it.
    Full {
        /// When there may be some; 0 gives no advice.
        retry_after: Millis,
    },
    /// A job that it names has ended otherwise.
    Doomed,
    /// It would wait for itself.
    Circle,
    /// Its start lies after its own deadline.
    TooLate,
}

/// The waiting room of a scheduler; without one nothing waits, and nothing here costs anything.
#[derive(Default)]
pub struct DeferredJobs(Option<Room>);

fn id(job: JobId) -> postusher_deferred_jobs::JobId {
    postusher_deferred_jobs::JobId(job.0)
}

impl DeferredJobs {
    /// A room with these bounds, if there is one.
    pub fn new(limits: Option<Limits>) -> DeferredJobs {
        DeferredJobs(limits.map(Room::new))
    }

    /// Whether jobs may wait.
    pub fn is_on(&self) -> bool {
        self.0.is_some()
    }

    /// Other bounds; a room does not come or go while the scheduler runs.
    pub fn set(&mut self, limits: Limits) {
        if let Some(room) = &mut self.0 {
            room.set(limits);
        }
    }

    /// A job goes the ordinary way, here or at the other process of an upgrade.
    pub fn opened(&mut self, trace_id: &str) {
        if let Some(room) = &mut self.0 {
            room.opened(trace_id);
        }
    }

    /// A job has had its answer, or its client has left.
    pub fn ended(&mut self, trace_id: &str, how: JobEndStatus, now: Millis) {
        if let Some(room) = &mut self.0 {
            room.ended(trace_id, how, now);
        }
    }

    /// Holds a job, or says why not.
    pub fn hold(
        &mut self,
        job: JobId,
        client: u64,
        new: &Job,
        expires: Millis,
        now: Millis,
    ) -> Result<(), DeferralError> {
        let wish = new.waits.clone().wish(now);
        let late = wish.start.is_some_and(|at| at >= expires);
        let Some(room) = self.0.as_mut() else { return Err(DeferralError::Full { retry_after: 0.0 }) };
        if late {
            // Whoever waits for it is told at once, too.
            room.ended(&new.trace_id, JobEndStatus::Rejected, now);
            return Err(DeferralError::TooLate);
        }
        room.hold(newcomer(job, client, new, expires, wish, None), now).map_err(|no| match no {
            No::Circle => DeferralError::Circle,
            No::Doomed => DeferralError::Doomed,
            No::Full { retry_after, .. } => DeferralError::Full { retry_after },
            No::Closed => DeferralError::Full { retry_after: 0.0 },
        })
    }

    /// Holds a job that another process has held; says if it does.
    pub fn adopt(
        &mut self,
        job: JobId,
        client: u64,
        new: &Job,
        expires: Millis,
        held: MigratedDeferral,
        now: Millis,
    ) -> bool {
        let Some(room) = &mut self.0 else { return false };
        let after =
            held.dependencies.iter().map(|(name, any)| After { name: name.as_str().into(), any: *any });
        let wish = Wish { after: after.collect(), start: held.start_in.map(|ms| now + ms) };
        let carried = Carried { ready_for: held.ready_for, grace_left: held.grace_left };
        room.hold(newcomer(job, client, new, expires, wish, Some(carried)), now).is_ok()
    }

    /// What another process needs to go on holding a job, if it is held.
    pub fn parcel(&self, job: JobId, now: Millis) -> Option<MigratedDeferral> {
        let (wish, carried) = self.0.as_ref()?.parcel(id(job), now)?;
        Some(MigratedDeferral {
            dependencies: wish.after.into_iter().map(|a| (a.name.to_string(), a.any)).collect(),
            start_in: wish.start.map(|at| at - now),
            ready_for: carried.ready_for,
            grace_left: carried.grace_left,
        })
    }

    /// Another process has a job now.
    pub fn moved(&mut self, trace_id: &str) {
        if let Some(room) = &mut self.0 {
            room.moved(trace_id);
        }
    }

    /// What another process must know of jobs that have ended.
    pub fn remembered(&self, now: Millis) -> Vec<JobEnd> {
        let all = self.0.iter().flat_map(|room| room.remembered(now));
        all.map(|(name, status, _)| JobEnd { trace_id: name.to_string(), status }).collect()
    }

    /// Lets time pass and releases what there is room for; `capacity` is asked only where jobs could go on.
    pub fn release(
        &mut self,
        capacity: impl Fn() -> postusher_decision::FreeCapacity,
        now: Millis,
    ) -> Vec<Decision> {
        let Some(room) = &mut self.0 else { return Vec::new() };
        room.pass(now);
        if room.wants_room(now) {
            let postusher_decision::FreeCapacity { free, total, largest_free } = capacity();
            room.release(postusher_deferred_jobs::FreeCapacity { free, total, largest_free }, now);
        }
        room.decisions()
    }

    /// The module has turned away a job that came from here and that no target was sent; says if it waits on.
    pub fn turned_away(&mut self, job: JobId, now: Millis) -> bool {
        self.0.as_mut().is_some_and(|room| room.turned_away(id(job), now))
    }

    /// The module has turned away a job that never waited.
    pub fn crowded(&mut self, now: Millis) {
        if let Some(room) = &mut self.0 {
            room.crowded(now);
        }
    }

    /// When [`DeferredJobs::release`] has something to do by time alone.
    pub fn next_due(&self, now: Millis) -> Option<Millis> {
        self.0.as_ref()?.next_due(now)
    }

    /// The scheduler ends.
    pub fn close(&mut self) {
        if let Some(room) = &mut self.0 {
            room.close();
        }
    }

    /// The metrics, where there is a room.
    pub fn count(&self, now: Millis) -> Option<Count> {
        self.0.as_ref().map(|room| room.count(now))
    }
}

fn newcomer(
    job: JobId,
    client: u64,
    new: &Job,
    expires: Millis,
    wish: Wish,
    carried: Option<Carried>,
) -> Newcomer {
    Newcomer {
        id: id(job),
        name: new.trace_id.as_str().into(),
        client,
        class: new.class,
        slots: new.slots,
        bytes: new.payload.size(),
        expires,
        wish,
        carried,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::intake::tests::job_of;

    fn waits(headers: &str) -> Result<StartConditions, u16> {
        job_of(&format!("POST /render HTTP/1.1\r\nX-Trace-Id: a\r\n{headers}\r\n")).map(|job| job.waits)
    }

    #[test]
    fn what_a_request_waits_for_is_read_and_taken_out_of_it() {
        let all =
            waits("x-start-after: b, c;any\r\nX-Start-After: d ; ANY\r\nX-Start-In: 1500m\r\n").unwrap();
        assert_eq!(all.after, [After::served("b"), After::any("c"), After::any("d")]);
        assert_eq!(all.clone().wish(1_000.0).start, Some(2_500.0));
        let at = waits("X-Start-At: 2026-12-01T06:00:00.5+01:00\r\nX-Start-In: 1u\r\n").unwrap();
        assert_eq!(at.wish(0.0).start, Some(1_796_101_200_500.0));
        assert!(waits("").unwrap().is_empty());
        let job =
            job_of("POST /render HTTP/1.1\r\nX-Trace-Id: a\r\nX-Start-In: 1m\r\nX-Other: 1\r\n\r\n").unwrap();
        let sent = String::from_utf8(job.payload.request(1.0)).unwrap();
        assert!(!sent.contains("X-Start") && sent.contains("X-Other: 1"));
    }

    #[test]
    fn what_cannot_be_meant_is_refused_as_such() {
        let many = format!("X-Start-After: {}\r\n", vec!["b"; 17].join(","));
        let bad = [
            "X-Start-After: \r\n",
            "X-Start-After: b,,c\r\n",
            "X-Start-After: b;all\r\n",
            "X-Start-After: a/b\r\n",
            "X-Start-At: six\r\n",
            "X-Start-At: 2026-02-30T00:00:00Z\r\n",
            "X-Start-At: 2026-12-01T06:00:00\r\n",
            "X-Start-In: 5\r\n",
            "X-Start-In: -5m\r\n",
            "X-Start-In: 1m\r\nX-Start-In: 1m\r\n",
            &many,
        ];
        bad.iter().for_each(|headers| assert_eq!(waits(headers), Err(400), "{headers}"));
    }
}
