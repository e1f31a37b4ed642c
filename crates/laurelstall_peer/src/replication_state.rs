//! Counters of replication, and the state of partners.

use std::sync::atomic::AtomicU64;

/// Counters since the start of the node.
#[derive(Debug, Default)]
pub struct ReplicationCounts {
    /// Documents that were activated.
    pub activated: AtomicU64,
    /// Documents that were rejected for faults.
    pub rejected: AtomicU64,
    /// Transfers that could not be rebuilt.
    pub deltas_failed: AtomicU64,
    /// Requests to the platform; a watch counts as one.
    pub platform_calls: AtomicU64,
    /// Exchanges that this node started.
    pub exchanges: AtomicU64,
    /// Exchanges started by this node that failed.
    pub exchanges_failed: AtomicU64,
}

/// Result of the last exchange with a partner.
#[derive(Debug, Clone, Copy)]
pub struct PartnerState {
    /// Whether the partner had the same versions.
    pub has_same_versions: bool,
    /// Whether the partner answered.
    pub has_answered: bool,
    /// Time of the exchange, in µs of this node's clock.
    pub at_us: u64,
}
