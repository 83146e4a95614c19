//! Hosts one dispatcher for each simulated scheduler. Dispatchers share nothing.

#[cfg(test)]
mod tests;

use crate::wire::{Batch, InstanceId, Record, Reply};
use postusher_decision::{Dispatcher, Event, Micros};
use postusher_settings::{SettingsError, SiteSettings};
use std::any::Any;
use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};
use thiserror::Error;

/// Why a batch could not be played.
#[derive(Debug, Error)]
pub enum HostError {
    /// A dispatcher is to start with settings that are not valid.
    #[error("instance {instance}: {cause}")]
    Settings {
        /// The dispatcher's number on the wire.
        instance: InstanceId,
        /// What is wrong with them.
        #[source]
        cause: SettingsError,
    },
}

/// The running dispatchers.
#[derive(Default)]
pub struct Host {
    dispatchers: BTreeMap<InstanceId, Dispatcher>,
}

impl Host {
    /// Plays a batch and returns the frame that replies to it.
    ///
    /// # Errors
    /// A dispatcher cannot be started.
    pub fn play(&mut self, batch: Batch) -> Result<Vec<u8>, HostError> {
        let mut reply = Reply::default();
        for (instance, record) in batch.records {
            match record {
                Record::Launch { seed, settings } => self.launch(instance, seed, &settings, batch.now)?,
                Record::Kill => {
                    self.dispatchers.remove(&instance);
                }
                Record::Event(event) => self.handle(instance, event, batch.now, &mut reply),
                Record::Ignored => {}
            }
        }
        Ok(reply.into_frame())
    }

    fn launch(
        &mut self,
        instance: InstanceId,
        seed: u64,
        settings: &[u8],
        now: Micros,
    ) -> Result<(), HostError> {
        let site = SiteSettings::parse(settings).map_err(|cause| HostError::Settings { instance, cause })?;
        self.dispatchers.insert(instance, Dispatcher::new(site.settings, seed, now));
        Ok(())
    }

    fn handle(&mut self, instance: InstanceId, event: Event, now: Micros, reply: &mut Reply) {
        let Some(dispatcher) = self.dispatchers.get_mut(&instance) else { return };
        let mut actions = Vec::new();
        match catch_unwind(AssertUnwindSafe(|| dispatcher.handle(event, now, &mut actions))) {
            Ok(()) => {
                for action in &actions {
                    reply.add_action(instance, action);
                }
            }
            Err(payload) => {
                reply.add_panic(instance, panic_message(payload.as_ref()));
                self.dispatchers.remove(&instance);
            }
        }
    }
}

/// The text of a caught panic.
fn panic_message(payload: &(dyn Any + Send)) -> &str {
    if let Some(message) = payload.downcast_ref::<String>() {
        return message;
    }
    match payload.downcast_ref::<&str>() {
        Some(message) => message,
        None => "panic",
    }
}
