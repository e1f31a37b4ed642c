//! Bounds of what may be stated about a target, in the list of hosts and in a team's document.

/// Maximum number of concurrent requests that a target may declare.
pub const SLOTS_MAX: u32 = 100_000;
/// Maximum remaining time of a target's cold start in ms.
pub const COLD_MS_MAX: u64 = 3_600_000;
