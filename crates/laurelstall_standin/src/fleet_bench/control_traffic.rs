//! Control traffic between the nodes of a fleet measurement.

use super::bench_fleet::{BenchFleet, BenchNode};
use std::sync::atomic::{AtomicU64, Ordering};

/// TCP/IP header bytes per message: one data packet and one acknowledgement.
const HEADER_BYTES_PER_MESSAGE: u64 = 104;

/// Control traffic of one node since its start, both directions.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct NodeTraffic {
    bytes: u64,
    messages: u64,
}

impl NodeTraffic {
    /// Returns the traffic since `earlier`. A restart resets the counters of a node, so they may be lower than before.
    fn since(self, earlier: Self) -> Self {
        Self {
            bytes: self.bytes.saturating_sub(earlier.bytes),
            messages: self.messages.saturating_sub(earlier.messages),
        }
    }
}

/// Control traffic of all nodes during a measurement.
#[derive(Debug, Clone, Copy)]
pub(super) struct TrafficTotals {
    pub(super) bytes: u64,
    pub(super) messages: u64,
    /// Bytes of the node with most of them.
    pub(super) busiest_node_bytes: u64,
}

/// Returns the total traffic between two readings of all nodes.
pub(super) fn total_growth(before: &[NodeTraffic], after: &[NodeTraffic]) -> TrafficTotals {
    let growth = after.iter().zip(before).map(|(after, before)| after.since(*before));
    let growth = growth.collect::<Vec<_>>();
    TrafficTotals {
        bytes: growth.iter().map(|node| node.bytes).sum(),
        messages: growth.iter().map(|node| node.messages).sum(),
        busiest_node_bytes: growth.iter().map(|node| node.bytes).max().unwrap_or(0),
    }
}

impl BenchFleet {
    /// Returns the control traffic of each node since its start, with an estimate for TCP/IP headers.
    pub(super) fn control_traffic(&self) -> Vec<NodeTraffic> {
        self.nodes.iter().map(BenchNode::control_traffic).collect()
    }

    /// Returns the number of open connections of all nodes, incoming and outgoing.
    pub(super) fn connections(&self) -> u64 {
        let nodes = self.nodes.iter().filter_map(|bench_node| bench_node.node.as_ref());
        nodes.map(|node| node.meter().open.load(Ordering::Relaxed)).sum()
    }
}

impl BenchNode {
    fn control_traffic(&self) -> NodeTraffic {
        let Some(node) = &self.node else { return NodeTraffic::default() };
        let meter = node.meter();
        let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        let messages = load(&meter.control_messages);
        let payload_bytes = load(&meter.received_bytes) + load(&meter.sent_bytes);
        NodeTraffic { bytes: payload_bytes + messages * HEADER_BYTES_PER_MESSAGE, messages }
    }
}
