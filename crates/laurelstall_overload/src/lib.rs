//! Overload control: which calls are admitted while more come than can be answered in time.
//!
//! Decisions without input, output or a clock: times are passed in.

pub mod admission_threshold;
pub mod call_level;
pub mod overload_control;
pub mod overload_detector;
pub mod refused_requests;
pub mod retry_schedule;
pub mod return_reservations;
pub mod run_times;
pub mod service_pressure;
