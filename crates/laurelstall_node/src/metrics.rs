//! Counters and latency histograms as text, for whoever pulls them.

use crate::{counters::Counters, logging::lines_dropped};
use prometheus_client::{
    collector::Collector,
    encoding::{DescriptorEncoder, EncodeMetric, text::encode},
    metrics::{counter::ConstCounter, gauge::ConstGauge, histogram::Histogram},
    registry::Registry,
};
use std::{fmt, sync::Arc};

/// Upper bounds of the buckets in seconds: steps of about 1.6 from 0.2 ms to 8 s.
const BUCKETS_S: [f64; 20] = [
    0.0002, 0.0005, 0.001, 0.002, 0.004, 0.007, 0.012, 0.02, 0.035, 0.06, 0.1, 0.15, 0.25, 0.4, 0.65, 1.0,
    1.6, 2.5, 4.0, 8.0,
];

/// Gauges as they are at the moment of a pull: names and values.
pub type Gauges = Vec<(&'static str, u64)>;

/// Latencies of a node.
#[derive(Debug)]
pub struct Latencies {
    /// Calls, from the whole head to the head of the answer.
    pub calls: Histogram,
    /// Attempts, as the entry sees them.
    pub attempts: Histogram,
    /// Waits at the own guard of calls that were admitted.
    pub waits: Histogram,
    /// Runs at the own target, from the slot to the end of a short answer.
    pub runs: Histogram,
}

impl Default for Latencies {
    fn default() -> Self {
        Self {
            calls: latency_histogram(),
            attempts: latency_histogram(),
            waits: latency_histogram(),
            runs: latency_histogram(),
        }
    }
}

/// An empty histogram of durations.
pub fn latency_histogram() -> Histogram {
    Histogram::new(BUCKETS_S)
}

/// Notes a duration of so many µs.
pub fn observe_us(histogram: &Histogram, duration_us: u64) {
    histogram.observe(duration_us as f64 / 1e6);
}

/// Counters and gauges, read when they are pulled.
#[derive(Debug)]
struct Counts {
    counters: Arc<Counters>,
    gauges: Gauges,
}

impl Collector for Counts {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), fmt::Error> {
        let dropped = ("log_lines_dropped", lines_dropped());
        for (name, value) in self.counters.all().into_iter().chain([dropped]) {
            let counter = ConstCounter::new(value);
            let described = encoder.encode_descriptor(name, name, None, counter.metric_type())?;
            counter.encode(described)?;
        }
        for (name, value) in &self.gauges {
            let gauge = ConstGauge::new(*value as i64);
            let described = encoder.encode_descriptor(name, name, None, gauge.metric_type())?;
            gauge.encode(described)?;
        }
        Ok(())
    }
}

/// All metrics as text in the exposition format that pulling collectors read.
pub fn text(
    counters: Arc<Counters>,
    latencies: &Latencies,
    version_delays: &Histogram,
    gauges: Gauges,
) -> String {
    let mut registry = Registry::with_prefix("laurelstall");
    registry.register("call_seconds", "time of calls", latencies.calls.clone());
    registry.register("attempt_seconds", "time of attempts", latencies.attempts.clone());
    registry.register("guard_wait_seconds", "waits at the guard", latencies.waits.clone());
    registry.register("target_run_seconds", "runs at the target", latencies.runs.clone());
    let help = "time from the first read of a version to its being in force";
    registry.register("version_delay_seconds", help, version_delays.clone());
    registry.register_collector(Box::new(Counts { counters, gauges }));
    let mut text = String::new();
    if let Err(error) = encode(&mut text, &registry) {
        log::error!("metrics cannot be written: {error}");
    }
    text
}
