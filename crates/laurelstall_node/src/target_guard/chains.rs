//! Learns from the runs at the target which calls they make, and refuses calls whose runs would fail at a service behind.

use super::{Inner, PendingAttempt, TargetGuard, forwarding::PreparedRequest};
use crate::{chains::OpenRun, counters::count};
use laurelstall_chains::chain_table::{ChainDecision, RefusalChange, Verdict};
use laurelstall_guard::refusal::{Refusal, RefusalReason};
use laurelstall_overload::call_level::CallLevel;
use laurelstall_peer::attempt::{AttemptAnswer, AttemptOutcome};
use std::sync::Arc;

impl TargetGuard {
    /// Returns the number of remembered pairs of a class and a service that its runs call.
    pub fn known_chains(&self) -> usize {
        self.inner.chains.len()
    }
}

impl PendingAttempt {
    /// Returns the level of the first request of the chain; that of its importance if the entry did not state it.
    pub(super) fn level(&self) -> CallLevel {
        self.level.unwrap_or(CallLevel { importance: self.head.importance, bucket: 0 })
    }
}

impl Inner {
    /// Returns why the call is not admitted: its run would probably fail at a service behind. `None` if nothing speaks
    /// against it.
    ///
    /// A call with a ticket runs: refusing it would make the ticket void.
    pub(super) fn chain_refusal(&self, pending: &PendingAttempt) -> Option<Refusal> {
        let is_exempt = pending.head.ticket.is_some() || self.guard.is_draining();
        if !pending.limits.load.chains || is_exempt {
            return None;
        }
        let ChainDecision { verdict, change } = self.chains.decide(pending.head.class, pending.level());
        change.iter().for_each(log_change);
        match verdict {
            Verdict::Admit => None,
            Verdict::Trial => {
                count(&self.counters.chain_trials);
                None
            }
            Verdict::Refuse { retry_after_ms } => {
                count(&self.counters.chain_refusals);
                // Not `Overloaded`: entries take that for a threshold of the target for the calls of all classes.
                Some(Refusal::new(RefusalReason::Busy).with_retry_after_ms(retry_after_ms))
            }
        }
    }

    /// Runs a request at the target and learns from it which calls it makes.
    pub(super) async fn run_and_learn(self: &Arc<Self>, mut prepared: PreparedRequest) -> AttemptAnswer {
        let mut run = self.begin_chain_run(&prepared);
        prepared.run_info.chain_run = run.as_ref().map(OpenRun::run);
        let answer = self.send_and_read(prepared).await;
        if let Some(run) = &mut run {
            run.set_succeeded(is_success(&answer));
        }
        answer
    }

    /// Begins to watch a run, if its calls can be recognised by the ID of its request.
    fn begin_chain_run(&self, prepared: &PreparedRequest) -> Option<OpenRun> {
        let is_learned = prepared.limits.load.chains && self.dialect.request_id(&prepared.headers).is_some();
        if is_learned { self.chains.begin_run(prepared.run_info.class) } else { None }
    }
}

fn is_success(answer: &AttemptAnswer) -> bool {
    matches!(&answer.outcome, AttemptOutcome::Answered { status, .. } if !status.is_server_error())
}

fn log_change(change: &RefusalChange) {
    let RefusalChange { class, service, begins } = change;
    let what = if *begins { "are refused, since service" } else { "are admitted again, after service" };
    log::info!("own target: calls of class {class:08x} {what} {service} failed the calls of their runs");
}
