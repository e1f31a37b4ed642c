//! Admission of calls to one target.

use crate::{
    admission_request::AdmissionRequest,
    clock::Clock,
    guard_limits::GuardLimits,
    guard_load::GuardLoad,
    refusal::{Refusal, RefusalReason},
    refusal_causes::RefusalKind,
    wait_queue::{QueueKey, Wake},
    workspace_loads::WorkspaceLoads,
};
use laurelstall_balance::hint::NORMAL_PERCENT;
use permit::{PermitOwner, Run};
use queued_call::{QueueOwner, QueuedCall, StartOrWait, TimedWait};
use state::{QueryState, State};
use std::sync::{
    Arc, Mutex, MutexGuard, PoisonError,
    atomic::{AtomicU64, Ordering},
};
use tokio::{sync::Notify, time::timeout_at};

mod overload;
mod permit;
mod queued_call;
mod rate_limits;
mod sheds;
mod state;

pub use overload::OverloadState;
pub use permit::Permit;

/// How long after the start of draining a call that was already queued may still start, in µs: a draining
/// target stops soon after, and the call must be able to end before that.
const DRAIN_GRACE_US: u64 = 1_000_000;
/// How far the queue timeout of a held call is extended at a time once an answer in time is impossible, in
/// µs.
const HOLD_EXTENSION_US: u64 = 10_000;

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

    /// Sets whether the target can be queried about its load; see [`Guard::report_needed`].
    pub fn set_can_query(&self, can_query: bool) {
        let mut state = self.lock();
        state.cold.set_can_query(can_query);
        match (can_query, state.query_state) {
            (true, QueryState::Unsupported) => state.query_state = QueryState::NotBefore(0),
            (false, _) => state.query_state = QueryState::Unsupported,
            _ => {}
        }
    }

    /// Sets whether calls that cannot be in time any more are refused at once, and not only when a call begins to wait
    /// or ends; [`Guard::report_needed`] checks the queue for them.
    pub fn set_prompt_refusal(&self, has_prompt_refusal: bool) {
        self.lock().has_prompt_refusal = has_prompt_refusal;
    }

    /// Returns whether the target can be queried about its load.
    pub fn can_query(&self) -> bool {
        self.lock().query_state != QueryState::Unsupported
    }

    /// Starts or ends draining. A draining guard admits no new calls.
    pub fn set_draining(&self, is_draining: bool) {
        let since_us = if is_draining { self.clock.now_us() } else { 0 };
        let keep_earlier = |known_us: u64| (known_us == 0 || !is_draining).then_some(since_us);
        // An error means that the guard is draining already; the earlier start time stays.
        let _ = self.draining_since_us.fetch_update(Ordering::SeqCst, Ordering::SeqCst, keep_earlier);
    }

    /// Returns whether the guard is draining.
    pub fn is_draining(&self) -> bool {
        self.draining_for_us().is_some()
    }

    /// Returns for how long the guard has been draining, in µs; `None` while calls are admitted.
    pub fn draining_for_us(&self) -> Option<u64> {
        let since_us = self.draining_since_us.load(Ordering::SeqCst);
        (since_us != 0).then(|| self.clock.now_us().saturating_sub(since_us))
    }

    /// Returns whether the guard has been draining for so long that queued calls may not start any more.
    pub fn is_drain_grace_over(&self) -> bool {
        self.draining_for_us().is_some_and(|draining_us| draining_us > DRAIN_GRACE_US)
    }

    /// Waits until no call runs or waits.
    pub async fn drained(&self) {
        loop {
            let notified = self.idle.notified();
            if self.is_idle() {
                return;
            }
            notified.await;
        }
    }

    /// Returns whether no call runs or waits.
    pub fn is_idle(&self) -> bool {
        let state = self.lock();
        state.running.is_empty() && state.queue.is_empty()
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

    /// Records that the target refused or reset a request that began with `running` calls; returns whether this lowered
    /// the limit.
    pub fn note_shed(&self, kind: RefusalKind, running: u32) -> bool {
        let now_us = self.clock.now_us();
        let is_draining = self.is_draining();
        self.lock().note_shed(kind, running, is_draining, now_us)
    }

    /// Records how long work takes at the target now, in percent of normal.
    pub fn note_slowness(&self, slowness_percent: u32) {
        let now_us = self.clock.now_us();
        let mut state = self.lock();
        state.speed.note(slowness_percent, now_us);
        state.admit_waiting(now_us);
    }

    /// Records the result of a query that [`Guard::report_needed`] asked for: how long work takes at the
    /// target now, in percent of normal, or `None` when the query failed.
    pub fn note_query_result(&self, slowness_percent: Option<u32>) {
        let now_us = self.clock.now_us();
        let mut state = self.lock();
        state.note_query_ended(slowness_percent.is_some(), now_us);
        match slowness_percent {
            Some(slowness_percent) => state.speed.note(slowness_percent, now_us),
            None => state.cold.note_no_reply(),
        }
        state.admit_waiting(now_us);
    }

    /// Waits until a new load report of the target would help to decide about a queued call.
    ///
    /// The task that awaits this then queries the target and passes the result to
    /// [`Guard::note_query_result`]; calls wait for it.
    ///
    /// Meanwhile this method decides again about held calls whose target cannot be queried, as the last
    /// report ages.
    pub async fn report_needed(&self) {
        loop {
            let changed = self.report_needed.notified();
            let now_us = self.clock.now_us();
            let due_us = {
                let mut state = self.lock();
                state.admit_waiting(now_us);
                if state.has_prompt_refusal {
                    state.refuse_late(now_us);
                }
                if state.is_load_report_due(now_us) || state.is_cold_report_due(now_us) {
                    state.note_query_started();
                    return;
                }
                state.recheck_us(now_us)
            };
            match due_us {
                None => changed.await,
                Some(due_us) => {
                    let due = self.clock.instant_of(due_us);
                    // After a notification and after a timeout alike, the loop decides again about queued
                    // calls.
                    let _ = timeout_at(due, changed).await;
                }
            }
        }
    }

    fn start_or_enqueue(self: &Arc<Self>, request: &AdmissionRequest) -> Result<StartOrWait, Refusal> {
        if self.is_draining() {
            return Err(Refusal::new(RefusalReason::Draining));
        }
        let now_us = self.clock.now_us();
        let mut state = self.lock();
        if request.deadline_us <= now_us || state.cannot_finish(request, now_us) {
            return Err(Refusal::new(RefusalReason::Deadline));
        }
        if state.is_avoidably_limited(request, now_us) {
            drop(state);
            return Err(self.refusal(RefusalReason::RateLimited));
        }
        state.assume_run_time(request);
        if let Some(reason) = state.refusal_by_overload(request, now_us) {
            drop(state);
            return Err(self.refusal(reason));
        }
        let waits_for_report = state.has_slot() && state.is_report_worth_it(request, now_us);
        if !waits_for_report {
            if let Some(reason) = state.refusal_by_speed(request, now_us) {
                drop(state);
                return Err(self.refusal(reason));
            }
            if state.may_start(request, now_us) {
                let permit = self.start(&mut state, request, now_us);
                if state.is_cold_report_due(now_us) {
                    self.report_needed.notify_one();
                }
                return Ok(StartOrWait::Running(permit));
            }
        }
        let wait_max_us = state.wait_max_us(request, now_us);
        let expected_us = state.expected_wait_us(request, now_us);
        if expected_us > wait_max_us {
            let is_rate_limited = state.rate_wait_us(request, now_us) > wait_max_us;
            drop(state);
            let is_late = now_us + expected_us > request.deadline_us;
            return Err(self.refusal(match is_late {
                _ if is_rate_limited => RefusalReason::RateLimited,
                true => RefusalReason::Deadline,
                false => RefusalReason::Busy,
            }));
        }
        let is_full = state.queue.len() >= state.limits.queue_length;
        if is_full && !state.queue.evict_below(request.rank) {
            drop(state);
            return Err(self.refusal(RefusalReason::QueueFull));
        }
        let (key, woken) = state.queue.push(request, !waits_for_report);
        state.admit_waiting(now_us);
        state.refuse_late(now_us);
        let hand_back_delay_us = state.hand_back_delay_us(wait_max_us) << request.hand_backs.min(6);
        let hands_back = request.may_hand_back && hand_back_delay_us < wait_max_us;
        let wait_us = if hands_back { hand_back_delay_us } else { wait_max_us };
        let until = self.clock.instant_of(now_us + wait_us);
        let call = QueuedCall { owner: self.clone(), key, woken, is_in_queue: true };
        Ok(StartOrWait::Queued(TimedWait { call, until, hands_back }))
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

    fn refusal(&self, reason: RefusalReason) -> Refusal {
        let now_us = self.clock.now_us();
        let mut state = self.lock();
        let rounds = state.queue.len() as u64 / u64::from(state.limit.limit().max(1)) + 1;
        let retry_after_us = match reason {
            RefusalReason::RateLimited => state.next_retry_us(now_us),
            _ => match state.overload_retry_us(reason, now_us) {
                Some(retry_us) => retry_us,
                None => rounds * state.service_us(now_us),
            },
        };
        let retry_after_ms = (retry_after_us / 1_000).clamp(1, 60_000) as u32;
        Refusal { reason, retry_after_ms, slowness_percent: state.speed.slowness_percent(now_us) }
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
