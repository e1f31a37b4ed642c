//! Limits that hold for the whole system, published by the platform.

use crate::{
    problem::{Checker, ConfigError, is_name},
    settings::CallerLimits,
};
use serde::{Deserialize, Serialize};

/// What a node may spend on observing targets.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ObserveLimits {
    /// Bytes a second, both directions, hints and probes together. 0 turns observing off.
    pub bytes_per_s: u64,
    /// Probes a second, sent and answered together.
    pub probes_per_s: u64,
}

impl Default for ObserveLimits {
    fn default() -> Self {
        Self { bytes_per_s: 4_000, probes_per_s: 10 }
    }
}

/// How nodes spread configuration.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SpreadLimits {
    /// Nodes in each data centre that watch the platform.
    pub readers_per_data_centre: usize,
    /// Other nodes that a node keeps exchanging versions with.
    pub partners: usize,
    /// Pause between two exchanges of versions with a partner in ms.
    pub exchange_interval_ms: u64,
    /// Without news of a platform read for so long, any node may read itself; in ms.
    pub fallback_read_after_ms: u64,
    /// Longest pause after a failed read of the platform in ms.
    pub read_pause_max_ms: u64,
}

impl Default for SpreadLimits {
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

/// Published limits on callers; what is not named stays as the node's settings say.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PublishedCallerLimits {
    /// Bytes of a request head.
    pub head_bytes: Option<usize>,
    /// Bytes of a request body.
    pub body_bytes: Option<u64>,
    /// Longest silence inside a body in ms.
    pub idle_timeout_ms: Option<u64>,
}

impl PublishedCallerLimits {
    /// The limits of a node's settings with these in their place.
    pub fn applied_to(&self, settings: CallerLimits) -> CallerLimits {
        CallerLimits {
            head_bytes: self.head_bytes.unwrap_or(settings.head_bytes),
            body_bytes: self.body_bytes.unwrap_or(settings.body_bytes),
            idle_timeout_ms: self.idle_timeout_ms.unwrap_or(settings.idle_timeout_ms),
            ..settings
        }
    }
}

/// The one-way time between two data centres.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Distance {
    /// One end.
    pub from: String,
    /// The other end.
    pub to: String,
    /// One-way time in µs.
    pub one_way_us: u64,
}

/// The system document.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SystemLimits {
    /// Budget for observing targets.
    pub observe: ObserveLimits,
    /// Spreading of configuration.
    pub spread: SpreadLimits,
    /// Limits on callers.
    pub callers: PublishedCallerLimits,
    /// What it costs to send a call to another data centre, in percent of the worth of its answer: a
    /// call leaves its data centre when its chance to be in time grows by more than that.
    pub data_centre_change_percent: u32,
    /// Times between data centres; pairs not listed count as [`DISTANCE_DEFAULT_US`].
    #[serde(rename = "distance")]
    pub distances: Vec<Distance>,
}

/// Fewest bytes of a request head that may be the limit: the HTTP library needs them.
const HEAD_BYTES_MIN: usize = 8_192;

/// One-way time between data centres that no entry names, in µs.
pub const DISTANCE_DEFAULT_US: u64 = 1_000;

impl SystemLimits {
    /// Reads and checks a system document.
    ///
    /// # Errors
    ///
    /// All faults found in `text`.
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
            let are_names = is_name(&distance.from) && is_name(&distance.to);
            check.ensure(are_names, "distance", "from and to must name data centres");
            check.range("distance.one_way_us", distance.one_way_us, 0..=1_000_000);
        }
        check.finish().map(|()| limits)
    }

    /// One-way time between two data centres in µs; 0 within one.
    pub fn distance_us(&self, a: &str, b: &str) -> u64 {
        if a == b {
            return 0;
        }
        let joins = |d: &&Distance| (d.from == a && d.to == b) || (d.from == b && d.to == a);
        let distance = self.distances.iter().find(joins);
        distance.map_or(DISTANCE_DEFAULT_US, |distance| distance.one_way_us)
    }
}
