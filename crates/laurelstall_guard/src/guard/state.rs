//! State of a guard: its limits, its queue and the calls that run.

use crate::{
    adaptive_limit::AdaptiveLimit, admission_request::AdmissionRequest, cold_start_limiter::ColdStartLimiter,
    guard_limits::GuardLimits, refusal_causes::RefusalCauses, stated_rate_limiter::StatedRateLimiter,
    target_speed::TargetSpeed, wait_queue::WaitQueue,
};
use laurelstall_overload::overload_control::OverloadControl;
use std::collections::BTreeMap;

mod call_rates;
mod load_queries;
mod queue_decisions;
mod run_times;
mod start_forecasts;
mod waits;

pub(super) use load_queries::QueryState;

/// Assumed run time before the first request, in µs.
const INITIAL_RUN_US: f64 = 5_000.0;
/// Start time that marks a slot as reserved for a woken call.
const RESERVED: u64 = u64::MAX;

/// What a guard knows about its target and its calls.
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

    /// Returns whether a call may start now: a slot is free and the limits on calls per second allow it.
    pub(super) fn has_slot_and_capacity(&self, request: &AdmissionRequest, now_us: u64) -> bool {
        self.has_slot() && self.has_rate_capacity(request.rank.is_nested(), now_us)
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

    /// Assigns a slot to a call that was woken and starts soon.
    fn reserve_slot(&mut self) {
        self.start(RESERVED);
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
}
