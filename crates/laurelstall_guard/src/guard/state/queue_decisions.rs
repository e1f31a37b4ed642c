//! Decisions on queued calls: which start, stay held or are refused, and when they are decided on again.

use super::State;
use crate::{
    admission_request::AdmissionRequest,
    refusal::RefusalReason,
    wait_queue::{QueueKey, Wake},
};

/// Interval at which held calls are decided on again when no report arrives, in µs; short compared with the
/// slow phases that are worth waiting for.
const RECHECK_US: u64 = 5_000;
/// Interval in µs at which queued calls are checked for being late; short compared with the 50 ms within which callers
/// want to know of a refusal.
const QUEUE_CHECK_US: u64 = 20_000;

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

impl State {
    /// Decides on queued calls in order while slots are free: starts those that gain nothing by waiting and
    /// refuses those that were queued only for a report that speaks against them.
    pub(in crate::guard) fn admit_waiting(&mut self, now_us: u64) {
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
                        self.reserve_slot();
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
    pub(in crate::guard) fn refuse_late(&mut self, now_us: u64) {
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

    /// Returns when queued calls have to be decided on again, in µs; `None` while there is nothing to decide.
    pub(in crate::guard) fn recheck_us(&self, now_us: u64) -> Option<u64> {
        let is_due = !self.queue.is_empty() && self.has_slot();
        let next_send_us =
            |request: &AdmissionRequest| self.next_send_us(request.rank.is_nested(), 0, now_us);
        let held_us =
            is_due.then(|| self.queue.first().map_or(now_us, next_send_us).max(now_us + RECHECK_US));
        let checks_queue = self.has_prompt_refusal && !self.queue.is_empty();
        let check_us = checks_queue.then_some(now_us + QUEUE_CHECK_US);
        held_us.into_iter().chain(check_us).min()
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
}

/// Returns why a queued call is refused that cannot be answered in time any more.
fn late_refusal(request: &AdmissionRequest) -> RefusalReason {
    if request.may_hand_back { RefusalReason::HandedBack } else { RefusalReason::Busy }
}
