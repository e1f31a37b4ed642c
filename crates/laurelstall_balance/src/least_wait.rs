//! The product's own way to choose: the least expected time among a few, from aged hints.

use crate::{
    chooser::{Candidate, Choice, Chooser, ChoosingContext, Reason},
    hint::USUAL_PERCENT,
    target_view::{HINT_HALF_AGE_US, SERVICE_HALF_AGE_US, TargetView},
};
use rand::{RngExt, rngs::SmallRng, seq::IndexedRandom};

/// Targets weighed for each choice.
pub const WEIGHED_DEFAULT: usize = 4;
/// Targets outside the own data centre that are weighed besides.
const FAR_WEIGHED: usize = 4;
/// What a target that fails every call adds to its expected time, in µs.
const ERROR_PENALTY_US: f64 = 200_000.0;

/// Weight of the expected time beside the chance to be late: of two targets that are likely in
/// time, the quicker is the better.
const TIME_WEIGHT: f64 = 0.1;
/// How far answers spread around their expected time, relative to it.
const LATE_SPREAD: f64 = 0.2;
/// Shortest time that is taken for useful, in µs: later answers still have some worth.
const USEFUL_MIN_US: f64 = 20_000.0;

/// Power of `d` choices by expected time.
///
/// Where there are many targets, `d` of those that cost nothing to go to are weighed and a few of
/// the others: a draw among all would often leave no near one to choose.
#[derive(Debug, Clone)]
pub struct LeastWait {
    weighed: usize,
}

impl LeastWait {
    /// Weighs `weighed` targets for each choice.
    pub fn new(weighed: usize) -> Self {
        Self { weighed }
    }

    /// The candidates that are weighed, in an order that no target is always first in.
    fn drawn<'a>(
        &self,
        candidates: &'a [Candidate<'a>],
        context: &mut ChoosingContext<'_>,
    ) -> Vec<&'a Candidate<'a>> {
        if candidates.len() <= self.weighed {
            return draw(candidates.iter().collect(), self.weighed, context.rng);
        }
        let is_near = |candidate: &&Candidate<'_>| candidate.view.change_percent == 0;
        let (near, far): (Vec<_>, Vec<_>) = candidates.iter().partition(is_near);
        let far_weighed = if near.is_empty() { self.weighed } else { FAR_WEIGHED };
        let mut drawn = draw(near, self.weighed, context.rng);
        drawn.extend(draw(far, far_weighed, context.rng));
        drawn
    }
}

/// `count` of these, or all of them from a random place on.
fn draw<'a>(
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

impl Default for LeastWait {
    fn default() -> Self {
        Self::new(WEIGHED_DEFAULT)
    }
}

impl Chooser for LeastWait {
    fn name(&self) -> &'static str {
        "laurelstall"
    }

    fn choose(&mut self, candidates: &[Candidate<'_>], context: &mut ChoosingContext<'_>) -> Option<Choice> {
        let mut best: Option<(usize, f64)> = None;
        let mut runner_up = None;
        for candidate in self.drawn(candidates, context) {
            let score = loss_us(candidate.view, context);
            match best {
                Some((_, least)) if score >= least => {
                    if runner_up.is_none_or(|(_, next)| score < next) {
                        runner_up = Some((candidate.index, score));
                    }
                }
                _ => runner_up = best.replace((candidate.index, score)),
            }
        }
        let (index, score_us) = best?;
        let reason = if candidates.len() == 1 { Reason::Only } else { Reason::LeastWait };
        Some(Choice { index, reason, score_us, runner_up: runner_up.filter(|(other, _)| *other != index) })
    }

    fn is_plain(&self) -> bool {
        false
    }
}

/// What a call loses at this target, in µs: by the time it is expected to take, by the chance that
/// its answer comes too late, and by leaving its data centre.
///
/// Calls that nobody set an objective for lose nothing but time.
fn loss_us(view: &TargetView, context: &ChoosingContext<'_>) -> f64 {
    let expected_us = expected_us(view, context);
    let change = if context.may_leave_free { 0.0 } else { f64::from(view.change_percent) / 100.0 };
    match context.useful_us {
        None => expected_us + change * context.class_us.unwrap_or(context.usual_us),
        Some(useful_us) => {
            let useful_us = useful_us.max(USEFUL_MIN_US);
            let late = late_chance(expected_us, useful_us);
            TIME_WEIGHT * expected_us + (late + change) * useful_us
        }
    }
}

/// The chance that an answer expected after `expected_us` comes later than after `useful_us`.
fn late_chance(expected_us: f64, useful_us: f64) -> f64 {
    1.0 / (1.0 + ((1.0 - expected_us / useful_us) / LATE_SPREAD).exp())
}

/// The time a call is expected to take at this target, in µs: way, wait and service.
///
/// What a hint says fades with its age towards what is usual for the service; own calls sent
/// since then count in full.
pub fn expected_us(view: &TargetView, context: &ChoosingContext<'_>) -> f64 {
    let slots = f64::from(view.slots.max(1));
    // Own calls in flight tell of a target what no hint is fresh enough for.
    let own = (f64::from(view.in_flight()) + 1.0) / (context.own_mean + 1.0);
    let usual_in_flight = context.usual_load * slots * own;
    let (busy, limit, service_us) = match view.hint(context.now_us) {
        Some((hint, age_us)) => {
            let trust = 1.0 / (1.0 + age_us as f64 / HINT_HALF_AGE_US);
            let said = f64::from(hint.in_flight + hint.queued);
            let busy = trust * said + (1.0 - trust) * usual_in_flight;
            let limit = trust * f64::from(hint.limit.max(1)) + (1.0 - trust) * slots;
            // How fast a target is lasts longer than how many calls it has.
            let trust = 1.0 / (1.0 + age_us as f64 / SERVICE_HALF_AGE_US);
            let service_us = trust * f64::from(hint.service_us) + (1.0 - trust) * context.usual_us;
            (busy + f64::from(view.sent_since_hint()), limit, service_us)
        }
        None => {
            let service_us = if view.latency_us() > 0.0 { view.latency_us() } else { context.usual_us };
            (f64::from(view.in_flight()), slots, service_us)
        }
    };
    let slowness = view.slowness_percent(context.now_us) / f64::from(USUAL_PERCENT);
    let service_us = service_us.max(1.0) * slowness;
    // The call's own work is that of its class; what it waits for is work of all classes.
    let own_us = context.class_us.map_or(service_us, |class_us| class_us * slowness);
    // A share of the service time for a busy target below its limit spreads calls evenly.
    let wait_us = (busy + 1.0 - limit).max(0.0) / limit * service_us;
    let spread_us = 0.5 * busy / limit * service_us;
    let error_us = view.error_rate(context.now_us) * ERROR_PENALTY_US;
    let ramp = view.ejection.ramp(context.now_us, context.slow_start_us);
    view.trip_us as f64 + (own_us + wait_us + spread_us + error_us) / ramp
}
