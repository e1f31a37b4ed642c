//! What the node has learned about the calls that its own target makes; shared by its guard and its entry.

use crate::{
    call_request::{CallOutcome, CallRequest},
    chain_run::ChainRun,
};
use laurelstall_balance::class_times::CallClass;
use laurelstall_chains::{
    call_end::{CallEnd, NestedCallTimes},
    chain_table::{ChainDecision, ChainTable},
};
use laurelstall_guard::{
    clock::Clock,
    refusal::{Refusal, RefusalReason},
};
use laurelstall_overload::call_level::CallLevel;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// What the node has learned about the calls that its own target makes.
#[derive(Debug)]
pub struct Chains {
    clock: Clock,
    table: Mutex<ChainTable>,
}

impl Chains {
    /// Creates an empty state.
    pub fn new(clock: Clock) -> Arc<Self> {
        Arc::new(Self { clock, table: Mutex::default() })
    }

    /// Decides on a call before it is admitted.
    pub fn decide(&self, class: CallClass, level: CallLevel) -> ChainDecision {
        self.lock().decide(class, level, self.clock.now_us())
    }

    /// Notes that a run begins; `None` when too many are watched already.
    pub fn begin_run(self: &Arc<Self>, class: CallClass) -> Option<OpenRun> {
        let id = self.lock().begin_run(class, self.clock.now_us())?;
        Some(OpenRun { chains: self.clone(), run: ChainRun { class, id }, has_succeeded: false })
    }

    /// Notes that a run of the local target makes a call; `None` if the call is made by no run that is learned from.
    pub fn begin_call(self: &Arc<Self>, service: &str, request: &CallRequest) -> Option<OpenCall> {
        let run = request.chain_run?;
        let now_us = self.clock.now_us();
        let service = service.to_owned();
        self.lock().note_call(run.id, &service, now_us);
        let times = NestedCallTimes {
            started_us: now_us,
            objective_us: request.route.latency_objective_ms.map(|ms| ms * 1_000),
            useful_until_us: request.useful_until_us.unwrap_or(request.deadline_us),
            deadline_us: request.deadline_us,
        };
        let end = CallEnd::Abandoned;
        Some(OpenCall { chains: self.clone(), run, service, level: request.level, times, end })
    }

    /// Returns the lowest level that the services behind the runs of a class serve; `None` when they refuse none by
    /// level.
    pub fn required_level(&self, class: CallClass) -> Option<CallLevel> {
        self.lock().required_level(class, self.clock.now_us())
    }

    /// Returns the number of remembered pairs of a class and a service that its runs call.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Returns whether no calls are remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn lock(&self) -> MutexGuard<'_, ChainTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A run in progress, which ends when this is dropped.
#[derive(Debug)]
pub struct OpenRun {
    chains: Arc<Chains>,
    run: ChainRun,
    has_succeeded: bool,
}

impl OpenRun {
    /// Returns the run.
    pub fn run(&self) -> ChainRun {
        self.run
    }

    /// Notes whether the target answered the run without a server error.
    pub fn set_succeeded(&mut self, has_succeeded: bool) {
        self.has_succeeded = has_succeeded;
    }
}

impl Drop for OpenRun {
    fn drop(&mut self) {
        self.chains.lock().end_run(self.run.id, self.has_succeeded);
    }
}

/// A call in progress that a run of the local target makes. Unless it has ended, dropping it notes that it was abandoned.
#[derive(Debug)]
pub struct OpenCall {
    chains: Arc<Chains>,
    run: ChainRun,
    service: String,
    level: CallLevel,
    times: NestedCallTimes,
    end: CallEnd,
}

impl OpenCall {
    /// Notes how the call ended.
    pub fn end(mut self, outcome: &CallOutcome) {
        self.end = end_of(outcome);
    }
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        let now_us = self.chains.clock.now_us();
        let Some(outcome) = self.times.outcome(self.end, now_us) else { return };
        let run = (self.run.class, self.run.id);
        self.chains.lock().note_outcome(run, &self.service, self.level, outcome, now_us);
    }
}

fn end_of(outcome: &CallOutcome) -> CallEnd {
    match outcome {
        CallOutcome::Answered { status, .. } if status.is_server_error() => CallEnd::Error,
        CallOutcome::Answered { .. } => CallEnd::Answered,
        CallOutcome::NotRun(refusal) => end_of_refused(refusal),
        CallOutcome::Unknown(_) if outcome.is_out_of_time() => CallEnd::OutOfTime,
        CallOutcome::Unknown(_) => CallEnd::Error,
    }
}

fn end_of_refused(refusal: &Refusal) -> CallEnd {
    match refusal.reason {
        RefusalReason::Deadline => CallEnd::OutOfTime,
        RefusalReason::Overloaded => CallEnd::RefusedByLevel,
        RefusalReason::Quarantined | RefusalReason::TicketVoid | RefusalReason::Unreadable => {
            CallEnd::Unrelated
        }
        _ => CallEnd::Refused,
    }
}
