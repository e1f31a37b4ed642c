//! Outlier ejection: takes targets with many errors or high latency out of the choice.

use super::{AttemptResult, ServiceBalancer};
use crate::target_view::TargetView;

/// Attempts that must have ended before a target may be ejected.
const EJECTION_SAMPLES_MIN: u32 = 5;
/// Share of failed attempts from which a target may be ejected.
const EJECTION_ERROR_RATE: f64 = 0.5;
/// How far a target's error rate must exceed the mean of the other targets.
const EJECTION_ERROR_MARGIN: f64 = 0.25;
/// Multiple of the service's median latency from which a target may be ejected.
const EJECTION_LATENCY_FACTOR: f64 = 5.0;
/// Latency in µs below which no target is ejected for being slow.
const EJECTION_LATENCY_MIN_US: f64 = 5_000.0;
/// How long in µs a target must be slow before it is ejected for it.
///
/// Noisy neighbours slow a target for up to half a second. Ejecting it for that costs the service more capacity than
/// it gains, because the choice of targets avoids a slow one anyway.
const EJECTION_SLOW_US: u64 = 1_500_000;

/// An ejected target and the figures that caused its ejection.
#[derive(Debug, Clone, PartialEq)]
pub struct Ejected {
    /// The target's name.
    pub target: String,
    /// Share of its recent attempts that failed, 0 to 1.
    pub error_rate: f64,
    /// Average latency of its recent successes in µs.
    pub latency_us: u64,
    /// Number of ejections in a row, this one included.
    pub times: u32,
}

impl ServiceBalancer {
    /// Ejects the target at `index` if it fails or is slow and the limit on ejected targets allows it.
    pub(super) fn eject_if_outlier(&mut self, index: usize, now_us: u64) -> Option<Ejected> {
        let view = &self.targets[index];
        let is_out = view.ejection.is_ejected(now_us) || view.ejection.is_half_open();
        if is_out || view.samples() < EJECTION_SAMPLES_MIN {
            return None;
        }
        let is_slow = self.is_slow(index);
        let slow_us = self.targets[index].update_slow_since(is_slow, now_us);
        if !self.is_failing(index, now_us) && slow_us < EJECTION_SLOW_US {
            self.note_recovery(index, now_us);
            return None;
        }
        let ejected = self.targets.iter().filter(|view| view.ejection.is_ejected(now_us)).count();
        let ejected_max = self.targets.len() * self.limits.ejected_max_percent as usize / 100;
        if ejected >= ejected_max {
            return None;
        }
        let view = &mut self.targets[index];
        let error_rate = view.error_rate(now_us);
        let latency_us = view.latency_us() as u64;
        let first_us = self.limits.ejection_ms * 1_000;
        if view.has_fast_recovery {
            view.ejection.eject_half_open(now_us, first_us);
        } else {
            view.ejection.eject(now_us, first_us);
        }
        view.forget_errors();
        self.ejections += 1;
        Some(Ejected { target: view.name.clone(), error_rate, latency_us, times: view.ejection.times() })
    }

    /// Records the result of an attempt at an ejected target that gets single calls.
    pub(super) fn note_half_open_result(&mut self, index: usize, result: AttemptResult, now_us: u64) {
        let view = &mut self.targets[index];
        match result {
            AttemptResult::Succeeded(_) if view.ejection.note_success(now_us) => view.forget_errors(),
            AttemptResult::Succeeded(_) => {}
            AttemptResult::Failed => view.ejection.note_failure(now_us),
            AttemptResult::NotRun | AttemptResult::Cancelled => view.ejection.note_not_run(now_us),
        }
    }

    fn note_recovery(&mut self, index: usize, now_us: u64) {
        let slow_start_us = self.limits.slow_start_ms * 1_000;
        let view = &mut self.targets[index];
        if view.ejection.ramp(now_us, slow_start_us) >= 1.0 {
            view.ejection.note_recovered();
        }
    }

    fn is_failing(&self, index: usize, now_us: u64) -> bool {
        let rate = self.targets[index].error_rate(now_us);
        let others = self.targets.len().saturating_sub(1).max(1) as f64;
        let sum: f64 = self.targets.iter().map(|view| view.error_rate(now_us)).sum();
        let mean_of_others = (sum - rate) / others;
        rate >= EJECTION_ERROR_RATE && rate >= mean_of_others + EJECTION_ERROR_MARGIN
    }

    fn is_slow(&self, index: usize) -> bool {
        let latency_us = self.targets[index].latency_us();
        if latency_us < EJECTION_LATENCY_MIN_US {
            return false;
        }
        let latencies = self.targets.iter().map(TargetView::latency_us).filter(|l| *l > 0.0);
        let mut latencies = latencies.collect::<Vec<_>>();
        latencies.sort_by(f64::total_cmp);
        let median = latencies.get((latencies.len().saturating_sub(1)) / 2).copied().unwrap_or(0.0);
        latencies.len() >= 3 && latency_us > EJECTION_LATENCY_FACTOR * median
    }
}
