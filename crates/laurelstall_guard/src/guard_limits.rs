//! Limits of a guard.

/// Limits of a guard, from the published configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GuardLimits {
    /// Requests the target can run at once.
    pub slots: u32,
    /// What the limit on concurrency starts at, in percent of the slots.
    pub slots_start_percent: u32,
    /// Floor of that limit in percent of the slots.
    pub slots_floor_percent: u32,
    /// Calls that may wait.
    pub queue_length: usize,
    /// Longest wait in ms.
    pub queue_wait_max_ms: u64,
    /// Whether calls are held while the target is slow.
    pub may_hold: bool,
}
