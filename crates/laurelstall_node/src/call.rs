//! One call at the entry: attempts, one after the other, until there is an answer to give.

use crate::{
    active::InForce,
    call_request::{CallOutcome, CallRequest},
    counters::Counters,
    decision_log::DecisionLog,
    dialect::HeaderDialect,
    metrics::Latencies,
    observer::Observer,
    services::ServiceState,
};
use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use judging::Next;
use laurelstall_balance::chooser::Choice;
use laurelstall_guard::{
    clock::Clock,
    refusal::{Refusal, RefusalReason},
};
use laurelstall_peer::{
    attempt::{AttemptBody, AttemptHandler},
    body::AnswerBody,
    client::PeerClient,
    crash_registry::CrashRegistry,
};
use std::sync::Arc;

mod asking;
mod choosing;
mod holding;
mod judging;
mod notes;
mod sending;

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
    /// What is known of requests that ended targets.
    pub crashes: Arc<CrashRegistry>,
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
            // Whatever ended its targets would end the next one: nothing of it is sent.
            if let Some(refusal) = self.held_back() {
                self.last_refusal = Some(refusal);
                return self.give_up(RefusalReason::Held);
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
}
