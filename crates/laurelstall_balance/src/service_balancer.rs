//! Load balancing of one entry node for one service.

use crate::{
    attempt_budget::AttemptBudget,
    chooser::{Candidate, Choice, ChoiceContext, Chooser},
    class_times::{CallClass, ClassTimes},
    ejection::Ejection,
    fading::faded_weight,
    hint::{Hint, NORMAL_PERCENT},
    importance_tracker::ImportanceTracker,
    shared_retry_budget::SharedRetryBudget,
    spillover::Spillover,
    target_view::TargetView,
};
use laurelstall_config::team::ServiceLimits;
use rand::{RngExt, SeedableRng, rngs::SmallRng, seq::IndexedRandom};
use std::{collections::HashMap, fmt};

mod budgets;
mod outlier_ejection;
mod rate_limits;

pub use budgets::BalancerTotals;
use budgets::reserve_per_entry;
pub use outlier_ejection::Ejected;

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
/// Slots per queued call that are assumed at a target whose guard handed a call back.
const SLOTS_PER_QUEUED_CALL: u32 = 2;
/// Load of the local data centre from which targets are probed before a call is placed. Below it, queues are short
/// at every target.
const PROBE_LOAD_MIN: f64 = 0.4;
/// Age in µs from which a target's hint is refreshed by a probe: about the time in which its load changes.
const PROBE_HINT_AGE_US: u64 = 50_000;
/// Cap on the load of a target in the comparison of data centres: all slots are in use and as many calls wait.
const LOAD_MAX: f64 = 2.0;
/// Age in µs up to which a hint tells whether its target has a queue.
const QUEUEING_HINT_AGE_US: u64 = 1_000_000;

/// Multiple of the slowness of the service's quicker targets from which a target counts as slow.
const SLOW_FACTOR: u32 = 2;
/// Multiple of normal service time from which a target counts as slow while too few targets have recent hints. After a
/// start of the whole fleet all targets take about twice the normal time; a noisy neighbour makes it four times or
/// more.
///
/// With a factor of 2, the first calls of an entry node after such a start were refused up to eight times each. The
/// quick speed of the target itself is no substitute: guards that had just started did not recognize slow phases by
/// it.
const SLOW_FACTOR_UNKNOWN: u32 = 3;
/// Age in µs up to which a hint counts for the slowness of the service. An entry node of a large fleet receives only
/// two or three hints a second for a service. After a start of the whole fleet all targets are slow for seconds.
const SLOWNESS_AGE_MAX_US: u64 = 2_000_000;
/// Recent hints that are needed to tell how slow the service is. With fewer, one slow target could stand for all.
const SLOWNESS_HINTS_MIN: usize = 3;
/// One in this many targets, the quickest ones, is taken to run at the service's current speed.
const QUICK_TARGETS_DIVISOR: usize = 4;

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
    mean_us: f64,
    /// Time in µs of its last sample.
    mean_at_us: u64,
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
            mean_us: INITIAL_SERVICE_US,
            mean_at_us: 0,
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
        let is_first = self.targets.is_empty();
        let old = std::mem::take(&mut self.targets).into_iter();
        let mut old = old.map(|view| (view.name.clone(), view)).collect::<HashMap<_, _>>();
        for mut view in listed {
            if let Some(mut kept) = old.remove(&view.name).filter(|old_view| old_view.host == view.host) {
                if kept.is_restarted_as(&view) {
                    view.take_in_flight(&kept);
                    self.targets.push(view);
                    continue;
                }
                kept.started_unix_ms = view.started_unix_ms;
                kept.slots = view.slots;
                kept.round_trip_us = view.round_trip_us;
                kept.remote_cost_percent = view.remote_cost_percent;
                kept.data_centre = view.data_centre;
                kept.is_live = view.is_live;
                kept.is_leaving = view.is_leaving;
                view = kept;
            } else if is_first {
                view.ejection = Ejection::without_ramp();
            }
            self.targets.push(view);
        }
        let has_fast_recovery = limits.load.refusal_causes;
        self.targets.iter_mut().for_each(|view| view.has_fast_recovery = has_fast_recovery);
        self.spillover.set_fast_recovery(has_fast_recovery);
        self.in_flight = self.targets.iter().map(TargetView::in_flight).sum();
        self.limits = limits;
        self.set_entries(self.entries);
        self.hedges.set_limits(limits.hedge_percent, HEDGE_RESERVE);
    }

    /// Chooses a target for one attempt; `None` when no target may take it.
    pub fn choose(&mut self, request: &ChoiceRequest<'_>) -> Option<Choice> {
        let now_us = request.now_us;
        let is_candidate = |(index, view): &(usize, &TargetView)| match request.only {
            _ if !request.allows_data_centre(&view.data_centre) => false,
            Some(name) => view.name == name,
            None => view.is_eligible(now_us) && !request.excluded.contains(index),
        };
        let allowed = self.targets.iter().enumerate().filter(is_candidate);
        let mut candidates = Vec::with_capacity(self.targets.len());
        candidates.extend(allowed.map(|(index, view)| Candidate { index, view }));
        let spills_over = self.rng.random_bool(self.spillover.share(now_us));
        let own_mean_in_flight = f64::from(self.in_flight) / self.targets.len().max(1) as f64;
        let mut context = ChoiceContext {
            now_us,
            slow_start_us: self.limits.slow_start_ms * 1_000,
            mean_us: self.mean_us,
            class_mean_us: self.class_times.mean_us(request.class),
            waives_remote_cost: request.waives_remote_cost || spills_over,
            useful_us: request.useful_us.map(|useful_us| useful_us as f64),
            mean_load: self.mean_load,
            own_mean_in_flight,
            rng: &mut self.rng,
        };
        let choice = self.chooser.choose(&candidates, &mut context);
        debug_assert!(choice.is_none_or(|c| candidates.iter().any(|k| k.index == c.index)));
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
        let mean_weight = self.mean_weight(self.mean_at_us, now_us);
        let view = &mut self.targets[index];
        match result {
            AttemptResult::Succeeded(latency_us) => {
                view.note_result(false, latency_us, now_us);
                let slowness = view.slowness_percent(now_us) / f64::from(NORMAL_PERCENT);
                let run_us = latency_us as f64 / slowness;
                self.class_times.note(class, run_us);
                if self.limits.load.refusal_causes {
                    self.class_times.forget_slow_runs(class, run_us);
                }
                self.mean_us += mean_weight * (latency_us as f64 - self.mean_us);
                self.mean_at_us = now_us;
                self.deposit_retry(now_us);
                self.hedges.deposit(now_us);
            }
            AttemptResult::Failed => view.note_result(true, 0, now_us),
            AttemptResult::NotRun | AttemptResult::Cancelled => return None,
        }
        self.eject_if_outlier(index, now_us)
    }

    /// Stores a guard's hint on the load of its target.
    pub fn update_hint(&mut self, index: usize, name: &str, hint: Hint, now_us: u64) {
        let Some(index) = self.index_of(index, name) else { return };
        let slots = f64::from(self.targets[index].slots.max(1));
        let load = f64::from(hint.in_flight + hint.queued) / slots;
        self.mean_load += self.mean_weight(self.mean_load_at_us, now_us) * (load - self.mean_load);
        self.mean_load_at_us = now_us;
        self.compare_loads(index, hint.in_flight + hint.queued, hint.limit, now_us);
        self.targets[index].update_hint(hint, now_us);
    }

    /// The weight of a new sample in a mean of the service whose last sample came at `last_us`.
    fn mean_weight(&self, last_us: u64, now_us: u64) -> f64 {
        if self.limits.load.refusal_causes {
            faded_weight(MEAN_WEIGHT, now_us.saturating_sub(last_us))
        } else {
            MEAN_WEIGHT
        }
    }

    /// The age of a target's last hint in µs; `None` without a hint.
    pub fn hint_age_us(&self, index: usize, now_us: u64) -> Option<u64> {
        self.targets.get(index)?.hint(now_us).map(|(_, age_us)| age_us)
    }

    /// Records that a guard refused a call because calls wait at its target, or because its queue `is_full`.
    pub fn note_queueing(&mut self, index: usize, name: &str, is_full: bool, now_us: u64) {
        let Some(index) = self.index_of(index, name) else { return };
        let slots = self.targets[index].slots;
        let queued = if is_full { slots * self.limits.queue_per_slot } else { slots / SLOTS_PER_QUEUED_CALL };
        self.compare_loads(index, slots + queued.max(1), slots, now_us);
        self.targets[index].note_queueing(queued.max(1), self.mean_us, now_us);
    }

    /// Passes the load of a target to the comparison of the local data centre with the remote ones.
    fn compare_loads(&mut self, index: usize, calls: u32, limit: u32, now_us: u64) {
        let is_local = |view: &&TargetView| view.remote_cost_percent == 0 && view.is_in_service();
        let local_targets = self.targets.iter().filter(is_local).count();
        let is_remote = self.targets[index].remote_cost_percent > 0;
        let load = f64::from(calls) / f64::from(limit.max(1));
        self.spillover.note(is_remote, load.min(LOAD_MAX), local_targets, now_us);
    }

    /// Records that a guard refused a call because its target is slow now: it takes `percent` of its normal time.
    pub fn note_slow_refusal(&mut self, index: usize, name: &str, percent: u32, now_us: u64) {
        let Some(index) = self.index_of(index, name) else { return };
        self.targets[index].note_slowness(percent, self.mean_us, now_us);
    }

    /// Records that a guard refused a call because its target drains.
    pub fn note_draining(&mut self, index: usize, name: &str, now_us: u64) {
        let Some(index) = self.index_of(index, name) else { return };
        self.targets[index].note_draining(self.mean_us, now_us);
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

    /// Slowness in percent of normal service time from which a target counts as slow compared with the others.
    ///
    /// Where all targets are slow, as after a start of the whole fleet, none is avoided for it.
    pub fn slow_from_percent(&self, now_us: u64) -> u32 {
        let threshold = self.service_slowness_percent(now_us).map(|percent| SLOW_FACTOR * percent);
        threshold.unwrap_or(SLOW_FACTOR_UNKNOWN * NORMAL_PERCENT)
    }

    /// Slowness of the quickest quarter of the targets in percent of normal service time; `None` with too few recent
    /// hints.
    fn service_slowness_percent(&self, now_us: u64) -> Option<u32> {
        let hints = self.targets.iter().filter_map(|view| view.hint(now_us));
        let fresh = hints.filter(|(_, age_us)| *age_us <= SLOWNESS_AGE_MAX_US);
        let mut percents = fresh.map(|(hint, _)| hint.slowness_percent).collect::<Vec<_>>();
        if percents.len() < SLOWNESS_HINTS_MIN {
            return None;
        }
        percents.sort_unstable();
        percents.get(percents.len() / QUICK_TARGETS_DIVISOR).map(|percent| (*percent).max(NORMAL_PERCENT))
    }

    /// Whether more than two thirds of the live targets recently reported a queue of at least half their concurrency
    /// limit.
    pub fn is_queueing(&self, now_us: u64) -> bool {
        let live = self.targets.iter().filter(|view| view.is_in_service());
        let is_queueing = |view: &&TargetView| {
            let hint = view.hint(now_us).filter(|(_, age_us)| *age_us < QUEUEING_HINT_AGE_US);
            hint.is_some_and(|(hint, _)| hint.queued * 2 >= hint.limit)
        };
        let queueing = live.clone().filter(is_queueing).count();
        queueing * 3 > live.count() * 2
    }

    /// Local targets that should be probed for their load before a call is placed: up to `count` of those with an old
    /// hint, drawn at random, and none while the load of the local data centre is low.
    ///
    /// An entry node that sends a service few calls has hints that are seconds old, and without probes it sends calls
    /// to busy targets.
    pub fn targets_to_probe(&mut self, count: usize, now_us: u64) -> Vec<ProbeTarget> {
        if self.spillover.local_load() < PROBE_LOAD_MIN {
            return Vec::new();
        }
        let is_old =
            |view: &TargetView| view.hint(now_us).is_none_or(|(_, age_us)| age_us > PROBE_HINT_AGE_US);
        let should_probe = |(_, view): &(usize, &TargetView)| {
            view.remote_cost_percent == 0 && view.is_eligible(now_us) && is_old(view)
        };
        let stale = self.targets.iter().enumerate().filter(should_probe).collect::<Vec<_>>();
        let sample = stale.sample(&mut self.rng, count);
        sample
            .map(|(index, view)| ProbeTarget {
                index: *index,
                name: view.name.clone(),
                host: view.host.clone(),
            })
            .collect()
    }

    /// The index of the live target with the oldest hint among those for whose host `has_connection` is true; `None`
    /// when no hint is at least `age_min_us` old. A target without a hint counts as oldest, and ties are broken at
    /// random.
    pub fn target_with_oldest_hint(
        &mut self,
        now_us: u64,
        age_min_us: u64,
        has_connection: impl Fn(&str) -> bool,
    ) -> Option<usize> {
        let age = |view: &TargetView| view.hint(now_us).map_or(u64::MAX, |(_, age_us)| age_us);
        let live = self
            .targets
            .iter()
            .enumerate()
            .filter(|(_, view)| view.is_in_service() && has_connection(&view.host));
        let due = live.map(|(index, view)| (index, age(view))).filter(|(_, age)| *age >= age_min_us);
        let due = due.collect::<Vec<_>>();
        let oldest = due.iter().map(|(_, age)| *age).max()?;
        let ties = due.iter().filter(|(_, age)| *age == oldest).collect::<Vec<_>>();
        Some(ties[self.rng.random_range(0..ties.len())].0)
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
            _ => (self.mean_us * RETRY_AFTER_RUNS) as u64,
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

/// A target that should be probed for its load before a call is placed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProbeTarget {
    /// The target's index in the service's list.
    pub index: usize,
    /// The target's name.
    pub name: String,
    /// The host that the target runs on.
    pub host: String,
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
