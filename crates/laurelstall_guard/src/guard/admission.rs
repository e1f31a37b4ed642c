//! Admission of a call: it starts, waits in the queue or is refused.

use super::{
    Guard,
    permit::{Permit, Run},
    queued_call::{QueueOwner, QueuedCall, StartOrWait, TimedWait},
    state::State,
};
use crate::{
    admission_request::AdmissionRequest,
    refusal::{Refusal, RefusalReason},
    wait_queue::Wake,
};
use std::sync::Arc;
use tokio::time::timeout_at;

/// How far the queue timeout of a held call is extended at a time once an answer in time is impossible, in
/// µs.
const HOLD_EXTENSION_US: u64 = 10_000;
/// Longest retry time given to a refused caller, in ms.
const RETRY_AFTER_MAX_MS: u64 = 60_000;

impl Guard {
    /// Admits a call, at once or after a time in the queue.
    ///
    /// Calls of a workspace with more calls here than its share are queued behind other calls of the same
    /// importance.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] when the call is not admitted: no byte of it has reached the target.
    pub async fn admit(self: &Arc<Self>, mut request: AdmissionRequest) -> Result<Permit, Refusal> {
        let call = self.workspaces.count_call(request.workspace_share);
        request.rank.is_over_share = self.workspaces.is_over_share(request.workspace_share);
        let permit = self.admit_ranked(request).await?;
        Ok(permit.with_call(call))
    }

    async fn admit_ranked(self: &Arc<Self>, request: AdmissionRequest) -> Result<Permit, Refusal> {
        let mut wait = match self.start_or_enqueue(&request)? {
            StartOrWait::Running(permit) => return Ok(permit),
            StartOrWait::Queued(wait) => wait,
        };
        self.report_needed.notify_one();
        loop {
            match timeout_at(wait.until, &mut wait.call.woken).await {
                Ok(Ok(Wake::Start)) => return self.start_woken(wait.call, &request),
                Ok(Ok(Wake::Refused(reason))) => {
                    wait.call.is_in_queue = false;
                    self.notify_if_idle();
                    return Err(self.refusal(reason));
                }
                // The sender was dropped because a more important call took the place in the queue.
                Ok(Err(_)) => return Err(self.refusal(RefusalReason::QueueFull)),
                Err(_) if self.extend_hold(&mut wait, &request) => {}
                Err(_) => return self.leave_queue(wait.call, &request, wait.hands_back),
            }
        }
    }

    /// Starts the call if it may start at once, and queues it otherwise.
    fn start_or_enqueue(self: &Arc<Self>, request: &AdmissionRequest) -> Result<StartOrWait, Refusal> {
        if self.is_draining() {
            return Err(Refusal::new(RefusalReason::Draining));
        }
        let now_us = self.clock.now_us();
        let mut state = self.lock();
        if request.deadline_us <= now_us || state.cannot_finish(request, now_us) {
            return Err(Refusal::new(RefusalReason::Deadline));
        }
        let result = self.try_start_or_enqueue(&mut state, request, now_us);
        drop(state);
        result.map_err(|reason| self.refusal(reason))
    }

    /// Decides on a call whose deadline leaves time for a run.
    fn try_start_or_enqueue(
        self: &Arc<Self>,
        state: &mut State,
        request: &AdmissionRequest,
        now_us: u64,
    ) -> Result<StartOrWait, RefusalReason> {
        if state.is_avoidably_limited(request, now_us) {
            return Err(RefusalReason::RateLimited);
        }
        state.assume_run_time(request);
        if let Some(reason) = state.refusal_by_overload(request, now_us) {
            return Err(reason);
        }
        let waits_for_report = state.has_slot() && state.is_report_worth_it(request, now_us);
        if !waits_for_report {
            if let Some(reason) = state.refusal_by_speed(request, now_us) {
                return Err(reason);
            }
            if state.may_start(request, now_us) {
                let permit = self.start(state, request, now_us);
                if state.is_cold_report_due(now_us) {
                    self.report_needed.notify_one();
                }
                return Ok(StartOrWait::Running(permit));
            }
        }
        self.enqueue(state, request, !waits_for_report, now_us).map(StartOrWait::Queued)
    }

    /// Queues a call; `is_accepted` tells whether the target's speed already spoke for it.
    fn enqueue(
        self: &Arc<Self>,
        state: &mut State,
        request: &AdmissionRequest,
        is_accepted: bool,
        now_us: u64,
    ) -> Result<TimedWait, RefusalReason> {
        let wait_max_us = state.wait_max_us(request, now_us);
        if let Some(reason) = state.refusal_by_wait(request, wait_max_us, now_us) {
            return Err(reason);
        }
        let is_full = state.queue.len() >= state.limits.queue_length;
        if is_full && !state.queue.evict_below(request.rank) {
            return Err(RefusalReason::QueueFull);
        }
        let (key, woken) = state.queue.push(request, is_accepted);
        state.admit_waiting(now_us);
        state.refuse_late(now_us);
        let hand_back_delay_us = state.hand_back_delay_us(request, wait_max_us);
        let hands_back = request.may_hand_back && hand_back_delay_us < wait_max_us;
        let wait_us = if hands_back { hand_back_delay_us } else { wait_max_us };
        let until = self.clock.instant_of(now_us + wait_us);
        let call = QueuedCall { owner: self.clone(), key, woken, is_in_queue: true };
        Ok(TimedWait { call, until, hands_back })
    }

    /// Extends the wait of a held call as long as it can still be answered before its deadline.
    fn extend_hold(&self, wait: &mut TimedWait, request: &AdmissionRequest) -> bool {
        let now_us = self.clock.now_us();
        let mut state = self.lock();
        let is_useless = wait.hands_back || !state.may_start_in_overload(request, now_us);
        if is_useless || !state.has_slot_and_capacity(request, now_us) {
            return false;
        }
        let run_us = state.service_us(now_us);
        let left_us = request.deadline_us.saturating_sub(now_us);
        if left_us <= run_us {
            return false;
        }
        wait.until = self.clock.instant_of(now_us + HOLD_EXTENSION_US.min(left_us - run_us).max(1));
        state.admit_waiting(now_us);
        true
    }

    /// Gives the call a slot from now on.
    fn start(self: &Arc<Self>, state: &mut State, request: &AdmissionRequest, now_us: u64) -> Permit {
        let number = state.start(now_us);
        let running = state.running.len() as u32;
        let sample = state.limit.note_start(running);
        let run = Run {
            number,
            start_us: now_us,
            running,
            class: request.class,
            is_nested: request.rank.is_nested(),
            sample,
            slowness_percent: state.speed.slowness_percent(now_us),
            is_counted: true,
            is_sent: false,
        };
        Permit::new(self.clone(), run)
    }

    /// Replaces the reserved slot of a woken call by a run and returns its permit.
    fn start_reserved(self: &Arc<Self>, request: &AdmissionRequest) -> Permit {
        let now_us = self.clock.now_us();
        let mut state = self.lock();
        state.release_reserved_slot();
        self.start(&mut state, request, now_us)
    }

    /// Starts a call that was woken, unless its time is over meanwhile.
    fn start_woken(
        self: &Arc<Self>,
        mut call: QueuedCall,
        request: &AdmissionRequest,
    ) -> Result<Permit, Refusal> {
        call.is_in_queue = false;
        let permit = self.start_reserved(request);
        if request.deadline_us <= permit.start_us() {
            permit.release_uncounted();
            return Err(Refusal::new(RefusalReason::Deadline));
        }
        if self.is_drain_grace_over() {
            permit.release_uncounted();
            return Err(Refusal::new(RefusalReason::Draining));
        }
        Ok(permit)
    }

    /// Ends the wait of a call whose time in the queue is over.
    fn leave_queue(
        self: &Arc<Self>,
        mut call: QueuedCall,
        request: &AdmissionRequest,
        hands_back: bool,
    ) -> Result<Permit, Refusal> {
        let was_waiting = self.lock().queue.remove(&call.key);
        call.is_in_queue = false;
        if !was_waiting && call.woken.try_recv() == Ok(Wake::Start) {
            // Woken at the moment it gave up: the reserved slot belongs to this call.
            return self.start_woken(call, request);
        }
        self.notify_if_idle();
        // The call waited as long as it may; the entry treats this like a full queue.
        let reason = if hands_back { RefusalReason::HandedBack } else { RefusalReason::QueueFull };
        Err(self.refusal(reason))
    }

    /// Creates a refusal with the time after which the caller should retry.
    fn refusal(&self, reason: RefusalReason) -> Refusal {
        let now_us = self.clock.now_us();
        let mut state = self.lock();
        let retry_after_us = match reason {
            RefusalReason::RateLimited => state.next_retry_us(now_us),
            _ => {
                let overload_retry_us = state.overload_retry_us(reason, now_us);
                overload_retry_us.unwrap_or_else(|| state.queue_drain_us(now_us))
            }
        };
        let retry_after_ms = (retry_after_us / 1_000).clamp(1, RETRY_AFTER_MAX_MS) as u32;
        Refusal { reason, retry_after_ms, slowness_percent: state.speed.slowness_percent(now_us) }
    }
}
