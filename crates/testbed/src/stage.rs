//! The components of a run.

use crate::discovery::Discovery;
use crate::journal::Journal;
use crate::relay::Relay;
use crate::scenario::Scenario;
use crate::schedulers::Scheduler;
use crate::workers::Worker;
use std::sync::Arc;
use tokio::sync::Mutex;

/// The components of a run, except its clients.
pub struct TestEnvironment {
    /// The scenario.
    pub scenario: Scenario,
    /// The workers, by number.
    pub workers: Vec<Arc<Worker>>,
    /// The service that publishes the endpoint list.
    pub discovery: Arc<Discovery>,
    /// The schedulers, by number.
    pub schedulers: Vec<Mutex<Scheduler>>,
    /// The links between schedulers, if they are members of a group.
    pub relay: Option<Arc<Relay>>,
    /// The journal of the run.
    pub journal: Journal,
}

impl TestEnvironment {
    /// Sends a request, given as method and target, to the admin interface of each scheduler.
    pub async fn admin_request_all(&self, request: &str) {
        for scheduler in &self.schedulers {
            if let Err(error) = scheduler.lock().await.admin_request(request).await {
                tracing::warn!("admin request failed: request={request:?} error={error:#}");
            }
        }
    }
}
