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

/// A class of calls that take about the same time: those of one route.
pub type CallClass = u32;

#[derive(Debug, Clone, Copy)]
struct ClassTime {
    mean_us: f64,
    samples: u32,
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
        let time = self.times.entry(class).or_insert(ClassTime { mean_us: run_us, samples: 0 });
        time.samples = time.samples.saturating_add(1);
        let weight = if time.samples <= INITIAL_SAMPLES { INITIAL_WEIGHT } else { WEIGHT };
        time.mean_us += weight * (run_us - time.mean_us);
    }

    /// The mean service time of a class in µs; `None` before its first run.
    pub fn mean_us(&self, class: CallClass) -> Option<f64> {
        self.times.get(&class).map(|time| time.mean_us)
    }
}
