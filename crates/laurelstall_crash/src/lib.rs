//! What requests did to targets: which requests were at work when a target ended, and which are held back for it.
//!
//! Nothing in this crate reads a clock, a socket or a random number: whoever uses it says what happened and when.

pub mod request_digest;
pub mod run_watch;

/// The types most callers need.
pub mod prelude {
    pub use crate::{
        request_digest::RequestDigest,
        run_watch::{EndedRuns, RunId, RunWatch},
    };
}
