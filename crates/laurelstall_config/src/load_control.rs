//! Switches of the parts that control load beyond a target's slots and queue.

use serde::{Deserialize, Serialize};

/// Which parts of load control a service uses; all are off by default.
///
/// Nodes of earlier versions reject documents with this table, so it is written only if a part is on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LoadControl {
    /// Whether guards that receive more calls than their target can answer in time admit calls by level, and entry
    /// nodes refuse the other calls without an attempt.
    pub overload: bool,
    /// Whether guards lower the concurrency limit only for refusals that depend on the number of running calls, and
    /// what is learned during a fault expires soon after it.
    pub refusal_causes: bool,
    /// Whether entry nodes lend each other unused parts of the retry budget.
    pub shared_retries: bool,
    /// Whether the retry time in a refusal reserves a place for the caller's return.
    pub reserved_returns: bool,
    /// Whether bodies share the node's link by importance and size, and guards admit calls by the time that the link
    /// needs for their answers. Requires `node.link_mbps`.
    pub link: bool,
    /// Whether guards learn which calls the runs of their target make, and refuse a call whose nested calls would fail.
    pub chains: bool,
}

impl LoadControl {
    /// All parts switched on.
    pub const ALL: Self = Self {
        overload: true,
        refusal_causes: true,
        shared_retries: true,
        reserved_returns: true,
        link: true,
        chains: true,
    };

    /// Returns whether all parts are off.
    pub fn is_off(&self) -> bool {
        *self == Self::default()
    }
}
