//! Admission to one target.

use crate::{
    ask::Ask,
    clock::Clock,
    guard_limits::GuardLimits,
    guard_load::GuardLoad,
    refusal::{Refusal, RefusalReason},
    sharer_loads::SharerLoads,
    wait_queue::{Place, Wake},
};
use laurelstall_balance::hint::USUAL_PERCENT;
use permit::{PermitOwner, Run};
use state::{Looks, State};
use std::sync::{
    Arc, Mutex, MutexGuard, PoisonError,
    atomic::{AtomicU64, Ordering},
};
use tokio::{sync::Notify, time::timeout_at};
use waiting::{Entered, QueueOwner, Wait, Waiting};

mod permit;
mod state;
mod waiting;

pub use permit::Permit;

/// How long after a target began to leave a call that was waiting there may still begin, in µs: such a
/// target gets nothing new after seconds, and ends what it runs not long after.
const DRAIN_START_MAX_US: u64 = 1_000_000;
/// How far the wait of a call that is held beyond its useful time is extended at once, in µs.
const HOLD_EXTENSION_US: u64 = 10_000;

/// The gate before one target.
#[derive(Debug)]
pub struct Guard {
    clock: Clock,
    state: Mutex<State>,
    /// Calls here by workspace.
    sharers: Arc<SharerLoads>,
    /// Since when nothing new is admitted, in µs of the clock; 0 while calls are admitted.
    draining_since_us: AtomicU64,
    idle: Notify,
    report_wanted: Notify,
}

impl Guard {
    /// A guard that takes calls at once.
    pub fn new(limits: GuardLimits, clock: Clock) -> Arc<Self> {
        Arc::new(Self {
            clock,
            state: Mutex::new(State::new(limits, clock.now_us())),
            sharers: Arc::default(),
            draining_since_us: AtomicU64::new(0),
            idle: Notify::new(),
            report_wanted: Notify::new(),
        })
    }

    /// Puts new limits in force; calls that run or wait stay.
    pub fn set_limits(&self, limits: GuardLimits) {
        let mut state = self.lock();
        state.set_limits(limits);
        state.admit_waiting(self.clock.now_us());
    }

    /// Says whether the target can be asked how fast it works; see [`Guard::report_wanted`].
    pub fn set_can_look(&self, can_look: bool) {
        let mut state = self.lock();
        state.cold.set_can_ask(can_look);
        match (can_look, state.looks) {
            (true, Looks::Impossible) => state.looks = Looks::NotBefore(0),
            (false, _) => state.looks = Looks::Impossible,
            _ => {}
        }
    }

    /// Whether the target can be asked how fast it works.
    pub fn can_look(&self) -> bool {
        self.lock().looks != Looks::Impossible
    }

    /// Starts or ends draining: while it drains, nothing new is admitted.
    pub fn set_draining(&self, is_draining: bool) {
        let since_us = if is_draining { self.clock.now_us() } else { 0 };
        let keep_earlier = |known_us: u64| (known_us == 0 || !is_draining).then_some(since_us);
        // An error says that the guard has been draining for longer: that stays.
        let _ = self.draining_since_us.fetch_update(Ordering::SeqCst, Ordering::SeqCst, keep_earlier);
    }

    /// Whether nothing new is admitted.
    pub fn is_draining(&self) -> bool {
        self.draining_for_us().is_some()
    }

    /// For how long nothing new has been admitted, in µs; none while calls are admitted.
    pub fn draining_for_us(&self) -> Option<u64> {
        let since_us = self.draining_since_us.load(Ordering::SeqCst);
        (since_us != 0).then(|| self.clock.now_us().saturating_sub(since_us))
    }

    /// Whether the target has been leaving for so long that nothing that waited may begin there.
    pub fn is_past_drain(&self) -> bool {
        self.draining_for_us().is_some_and(|draining_us| draining_us > DRAIN_START_MAX_US)
    }

    /// Waits until nothing runs and nothing waits.
    pub async fn drained(&self) {
        loop {
            let notified = self.idle.notified();
            if self.is_idle() {
                return;
            }
            notified.await;
        }
    }

    /// Whether nothing runs and nothing waits.
    pub fn is_idle(&self) -> bool {
        let state = self.lock();
        state.running.is_empty() && state.queue.is_empty()
    }

    /// What runs and waits now.
    pub fn load(&self) -> GuardLoad {
        let now_us = self.clock.now_us();
        let state = self.lock();
        let oldest_us = state.running.values().next().map_or(0, |start| now_us.saturating_sub(*start));
        let slowness_percent = state.pace.slowness_percent(now_us);
        let oldest_usual_us = oldest_us * u64::from(USUAL_PERCENT) / u64::from(slowness_percent);
        GuardLoad {
            in_flight: state.running.len() as u32,
            queued: state.queue.len() as u32,
            limit: state.bearable(now_us),
            service_us: (state.recent_us as u64).max(oldest_usual_us / 2).min(u64::from(u32::MAX)) as u32,
            slowness_percent,
            is_draining: self.is_draining(),
        }
    }

    /// Admits a call, at once or after a wait.
    ///
    /// A workspace with more calls here than its part goes behind the others of the same importance.
    ///
    /// # Errors
    ///
    /// A [`Refusal`]: the target has not seen a byte of the call.
    pub async fn admit(self: &Arc<Self>, mut ask: Ask) -> Result<Permit, Refusal> {
        let call = self.sharers.enter(ask.sharer);
        ask.rank.is_over_share = self.sharers.is_over_share(ask.sharer);
        let permit = self.admit_ranked(ask).await?;
        Ok(permit.with_call(call))
    }

    async fn admit_ranked(self: &Arc<Self>, ask: Ask) -> Result<Permit, Refusal> {
        let mut wait = match self.enter(&ask)? {
            Entered::Running(permit) => return Ok(permit),
            Entered::Waiting(wait) => wait,
        };
        self.report_wanted.notify_one();
        loop {
            match timeout_at(wait.until, &mut wait.waiting.woken).await {
                Ok(Ok(Wake::Start)) => return self.start_woken(wait.waiting, &ask),
                Ok(Ok(Wake::Refused(reason))) => {
                    wait.waiting.is_in_queue = false;
                    self.notify_if_idle();
                    return Err(self.refusal(reason));
                }
                // The sender was dropped: a more important call took this place.
                Ok(Err(_)) => return Err(self.refusal(RefusalReason::QueueFull)),
                Err(_) if self.extend_hold(&mut wait, &ask) => {}
                Err(_) => return self.leave_queue(wait.waiting, &ask, wait.is_patience),
            }
        }
    }

    /// Learns that the target refused work it was given.
    pub fn note_shed(&self) {
        self.lock().limit.note_shed();
    }

    /// Learns how long work takes at the target now, in percent of the usual.
    pub fn note_slowness(&self, slowness_percent: u32) {
        let now_us = self.clock.now_us();
        let mut state = self.lock();
        state.pace.note(slowness_percent, now_us);
        state.admit_waiting(now_us);
    }

    /// Learns from the target, asked at `asked_us`, how much longer it is cold, in ms; 0 when it is warm.
    pub fn note_cold(&self, cold_left_ms: u64, asked_us: u64) {
        let now_us = self.clock.now_us();
        let mut state = self.lock();
        let was_cold = state.cold.is_cold(now_us);
        state.cold.note_word(cold_left_ms * 1_000, asked_us, now_us);
        state.admit_waiting(now_us);
        drop(state);
        if !was_cold && cold_left_ms > 0 {
            let age_ms = self.clock.elapsed_ms();
            log::info!("own target: cold for {cold_left_ms} ms, {age_ms} ms after the start of the guard");
        }
    }

    /// Learns from the published list, which may be seconds old, how much longer the target is cold, in ms.
    pub fn note_listed_cold(&self, cold_left_ms: u64) {
        let now_us = self.clock.now_us();
        self.lock().cold.note_listed(cold_left_ms * 1_000, now_us);
    }

    /// Forgets what the target said of being cold: it may be another one, or have been idle for long.
    pub fn forget_cold(&self) {
        self.lock().cold.forget_word();
        self.report_wanted.notify_one();
    }

    /// Whether the target is known to be cold.
    pub fn is_cold(&self) -> bool {
        self.lock().cold.is_cold(self.clock.now_us())
    }

    /// Learns what came of the question that [`Guard::report_wanted`] asked for: how long work takes at the
    /// target now, in percent of the usual; none when it did not tell.
    pub fn note_look(&self, slowness_percent: Option<u32>) {
        let now_us = self.clock.now_us();
        let mut state = self.lock();
        state.note_look_ended(slowness_percent.is_some(), now_us);
        match slowness_percent {
            Some(slowness_percent) => state.pace.note(slowness_percent, now_us),
            None => state.cold.note_silence(),
        }
        state.admit_waiting(now_us);
    }

    /// Waits until a report of the target's pace would help to decide on a call that waits for a slot.
    ///
    /// Whoever waited asks the target and says what came of it with [`Guard::note_look`]: calls wait for that.
    ///
    /// Meanwhile, calls that are held without a way to ask the target are decided anew as their last
    /// report grows old.
    pub async fn report_wanted(&self) {
        loop {
            let changed = self.report_wanted.notified();
            let now_us = self.clock.now_us();
            let due_us = {
                let mut state = self.lock();
                state.admit_waiting(now_us);
                if state.is_report_wanted(now_us) || state.is_cold_word_wanted(now_us) {
                    state.note_look_begun();
                    return;
                }
                state.recheck_us(now_us)
            };
            match due_us {
                None => changed.await,
                Some(due_us) => {
                    let due = self.clock.instant_of(due_us);
                    // Either way the waiting calls are decided anew.
                    let _ = timeout_at(due, changed).await;
                }
            }
        }
    }

    fn enter(self: &Arc<Self>, ask: &Ask) -> Result<Entered, Refusal> {
        if self.is_draining() {
            return Err(Refusal::new(RefusalReason::Draining));
        }
        let now_us = self.clock.now_us();
        let mut state = self.lock();
        if ask.deadline_us <= now_us {
            return Err(Refusal::new(RefusalReason::Deadline));
        }
        state.note_asked(ask);
        let awaits_report = state.has_slot() && state.awaits_report(ask, now_us);
        if !awaits_report {
            if let Some(reason) = state.refused_for(ask, now_us) {
                drop(state);
                return Err(self.refusal(reason));
            }
            if state.may_begin(ask, now_us) {
                let permit = self.start(&mut state, ask, now_us);
                if state.is_cold_word_wanted(now_us) {
                    self.report_wanted.notify_one();
                }
                return Ok(Entered::Running(permit));
            }
        }
        let wait_max_us = state.wait_max_us(ask, now_us);
        let expected_us = state.expected_wait_us(ask, now_us);
        if expected_us > wait_max_us {
            let is_cold = state.cold_wait_us(ask, now_us) > wait_max_us;
            drop(state);
            let is_hopeless = now_us + expected_us > ask.deadline_us;
            return Err(self.refusal(match is_hopeless {
                _ if is_cold => RefusalReason::Cold,
                true => RefusalReason::Deadline,
                false => RefusalReason::Busy,
            }));
        }
        let is_full = state.queue.len() >= state.limits.queue_length;
        if is_full && !state.queue.evict_below(ask.rank) {
            drop(state);
            return Err(self.refusal(RefusalReason::QueueFull));
        }
        let (place, woken) = state.queue.push(ask, !awaits_report);
        state.admit_waiting(now_us);
        state.refuse_hopeless(now_us);
        let patience_us = state.patience_us(wait_max_us) << ask.hand_backs.min(6);
        let is_patience = ask.may_hand_back && patience_us < wait_max_us;
        let wait_us = if is_patience { patience_us } else { wait_max_us };
        let until = self.clock.instant_of(now_us + wait_us);
        let waiting = Waiting { owner: self.clone(), place, woken, is_in_queue: true };
        Ok(Entered::Waiting(Wait { waiting, until, is_patience }))
    }

    /// Lets a call wait on that has no other slot to go to but a held one, as long as it can be served.
    fn extend_hold(&self, wait: &mut Wait, ask: &Ask) -> bool {
        let now_us = self.clock.now_us();
        let mut state = self.lock();
        if wait.is_patience || !state.has_room(ask, now_us) {
            return false;
        }
        let run_us = state.service_us(now_us);
        let left_us = ask.deadline_us.saturating_sub(now_us);
        if left_us <= run_us {
            return false;
        }
        wait.until = self.clock.instant_of(now_us + HOLD_EXTENSION_US.min(left_us - run_us).max(1));
        state.admit_waiting(now_us);
        true
    }

    fn start(self: &Arc<Self>, state: &mut State, ask: &Ask, now_us: u64) -> Permit {
        let number = state.start(now_us);
        let measure = state.limit.note_start(state.running.len() as u32);
        let run = Run {
            number,
            start_us: now_us,
            class: ask.class,
            is_awaited: ask.rank.is_awaited(),
            measure,
            slowness_percent: state.pace.slowness_percent(now_us),
            is_counted: true,
            is_sent: false,
        };
        Permit::new(self.clone(), run)
    }

    /// The right to run for a call that was woken: a slot was taken for it then.
    fn start_reserved(self: &Arc<Self>, ask: &Ask) -> Permit {
        let now_us = self.clock.now_us();
        let mut state = self.lock();
        state.drop_reserved();
        self.start(&mut state, ask, now_us)
    }

    fn start_woken(self: &Arc<Self>, mut waiting: Waiting, ask: &Ask) -> Result<Permit, Refusal> {
        waiting.is_in_queue = false;
        let permit = self.start_reserved(ask);
        if ask.deadline_us <= permit.start_us() {
            permit.release_uncounted();
            return Err(Refusal::new(RefusalReason::Deadline));
        }
        if self.is_past_drain() {
            permit.release_uncounted();
            return Err(Refusal::new(RefusalReason::Draining));
        }
        Ok(permit)
    }

    fn leave_queue(
        self: &Arc<Self>,
        mut waiting: Waiting,
        ask: &Ask,
        is_patience: bool,
    ) -> Result<Permit, Refusal> {
        let was_waiting = self.lock().queue.remove(&waiting.place);
        waiting.is_in_queue = false;
        if !was_waiting && waiting.woken.try_recv() == Ok(Wake::Start) {
            // Woken in the very instant it gave up: the slot is its own.
            return self.start_woken(waiting, ask);
        }
        self.notify_if_idle();
        let reason = if is_patience { RefusalReason::HandedBack } else { RefusalReason::QueueFull };
        Err(self.refusal(reason))
    }

    fn refusal(&self, reason: RefusalReason) -> Refusal {
        let now_us = self.clock.now_us();
        let mut state = self.lock();
        let waves = state.queue.len() as u64 / u64::from(state.limit.limit().max(1)) + 1;
        let retry_after_us = match reason {
            RefusalReason::Cold => state.promise_place(now_us),
            _ => waves * state.service_us(now_us),
        };
        let retry_after_ms = (retry_after_us / 1_000).clamp(1, 60_000) as u32;
        Refusal { reason, retry_after_ms, slowness_percent: state.pace.slowness_percent(now_us) }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl PermitOwner for Guard {
    fn note_sent(&self, run: &Run) {
        self.lock().cold.note_sent(run.is_awaited, self.clock.now_us());
    }

    fn release(&self, run: &Run) {
        let now_us = self.clock.now_us();
        let mut state = self.lock();
        state.end(run.number, run.is_sent);
        let slowness_percent = state.pace.slowness_percent(now_us);
        let run_us = now_us.saturating_sub(run.start_us) as f64;
        let usual_us = run_us * f64::from(USUAL_PERCENT) / f64::from(slowness_percent);
        if run.is_counted {
            state.note_run(usual_us);
        }
        let is_measured = run.is_counted && run.slowness_percent == slowness_percent;
        let measured_us = is_measured.then_some(usual_us);
        let limit_before = state.limit.settled();
        state.limit.note_end(run.class, run.measure, measured_us, now_us);
        let limit = state.limit.settled();
        state.admit_waiting(now_us);
        state.refuse_hopeless(now_us);
        let is_deciding = !state.queue.is_empty();
        drop(state);
        if is_deciding {
            self.report_wanted.notify_one();
        }
        if limit != limit_before {
            log::info!("limit on concurrency: {limit} after {limit_before}, by a trial");
        }
        self.notify_if_idle();
    }
}

impl QueueOwner for Guard {
    fn remove(&self, place: &Place) -> bool {
        self.lock().queue.remove(place)
    }

    fn release_reserved(&self) {
        let now_us = self.clock.now_us();
        let mut state = self.lock();
        state.drop_reserved();
        state.admit_waiting(now_us);
    }

    fn notify_if_idle(&self) {
        if self.is_idle() {
            self.idle.notify_waiters();
        }
    }
}
