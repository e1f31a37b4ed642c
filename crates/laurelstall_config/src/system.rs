//! The system document: limits of the whole system, published by the platform.

use crate::{
    problem::{Checker, ConfigError, is_name},
    settings::CallerLimits,
};
use serde::{Deserialize, Serialize};

/// Limits on the traffic with which a node observes targets.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ObserveLimits {
    /// Bytes per second in both directions, for hints and probes together; 0 disables both.
    pub bytes_per_s: u64,
    /// Probes per second, sent and answered together.
    pub probes_per_s: u64,
}

impl Default for ObserveLimits {
    fn default() -> Self {
        Self { bytes_per_s: 4_000, probes_per_s: 10 }
    }
}

/// Settings of the distribution of configuration among nodes.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ReplicationSettings {
    /// Number of nodes in each data centre that watch the platform.
    pub readers_per_data_centre: usize,
    /// Number of partners, the peers that a node gossips with.
    pub partners: usize,
    /// Interval between two exchanges of versions with a partner in ms.
    pub exchange_interval_ms: u64,
    /// Time in ms without a known read of the platform after which any node may read it.
    pub fallback_read_after_ms: u64,
    /// Maximum backoff after failed reads of the platform in ms.
    pub read_pause_max_ms: u64,
}

impl Default for ReplicationSettings {
    fn default() -> Self {
        Self {
            readers_per_data_centre: 2,
            partners: 6,
            exchange_interval_ms: 1_000,
            fallback_read_after_ms: 60_000,
            read_pause_max_ms: 10_000,
        }
    }
}

/// Published limits on callers, which override those of the nodes' settings where they are set.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PublishedCallerLimits {
    /// Maximum size of a request head in bytes.
    pub head_bytes: Option<usize>,
    /// Maximum size of a request body in bytes.
    pub body_bytes: Option<u64>,
    /// Maximum time without data within a body in ms.
    pub idle_timeout_ms: Option<u64>,
}

impl PublishedCallerLimits {
    /// Returns the limits of a node's settings with these overrides applied.
    pub fn applied_to(&self, settings: CallerLimits) -> CallerLimits {
        CallerLimits {
            head_bytes: self.head_bytes.unwrap_or(settings.head_bytes),
            body_bytes: self.body_bytes.unwrap_or(settings.body_bytes),
            idle_timeout_ms: self.idle_timeout_ms.unwrap_or(settings.idle_timeout_ms),
            ..settings
        }
    }
}

/// The latency between two data centres.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Distance {
    /// Name of one data centre.
    pub from: String,
    /// Name of the other data centre.
    pub to: String,
    /// One-way latency in µs.
    pub one_way_us: u64,
}

/// The system document.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SystemLimits {
    /// Limits on observing targets.
    pub observe: ObserveLimits,
    /// Distribution of the configuration among nodes.
    pub spread: ReplicationSettings,
    /// Limits on callers.
    pub callers: PublishedCallerLimits,
    /// Cost of a remote data centre in percent: a call is sent there if that raises the probability that its answer is
    /// in time by more than this many percentage points.
    pub data_centre_change_percent: u32,
    /// Latencies between data centres; [`DISTANCE_DEFAULT_US`] for pairs that are not listed.
    #[serde(rename = "distance")]
    pub distances: Vec<Distance>,
}

/// Minimum of the limit on request heads in bytes, which hyper requires.
const HEAD_BYTES_MIN: usize = 8_192;

/// One-way latency between data centres for which the document has none, in µs.
pub const DISTANCE_DEFAULT_US: u64 = 1_000;

impl SystemLimits {
    /// Parses and checks a system document; `file` is its name in error messages.
    ///
    /// # Errors
    ///
    /// Returns all problems found in `text`.
    pub fn from_text(file: &str, text: &str) -> Result<Self, ConfigError> {
        let mut check = Checker::new(file, text);
        let limits: Self = check.parse().unwrap_or_default();
        check.range("observe.bytes_per_s", limits.observe.bytes_per_s, 0..=10_000_000);
        check.range("observe.probes_per_s", limits.observe.probes_per_s, 0..=10_000);
        let spread = limits.spread;
        check.range("spread.readers_per_data_centre", spread.readers_per_data_centre, 1..=1_000);
        check.range("spread.partners", spread.partners, 1..=32);
        check.range("spread.exchange_interval_ms", spread.exchange_interval_ms, 50..=60_000);
        check.range("spread.fallback_read_after_ms", spread.fallback_read_after_ms, 1_000..=3_600_000);
        check.range("spread.read_pause_max_ms", spread.read_pause_max_ms, 200..=600_000);
        check.range("data_centre_change_percent", limits.data_centre_change_percent, 0..=1_000);
        let callers = limits.callers;
        check.range(
            "callers.head_bytes",
            callers.head_bytes.unwrap_or(HEAD_BYTES_MIN),
            HEAD_BYTES_MIN..=1_048_576,
        );
        check.range("callers.idle_timeout_ms", callers.idle_timeout_ms.unwrap_or(10), 10..=3_600_000);
        for distance in &limits.distances {
            let are_valid_names = is_name(&distance.from) && is_name(&distance.to);
            check.ensure(are_valid_names, "distance", "from and to must be valid names of data centres");
            check.range("distance.one_way_us", distance.one_way_us, 0..=1_000_000);
        }
        check.finish().map(|()| limits)
    }

    /// Returns the one-way latency between two data centres in µs; 0 within one data centre.
    pub fn distance_us(&self, a: &str, b: &str) -> u64 {
        if a == b {
            return 0;
        }
        let connects = |d: &&Distance| (d.from == a && d.to == b) || (d.from == b && d.to == a);
        let distance = self.distances.iter().find(connects);
        distance.map_or(DISTANCE_DEFAULT_US, |distance| distance.one_way_us)
    }
}
