//! Smoothed estimates of a single quantity.

/// An exponentially weighted moving average. The first sample initialises it.
#[derive(Clone, Copy, Default)]
pub struct MovingAverage {
    value: Option<f64>,
}

impl MovingAverage {
    /// Creates an average that continues from an earlier value; `None` means no sample yet.
    pub fn new(value: Option<f64>) -> Self {
        MovingAverage { value }
    }

    /// Adds a sample with a weight from 0 to 1.
    pub fn add(&mut self, sample: f64, weight: f64) {
        self.value = Some(self.value.map_or(sample, |mean| mean + weight * (sample - mean)));
    }

    /// Returns the average; `None` without a sample.
    pub fn value(&self) -> Option<f64> {
        self.value
    }

    /// Returns the average, or `default` without a sample.
    pub fn value_or(&self, default: f64) -> f64 {
        self.value.unwrap_or(default)
    }
}

/// A running estimate of a quantile. Each sample moves the estimate by a factor, up if the sample is larger
/// and down otherwise. The estimate converges to the value at which the upward and downward steps cancel out,
/// so the factors determine the quantile.
#[derive(Clone, Copy, Default)]
pub struct QuantileEstimate {
    value: Option<f64>,
}

impl QuantileEstimate {
    /// Creates an estimate that continues from an earlier value; `None` means no sample yet.
    pub fn new(value: Option<f64>) -> Self {
        QuantileEstimate { value }
    }

    /// Adds a sample; `rise` and `fall` are the factors of the upward and downward steps.
    pub fn add(&mut self, sample: f64, rise: f64, fall: f64) {
        let step = |estimate: f64| estimate * if sample > estimate { rise } else { fall };
        self.value = Some(self.value.map_or(sample, step));
    }

    /// Returns the estimate; `None` without a sample.
    pub fn value(&self) -> Option<f64> {
        self.value
    }

    /// Returns the estimate, or `default` without a sample.
    pub fn value_or(&self, default: f64) -> f64 {
        self.value.unwrap_or(default)
    }
}
