//! Smoothed estimates of a single quantity.

/// An exponentially weighted moving average; its first sample counts in full.
#[derive(Clone, Copy, Default)]
pub struct MovingAverage {
    value: Option<f64>,
}

impl MovingAverage {
    /// An average that continues from an earlier value; `None`: without a sample.
    pub fn new(value: Option<f64>) -> Self {
        MovingAverage { value }
    }

    /// Adds a sample with a weight from 0 to 1.
    pub fn add(&mut self, sample: f64, weight: f64) {
        self.value = Some(self.value.map_or(sample, |mean| mean + weight * (sample - mean)));
    }

    /// The average; `None` without a sample.
    pub fn value(&self) -> Option<f64> {
        self.value
    }

    /// The average, or `default` without a sample.
    pub fn value_or(&self, default: f64) -> f64 {
        self.value.unwrap_or(default)
    }
}

/// A running estimate of a quantile: it moves by a factor, up after a larger sample and down after a smaller
/// one. It comes to rest where the two kinds of steps cancel out, so the factors determine the quantile.
#[derive(Clone, Copy, Default)]
pub struct QuantileEstimate {
    value: Option<f64>,
}

impl QuantileEstimate {
    /// An estimate that continues from an earlier value; `None`: without a sample.
    pub fn new(value: Option<f64>) -> Self {
        QuantileEstimate { value }
    }

    /// Adds a sample; `rise` and `fall` are the factors of the two steps.
    pub fn add(&mut self, sample: f64, rise: f64, fall: f64) {
        let step = |estimate: f64| estimate * if sample > estimate { rise } else { fall };
        self.value = Some(self.value.map_or(sample, step));
    }

    /// The estimate; `None` without a sample.
    pub fn value(&self) -> Option<f64> {
        self.value
    }

    /// The estimate, or `default` without a sample.
    pub fn value_or(&self, default: f64) -> f64 {
        self.value.unwrap_or(default)
    }
}
