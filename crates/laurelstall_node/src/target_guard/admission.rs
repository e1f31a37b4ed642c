//! Checks attempts and admits them to the target.

use super::{Inner, answers::not_run, instance, refused};
use crate::{
    headers::{take_call_level, take_known_rate_limit, take_reserved},
    metrics::record_us,
};
use laurelstall_config::team::ServiceLimits;
use laurelstall_guard::{
    admission_request::{AdmissionRequest, Rank, WorkspaceShare},
    refusal::RefusalReason,
};
use laurelstall_overload::call_level::CallLevel;
use laurelstall_peer::{
    attempt::{Admission, Attempt, AttemptAnswer, AttemptBody},
    message::AttemptHead,
};
use std::sync::Arc;

/// Retry delay in µs of a node that has no fleet document yet, which arrives shortly after its start.
///
/// Entries would otherwise exclude its target for a second.
const NO_FLEET_RETRY_US: u64 = 100_000;

/// An attempt that has been checked but not yet admitted.
pub(crate) struct PendingAttempt {
    pub(super) head: AttemptHead,
    pub(super) body: AttemptBody,
    pub(super) admission: Admission,
    pub(crate) deadline_us: u64,
    pub(super) useful_until_us: u64,
    pub(super) useful_us: u64,
    /// Level of the first request of the chain; `None` if the entry did not state it.
    pub(super) level: Option<CallLevel>,
    /// Whether the caller returned at a time for which a place was reserved.
    pub(super) is_reserved: bool,
    pub(crate) limits: ServiceLimits,
    /// Whether the answer passes over the node's link.
    pub(super) is_over_link: bool,
}

impl Inner {
    /// Checks an attempt and runs it, with its ticket if it has one.
    pub(super) async fn handle_attempt(
        self: &Arc<Self>,
        attempt: Attempt,
        admission: Admission,
        is_over_link: bool,
    ) -> AttemptAnswer {
        let Attempt { mut head, body } = attempt;
        // A guard that has just started knows of the limit before it sends the first call.
        if let Some(per_s) = take_known_rate_limit(&mut head.headers) {
            self.guard.note_rate_known_to_entry(per_s);
        }
        let level = take_call_level(&mut head.headers);
        let snapshot = self.active.load();
        let local = self.local_target(&snapshot);
        let Some((service, _)) = local.filter(|(_, target)| self.is_named(target, &head)) else {
            let is_starting = snapshot.configuration.fleet.hosts.is_empty();
            let wait_us = if is_starting { NO_FLEET_RETRY_US } else { 0 };
            return not_run(instance::other_target_refusal(wait_us), Some(body));
        };
        // The entry may not know yet that the request is quarantined.
        if let Some(refusal) = self.quarantine_refusal(head.digest) {
            return not_run(refusal, Some(body));
        }
        let now_us = self.clock.now_us();
        if let Some(wait_us) = self.identity().refused_for_us(now_us) {
            return not_run(instance::other_target_refusal(wait_us), Some(body));
        }
        let deadline_us = now_us + head.budget_us;
        let useful_us = head.useful_us.min(head.budget_us);
        let useful_until_us = now_us + useful_us;
        let limits = service.limits;
        let is_reserved = take_reserved(&mut head.headers) && limits.load.reserved_returns;
        let ticket = head.ticket;
        let pending = PendingAttempt {
            head,
            body,
            admission,
            deadline_us,
            useful_until_us,
            useful_us,
            level,
            is_reserved,
            limits,
            is_over_link,
        };
        match ticket {
            None => self.admit_and_run(pending).await,
            Some((incarnation, number)) => self.run_ticket(pending, incarnation, number).await,
        }
    }

    /// Returns the workspace that the call counts for at this guard; one unknown to this node has the default weight.
    fn workspace_share(&self, head: &AttemptHead) -> WorkspaceShare {
        if head.workspace.is_empty() {
            return WorkspaceShare::NO_WORKSPACE;
        }
        let team = head.service.split('/').next().unwrap_or_default();
        let snapshot = self.active.load();
        let directory = snapshot.keys.get(team);
        let workspace = directory.and_then(|directory| directory.named(&head.workspace));
        let weight = workspace.map_or(WorkspaceShare::NO_WORKSPACE.weight, |workspace| workspace.weight);
        WorkspaceShare { id: xxhash_rust::xxh3::xxh3_64(head.workspace.as_bytes()), weight }
    }

    /// Admits an attempt and runs it at the target.
    pub(crate) async fn admit_and_run(self: &Arc<Self>, pending: PendingAttempt) -> AttemptAnswer {
        if let Some(refusal) = self.chain_refusal(&pending) {
            return not_run(refusal, Some(pending.body));
        }
        let _link_reservation = match self.reserve_link(&pending) {
            Ok(reservation) => reservation,
            Err(refusal) => return not_run(refusal, Some(pending.body)),
        };
        let request = AdmissionRequest {
            rank: Rank::new(pending.head.importance, pending.head.is_return)
                .with_level(pending.level())
                .with_reservation(pending.is_reserved)
                .by_first_caller(pending.limits.load.chains),
            workspace_share: self.workspace_share(&pending.head),
            class: pending.head.class,
            deadline_us: pending.deadline_us,
            useful_until_us: pending.useful_until_us,
            useful_us: pending.useful_us,
            may_hand_back: pending.head.may_hand_back && !self.is_baseline,
            hand_backs: pending.head.hand_backs,
            slow_from_percent: pending.head.slow_from_percent.filter(|_| !self.is_baseline),
        };
        let queued_us = self.clock.now_us();
        match self.guard.admit(request).await {
            Ok(permit) => {
                if let Some(reason) = self.refusal_after_wait(&pending.head) {
                    permit.release_uncounted();
                    return refused(reason, Some(pending.body));
                }
                // It may have been quarantined while it was queued here.
                if let Some(refusal) = self.quarantine_refusal(pending.head.digest) {
                    permit.release_uncounted();
                    return not_run(refusal, Some(pending.body));
                }
                let admitted_us = self.clock.now_us();
                record_us(&self.latencies.waits, admitted_us - queued_us);
                let answer = self.prepare_and_run(pending, permit).await;
                record_us(&self.latencies.runs, self.clock.now_us() - admitted_us);
                answer
            }
            Err(refusal) => not_run(refusal, Some(pending.body)),
        }
    }

    /// Returns why a queued call must not start any more: the current configuration no longer lists its target
    /// here, or the grace period of the drain is over.
    pub(super) fn refusal_after_wait(&self, head: &AttemptHead) -> Option<RefusalReason> {
        let snapshot = self.active.load();
        let is_named = self.local_target(&snapshot).is_some_and(|(_, target)| self.is_named(target, head));
        if !is_named {
            return Some(RefusalReason::OtherTarget);
        }
        self.guard.is_drain_grace_over().then_some(RefusalReason::Draining)
    }
}
