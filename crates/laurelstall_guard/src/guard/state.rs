//! State of a guard and its decisions about free slots.

use crate::{
    adaptive_limit::AdaptiveLimit,
    admission_request::AdmissionRequest,
    cold_start_limiter::ColdStartLimiter,
    guard_limits::GuardLimits,
    refusal::RefusalReason,
    refusal_causes::RefusalCauses,
    slot_forecast::slot_wait_us,
    start_decision::{SlotDemand, StartCandidate, StartDecision, StartForecast},
    stated_rate_limiter::StatedRateLimiter,
    target_speed::TargetSpeed,
    wait_queue::{QueueKey, WaitQueue, Wake},
};
use laurelstall_balance::{fading::faded_weight, hint::NORMAL_PERCENT};
use laurelstall_overload::overload_control::OverloadControl;
use std::collections::BTreeMap;

/// Assumed run time before the first request, in µs.
const INITIAL_RUN_US: f64 = 5_000.0;
/// Weight of a new run in the moving average of run times.
const RUN_WEIGHT: f64 = 0.15;
/// Share of a call's latency objective that its run is assumed to take until a call of its class was
/// measured; objectives are usually about three times the run time.
const ASSUMED_RUN_SHARE: f64 = 0.35;
/// Shortest assumed run time, in µs.
const RUN_MIN_US: f64 = 1_000.0;
/// Until a run was measured, calls are handed back after the longest allowed wait divided by this.
const UNMEASURED_DELAY_DIVISOR: u64 = 4;
/// Shortest delay before a call is handed back, in µs.
const HAND_BACK_DELAY_MIN_US: u64 = 1_000;
/// Pause after a query that brought no report, in µs, so that a target that does not reply is not queried
/// often.
const QUERY_FAILURE_PAUSE_US: u64 = 1_000_000;
/// Interval at which held calls are decided on again when no report arrives, in µs; short compared with the
/// slow phases that are worth waiting for.
const RECHECK_US: u64 = 5_000;
/// Interval in µs at which queued calls are checked for being late; short compared with the 50 ms within which callers
/// want to know of a refusal.
const QUEUE_CHECK_US: u64 = 20_000;
/// Part of the mean run time of a class below which none of its runs ends.
const SHORTEST_RUN_SHARE: f64 = 0.5;
/// Cost of a query in answers: it takes the target and its guard about a hundredth of the time of a short
/// run, and calls wait for it.
const QUERY_COST: f64 = 0.06;
/// Shortest time between two queries, in µs; limits them to 50 per second. This bounds the load that queries
/// cause at a target, whatever happens.
const QUERY_GAP_MIN_US: u64 = 20_000;
/// Reports younger than this are not refreshed, in µs.
const REPORT_FRESH_US: u64 = 5_000;
/// Calls are refused as slow only if the target is with at least this probability still in the phase that it
/// last reported; otherwise trying another target is not worth the time.
const SAME_PHASE_PROBABILITY_MIN: f64 = 0.8;
/// How far beyond the next free capacity the retry times given to refused callers are spread during a cold start, in
/// µs. Callers retry within a third of their remaining time, which is rarely longer.
const RETRY_SPREAD_MAX_US: u64 = 300_000;
/// The same for a target that states a rate limit, in µs. Entries leave the target out until then, and with a shorter
/// spread many of them would ask for each call that it may get.
const STATED_RETRY_SPREAD_MAX_US: u64 = 3_000_000;
/// Start time that marks a slot as reserved for a woken call.
const RESERVED: u64 = u64::MAX;

/// Whether the target can be queried for a load report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum QueryState {
    /// The target reports its load only with its answers.
    Unsupported,
    /// It may be queried from this time on, in µs of the guard's clock.
    NotBefore(u64),
    /// A query is in flight.
    InFlight,
}

/// Decision on a call for which there is a free slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SlotDecision {
    /// It starts.
    Start,
    /// It waits for the slow phase of the target to end.
    Hold,
    /// It is refused.
    Refuse(RefusalReason),
}

#[derive(Debug)]
pub(super) struct State {
    pub(super) limit: AdaptiveLimit,
    /// Tells refusals by a full target from others.
    pub(super) causes: RefusalCauses,
    /// Moving average of run times at the target's normal speed, in µs.
    pub(super) mean_run_us: f64,
    /// Time of its last sample, in µs.
    mean_run_at_us: u64,
    /// Whether any run was measured.
    pub(super) has_measured: bool,
    pub(super) speed: TargetSpeed,
    pub(super) query_state: QueryState,
    /// Whether calls that cannot be in time any more are refused at once.
    pub(super) has_prompt_refusal: bool,
    /// Limits calls during the target's cold start.
    pub(super) cold: ColdStartLimiter,
    /// Limits calls to the rate that the target states.
    pub(super) stated: StatedRateLimiter,
    /// Admits calls by level during an overload; `None` where this is switched off.
    pub(super) overload: Option<OverloadControl>,
    /// Latest retry time given to a refused caller because of a limit on calls per second, in µs.
    last_retry_us: u64,
    pub(super) limits: GuardLimits,
    pub(super) queue: WaitQueue,
    /// Start times of running calls by run number, oldest first.
    pub(super) running: BTreeMap<u64, u64>,
    next_run: u64,
}

impl State {
    pub(super) fn new(limits: GuardLimits, now_us: u64) -> Self {
        let mut cold = ColdStartLimiter::new(now_us);
        cold.set_limits(limits.cold_calls_per_s, limits.cold_start_ms);
        let mut limit =
            AdaptiveLimit::new(limits.slots, limits.slots_start_percent, limits.slots_floor_percent);
        limit.set_fast_recovery(limits.has_refusal_causes);
        let mut speed = TargetSpeed::default();
        speed.set_fast_recovery(limits.has_refusal_causes);
        Self {
            limit,
            causes: RefusalCauses::default(),
            mean_run_us: INITIAL_RUN_US,
            mean_run_at_us: 0,
            has_measured: false,
            speed,
            query_state: QueryState::Unsupported,
            has_prompt_refusal: false,
            cold,
            stated: StatedRateLimiter::default(),
            overload: None,
            last_retry_us: 0,
            limits,
            queue: WaitQueue::default(),
            running: BTreeMap::new(),
            next_run: 0,
        }
    }

    pub(super) fn set_limits(&mut self, limits: GuardLimits) {
        self.limits = limits;
        self.cold.set_limits(limits.cold_calls_per_s, limits.cold_start_ms);
        self.limit.set_slots(limits.slots, limits.slots_start_percent, limits.slots_floor_percent);
        self.limit.set_fast_recovery(limits.has_refusal_causes);
        self.speed.set_fast_recovery(limits.has_refusal_causes);
    }

    pub(super) fn has_slot(&self) -> bool {
        self.running.len() < self.limit.limit() as usize
    }

    /// Derives an assumed run time from the first request, until a run was measured.
    pub(super) fn assume_run_time(&mut self, request: &AdmissionRequest) {
        if !self.has_measured {
            self.mean_run_us = self.class_run_us(request);
        }
    }

    /// Returns the calls per second that the limits let through; `None` when none is in force.
    fn calls_per_s(&self, now_us: u64) -> Option<f64> {
        let limits = [self.cold.calls_per_s(now_us), self.stated.calls_per_s()];
        limits.into_iter().flatten().reduce(f64::min)
    }

    /// Returns when a call with `ahead` calls before it may be sent by the limits on calls per second, in µs.
    fn next_send_us(&self, is_nested: bool, ahead: usize, now_us: u64) -> u64 {
        let cold_us = self.cold.next_send_us(is_nested, ahead, now_us);
        cold_us.max(self.stated.next_send_us(is_nested, ahead, now_us))
    }

    /// Returns whether the limits on calls per second let one more call through now.
    fn has_rate_capacity(&self, is_nested: bool, now_us: u64) -> bool {
        self.cold.has_capacity(is_nested, now_us) && self.stated.has_capacity(is_nested, now_us)
    }

    /// Returns how many calls may run at once now: fewer than the concurrency limit while the limits on calls
    /// per second let too few through to reach it.
    pub(super) fn effective_limit(&self, now_us: u64) -> u32 {
        let limit = self.limit.limit();
        let Some(calls_per_s) = self.calls_per_s(now_us) else { return limit };
        let at_once = calls_per_s * self.service_us(now_us) as f64 / 1e6;
        (at_once.ceil() as u32).clamp(1, limit.max(1))
    }

    /// Returns whether a call may start now: a slot is free and the limits on calls per second allow it.
    pub(super) fn has_slot_and_capacity(&self, request: &AdmissionRequest, now_us: u64) -> bool {
        self.has_slot() && self.has_rate_capacity(request.rank.is_nested(), now_us)
    }

    /// Returns whether the stated limit delays the call although another target may take it at once.
    pub(super) fn is_avoidably_limited(&self, request: &AdmissionRequest, now_us: u64) -> bool {
        request.may_hand_back && !self.stated.has_capacity(request.rank.is_nested(), now_us)
    }

    /// Returns whether the target has to be queried about its cold start now.
    pub(super) fn is_cold_report_due(&self, now_us: u64) -> bool {
        self.query_state != QueryState::InFlight && self.can_query(now_us) && self.cold.needs_report(now_us)
    }

    /// Assigns a slot to a call that runs from `start_us` on; returns the run number.
    pub(super) fn start(&mut self, start_us: u64) -> u64 {
        self.cold.reserve();
        self.stated.reserve();
        let number = self.next_run;
        self.next_run += 1;
        self.running.insert(number, start_us);
        number
    }

    /// Frees the slot of a run that has ended, and its capacity of the limits on calls per second if it was not sent.
    pub(super) fn end(&mut self, number: u64, was_sent: bool) {
        self.running.remove(&number);
        if !was_sent {
            self.cold.release_unsent();
            self.stated.release_unsent();
        }
    }

    /// Releases a slot that is reserved for a woken call.
    pub(super) fn release_reserved_slot(&mut self) {
        let reserved = self.running.iter().find(|(_, start)| **start == RESERVED).map(|(number, _)| *number);
        let number = reserved.expect("a woken call has a reserved slot");
        self.end(number, false);
    }

    /// Decides on queued calls in order while slots are free: starts those that gain nothing by waiting and
    /// refuses those that were queued only for a report that speaks against them.
    pub(super) fn admit_waiting(&mut self, now_us: u64) {
        if !self.has_slot() || self.is_load_report_due(now_us) {
            return;
        }
        let decisions = self.queue.iter().map(|(key, request, is_accepted)| {
            (*key, request.rank, self.decide(request, is_accepted, now_us))
        });
        for (key, rank, decision) in decisions.collect::<Vec<_>>() {
            match decision {
                SlotDecision::Start if !self.has_slot() => break,
                // A nested call further back may still have capacity.
                SlotDecision::Start if !self.has_rate_capacity(rank.is_nested(), now_us) => {}
                SlotDecision::Start => {
                    if self.queue.wake(&key, Wake::Start) {
                        self.start(RESERVED);
                    }
                }
                SlotDecision::Refuse(reason) => drop(self.queue.wake(&key, Wake::Refused(reason))),
                SlotDecision::Hold => {}
            }
        }
        self.queue.accept_all();
    }

    /// Refuses queued calls that cannot be answered in time any more, because others went ahead or the target
    /// turned slow, so that their callers can use the time elsewhere.
    pub(super) fn refuse_late(&mut self, now_us: u64) {
        let limit = u64::from(self.limit.limit().max(1));
        let free = limit.saturating_sub(self.running.len() as u64);
        let service_us = self.service_us(now_us);
        let is_late = |(position, (key, request, _)): (usize, (&QueueKey, &AdmissionRequest, bool))| {
            let next_send_us = self.next_send_us(request.rank.is_nested(), position, now_us);
            let is_rate_delayed = next_send_us > now_us;
            let is_next = (position as u64) < free;
            if is_next && !is_rate_delayed {
                return None;
            }
            let ahead = (position as u64).saturating_sub(free);
            let slot_us = now_us + (ahead * service_us / limit).max(self.slot_wait_us(position, now_us));
            let run_us = (self.class_run_us(request) * self.quick_factor(now_us)) as u64;
            let is_rate_limited = is_rate_delayed && next_send_us + run_us > request.useful_until_us;
            let reason = if is_rate_limited { RefusalReason::RateLimited } else { late_refusal(request) };
            let done_us = slot_us.max(next_send_us) + run_us;
            let is_late = done_us > request.useful_until_us || !self.may_start_in_overload(request, slot_us);
            is_late.then_some((*key, reason))
        };
        let late = self.queue.iter().enumerate().filter_map(is_late).collect::<Vec<_>>();
        for (key, reason) in late {
            self.queue.wake(&key, Wake::Refused(reason));
        }
    }

    /// Decides on a queued call for which there is a free slot.
    fn decide(&self, request: &AdmissionRequest, is_accepted: bool, now_us: u64) -> SlotDecision {
        let refused = if is_accepted { None } else { self.refusal_by_speed(request, now_us) };
        match refused {
            Some(reason) => SlotDecision::Refuse(reason),
            None if !self.may_start_in_overload(request, now_us) => {
                SlotDecision::Refuse(late_refusal(request))
            }
            None if self.should_start(request, now_us) => SlotDecision::Start,
            None => SlotDecision::Hold,
        }
    }

    /// Returns why a new call is refused because of the target's speed; `None` when it is not.
    pub(super) fn refusal_by_speed(&self, request: &AdmissionRequest, now_us: u64) -> Option<RefusalReason> {
        if self.is_avoidably_slow(request, now_us) {
            return Some(RefusalReason::Slow);
        }
        self.would_waste_slot(request, now_us).then_some(RefusalReason::Busy)
    }

    /// Returns whether a new call may start at once instead of being queued.
    pub(super) fn may_start(&self, request: &AdmissionRequest, now_us: u64) -> bool {
        self.queue.is_empty()
            && self.has_slot_and_capacity(request, now_us)
            && self.should_start(request, now_us)
    }

    /// Returns whether the call should try another target because this one is in a slow phase.
    fn is_avoidably_slow(&self, request: &AdmissionRequest, now_us: u64) -> bool {
        let Some(from_percent) = request.slow_from_percent else { return false };
        let slowness_percent = self.speed.slowness_percent(now_us);
        slowness_percent >= from_percent
            && self.speed.same_phase_probability(now_us) >= SAME_PHASE_PROBABILITY_MIN
    }

    /// Predicts the result of starting the call now or holding it.
    fn forecast(&self, request: &AdmissionRequest, now_us: u64) -> StartForecast {
        StartForecast::of(&self.candidate(request, now_us), &self.speed.forecast(now_us), &self.demand())
    }

    fn candidate(&self, request: &AdmissionRequest, now_us: u64) -> StartCandidate {
        StartCandidate {
            run_us: self.class_run_us(request),
            useful_us: request.useful_until_us.saturating_sub(now_us) as f64,
            budget_us: request.deadline_us.saturating_sub(now_us) as f64,
        }
    }

    fn demand(&self) -> SlotDemand {
        // The call being decided on is counted, whether it is queued yet or not.
        let wanted = self.running.len() + self.queue.len().max(1);
        let load = (wanted as f64 / f64::from(self.limit.limit().max(1))).min(1.0);
        SlotDemand { load, run_us: self.mean_run_us }
    }

    /// Returns whether starting the call now is better than holding it.
    fn should_start(&self, request: &AdmissionRequest, now_us: u64) -> bool {
        !self.limits.may_hold || self.forecast(request, now_us).decision == StartDecision::Start
    }

    /// Returns whether a new load report, for which the call has to wait, may improve the decision about it
    /// by more than the query costs.
    pub(super) fn is_report_worth_it(&self, request: &AdmissionRequest, now_us: u64) -> bool {
        if !self.can_query(now_us) {
            return false;
        }
        let Some(age_us) = self.speed.age_us(now_us) else { return true };
        if age_us < REPORT_FRESH_US {
            return false;
        }
        let has_choice = request.slow_from_percent.is_some();
        let forecast = self.speed.forecast(now_us);
        let gain = StartForecast::report_gain(
            &self.candidate(request, now_us),
            &forecast,
            &self.demand(),
            has_choice,
        );
        gain * self.startable_calls() as f64 > QUERY_COST
    }

    /// Returns whether the target has to be queried about its load now, before the first queued call gets a
    /// slot.
    pub(super) fn is_load_report_due(&self, now_us: u64) -> bool {
        self.has_slot() && self.queue.first().is_some_and(|request| self.is_report_worth_it(request, now_us))
    }

    fn can_query(&self, now_us: u64) -> bool {
        match self.query_state {
            QueryState::Unsupported => false,
            QueryState::NotBefore(at_us) => now_us >= at_us,
            QueryState::InFlight => true,
        }
    }

    /// Returns how many queued calls, at least one, could get a free slot now.
    fn startable_calls(&self) -> usize {
        let free = (self.limit.limit() as usize).saturating_sub(self.running.len());
        self.queue.len().clamp(1, free.max(1))
    }

    /// Returns when queued calls have to be decided on again, in µs; `None` while there is nothing to decide.
    pub(super) fn recheck_us(&self, now_us: u64) -> Option<u64> {
        let is_due = !self.queue.is_empty() && self.has_slot();
        let next_send_us =
            |request: &AdmissionRequest| self.next_send_us(request.rank.is_nested(), 0, now_us);
        let held_us =
            is_due.then(|| self.queue.first().map_or(now_us, next_send_us).max(now_us + RECHECK_US));
        let checks_queue = self.has_prompt_refusal && !self.queue.is_empty();
        let check_us = checks_queue.then_some(now_us + QUEUE_CHECK_US);
        held_us.into_iter().chain(check_us).min()
    }

    /// Returns whether a run of the call would not end before its deadline.
    pub(super) fn cannot_finish(&self, request: &AdmissionRequest, now_us: u64) -> bool {
        let Some(mean_us) = self.limit.times().mean_us(request.class) else { return false };
        let shortest_us = (SHORTEST_RUN_SHARE * mean_us) as u64;
        self.has_prompt_refusal && now_us + shortest_us > request.deadline_us
    }

    /// Records that a query was sent to the target.
    pub(super) fn note_query_started(&mut self) {
        if self.query_state != QueryState::Unsupported {
            self.query_state = QueryState::InFlight;
        }
    }

    /// Records that a query ended, and whether the target replied.
    pub(super) fn note_query_ended(&mut self, has_report: bool, now_us: u64) {
        let pause_us = if has_report { QUERY_GAP_MIN_US } else { QUERY_FAILURE_PAUSE_US };
        if self.query_state != QueryState::Unsupported {
            self.query_state = QueryState::NotBefore(now_us + pause_us);
        }
    }

    /// Returns whether the call would occupy a slot that others need and still be answered too late.
    fn would_waste_slot(&self, request: &AdmissionRequest, now_us: u64) -> bool {
        let useful_us = request.useful_until_us.saturating_sub(now_us) as f64;
        let done_us = self.forecast(request, now_us).done_us;
        done_us > useful_us && 2 * self.running.len() as u32 >= self.limit.limit()
    }

    /// Returns the longest wait after which the answer is still in time, in µs.
    pub(super) fn wait_max_us(&self, request: &AdmissionRequest, now_us: u64) -> u64 {
        let done_us = self.forecast(request, now_us).done_us as u64;
        let useful_us = request.useful_until_us.saturating_sub(now_us).saturating_sub(done_us);
        useful_us.min(self.limits.queue_wait_max_ms * 1_000)
    }

    /// Returns how long a call waits before it is first handed back, in µs.
    pub(super) fn hand_back_delay_us(&self, wait_max_us: u64) -> u64 {
        if !self.has_measured {
            return (wait_max_us / UNMEASURED_DELAY_DIVISOR).max(HAND_BACK_DELAY_MIN_US);
        }
        (self.mean_run_us as u64).max(HAND_BACK_DELAY_MIN_US)
    }

    /// Returns how long a call runs outside of slow phases, in µs.
    pub(super) fn service_us(&self, now_us: u64) -> u64 {
        (self.mean_run_us * self.quick_factor(now_us)) as u64
    }

    /// Returns how long the limits on calls per second delay the call, in µs.
    pub(super) fn rate_wait_us(&self, request: &AdmissionRequest, now_us: u64) -> u64 {
        let before = self.queue.ahead_of(request.rank, request.deadline_us);
        self.next_send_us(request.rank.is_nested(), before, now_us) - now_us
    }

    /// Returns when a call refused because of a limit on calls per second may be retried, in µs from now; successive
    /// calls get later times, so that retries are spread over the capacity to come.
    pub(super) fn next_retry_us(&mut self, now_us: u64) -> u64 {
        let next_send_us = self.next_send_us(false, self.queue.len(), now_us);
        let step_us = self.calls_per_s(now_us).map_or(0, |calls_per_s| (1e6 / calls_per_s) as u64);
        let has_stated_limit = self.stated.stated_per_s().is_some();
        let spread_us = if has_stated_limit { STATED_RETRY_SPREAD_MAX_US } else { RETRY_SPREAD_MAX_US };
        let last_retry_us = (self.last_retry_us + step_us).clamp(next_send_us, next_send_us + spread_us);
        self.last_retry_us = last_retry_us;
        last_retry_us - now_us
    }

    pub(super) fn expected_wait_us(&self, request: &AdmissionRequest, now_us: u64) -> u64 {
        let limit = u64::from(self.limit.limit().max(1));
        // Calls ahead for which there are free slots wait only for a report or are held.
        let free = limit.saturating_sub(self.running.len() as u64);
        let before = self.queue.ahead_of(request.rank, request.deadline_us);
        let ahead = (before as u64).saturating_sub(free);
        let slot_wait_us = ahead * self.service_us(now_us) / limit;
        slot_wait_us.max(self.slot_wait_us(before, now_us)).max(self.rate_wait_us(request, now_us))
    }

    /// Returns the time until the call at `position` of the queue gets a slot, judged by when the running calls began; 0
    /// unless calls are refused promptly.
    fn slot_wait_us(&self, position: usize, now_us: u64) -> u64 {
        if !self.has_prompt_refusal {
            return 0;
        }
        let limit = self.limit.limit() as usize;
        slot_wait_us(self.running.values().copied(), position, limit, self.service_us(now_us), now_us)
    }

    /// Adds a run time, converted to the target's normal speed, in µs, to the moving average.
    pub(super) fn note_run(&mut self, normal_run_us: f64, now_us: u64) {
        let passed_us = now_us.saturating_sub(self.mean_run_at_us);
        let weight = match self.has_measured {
            false => 1.0,
            true if self.limits.has_refusal_causes => faded_weight(RUN_WEIGHT, passed_us),
            true => RUN_WEIGHT,
        };
        self.mean_run_at_us = now_us;
        self.mean_run_us += weight * (normal_run_us - self.mean_run_us);
        self.has_measured = true;
    }

    /// Returns the mean run time of the call's class at the target's normal speed, in µs, or an assumed one.
    pub(super) fn class_run_us(&self, request: &AdmissionRequest) -> f64 {
        let known = self.limit.times().mean_us(request.class);
        known.unwrap_or_else(|| (request.useful_us as f64 * ASSUMED_RUN_SHARE).max(RUN_MIN_US))
    }

    /// Returns how long work takes outside of slow phases, relative to normal.
    pub(super) fn quick_factor(&self, now_us: u64) -> f64 {
        f64::from(self.speed.quick_percent(now_us)) / f64::from(NORMAL_PERCENT)
    }
}

/// Returns why a queued call is refused that cannot be answered in time any more.
fn late_refusal(request: &AdmissionRequest) -> RefusalReason {
    if request.may_hand_back { RefusalReason::HandedBack } else { RefusalReason::Busy }
}
