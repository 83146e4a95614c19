//! Hosts one dispatcher for each instance. Instances share nothing.

use crate::wire::{Batch, Record, Reply};
use postusher_decision::{Action, Dispatcher, Event, Micros};
use postusher_settings::SiteSettings;
use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// The running instances.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u16, Dispatcher>,
}

impl Host {
    /// Plays a batch and builds the reply to it.
    pub fn play(&mut self, batch: Batch) -> Result<Vec<u8>, String> {
        let mut reply = Reply::default();
        for (instance, record) in batch.records {
            match record {
                Record::Launch { seed, settings } => {
                    let site =
                        SiteSettings::parse(&settings).map_err(|e| format!("instance {instance}: {e}"))?;
                    self.instances.insert(instance, Dispatcher::new(site.settings, seed, batch.now));
                }
                Record::Kill => {
                    self.instances.remove(&instance);
                }
                Record::Event(event) => self.event(instance, event, batch.now, &mut reply),
                Record::Skip => {}
            }
        }
        Ok(reply.finish())
    }

    fn event(&mut self, instance: u16, event: Event, now: Micros, reply: &mut Reply) {
        let Some(dispatcher) = self.instances.get_mut(&instance) else { return };
        let mut actions: Vec<Action> = Vec::new();
        match catch_unwind(AssertUnwindSafe(|| dispatcher.handle(event, now, &mut actions))) {
            Ok(()) => actions.iter().for_each(|a| reply.action(instance, a)),
            Err(cause) => {
                let text = cause.downcast_ref::<String>().map(String::as_str);
                let text = text.or(cause.downcast_ref::<&str>().copied()).unwrap_or("panic");
                reply.panic(instance, text);
                self.instances.remove(&instance);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use postusher_decision::{Job, JobId, ListUpdate};

    const PROFILE: &str = r#"{"Permissions": {"MaxAttempts": 3}, "Unheard": 1,
        "Rules": {"ColdFrom": 0.1, "FallMs": 1000, "OverloadFactor": 3, "WarmAfterMs": 9000},
        "Services": [{"Effect": "repeatable", "GoalTimeMs": 250}]}"#;

    fn launch() -> (u16, Record) {
        (4, Record::Launch { seed: 1, settings: PROFILE.into() })
    }

    fn job() -> (u16, Record) {
        let job = Job {
            id: JobId(1),
            class: 0,
            deadline: 9_000_000,
            size_hint: None,
            slots: 1,
            key: 0,
            customer: 0,
        };
        (4, Record::Event(Event::JobArrived(job)))
    }

    #[test]
    fn kill_and_launch_in_one_batch_forget_everything() {
        let mut host = Host::default();
        let list =
            (4, Record::Event(Event::EndpointList { update: ListUpdate::Cached, endpoints: Vec::new() }));
        let first = host.play(Batch { now: 1, records: vec![launch(), job()] }).unwrap();
        let again = host.play(Batch { now: 1, records: vec![(4, Record::Kill), launch(), job()] }).unwrap();
        assert_eq!(first, again, "the same job id is new to the new instance");
        assert!(host.play(Batch { now: 2, records: vec![(4, Record::Kill), list] }).unwrap().len() == 8);
    }

    #[test]
    fn bad_settings_are_named() {
        let bad = (4, Record::Launch { seed: 1, settings: b"{\"Services\": []}".to_vec() });
        let error = Host::default().play(Batch { now: 1, records: vec![bad] }).unwrap_err();
        assert!(error.contains("instance 4") && error.contains("missing field"), "{error}");
    }
}
