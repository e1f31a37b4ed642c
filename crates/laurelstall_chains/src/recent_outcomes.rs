//! The outcomes of the latest calls to one service, by level.

use crate::call_end::NestedOutcome;
use laurelstall_overload::call_level::CallLevel;
use std::{collections::VecDeque, ops::RangeInclusive};

/// Age from which refusals by level are forgotten, and all outcomes unless there are later ones, in µs: a service that has
/// recovered is to be called again within a second.
pub const FORGOTTEN_US: u64 = 1_000_000;
/// Age up to which other outcomes count beside later ones, in µs. A node of a large fleet makes about four calls a second
/// to a service that fails.
const COUNTED_US: u64 = 2_000_000;
/// Number of outcomes kept, so that each level finds enough that bear on it.
const OUTCOMES_MAX: usize = 64;
/// Number of the latest outcomes that decide. Of 12 calls to a service that answers 40 % at random, fewer than two are
/// answered in a fiftieth of the cases.
const DECIDING_MAX: usize = 12;
/// Number of outcomes from which the service may be found failing. At seven calls a second, most of them refused, there are
/// hardly more within [`COUNTED_US`].
const DECIDING_MIN: usize = 4;
/// Number of refusals by level from which a level counts as refused. One guard may be fuller than the others.
const LEVEL_REFUSALS_MIN: usize = 2;

#[derive(Debug, Clone, Copy)]
struct Sample {
    at_us: u64,
    level: CallLevel,
    outcome: NestedOutcome,
}

/// Number of outcomes that bear on one question.
#[derive(Debug, Clone, Copy, Default)]
struct Evidence {
    failed: usize,
    answered: usize,
}

impl Evidence {
    fn outcomes(&self) -> usize {
        self.failed + self.answered
    }

    fn answered_share(&self) -> f64 {
        self.answered as f64 / self.outcomes() as f64
    }
}

/// The latest outcomes of the calls that the runs of one class made to one service.
///
/// Services serve calls of higher levels first. So a failure says something on the same level and those below it, and
/// an answer on the same level and those above it. The number of outcomes that decide is fixed, so that the decision is
/// as certain at a few calls a second as at hundreds, where it is quicker.
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
    /// Refusals by level count only for their own level and those below. Other failures count for all buckets of their
    /// importance; otherwise a service that fails at random would appear to fail only at low buckets.
    pub fn answered_share(&self, level: CallLevel, now_us: u64) -> Option<f64> {
        let is_known = self.samples.back().is_some_and(|sample| sample.at_us + FORGOTTEN_US > now_us);
        if !is_known {
            return None;
        }
        let after_us = now_us.saturating_sub(FORGOTTEN_US);
        let by_level = self.evidence(NestedOutcome::RefusedByLevel, &(level..=level), after_us);
        let after_us = now_us.saturating_sub(COUNTED_US);
        let same_importance = level.lowest_of_importance()..=level.highest_of_importance();
        let by_importance = self.evidence(NestedOutcome::Failed, &same_importance, after_us);
        let shares = [
            (by_level.failed >= LEVEL_REFUSALS_MIN).then(|| by_level.answered_share()),
            (by_importance.outcomes() >= DECIDING_MIN).then(|| by_importance.answered_share()),
        ];
        shares.into_iter().flatten().reduce(f64::min)
    }

    /// Returns the levels of the calls that were refused by level in the last second.
    pub fn refused_levels(&self, now_us: u64) -> impl Iterator<Item = CallLevel> {
        let recent = self.samples.iter().filter(move |sample| sample.at_us + FORGOTTEN_US > now_us);
        recent.filter(|sample| sample.outcome == NestedOutcome::RefusedByLevel).map(|sample| sample.level)
    }

    /// Counts the latest failures of one kind from the start of `levels` on, and the latest answers up to their end.
    fn evidence(
        &self,
        failure: NestedOutcome,
        levels: &RangeInclusive<CallLevel>,
        after_us: u64,
    ) -> Evidence {
        let bears = |sample: &&Sample| match sample.outcome {
            NestedOutcome::Answered => sample.level <= *levels.end(),
            outcome => outcome == failure && sample.level >= *levels.start(),
        };
        let recent = self.samples.iter().rev().take_while(|sample| sample.at_us > after_us);
        let deciding = recent.filter(bears).take(DECIDING_MAX);
        deciding.fold(Evidence::default(), |evidence, sample| match sample.outcome {
            NestedOutcome::Answered => Evidence { answered: evidence.answered + 1, ..evidence },
            _ => Evidence { failed: evidence.failed + 1, ..evidence },
        })
    }
}
