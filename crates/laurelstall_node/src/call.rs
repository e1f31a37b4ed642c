//! Runs one call at the entry: sends attempts to targets until the caller can be answered.

use crate::{
    active_config::ConfigSnapshot,
    call_request::{CallOutcome, CallRequest},
    counters::Counters,
    decision_log::DecisionLog,
    dialect::HeaderDialect,
    link_pacer::LinkPacer,
    metrics::Latencies,
    observer::Observer,
    services::ServiceState,
};
use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use laurelstall_balance::chooser::Choice;
use laurelstall_guard::{
    clock::Clock,
    refusal::{Refusal, RefusalReason},
};
use laurelstall_peer::{
    attempt::{AttemptBody, AttemptHandler},
    body::BoxedBody,
    client::PeerClient,
    crash_registry::CrashRegistry,
};
use retries::NextAction;
use std::sync::Arc;

mod attempts;
mod outcomes;
mod pressure;
mod quarantine;
mod retries;
mod returns;
mod shared_retries;
mod target_choice;
mod target_probes;
mod uploads;

/// State shared by all calls of an entry.
#[derive(Debug)]
pub struct CallContext {
    /// The node's clock.
    pub clock: Clock,
    /// The host's name.
    pub host: String,
    /// The guard of the local target.
    pub local: Arc<dyn AttemptHandler>,
    /// Client for requests to other nodes.
    pub client: PeerClient,
    /// Limits the bytes spent on load hints and probes.
    pub observer: Arc<Observer>,
    /// Log of routing decisions.
    pub decisions: DecisionLog,
    /// Event counters of the node.
    pub counters: Arc<Counters>,
    /// Latency histograms.
    pub latencies: Arc<Latencies>,
    /// Names and formats of header fields.
    pub dialect: Arc<dyn HeaderDialect>,
    /// Records of requests that may crash targets.
    pub crashes: Arc<CrashRegistry>,
    /// Paces bodies over this node's link; `None` if its bandwidth is unknown.
    pub link: Option<Arc<LinkPacer>>,
}

/// A target's server error, returned to the caller if the retries yield no better answer.
struct FallbackAnswer {
    status: StatusCode,
    headers: HeaderMap,
    body: BoxedBody,
}

/// The target chosen for an attempt, with the details that the decision log records.
struct Destination {
    choice: Choice,
    name: String,
    host: String,
    choice_reason: String,
    runner_up: Option<(String, u64)>,
    targets: usize,
    hint_age_us: Option<u64>,
    /// Rate limit that the target stated last to this entry, in calls per second.
    rate_limit_per_s: Option<f64>,
    sent_at_us: u64,
}

/// A call in progress.
pub struct Call<'a> {
    context: &'a CallContext,
    snapshot: &'a ConfigSnapshot,
    service: Arc<ServiceState>,
    request: CallRequest,
    body: Option<AttemptBody>,
    /// Whether the body is a stream that was wrapped to be paced.
    is_stream_paced: bool,
    /// Indices of targets that are not tried again.
    excluded: Vec<usize>,
    /// Number of attempts made, including hedges.
    attempts: u32,
    /// Number of attempts that a target has run or may have run and after which a retry was considered.
    possible_runs: u32,
    /// Number of refusals by overloaded guards and targets after which a retry was considered.
    overload_refusals: u32,
    /// Number of times that a guard handed the queued call back to be sent elsewhere.
    hand_backs: u32,
    /// Indices of targets that refused the call because they are slow.
    slow_refusers: Vec<usize>,
    /// Whether an earlier attempt ended with an unknown outcome.
    has_unknown_attempt: bool,
    last_refusal: Option<Refusal>,
    fallback: Option<FallbackAnswer>,
    /// Whether the caller returned at a time for which a place was reserved.
    is_reserved: bool,
}

impl<'a> Call<'a> {
    /// Creates a call that has made no attempt yet.
    pub fn new(
        context: &'a CallContext,
        snapshot: &'a ConfigSnapshot,
        service: Arc<ServiceState>,
        mut request: CallRequest,
    ) -> Self {
        let body = std::mem::replace(&mut request.body, AttemptBody::Whole(Bytes::new()));
        Self {
            context,
            snapshot,
            service,
            request,
            body: Some(body),
            is_stream_paced: false,
            excluded: Vec::new(),
            attempts: 0,
            possible_runs: 0,
            overload_refusals: 0,
            hand_backs: 0,
            slow_refusers: Vec::new(),
            has_unknown_attempt: false,
            last_refusal: None,
            fallback: None,
            is_reserved: false,
        }
    }

    /// Runs the call until its outcome for the caller is known.
    pub async fn run(mut self) -> CallOutcome {
        self.claim_reservation();
        let outcome = self.run_attempts().await;
        self.finish_with_reservation(outcome)
    }

    async fn run_attempts(&mut self) -> CallOutcome {
        let now_us = self.context.clock.now_us();
        let request = &self.request;
        self.service.balancer().note_call(request.budget_importance, request.is_parent_retry, now_us);
        if let Some(refusal) = self.pressure_refusal(now_us) {
            return CallOutcome::NotRun(refusal);
        }
        if self.request.ticket.is_none() {
            target_probes::probe_targets(self.context, &self.service).await;
        }
        loop {
            let now_us = self.context.clock.now_us();
            if now_us >= self.request.deadline_us {
                return self.give_up(RefusalReason::Deadline);
            }
            // A request that crashes targets is not sent to another one.
            if let Some(refusal) = self.quarantine_refusal() {
                self.last_refusal = Some(refusal);
                return self.give_up(RefusalReason::Quarantined);
            }
            let Some(destination) = self.choose(now_us) else {
                return self.give_up(RefusalReason::NoTarget);
            };
            if let Some(outcome) = self.refuse_upload(&destination) {
                return outcome;
            }
            // The body was a stream that has been read, so another attempt cannot send it.
            let Some(body) = self.take_body() else {
                return self.give_up(RefusalReason::NoTarget);
            };
            self.attempts += 1;
            let (destination, answer) = self.attempt(destination, body).await;
            if self.may_want_retry(&answer) {
                self.borrow_retry_token().await;
            }
            match self.handle_answer(&destination, answer) {
                NextAction::Retry => {}
                NextAction::Finish(outcome) => return outcome,
            }
        }
    }
}
