//! What clients are owed besides their answer: nothing done for one that has left, and no more time told than it has.

use super::{Rule, World};
use crate::journal::Seen;
use crate::scenario::{Fault, Kind};

/// Nothing new goes to a worker so long after the client has left, in milliseconds: 100 ms and 50 ms for the way there.
const LEFT_MS: f64 = 150.0;
/// A worker may be told this much more time than its client has, in milliseconds.
const SLACK_MS: f64 = 150.0;

/// A scheduler may be held up for so long, in seconds; what comes later by that is allowed for.
const HELD_UP_S: f64 = 0.15;

/// Whether the script stops a scheduler for longer, so that it reads late what clients have sent or done.
fn is_held_up(world: &World, scheduler: usize) -> bool {
    let holds = |f: &Fault| f.kind == Kind::Throttle || f.kind == Kind::Pause && f.for_s > HELD_UP_S;
    world.run.scenario.fault.iter().any(|f| holds(f) && f.who.contains(&scheduler))
}

/// No attempt for a client that has left.
pub(super) fn left(world: &World, add: &mut impl FnMut(Rule, String)) {
    for (job, story) in world.jobs() {
        let left = story.ends.iter().find(|(_, s)| matches!(s, Seen::Left { .. })).map(|(at, _)| *at);
        let Some(left) = left else { continue };
        let exact = !is_held_up(world, job.home);
        let late = |at: f64| exact && at > left + LEFT_MS && !world.is_doubtful(at);
        for (at, worker, ..) in story.got.iter().filter(|(at, ..)| late(*at)) {
            add(Rule::Left, format!("{} came to {worker} at {at:.0}; its client left at {left:.0}", job.id));
        }
    }
}

/// The time that workers were told.
pub(super) fn time_told(world: &World, add: &mut impl FnMut(Rule, String)) {
    for e in &world.run.entries {
        let Seen::Got { job: id, left: Some(told), .. } = &e.seen else { continue };
        let Some(job) = world.run.plan.get(id) else { continue };
        let Some(sent) = world.stories.get(id.as_str()).and_then(|story| story.sent) else { continue };
        let has = sent + job.patience - e.at;
        let exact = !is_held_up(world, job.home) && !world.is_doubtful(e.at);
        if exact && *told > has + SLACK_MS {
            add(
                Rule::TimeTold,
                format!("{id} at {:.0}: a worker is told {told:.0} ms, {has:.0} are left", e.at),
            );
        }
    }
}
