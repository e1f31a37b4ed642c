//! Latencies as histograms.

use hdrhistogram::Histogram;

/// Longest latency told apart, in µs.
const LATENCY_US_MAX: u64 = 120_000_000;

/// Latencies of one kind of call.
#[derive(Debug, Clone)]
pub struct Latency {
    histogram: Histogram<u64>,
}

impl Latency {
    /// No latency yet.
    pub fn new() -> Self {
        let histogram = Histogram::new_with_bounds(1, LATENCY_US_MAX, 3);
        Self { histogram: histogram.expect("the bounds are right") }
    }

    /// Adds one.
    pub fn add_us(&mut self, latency_us: u64) {
        self.histogram.saturating_record(latency_us.max(1));
    }

    /// Adds all of another.
    pub fn add_all(&mut self, other: &Self) {
        self.histogram.add(&other.histogram).expect("the bounds are the same");
    }

    /// The latency that `percent` of the calls do not pass, in ms.
    pub fn percentile_ms(&self, percent: f64) -> f64 {
        self.histogram.value_at_percentile(percent) as f64 / 1_000.0
    }

    /// Calls counted.
    pub fn count(&self) -> u64 {
        self.histogram.len()
    }

    /// Points of the distribution: latency in ms and share of calls that do not pass it.
    pub fn cdf(&self) -> Vec<(f64, f64)> {
        let total = self.histogram.len().max(1) as f64;
        let mut passed = 0;
        let points = self.histogram.iter_recorded().map(|value| {
            passed += value.count_at_value();
            (value.value_iterated_to() as f64 / 1_000.0, passed as f64 / total)
        });
        points.collect()
    }
}

impl Default for Latency {
    fn default() -> Self {
        Self::new()
    }
}
