//! Ejection of a failing or slow target, and the slow start when it is back.

use crate::half_open::HalfOpen;

/// Number of times that the duration of an ejection doubles at most.
const EJECTION_GROWTH_MAX: u32 = 5;
/// Share of its full traffic that a target gets at the beginning of the slow start.
const RAMP_START: f64 = 0.1;

/// The ejection and slow start state of a target.
#[derive(Debug, Clone)]
pub struct Ejection {
    until_us: u64,
    ramp_from_us: u64,
    /// Ejections in a row.
    times: u32,
    /// Single calls after an ejection without a slow start.
    half_open: Option<HalfOpen>,
}

impl Ejection {
    /// Creates the state of a target that ramps up from `now_us`.
    pub fn new(now_us: u64) -> Self {
        Self { until_us: 0, ramp_from_us: now_us, times: 0, half_open: None }
    }

    /// Creates the state of a target that gets its full traffic at once, as those of the first list do.
    pub fn without_ramp() -> Self {
        Self { until_us: 0, ramp_from_us: 0, times: 0, half_open: None }
    }

    /// Whether the target is ejected.
    pub fn is_ejected(&self, now_us: u64) -> bool {
        now_us < self.until_us
    }

    /// The time in µs at which the last ejection ends; 0 when there was none.
    pub fn until_us(&self) -> u64 {
        self.until_us
    }

    /// Ejects the target for `first_us`, or twice as long as the last time up to a limit.
    pub fn eject(&mut self, now_us: u64, first_us: u64) {
        let duration_us = first_us << self.times.min(EJECTION_GROWTH_MAX);
        self.until_us = now_us + duration_us;
        self.ramp_from_us = self.until_us;
        self.times += 1;
    }

    /// Ejects the target until single calls succeed, the first of them after `first_us` at the latest.
    pub fn eject_half_open(&mut self, now_us: u64, first_us: u64) {
        let half_open = HalfOpen::new(now_us, first_us);
        self.until_us = now_us + half_open.pause_us();
        self.ramp_from_us = 0;
        self.times += 1;
        self.half_open = Some(half_open);
    }

    /// Whether the target gets only single calls.
    pub fn is_half_open(&self) -> bool {
        self.half_open.is_some()
    }

    /// Records that the target was chosen for a call. A single one excludes it until its result or the next pause.
    pub fn note_chosen(&mut self, now_us: u64) {
        if now_us < self.until_us {
            return;
        }
        if let Some(half_open) = &mut self.half_open {
            half_open.note_call();
            self.until_us = now_us + half_open.pause_us();
        }
    }

    /// Records the success of a call; returns whether the target is back after single calls.
    pub fn note_success(&mut self, now_us: u64) -> bool {
        let Some(half_open) = &mut self.half_open else { return false };
        let is_back = half_open.note_success();
        if is_back {
            *self = Self::without_ramp();
        } else if half_open.has_call() {
            self.until_us = now_us;
        }
        is_back
    }

    /// Records the failure of a call, which delays the next single one.
    pub fn note_failure(&mut self, now_us: u64) {
        let Some(half_open) = &mut self.half_open else { return };
        if half_open.note_failure(now_us) {
            self.until_us = now_us + half_open.pause_us();
            self.times += 1;
        }
    }

    /// Records that a guard refused a call, which says nothing of the target's errors.
    pub fn note_not_run(&mut self, now_us: u64) {
        if self.half_open.as_ref().is_some_and(HalfOpen::has_call) {
            self.until_us = now_us;
        }
    }

    /// Resets the number of ejections after the target has served calls successfully for a while.
    pub fn note_recovered(&mut self) {
        self.times = 0;
    }

    /// Number of ejections in a row.
    pub fn times(&self) -> u32 {
        self.times
    }

    /// Share of its full traffic that the target gets now, 0.1 to 1.
    pub fn ramp(&self, now_us: u64, slow_start_us: u64) -> f64 {
        if slow_start_us == 0 || self.ramp_from_us == 0 {
            return 1.0;
        }
        let passed_us = now_us.saturating_sub(self.ramp_from_us);
        let grown = passed_us as f64 / slow_start_us as f64;
        (RAMP_START + (1.0 - RAMP_START) * grown).min(1.0)
    }
}
