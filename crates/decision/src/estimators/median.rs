//! Medians and other order statistics.

use std::collections::VecDeque;

/// The latest samples of a quantity.
#[derive(Default)]
pub struct MedianWindow {
    samples: VecDeque<f64>,
}

impl MedianWindow {
    /// A window with these samples, newest first.
    pub fn new(samples: &[f64]) -> Self {
        MedianWindow { samples: samples.iter().copied().collect() }
    }

    /// Adds a sample and drops the oldest ones over `capacity`.
    pub fn push(&mut self, sample: f64, capacity: usize) {
        self.samples.push_front(sample);
        self.samples.truncate(capacity);
    }

    /// The median, the upper one of an even number of samples; 0 without a sample.
    pub fn median(&self) -> f64 {
        let middle = self.samples.len() / 2;
        nth_smallest(self.samples(), middle).unwrap_or(0.0)
    }

    /// The samples, newest first.
    pub fn samples(&self) -> Vec<f64> {
        self.samples.iter().copied().collect()
    }
}

/// The element at `index`, from 0, of the values in ascending order; `None` if there are fewer.
pub fn nth_smallest(mut values: Vec<f64>, index: usize) -> Option<f64> {
    if index >= values.len() {
        return None;
    }
    let (_, value, _) = values.select_nth_unstable_by(index, f64::total_cmp);
    Some(*value)
}
