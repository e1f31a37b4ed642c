//! One call at the entry: attempts, one after the other, until there is an answer to give.

use crate::{
    active::InForce,
    call_request::{CallOutcome, CallRequest},
    counters::{Counters, count},
    decision_log::DecisionLog,
    dialect::HeaderDialect,
    metrics::Latencies,
    observer::Observer,
    services::ServiceState,
};
use bytes::Bytes;
use futures_util::future::{BoxFuture, Either, FutureExt, select};
use http::{HeaderMap, StatusCode};
use laurelstall_balance::{
    chooser::Choice,
    service_balancer::{AttemptResult, Choosing},
};
use laurelstall_config::route::ROUTE_IMPORTANCE_MAX;
use laurelstall_guard::{
    clock::Clock,
    refusal::{Lesson, NextStep, Refusal, RefusalReason},
};
use laurelstall_peer::{
    attempt::{Admission, Attempt, AttemptAnswer, AttemptBody, AttemptHandler, AttemptOutcome},
    body::AnswerBody,
    client::PeerClient,
    message::{AttemptHead, BodyKind},
};
use std::sync::Arc;
use tokio::time::{sleep_until, timeout_at};

mod asking;
mod notes;

/// A hint younger than this is not asked for anew, in µs.
const HINT_FRESH_US: u64 = 15_000;

/// Most targets that may refuse one call for being slow: after so many, one more would hardly help.
const SLOW_REFUSALS_MAX: usize = 8;

/// Importance of a call that another one waits for: above all others, since the work that was done
/// for that one is lost without it.
const NESTED_IMPORTANCE: u8 = ROUTE_IMPORTANCE_MAX + 1;

/// What all calls of an entry share.
#[derive(Debug)]
pub struct CallContext {
    /// The node's clock.
    pub clock: Clock,
    /// The host's name.
    pub host: String,
    /// The guard of the target beside this node.
    pub local: Arc<dyn AttemptHandler>,
    /// The way to other nodes.
    pub client: PeerClient,
    /// The budget for observing.
    pub observer: Arc<Observer>,
    /// Where decisions are written.
    pub decisions: DecisionLog,
    /// Counts.
    pub counters: Arc<Counters>,
    /// How long things take.
    pub latencies: Arc<Latencies>,
    /// The header fields that callers know.
    pub dialect: Arc<dyn HeaderDialect>,
}

/// A target's answer that is kept while a repeatable call is tried once more.
struct Spare {
    status: StatusCode,
    headers: HeaderMap,
    body: AnswerBody,
}

/// Where an attempt goes.
struct Destination {
    choice: Choice,
    name: String,
    host: String,
    why: String,
    runner_up: Option<(String, u64)>,
    targets: usize,
    hint_age_us: Option<u64>,
    sent_at_us: u64,
}

/// A call on its way.
pub struct Call<'a> {
    context: &'a CallContext,
    in_force: &'a InForce,
    service: Arc<ServiceState>,
    request: CallRequest,
    body: Option<AttemptBody>,
    excluded: Vec<usize>,
    attempts: u32,
    /// Attempts that reached a target, or may have.
    tries: u32,
    /// Guards and targets that refused the call for their load.
    refusals: u32,
    hand_backs: u32,
    /// Targets that refused the call for being slow.
    slow: Vec<usize>,
    is_unknown: bool,
    last_refusal: Option<Refusal>,
    spare: Option<Spare>,
}

/// What comes after an attempt.
enum Next {
    Again,
    End(CallOutcome),
}

impl<'a> Call<'a> {
    /// Takes a call up.
    pub fn new(
        context: &'a CallContext,
        in_force: &'a InForce,
        service: Arc<ServiceState>,
        mut request: CallRequest,
    ) -> Self {
        let body = std::mem::replace(&mut request.body, AttemptBody::Whole(Bytes::new()));
        Self {
            context,
            in_force,
            service,
            request,
            body: Some(body),
            excluded: Vec::new(),
            attempts: 0,
            tries: 0,
            refusals: 0,
            hand_backs: 0,
            slow: Vec::new(),
            is_unknown: false,
            last_refusal: None,
            spare: None,
        }
    }

    /// Runs the call to the answer its caller gets.
    pub async fn run(mut self) -> CallOutcome {
        let now_us = self.context.clock.now_us();
        let request = &self.request;
        self.service.balancer().note_call(request.awaited_importance, request.is_of_repeat, now_us);
        if self.request.ticket.is_none() {
            asking::ask_targets(self.context, &self.service).await;
        }
        loop {
            let now_us = self.context.clock.now_us();
            if now_us >= self.request.deadline_us {
                return self.give_up(RefusalReason::Deadline);
            }
            let Some(destination) = self.choose(now_us) else {
                return self.give_up(RefusalReason::NoTarget);
            };
            let Some(body) = self.take_body() else {
                return self.give_up(RefusalReason::NoTarget);
            };
            self.attempts += 1;
            let (destination, answer) = self.attempt(destination, body).await;
            match self.judge(&destination, answer) {
                Next::Again => {}
                Next::End(outcome) => return outcome,
            }
        }
    }

    fn choose(&mut self, now_us: u64) -> Option<Destination> {
        let only = self.request.ticket.as_ref().map(|ticket| ticket.target.as_str());
        let useful_us = self.request.useful_until_us.map(|until_us| until_us.saturating_sub(now_us));
        let class = self.request.class;
        let may_leave_free = self.refusals > 0;
        let choosing = Choosing { excluded: &self.excluded, only, class, useful_us, may_leave_free, now_us };
        let mut balancer = self.service.balancer();
        let choice = balancer.choose(&choosing)?;
        let is_logged = self.context.decisions.is_on();
        let views = balancer.targets();
        let view = &views[choice.index];
        let runner_up = choice.runner_up.filter(|_| is_logged);
        let destination = Destination {
            choice,
            name: view.name.clone(),
            host: view.host.clone(),
            why: if is_logged { choice.reason.to_string() } else { String::new() },
            runner_up: runner_up.map(|(index, score)| (views[index].name.clone(), score as u64)),
            targets: views.len(),
            hint_age_us: view.hint(now_us).map(|(_, age_us)| age_us),
            sent_at_us: now_us,
        };
        balancer.note_sent(choice.index);
        Some(destination)
    }

    /// The body for one more attempt; none when it was a stream that is used up.
    fn take_body(&mut self) -> Option<AttemptBody> {
        match self.body.take()? {
            AttemptBody::Whole(bytes) => {
                self.body = Some(AttemptBody::Whole(bytes.clone()));
                Some(AttemptBody::Whole(bytes))
            }
            stream => Some(stream),
        }
    }

    fn is_whole(&self) -> bool {
        matches!(self.body, Some(AttemptBody::Whole(_)))
    }

    async fn attempt(&mut self, destination: Destination, body: AttemptBody) -> (Destination, AttemptAnswer) {
        let hedge_after_ms =
            self.request.route.hedge_after_ms.filter(|_| self.is_whole() && self.attempts == 1);
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

    fn start_hedge(&mut self, first: &Destination) -> Option<(Destination, BoxFuture<'a, AttemptAnswer>)> {
        let now_us = self.context.clock.now_us();
        if !self.service.balancer().may_hedge(now_us) {
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

    /// The first of two attempts that is answered; the other is cancelled by being dropped.
    async fn race(
        &mut self,
        first: (Destination, BoxFuture<'a, AttemptAnswer>),
        second: (Destination, BoxFuture<'a, AttemptAnswer>),
    ) -> (Destination, AttemptAnswer) {
        let ((first_to, first), (second_to, second)) = (first, second);
        let (ended_to, ended, other_to, other) = match select(first, second).await {
            Either::Left((answer, second)) => (first_to, answer, second_to, second),
            Either::Right((answer, first)) => (second_to, answer, first_to, first),
        };
        if matches!(ended.outcome, AttemptOutcome::Answered { .. }) {
            drop(other);
            self.note(&other_to, AttemptResult::Cancelled);
            self.write_decision(&other_to, "cancelled", 0);
            return (ended_to, ended);
        }
        self.note_outcome(&ended_to, &ended);
        // The other attempt's word is about itself alone.
        self.is_unknown |= matches!(ended.outcome, AttemptOutcome::Unknown(_));
        (other_to, other.await)
    }

    fn send(&self, destination: &Destination, body: AttemptBody) -> BoxFuture<'a, AttemptAnswer> {
        let context = self.context;
        let now_us = context.clock.now_us();
        let limits = *self.service.balancer().limits();
        let may_hand_back = self.request.ticket.is_none()
            && self.hand_backs < limits.hand_backs_max
            && destination.targets > 1
            && !self.service.balancer().is_queueing(now_us);
        let is_local = destination.host == context.host;
        let observe_percent = self.request.route.observe_percent;
        let head = AttemptHead {
            call_id: self.request.id,
            service: self.service.name.clone(),
            target: destination.name.clone(),
            method: self.request.method.clone(),
            uri: self.request.uri.clone(),
            headers: self.request.headers.clone(),
            budget_us: self.request.deadline_us.saturating_sub(now_us),
            useful_us: self.useful_us(now_us),
            class: self.request.class,
            importance: self.importance(),
            is_return: self.request.is_return,
            is_repeat: self.tries > 0 || self.request.is_of_repeat,
            may_repeat: self.request.route.may_repeat,
            may_hand_back,
            hand_backs: self.hand_backs,
            slow_from_percent: self.slow_from_percent(destination, now_us),
            ticket: self.request.ticket.as_ref().map(|ticket| (ticket.incarnation, ticket.number)),
            body: match &body {
                AttemptBody::Whole(_) if self.waits_for_go(is_local) => BodyKind::OnGo,
                AttemptBody::Whole(bytes) if bytes.is_empty() => BodyKind::Empty,
                AttemptBody::Whole(_) => BodyKind::AtOnce,
                AttemptBody::Stream(_) => BodyKind::AfterAdmission,
            },
            wants_hint: self.wants_hint(destination, observe_percent, now_us),
        };
        let attempt = Attempt { head, body };
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
            answered.unwrap_or_else(|_| AttemptAnswer::new(AttemptOutcome::Unknown("time budget spent")))
        }
        .boxed()
    }

    /// Whether the call's body is sent only when the guard has reserved a slot.
    ///
    /// A call that may not be repeated could else not go elsewhere when the guard's node dies while
    /// the call waits there.
    fn waits_for_go(&self, is_local: bool) -> bool {
        !is_local && !self.request.route.may_repeat && self.request.ticket.is_none()
    }

    fn importance(&self) -> u8 {
        if self.request.is_nested { NESTED_IMPORTANCE } else { self.request.route.importance }
    }

    /// Time in which the answer has its full worth in µs; without an objective, the whole budget.
    fn useful_us(&self, now_us: u64) -> u64 {
        let until_us = self.request.useful_until_us.unwrap_or(self.request.deadline_us);
        until_us.saturating_sub(now_us)
    }

    /// From which slowness on the target may refuse the call: each target once, few in all, and not
    /// the last one.
    fn slow_from_percent(&self, destination: &Destination, now_us: u64) -> Option<u32> {
        let is_asked_first = !self.slow.contains(&destination.choice.index);
        let has_choice = self.slow.len() + 1 < destination.targets && self.slow.len() < SLOW_REFUSALS_MAX;
        let may_refuse = self.request.ticket.is_none() && is_asked_first && has_choice;
        may_refuse.then(|| self.service.balancer().slow_from_percent(now_us))
    }

    /// Whether to pay for a hint: only for a target whose last one is not fresh.
    fn wants_hint(&self, destination: &Destination, observe_percent: u8, now_us: u64) -> bool {
        let age_us = self.service.balancer().hint_age_us(destination.choice.index, now_us);
        let is_due = age_us.is_none_or(|age_us| age_us >= HINT_FRESH_US);
        is_due && self.context.observer.may_ask_hint(observe_percent)
    }

    fn judge(&mut self, destination: &Destination, mut answer: AttemptAnswer) -> Next {
        self.note_outcome(destination, &answer);
        match answer.outcome {
            AttemptOutcome::Answered { status, headers, body } => {
                if status.is_server_error() && self.may_try_again(None) {
                    self.excluded.push(destination.choice.index);
                    self.spare = Some(Spare { status, headers, body });
                    return Next::Again;
                }
                Next::End(CallOutcome::Answered { status, headers, body })
            }
            AttemptOutcome::NotRun(refusal) => {
                self.restore_body(answer.unread.take());
                self.last_refusal = Some(refusal);
                self.after_refusal(destination, refusal)
            }
            AttemptOutcome::Unknown(why) => {
                self.is_unknown = true;
                if self.may_try_again(None) {
                    self.excluded.push(destination.choice.index);
                    return Next::Again;
                }
                Next::End(self.end_unknown(why))
            }
        }
    }

    fn restore_body(&mut self, unread: Option<AnswerBody>) {
        if self.body.is_none() {
            self.body = unread.map(AttemptBody::Stream);
        }
    }

    fn after_refusal(&mut self, destination: &Destination, refusal: Refusal) -> Next {
        let index = destination.choice.index;
        let next = refusal.reason.facts().next;
        match next {
            NextStep::HandBack => {
                self.hand_backs += 1;
                count(&self.context.counters.hand_backs);
                return Next::Again;
            }
            NextStep::PassOver => {
                self.slow.push(index);
                return Next::Again;
            }
            _ if self.request.ticket.is_some() => return Next::End(self.give_up(refusal.reason)),
            NextStep::GiveUp => return Next::End(self.give_up(refusal.reason)),
            NextStep::ElsewhereFree | NextStep::ElsewhereFew | NextStep::ElsewherePaid => {
                self.excluded.push(index);
            }
        }
        let may_go_on = match next {
            NextStep::ElsewhereFew => self.may_ask_another_guard(),
            NextStep::ElsewherePaid => self.may_try_again(Some(refusal)),
            _ => true,
        };
        if !may_go_on {
            return Next::End(self.give_up(refusal.reason));
        }
        if next != NextStep::ElsewherePaid {
            count(&self.context.counters.retries_free);
        }
        Next::Again
    }

    /// Whether one more guard may be asked after one that has no room.
    fn may_ask_another_guard(&mut self) -> bool {
        self.refusals += 1;
        let now_us = self.context.clock.now_us();
        self.refusals < self.request.route.tries && self.service.balancer().may_move(now_us)
    }

    /// Whether one more attempt may be made: after a refusal always safe, else only if the
    /// request may repeat; within the tries of the program and the service's retry budget.
    fn may_try_again(&mut self, refusal: Option<Refusal>) -> bool {
        let is_safe = refusal.is_some() || self.request.route.may_repeat;
        // What a target refused did not run there; it is counted apart.
        let counted = if refusal.is_some() { &mut self.refusals } else { &mut self.tries };
        *counted += 1;
        if !is_safe || *counted >= self.request.route.tries {
            return false;
        }
        if !self.is_whole() && refusal.is_none() {
            return false;
        }
        if self.request.ticket.is_some() {
            return false;
        }
        let is_granted = {
            let now_us = self.context.clock.now_us();
            self.service.balancer().may_retry(self.request.awaited_importance, now_us)
        };
        count(if is_granted {
            &self.context.counters.retries
        } else {
            &self.context.counters.retries_refused
        });
        is_granted
    }

    fn give_up(&mut self, reason: RefusalReason) -> CallOutcome {
        if let Some(Spare { status, headers, body }) = self.spare.take() {
            return CallOutcome::Answered { status, headers, body };
        }
        if self.is_unknown {
            return CallOutcome::Unknown("an earlier attempt may have run");
        }
        if self.is_ticket_unproved() {
            return CallOutcome::Unknown("the ticket's guard gave no word");
        }
        let mut refusal = self.last_refusal.unwrap_or(Refusal::new(reason));
        if refusal.reason == RefusalReason::HandedBack {
            refusal.reason = reason;
        }
        let is_of_one_target = refusal.reason.facts().lesson == Lesson::IsAbsent;
        if refusal.retry_after_ms == 0 || is_of_one_target {
            let now_us = self.context.clock.now_us();
            refusal.retry_after_ms = self.service.balancer().retry_after_ms(now_us) as u32;
        }
        CallOutcome::NotRun(refusal)
    }

    /// Whether *not run* would be no proof: a ticket's call may have been sent before, and only
    /// its guard, by voiding the ticket, can say that it never runs.
    fn is_ticket_unproved(&self) -> bool {
        let is_guards_word = self.last_refusal.is_some_and(|refusal| refusal.reason.facts().proves_ticket);
        self.request.ticket.is_some() && !is_guards_word
    }

    fn end_unknown(&mut self, why: &'static str) -> CallOutcome {
        match self.spare.take() {
            Some(Spare { status, headers, body }) => CallOutcome::Answered { status, headers, body },
            None => CallOutcome::Unknown(why),
        }
    }
}
