//! How long calls wait in the queue.

use super::State;
use crate::{admission_request::AdmissionRequest, refusal::RefusalReason, slot_forecast::slot_wait_us};

/// Until a run was measured, calls are handed back after the longest allowed wait divided by this.
const UNMEASURED_DELAY_DIVISOR: u64 = 4;
/// Shortest delay before a call is handed back, in µs.
const HAND_BACK_DELAY_MIN_US: u64 = 1_000;
/// How often at most the delay before a call is handed back doubles.
const HAND_BACK_DOUBLINGS_MAX: u32 = 6;

impl State {
    /// Returns the longest wait after which the answer is still in time, in µs.
    pub(in crate::guard) fn wait_max_us(&self, request: &AdmissionRequest, now_us: u64) -> u64 {
        let done_us = self.forecast(request, now_us).done_us as u64;
        let useful_us = request.useful_until_us.saturating_sub(now_us).saturating_sub(done_us);
        useful_us.min(self.limits.queue_wait_max_ms * 1_000)
    }

    /// Returns how long a call waits before it is handed back, in µs; the delay doubles with each time.
    pub(in crate::guard) fn hand_back_delay_us(&self, request: &AdmissionRequest, wait_max_us: u64) -> u64 {
        let first_delay_us = match self.has_measured {
            true => self.mean_run_us as u64,
            false => wait_max_us / UNMEASURED_DELAY_DIVISOR,
        };
        first_delay_us.max(HAND_BACK_DELAY_MIN_US) << request.hand_backs.min(HAND_BACK_DOUBLINGS_MAX)
    }

    /// Returns why a call that would wait longer than `wait_max_us` is refused; `None` when it is not.
    pub(in crate::guard) fn refusal_by_wait(
        &self,
        request: &AdmissionRequest,
        wait_max_us: u64,
        now_us: u64,
    ) -> Option<RefusalReason> {
        let expected_us = self.expected_wait_us(request, now_us);
        if expected_us <= wait_max_us {
            return None;
        }
        if self.rate_wait_us(request, now_us) > wait_max_us {
            return Some(RefusalReason::RateLimited);
        }
        let is_late = now_us + expected_us > request.deadline_us;
        Some(if is_late { RefusalReason::Deadline } else { RefusalReason::Busy })
    }

    /// Returns how long the queued calls and one more take to get a slot, in µs.
    pub(in crate::guard) fn queue_drain_us(&self, now_us: u64) -> u64 {
        let rounds = self.queue.len() as u64 / u64::from(self.limit.limit().max(1)) + 1;
        rounds * self.service_us(now_us)
    }

    /// Returns how long the call would wait in the queue, in µs.
    pub(in crate::guard) fn expected_wait_us(&self, request: &AdmissionRequest, now_us: u64) -> u64 {
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
    pub(super) fn slot_wait_us(&self, position: usize, now_us: u64) -> u64 {
        if !self.has_prompt_refusal {
            return 0;
        }
        let limit = self.limit.limit() as usize;
        slot_wait_us(self.running.values().copied(), position, limit, self.service_us(now_us), now_us)
    }
}
