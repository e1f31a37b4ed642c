//! Counters, gauges and latency histograms as text for Prometheus.

use crate::{counters::Counters, logging::lines_dropped};
use prometheus_client::{
    collector::Collector,
    encoding::{DescriptorEncoder, EncodeMetric, text::encode},
    metrics::{counter::ConstCounter, gauge::ConstGauge, histogram::Histogram},
    registry::Registry,
};
use std::{fmt, sync::Arc};

/// Upper bounds of the histogram buckets in seconds.
const BUCKETS_S: [f64; 20] = [
    0.0002, 0.0005, 0.001, 0.002, 0.004, 0.007, 0.012, 0.02, 0.035, 0.06, 0.1, 0.15, 0.25, 0.4, 0.65, 1.0,
    1.6, 2.5, 4.0, 8.0,
];

/// Names and current values of gauges.
pub type Gauges = Vec<(&'static str, u64)>;

/// Latency histograms of a node.
#[derive(Debug)]
pub struct Latencies {
    /// Duration of calls, from the complete request head to the head of the answer.
    pub calls: Histogram,
    /// Duration of attempts, measured at the entry.
    pub attempts: Histogram,
    /// Time that admitted calls waited at the local guard.
    pub waits: Histogram,
    /// Duration of runs at the local target, from admission to the end of a short answer.
    pub runs: Histogram,
    /// Time that pieces of bodies waited for this node's link.
    pub link_waits: Histogram,
}

impl Default for Latencies {
    fn default() -> Self {
        Self {
            calls: latency_histogram(),
            attempts: latency_histogram(),
            waits: latency_histogram(),
            runs: latency_histogram(),
            link_waits: latency_histogram(),
        }
    }
}

/// Creates an empty histogram of durations.
pub fn latency_histogram() -> Histogram {
    Histogram::new(BUCKETS_S)
}

/// Records a duration in µs.
pub fn record_us(histogram: &Histogram, duration_us: u64) {
    histogram.observe(duration_us as f64 / 1e6);
}

/// Collects counters and gauges when metrics are scraped.
#[derive(Debug)]
struct CounterCollector {
    counters: Arc<Counters>,
    gauges: Gauges,
}

impl Collector for CounterCollector {
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

/// Encodes all metrics as text for Prometheus.
pub fn encode_metrics(
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
    registry.register("link_wait_seconds", "waits for the link", latencies.link_waits.clone());
    let help = "time from the first read of a version to its being in force";
    registry.register("version_delay_seconds", help, version_delays.clone());
    registry.register_collector(Box::new(CounterCollector { counters, gauges }));
    let mut text = String::new();
    if let Err(error) = encode(&mut text, &registry) {
        log::error!("metrics cannot be encoded: {error}");
    }
    text
}
