//! Sends an attempt and, after the hedging delay of its route, a second one to another target.

use super::{Call, Destination};
use crate::{
    counters::count,
    headers::{push_call_level, push_known_rate_limit, push_reserved},
    target_notice::TargetNotice,
};
use futures_util::future::{BoxFuture, Either, FutureExt, select};
use laurelstall_balance::service_balancer::AttemptResult;
use laurelstall_guard::{
    admission_request::NESTED_CALL_IMPORTANCE,
    refusal::{Refusal, RefusalReason},
};
use laurelstall_peer::{
    attempt::{Admission, Attempt, AttemptAnswer, AttemptBody, AttemptOutcome, UnknownCause},
    message::{AttemptHead, BodyKind},
};
use tokio::time::{sleep_until, timeout_at};

impl<'a> Call<'a> {
    /// Returns the body for the next attempt; `None` when it was a stream that has been consumed.
    pub(super) fn take_body(&mut self) -> Option<AttemptBody> {
        match self.body.take()? {
            AttemptBody::Whole(bytes) => {
                self.body = Some(AttemptBody::Whole(bytes.clone()));
                Some(AttemptBody::Whole(bytes))
            }
            stream => Some(stream),
        }
    }

    /// Whether the body is buffered, so that it can be sent again.
    pub(super) fn is_buffered(&self) -> bool {
        matches!(self.body, Some(AttemptBody::Whole(_)))
    }

    /// Makes one attempt, hedged if the route asks for it, and returns the answer with the destination it came from.
    pub(super) async fn attempt(
        &mut self,
        destination: Destination,
        body: AttemptBody,
    ) -> (Destination, AttemptAnswer) {
        let hedge_after_ms =
            self.request.route.hedge_after_ms.filter(|_| self.is_buffered() && self.attempts == 1);
        let first = self.send(&destination, body);
        let Some(hedge_after_ms) = hedge_after_ms else {
            return (destination, first.await);
        };
        let wait_until = self.context.clock.instant_of(self.context.clock.now_us() + hedge_after_ms * 1_000);
        let waited = select(first, Box::pin(sleep_until(wait_until))).await;
        let first = match waited {
            Either::Left((answer, _)) => return (destination, answer),
            Either::Right(((), first)) => first,
        };
        match self.start_hedge(&destination) {
            Some((other, second)) => self.race((destination, first), (other, second)).await,
            None => (destination, first.await),
        }
    }

    /// Starts a hedging attempt at a target other than `first`; `None` if the hedge budget or the body is used up or
    /// no other target is eligible.
    fn start_hedge(&mut self, first: &Destination) -> Option<(Destination, BoxFuture<'a, AttemptAnswer>)> {
        let now_us = self.context.clock.now_us();
        if !self.service.balancer().try_withdraw_hedge(now_us) {
            return None;
        }
        self.excluded.push(first.choice.index);
        let other = self.choose(now_us);
        self.excluded.pop();
        let other = other?;
        let body = self.take_body()?;
        count(&self.context.counters.hedges);
        self.attempts += 1;
        let second = self.send(&other, body);
        Some((other, second))
    }

    /// Returns the first of two attempts that is answered and cancels the other by dropping it.
    async fn race(
        &mut self,
        first: (Destination, BoxFuture<'a, AttemptAnswer>),
        second: (Destination, BoxFuture<'a, AttemptAnswer>),
    ) -> (Destination, AttemptAnswer) {
        let ((first_to, first), (second_to, second)) = (first, second);
        let (finished_to, finished, other_to, other) = match select(first, second).await {
            Either::Left((answer, second)) => (first_to, answer, second_to, second),
            Either::Right((answer, first)) => (second_to, answer, first_to, first),
        };
        if matches!(finished.outcome, AttemptOutcome::Answered { .. }) {
            drop(other);
            self.record_result(&other_to, AttemptResult::Cancelled);
            self.write_decision(&other_to, "cancelled", TargetNotice::default(), 0);
            return (finished_to, finished);
        }
        self.record_outcome(&finished_to, &finished);
        // The outcome of the other attempt does not show whether this one ran.
        self.has_unknown_attempt |= matches!(finished.outcome, AttemptOutcome::Unknown(_));
        (other_to, other.await)
    }

    /// Sends an attempt to the local guard or another node; it ends as unknown at the call's deadline.
    fn send(&mut self, destination: &Destination, body: AttemptBody) -> BoxFuture<'a, AttemptAnswer> {
        let context = self.context;
        let now_us = context.clock.now_us();
        let limits = *self.service.balancer().limits();
        let may_hand_back = self.request.ticket.is_none()
            && self.hand_backs < limits.hand_backs_max
            && destination.targets > 1
            && !self.service.balancer().is_queueing(now_us);
        let is_local = destination.host == context.host;
        let mut headers = self.request.headers.clone();
        if let Some(per_s) = destination.rate_limit_per_s {
            push_known_rate_limit(&mut headers, per_s);
        }
        if !limits.load.is_off() {
            push_call_level(&mut headers, self.request.level);
        }
        if self.is_reserved {
            push_reserved(&mut headers);
        }
        let observe_percent = self.request.route.observe_percent;
        let head = AttemptHead {
            call_id: self.request.id,
            service: self.service.name.clone(),
            target: destination.name.clone(),
            method: self.request.method.clone(),
            uri: self.request.uri.clone(),
            digest: self.request.digest,
            headers,
            budget_us: self.request.deadline_us.saturating_sub(now_us),
            useful_us: self.useful_us(now_us),
            class: self.request.class,
            importance: self.importance(),
            workspace: self
                .request
                .workspace
                .as_ref()
                .map_or_else(String::new, |workspace| workspace.name.clone()),
            is_return: self.request.is_caller_retry,
            is_repeat: self.possible_runs > 0 || self.request.is_parent_retry,
            may_repeat: self.request.route.may_repeat,
            may_hand_back,
            hand_backs: self.hand_backs,
            slow_from_percent: self.slow_from_percent(destination, now_us),
            ticket: self.request.ticket.as_ref().map(|ticket| (ticket.incarnation, ticket.number)),
            body: match &body {
                AttemptBody::Whole(_) if self.sends_body_after_admission(is_local) => {
                    BodyKind::BufferedAfterAdmission
                }
                AttemptBody::Whole(bytes) if bytes.is_empty() => BodyKind::Empty,
                AttemptBody::Whole(_) => BodyKind::AtOnce,
                AttemptBody::Stream(_) => BodyKind::AfterAdmission,
            },
            wants_hint: self.wants_hint(destination, observe_percent, now_us),
        };
        let attempt = Attempt { head, body: self.paced_upload(destination, body) };
        let deadline = context.clock.instant_of(self.request.deadline_us);
        let address = self.service.address(&destination.host);
        count(&context.counters.attempts);
        async move {
            let answered = async {
                match address {
                    _ if is_local => context.local.attempt(attempt, Admission::default()).await,
                    Some(address) => context.client.attempt(address, attempt).await,
                    None => {
                        AttemptAnswer::new(AttemptOutcome::NotRun(Refusal::new(RefusalReason::NoConnection)))
                    }
                }
            };
            let answered = timeout_at(deadline, answered).await;
            answered.unwrap_or_else(|_| {
                AttemptAnswer::new(AttemptOutcome::Unknown(UnknownCause::AnswerLost("time budget spent")))
            })
        }
        .boxed()
    }

    /// Whether the body is sent only after the guard has reserved a slot.
    ///
    /// A call that may run only once can then still be sent to another target if the guard's node fails while the call
    /// is queued there.
    pub(super) fn sends_body_after_admission(&self, is_local: bool) -> bool {
        !is_local && !self.request.route.may_repeat && self.request.ticket.is_none()
    }

    /// Returns the importance that the guard ranks the call by.
    pub(super) fn importance(&self) -> u8 {
        if self.request.is_nested { NESTED_CALL_IMPORTANCE } else { self.request.importance }
    }

    /// Returns the time left of the latency objective in µs, or the whole time budget if there is no objective.
    pub(super) fn useful_us(&self, now_us: u64) -> u64 {
        let until_us = self.request.useful_until_us.unwrap_or(self.request.deadline_us);
        until_us.saturating_sub(now_us)
    }
}
