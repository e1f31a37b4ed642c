//! What runs and waits at a guard.

/// What runs and waits at this instant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GuardLoad {
    /// Requests running at the target.
    pub in_flight: u32,
    /// Requests waiting.
    pub queued: u32,
    /// Requests that may run at once now.
    pub limit: u32,
    /// Recent service time at the usual pace in µs, or the age of the oldest running call over 2 if
    /// that is more.
    pub service_us: u32,
    /// How long work takes now, in percent of the usual.
    pub slowness_percent: u32,
    /// Whether the guard takes nothing new.
    pub is_draining: bool,
}
