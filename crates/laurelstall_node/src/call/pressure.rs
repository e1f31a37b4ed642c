//! Refuses calls that the guards of an overloaded service would refuse.

use super::{Call, Destination};
use crate::{counters::count, headers::take_admission_threshold};
use laurelstall_guard::refusal::{Refusal, RefusalReason};
use laurelstall_overload::call_level::CallLevel;
use laurelstall_peer::attempt::{AttemptAnswer, AttemptOutcome};

impl Call<'_> {
    /// Returns the refusal of a call that most guards of the service would refuse; `None` if it is sent.
    pub(super) fn pressure_refusal(&self, now_us: u64) -> Option<Refusal> {
        if !self.is_refused_by_pressure(now_us) {
            return None;
        }
        count(&self.context.counters.entry_overloaded);
        let retry_after_us = self.service.pressure().retry_after_us(now_us);
        let retry_after_ms = (retry_after_us / 1_000).max(1) as u32;
        Some(Refusal::new(RefusalReason::Overloaded).with_retry_after_ms(retry_after_ms))
    }

    /// Whether most guards of the service would refuse the call for its level.
    ///
    /// Nested calls are sent, because the work of the run that waits for them is lost without them. A call with a ticket
    /// is sent, because only its guard can void the ticket.
    pub(super) fn is_refused_by_pressure(&self, now_us: u64) -> bool {
        if self.request.is_nested || self.request.ticket.is_some() {
            return false;
        }
        if !self.controls_overload() {
            return false;
        }
        let targets = self.service.balancer().targets().len();
        self.service.pressure().refuses(self.request.level, targets, now_us)
    }

    /// Removes the admission threshold from an answer, and records what the answer tells about it.
    pub(super) fn note_pressure(&self, destination: &Destination, answer: &mut AttemptAnswer) {
        let target = &destination.name;
        let now_us = self.context.clock.now_us();
        match &mut answer.outcome {
            AttemptOutcome::Answered { headers, .. } => {
                let threshold = take_admission_threshold(headers).unwrap_or(CallLevel::LOWEST);
                if self.controls_overload() {
                    self.service.pressure().note_answer(target, threshold, now_us);
                }
            }
            AttemptOutcome::NotRun(refusal) if refusal.reason == RefusalReason::Overloaded => {
                self.service.pressure().note_refused(target, self.request.level, now_us);
            }
            AttemptOutcome::NotRun(_) | AttemptOutcome::Unknown(_) => {}
        }
    }

    fn controls_overload(&self) -> bool {
        self.service.balancer().limits().load.overload
    }
}
