//! Overload control: which calls are admitted while more come than can be answered in time.
//!
//! Decisions without input, output or a clock: times are passed in.

pub mod call_level;
pub mod return_reservations;
