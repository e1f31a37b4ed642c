//! Sharing of a node's link: who sends next, and how long an answer takes to leave.
//!
//! Decisions without input, output or a clock: times are passed in.
