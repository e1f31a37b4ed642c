//! Chains of calls: which services the runs of a class call, and how those calls fare.
//!
//! Decisions without input, output or a clock: times are passed in.
