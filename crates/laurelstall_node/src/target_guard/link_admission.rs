//! Admits attempts of other hosts by the time that the link needs for their answers, and paces these answers.

use super::{Inner, PendingAttempt, TargetGuard};
use crate::{
    link_pacer::{AnswerReservation, LinkPacer},
    paced_body::{READ_AHEAD_BYTES, Sending, pace},
};
use laurelstall_guard::{admission_request::NESTED_CALL_IMPORTANCE, refusal::Refusal};
use laurelstall_link::link_admission::LinkCall;
use laurelstall_peer::{
    attempt::{AttemptAnswer, AttemptOutcome},
    message::AttemptHead,
};
use std::sync::Arc;

/// How the answer of an attempt leaves the node.
pub(super) struct AnswerLink {
    /// The link and how the answer is sent over it; `None` if it does not pass over the link.
    paced: Option<(Arc<LinkPacer>, Sending)>,
}

impl AnswerLink {
    /// Returns the answer with a paced body.
    pub(super) fn pace(&self, mut answer: AttemptAnswer) -> AttemptAnswer {
        let Some((pacer, sending)) = &self.paced else { return answer };
        answer.outcome = match answer.outcome {
            AttemptOutcome::Answered { status, headers, body } => {
                let sending = Sending {
                    // Errors do not have the size of the class's answers.
                    learned_class: sending.learned_class.filter(|_| status.is_success()),
                    ..*sending
                };
                let body = pace(pacer, sending, &headers, body);
                AttemptOutcome::Answered { status, headers, body }
            }
            outcome => outcome,
        };
        answer
    }
}

impl TargetGuard {
    /// Returns a guard for attempts of other hosts, whose answers pass over the node's link.
    pub fn for_other_hosts(&self) -> Self {
        Self { inner: self.inner.clone(), is_over_link: true }
    }

    /// Returns the pacer of the node's link; `None` if its bandwidth is unknown.
    pub fn link(&self) -> Option<&Arc<LinkPacer>> {
        self.inner.link.as_ref()
    }
}

impl Inner {
    /// Returns how the answer of an attempt leaves the node.
    pub(super) fn answer_link(&self, head: &AttemptHead, is_over_link: bool) -> AnswerLink {
        let Some(pacer) = self.link.as_ref().filter(|_| is_over_link) else {
            return AnswerLink { paced: None };
        };
        let snapshot = self.active.load();
        let local = self.local_target(&snapshot);
        let is_used = local.is_some_and(|(service, _)| service.limits.load.link);
        let sending = Sending {
            importance: head.importance,
            read_ahead_bytes: READ_AHEAD_BYTES,
            learned_class: Some(head.class),
        };
        AnswerLink { paced: is_used.then(|| (pacer.clone(), sending)) }
    }

    /// Reserves link time for the answer of an attempt until the answer begins.
    ///
    /// # Errors
    ///
    /// Returns the refusal of an attempt whose answer could not be sent in time. A drain takes precedence, and a call
    /// with a ticket is admitted: refusing it would make the ticket void.
    pub(super) fn reserve_link(
        &self,
        pending: &PendingAttempt,
    ) -> Result<Option<AnswerReservation>, Refusal> {
        let is_exempt = pending.head.ticket.is_some() || self.guard.is_draining();
        let is_used = pending.is_over_link && pending.limits.load.link && !is_exempt;
        let Some(pacer) = self.link.as_ref().filter(|_| is_used) else { return Ok(None) };
        let call = LinkCall {
            class: pending.head.class,
            importance: pending.head.importance,
            is_nested: pending.head.importance >= NESTED_CALL_IMPORTANCE,
            useful_us: pending.useful_us,
        };
        pacer.admit_answer(&call).map(Some)
    }
}
