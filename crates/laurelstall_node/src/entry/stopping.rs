//! Limits or refuses the calls that a stopping node could not answer any more.

use super::{Entry, FailedCall, Rejection};
use crate::counters::count;
use http::{StatusCode, request::Parts};
use laurelstall_policy::plan::Route;
use std::sync::atomic::Ordering;

/// Time in µs before the latest end of a stop at which the last calls are answered.
const ANSWER_TIME_US: u64 = 100_000;
/// Retry delay in ms for callers of a node that stops.
const STOPPING_RETRY_MS: u64 = 200;

impl Entry {
    /// Makes calls that are accepted from now on end before `ends_at_us`, in µs of the node's clock, at which the node stops at
    /// the latest. Guards then refuse what they could not run by then, and no call ends with a closed connection.
    pub fn limit_deadlines(&self, ends_at_us: u64) {
        self.deadline_max_us.store(ends_at_us.saturating_sub(ANSWER_TIME_US), Ordering::Relaxed);
    }

    /// Returns the latest deadline of a call that is accepted now, in µs of the node's clock.
    pub(super) fn deadline_max_us(&self) -> u64 {
        match self.deadline_max_us.load(Ordering::Relaxed) {
            0 => u64::MAX,
            deadline_max_us => deadline_max_us,
        }
    }

    /// Makes the entry refuse calls that may end later than `ends_at_us`, in µs of the node's clock.
    pub fn refuse_calls_beyond(&self, ends_at_us: u64) {
        self.ends_at_us.store(ends_at_us, Ordering::Relaxed);
    }

    /// Returns the reply to a call whose time budget exceeds that of the stop, which would cut it off while it runs; `None`
    /// if the call is accepted.
    ///
    /// A call that a run at the local target makes is accepted: the stop waits for that run, and its time budget says little
    /// about how long the call takes.
    pub(super) fn refuse_while_stopping(
        &self,
        parts: &Parts,
        route: &Route,
        depth: u64,
    ) -> Result<Option<FailedCall>, Rejection> {
        let ends_at_us = match self.ends_at_us.load(Ordering::Relaxed) {
            0 => return Ok(None),
            ends_at_us => ends_at_us,
        };
        let deadline_us = self.context.clock.now_us() + self.budget_ms(parts, route)? * 1_000;
        if deadline_us <= ends_at_us || depth > 0 || self.parent(parts).is_some() {
            return Ok(None);
        }
        count(&self.context.counters.not_run);
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Ok(Some(FailedCall::not_run(status, "the node is stopping", Some(STOPPING_RETRY_MS))))
    }
}
