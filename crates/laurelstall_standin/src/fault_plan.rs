//! Fault definitions of a scenario file.

use serde::Deserialize;

/// A fault of a scenario.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultPlan {
    /// Start of the fault in ms since the start of the scenario.
    pub at_ms: u64,
    /// Duration of the fault in ms.
    pub for_ms: u64,
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Number of the affected target, counted from 1 over all services; 0 for none or all.
    #[serde(default)]
    pub target: usize,
    /// Number of the affected data centre, counted from 1.
    #[serde(default)]
    pub data_centre: usize,
    /// Factor of the slowdown, for kinds that slow a target down.
    #[serde(default = "factor_default")]
    pub factor: f64,
    /// Calls per second, for `rate_limit`.
    #[serde(default)]
    pub per_s: f64,
}

fn factor_default() -> f64 {
    10.0
}

/// Kind of a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// The target slows down by `factor`.
    Slow,
    /// The target does not answer.
    Pause,
    /// The target answers each call immediately with an error.
    FailFast,
    /// The target sheds each call.
    Shed,
    /// The target aborts generated answer bodies halfway.
    CutAnswers,
    /// The target states that it takes `per_s` calls per second.
    RateLimit,
    /// The target states that it is leaving, while the platform lists it as before.
    TargetLeaving,
    /// The target starts cold: it is slower by `factor` at first and reaches full speed at the end.
    ColdStart,
    /// The node's process is paused.
    NodePause,
    /// The node's process is killed, and restarted at the end.
    NodeKill,
    /// The node is stopped gracefully, and restarted at the end.
    NodeDrain,
    /// The platform lists the host as leaving until the end.
    HostLeaving,
    /// The platform lists a data centre as evacuated until the end.
    EvacuateDataCentre,
    /// A data centre is partitioned from the others and from the platform.
    CutDataCentre,
    /// The platform is unavailable.
    PlatformAway,
    /// The platform serves the documents that it had at the start of the fault.
    PlatformStale,
    /// At the end, the platform is briefly unavailable and is restored from a copy made at the start; documents that
    /// were published since then are published again shortly after.
    PlatformReturn,
}
