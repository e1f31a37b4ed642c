//! Overload control of one guard.

use crate::{
    admission_threshold::AdmissionThreshold,
    call_level::CallLevel,
    overload_detector::{INTERVAL_US, OverloadDetector},
    retry_schedule::RetrySchedule,
    run_times::RunTimes,
};

/// Weight of a call in the mean work of calls.
const MEAN_WEIGHT: f64 = 0.05;
/// Longest wait for the queue relative to the one at usual run times. Targets are up to 5 times slower in slow phases.
const WAIT_FACTOR_MAX: f64 = 5.0;

/// A call as overload control sees it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OfferedCall {
    /// Level of the call.
    pub level: CallLevel,
    /// Class of calls with similar run times.
    pub class: u32,
    /// Usual run time of the class, in µs.
    pub work_us: f64,
    /// Useful time left, in µs.
    pub useful_us: f64,
}

/// Detects the overload of one target and decides which calls are admitted during it.
///
/// Load pattern: 1.5 to 8 times the capacity of the target. Calls below the threshold are refused before they wait; of the
/// others, only those start that will probably be answered in time. Without an overload all calls are admitted.
#[derive(Debug, Default)]
pub struct OverloadControl {
    detector: OverloadDetector,
    threshold: AdmissionThreshold,
    run_times: RunTimes,
    retries: RetrySchedule,
    /// Mean usual run time of the calls that arrive, in µs; 0 before the first.
    mean_work_us: f64,
    /// Work of all slots in an interval, in µs.
    all_slots_us: f64,
}

impl OverloadControl {
    /// Ends the intervals that are over at `now_us`, at a target that runs up to `limit` calls.
    pub fn advance(&mut self, limit: u32, now_us: u64) {
        self.all_slots_us = f64::from(limit.max(1)) * INTERVAL_US as f64;
        while let Some(interval) = self.detector.end_interval(now_us) {
            self.threshold.end_interval(interval, self.all_slots_us);
        }
    }

    /// Records the arrival of a call and returns whether its level is admitted.
    pub fn offer(&mut self, call: &OfferedCall) -> bool {
        self.threshold.note_arrival(call.level, call.work_us);
        self.run_times.note_useful(call.class, call.useful_us);
        let weight = if self.mean_work_us == 0.0 { 1.0 } else { MEAN_WEIGHT };
        self.mean_work_us += weight * (call.work_us - self.mean_work_us);
        self.threshold.admits(call.level)
    }

    /// Returns a wait relative to the useful time of a call of `class`; `useful_us` is what this call had on its arrival.
    ///
    /// A call that returns has little time left from the start, so a short wait of such a call is not long.
    pub fn delay_share(&self, class: u32, wait_us: f64, useful_us: f64) -> f64 {
        wait_us / self.run_times.useful_us(class).max(useful_us).max(1.0)
    }

    /// Records the longest wait of a call that waits for a slot, relative to its useful time; 0 if none waits.
    pub fn note_delay(&mut self, share: f64) {
        self.detector.note_delay(share);
    }

    /// Records the end of a run that took `run_us` and usually takes `work_us`.
    pub fn note_run(&mut self, class: u32, run_us: f64, work_us: f64) {
        self.run_times.note_run(class, run_us);
        self.threshold.note_completed(work_us);
    }

    /// Returns whether a call that starts with `left_us` of useful time left may start. Without an overload every call
    /// may.
    pub fn may_start(&self, class: u32, left_us: f64) -> bool {
        !self.is_overloaded() || self.run_times.is_in_time(class, left_us)
    }

    /// Returns how much longer calls wait for the queue than the usual run times indicate; at least 1.
    pub fn wait_factor(&self) -> f64 {
        let capacity_us = self.threshold.capacity_us().filter(|_| self.is_overloaded());
        capacity_us
            .map_or(1.0, |capacity_us| (self.all_slots_us / capacity_us.max(1.0)).clamp(1.0, WAIT_FACTOR_MAX))
    }

    /// Returns the time in µs after which the caller of a refused call may return.
    pub fn retry_after_us(&mut self, now_us: u64) -> u64 {
        let capacity_us = self.threshold.capacity_us().unwrap_or(self.all_slots_us);
        let calls = capacity_us / self.mean_work_us.max(1.0);
        self.retries.next_us(calls * 1e6 / INTERVAL_US as f64, now_us)
    }

    /// Returns whether the target is overloaded.
    pub fn is_overloaded(&self) -> bool {
        self.detector.is_overloaded()
    }

    /// Returns the lowest admitted level.
    pub fn threshold(&self) -> CallLevel {
        self.threshold.threshold()
    }
}
