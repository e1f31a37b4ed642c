//! Mean service time of each class of calls at normal speed of the target.

use std::collections::HashMap;

/// Largest number of classes; the calls of further ones are counted as class 0.
const CLASSES_MAX: usize = 1_024;
/// Weight of a new sample.
const WEIGHT: f64 = 0.05;
/// Weight of a new sample while a class has few.
const INITIAL_WEIGHT: f64 = 0.3;
/// Number of samples of a class that have the initial weight.
const INITIAL_SAMPLES: u32 = 10;

/// Number of runs in a row, all clearly shorter than the mean, after which they replace it.
const SHORT_RUNS: u32 = 6;
/// Share of the mean below which a run is clearly shorter.
const SHORT_SHARE: f64 = 0.67;

/// A class of calls that take about the same time: those of one route.
pub type CallClass = u32;

#[derive(Debug, Clone, Copy)]
struct ClassTime {
    mean_us: f64,
    samples: u32,
    /// Runs in a row that were clearly shorter than the mean, and the sum of their times.
    short_runs: u32,
    short_sum_us: f64,
}

impl ClassTime {
    /// Replaces a mean from a time when the target was slow by that of recent runs, if all were clearly shorter; returns
    /// whether it did.
    ///
    /// Long runs do not replace it as quickly: the guard would refuse calls that will be in time.
    fn forget_slow_runs(&mut self, run_us: f64) -> bool {
        if run_us >= SHORT_SHARE * self.mean_us {
            (self.short_runs, self.short_sum_us) = (0, 0.0);
            return false;
        }
        self.short_runs += 1;
        self.short_sum_us += run_us;
        let is_forgotten = self.short_runs >= SHORT_RUNS;
        if is_forgotten {
            let mean_us = self.short_sum_us / f64::from(self.short_runs);
            *self = Self { mean_us, samples: self.short_runs, short_runs: 0, short_sum_us: 0.0 };
        }
        is_forgotten
    }
}

/// Mean service times by class, corrected for the slowness of the target.
#[derive(Debug, Clone, Default)]
pub struct ClassTimes {
    times: HashMap<CallClass, ClassTime>,
}

impl ClassTimes {
    /// Adds the service time of a run, in µs.
    pub fn note(&mut self, class: CallClass, run_us: f64) {
        let class = if self.times.len() < CLASSES_MAX || self.times.contains_key(&class) { class } else { 0 };
        let time = self.times.entry(class).or_insert(ClassTime {
            mean_us: run_us,
            samples: 0,
            short_runs: 0,
            short_sum_us: 0.0,
        });
        time.samples = time.samples.saturating_add(1);
        let weight = if time.samples <= INITIAL_SAMPLES { INITIAL_WEIGHT } else { WEIGHT };
        time.mean_us += weight * (run_us - time.mean_us);
    }

    /// Replaces the mean of a class by that of recent runs, if the last few, of which one took `run_us`, were all clearly
    /// shorter; returns whether it did.
    ///
    /// It is called after [`ClassTimes::note`] where the times of a slow target are to be forgotten when it is quick again.
    pub fn forget_slow_runs(&mut self, class: CallClass, run_us: f64) -> bool {
        self.times.get_mut(&class).is_some_and(|time| time.forget_slow_runs(run_us))
    }

    /// Multiplies all means by `factor`, because runs take that much longer or shorter from now on.
    pub fn scale(&mut self, factor: f64) {
        self.times.values_mut().for_each(|time| time.mean_us *= factor);
    }

    /// The mean service time of a class in µs; `None` before its first run.
    pub fn mean_us(&self, class: CallClass) -> Option<f64> {
        self.times.get(&class).map(|time| time.mean_us)
    }
}
