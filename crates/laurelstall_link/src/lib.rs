//! Sharing of a node's link: who sends next, and how long an answer takes to leave.
//!
//! Decisions without input, output or a clock: times are passed in.

pub mod answer_sizes;
pub mod held_bytes;
pub mod link_admission;
pub mod link_scheduler;
