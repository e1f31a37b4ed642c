//! Decides from the speed of the target whether a call starts, is held or is refused.

use super::State;
use crate::{
    admission_request::AdmissionRequest,
    refusal::RefusalReason,
    start_decision::{SlotDemand, StartCandidate, StartDecision, StartForecast},
};

/// Calls are refused as slow only if the target is with at least this probability still in the phase that it
/// last reported; otherwise trying another target is not worth the time.
const SAME_PHASE_PROBABILITY_MIN: f64 = 0.8;

impl State {
    /// Returns whether a new call may start at once instead of being queued.
    pub(in crate::guard) fn may_start(&self, request: &AdmissionRequest, now_us: u64) -> bool {
        self.queue.is_empty()
            && self.has_slot_and_capacity(request, now_us)
            && self.should_start(request, now_us)
    }

    /// Returns whether starting the call now is better than holding it.
    pub(super) fn should_start(&self, request: &AdmissionRequest, now_us: u64) -> bool {
        !self.limits.may_hold || self.forecast(request, now_us).decision == StartDecision::Start
    }

    /// Returns why a new call is refused because of the target's speed; `None` when it is not.
    pub(in crate::guard) fn refusal_by_speed(
        &self,
        request: &AdmissionRequest,
        now_us: u64,
    ) -> Option<RefusalReason> {
        if self.is_avoidably_slow(request, now_us) {
            return Some(RefusalReason::Slow);
        }
        self.would_waste_slot(request, now_us).then_some(RefusalReason::Busy)
    }

    /// Predicts the result of starting the call now or holding it.
    pub(super) fn forecast(&self, request: &AdmissionRequest, now_us: u64) -> StartForecast {
        StartForecast::of(&self.candidate(request, now_us), &self.speed.forecast(now_us), &self.demand())
    }

    pub(super) fn candidate(&self, request: &AdmissionRequest, now_us: u64) -> StartCandidate {
        StartCandidate {
            run_us: self.class_run_us(request),
            useful_us: request.useful_until_us.saturating_sub(now_us) as f64,
            budget_us: request.deadline_us.saturating_sub(now_us) as f64,
        }
    }

    pub(super) fn demand(&self) -> SlotDemand {
        // The call being decided on is counted, whether it is queued yet or not.
        let wanted = self.running.len() + self.queue.len().max(1);
        let load = (wanted as f64 / f64::from(self.limit.limit().max(1))).min(1.0);
        SlotDemand { load, run_us: self.mean_run_us }
    }

    /// Returns whether the call should try another target because this one is in a slow phase.
    fn is_avoidably_slow(&self, request: &AdmissionRequest, now_us: u64) -> bool {
        let Some(from_percent) = request.slow_from_percent else { return false };
        let slowness_percent = self.speed.slowness_percent(now_us);
        slowness_percent >= from_percent
            && self.speed.same_phase_probability(now_us) >= SAME_PHASE_PROBABILITY_MIN
    }

    /// Returns whether the call would occupy a slot that others need and still be answered too late.
    fn would_waste_slot(&self, request: &AdmissionRequest, now_us: u64) -> bool {
        let useful_us = request.useful_until_us.saturating_sub(now_us) as f64;
        let done_us = self.forecast(request, now_us).done_us;
        done_us > useful_us && 2 * self.running.len() as u32 >= self.limit.limit()
    }
}
