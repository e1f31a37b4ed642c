//! Load of a guard.

/// Calls that run and wait at a guard at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GuardLoad {
    /// Number of requests running at the target.
    pub in_flight: u32,
    /// Number of requests in the queue.
    pub queued: u32,
    /// Number of requests that may run at once now.
    pub limit: u32,
    /// Recent service time at the target's normal speed, in µs, or half the age of the oldest running call if
    /// that is more.
    pub service_us: u32,
    /// How long work takes now, in percent of normal.
    pub slowness_percent: u32,
    /// Whether the guard is draining and admits no new calls.
    pub is_draining: bool,
}
