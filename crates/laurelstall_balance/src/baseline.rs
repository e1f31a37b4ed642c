//! Baseline algorithms, with which the product's own one is compared.

use crate::chooser::{Candidate, Choice, ChoiceContext, Chooser};
use rand::RngExt;
use std::{fmt, sync::Arc};

/// Interval in µs in which [`StaleLeastLoaded`] reads the loads.
pub const REPORT_INTERVAL_US: u64 = 100_000;

/// Chooses a target uniformly at random.
#[derive(Debug, Default)]
pub struct Random;

impl Chooser for Random {
    fn name(&self) -> &'static str {
        "random"
    }

    fn choose(&mut self, candidates: &[Candidate<'_>], context: &mut ChoiceContext<'_>) -> Option<Choice> {
        if candidates.is_empty() {
            return None;
        }
        let at = context.rng.random_range(0..candidates.len());
        Some(Choice::without_cost(candidates[at].index))
    }
}

/// Chooses one target after the other.
#[derive(Debug, Default)]
pub struct RoundRobin {
    next: usize,
}

impl Chooser for RoundRobin {
    fn name(&self) -> &'static str {
        "round_robin"
    }

    fn choose(&mut self, candidates: &[Candidate<'_>], _: &mut ChoiceContext<'_>) -> Option<Choice> {
        if candidates.is_empty() {
            return None;
        }
        self.next = (self.next + 1) % candidates.len();
        Some(Choice::without_cost(candidates[self.next].index))
    }
}

/// Chooses the one of two random targets with fewer calls of this entry node in flight.
#[derive(Debug, Default)]
pub struct TwoChoices;

impl Chooser for TwoChoices {
    fn name(&self) -> &'static str {
        "two_choices"
    }

    fn choose(&mut self, candidates: &[Candidate<'_>], context: &mut ChoiceContext<'_>) -> Option<Choice> {
        if candidates.is_empty() {
            return None;
        }
        let a = &candidates[context.rng.random_range(0..candidates.len())];
        let b = &candidates[context.rng.random_range(0..candidates.len())];
        let better = if a.view.in_flight() <= b.view.in_flight() { a } else { b };
        Some(Choice::without_cost(better.index))
    }
}

/// The true loads of all targets, known only to a single process that runs them all.
pub trait TrueLoads: Send + Sync {
    /// The expected time of a call at `target` now, in µs.
    fn expected_us(&self, target: &str) -> f64;

    /// Records that a call is being sent to `target`, so that the next choice counts it.
    fn note_chosen(&self, target: &str);
}

/// Chooses the least loaded target by loads that are up to [`REPORT_INTERVAL_US`] old.
pub struct StaleLeastLoaded {
    loads: Arc<dyn TrueLoads>,
    reports: Vec<(String, f64)>,
    taken_at_us: Option<u64>,
}

impl StaleLeastLoaded {
    /// Creates a chooser that reads `loads` once per interval.
    pub fn new(loads: Arc<dyn TrueLoads>) -> Self {
        Self { loads, reports: Vec::new(), taken_at_us: None }
    }

    fn reported_load(&self, name: &str) -> f64 {
        let report = self.reports.iter().find(|(other, _)| other == name);
        report.map_or(0.0, |(_, load)| *load)
    }
}

impl Chooser for StaleLeastLoaded {
    fn name(&self) -> &'static str {
        "least_stale"
    }

    fn choose(&mut self, candidates: &[Candidate<'_>], context: &mut ChoiceContext<'_>) -> Option<Choice> {
        let is_due = self.taken_at_us.is_none_or(|at| context.now_us >= at + REPORT_INTERVAL_US);
        if is_due {
            let report = |c: &Candidate<'_>| (c.view.name.clone(), self.loads.expected_us(&c.view.name));
            self.reports = candidates.iter().map(report).collect();
            self.taken_at_us = Some(context.now_us);
        }
        least_loaded(candidates, |name| self.reported_load(name))
    }
}

/// Chooses the target with the lowest true load.
pub struct Oracle {
    loads: Arc<dyn TrueLoads>,
}

impl Oracle {
    /// Creates a chooser that reads `loads` for each call.
    pub fn new(loads: Arc<dyn TrueLoads>) -> Self {
        Self { loads }
    }
}

impl Chooser for Oracle {
    fn name(&self) -> &'static str {
        "oracle"
    }

    fn choose(&mut self, candidates: &[Candidate<'_>], _: &mut ChoiceContext<'_>) -> Option<Choice> {
        let choice = least_loaded(candidates, |name| self.loads.expected_us(name))?;
        let chosen = candidates.iter().find(|candidate| candidate.index == choice.index)?;
        self.loads.note_chosen(&chosen.view.name);
        Some(choice)
    }
}

fn least_loaded(candidates: &[Candidate<'_>], load: impl Fn(&str) -> f64) -> Option<Choice> {
    let loads = candidates.iter().map(|c| (c.index, load(&c.view.name)));
    let (index, _) = loads.min_by(|a, b| a.1.total_cmp(&b.1))?;
    Some(Choice::without_cost(index))
}

impl fmt::Debug for Oracle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Oracle")
    }
}

impl fmt::Debug for StaleLeastLoaded {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("LeastStale").field("reports", &self.reports).finish_non_exhaustive()
    }
}
