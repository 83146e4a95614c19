//! Usage of the queue's limits by the deferred jobs.

use crate::error::ExceededLimit;
use crate::Limits;
use std::collections::HashMap;

/// Counters of the jobs that are currently deferred; released jobs do not count.
#[derive(Debug, Default)]
pub struct Usage {
    jobs: usize,
    bytes: usize,
    jobs_by_client: HashMap<u64, usize>,
}

impl Usage {
    /// Returns the number of deferred jobs.
    pub fn jobs(&self) -> usize {
        self.jobs
    }

    /// Returns the bytes held by the deferred jobs.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Checks whether one more job of a client, which holds `bytes` bytes, is within the limits.
    ///
    /// # Errors
    /// Returns the first limit that the job would exceed.
    pub fn check_limits(&self, limits: &Limits, client: u64, bytes: usize) -> Result<(), ExceededLimit> {
        let jobs_of_client = self.jobs_by_client.get(&client).copied().unwrap_or(0);
        if self.jobs >= limits.max_jobs {
            Err(ExceededLimit::Jobs)
        } else if self.bytes + bytes > limits.max_bytes {
            Err(ExceededLimit::Bytes)
        } else if jobs_of_client >= limits.max_jobs_per_client {
            Err(ExceededLimit::JobsPerClient)
        } else {
            Ok(())
        }
    }

    /// Adds a deferred job to the counters.
    pub fn add(&mut self, client: u64, bytes: usize) {
        self.jobs += 1;
        self.bytes += bytes;
        *self.jobs_by_client.entry(client).or_default() += 1;
    }

    /// Removes a job from the counters.
    pub fn remove(&mut self, client: u64, bytes: usize) {
        self.jobs -= 1;
        self.bytes -= bytes;
        if let Some(jobs) = self.jobs_by_client.get_mut(&client) {
            *jobs -= 1;
            if *jobs == 0 {
                self.jobs_by_client.remove(&client);
            }
        }
    }
}
