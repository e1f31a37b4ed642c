//! Limits of a guard.

/// Limits of a guard, from the published configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GuardLimits {
    /// Number of requests that the target can run at once.
    pub slots: u32,
    /// Initial concurrency limit, in percent of the slots.
    pub slots_start_percent: u32,
    /// Lowest concurrency limit, in percent of the slots.
    pub slots_floor_percent: u32,
    /// Maximum number of queued calls.
    pub queue_length: usize,
    /// Maximum time in the queue, in ms.
    pub queue_wait_max_ms: u64,
    /// Maximum number of calls that the target may get within any second while it is cold; 0 for no limit.
    pub cold_calls_per_s: u32,
    /// How long the target is cold after a start, in ms; 0 when it is not configured.
    pub cold_start_ms: u64,
    /// Whether the concurrency limit is lowered only for refusals that depend on the number of running calls, and only
    /// until some time after them.
    pub has_refusal_causes: bool,
    /// Whether calls are held in the queue while the target is in a slow phase.
    pub may_hold: bool,
}
