//! A guard whose target refuses requests at random, when full, both, or by resets, and the end of each fault.

use laurelstall_guard::{
    admission_request::{AdmissionRequest, Rank, WorkspaceShare},
    clock::Clock,
    guard::Guard,
    guard_limits::GuardLimits,
    refusal_causes::RefusalKind,
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use std::sync::{
    Arc, Mutex,
    atomic::{AtomicU32, Ordering},
};
use tokio::time::{Duration, sleep};

const LIMIT: u32 = 9;
const LIMITS: GuardLimits = GuardLimits {
    slots: LIMIT,
    slots_start_percent: 100,
    slots_floor_percent: 25,
    queue_length: 36,
    queue_wait_max_ms: 1_000,
    cold_calls_per_s: 0,
    cold_start_ms: 0,
    has_refusal_causes: true,
    may_hold: false,
};
const RUN_MS: f64 = 200.0;
const REFUSAL: Duration = Duration::from_millis(2);
/// Load at which calls wait in the queue all the time.
const SATURATED: f64 = 1.3;

/// How the target refuses requests.
#[derive(Debug, Clone, Copy)]
struct Fault {
    /// Share that is refused whatever runs.
    random_share: f64,
    /// Number of requests that it runs at once.
    capacity: u32,
    kind: RefusalKind,
}

const CALM: Fault = Fault { random_share: 0.0, capacity: LIMIT, kind: RefusalKind::Answered };
const AT_RANDOM: Fault = Fault { random_share: 0.55, ..CALM };
const FULL: Fault = Fault { capacity: 5, ..CALM };

/// The target and the fault that it has now.
#[derive(Debug)]
struct Target {
    fault: Mutex<Fault>,
    busy: AtomicU32,
}

struct Scene {
    guard: Arc<Guard>,
    clock: Clock,
    target: Arc<Target>,
    rng: SmallRng,
}

impl Scene {
    fn new(limits: GuardLimits, seed: u64) -> Self {
        let clock = Clock::new();
        let rng = SmallRng::seed_from_u64(seed);
        let target = Arc::new(Target { fault: Mutex::new(CALM), busy: AtomicU32::new(0) });
        Self { guard: Guard::new(limits, clock), clock, target, rng }
    }

    /// Sends calls at `load`, a share of the target's capacity, and returns the limits seen every 10 ms.
    async fn run(&mut self, fault: Fault, load: f64, ms: u64) -> Vec<u32> {
        *self.target.fault.lock().expect("no panic under the lock") = fault;
        let mut limits = Vec::new();
        let chance = (load * f64::from(LIMIT) / RUN_MS).min(1.0);
        for at_ms in 0..ms {
            if self.rng.random_bool(chance) {
                let run_ms = RUN_MS * self.rng.random_range(0.5..1.5);
                let draw = self.rng.random_range(0.0..1.0);
                tokio::spawn(call(self.guard.clone(), self.clock, self.target.clone(), draw, run_ms));
            }
            // At changing speed no run is measured, so no trial of other limits starts.
            self.guard.note_slowness(100 + (at_ms / 100 % 5) as u32);
            sleep(Duration::from_millis(1)).await;
            if at_ms % 10 == 0 {
                limits.push(self.guard.load().limit);
            }
        }
        limits
    }
}

async fn call(guard: Arc<Guard>, clock: Clock, target: Arc<Target>, draw: f64, run_ms: f64) {
    let now_us = clock.now_us();
    let request = AdmissionRequest {
        rank: Rank::new(1, false),
        workspace_share: WorkspaceShare::NO_WORKSPACE,
        class: 1,
        deadline_us: now_us + 3_000_000,
        useful_until_us: now_us + 1_500_000,
        useful_us: 1_500_000,
        may_hand_back: false,
        hand_backs: 0,
        slow_from_percent: None,
    };
    let Ok(mut permit) = guard.admit(request).await else { return };
    permit.note_sent();
    let fault = *target.fault.lock().expect("no panic under the lock");
    if draw < fault.random_share || target.busy.load(Ordering::Relaxed) >= fault.capacity {
        sleep(REFUSAL).await;
        let running = permit.running_at_start();
        permit.release_uncounted();
        guard.note_shed(fault.kind, running);
        return;
    }
    target.busy.fetch_add(1, Ordering::Relaxed);
    sleep(Duration::from_micros((run_ms * 1_000.0) as u64)).await;
    target.busy.fetch_sub(1, Ordering::Relaxed);
}

fn mean(limits: &[u32]) -> f64 {
    limits.iter().map(|limit| f64::from(*limit)).sum::<f64>() / limits.len() as f64
}

/// Runs a fault of `fault_ms` and checks that the limit is the previous one from 2 s after its end on; returns the
/// limits during the fault.
async fn run_fault(fault: Fault, load: f64, fault_ms: u64, seed: u64) -> Vec<u32> {
    let mut scene = Scene::new(LIMITS, seed);
    scene.run(CALM, load.min(0.8), 3_000).await;
    let during = scene.run(fault, load, fault_ms).await;
    scene.run(CALM, load.min(0.8), 2_000).await;
    let after = scene.run(CALM, load.min(0.8), 1_000).await;
    assert!(
        after.iter().all(|limit| *limit == LIMIT),
        "{fault:?} {load} {fault_ms} ms, seed {seed}: {after:?}"
    );
    during
}

/// Guards against a limit that falls to its floor for refusals that fewer running calls do not avoid.
#[tokio::test(start_paused = true)]
async fn refusals_at_random_leave_the_limit() {
    for kind in [RefusalKind::Answered, RefusalKind::NoConnection, RefusalKind::Reset] {
        for (load, seed) in [(0.3, 1), (0.6, 2), (0.6, 3), (0.8, 4), (0.8, 5), (SATURATED, 6), (SATURATED, 7)]
        {
            let during = run_fault(Fault { kind, ..AT_RANDOM }, load, 8_500, seed).await;
            assert!(mean(&during) >= 0.97 * f64::from(LIMIT), "{kind:?} {load}: {during:?}");
        }
    }
}

/// Guards against a queue that is spent on a target that refuses all that is too much for it, and against a limit that
/// stays low afterwards.
#[tokio::test(start_paused = true)]
async fn refusals_of_a_full_target_lower_the_limit_until_they_end() {
    for (fault_ms, seed) in [(1_000, 1), (4_000, 2), (8_000, 3)] {
        for kind in [RefusalKind::Answered, RefusalKind::NoConnection, RefusalKind::Reset] {
            for load in [0.8, SATURATED] {
                let during = run_fault(Fault { kind, ..FULL }, load, fault_ms, seed).await;
                let settled = &during[during.len() / 2..];
                assert!(mean(settled) <= 7.0, "{kind:?} {load} {fault_ms} ms: {during:?}");
            }
        }
    }
}

/// Guards against refusals at random that hide or exaggerate those of a full target.
#[tokio::test(start_paused = true)]
async fn with_both_kinds_the_limit_falls_to_what_the_target_takes() {
    let both = Fault { random_share: 0.3, ..FULL };
    for (fault_ms, seed) in [(4_000, 1), (8_000, 2)] {
        let during = run_fault(both, 2.0, fault_ms, seed).await;
        let settled = mean(&during[during.len() / 2..]);
        assert!((4.0..=7.5).contains(&settled), "{fault_ms} ms: {during:?}");
    }
}

/// Guards against a target that was down and gets only a part of its calls when it is back.
#[tokio::test(start_paused = true)]
async fn a_target_that_was_down_gets_its_limit_back() {
    let down = Fault { random_share: 1.0, kind: RefusalKind::NoConnection, ..CALM };
    for (fault_ms, seed) in [(1_000, 1), (4_000, 2), (8_000, 3)] {
        for load in [0.6, 0.8, SATURATED] {
            run_fault(down, load, fault_ms, seed).await;
        }
    }
}

/// Guards against refusals that have a stated reason and are taken for those of a full target.
#[tokio::test(start_paused = true)]
async fn refusals_of_cold_limited_and_draining_targets_leave_the_limit() {
    let states: [fn(&Guard); 3] = [
        |guard| guard.note_cold(60_000, 1_000_000),
        |guard| guard.note_stated_rate(100.0),
        |guard| guard.set_draining(true),
    ];
    for set_state in states {
        let scene = Scene::new(GuardLimits { cold_calls_per_s: 30, cold_start_ms: 60_000, ..LIMITS }, 1);
        set_state(&scene.guard);
        for _ in 0..20 {
            assert!(!scene.guard.note_shed(RefusalKind::Answered, LIMIT));
        }
    }
    let scene = Scene::new(LIMITS, 1);
    assert!((0..20).any(|_| scene.guard.note_shed(RefusalKind::Answered, LIMIT)));
}

/// Guards against a change of behaviour with the switch off: refusals at random lower the limit to its floor, where it
/// stays while no calls wait.
#[tokio::test(start_paused = true)]
async fn without_the_switch_any_refusal_lowers_the_limit() {
    let mut scene = Scene::new(GuardLimits { has_refusal_causes: false, ..LIMITS }, 1);
    scene.run(AT_RANDOM, 0.6, 4_000).await;
    let after = scene.run(CALM, 0.1, 4_000).await;
    assert!(after.iter().all(|limit| *limit == 2), "{after:?}");
    let scene = Scene::new(GuardLimits { has_refusal_causes: false, ..LIMITS }, 1);
    assert!((0..20).all(|_| !scene.guard.note_shed(RefusalKind::Reset, LIMIT)), "resets did not count");
}
