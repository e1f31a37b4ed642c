//! The faults of a scenario, as its file names them.

use serde::Deserialize;

/// One fault.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultPlan {
    /// When it starts, in ms.
    pub at_ms: u64,
    /// How long it lasts in ms.
    pub for_ms: u64,
    /// What it is.
    pub kind: FaultKind,
    /// Which target, by number from 1 over all services; 0 for none or all.
    #[serde(default)]
    pub target: usize,
    /// Which data centre, by number from 1.
    #[serde(default)]
    pub data_centre: usize,
    /// How much slower, where that applies.
    #[serde(default = "factor_default")]
    pub factor: f64,
}

fn factor_default() -> f64 {
    10.0
}

/// The kinds of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// The target gets slower by `factor`.
    Slow,
    /// The target answers nothing.
    Pause,
    /// The target answers each call at once with an error.
    FailFast,
    /// The target sheds each call.
    Shed,
    /// Answers break off.
    CutAnswers,
    /// The target starts cold: slow by `factor`, up to speed at the end.
    ColdStart,
    /// The node's process is paused.
    NodePause,
    /// The node's process is killed, and started again at the end.
    NodeKill,
    /// The node is stopped as planned, and started again at the end.
    NodeDrain,
    /// The platform lists the host as leaving until the end.
    HostLeaving,
    /// The platform lists a data centre as evacuated until the end.
    EvacuateDataCentre,
    /// A data centre is cut off from the others and from the platform.
    CutDataCentre,
    /// The platform is away.
    PlatformAway,
    /// The platform shows what it had at the start.
    PlatformStale,
    /// The platform is away for a moment at the end, and comes back from a copy made at the start; what was published
    /// since is published again a moment later.
    PlatformReturn,
}
