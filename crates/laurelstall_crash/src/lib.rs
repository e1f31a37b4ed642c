//! Tracks which requests were running when a target crashed, and quarantines those that seem to cause crashes.
//!
//! Nothing in this crate reads a clock, a socket or a random number; users pass in events and times.

pub mod crash_record;
pub mod crash_table;
pub mod dropped_records;
pub mod quarantine_thresholds;
pub mod report_batch;
pub mod request_digest;
pub mod run_tracker;
mod standing;
pub mod successful_runs;

/// The most commonly used types.
pub mod prelude {
    pub use crate::{
        crash_record::{CrashRecord, CrashReport, TargetCrash},
        crash_table::{CrashTable, RequestStatus, SuspectState},
        request_digest::{RequestDigest, RequestHead},
        run_tracker::{CrashedRuns, RunId, RunTracker},
    };
}
