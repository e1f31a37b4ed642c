//! Chains of calls: which services the runs of a class call, and how those calls fare.
//!
//! Decisions without input, output or a clock: times are passed in.

pub mod call_end;
pub mod call_pattern;
pub mod chain_table;
pub mod recent_outcomes;
pub mod run_share;
