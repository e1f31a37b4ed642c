//! Reserves places for the callers of refused calls, and recognises their returns.

use super::Call;
use crate::{call_request::CallOutcome, counters::count};
use laurelstall_guard::refusal::{Refusal, RefusalReason, TargetSignal};
use laurelstall_overload::return_reservations::{RefusedCall, ReturnTime};

/// Part of its remaining time that a caller waits before it returns, as a divisor.
const WAIT_DIVISOR: u64 = 3;
/// Time in µs by which a retry time stays below the caller's limit: the caller has spent some of its remaining time on
/// the way to the entry and back, and rounds.
const WAIT_MARGIN_US: u64 = 10_000;

impl Call<'_> {
    /// Claims the place that was reserved for this call when an earlier one with the same digest was refused.
    ///
    /// A return without a place gets the lowest level of its importance: during an overload the answer to a first
    /// attempt can still meet the latency objective, and that to a return cannot.
    pub(super) fn claim_reservation(&mut self) {
        if !self.uses_reservations() {
            return;
        }
        let now_us = self.context.clock.now_us();
        let digest = self.request.digest.whole;
        let is_return = {
            let mut returns = self.service.returns();
            self.is_reserved = returns.claim(digest, now_us);
            returns.is_return(digest, now_us)
        };
        if self.is_reserved {
            // A bucket drawn anew could be below the threshold that the place was reserved for.
            self.request.level = self.request.level.highest_of_importance();
            count(&self.context.counters.returns_claimed);
        } else if is_return {
            self.request.is_caller_retry = true;
            self.request.level = self.request.level.lowest_of_importance();
            count(&self.context.counters.returns_unreserved);
        }
    }

    /// Records how the call ended, and sets the retry time of a refusal to that of a reserved place.
    pub(super) fn finish_with_reservation(&mut self, outcome: CallOutcome) -> CallOutcome {
        if !self.uses_reservations() {
            return outcome;
        }
        match outcome {
            CallOutcome::Answered { status, headers, body } => {
                if !status.is_server_error() {
                    let now_us = self.context.clock.now_us();
                    self.service.returns().note_answer(self.request.importance, now_us);
                }
                CallOutcome::Answered { status, headers, body }
            }
            CallOutcome::NotRun(refusal) => CallOutcome::NotRun(self.with_reserved_time(refusal)),
            CallOutcome::Unknown(why) => CallOutcome::Unknown(why),
        }
    }

    fn with_reserved_time(&mut self, refusal: Refusal) -> Refusal {
        if self.is_reserved {
            count(&self.context.counters.returns_refused_again);
        }
        if !has_load_retry_time(refusal.reason) {
            return refusal;
        }
        let now_us = self.context.clock.now_us();
        let call = self.refused_call(refusal, now_us);
        let time = {
            let mut returns = self.service.returns();
            returns.note_refused(call.digest, now_us);
            returns.reserve(&call, now_us)
        };
        let Some(time) = time else { return refusal };
        let ReturnTime { at_us, is_reserved } = time;
        let counters = &self.context.counters;
        count(if is_reserved { &counters.returns_reserved } else { &counters.returns_without_place });
        let wait_ms = at_us.saturating_sub(now_us).div_ceil(1_000) as u32;
        // A time without a place is no earlier than the load of the guard allows.
        refusal.with_retry_after_ms(if is_reserved { wait_ms } else { wait_ms.max(refusal.retry_after_ms) })
    }

    /// Describes the refused call; its place is sought from the refusal's retry time on.
    ///
    /// The time that a guard derives from its queue does not apply to a return, which goes ahead of first attempts, so
    /// it counts up to half of the caller's wait.
    fn refused_call(&self, refusal: Refusal, now_us: u64) -> RefusedCall {
        let left_us = self.request.deadline_us.saturating_sub(now_us);
        let wait_max_us = (left_us / WAIT_DIVISOR).saturating_sub(WAIT_MARGIN_US);
        let stated_us = u64::from(refusal.retry_after_ms) * 1_000;
        let is_queue_time = refusal.reason.properties().signal != TargetSignal::Unreachable
            && refusal.reason != RefusalReason::NoTarget;
        let earliest_us = if is_queue_time { stated_us.min(wait_max_us / 2) } else { stated_us };
        RefusedCall {
            digest: self.request.digest.whole,
            importance: self.request.importance,
            may_reserve: !self.is_reserved && !self.request.is_caller_retry,
            earliest_us: now_us + earliest_us,
            latest_us: now_us + wait_max_us,
        }
    }

    /// Whether places are reserved for the caller of this call.
    ///
    /// Nested calls are ahead of all others already, and tickets have their own rules for returns.
    fn uses_reservations(&self) -> bool {
        let is_on = self.service.balancer().limits().load.reserved_returns;
        is_on && !self.request.is_nested && self.request.ticket.is_none()
    }
}

/// Whether the retry time of a refusal depends on the load; the times of quarantines, tickets and rate limits stay.
fn has_load_retry_time(reason: RefusalReason) -> bool {
    let is_rate_limit = reason.properties().signal == TargetSignal::RateLimit;
    !is_rate_limit && !matches!(reason, RefusalReason::Quarantined | RefusalReason::TicketVoid)
}
