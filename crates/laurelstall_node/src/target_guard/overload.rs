//! Reports the overload of the local target to entries.

use super::Inner;
use crate::{counters::count, headers::insert_admission_threshold};
use laurelstall_guard::refusal::RefusalReason;
use laurelstall_overload::call_level::CallLevel;
use laurelstall_peer::attempt::{AttemptAnswer, AttemptOutcome};

impl Inner {
    /// Adds the admission threshold to an answer while it is in force, and counts refusals for it.
    ///
    /// An entry whose attempt did not state a level knows neither the header field nor the reason `overloaded`.
    pub(super) fn report_overload(&self, answer: &mut AttemptAnswer, has_level: bool) {
        match &mut answer.outcome {
            AttemptOutcome::NotRun(refusal) if refusal.reason == RefusalReason::Overloaded => {
                count(&self.counters.guard_overloaded);
                if !has_level {
                    *refusal = refusal.without_level();
                }
            }
            AttemptOutcome::Answered { headers, .. } if has_level => {
                let threshold = self.guard.overload_state().map(|state| state.threshold);
                if let Some(threshold) = threshold.filter(|threshold| *threshold > CallLevel::LOWEST) {
                    insert_admission_threshold(headers, threshold);
                }
            }
            AttemptOutcome::Answered { .. } | AttemptOutcome::NotRun(_) | AttemptOutcome::Unknown(_) => {}
        }
    }
}
