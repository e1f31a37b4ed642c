//! The border behind which ways to choose a target vary.

use crate::target_view::TargetView;
use rand::rngs::SmallRng;
use std::fmt;

/// One target that a call may go to.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// Its place in the service's list.
    pub index: usize,
    /// What the entry knows of it.
    pub view: &'a TargetView,
}

/// Why a target was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// It was the only one left.
    Only,
    /// Its expected time was the least of those weighed.
    LeastWait,
    /// The way of choosing does not weigh targets.
    Rule,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Only => "only one left",
            Self::LeastWait => "least expected time",
            Self::Rule => "rule",
        })
    }
}

/// A chosen target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Choice {
    /// Its place in the service's list.
    pub index: usize,
    /// Why it was chosen.
    pub reason: Reason,
    /// Its expected time in µs, where the way of choosing has one.
    pub score_us: f64,
    /// The next best that was weighed, with its expected time in µs.
    pub runner_up: Option<(usize, f64)>,
}

impl Choice {
    /// A choice by rule, without scores.
    pub fn by_rule(index: usize) -> Self {
        Self { index, reason: Reason::Rule, score_us: 0.0, runner_up: None }
    }
}

/// What a choice may take into account besides the candidates.
#[derive(Debug)]
pub struct ChoosingContext<'a> {
    /// Now, in µs of the entry's monotonic clock.
    pub now_us: u64,
    /// Ramp of new targets in µs.
    pub slow_start_us: u64,
    /// The service's usual service time in µs, for targets that said nothing yet.
    pub usual_us: f64,
    /// The usual time of calls of this class in µs, if any came back.
    pub class_us: Option<f64>,
    /// Time left in which the answer has its full worth in µs, if anything says so.
    pub useful_us: Option<f64>,
    /// Whether leaving the data centre costs nothing now.
    pub may_leave_free: bool,
    /// The service's usual share of slots in use, for the same.
    pub usual_load: f64,
    /// Own calls in flight at each target of the service, on average.
    pub own_mean: f64,
    /// Randomness.
    pub rng: &'a mut SmallRng,
}

/// A way to choose one of several targets.
pub trait Chooser: Send {
    /// The name used in settings and reports.
    fn name(&self) -> &'static str;

    /// Chooses one of `candidates`; none when there are none.
    fn choose(&mut self, candidates: &[Candidate<'_>], context: &mut ChoosingContext<'_>) -> Option<Choice>;

    /// Whether guards should queue without limit and never hand back, as plain balancers do.
    fn is_plain(&self) -> bool {
        true
    }
}
