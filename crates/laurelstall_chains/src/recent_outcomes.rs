//! The outcomes of the latest calls to one service, by level.

use crate::call_end::NestedOutcome;
use laurelstall_overload::call_level::{BUCKETS, CallLevel};
use std::{collections::VecDeque, ops::RangeInclusive};

/// Age from which an outcome says nothing any more, in µs: a service that has recovered is to be called again within a
/// second.
pub const FORGOTTEN_US: u64 = 1_000_000;
/// Time in which the weight of an outcome falls to half, in µs.
const HALF_LIFE_US: f64 = 250_000.0;
/// Number of outcomes kept; at higher rates the latest ones cover less than [`FORGOTTEN_US`].
const OUTCOMES_MAX: usize = 64;
/// Number of outcomes from which the service may be found failing. A node of a large fleet sees about six a second.
const OUTCOMES_MIN: usize = 3;
/// Number of refusals by level from which a level counts as refused. One guard may be fuller than the others.
const LEVEL_REFUSALS_MIN: usize = 2;

#[derive(Debug, Clone, Copy)]
struct Sample {
    at_us: u64,
    level: CallLevel,
    outcome: NestedOutcome,
}

impl Sample {
    /// Returns the weight of the sample at `now_us`, 0 to 1.
    fn weight(&self, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.at_us);
        if age_us >= FORGOTTEN_US { 0.0 } else { (-(age_us as f64) / HALF_LIFE_US).exp2() }
    }
}

/// Outcomes that bear on one question, and their weights.
#[derive(Debug, Clone, Copy, Default)]
struct Evidence {
    failures: usize,
    outcomes: usize,
    failed: f64,
    answered: f64,
}

impl Evidence {
    fn answered_share(&self) -> f64 {
        self.answered / (self.answered + self.failed)
    }
}

/// The outcomes of the calls that the runs of one class made to one service in the last second.
///
/// Services serve calls of higher levels first. So a failure says something on the same level and those below it, and
/// an answer on the same level and those above it.
#[derive(Debug, Clone, Default)]
pub struct RecentOutcomes {
    samples: VecDeque<Sample>,
}

impl RecentOutcomes {
    /// Adds the outcome of a call.
    pub fn note(&mut self, level: CallLevel, outcome: NestedOutcome, now_us: u64) {
        if self.samples.len() == OUTCOMES_MAX {
            self.samples.pop_front();
        }
        self.samples.push_back(Sample { at_us: now_us, level, outcome });
    }

    /// Returns the share of recent calls that were answered, among those that show how a call of this level would fare;
    /// `None` when there are too few.
    ///
    /// Failures that depend on the level are told by it exactly. Others count for all calls of the same importance,
    /// whatever their bucket: a service that fails at random would else be found to fail at low buckets.
    pub fn answered_share(&self, level: CallLevel, now_us: u64) -> Option<f64> {
        let by_level = self.evidence(NestedOutcome::RefusedByLevel, &(level..=level), now_us);
        let has_level = by_level.failures >= LEVEL_REFUSALS_MIN;
        let same_importance = with_importance(level.importance);
        let by_importance = self.evidence(NestedOutcome::Failed, &same_importance, now_us);
        let has_importance = by_importance.outcomes >= OUTCOMES_MIN;
        let shares = [
            has_level.then(|| by_level.answered_share()),
            has_importance.then(|| by_importance.answered_share()),
        ];
        shares.into_iter().flatten().reduce(f64::min)
    }

    /// Returns the levels of the calls that were refused by level in the last second.
    pub fn refused_levels(&self, now_us: u64) -> impl Iterator<Item = CallLevel> {
        let recent = self.samples.iter().filter(move |sample| sample.weight(now_us) > 0.0);
        recent.filter(|sample| sample.outcome == NestedOutcome::RefusedByLevel).map(|sample| sample.level)
    }

    /// Collects the failures of one kind from the start of `levels` on, and the answers up to their end.
    fn evidence(&self, failure: NestedOutcome, levels: &RangeInclusive<CallLevel>, now_us: u64) -> Evidence {
        let mut evidence = Evidence::default();
        for sample in &self.samples {
            let weight = sample.weight(now_us);
            if weight == 0.0 {
                continue;
            }
            if sample.outcome == failure && sample.level >= *levels.start() {
                evidence.failures += 1;
                evidence.outcomes += 1;
                evidence.failed += weight;
            }
            if sample.outcome == NestedOutcome::Answered && sample.level <= *levels.end() {
                evidence.outcomes += 1;
                evidence.answered += weight;
            }
        }
        evidence
    }
}

/// Returns all levels of an importance.
fn with_importance(importance: u8) -> RangeInclusive<CallLevel> {
    CallLevel { importance, bucket: 0 }..=CallLevel { importance, bucket: BUCKETS - 1 }
}
