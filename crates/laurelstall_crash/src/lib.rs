//! Tracks which requests were running when a target crashed, and quarantines those that seem to cause crashes.
//!
//! Nothing in this crate reads a clock, a socket or a random number; users pass in events and times.

pub mod crash_record;
pub mod crash_table;
pub mod good_runs;
pub mod request_digest;
pub mod run_watch;

/// The most commonly used types.
pub mod prelude {
    pub use crate::{
        crash_record::{CrashEnd, CrashNews, CrashRecord},
        crash_table::{CrashState, CrashTable, Verdict},
        request_digest::{RequestDigest, RequestHead},
        run_watch::{EndedRuns, RunId, RunWatch},
    };
}
