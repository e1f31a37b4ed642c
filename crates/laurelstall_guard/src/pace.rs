//! How fast the target works: its last report, and what is expected of the time after it.

use crate::phase_times::PhaseTimes;
use laurelstall_balance::hint::USUAL_PERCENT;
use std::ops::RangeInclusive;

/// A report older than this says nothing any more, in µs: neighbours come and go faster.
const REPORT_AGE_MAX_US: u64 = 500_000;
/// Bounds of a report that is believed, in percent.
const BELIEVED_PERCENT: RangeInclusive<u32> = 20..=10_000;
/// Multiple of the target's best recent pace from which it is in a slow phase.
const SLOW_FACTOR: f64 = 1.5;
/// How long the best pace is remembered, in µs, at least; at most twice as long. What lasts longer, as
/// a cold start or a slow host does, is the target's usual pace for the time being.
const BEST_MEMORY_US: u64 = 1_000_000;
/// Multiple of the mean phase from which a slow phase is taken for another kind of trouble, which may
/// last as long again as it has lasted.
const LONG_PHASE_FACTOR: f64 = 3.0;
/// Slow pace that is assumed before any slow phase was seen, relative to the quick one.
const SLOW_RATIO_START: f64 = 3.0;
/// Weight of a new slow report in the mean slow pace.
const SLOW_RATIO_WEIGHT: f64 = 0.1;
/// A target's report on how long its work takes, in percent of the usual.
#[derive(Debug, Clone, Copy)]
struct Report {
    slowness_percent: u32,
    at_us: u64,
}

/// The lowest report of the present and of the previous span of [`BEST_MEMORY_US`].
#[derive(Debug, Clone, Copy, Default)]
struct BestPace {
    present_percent: Option<u32>,
    previous_percent: Option<u32>,
    since_us: u64,
}

impl BestPace {
    fn note(&mut self, slowness_percent: u32, now_us: u64) {
        if now_us.saturating_sub(self.since_us) > BEST_MEMORY_US {
            self.previous_percent = self.present_percent.take();
            self.since_us = now_us;
        }
        let least = self.present_percent.map_or(slowness_percent, |known| known.min(slowness_percent));
        self.present_percent = Some(least);
    }

    fn percent(&self) -> Option<u32> {
        self.present_percent.into_iter().chain(self.previous_percent).min()
    }
}

/// What is expected of a target's pace from one instant on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PaceOutlook {
    /// How long work takes outside of slow phases, relative to the usual.
    pub quick_factor: f64,
    /// How long work takes in a slow phase, relative to a quick one; above 1.
    pub slow_ratio: f64,
    /// The chance that the target is in a slow phase now.
    pub slow_chance: f64,
    /// How much longer a slow phase is expected to last, in µs.
    pub slow_left_us: f64,
}

/// The pace of one target, learnt from its reports.
#[derive(Debug, Clone, Copy, Default)]
pub struct Pace {
    report: Option<Report>,
    best: BestPace,
    phases: PhaseTimes,
    /// Since when the target has been in the phase of the last report, in µs.
    phase_since_us: u64,
    /// Mean pace in slow phases relative to quick ones; none before the first.
    slow_ratio: Option<f64>,
}

impl Pace {
    /// Takes the target's report: how long work takes, in percent of the usual.
    pub fn note(&mut self, slowness_percent: u32, now_us: u64) {
        let believed = slowness_percent.clamp(*BELIEVED_PERCENT.start(), *BELIEVED_PERCENT.end());
        let was_slow = self.report.map(|report| self.is_slow(report.slowness_percent));
        self.best.note(believed, now_us);
        let is_slow = self.is_slow(believed);
        if let (Some(report), Some(was_slow)) = (self.report, was_slow) {
            self.phases.note(was_slow, is_slow, now_us.saturating_sub(report.at_us));
        }
        if was_slow != Some(is_slow) {
            self.phase_since_us = now_us;
        }
        if is_slow {
            self.note_slow_ratio(f64::from(believed) / self.best_percent());
        }
        self.report = Some(Report { slowness_percent: believed, at_us: now_us });
    }

    /// How long work takes now, in percent of the usual, as far as is known.
    pub fn slowness_percent(&self, now_us: u64) -> u32 {
        let fresh = self.report.filter(|report| now_us.saturating_sub(report.at_us) <= REPORT_AGE_MAX_US);
        fresh.map_or(USUAL_PERCENT, |report| report.slowness_percent)
    }

    /// How long work takes outside of slow phases, in percent of the usual.
    pub fn quick_percent(&self, now_us: u64) -> u32 {
        let is_known = self.age_us(now_us).is_some_and(|age_us| age_us <= REPORT_AGE_MAX_US);
        if is_known { self.best_percent() as u32 } else { USUAL_PERCENT }
    }

    /// Age of the last report in µs; none when there was none.
    pub fn age_us(&self, now_us: u64) -> Option<u64> {
        self.report.map(|report| now_us.saturating_sub(report.at_us))
    }

    /// What is expected of the pace from now on.
    pub fn outlook(&self, now_us: u64) -> PaceOutlook {
        let mean_ratio = self.slow_ratio.unwrap_or(SLOW_RATIO_START);
        let Some(report) = self.report else {
            let slow_left_us = self.phases.slow_us();
            return PaceOutlook { quick_factor: 1.0, slow_ratio: mean_ratio, slow_chance: 0.0, slow_left_us };
        };
        let age_us = now_us.saturating_sub(report.at_us);
        let is_slow = self.is_slow(report.slowness_percent);
        let present_ratio = f64::from(report.slowness_percent) / self.best_percent();
        let quick_factor = self.best_percent() / f64::from(USUAL_PERCENT);
        PaceOutlook {
            quick_factor,
            slow_ratio: if is_slow { present_ratio } else { mean_ratio },
            slow_chance: if is_slow {
                self.phases.still_slow_chance(age_us)
            } else {
                self.phases.slow_chance(age_us)
            },
            slow_left_us: self.slow_left_us(is_slow, now_us),
        }
    }

    /// The chance that the target is in the same phase as at its last report.
    pub fn same_phase_chance(&self, now_us: u64) -> f64 {
        let Some(report) = self.report else { return 0.0 };
        let age_us = now_us.saturating_sub(report.at_us);
        if self.is_slow(report.slowness_percent) {
            self.phases.still_slow_chance(age_us)
        } else {
            1.0 - self.phases.slow_chance(age_us)
        }
    }

    fn slow_left_us(&self, is_slow: bool, now_us: u64) -> f64 {
        let mean_us = self.phases.slow_us();
        let lasted_us = now_us.saturating_sub(self.phase_since_us) as f64;
        let is_long = is_slow && lasted_us > LONG_PHASE_FACTOR * mean_us;
        if is_long { lasted_us } else { mean_us }
    }

    fn is_slow(&self, slowness_percent: u32) -> bool {
        f64::from(slowness_percent) >= SLOW_FACTOR * self.best_percent()
    }

    fn best_percent(&self) -> f64 {
        f64::from(self.best.percent().unwrap_or(USUAL_PERCENT))
    }

    fn note_slow_ratio(&mut self, ratio: f64) {
        let known = self.slow_ratio.unwrap_or(ratio);
        self.slow_ratio = Some(known + SLOW_RATIO_WEIGHT * (ratio - known));
    }
}
