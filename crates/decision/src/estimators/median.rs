//! Medians and other order statistics.

use std::collections::VecDeque;

/// A window of the latest samples of a quantity.
#[derive(Default)]
pub struct MedianWindow {
    samples: VecDeque<f64>,
}

impl MedianWindow {
    /// Creates a window with these samples, newest first.
    pub fn new(samples: &[f64]) -> Self {
        MedianWindow { samples: samples.iter().copied().collect() }
    }

    /// Adds a sample and drops the oldest samples beyond `capacity`.
    pub fn push(&mut self, sample: f64, capacity: usize) {
        self.samples.push_front(sample);
        self.samples.truncate(capacity);
    }

    /// Returns the median, which is the upper one of the two middle samples of an even number; 0 without a
    /// sample.
    pub fn median(&self) -> f64 {
        let middle = self.samples.len() / 2;
        nth_smallest(self.samples(), middle).unwrap_or(0.0)
    }

    /// Returns the samples, newest first.
    pub fn samples(&self) -> Vec<f64> {
        self.samples.iter().copied().collect()
    }
}

/// Returns the value at the zero-based `index` in ascending order; `None` if there are not enough values.
pub fn nth_smallest(mut values: Vec<f64>, index: usize) -> Option<f64> {
    if index >= values.len() {
        return None;
    }
    let (_, value, _) = values.select_nth_unstable_by(index, f64::total_cmp);
    Some(*value)
}
