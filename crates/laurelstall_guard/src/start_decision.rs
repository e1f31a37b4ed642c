//! Decides whether a call for which there is a slot starts now or is held until the target's slow phase ends.
//!
//! The speed of a target at the start of a call determines how long the whole call runs. A call that starts
//! in a short slow phase occupies its slot for a multiple of the normal time and is late; one that waits for
//! the end of the phase often finishes sooner. Both options are compared by their expected utility: the
//! probability of an answer in time, plus a smaller utility of a late answer, less the opportunity cost of
//! the slot.

use crate::target_speed::SpeedForecast;

/// Utility of an answer that comes late but before the deadline; an answer in time has 1. Callers value a
/// late answer at a tenth to a third of one in time, and also the share of calls that are answered at all.
const LATE_UTILITY: f64 = 0.25;
/// Scale of the logistic distribution of run times, relative to the expected one.
const RUN_TIME_SCALE: f64 = 0.2;
/// Number of quantiles at which the remaining time of a slow phase is evaluated.
const QUANTILES: usize = 8;

/// A call that could start now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StartCandidate {
    /// Run time of its class at the target's normal speed, in µs.
    pub run_us: f64,
    /// Remaining time in which an answer meets the latency objective, in µs.
    pub useful_us: f64,
    /// Remaining time to the deadline, in µs.
    pub budget_us: f64,
}

/// Demand for the slots of the target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlotDemand {
    /// Calls that run or wait, divided by the concurrency limit; at most 1.
    pub load: f64,
    /// Mean run time at the target's normal speed, in µs.
    pub run_us: f64,
}

impl SlotDemand {
    /// Returns the opportunity cost of a slot, in answers per µs.
    ///
    /// A slot of an idle target costs nothing; where all are taken, each mean run time costs one answer. In
    /// between, the probability that another call needs this slot grows with the load.
    fn opportunity_cost(&self) -> f64 {
        self.load * self.load / self.run_us.max(1.0)
    }
}

/// Decision on a call for which there is a free slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartDecision {
    /// The call starts.
    Start,
    /// The call waits for the end of the slow phase; the next report triggers a new decision.
    Hold,
}

/// Expected result of the better option for a call that gets a slot.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StartForecast {
    /// The better option.
    pub decision: StartDecision,
    /// Expected time until the answer, in µs, from when the call is the next to get a slot.
    pub done_us: f64,
    /// Expected utility less the opportunity cost of the slot; an answer in time has 1.
    pub utility: f64,
}

impl StartForecast {
    /// Returns the gain in utility that a new report of the target's speed brings to a call that could start
    /// now.
    ///
    /// A report gains something only if it may change the decision: to hold a call, or to try another target
    /// if the call `has_choice`, when the target has turned slow; to start it when the target has turned
    /// quick.
    pub fn report_gain(
        candidate: &StartCandidate,
        speed: &SpeedForecast,
        demand: &SlotDemand,
        has_choice: bool,
    ) -> f64 {
        let quick = SpeedForecast { slow_probability: 0.0, ..*speed };
        let slow = SpeedForecast { slow_probability: 1.0, ..*speed };
        let start_quick = start_utility(candidate, &quick, demand);
        let start_slow = start_utility(candidate, &slow, demand);
        let held = hold_utility(candidate, speed, demand);
        let elsewhere = if has_choice { start_quick } else { held };
        match Self::of(candidate, speed, demand).decision {
            StartDecision::Start => speed.slow_probability * (held.max(elsewhere) - start_slow).max(0.0),
            StartDecision::Hold => (1.0 - speed.slow_probability) * (start_quick - held).max(0.0),
        }
    }

    /// Compares starting and holding one call.
    pub fn of(candidate: &StartCandidate, speed: &SpeedForecast, demand: &SlotDemand) -> Self {
        let quick_us = candidate.run_us * speed.quick_factor;
        let now = start_utility(candidate, speed, demand);
        let held = hold_utility(candidate, speed, demand);
        if held > now {
            let done_us = speed.slow_left_us + quick_us;
            return Self { decision: StartDecision::Hold, done_us, utility: held };
        }
        let done_us = quick_us * (1.0 + speed.slow_probability * (speed.slow_ratio - 1.0));
        Self { decision: StartDecision::Start, done_us, utility: now }
    }
}

/// Returns the expected utility of starting now.
fn start_utility(candidate: &StartCandidate, speed: &SpeedForecast, demand: &SlotDemand) -> f64 {
    let quick_us = candidate.run_us * speed.quick_factor;
    let slow_us = quick_us * speed.slow_ratio;
    let quick = answer_utility(candidate, quick_us) - demand.opportunity_cost() * quick_us;
    let slow = answer_utility(candidate, slow_us) - demand.opportunity_cost() * slow_us;
    speed.slow_probability * slow + (1.0 - speed.slow_probability) * quick
}

/// Returns the expected utility of starting as soon as the slow phase ends.
///
/// The remaining time of a phase is exponentially distributed, so it is evaluated at the medians of equally
/// likely parts. The slot stays empty meanwhile, which costs as much as a run.
fn hold_utility(candidate: &StartCandidate, speed: &SpeedForecast, demand: &SlotDemand) -> f64 {
    let quick_us = candidate.run_us * speed.quick_factor;
    let parts = (0..QUANTILES).map(|part| {
        let quantile = (part as f64 + 0.5) / QUANTILES as f64;
        let wait_us = -(1.0 - quantile).ln() * speed.slow_left_us;
        let done_us = wait_us + quick_us;
        answer_utility(candidate, done_us) - demand.opportunity_cost() * done_us
    });
    parts.sum::<f64>() / QUANTILES as f64
}

/// Returns the utility of an answer expected after `done_us`.
fn answer_utility(candidate: &StartCandidate, done_us: f64) -> f64 {
    let in_time = done_by_probability(done_us, candidate.useful_us);
    let in_budget = done_by_probability(done_us, candidate.budget_us);
    in_time + LATE_UTILITY * (in_budget - in_time).max(0.0)
}

/// Returns the probability that a run expected to take `done_us` ends within `limit_us`.
fn done_by_probability(done_us: f64, limit_us: f64) -> f64 {
    if limit_us <= 0.0 {
        return 0.0;
    }
    1.0 / (1.0 + ((done_us / limit_us - 1.0) / RUN_TIME_SCALE).exp())
}
