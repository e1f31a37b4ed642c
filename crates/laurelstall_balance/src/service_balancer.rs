//! Load balancing of one entry node for one service.

use crate::{
    attempt_budget::AttemptBudget,
    chooser::{Candidate, Choice, ChoiceContext, Chooser},
    class_times::{CallClass, ClassTimes},
    ejection::Ejection,
    fading::faded_weight,
    hint::NORMAL_PERCENT,
    importance_tracker::ImportanceTracker,
    shared_retry_budget::SharedRetryBudget,
    spillover::Spillover,
    target_view::TargetView,
};
use laurelstall_config::team::ServiceLimits;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use std::{collections::HashMap, fmt};

mod budgets;
mod loads;
mod outlier_ejection;
mod probes;
mod rate_limits;
mod slowness;

pub use budgets::BalancerTotals;
use budgets::reserve_per_entry;
pub use outlier_ejection::Ejected;
pub use probes::ProbeTarget;

/// Hedges per ten seconds that are allowed beyond the percentage of calls, so that a quiet service can hedge at all.
/// An entry node starts with one.
const HEDGE_RESERVE: f64 = 2.5;
/// Calls that may be rerouted to another guard after one without a free slot, in percent of all calls. The limit
/// absorbs a burst and keeps an overload from multiplying traffic.
const REROUTE_PERCENT: u32 = 10;
/// Reroutes per ten seconds that are allowed beyond that percentage. An entry node starts with four.
const REROUTE_RESERVE: f64 = 10.0;
/// Weight of a new sample in the service's mean service time and mean load.
const MEAN_WEIGHT: f64 = 0.02;
/// Service time that is assumed before the first sample, in µs.
const INITIAL_SERVICE_US: f64 = 5_000.0;

/// Mean service times after which the caller of a call that found all targets busy should retry.
const RETRY_AFTER_RUNS: f64 = 4.0;
/// Shortest retry-after time in ms for a call that no target can take.
const RETRY_AFTER_MIN_MS: u64 = 100;
/// Longest retry-after time in ms: later, what is known of the targets is out of date.
const RETRY_AFTER_MAX_MS: u64 = 5_000;

/// The result of an attempt, as far as it concerns the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptResult {
    /// The target answered successfully after this many µs.
    Succeeded(u64),
    /// The target answered with an error, or the connection broke.
    Failed,
    /// The guard refused the attempt or handed it back, so the target did not run it.
    NotRun,
    /// This entry node cancelled the attempt, for example because the other attempt of a hedge won.
    Cancelled,
}

/// Constraints that a call puts on the choice of its target.
#[derive(Debug, Clone, Copy)]
pub struct ChoiceRequest<'a> {
    /// Indices of targets that are not tried again for this call.
    pub excluded: &'a [usize],
    /// The name of the only allowed target, for a call with a ticket.
    pub only: Option<&'a str>,
    /// The data centres that may serve the call; `None` allows all.
    pub data_centres: Option<&'a [String]>,
    /// The class of the call.
    pub class: CallClass,
    /// Remaining time in µs in which the answer has its full value; `None` without a latency objective.
    pub useful_us: Option<u64>,
    /// Whether the cost of a remote data centre is waived, because local targets refused the call for overload.
    pub waives_remote_cost: bool,
    /// The current time in µs of the entry node's monotonic clock.
    pub now_us: u64,
}

impl ChoiceRequest<'_> {
    /// Whether the call may be served in `data_centre`.
    fn allows_data_centre(&self, data_centre: &str) -> bool {
        self.data_centres.is_none_or(|allowed| allowed.iter().any(|name| name == data_centre))
    }
}

/// The load balancing state of one entry node for one service.
pub struct ServiceBalancer {
    targets: Vec<TargetView>,
    /// This entry node's calls in flight at all targets together.
    in_flight: u32,
    limits: ServiceLimits,
    /// Number of entry nodes that share the reserve for retries.
    entries: usize,
    chooser: Box<dyn Chooser>,
    retries: AttemptBudget,
    /// Used in place of `retries` where entry nodes lend each other retry tokens.
    shared_retries: Option<SharedRetryBudget>,
    importance_tracker: ImportanceTracker,
    reroutes: AttemptBudget,
    hedges: AttemptBudget,
    /// Moving average of the latency of successful attempts, in µs.
    mean_latency_us: f64,
    /// Time in µs of its last sample.
    mean_latency_at_us: u64,
    /// Moving average of the share of slots in use, queued calls included.
    mean_load: f64,
    /// Time in µs of its last sample.
    mean_load_at_us: u64,
    class_times: ClassTimes,
    spillover: Spillover,
    /// Latest retry time given to a caller while all targets stated rate limits, in µs.
    last_limited_retry_us: u64,
    ejections: u64,
    rng: SmallRng,
}

impl ServiceBalancer {
    /// Creates a balancer without targets; `seed` makes its random choices reproducible.
    pub fn new(limits: ServiceLimits, chooser: Box<dyn Chooser>, seed: u64) -> Self {
        Self {
            targets: Vec::new(),
            in_flight: 0,
            limits,
            entries: 1,
            chooser,
            retries: AttemptBudget::new(limits.retry_percent, reserve_per_entry(&limits, 1)),
            shared_retries: None,
            importance_tracker: ImportanceTracker::default(),
            reroutes: AttemptBudget::new(REROUTE_PERCENT, REROUTE_RESERVE),
            hedges: AttemptBudget::new(limits.hedge_percent, HEDGE_RESERVE),
            mean_latency_us: INITIAL_SERVICE_US,
            mean_latency_at_us: 0,
            mean_load: 0.5,
            mean_load_at_us: 0,
            class_times: ClassTimes::default(),
            spillover: Spillover::default(),
            last_limited_retry_us: 0,
            ejections: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Replaces the list of targets and keeps the state of those that stay.
    ///
    /// A target that joins a running service ramps up; the targets of the first list do not.
    pub fn set_targets(&mut self, limits: ServiceLimits, listed: Vec<TargetView>) {
        self.replace_targets(listed);
        let has_fast_recovery = limits.load.refusal_causes;
        self.targets.iter_mut().for_each(|view| view.has_fast_recovery = has_fast_recovery);
        self.spillover.set_fast_recovery(has_fast_recovery);
        self.in_flight = self.targets.iter().map(TargetView::in_flight).sum();
        self.limits = limits;
        self.set_entries(self.entries);
        self.hedges.set_limits(limits.hedge_percent, HEDGE_RESERVE);
    }

    fn replace_targets(&mut self, listed: Vec<TargetView>) {
        let is_first = self.targets.is_empty();
        let known = std::mem::take(&mut self.targets).into_iter();
        let mut known = known.map(|view| (view.name.clone(), view)).collect::<HashMap<_, _>>();
        for mut view in listed {
            match known.remove(&view.name).filter(|known_view| known_view.host == view.host) {
                Some(known_view) => view = known_view.relisted_as(view),
                None if is_first => view.ejection = Ejection::without_ramp(),
                None => {}
            }
            self.targets.push(view);
        }
    }

    /// Chooses a target for one attempt; `None` when no target may take it.
    pub fn choose(&mut self, request: &ChoiceRequest<'_>) -> Option<Choice> {
        let now_us = request.now_us;
        let may_take = |(index, view): &(usize, &TargetView)| match request.only {
            _ if !request.allows_data_centre(&view.data_centre) => false,
            Some(name) => view.name == name,
            None => view.is_eligible(now_us) && !request.excluded.contains(index),
        };
        let allowed = self.targets.iter().enumerate().filter(may_take);
        let mut candidates = Vec::with_capacity(self.targets.len());
        candidates.extend(allowed.map(|(index, view)| Candidate { index, view }));
        let spills_over = self.rng.random_bool(self.spillover.share(now_us));
        let own_mean_in_flight = f64::from(self.in_flight) / self.targets.len().max(1) as f64;
        let mut context = ChoiceContext {
            now_us,
            slow_start_us: self.limits.slow_start_ms * 1_000,
            mean_us: self.mean_latency_us,
            class_mean_us: self.class_times.mean_us(request.class),
            waives_remote_cost: request.waives_remote_cost || spills_over,
            useful_us: request.useful_us.map(|useful_us| useful_us as f64),
            mean_load: self.mean_load,
            own_mean_in_flight,
            rng: &mut self.rng,
        };
        let choice = self.chooser.choose(&candidates, &mut context);
        let is_candidate =
            |choice: Choice| candidates.iter().any(|candidate| candidate.index == choice.index);
        debug_assert!(choice.is_none_or(is_candidate));
        if let Some(choice) = choice {
            self.targets[choice.index].ejection.note_chosen(now_us);
        }
        choice
    }

    /// Records that an attempt is sent to the target at `index`.
    pub fn note_sent(&mut self, index: usize) {
        if let Some(view) = self.targets.get_mut(index) {
            view.note_sent();
            self.in_flight += 1;
        }
    }

    /// Records the result of an attempt and returns the ejection that it causes, if any.
    ///
    /// `name` is the target's name, because the list may have changed after `index` was read.
    pub fn note_result(
        &mut self,
        index: usize,
        name: &str,
        class: CallClass,
        result: AttemptResult,
        now_us: u64,
    ) -> Option<Ejected> {
        let index = self.index_of(index, name)?;
        let view = &mut self.targets[index];
        self.in_flight -= view.in_flight().min(1);
        view.note_ended();
        self.note_half_open_result(index, result, now_us);
        match result {
            AttemptResult::Succeeded(latency_us) => self.note_success(index, class, latency_us, now_us),
            AttemptResult::Failed => self.targets[index].note_result(true, 0, now_us),
            AttemptResult::NotRun | AttemptResult::Cancelled => return None,
        }
        self.eject_if_outlier(index, now_us)
    }

    /// Records a successful attempt in the times of its target, its class and the service, and in the budgets.
    fn note_success(&mut self, index: usize, class: CallClass, latency_us: u64, now_us: u64) {
        let view = &mut self.targets[index];
        view.note_result(false, latency_us, now_us);
        let slowness = view.slowness_percent(now_us) / f64::from(NORMAL_PERCENT);
        let run_us = latency_us as f64 / slowness;
        self.class_times.note(class, run_us);
        if self.limits.load.refusal_causes {
            self.class_times.forget_slow_runs(class, run_us);
        }
        let mean_weight = self.mean_weight(self.mean_latency_at_us, now_us);
        self.mean_latency_us += mean_weight * (latency_us as f64 - self.mean_latency_us);
        self.mean_latency_at_us = now_us;
        self.deposit_retry(now_us);
        self.hedges.deposit(now_us);
    }

    /// The weight of a new sample in a mean of the service whose last sample came at `last_us`.
    fn mean_weight(&self, last_us: u64, now_us: u64) -> f64 {
        if self.limits.load.refusal_causes {
            faded_weight(MEAN_WEIGHT, now_us.saturating_sub(last_us))
        } else {
            MEAN_WEIGHT
        }
    }

    /// Records that a guard refused a call because its target drains.
    pub fn note_draining(&mut self, index: usize, name: &str, now_us: u64) {
        let Some(index) = self.index_of(index, name) else { return };
        self.targets[index].note_draining(self.mean_latency_us, now_us);
    }

    /// Records that the target `name` has stated that it is leaving. Returns when it started, in ms of Unix time by its
    /// own clock; 0 when unknown.
    pub fn note_leaving(&mut self, name: &str) -> u64 {
        let Some(view) = self.targets.iter_mut().find(|view| view.name == name) else { return 0 };
        view.is_leaving = true;
        view.started_unix_ms
    }

    /// Records that a guard refused a call because it has no target of this name and expects none for `wait_ms`.
    pub fn note_absent(&mut self, index: usize, name: &str, wait_ms: u32, now_us: u64) {
        let Some(index) = self.index_of(index, name) else { return };
        self.targets[index].skip_for(u64::from(wait_ms) * 1_000, now_us);
    }

    /// Time in ms after which the caller of a call that no target can take should retry: when the first ejected,
    /// skipped or draining target may be called again, or else after a few mean service times.
    ///
    /// While all targets state rate limits, successive callers get successive times.
    pub fn retry_after_ms(&mut self, now_us: u64) -> u64 {
        let live = self.targets.iter().filter(|view| view.is_in_service());
        let eligible_in_us = live.map(|view| view.eligible_from_us(now_us).saturating_sub(now_us)).min();
        let wait_us = match eligible_in_us {
            Some(eligible_in_us) if eligible_in_us > 0 => eligible_in_us,
            _ => (self.mean_latency_us * RETRY_AFTER_RUNS) as u64,
        };
        let wait_us = self.limited_retry_us(wait_us, now_us).unwrap_or(wait_us);
        wait_us.div_ceil(1_000).clamp(RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS)
    }

    /// The targets, for the decision log and the administration API.
    pub fn targets(&self) -> &[TargetView] {
        &self.targets
    }

    /// The current limits.
    pub fn limits(&self) -> &ServiceLimits {
        &self.limits
    }

    /// Whether guards should queue without limit and never hand back, as behind a baseline balancer.
    pub fn is_baseline(&self) -> bool {
        self.chooser.is_baseline()
    }

    /// The current index of the target `name`, which was at `index` earlier.
    fn index_of(&self, index: usize, name: &str) -> Option<usize> {
        if self.targets.get(index).is_some_and(|view| view.name == name) {
            return Some(index);
        }
        self.targets.iter().position(|view| view.name == name)
    }
}

impl fmt::Debug for ServiceBalancer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let chooser = self.chooser.name();
        f.debug_struct("ServiceBalancer")
            .field("targets", &self.targets)
            .field("chooser", &chooser)
            .finish_non_exhaustive()
    }
}
