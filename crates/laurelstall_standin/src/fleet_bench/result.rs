//! Result of a fleet measurement.

use serde::Serialize;

/// Result of a fleet measurement.
#[derive(Debug, Clone, Serialize)]
pub struct FleetResult {
    /// Number of nodes.
    pub nodes: usize,
    /// Number of changes published.
    pub changes: u64,
    /// Time until a change is active on a node, over all nodes and changes: median in ms.
    pub in_force_p50_ms: f64,
    /// 99th percentile of this time in ms.
    pub in_force_p99_ms: f64,
    /// Maximum of this time in ms.
    pub in_force_max_ms: f64,
    /// Number of changes that were not active on all nodes in time.
    pub overdue: u64,
    /// How often a node was observed with an older document version than before.
    pub fell_back: u64,
    /// Control traffic per node in bytes per second, both directions, with an estimate for TCP/IP headers.
    pub control_bytes_per_s_per_node: f64,
    /// Control messages per second per node, both directions.
    pub control_messages_per_s_per_node: f64,
    /// Control traffic of the busiest node in bytes per second.
    pub control_bytes_per_s_max_node: f64,
    /// Requests to the platform per second.
    pub platform_calls_per_s: f64,
    /// CPU usage per node as a share of one core.
    pub cpu_share_per_node: f64,
    /// Memory per node in bytes.
    pub memory_bytes_per_node: f64,
    /// Open connections per node, incoming and outgoing.
    pub connections_per_node: f64,
    /// Total size of all documents in bytes.
    pub configuration_bytes: usize,
    /// Time until all nodes joined the fleet, in ms.
    pub joined_ms: f64,
}
