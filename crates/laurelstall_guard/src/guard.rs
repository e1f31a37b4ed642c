//! Admission of calls to one target.

use crate::{
    clock::Clock, guard_limits::GuardLimits, guard_load::GuardLoad, refusal_causes::RefusalKind,
    wait_queue::QueueKey, workspace_loads::WorkspaceLoads,
};
use laurelstall_balance::hint::NORMAL_PERCENT;
use permit::{PermitOwner, Run};
use queued_call::QueueOwner;
use state::State;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, atomic::AtomicU64};
use tokio::sync::Notify;

mod admission;
mod draining;
mod load_reports;
mod overload;
mod permit;
mod queued_call;
mod rate_limits;
mod sheds;
mod state;

pub use overload::OverloadState;
pub use permit::Permit;

/// Decides which calls reach one target, and when.
#[derive(Debug)]
pub struct Guard {
    clock: Clock,
    state: Mutex<State>,
    /// Running and queued calls by workspace.
    workspaces: Arc<WorkspaceLoads>,
    /// Start of draining, in µs of the clock; 0 while calls are admitted.
    draining_since_us: AtomicU64,
    idle: Notify,
    report_needed: Notify,
}

impl Guard {
    /// Creates a guard that admits calls at once.
    pub fn new(limits: GuardLimits, clock: Clock) -> Arc<Self> {
        Arc::new(Self {
            clock,
            state: Mutex::new(State::new(limits, clock.now_us())),
            workspaces: Arc::default(),
            draining_since_us: AtomicU64::new(0),
            idle: Notify::new(),
            report_needed: Notify::new(),
        })
    }

    /// Applies new limits; calls that run or wait stay.
    pub fn set_limits(&self, limits: GuardLimits) {
        let mut state = self.lock();
        state.set_limits(limits);
        state.admit_waiting(self.clock.now_us());
    }

    /// Sets whether calls that cannot be in time any more are refused at once, and not only when a call begins to wait
    /// or ends; [`Guard::report_needed`] checks the queue for them.
    pub fn set_prompt_refusal(&self, has_prompt_refusal: bool) {
        self.lock().has_prompt_refusal = has_prompt_refusal;
    }

    /// Returns the current load.
    pub fn load(&self) -> GuardLoad {
        let now_us = self.clock.now_us();
        let state = self.lock();
        let oldest_us = state.running.values().next().map_or(0, |start| now_us.saturating_sub(*start));
        let slowness_percent = state.speed.slowness_percent(now_us);
        let oldest_normal_us = oldest_us * u64::from(NORMAL_PERCENT) / u64::from(slowness_percent);
        GuardLoad {
            in_flight: state.running.len() as u32,
            queued: state.queue.len() as u32,
            limit: state.effective_limit(now_us),
            service_us: (state.mean_run_us as u64).max(oldest_normal_us / 2).min(u64::from(u32::MAX)) as u32,
            slowness_percent,
            is_draining: self.is_draining(),
        }
    }

    /// Records that the target refused or reset a request that began with `running` calls; returns whether this lowered
    /// the limit.
    pub fn note_shed(&self, kind: RefusalKind, running: u32) -> bool {
        let now_us = self.clock.now_us();
        let is_draining = self.is_draining();
        self.lock().note_shed(kind, running, is_draining, now_us)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl PermitOwner for Guard {
    fn note_sent(&self, run: &Run) {
        let now_us = self.clock.now_us();
        let mut state = self.lock();
        state.cold.note_sent(run.is_nested, now_us);
        state.stated.note_sent(run.is_nested, now_us);
        state.causes.note_attempt(run.running, now_us);
    }

    fn release(&self, run: &Run) {
        let now_us = self.clock.now_us();
        let mut state = self.lock();
        state.end(run.number, run.is_sent);
        let slowness_percent = state.speed.slowness_percent(now_us);
        let run_us = now_us.saturating_sub(run.start_us) as f64;
        let normal_run_us = run_us * f64::from(NORMAL_PERCENT) / f64::from(slowness_percent);
        if run.is_counted {
            state.note_run(normal_run_us, now_us);
            state.note_completed_work(run.class, normal_run_us);
        }
        let is_measured = run.is_counted && run.slowness_percent == slowness_percent;
        let measured_us = is_measured.then_some(normal_run_us);
        state.limit.recover(run.is_counted, now_us);
        let limit_before = state.limit.settled();
        state.limit.note_end(run.class, run.sample, measured_us, now_us);
        let limit = state.limit.settled();
        state.admit_waiting(now_us);
        state.refuse_late(now_us);
        state.note_queueing_delay(now_us);
        let has_queued = !state.queue.is_empty();
        drop(state);
        if has_queued {
            self.report_needed.notify_one();
        }
        if limit != limit_before {
            log::info!("concurrency limit changed from {limit_before} to {limit} after a trial");
        }
        self.notify_if_idle();
    }
}

impl QueueOwner for Guard {
    fn remove(&self, key: &QueueKey) -> bool {
        self.lock().queue.remove(key)
    }

    fn release_reserved(&self) {
        let now_us = self.clock.now_us();
        let mut state = self.lock();
        state.release_reserved_slot();
        state.admit_waiting(now_us);
    }

    fn notify_if_idle(&self) {
        if self.is_idle() {
            self.idle.notify_waiters();
        }
    }
}
