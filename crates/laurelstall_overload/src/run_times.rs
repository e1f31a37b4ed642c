//! Distribution of run times by class, and the probability that a run ends in time.

use std::collections::HashMap;

/// Upper bound of the first bucket in µs; shorter runs are in time wherever longer ones are.
const FIRST_BUCKET_US: f64 = 1_000.0;
/// Ratio of the bounds of successive buckets.
const BUCKET_RATIO: f64 = 1.2;
/// Number of buckets; the last bound is about 80 s.
const BUCKETS: usize = 64;
/// Weight of a new run. The last 30 or so runs count, which is a second or less at a busy target.
const WEIGHT: f64 = 0.03;
/// Number of runs of a class before its distribution is used.
const RUNS_MIN: u32 = 8;
/// Largest number of classes; the runs of further ones are not recorded.
const CLASSES_MAX: usize = 128;
/// Probability of an answer in time that a call must keep, relative to that of a call that has just arrived.
const IN_TIME_SHARE_MIN: f64 = 0.9;
/// Factor by which the longest useful time of a class shrinks with each call.
const USEFUL_DECAY: f64 = 0.995;

/// Run times of one class.
#[derive(Debug, Clone)]
struct ClassRuns {
    /// Share of the runs in each bucket.
    shares: [f64; BUCKETS],
    runs: u32,
    /// Longest recent useful time of a call on arrival, in µs.
    useful_us: f64,
}

impl ClassRuns {
    fn note(&mut self, run_us: f64) {
        self.runs = self.runs.saturating_add(1);
        let weight = WEIGHT.max(1.0 / f64::from(self.runs));
        self.shares.iter_mut().for_each(|share| *share *= 1.0 - weight);
        self.shares[bucket_of(run_us)] += weight;
    }

    /// Returns the share of the runs that took at most `limit_us`.
    fn share_within(&self, limit_us: f64) -> f64 {
        self.shares[..bucket_of(limit_us)].iter().sum()
    }
}

/// Judges whether a call that starts now will be answered in time.
///
/// Load pattern: an overload, in which a slot that is spent on a late answer is lost for one in time. The mean run time
/// is too short for this: half of the calls that start with just the mean left are late. A call must therefore
/// have as much time left as a high quantile of the run times. This quantile is relative to the share of runs that
/// end within the whole useful time, because in slow phases a target may answer a quarter of all calls late
/// however early they start.
#[derive(Debug, Default)]
pub struct RunTimes {
    classes: HashMap<u32, ClassRuns>,
}

impl RunTimes {
    /// Records the useful time that a call of `class` had left on its arrival, in µs.
    pub fn note_useful(&mut self, class: u32, useful_us: f64) {
        if let Some(runs) = self.classes.get_mut(&class) {
            runs.useful_us = (runs.useful_us * USEFUL_DECAY).max(useful_us);
        }
    }

    /// Returns the longest recent useful time of calls of `class` on arrival, in µs; 0 if it is not known.
    pub fn useful_us(&self, class: u32) -> f64 {
        self.classes.get(&class).map_or(0.0, |runs| runs.useful_us)
    }

    /// Records a run of `class` that took `run_us` µs.
    pub fn note_run(&mut self, class: u32, run_us: f64) {
        if self.classes.len() >= CLASSES_MAX && !self.classes.contains_key(&class) {
            return;
        }
        let new = || ClassRuns { shares: [0.0; BUCKETS], runs: 0, useful_us: 0.0 };
        self.classes.entry(class).or_insert_with(new).note(run_us);
    }

    /// Returns whether a run of `class` that starts with `left_us` µs of useful time left will probably be in time. A
    /// class with few runs is not judged.
    pub fn is_in_time(&self, class: u32, left_us: f64) -> bool {
        if left_us <= 0.0 {
            return false;
        }
        let Some(runs) = self.classes.get(&class).filter(|runs| runs.runs >= RUNS_MIN) else { return true };
        let useful_us = runs.useful_us.max(left_us);
        runs.share_within(left_us) >= IN_TIME_SHARE_MIN * runs.share_within(useful_us)
    }
}

fn bucket_of(run_us: f64) -> usize {
    let steps = (run_us / FIRST_BUCKET_US).max(1.0).ln() / BUCKET_RATIO.ln();
    (steps.ceil() as usize).min(BUCKETS - 1)
}
