//! The product's own algorithm: the lowest expected cost among a few targets, computed from load hints.

use crate::{
    chooser::{Candidate, Choice, ChoiceContext, Chooser, Reason},
    hint::NORMAL_PERCENT,
    target_view::{HINT_HALF_AGE_US, SERVICE_HALF_AGE_US, TargetView},
};
use rand::{RngExt, rngs::SmallRng, seq::IndexedRandom};

/// Number of targets that are compared for each choice.
pub const COMPARED_DEFAULT: usize = 4;
/// Number of remote targets that are compared in addition.
const REMOTE_COMPARED: usize = 4;
/// Expected time in µs that is added for a target that fails every call, and in proportion for others.
const ERROR_PENALTY_US: f64 = 200_000.0;

/// Weight of the expected time relative to the chance of a late answer: of two targets that are likely to be in time,
/// the quicker one is preferred.
const TIME_WEIGHT: f64 = 0.1;
/// Scale of the logistic distribution of response times, relative to the useful time.
const RESPONSE_TIME_SCALE: f64 = 0.2;
/// Lower bound of the useful time in µs: later answers still have some value.
const USEFUL_MIN_US: f64 = 20_000.0;

/// Power of `d` choices by expected cost.
///
/// Where there are many targets, `d` local ones and a few remote ones are compared. A sample of all targets would
/// often contain no local one.
#[derive(Debug, Clone)]
pub struct LeastCost {
    compared: usize,
}

impl LeastCost {
    /// Creates a chooser that compares `compared` targets for each choice.
    pub fn new(compared: usize) -> Self {
        Self { compared }
    }

    /// The candidates that are compared, in random order.
    fn sample_candidates<'a>(
        &self,
        candidates: &'a [Candidate<'a>],
        context: &mut ChoiceContext<'_>,
    ) -> Vec<&'a Candidate<'a>> {
        if candidates.len() <= self.compared {
            return sample(candidates.iter().collect(), self.compared, context.rng);
        }
        let is_local = |candidate: &&Candidate<'_>| candidate.view.remote_cost_percent == 0;
        let (local, remote): (Vec<_>, Vec<_>) = candidates.iter().partition(is_local);
        let remote_compared = if local.is_empty() { self.compared } else { REMOTE_COMPARED };
        let mut compared = sample(local, self.compared, context.rng);
        compared.extend(sample(remote, remote_compared, context.rng));
        compared
    }
}

/// A random sample of `count` candidates, or all of them rotated by a random offset.
fn sample<'a>(
    mut candidates: Vec<&'a Candidate<'a>>,
    count: usize,
    rng: &mut SmallRng,
) -> Vec<&'a Candidate<'a>> {
    if candidates.len() <= count {
        let start = if candidates.is_empty() { 0 } else { rng.random_range(0..candidates.len()) };
        candidates.rotate_left(start);
        return candidates;
    }
    candidates.sample(rng, count).copied().collect()
}

impl Default for LeastCost {
    fn default() -> Self {
        Self::new(COMPARED_DEFAULT)
    }
}

impl Chooser for LeastCost {
    fn name(&self) -> &'static str {
        "laurelstall"
    }

    fn choose(&mut self, candidates: &[Candidate<'_>], context: &mut ChoiceContext<'_>) -> Option<Choice> {
        let mut best: Option<(usize, f64)> = None;
        let mut runner_up = None;
        for candidate in self.sample_candidates(candidates, context) {
            let cost_us = expected_cost_us(candidate.view, context);
            match best {
                Some((_, least)) if cost_us >= least => {
                    if runner_up.is_none_or(|(_, second)| cost_us < second) {
                        runner_up = Some((candidate.index, cost_us));
                    }
                }
                _ => runner_up = best.replace((candidate.index, cost_us)),
            }
        }
        let (index, cost_us) = best?;
        let reason = if candidates.len() == 1 { Reason::Only } else { Reason::LeastCost };
        Some(Choice { index, reason, cost_us, runner_up: runner_up.filter(|(other, _)| *other != index) })
    }

    fn is_baseline(&self) -> bool {
        false
    }
}

/// The expected cost in µs of a call at this target: its expected time, the chance of a late answer, and the cost of a
/// remote data centre.
///
/// Calls without a latency objective have no cost for a late answer.
fn expected_cost_us(view: &TargetView, context: &ChoiceContext<'_>) -> f64 {
    let expected_us = expected_us(view, context);
    let remote_cost =
        if context.waives_remote_cost { 0.0 } else { f64::from(view.remote_cost_percent) / 100.0 };
    match context.useful_us {
        None => expected_us + remote_cost * context.class_mean_us.unwrap_or(context.mean_us),
        Some(useful_us) => {
            let useful_us = useful_us.max(USEFUL_MIN_US);
            let late = late_probability(expected_us, useful_us);
            TIME_WEIGHT * expected_us + (late + remote_cost) * useful_us
        }
    }
}

/// The probability that an answer that is expected after `expected_us` arrives later than `useful_us`.
fn late_probability(expected_us: f64, useful_us: f64) -> f64 {
    1.0 / (1.0 + ((1.0 - expected_us / useful_us) / RESPONSE_TIME_SCALE).exp())
}

/// The expected time in µs of a call at this target: network, queue and service.
///
/// The weight of a hint decays with its age in favour of the means of the service. Calls of this entry node that were
/// sent since the hint count in full.
pub fn expected_us(view: &TargetView, context: &ChoiceContext<'_>) -> f64 {
    let slots = f64::from(view.slots.max(1));
    // This entry node's calls in flight at the target relative to its mean; the freshest information on a target.
    let own_share = (f64::from(view.in_flight()) + 1.0) / (context.own_mean_in_flight + 1.0);
    let mean_in_flight = context.mean_load * slots * own_share;
    let (busy, limit, service_us) = match view.hint(context.now_us) {
        Some((hint, age_us)) => {
            let trust = 1.0 / (1.0 + age_us as f64 / HINT_HALF_AGE_US);
            let reported = f64::from(hint.in_flight + hint.queued);
            let busy = trust * reported + (1.0 - trust) * mean_in_flight;
            let limit = trust * f64::from(hint.limit.max(1)) + (1.0 - trust) * slots;
            // The speed of a target changes more slowly than its load.
            let trust = 1.0 / (1.0 + age_us as f64 / SERVICE_HALF_AGE_US);
            let service_us = trust * f64::from(hint.service_us) + (1.0 - trust) * context.mean_us;
            (busy + f64::from(view.sent_since_hint()), limit, service_us)
        }
        None => {
            let service_us = if view.latency_us() > 0.0 { view.latency_us() } else { context.mean_us };
            (f64::from(view.in_flight()), slots, service_us)
        }
    };
    let slowness = view.slowness_percent(context.now_us) / f64::from(NORMAL_PERCENT);
    let service_us = service_us.max(1.0) * slowness;
    // The call itself takes the time of its class; the calls before it in the queue are of all classes.
    let own_us = context.class_mean_us.map_or(service_us, |class_mean_us| class_mean_us * slowness);
    // A part of the service time in proportion to the load spreads calls evenly over targets below their limit.
    let wait_us = (busy + 1.0 - limit).max(0.0) / limit * service_us;
    let load_us = 0.5 * busy / limit * service_us;
    let error_us = view.error_rate(context.now_us) * ERROR_PENALTY_US;
    let ramp = view.ejection.ramp(context.now_us, context.slow_start_us);
    view.round_trip_us as f64 + (own_us + wait_us + load_us + error_us) / ramp
}
