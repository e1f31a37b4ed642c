//! Overload control at one guard, on a paused clock: goodput, levels, refusals and the end of the regime.

use laurelstall_guard::{
    admission_request::{AdmissionRequest, Rank, WorkspaceShare},
    clock::Clock,
    guard::Guard,
    guard_limits::GuardLimits,
    refusal::{Refusal, RefusalReason},
};
use laurelstall_overload::call_level::CallLevel;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use std::sync::{
    Arc, Mutex, MutexGuard,
    atomic::{AtomicU32, Ordering},
};
use tokio::{
    task::JoinSet,
    time::{Duration, sleep},
};

const LIMITS: GuardLimits = GuardLimits {
    slots: 9,
    slots_start_percent: 100,
    slots_floor_percent: 100,
    queue_length: 36,
    queue_wait_max_ms: 1_000,
    cold_calls_per_s: 0,
    cold_start_ms: 0,
    has_refusal_causes: false,
    may_hold: true,
};
const LOADS: [f64; 6] = [0.5, 1.0, 1.5, 2.5, 4.0, 8.0];
const GOODPUT_SHARE_MIN: f64 = 0.90;
/// Mean run time of both classes.
const RUN_MS: u64 = 160;
const OBJECTIVE_MS: u64 = 500;
const DEADLINE_MS: u64 = 1_500;
/// Shortest time to the deadline with which a caller returns.
const RETURN_MS_MIN: u64 = 400;
const SLOW_PHASE_MS: f64 = 150.0;
const SLOW_PERCENT: u32 = 500;
const QUICK_SHARE: f64 = 0.75;
const IMPORTANT: u8 = 9;
const ORDINARY: u8 = 3;
/// Share of the calls that are important.
const IMPORTANT_SHARE: f64 = 0.25;

/// What became of the calls of a run.
#[derive(Debug, Default, Clone, PartialEq)]
struct Outcomes {
    /// Answers in time of important and of ordinary calls.
    in_time: [u32; 2],
    /// Calls sent, without returns.
    sent: [u32; 2],
    refusals: Vec<Refusal>,
    /// Longest time between the arrival of a call and its refusal as overloaded, in µs.
    overloaded_after_max_us: u64,
}

impl Outcomes {
    fn share(&self, class: usize) -> f64 {
        f64::from(self.in_time[class]) / f64::from(self.sent[class])
    }

    fn note_refusal(&mut self, refusal: Refusal, after_us: u64) {
        self.refusals.push(refusal);
        if refusal.reason == RefusalReason::Overloaded {
            self.overloaded_after_max_us = self.overloaded_after_max_us.max(after_us);
        }
    }

    fn count(&self, reason: RefusalReason) -> usize {
        self.refusals.iter().filter(|refusal| refusal.reason == reason).count()
    }
}

/// A guard with its target.
struct Target {
    clock: Clock,
    guard: Arc<Guard>,
    /// Slowness in percent, which the target reports when asked and with its answers.
    slowness_percent: AtomicU32,
    outcomes: Mutex<Outcomes>,
}

impl Target {
    fn outcomes(&self) -> MutexGuard<'_, Outcomes> {
        self.outcomes.lock().expect("no panic")
    }

    /// Sends a call to the guard; returns the retry time if it is refused.
    async fn call(&self, class: usize, root: &[u8], deadline_us: u64, run: Duration) -> Option<u64> {
        let arrived_us = self.clock.now_us();
        let useful_until_us = (arrived_us + OBJECTIVE_MS * 1_000).min(deadline_us);
        let importance = if class == 0 { IMPORTANT } else { ORDINARY };
        let request = AdmissionRequest {
            rank: Rank::new(importance, false).with_level(CallLevel::new(importance, root)),
            workspace_share: WorkspaceShare::NO_WORKSPACE,
            class: class as u32,
            deadline_us,
            useful_until_us,
            useful_us: useful_until_us - arrived_us,
            may_hand_back: false,
            hand_backs: 0,
            slow_from_percent: None,
        };
        match self.guard.admit(request).await {
            Ok(permit) => {
                sleep(run * self.slowness_percent.load(Ordering::Relaxed) / 100).await;
                self.guard.note_slowness(self.slowness_percent.load(Ordering::Relaxed));
                drop(permit);
                let is_in_time = self.clock.now_us() <= useful_until_us;
                self.outcomes().in_time[class] += u32::from(is_in_time);
                None
            }
            Err(refusal) => {
                let after_us = self.clock.now_us() - arrived_us;
                self.outcomes().note_refusal(refusal, after_us);
                Some(u64::from(refusal.retry_after_ms))
            }
        }
    }

    /// Changes between phases, slow ones in a quarter of the time.
    async fn run_phases(&self, mut rng: SmallRng) {
        loop {
            for (percent, mean_ms) in
                [(100, SLOW_PHASE_MS * QUICK_SHARE / (1.0 - QUICK_SHARE)), (SLOW_PERCENT, SLOW_PHASE_MS)]
            {
                self.slowness_percent.store(percent, Ordering::Relaxed);
                let phase_ms = -rng.random::<f64>().max(1e-3).ln() * mean_ms;
                sleep(Duration::from_secs_f64(phase_ms / 1e3)).await;
            }
        }
    }

    async fn report_when_asked(&self) {
        loop {
            self.guard.report_needed().await;
            sleep(Duration::from_millis(1)).await;
            self.guard.note_query_result(Some(self.slowness_percent.load(Ordering::Relaxed)));
        }
    }
}

/// Callers of one guard.
struct Callers {
    target: Arc<Target>,
    rng: SmallRng,
    /// Tasks of the target, which end with the callers.
    tasks: JoinSet<()>,
}

impl Callers {
    fn new(seed: u64, is_controlled: bool) -> Self {
        let clock = Clock::new();
        let guard = Guard::new(LIMITS, clock);
        guard.set_overload_control(is_controlled);
        let slowness_percent = AtomicU32::new(100);
        let target = Arc::new(Target { clock, guard, slowness_percent, outcomes: Mutex::default() });
        Self { target, rng: SmallRng::seed_from_u64(seed), tasks: JoinSet::new() }
    }

    fn guard(&self) -> &Guard {
        &self.target.guard
    }

    fn with_slow_phases(mut self) -> Self {
        self.target.guard.set_can_query(true);
        let rng = SmallRng::seed_from_u64(self.rng.random());
        let (target, reporting) = (self.target.clone(), self.target.clone());
        self.tasks.spawn(async move { target.run_phases(rng).await });
        self.tasks.spawn(async move { reporting.report_when_asked().await });
        self
    }

    /// Sends `load` times what the slots can run for `seconds`, and returns the outcomes of this time.
    async fn run(&mut self, load: f64, seconds: f64) -> Outcomes {
        *self.target.outcomes() = Outcomes::default();
        let capacity_per_s = f64::from(LIMITS.slots) * 1e3 / RUN_MS as f64;
        let end_us = self.target.clock.now_us() + (seconds * 1e6) as u64;
        while self.target.clock.now_us() < end_us {
            let gap_s = -self.rng.random::<f64>().max(1e-6).ln() / (load * capacity_per_s);
            sleep(Duration::from_secs_f64(gap_s)).await;
            let is_important = self.rng.random_bool(IMPORTANT_SHARE);
            self.send(usize::from(!is_important));
        }
        self.target.outcomes().clone()
    }

    fn send(&mut self, class: usize) {
        let root = self.rng.random::<u64>().to_le_bytes();
        // One run in ten takes 2.5 times as long as the mean.
        let factor = if self.rng.random_bool(0.1) { 2.5 } else { self.rng.random_range(0.5..1.16) };
        let run = Duration::from_millis(RUN_MS).mul_f64(factor);
        let target = self.target.clone();
        target.outcomes().sent[class] += 1;
        tokio::spawn(async move {
            let deadline_us = target.clock.now_us() + DEADLINE_MS * 1_000;
            let Some(retry_ms) = target.call(class, &root, deadline_us, run).await else { return };
            // A caller waits up to a third of its remaining time and returns once, as a new request.
            let left_ms = deadline_us.saturating_sub(target.clock.now_us()) / 1_000;
            sleep(Duration::from_millis(retry_ms.min(left_ms / 3))).await;
            if target.clock.now_us() + RETURN_MS_MIN * 1_000 < deadline_us {
                target.call(class, &[root, root].concat(), deadline_us, run).await;
            }
        });
    }
}

fn assert_near_highest(answers: &[u32], case: &str) {
    let highest = f64::from(*answers.iter().max().expect("there are loads"));
    for (load, answers) in LOADS.iter().zip(answers).filter(|(load, _)| **load > 1.0) {
        let share = f64::from(*answers) / highest;
        assert!(share >= GOODPUT_SHARE_MIN, "{case}, load {load}: {share:.3}");
    }
}

fn goodput(outcomes: &Outcomes) -> u32 {
    outcomes.in_time.iter().sum()
}

#[tokio::test(start_paused = true)]
async fn goodput_stays_near_the_highest_at_any_load() {
    for seed in 1..4 {
        let mut answers = Vec::new();
        for load in LOADS {
            let mut callers = Callers::new(seed, true);
            callers.run(load, 2.0).await;
            answers.push(goodput(&callers.run(load, 30.0).await));
        }
        println!("seed {seed}: {answers:?} in 30 s");
        assert_near_highest(&answers, &format!("seed {seed}"));
    }
}

/// The guard holds calls in slow phases, so the target has three quarters of its capacity. Phases of random lengths change
/// the goodput of one guard by a tenth, so it is summed over the seeds.
#[tokio::test(start_paused = true)]
async fn goodput_stays_near_the_highest_when_the_target_has_slow_phases() {
    let mut sums = [0; LOADS.len()];
    for seed in 1..9 {
        for (load, sum) in LOADS.iter().zip(&mut sums) {
            let mut callers = Callers::new(seed, true).with_slow_phases();
            callers.run(load * QUICK_SHARE, 2.0).await;
            *sum += goodput(&callers.run(load * QUICK_SHARE, 30.0).await);
        }
    }
    println!("eight seeds: {sums:?}");
    assert_near_highest(&sums, "eight seeds");
}

#[tokio::test(start_paused = true)]
async fn ordinary_calls_are_refused_first_and_at_once() {
    let mut callers = Callers::new(5, true);
    callers.run(2.5, 2.0).await;
    let outcomes = callers.run(2.5, 20.0).await;
    println!("in time: {:.2} and {:.2}", outcomes.share(0), outcomes.share(1));
    // Important calls alone are 0.6 times the capacity.
    assert!(outcomes.share(0) > 0.9, "important calls: {:.2}", outcomes.share(0));
    assert!(outcomes.share(1) < 0.4, "ordinary calls: {:.2}", outcomes.share(1));
    assert!(outcomes.count(RefusalReason::Overloaded) > outcomes.refusals.len() / 2);
    assert_eq!(outcomes.overloaded_after_max_us, 0, "a call below the threshold waited");
}

#[tokio::test(start_paused = true)]
async fn retry_times_of_an_overload_are_spread() {
    let mut callers = Callers::new(6, true);
    callers.run(4.0, 2.0).await;
    let outcomes = callers.run(4.0, 5.0).await;
    let overloaded = outcomes.refusals.iter().filter(|refusal| refusal.reason == RefusalReason::Overloaded);
    let mut times = overloaded.map(|refusal| refusal.retry_after_ms).collect::<Vec<_>>();
    assert!(times.iter().all(|ms| (100..=5_000).contains(ms)), "{times:?}");
    times.dedup();
    assert!(times.len() > 50, "callers got the same times: {times:?}");
}

/// Sends light load with bursts that are over before a call has waited for long.
async fn light_load(is_controlled: bool) -> Outcomes {
    let mut callers = Callers::new(7, is_controlled);
    let mut all = Outcomes::default();
    for _ in 0..20 {
        for (load, seconds) in [(0.4, 1.0), (3.0, 0.05), (0.4, 0.5)] {
            let outcomes = callers.run(load, seconds).await;
            all.in_time = [0, 1].map(|class| all.in_time[class] + outcomes.in_time[class]);
            all.refusals.extend(outcomes.refusals);
        }
        let state = callers.guard().overload_state();
        assert!(state.is_none_or(|state| state.threshold == CallLevel::LOWEST));
    }
    all
}

#[tokio::test(start_paused = true)]
async fn nothing_changes_under_light_load_and_in_short_bursts() {
    assert_eq!(light_load(true).await, light_load(false).await);
}

#[tokio::test(start_paused = true)]
async fn without_overload_control_no_call_is_refused_for_its_level() {
    let mut callers = Callers::new(8, false);
    let outcomes = callers.run(4.0, 5.0).await;
    assert_eq!(callers.guard().overload_state(), None);
    assert_eq!(outcomes.count(RefusalReason::Overloaded), 0);
    assert!(!outcomes.refusals.is_empty());
}

#[tokio::test(start_paused = true)]
async fn the_regime_ends_with_the_overload() {
    for seed in 1..6 {
        let mut callers = Callers::new(seed, true);
        callers.run(4.0, 5.0).await;
        let state = callers.guard().overload_state().expect("it is switched on");
        assert!(state.threshold > CallLevel::LOWEST, "seed {seed}");
        // Refused callers return for half a second.
        callers.run(0.3, 1.0).await;
        assert!(!callers.guard().overload_state().expect("it is switched on").is_overloaded, "seed {seed}");
        callers.run(0.3, 2.0).await;
        let state = callers.guard().overload_state().expect("it is switched on");
        assert_eq!(state.threshold, CallLevel::LOWEST, "seed {seed}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_guard_that_loses_its_state_recovers_within_a_second() {
    for seed in 1..4 {
        let mut callers = Callers::new(seed, true);
        callers.run(4.0, 2.0).await;
        let before = goodput(&callers.run(4.0, 20.0).await);
        callers.guard().set_overload_control(false);
        callers.guard().set_overload_control(true);
        callers.run(4.0, 1.0).await;
        let after = goodput(&callers.run(4.0, 5.0).await);
        println!("seed {seed}: {before} in 20 s, {after} in the 5 s after the first second");
        let share = 4.0 * f64::from(after) / f64::from(before);
        assert!(share >= GOODPUT_SHARE_MIN, "seed {seed}: {share:.2}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_nested_call_is_admitted_with_the_level_of_its_parent() {
    let mut callers = Callers::new(9, true);
    callers.run(2.5, 3.0).await;
    let threshold = callers.guard().overload_state().expect("it is switched on").threshold;
    assert!(threshold > CallLevel::LOWEST);
    let now_us = callers.target.clock.now_us();
    let deadline_us = now_us + 1_500_000;
    let nested = |level| AdmissionRequest {
        rank: Rank::new(100, false).with_level(level),
        workspace_share: WorkspaceShare::NO_WORKSPACE,
        class: 7,
        deadline_us,
        useful_until_us: deadline_us,
        useful_us: 1_500_000,
        may_hand_back: false,
        hand_backs: 0,
        slow_from_percent: None,
    };
    callers.target.guard.admit(nested(threshold)).await.expect("its parent's level is admitted");
    let refused = callers.target.guard.admit(nested(CallLevel::LOWEST)).await;
    assert_eq!(refused.expect_err("its parent's level is not").reason, RefusalReason::Overloaded);
}
