//! The fields of a worker's load report, and the values that a worker can have.

use super::Settings;
use std::fmt;

/// Largest number of jobs at a worker, running and queued ones together, in a valid load report.
const MAX_REPORTED_JOBS: f64 = 1_000_000.0;

/// A field of a worker's load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportField {
    /// Number of slots without a job.
    FreeSlots,
    /// Number of queued jobs.
    QueueLength,
    /// Number of jobs at the worker, queued ones included.
    Jobs,
    /// A field that is not used.
    Unused,
}

/// A load report with a value that no worker can have. No value of such a report is used.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InvalidReport {
    /// Position of the value in the report.
    pub position: usize,
    /// The value.
    pub value: f64,
    /// The largest valid value of the field.
    pub maximum: f64,
}

impl fmt::Display for InvalidReport {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "value {} is {}, expected at most {}", self.position, self.value, self.maximum)
    }
}

impl std::error::Error for InvalidReport {}

impl Settings {
    /// Checks that no value of a load report is larger than a worker can have. Negative values and NaN count
    /// as missing and are valid.
    ///
    /// # Errors
    /// Returns the first value that is too large.
    pub fn check_report(&self, report: &[f64]) -> Result<(), InvalidReport> {
        for (position, (field, value)) in self.report_fields.iter().zip(report).enumerate() {
            let maximum = self.max_report_value(*field);
            if *value > maximum {
                return Err(InvalidReport { position, value: *value, maximum });
            }
        }
        Ok(())
    }

    fn max_report_value(&self, field: ReportField) -> f64 {
        match field {
            ReportField::FreeSlots => f64::from(self.max_worker_slots),
            ReportField::QueueLength | ReportField::Jobs => MAX_REPORTED_JOBS,
            ReportField::Unused => f64::INFINITY,
        }
    }

    /// Returns a field of a load report, if it is present and is a finite number of at least 0.
    pub(crate) fn report_value(&self, field: ReportField, report: &[f64]) -> Option<f64> {
        let position = self.report_fields.iter().position(|f| *f == field)?;
        report.get(position).copied().filter(|value| value.is_finite() && *value >= 0.0)
    }
}
