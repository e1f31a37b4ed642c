//! Overload control of a guard: observes queue, arrivals and runs, and refuses calls while the target is overloaded.

use super::{Guard, state::State};
use crate::{admission_request::AdmissionRequest, refusal::RefusalReason};
use laurelstall_overload::{
    call_level::CallLevel,
    overload_control::{OfferedCall, OverloadControl},
};

/// State of overload control at a guard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OverloadState {
    /// Whether the target is overloaded.
    pub is_overloaded: bool,
    /// Lowest level from which calls are admitted.
    pub threshold: CallLevel,
}

impl Guard {
    /// Switches overload control on or off.
    pub fn set_overload_control(&self, is_on: bool) {
        let overload = &mut self.lock().overload;
        if overload.is_some() != is_on {
            *overload = is_on.then(OverloadControl::default);
        }
    }

    /// Returns the state of overload control; `None` where it is switched off.
    pub fn overload_state(&self) -> Option<OverloadState> {
        let now_us = self.clock.now_us();
        let mut state = self.lock();
        state.advance_overload(now_us);
        let control = state.overload.as_ref()?;
        Some(OverloadState { is_overloaded: control.is_overloaded(), threshold: control.threshold() })
    }
}

impl State {
    /// Records the arrival of a call, and returns why it is refused because the target is overloaded; `None` when it is
    /// not.
    pub(super) fn refusal_by_overload(
        &mut self,
        request: &AdmissionRequest,
        now_us: u64,
    ) -> Option<RefusalReason> {
        self.note_queueing_delay(now_us);
        let work_us = self.class_run_us(request);
        let useful_us = request.useful_until_us.saturating_sub(now_us) as f64;
        let control = self.overload.as_mut()?;
        let call = OfferedCall { level: request.rank.level, class: request.class, work_us, useful_us };
        if !control.offer(&call) {
            return Some(RefusalReason::Overloaded);
        }
        let wait_us = control.wait_factor() * self.expected_wait_us(request, now_us) as f64;
        let may_start = self.may_start_in_overload(request, now_us + wait_us as u64);
        (!may_start).then_some(RefusalReason::Busy)
    }

    /// Returns whether a call that starts at `start_us` will probably be in time, or the target is not overloaded.
    pub(super) fn may_start_in_overload(&self, request: &AdmissionRequest, start_us: u64) -> bool {
        let Some(control) = &self.overload else { return true };
        let left_us = request.useful_until_us.saturating_sub(start_us) as f64;
        control.may_start(request.class, left_us / self.quick_factor(start_us))
    }

    /// Records how long the call that has waited longest has waited for a slot.
    ///
    /// Calls that wait while a slot is free are held for the end of a slow phase or for a limit on calls per second,
    /// which is not an overload.
    pub(super) fn note_queueing_delay(&mut self, now_us: u64) {
        self.advance_overload(now_us);
        let Some(control) = &self.overload else { return };
        let share = |request: &AdmissionRequest| {
            let left_us = request.useful_until_us as f64 - now_us as f64;
            control.delay_share(request.class, request.useful_us as f64 - left_us, request.useful_us as f64)
        };
        let longest = self.queue.iter().map(|(_, request, _)| share(request)).fold(0.0, f64::max);
        let delay = if self.has_slot() { 0.0 } else { longest };
        if let Some(control) = &mut self.overload {
            control.note_delay(delay);
        }
    }

    /// Records a run that has ended, with its run time at the target's normal speed.
    pub(super) fn note_completed_work(&mut self, class: u32, normal_run_us: f64) {
        let work_us = self.limit.times().mean_us(class).unwrap_or(normal_run_us);
        if let Some(control) = &mut self.overload {
            control.note_run(class, normal_run_us, work_us);
        }
    }

    /// Returns the retry time in µs of a call refused in an overload; `None` if the refusal has another cause.
    pub(super) fn overload_retry_us(&mut self, reason: RefusalReason, now_us: u64) -> Option<u64> {
        let control = self.overload.as_mut()?;
        let is_for_overload = match reason {
            RefusalReason::Overloaded => true,
            RefusalReason::Busy | RefusalReason::QueueFull | RefusalReason::Deadline => {
                control.is_overloaded()
            }
            _ => false,
        };
        is_for_overload.then(|| control.retry_after_us(now_us))
    }

    fn advance_overload(&mut self, now_us: u64) {
        let limit = self.limit.limit();
        let Some(control) = &mut self.overload else { return };
        let was_limiting = control.threshold() > CallLevel::LOWEST;
        control.advance(limit, now_us);
        let threshold = control.threshold();
        let is_limiting = threshold > CallLevel::LOWEST;
        match (was_limiting, is_limiting) {
            (false, true) => {
                log::info!("own target is overloaded: calls are admitted from level {threshold}")
            }
            (true, false) => log::info!("own target is no longer overloaded: all calls are admitted"),
            _ => {}
        }
    }
}
