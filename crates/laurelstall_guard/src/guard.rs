//! Admission to one target.

use crate::{
    clock::Clock,
    limit_search::{LimitSearch, Measure},
    pace::Pace,
    refusal::{Refusal, RefusalReason},
    wait_queue::{Place, Rank, WaitQueue},
};
use laurelstall_balance::{class_times::CallClass, hint::USUAL_PERCENT};
use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
};
use tokio::{
    sync::{Notify, oneshot},
    time::{Instant, timeout_at},
};

/// Limits of a guard, from the published configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GuardLimits {
    /// Requests the target can run at once.
    pub slots: u32,
    /// What the limit on concurrency starts at, in percent of the slots.
    pub slots_start_percent: u32,
    /// Floor of that limit in percent of the slots.
    pub slots_floor_percent: u32,
    /// Calls that may wait.
    pub queue_length: usize,
    /// Longest wait in ms.
    pub queue_wait_max_ms: u64,
}

/// What a call asks of a guard.
#[derive(Debug, Clone, Copy)]
pub struct Ask {
    /// How much the call matters.
    pub rank: Rank,
    /// The class of the call.
    pub class: CallClass,
    /// When the call must be done, in µs of the guard's clock.
    pub deadline_us: u64,
    /// Until when its answer has its full worth, in µs of the guard's clock; at most the deadline.
    pub useful_until_us: u64,
    /// Whether the call may be handed back while it waits.
    pub may_hand_back: bool,
    /// Times it was handed back before; each doubles its patience.
    pub hand_backs: u32,
    /// Slowness of the target from which the call is refused, in percent of the usual; none for never.
    pub slow_from_percent: Option<u32>,
}

/// What runs and waits at this instant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GuardLoad {
    /// Requests running at the target.
    pub in_flight: u32,
    /// Requests waiting.
    pub queued: u32,
    /// Requests that may run at once now.
    pub limit: u32,
    /// Recent service time at the usual pace in µs, or the age of the oldest running call over 2 if
    /// that is more.
    pub service_us: u32,
    /// How long work takes now, in percent of the usual.
    pub slowness_percent: u32,
    /// Whether the guard takes nothing new.
    pub is_draining: bool,
}

/// Assumed run time before the first call, in µs.
const RECENT_START_US: f64 = 5_000.0;
/// Weight of a new run in the recent run time.
const RECENT_WEIGHT: f64 = 0.15;
/// Patience before any run was measured: the longest wait over this.
const UNMEASURED_PATIENCE: u64 = 4;
/// Smallest patience before a call is handed back, in µs.
const PATIENCE_MIN_US: u64 = 1_000;

#[derive(Debug)]
struct State {
    limit: LimitSearch,
    /// Recent run time in µs at the target's usual pace.
    recent_us: f64,
    /// Whether any run was measured.
    has_measured: bool,
    pace: Pace,
    limits: GuardLimits,
    queue: WaitQueue,
    /// Start times of running calls, by number, oldest first.
    running: BTreeMap<u64, u64>,
    next_run: u64,
}

/// The gate before one target.
#[derive(Debug)]
pub struct Guard {
    clock: Clock,
    state: Mutex<State>,
    is_draining: AtomicBool,
    idle: Notify,
}

impl Guard {
    /// A guard that takes calls at once.
    pub fn new(limits: GuardLimits, clock: Clock) -> Arc<Self> {
        let state = State {
            limit: LimitSearch::new(limits.slots, limits.slots_start_percent, limits.slots_floor_percent),
            recent_us: RECENT_START_US,
            has_measured: false,
            pace: Pace::default(),
            limits,
            queue: WaitQueue::default(),
            running: BTreeMap::new(),
            next_run: 0,
        };
        Arc::new(Self {
            clock,
            state: Mutex::new(state),
            is_draining: AtomicBool::new(false),
            idle: Notify::new(),
        })
    }

    /// Puts new limits in force; calls that run or wait stay.
    pub fn set_limits(&self, limits: GuardLimits) {
        let mut state = self.lock();
        state.limits = limits;
        state.limit.set_slots(limits.slots, limits.slots_start_percent, limits.slots_floor_percent);
        state.admit_waiting();
    }

    /// Starts or ends draining: while it drains, nothing new is admitted.
    pub fn set_draining(&self, is_draining: bool) {
        self.is_draining.store(is_draining, Ordering::SeqCst);
    }

    /// Whether nothing new is admitted.
    pub fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::SeqCst)
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
            limit: state.limit.limit(),
            service_us: (state.recent_us as u64).max(oldest_usual_us / 2).min(u64::from(u32::MAX)) as u32,
            slowness_percent,
            is_draining: self.is_draining(),
        }
    }

    /// Admits a call, at once or after a wait.
    ///
    /// # Errors
    ///
    /// A [`Refusal`]: the target has not seen a byte of the call.
    pub async fn admit(self: &Arc<Self>, ask: Ask) -> Result<Permit, Refusal> {
        let (mut waiting, wait_until, is_patience) = match self.enter(&ask)? {
            Entered::Running(permit) => return Ok(permit),
            Entered::Waiting { waiting, wait_until, is_patience } => (waiting, wait_until, is_patience),
        };
        let woken = timeout_at(wait_until, &mut waiting.woken).await;
        match woken {
            Ok(Ok(())) => self.start_woken(waiting, &ask),
            // The sender was dropped: a more important call took this place.
            Ok(Err(_)) => Err(self.refusal(RefusalReason::QueueFull)),
            Err(_) => self.leave_queue(waiting, &ask, is_patience),
        }
    }

    /// Learns that the target refused work it was given.
    pub fn note_shed(&self) {
        self.lock().limit.note_shed();
    }

    /// Learns how long work takes at the target now, in percent of the usual.
    pub fn note_slowness(&self, slowness_percent: u32) {
        let now_us = self.clock.now_us();
        self.lock().pace.note(slowness_percent, now_us);
    }

    /// Age of the target's last word on how long work takes, in µs; none when there was none.
    pub fn pace_age_us(&self) -> Option<u64> {
        let now_us = self.clock.now_us();
        self.lock().pace.age_us(now_us)
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
        let slowness_percent = state.pace.slowness_percent(now_us);
        if ask.slow_from_percent.is_some_and(|from_percent| slowness_percent >= from_percent) {
            return Err(Refusal { slowness_percent, ..Refusal::new(RefusalReason::Slow) });
        }
        if state.is_wasted(ask, now_us) {
            drop(state);
            return Err(self.refusal(RefusalReason::Busy));
        }
        if state.queue.is_empty() && state.has_slot() {
            return Ok(Entered::Running(self.start(&mut state, ask, now_us)));
        }
        let wait_max_us = state.wait_max_us(ask, now_us);
        let expected_us = state.expected_wait_us(ask, now_us);
        if expected_us > wait_max_us {
            drop(state);
            let is_hopeless = now_us + expected_us > ask.deadline_us;
            return Err(self.refusal(if is_hopeless {
                RefusalReason::Deadline
            } else {
                RefusalReason::Busy
            }));
        }
        let is_full = state.queue.len() >= state.limits.queue_length;
        if is_full && !state.queue.evict_below(ask.rank) {
            drop(state);
            return Err(self.refusal(RefusalReason::QueueFull));
        }
        let (place, woken) = state.queue.push(ask.rank, ask.deadline_us);
        let patience_us = state.patience_us(wait_max_us) << ask.hand_backs.min(6);
        let is_patience = ask.may_hand_back && patience_us < wait_max_us;
        let wait_us = if is_patience { patience_us } else { wait_max_us };
        let wait_until: Instant = self.clock.instant_of(now_us + wait_us);
        let waiting = Waiting { guard: self.clone(), place, woken, is_in_queue: true };
        Ok(Entered::Waiting { waiting, wait_until, is_patience })
    }

    fn start(self: &Arc<Self>, state: &mut State, ask: &Ask, now_us: u64) -> Permit {
        let number = state.start(now_us);
        let measure = state.limit.note_start(state.running.len() as u32);
        Permit {
            guard: self.clone(),
            number,
            start_us: now_us,
            class: ask.class,
            measure,
            slowness_percent: state.pace.slowness_percent(now_us),
            is_counted: true,
        }
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
        if ask.deadline_us <= permit.start_us {
            permit.release_uncounted();
            return Err(Refusal::new(RefusalReason::Deadline));
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
        if !was_waiting && waiting.woken.try_recv().is_ok() {
            // Woken in the very instant it gave up: the slot is its own.
            return Ok(self.start_reserved(ask));
        }
        self.notify_if_idle();
        let reason = if is_patience { RefusalReason::HandedBack } else { RefusalReason::QueueFull };
        Err(self.refusal(reason))
    }

    fn refusal(&self, reason: RefusalReason) -> Refusal {
        let now_us = self.clock.now_us();
        let state = self.lock();
        let waves = state.queue.len() as u64 / u64::from(state.limit.limit().max(1)) + 1;
        let retry_after_ms = (waves * state.service_us(now_us) / 1_000).clamp(1, 60_000) as u32;
        Refusal { reason, retry_after_ms, slowness_percent: state.pace.slowness_percent(now_us) }
    }

    fn release(&self, permit: &Permit) {
        let now_us = self.clock.now_us();
        let mut state = self.lock();
        state.running.remove(&permit.number);
        let slowness_percent = state.pace.slowness_percent(now_us);
        let run_us = now_us.saturating_sub(permit.start_us) as f64;
        let usual_us = run_us * f64::from(USUAL_PERCENT) / f64::from(slowness_percent);
        if permit.is_counted {
            let weight = if state.has_measured { RECENT_WEIGHT } else { 1.0 };
            state.recent_us += weight * (usual_us - state.recent_us);
            state.has_measured = true;
        }
        let is_measured = permit.is_counted && permit.slowness_percent == slowness_percent;
        let measured_us = is_measured.then_some(usual_us);
        let limit_before = state.limit.settled();
        state.limit.note_end(permit.class, permit.measure, measured_us, now_us);
        let limit = state.limit.settled();
        state.admit_waiting();
        drop(state);
        if limit != limit_before {
            log::info!("limit on concurrency: {limit} after {limit_before}, by a trial");
        }
        self.notify_if_idle();
    }

    /// Gives back a slot that was reserved for a woken call which is gone.
    fn release_reserved(&self) {
        let mut state = self.lock();
        state.drop_reserved();
        state.admit_waiting();
    }

    fn notify_if_idle(&self) {
        if self.is_idle() {
            self.idle.notify_waiters();
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn has_slot(&self) -> bool {
        self.running.len() < self.limit.limit() as usize
    }

    fn start(&mut self, now_us: u64) -> u64 {
        let number = self.next_run;
        self.next_run += 1;
        self.running.insert(number, now_us);
        number
    }

    /// Gives up a slot that is reserved for a woken call.
    fn drop_reserved(&mut self) {
        let reserved = self.running.iter().find(|(_, start)| **start == RESERVED).map(|(number, _)| *number);
        let number = reserved.expect("a woken call has a reserved slot");
        self.running.remove(&number);
    }

    fn admit_waiting(&mut self) {
        while self.has_slot() && self.queue.wake_first() {
            self.start(RESERVED);
        }
    }

    /// Whether the call would take a slot that others need, and come too late all the same.
    fn is_wasted(&self, ask: &Ask, now_us: u64) -> bool {
        let Some(run_us) = self.limit.times().mean_us(ask.class) else { return false };
        let run_us = run_us * f64::from(self.pace.slowness_percent(now_us)) / f64::from(USUAL_PERCENT);
        let useful_us = ask.useful_until_us.saturating_sub(now_us) as f64;
        run_us > useful_us && 2 * self.running.len() as u32 >= self.limit.limit()
    }

    /// Longest that a call may wait: so that its answer still has its full worth.
    fn wait_max_us(&self, ask: &Ask, now_us: u64) -> u64 {
        let run_us = self.limit.times().mean_us(ask.class).unwrap_or(self.recent_us);
        let run_us = run_us * f64::from(self.pace.slowness_percent(now_us)) / f64::from(USUAL_PERCENT);
        let useful_us = ask.useful_until_us.saturating_sub(now_us).saturating_sub(run_us as u64);
        useful_us.min(self.limits.queue_wait_max_ms * 1_000)
    }

    /// How long a call waits before it is first handed back, in µs.
    fn patience_us(&self, wait_max_us: u64) -> u64 {
        if !self.has_measured {
            return (wait_max_us / UNMEASURED_PATIENCE).max(PATIENCE_MIN_US);
        }
        (self.recent_us as u64).max(PATIENCE_MIN_US)
    }

    /// How long a call runs at the target's present pace, in µs.
    fn service_us(&self, now_us: u64) -> u64 {
        let slowness_percent = f64::from(self.pace.slowness_percent(now_us));
        (self.recent_us * slowness_percent / f64::from(USUAL_PERCENT)) as u64
    }

    fn expected_wait_us(&self, ask: &Ask, now_us: u64) -> u64 {
        let ahead = self.queue.ahead_of(ask.rank, ask.deadline_us) as u64;
        let limit = u64::from(self.limit.limit().max(1));
        ahead * self.service_us(now_us) / limit
    }
}

/// Start time of a slot that is reserved for a woken call.
const RESERVED: u64 = u64::MAX;

enum Entered {
    Running(Permit),
    Waiting { waiting: Waiting, wait_until: Instant, is_patience: bool },
}

/// A call in the queue; dropping it takes it out, or gives back a slot it was woken for.
struct Waiting {
    guard: Arc<Guard>,
    place: Place,
    woken: oneshot::Receiver<()>,
    is_in_queue: bool,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if !self.is_in_queue {
            return;
        }
        let was_waiting = self.guard.lock().queue.remove(&self.place);
        if !was_waiting && self.woken.try_recv().is_ok() {
            self.guard.release_reserved();
        }
        self.guard.notify_if_idle();
    }
}

/// The right to run one call at the target; dropping it frees the slot.
#[derive(Debug)]
pub struct Permit {
    guard: Arc<Guard>,
    number: u64,
    start_us: u64,
    class: CallClass,
    measure: Measure,
    /// The target's pace when the call started.
    slowness_percent: u32,
    is_counted: bool,
}

impl Permit {
    /// Frees the slot without learning a service time, for a call that did not run to its end.
    pub fn release_uncounted(mut self) {
        self.is_counted = false;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.guard.release(self);
    }
}
