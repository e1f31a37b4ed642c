//! Measures how well a guard decides when its target is slow in phases, for a range of durations of phases
//! and runs.
//!
//! One target with noisy neighbours is simulated behind one guard on a paused clock. For each pair of
//! durations the same calls are run with three strategies: every call starts at once, every call waits until
//! the target is quick (by its true state, which no guard knows), and the guard decides. The output is the
//! mean utility of a call: 1 for an answer in time, a quarter for a late one, 0 for none.
//!
//!     cargo run --release -p laurelstall_guard --example phases

use laurelstall_guard::{
    admission_request::{AdmissionRequest, Rank, WorkspaceShare},
    clock::Clock,
    guard::Guard,
    guard_limits::GuardLimits,
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use std::sync::Arc;
use tokio::{
    task::JoinSet,
    time::{Duration, sleep},
};

const SLOTS: u32 = 12;
/// Simulated time for each result, in µs.
const SIMULATED_US: u64 = 60_000_000;
/// Duration of a query of the target.
const QUERY: Duration = Duration::from_millis(1);
/// Factor by which the target is slower in a slow phase.
const SLOW_FACTOR: u64 = 5;
/// Share of the time in which it is slow.
const SLOW_SHARE: f64 = 0.25;
/// Share of its slots that the calls would take at the normal speed.
const LOAD: f64 = 0.5;
/// Latency objective of a call, as a multiple of its run time.
const OBJECTIVE_RUNS: f64 = 2.7;
/// Deadline of a call, as a multiple of its run time.
const DEADLINE_RUNS: f64 = 6.0;
/// Utility of a late answer.
const LATE_UTILITY: f64 = 0.25;

/// When calls start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Strategy {
    AtOnce,
    WhenQuick,
    Decided,
}

/// Phases of the target: the times at which they change, starting with a quick one.
#[derive(Debug)]
struct Phases {
    changes_us: Vec<u64>,
}

impl Phases {
    fn new(slow_ms: f64, rng: &mut SmallRng) -> Self {
        let quick_ms = slow_ms * (1.0 - SLOW_SHARE) / SLOW_SHARE;
        let mut changes_us = Vec::new();
        let mut at_us = 0.0;
        while at_us < 2.0 * SIMULATED_US as f64 {
            for mean_ms in [quick_ms, slow_ms] {
                at_us += exponential(rng, mean_ms * 1_000.0);
                changes_us.push(at_us as u64);
            }
        }
        Self { changes_us }
    }

    fn is_slow(&self, now_us: u64) -> bool {
        self.changes_us.partition_point(|change| *change <= now_us) % 2 == 1
    }

    /// Returns the time until the target is quick, in µs.
    fn slow_left_us(&self, now_us: u64) -> u64 {
        let next = self.changes_us.partition_point(|change| *change <= now_us);
        if next % 2 == 1 { self.changes_us[next] - now_us } else { 0 }
    }

    fn percent(&self, now_us: u64) -> u32 {
        if self.is_slow(now_us) { 100 * SLOW_FACTOR as u32 } else { 100 }
    }
}

fn exponential(rng: &mut SmallRng, mean: f64) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}

/// Runs one call through the guard; returns the utility of its answer.
async fn run_call(
    guard: Arc<Guard>,
    clock: Clock,
    phases: Arc<Phases>,
    run_us: u64,
    strategy: Strategy,
) -> f64 {
    let requested_us = clock.now_us();
    let useful_us = (run_us as f64 * OBJECTIVE_RUNS) as u64;
    let deadline_us = requested_us + (run_us as f64 * DEADLINE_RUNS) as u64;
    if strategy == Strategy::WhenQuick {
        sleep(Duration::from_micros(phases.slow_left_us(requested_us))).await;
    }
    let request = AdmissionRequest {
        rank: Rank::new(5, false),
        workspace_share: WorkspaceShare::NO_WORKSPACE,
        class: 1,
        deadline_us,
        useful_until_us: requested_us + useful_us,
        useful_us,
        may_hand_back: false,
        hand_backs: 0,
        slow_from_percent: None,
    };
    let Ok(permit) = guard.admit(request).await else { return 0.0 };
    let factor = if phases.is_slow(clock.now_us()) { SLOW_FACTOR } else { 1 };
    sleep(Duration::from_micros(run_us * factor)).await;
    let done_us = clock.now_us();
    guard.note_slowness(phases.percent(done_us));
    drop(permit);
    match done_us {
        done_us if done_us <= requested_us + useful_us => 1.0,
        done_us if done_us <= deadline_us => LATE_UTILITY,
        _ => 0.0,
    }
}

async fn mean_utility(slow_ms: f64, run_ms: f64, strategy: Strategy, seed: u64) -> f64 {
    let mut rng = SmallRng::seed_from_u64(seed);
    let phases = Arc::new(Phases::new(slow_ms, &mut rng));
    let clock = Clock::new();
    let limits = GuardLimits {
        slots: SLOTS,
        slots_start_percent: 100,
        slots_floor_percent: 100,
        queue_length: 4 * SLOTS as usize,
        queue_wait_max_ms: 10_000,
        cold_calls_per_s: 0,
        cold_start_ms: 0,
        has_refusal_causes: false,
        may_hold: strategy == Strategy::Decided,
    };
    let guard = Guard::new(limits, clock);
    guard.set_can_query(true);
    let (querying_guard, queried_phases) = (guard.clone(), phases.clone());
    let query_task = tokio::spawn(async move {
        loop {
            querying_guard.report_needed().await;
            sleep(QUERY).await;
            querying_guard.note_query_result(Some(queried_phases.percent(clock.now_us())));
        }
    });
    let gap_us = run_ms * 1_000.0 / (LOAD * f64::from(SLOTS));
    let mut calls = JoinSet::new();
    while clock.now_us() < SIMULATED_US {
        sleep(Duration::from_micros(exponential(&mut rng, gap_us) as u64)).await;
        let run_us = (run_ms * 1_000.0 * rng.random_range(0.7..1.3)) as u64;
        calls.spawn(run_call(guard.clone(), clock, phases.clone(), run_us, strategy));
    }
    let mut sum = 0.0;
    let mut count = 0;
    while let Some(utility) = calls.join_next().await {
        sum += utility.expect("a call does not panic");
        count += 1;
    }
    query_task.abort();
    sum / f64::from(count.max(1))
}

#[tokio::main(flavor = "current_thread")]
async fn main() {
    tokio::time::pause();
    println!(
        "slow phase ms, run ms: utility at once, when quick, decided; gain of decided over the better of both"
    );
    for slow_ms in [30.0, 100.0, 300.0, 1_000.0, 3_000.0] {
        for run_ms in [30.0, 80.0, 150.0, 300.0] {
            let mut utilities = [0.0; 3];
            for (utility, strategy) in
                utilities.iter_mut().zip([Strategy::AtOnce, Strategy::WhenQuick, Strategy::Decided])
            {
                for seed in 1..=3 {
                    *utility += mean_utility(slow_ms, run_ms, strategy, seed).await / 3.0;
                }
            }
            let [at_once, when_quick, decided] = utilities;
            let gain = decided - at_once.max(when_quick);
            println!("{slow_ms:>5} {run_ms:>4}: {at_once:.3} {when_quick:.3} {decided:.3} {gain:+.3}");
        }
    }
}
