//! Load hints: what a guard reports about its target with answers and probes.

/// Largest size of a hint on the wire in bytes, as charged to the probing budget.
pub const HINT_BYTES: u64 = 24;

/// Slowness of a target that runs at normal speed, in percent of its normal service time.
pub const NORMAL_PERCENT: u32 = 100;

/// Whether a target takes new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetState {
    /// The target takes new requests.
    Serving,
    /// The target finishes its running requests and takes no new ones.
    Draining,
}

/// A guard's report on the load of its target at one instant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Hint {
    /// Low half of the random number that identifies this start of the guard; it changes when the process is replaced
    /// or restarted.
    pub incarnation: u32,
    /// Number of requests running at the target.
    pub in_flight: u32,
    /// Number of requests waiting in the guard's queue.
    pub queued: u32,
    /// Current concurrency limit: the number of requests that may run at once.
    pub limit: u32,
    /// Recent service time at the target's normal speed in µs.
    pub service_us: u32,
    /// Current service time in percent of the normal one.
    pub slowness_percent: u32,
    /// Whether the target takes new requests.
    pub state: TargetState,
}
