//! The level from which a guard admits calls while its target is overloaded.

use crate::{call_level::CallLevel, overload_detector::Interval};
use std::collections::BTreeMap;

/// Weight of an interval in the rates of arrivals and of completed work. A step of the load is followed within a few
/// intervals, although only a few calls arrive in each.
const WEIGHT: f64 = 0.25;
/// Admitted work while overloaded, relative to the completed work; the rest of the capacity drains the queue.
const OVERLOADED_SHARE: f64 = 0.9;
/// Growth of the admitted work in each interval in which no call waited for a moment at least. Twice the load is admitted after 0.8 s,
/// which is slow enough to detect a new overload before its queue is long.
const GROWTH: f64 = 1.1;
/// Number of such intervals after which all calls are admitted: 2 s.
const OPENING_INTERVALS: u32 = 20;
/// Admitted work relative to that of all slots, at least; admission must not stop when a target completes nothing.
const ALLOWED_SHARE_MIN: f64 = 0.1;
/// Work per interval in µs below which the rate of a level is forgotten.
const RATE_MIN_US: f64 = 1.0;

/// Work that arrives with calls of one level, in µs of run time.
#[derive(Debug, Clone, Copy, Default)]
struct LevelArrivals {
    /// Mean per interval.
    rate_us: f64,
    /// In the current interval.
    current_us: f64,
}

/// Sets the lowest admitted level so that the admitted work equals what the target has recently completed.
///
/// Load pattern: 1.5 to 8 times the capacity of a target for seconds, with steps up and down. Work is counted as the
/// usual run time of a call's class, so that classes with short and long runs share one threshold. Nothing is lost if
/// the threshold is wrong for a moment: it is set again after each interval.
#[derive(Debug, Default)]
pub struct AdmissionThreshold {
    arrivals: BTreeMap<CallLevel, LevelArrivals>,
    /// Work completed in the current interval, in µs of run time.
    completed_us: f64,
    /// Work that the target completes in an interval while calls wait; `None` if it was not measured recently.
    capacity_us: Option<f64>,
    /// Work admitted per interval while the threshold is in force.
    allowed_us: f64,
    /// Intervals in which the queue emptied since the last overload; `None` while all calls are admitted.
    calm_intervals: Option<u32>,
    threshold: CallLevel,
}

impl AdmissionThreshold {
    /// Returns the lowest admitted level.
    pub fn threshold(&self) -> CallLevel {
        self.threshold
    }

    /// Returns whether a call of this level is admitted.
    pub fn admits(&self, level: CallLevel) -> bool {
        level >= self.threshold
    }

    /// Returns the work that the target completes in an interval, in µs of run time; `None` if it was not measured.
    pub fn capacity_us(&self) -> Option<f64> {
        self.capacity_us
    }

    /// Records the arrival of a call whose run usually takes `work_us`.
    pub fn note_arrival(&mut self, level: CallLevel, work_us: f64) {
        self.arrivals.entry(level).or_default().current_us += work_us;
    }

    /// Records the end of a run that usually takes `work_us`.
    pub fn note_completed(&mut self, work_us: f64) {
        self.completed_us += work_us;
    }

    /// Sets the threshold for the next interval; `all_slots_us` is the work that all slots do in an interval at the
    /// usual run times.
    pub fn end_interval(&mut self, interval: Interval, all_slots_us: f64) {
        self.update_arrivals();
        self.update_capacity(interval, all_slots_us);
        if interval.is_overloaded {
            let capacity_us = self.capacity_us.unwrap_or(all_slots_us);
            self.allowed_us = (capacity_us * OVERLOADED_SHARE).max(all_slots_us * ALLOWED_SHARE_MIN);
            self.calm_intervals = Some(0);
        } else if !interval.is_saturated {
            // While calls wait all the time, more work would only lengthen the queue.
            self.open_further();
        }
        self.threshold = match self.calm_intervals {
            Some(_) => self.level_for(self.allowed_us),
            None => CallLevel::LOWEST,
        };
    }

    fn open_further(&mut self) {
        self.allowed_us *= GROWTH;
        let calm = self.calm_intervals.map(|intervals| intervals + 1);
        self.calm_intervals = calm.filter(|intervals| *intervals < OPENING_INTERVALS);
    }

    /// Includes the past interval in the rates.
    ///
    /// Entry nodes send few of the calls below the threshold, so the rates of these levels stay as they were.
    fn update_arrivals(&mut self) {
        let threshold = self.threshold;
        for (level, arrivals) in &mut self.arrivals {
            let current_us = std::mem::take(&mut arrivals.current_us);
            if *level >= threshold {
                arrivals.rate_us += WEIGHT * (current_us - arrivals.rate_us);
            }
        }
        self.arrivals.retain(|_, arrivals| arrivals.rate_us >= RATE_MIN_US);
    }

    fn update_capacity(&mut self, interval: Interval, all_slots_us: f64) {
        let completed_us = std::mem::take(&mut self.completed_us);
        if interval.is_saturated {
            let known_us = self.capacity_us.unwrap_or(all_slots_us);
            self.capacity_us = Some(known_us + WEIGHT * (completed_us - known_us));
        } else if self.calm_intervals.is_none() {
            self.capacity_us = None;
        }
    }

    /// Returns the lowest level down to which at most `allowed_us` arrives per interval. The highest level with
    /// arrivals is always admitted.
    fn level_for(&self, allowed_us: f64) -> CallLevel {
        let mut sum_us = 0.0;
        let mut lowest = None;
        for (level, arrivals) in self.arrivals.iter().rev() {
            // A level of which more than half fits is admitted.
            if sum_us + arrivals.rate_us / 2.0 > allowed_us {
                return lowest.unwrap_or(*level);
            }
            sum_us += arrivals.rate_us;
            lowest = Some(*level);
        }
        CallLevel::LOWEST
    }
}
