//! The interface of algorithms that choose a target.

use crate::target_view::TargetView;
use rand::rngs::SmallRng;
use std::fmt;

/// A target that may be chosen.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// The target's index in the service's list.
    pub index: usize,
    /// The state of the target as the entry node knows it.
    pub view: &'a TargetView,
}

/// Why a target was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// It was the only candidate.
    Only,
    /// It had the lowest expected cost of those compared.
    LeastCost,
    /// It was chosen by a baseline algorithm, which computes no cost.
    Baseline,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Only => "only one left",
            Self::LeastCost => "least expected time",
            Self::Baseline => "rule",
        })
    }
}

/// A chosen target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Choice {
    /// The target's index in the service's list.
    pub index: usize,
    /// Why the target was chosen.
    pub reason: Reason,
    /// Expected cost in µs: time plus the penalties for a late answer and a remote data centre. 0 when the algorithm
    /// computes none.
    pub cost_us: f64,
    /// Index and expected cost in µs of the second best target, if any was compared.
    pub runner_up: Option<(usize, f64)>,
}

impl Choice {
    /// Creates the choice of an algorithm that computes no costs.
    pub fn without_cost(index: usize) -> Self {
        Self { index, reason: Reason::Baseline, cost_us: 0.0, runner_up: None }
    }
}

/// State of the service and the call that a choice takes into account.
#[derive(Debug)]
pub struct ChoiceContext<'a> {
    /// The current time in µs of the entry node's monotonic clock.
    pub now_us: u64,
    /// Duration of the slow start of new targets in µs.
    pub slow_start_us: u64,
    /// Mean service time of the service in µs, for targets without a fresh hint.
    pub mean_us: f64,
    /// Mean service time of calls of this class in µs; `None` before the first answer.
    pub class_mean_us: Option<f64>,
    /// Remaining time in µs in which the answer has its full value; `None` without a latency objective.
    pub useful_us: Option<f64>,
    /// Whether the cost of a remote data centre is waived.
    pub waives_remote_cost: bool,
    /// Mean share of slots in use, for targets without a fresh hint.
    pub mean_load: f64,
    /// Mean number of this entry node's calls in flight per target of the service.
    pub own_mean_in_flight: f64,
    /// Source of random choices.
    pub rng: &'a mut SmallRng,
}

/// An algorithm that chooses one of several targets.
pub trait Chooser: Send {
    /// The name used in settings and reports.
    fn name(&self) -> &'static str;

    /// Chooses one of `candidates`; `None` when there are none.
    fn choose(&mut self, candidates: &[Candidate<'_>], context: &mut ChoiceContext<'_>) -> Option<Choice>;

    /// Whether guards should queue without limit and never hand back, as behind a baseline balancer.
    fn is_baseline(&self) -> bool {
        true
    }
}
