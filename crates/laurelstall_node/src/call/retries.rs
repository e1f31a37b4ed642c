//! Decides after an attempt whether the call ends or makes another attempt.

use super::{Call, Destination, FallbackAnswer};
use crate::{call_request::CallOutcome, counters::count, headers::take_leaving_instance};
use laurelstall_guard::refusal::{NextStep, Refusal, RefusalReason, TargetSignal};
use laurelstall_peer::{
    attempt::{AttemptAnswer, AttemptBody, AttemptOutcome, UnknownCause},
    body::BoxedBody,
};

/// Maximum number of guards without capacity that a nested call tries. After so many, one more would hardly
/// help.
const NESTED_REFUSALS_MAX: u32 = 4;

/// How a call continues after an attempt.
pub(super) enum NextAction {
    /// Makes another attempt.
    Retry,
    /// Ends the call with this outcome.
    Finish(CallOutcome),
}

impl Call<'_> {
    /// Records the outcome of an attempt and decides how the call continues.
    pub(super) fn handle_answer(
        &mut self,
        destination: &Destination,
        mut answer: AttemptAnswer,
    ) -> NextAction {
        if let AttemptOutcome::Answered { headers, .. } = &mut answer.outcome
            && let Some(instance) = take_leaving_instance(headers)
        {
            self.service.note_leaving(&instance);
        }
        self.note_pressure(destination, &mut answer);
        self.record_outcome(destination, &answer);
        match answer.outcome {
            AttemptOutcome::Answered { status, headers, body } => {
                if status.is_server_error() && self.try_retry(None) {
                    self.excluded.push(destination.choice.index);
                    self.fallback = Some(FallbackAnswer { status, headers, body });
                    return NextAction::Retry;
                }
                NextAction::Finish(CallOutcome::Answered { status, headers, body })
            }
            AttemptOutcome::NotRun(refusal) => {
                self.restore_body(answer.unread.take());
                self.last_refusal = Some(refusal);
                self.handle_refusal(destination, refusal)
            }
            AttemptOutcome::Unknown(cause) => {
                self.has_unknown_attempt = true;
                let is_suspect = cause == UnknownCause::TargetCrashed
                    && self.merge_and_check_suspect(answer.crash_report.take());
                if !is_suspect && self.try_retry(None) {
                    self.excluded.push(destination.choice.index);
                    return NextAction::Retry;
                }
                NextAction::Finish(self.finish_unknown(cause.text()))
            }
        }
    }

    fn restore_body(&mut self, unread: Option<BoxedBody>) {
        if self.body.is_none() {
            self.body = unread.map(AttemptBody::Stream);
        }
    }

    fn handle_refusal(&mut self, destination: &Destination, refusal: Refusal) -> NextAction {
        let index = destination.choice.index;
        let next = refusal.reason.properties().next;
        match next {
            NextStep::HandBack => {
                self.hand_backs += 1;
                count(&self.context.counters.hand_backs);
                return NextAction::Retry;
            }
            NextStep::SkipSlow => {
                self.slow_refusers.push(index);
                return NextAction::Retry;
            }
            _ if self.request.ticket.is_some() => return NextAction::Finish(self.give_up(refusal.reason)),
            NextStep::GiveUp => return NextAction::Finish(self.give_up(refusal.reason)),
            NextStep::RetryFree | NextStep::RetryLimited | NextStep::RetryBudgeted => {
                self.excluded.push(index)
            }
        }
        let may_continue = match next {
            // A rate limit of one target says nothing of the load of the others.
            NextStep::RetryLimited if self.has_unlimited_alternative(index, refusal) => true,
            NextStep::RetryLimited => self.try_reroute(),
            NextStep::RetryBudgeted => self.try_retry(Some(refusal)),
            _ => true,
        };
        if !may_continue {
            return NextAction::Finish(self.give_up(refusal.reason));
        }
        if next != NextStep::RetryBudgeted {
            count(&self.context.counters.retries_free);
        }
        NextAction::Retry
    }

    /// Whether the target at `index` refused the call because of the rate limit that it states, and one that states none
    /// may take it.
    fn has_unlimited_alternative(&self, index: usize, refusal: Refusal) -> bool {
        let now_us = self.context.clock.now_us();
        refusal.reason.properties().signal == TargetSignal::RateLimit
            && self.service.balancer().has_unlimited_alternative(index, &self.excluded, now_us)
    }

    /// Counts the refusal of a guard without capacity and decides whether another guard is tried.
    ///
    /// A nested call tries a few guards without spending retry budget: if it fails, the work of the call that waits for
    /// it is lost.
    fn try_reroute(&mut self) -> bool {
        self.overload_refusals += 1;
        if self.request.is_nested {
            return self.overload_refusals < NESTED_REFUSALS_MAX;
        }
        let now_us = self.context.clock.now_us();
        self.overload_refusals < self.request.route.tries
            && !self.is_refused_by_pressure(now_us)
            && self.service.balancer().try_withdraw_reroute(now_us)
    }

    /// Counts the attempt and decides whether the call makes another, within the `tries` of its route and the
    /// service's retry budget.
    ///
    /// After a refusal a retry is always safe; otherwise the route must allow the request to run more than once.
    fn try_retry(&mut self, refusal: Option<Refusal>) -> bool {
        let is_safe = refusal.is_some() || self.request.route.may_repeat;
        // A refused attempt did not run, so refusals are counted separately.
        let counted = if refusal.is_some() { &mut self.overload_refusals } else { &mut self.possible_runs };
        *counted += 1;
        if !is_safe || *counted >= self.request.route.tries {
            return false;
        }
        if !self.is_buffered() && refusal.is_none() {
            return false;
        }
        if self.request.ticket.is_some() {
            return false;
        }
        let is_granted = {
            let now_us = self.context.clock.now_us();
            self.service.balancer().try_withdraw_retry(self.request.budget_importance, now_us)
        };
        count(if is_granted {
            &self.context.counters.retries
        } else {
            &self.context.counters.retries_refused
        });
        is_granted
    }

    /// Returns the outcome of a call that makes no more attempts: a kept server error, `Unknown` if an attempt may have
    /// run, or the last refusal. `reason` applies if no attempt was refused, or the last one was only handed back.
    pub(super) fn give_up(&mut self, reason: RefusalReason) -> CallOutcome {
        if let Some(FallbackAnswer { status, headers, body }) = self.fallback.take() {
            return CallOutcome::Answered { status, headers, body };
        }
        if self.has_unknown_attempt {
            return CallOutcome::Unknown("an earlier attempt may have run");
        }
        if self.is_ticket_unresolved() {
            return CallOutcome::Unknown("the ticket's guard gave no word");
        }
        let mut refusal = self.last_refusal.unwrap_or(Refusal::new(reason));
        if refusal.reason == RefusalReason::HandedBack {
            refusal.reason = reason;
        }
        let is_target_absent = refusal.reason.properties().signal == TargetSignal::Unreachable;
        if refusal.retry_after_ms == 0 || is_target_absent {
            let now_us = self.context.clock.now_us();
            refusal.retry_after_ms = self.service.balancer().retry_after_ms(now_us) as u32;
        }
        CallOutcome::NotRun(refusal)
    }

    /// Whether the ticket's call may have run on an earlier request of the caller.
    ///
    /// Only the guard that issued the ticket can rule this out, by voiding the ticket.
    fn is_ticket_unresolved(&self) -> bool {
        let is_voided =
            self.last_refusal.is_some_and(|refusal| refusal.reason.properties().proves_ticket_not_run);
        self.request.ticket.is_some() && !is_voided
    }

    fn finish_unknown(&mut self, reason: &'static str) -> CallOutcome {
        match self.fallback.take() {
            Some(FallbackAnswer { status, headers, body }) => CallOutcome::Answered { status, headers, body },
            None => CallOutcome::Unknown(reason),
        }
    }
}
