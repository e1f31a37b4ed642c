//! What a node counts and remembers of its part in spreading.

use std::sync::atomic::AtomicU64;

/// Counts since the start.
#[derive(Debug, Default)]
pub struct SpreadCounts {
    /// Documents put in force.
    pub taken: AtomicU64,
    /// Documents refused for faults.
    pub refused: AtomicU64,
    /// Pulls answered with a delta that did not fit.
    pub deltas_failed: AtomicU64,
    /// Calls made to the platform, a watch as one.
    pub platform_calls: AtomicU64,
    /// Exchanges that this node began.
    pub exchanges: AtomicU64,
    /// Exchanges that failed.
    pub exchanges_failed: AtomicU64,
}

/// How a partner stood at the last exchange.
#[derive(Debug, Clone, Copy)]
pub struct PartnerState {
    /// Whether it had the same versions.
    pub is_in_step: bool,
    /// Whether it answered.
    pub is_reached: bool,
    /// When, in µs of this node's clock.
    pub at_us: u64,
}
