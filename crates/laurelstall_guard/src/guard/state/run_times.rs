//! Run times of a guard's calls, measured or assumed.

use super::State;
use crate::admission_request::AdmissionRequest;
use laurelstall_balance::{fading::faded_weight, hint::NORMAL_PERCENT};

/// Weight of a new run in the moving average of run times.
const RUN_WEIGHT: f64 = 0.15;
/// Share of a call's latency objective that its run is assumed to take until a call of its class was
/// measured; objectives are usually about three times the run time.
const ASSUMED_RUN_SHARE: f64 = 0.35;
/// Shortest assumed run time, in µs.
const RUN_MIN_US: f64 = 1_000.0;
/// Part of the mean run time of a class below which none of its runs ends.
const SHORTEST_RUN_SHARE: f64 = 0.5;

impl State {
    /// Derives an assumed run time from the first request, until a run was measured.
    pub(in crate::guard) fn assume_run_time(&mut self, request: &AdmissionRequest) {
        if !self.has_measured {
            self.mean_run_us = self.class_run_us(request);
        }
    }

    /// Adds a run time, converted to the target's normal speed, in µs, to the moving average.
    pub(in crate::guard) fn note_run(&mut self, normal_run_us: f64, now_us: u64) {
        let passed_us = now_us.saturating_sub(self.mean_run_at_us);
        let weight = match self.has_measured {
            false => 1.0,
            true if self.limits.has_refusal_causes => faded_weight(RUN_WEIGHT, passed_us),
            true => RUN_WEIGHT,
        };
        self.mean_run_at_us = now_us;
        self.mean_run_us += weight * (normal_run_us - self.mean_run_us);
        self.has_measured = true;
    }

    /// Returns the mean run time of the call's class at the target's normal speed, in µs, or an assumed one.
    pub(in crate::guard) fn class_run_us(&self, request: &AdmissionRequest) -> f64 {
        let known = self.limit.times().mean_us(request.class);
        known.unwrap_or_else(|| (request.useful_us as f64 * ASSUMED_RUN_SHARE).max(RUN_MIN_US))
    }

    /// Returns how long a call runs outside of slow phases, in µs.
    pub(in crate::guard) fn service_us(&self, now_us: u64) -> u64 {
        (self.mean_run_us * self.quick_factor(now_us)) as u64
    }

    /// Returns how long work takes outside of slow phases, relative to normal.
    pub(in crate::guard) fn quick_factor(&self, now_us: u64) -> f64 {
        f64::from(self.speed.quick_percent(now_us)) / f64::from(NORMAL_PERCENT)
    }

    /// Returns whether a run of the call would not end before its deadline.
    pub(in crate::guard) fn cannot_finish(&self, request: &AdmissionRequest, now_us: u64) -> bool {
        let Some(mean_us) = self.limit.times().mean_us(request.class) else { return false };
        let shortest_us = (SHORTEST_RUN_SHARE * mean_us) as u64;
        self.has_prompt_refusal && now_us + shortest_us > request.deadline_us
    }
}
