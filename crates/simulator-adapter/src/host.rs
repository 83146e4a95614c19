//! Hosts one dispatcher per simulated scheduler. Dispatchers share no state.

#[cfg(test)]
mod tests;

use crate::wire::{Batch, InstanceId, Record, Reply};
use postusher_decision::{Dispatcher, Event, Micros};
use postusher_settings::{SettingsError, SiteSettings};
use std::any::Any;
use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};
use thiserror::Error;

/// The reason why a batch could not be processed.
#[derive(Debug, Error)]
pub enum HostError {
    /// The settings for a new dispatcher are invalid.
    #[error("instance {instance}: {cause}")]
    Settings {
        /// The number of the simulated scheduler.
        instance: InstanceId,
        /// The error in the settings.
        #[source]
        cause: SettingsError,
    },
}

/// The running dispatchers, by the number of their simulated scheduler.
#[derive(Default)]
pub struct Host {
    dispatchers: BTreeMap<InstanceId, Dispatcher>,
}

impl Host {
    /// Processes a batch and returns the reply frame.
    ///
    /// # Errors
    /// Returns an error if a dispatcher cannot be started.
    pub fn process_batch(&mut self, batch: Batch) -> Result<Vec<u8>, HostError> {
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
        // A panic ends only this dispatcher. It is removed then, so its state may be left inconsistent.
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

/// Returns the message of a caught panic, or `panic` if its payload is not a text.
fn panic_message(payload: &(dyn Any + Send)) -> &str {
    if let Some(message) = payload.downcast_ref::<String>() {
        return message;
    }
    match payload.downcast_ref::<&str>() {
        Some(message) => message,
        None => "panic",
    }
}
