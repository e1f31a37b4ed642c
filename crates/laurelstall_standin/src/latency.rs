//! Latency histograms.

use hdrhistogram::Histogram;

/// Largest recorded latency in µs; longer ones are recorded as this value.
const LATENCY_MAX_US: u64 = 120_000_000;

/// Histogram of the latencies of one kind of call.
#[derive(Debug, Clone)]
pub struct LatencyHistogram {
    histogram: Histogram<u64>,
}

impl LatencyHistogram {
    /// Creates an empty histogram.
    pub fn new() -> Self {
        let histogram = Histogram::new_with_bounds(1, LATENCY_MAX_US, 3);
        Self { histogram: histogram.expect("the bounds are valid") }
    }

    /// Records one latency.
    pub fn add_us(&mut self, latency_us: u64) {
        self.histogram.saturating_record(latency_us.max(1));
    }

    /// Adds all latencies of `other`.
    pub fn add_all(&mut self, other: &Self) {
        self.histogram.add(&other.histogram).expect("the bounds are the same");
    }

    /// Returns the latency in ms that `percent` percent of the calls do not exceed.
    pub fn percentile_ms(&self, percent: f64) -> f64 {
        self.histogram.value_at_percentile(percent) as f64 / 1_000.0
    }

    /// Returns the number of recorded calls.
    pub fn count(&self) -> u64 {
        self.histogram.len()
    }

    /// Returns the points of the cumulative distribution: a latency in ms and the share of calls that do not exceed it.
    pub fn cdf(&self) -> Vec<(f64, f64)> {
        let total = self.histogram.len().max(1) as f64;
        let mut cumulative = 0;
        let points = self.histogram.iter_recorded().map(|value| {
            cumulative += value.count_at_value();
            (value.value_iterated_to() as f64 / 1_000.0, cumulative as f64 / total)
        });
        points.collect()
    }
}

impl Default for LatencyHistogram {
    fn default() -> Self {
        Self::new()
    }
}
