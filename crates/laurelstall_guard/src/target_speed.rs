//! Speed of a target: its last report, and a forecast of its speed after that.
//!
//! Slowness is how long work takes, in percent. Normal is the target's speed when it reports 100 %; quick is
//! its best recent speed; in a slow phase work takes at least 1.5 times as long as at the quick speed.

use crate::phase_times::PhaseTimes;
use laurelstall_balance::hint::NORMAL_PERCENT;
use std::ops::RangeInclusive;

/// Age above which a report is ignored, in µs; neighbours on the host come and go faster than this.
const REPORT_AGE_MAX_US: u64 = 500_000;
/// Reports are clamped to this range, in percent.
const ACCEPTED_PERCENT: RangeInclusive<u32> = 20..=10_000;
/// A target is in a slow phase from this multiple of its lowest recent slowness.
const SLOW_PHASE_FACTOR: f64 = 1.5;
/// Length of the window of the lowest slowness, in µs; two windows are remembered. Slowness that lasts
/// longer, such as a cold start or a slow host, becomes the target's quick speed.
const LOWEST_WINDOW_US: u64 = 1_000_000;
/// A slow phase longer than this multiple of the mean is expected to last as long again as it has lasted. Its
/// cause is then taken to be another one than in usual slow phases.
const LONG_PHASE_FACTOR: f64 = 3.0;
/// Slowness of slow phases relative to quick ones, assumed before the first slow phase.
const INITIAL_SLOW_RATIO: f64 = 3.0;
/// Weight of a new report in the moving average of slow phases.
const SLOW_RATIO_WEIGHT: f64 = 0.1;

/// A target's report of how long its work takes, in percent of normal.
#[derive(Debug, Clone, Copy)]
struct Report {
    slowness_percent: u32,
    at_us: u64,
}

/// Lowest slowness reported in the current and in the previous window of [`LOWEST_WINDOW_US`].
#[derive(Debug, Clone, Copy, Default)]
struct LowestSlowness {
    current_percent: Option<u32>,
    previous_percent: Option<u32>,
    since_us: u64,
}

impl LowestSlowness {
    fn note(&mut self, slowness_percent: u32, now_us: u64) {
        if now_us.saturating_sub(self.since_us) > LOWEST_WINDOW_US {
            self.previous_percent = self.current_percent.take();
            self.since_us = now_us;
        }
        let least = self.current_percent.map_or(slowness_percent, |known| known.min(slowness_percent));
        self.current_percent = Some(least);
    }

    fn percent(&self) -> Option<u32> {
        self.current_percent.into_iter().chain(self.previous_percent).min()
    }
}

/// Forecast of a target's speed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SpeedForecast {
    /// How long work takes outside of slow phases, relative to normal.
    pub quick_factor: f64,
    /// How long work takes in a slow phase, relative to a quick one; above 1.
    pub slow_ratio: f64,
    /// Probability that the target is in a slow phase now.
    pub slow_probability: f64,
    /// Expected remaining time of a slow phase, in µs.
    pub slow_left_us: f64,
}

/// Speed of one target, learnt from its reports.
#[derive(Debug, Clone, Copy, Default)]
pub struct TargetSpeed {
    report: Option<Report>,
    lowest: LowestSlowness,
    phases: PhaseTimes,
    /// Start of the phase of the last report, in µs.
    phase_since_us: u64,
    /// Mean slowness in slow phases relative to quick ones; `None` before the first.
    slow_ratio: Option<f64>,
}

impl TargetSpeed {
    /// Sets whether a slow phase as long as a fault counts little for the usual length of slow phases.
    pub fn set_fast_recovery(&mut self, has_fast_recovery: bool) {
        self.phases.set_fast_recovery(has_fast_recovery);
    }

    /// Records the target's report of how long work takes, in percent of normal.
    pub fn note(&mut self, slowness_percent: u32, now_us: u64) {
        let accepted = slowness_percent.clamp(*ACCEPTED_PERCENT.start(), *ACCEPTED_PERCENT.end());
        let was_slow = self.report.map(|report| self.is_slow(report.slowness_percent));
        self.lowest.note(accepted, now_us);
        let is_slow = self.is_slow(accepted);
        if let (Some(report), Some(was_slow)) = (self.report, was_slow) {
            self.phases.note(was_slow, is_slow, now_us.saturating_sub(report.at_us));
        }
        if was_slow != Some(is_slow) {
            self.phase_since_us = now_us;
        }
        if is_slow {
            self.note_slow_ratio(f64::from(accepted) / self.lowest_percent());
        }
        self.report = Some(Report { slowness_percent: accepted, at_us: now_us });
    }

    /// Returns how long work takes now, in percent of normal; 100 when there is no recent report.
    pub fn slowness_percent(&self, now_us: u64) -> u32 {
        let fresh = self.report.filter(|report| now_us.saturating_sub(report.at_us) <= REPORT_AGE_MAX_US);
        fresh.map_or(NORMAL_PERCENT, |report| report.slowness_percent)
    }

    /// Returns how long work takes outside of slow phases, in percent of normal.
    pub fn quick_percent(&self, now_us: u64) -> u32 {
        let is_known = self.age_us(now_us).is_some_and(|age_us| age_us <= REPORT_AGE_MAX_US);
        if is_known { self.lowest_percent() as u32 } else { NORMAL_PERCENT }
    }

    /// Returns the age of the last report in µs; `None` when there was none.
    pub fn age_us(&self, now_us: u64) -> Option<u64> {
        self.report.map(|report| now_us.saturating_sub(report.at_us))
    }

    /// Returns the forecast from now on.
    pub fn forecast(&self, now_us: u64) -> SpeedForecast {
        let mean_ratio = self.slow_ratio.unwrap_or(INITIAL_SLOW_RATIO);
        let Some(report) = self.report else {
            let slow_left_us = self.phases.slow_us();
            return SpeedForecast {
                quick_factor: 1.0,
                slow_ratio: mean_ratio,
                slow_probability: 0.0,
                slow_left_us,
            };
        };
        let age_us = now_us.saturating_sub(report.at_us);
        let is_slow = self.is_slow(report.slowness_percent);
        let current_ratio = f64::from(report.slowness_percent) / self.lowest_percent();
        let quick_factor = self.lowest_percent() / f64::from(NORMAL_PERCENT);
        SpeedForecast {
            quick_factor,
            slow_ratio: if is_slow { current_ratio } else { mean_ratio },
            slow_probability: if is_slow {
                self.phases.still_slow_probability(age_us)
            } else {
                self.phases.slow_probability(age_us)
            },
            slow_left_us: self.slow_left_us(is_slow, now_us),
        }
    }

    /// Returns the probability that the target is in the same phase as at its last report.
    pub fn same_phase_probability(&self, now_us: u64) -> f64 {
        let Some(report) = self.report else { return 0.0 };
        let age_us = now_us.saturating_sub(report.at_us);
        if self.is_slow(report.slowness_percent) {
            self.phases.still_slow_probability(age_us)
        } else {
            1.0 - self.phases.slow_probability(age_us)
        }
    }

    fn slow_left_us(&self, is_slow: bool, now_us: u64) -> f64 {
        let mean_us = self.phases.slow_us();
        let lasted_us = now_us.saturating_sub(self.phase_since_us) as f64;
        let is_long = is_slow && lasted_us > LONG_PHASE_FACTOR * mean_us;
        if is_long { lasted_us } else { mean_us }
    }

    fn is_slow(&self, slowness_percent: u32) -> bool {
        f64::from(slowness_percent) >= SLOW_PHASE_FACTOR * self.lowest_percent()
    }

    fn lowest_percent(&self) -> f64 {
        f64::from(self.lowest.percent().unwrap_or(NORMAL_PERCENT))
    }

    fn note_slow_ratio(&mut self, ratio: f64) {
        let known = self.slow_ratio.unwrap_or(ratio);
        self.slow_ratio = Some(known + SLOW_RATIO_WEIGHT * (ratio - known));
    }
}
