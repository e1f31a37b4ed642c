//! Limits on calls per second: the cold start of the target and the rate that it states.

use super::State;
use crate::admission_request::AdmissionRequest;

/// How far beyond the next free capacity the retry times given to refused callers are spread during a cold start, in
/// µs. Callers retry within a third of their remaining time, which is rarely longer.
const RETRY_SPREAD_MAX_US: u64 = 300_000;
/// The same for a target that states a rate limit, in µs. Entries leave the target out until then, and with a shorter
/// spread many of them would ask for each call that it may get.
const STATED_RETRY_SPREAD_MAX_US: u64 = 3_000_000;

impl State {
    /// Returns whether the limits on calls per second let one more call through now.
    pub(super) fn has_rate_capacity(&self, is_nested: bool, now_us: u64) -> bool {
        self.cold.has_capacity(is_nested, now_us) && self.stated.has_capacity(is_nested, now_us)
    }

    /// Returns whether the stated limit delays the call although another target may take it at once.
    pub(in crate::guard) fn is_avoidably_limited(&self, request: &AdmissionRequest, now_us: u64) -> bool {
        request.may_hand_back && !self.stated.has_capacity(request.rank.is_nested(), now_us)
    }

    /// Returns how many calls may run at once now: fewer than the concurrency limit while the limits on calls
    /// per second let too few through to reach it.
    pub(in crate::guard) fn effective_limit(&self, now_us: u64) -> u32 {
        let limit = self.limit.limit();
        let Some(calls_per_s) = self.calls_per_s(now_us) else { return limit };
        let at_once = calls_per_s * self.service_us(now_us) as f64 / 1e6;
        (at_once.ceil() as u32).clamp(1, limit.max(1))
    }

    /// Returns how long the limits on calls per second delay the call, in µs.
    pub(in crate::guard) fn rate_wait_us(&self, request: &AdmissionRequest, now_us: u64) -> u64 {
        let before = self.queue.ahead_of(request.rank, request.deadline_us);
        self.next_send_us(request.rank.is_nested(), before, now_us) - now_us
    }

    /// Returns when a call refused because of a limit on calls per second may be retried, in µs from now; successive
    /// calls get later times, so that retries are spread over the capacity to come.
    pub(in crate::guard) fn next_retry_us(&mut self, now_us: u64) -> u64 {
        let next_send_us = self.next_send_us(false, self.queue.len(), now_us);
        let step_us = self.calls_per_s(now_us).map_or(0, |calls_per_s| (1e6 / calls_per_s) as u64);
        let has_stated_limit = self.stated.stated_per_s().is_some();
        let spread_us = if has_stated_limit { STATED_RETRY_SPREAD_MAX_US } else { RETRY_SPREAD_MAX_US };
        let last_retry_us = (self.last_retry_us + step_us).clamp(next_send_us, next_send_us + spread_us);
        self.last_retry_us = last_retry_us;
        last_retry_us - now_us
    }

    /// Returns when a call with `ahead` calls before it may be sent by the limits on calls per second, in µs.
    pub(super) fn next_send_us(&self, is_nested: bool, ahead: usize, now_us: u64) -> u64 {
        let cold_us = self.cold.next_send_us(is_nested, ahead, now_us);
        cold_us.max(self.stated.next_send_us(is_nested, ahead, now_us))
    }

    /// Returns the calls per second that the limits let through; `None` when none is in force.
    fn calls_per_s(&self, now_us: u64) -> Option<f64> {
        let limits = [self.cold.calls_per_s(now_us), self.stated.calls_per_s()];
        limits.into_iter().flatten().reduce(f64::min)
    }
}
