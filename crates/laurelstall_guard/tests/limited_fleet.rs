//! Many entry nodes share a target that states a rate limit, at simulated times: the target is used up to its limit, and
//! few calls ask there in vain.

use laurelstall_balance::{
    least_cost::LeastCost,
    service_balancer::{AttemptResult, ChoiceRequest, ServiceBalancer},
    target_view::TargetView,
};
use laurelstall_config::team::ServiceLimits;
use laurelstall_guard::{
    admission_request::{AdmissionRequest, Rank, WorkspaceShare},
    clock::Clock,
    guard::{Guard, Permit},
    guard_limits::GuardLimits,
    refusal::Refusal,
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use tokio::time::{Duration, advance};

const TICK_US: u64 = 1_000;
const RUN_US: u64 = 60_000;
const USEFUL_US: u64 = 400_000;
/// Length of a run in ticks.
const TICKS: u64 = 20_000;
/// Ticks in which the entries learn of the limit and whose calls are not counted.
const LEARNING_TICKS: u64 = 5_000;
/// Index of the target that states the limit.
const LIMITED: usize = 0;

struct Fleet {
    entries: usize,
    targets: usize,
    calls_per_s: f64,
    per_s: f64,
}

/// Calls after the learning time.
#[derive(Debug, Default)]
struct Totals {
    calls: u64,
    sent_to_limited: u64,
    refused_by_limited: u64,
}

/// A call at the limited target.
struct Running {
    entry: usize,
    sent_us: u64,
    permit: Permit,
}

fn balancer(fleet: &Fleet, seed: u64) -> ServiceBalancer {
    let limits = ServiceLimits::default();
    let mut balancer = ServiceBalancer::new(limits, Box::new(LeastCost::default()), seed);
    let views = (0..fleet.targets).map(|n| TargetView::new(&name(n), &format!("h-{n}"), 12, 200, 1_000_000));
    balancer.set_targets(limits, views.collect());
    balancer.set_entries(fleet.entries);
    balancer
}

fn name(index: usize) -> String {
    format!("t-{index}")
}

fn guard(clock: Clock) -> std::sync::Arc<Guard> {
    let limits = GuardLimits {
        slots: 12,
        slots_start_percent: 100,
        slots_floor_percent: 100,
        queue_length: 24,
        queue_wait_max_ms: 1_000,
        cold_calls_per_s: 0,
        cold_start_ms: 0,
        has_refusal_causes: false,
        may_hold: false,
    };
    Guard::new(limits, clock)
}

async fn admit(guard: &std::sync::Arc<Guard>, now_us: u64) -> Result<Permit, Refusal> {
    let request = AdmissionRequest {
        rank: Rank::new(1, false),
        workspace_share: WorkspaceShare::NO_WORKSPACE,
        class: 0,
        deadline_us: now_us + USEFUL_US,
        useful_until_us: now_us + USEFUL_US,
        useful_us: USEFUL_US,
        may_hand_back: true,
        hand_backs: 0,
        slow_from_percent: None,
    };
    guard.admit(request).await
}

async fn run(fleet: &Fleet) -> Totals {
    let clock = Clock::new();
    let guard = guard(clock);
    let mut rng = SmallRng::seed_from_u64(1);
    let mut entries = (0..fleet.entries).map(|number| balancer(fleet, number as u64)).collect::<Vec<_>>();
    let mut running = Vec::<Running>::new();
    let mut totals = Totals::default();
    guard.note_stated_rate(fleet.per_s);
    for tick in 0..TICKS {
        advance(Duration::from_micros(TICK_US)).await;
        let now_us = clock.now_us();
        let is_counted = tick >= LEARNING_TICKS;
        let (ended, still) = running.into_iter().partition(|run| run.sent_us + RUN_US <= now_us);
        running = still;
        let ended: Vec<Running> = ended;
        for run in ended {
            let balancer = &mut entries[run.entry];
            balancer.note_rate_limit(LIMITED, &name(LIMITED), fleet.per_s, now_us);
            let result = AttemptResult::Succeeded(now_us - run.sent_us);
            balancer.note_result(LIMITED, &name(LIMITED), 0, result, now_us);
            drop(run.permit);
        }
        let expected = fleet.calls_per_s * TICK_US as f64 / 1e6;
        let calls = expected as u64 + u64::from(rng.random_bool(expected.fract()));
        for _ in 0..calls {
            totals.calls += u64::from(is_counted);
            let entry = rng.random_range(0..fleet.entries);
            let request = ChoiceRequest {
                excluded: &[],
                only: None,
                data_centres: None,
                class: 0,
                useful_us: Some(USEFUL_US),
                waives_remote_cost: false,
                now_us,
            };
            let choice = entries[entry].choose(&request).expect("there are targets without a limit");
            if choice.index != LIMITED {
                continue;
            }
            match admit(&guard, now_us).await {
                Ok(mut permit) => {
                    permit.note_sent();
                    entries[entry].note_sent(LIMITED);
                    totals.sent_to_limited += u64::from(is_counted);
                    running.push(Running { entry, sent_us: now_us, permit });
                }
                Err(refusal) => {
                    totals.refused_by_limited += u64::from(is_counted);
                    entries[entry].note_no_capacity(LIMITED, &name(LIMITED), refusal.retry_after_ms, now_us);
                }
            }
        }
    }
    totals
}

/// Runs the fleet and returns the used share of the limit and the refusals per call.
async fn measure(fleet: &Fleet) -> (f64, f64) {
    let totals = run(fleet).await;
    let seconds = (TICKS - LEARNING_TICKS) as f64 * TICK_US as f64 / 1e6;
    let used = totals.sent_to_limited as f64 / (fleet.per_s * seconds);
    let refused = totals.refused_by_limited as f64 / totals.calls as f64;
    println!("{} entries, {} per second: used {used:.2}, refused {refused:.3}", fleet.entries, fleet.per_s);
    (used, refused)
}

#[tokio::test(start_paused = true)]
async fn thirteen_entries_use_a_limit_up_and_seldom_ask_in_vain() {
    for per_s in [1.3, 5.7, 11.4] {
        let (used, refused) = measure(&Fleet { entries: 13, targets: 4, calls_per_s: 104.0, per_s }).await;
        assert!(used > 0.85 && refused < 0.1, "{per_s} per second: used {used:.2}, refused {refused:.3}");
    }
}

#[tokio::test(start_paused = true)]
async fn hundreds_of_entries_use_a_limit_up_and_seldom_ask_in_vain() {
    for per_s in [1.3, 5.7, 20.0] {
        let (used, refused) =
            measure(&Fleet { entries: 300, targets: 60, calls_per_s: 1_500.0, per_s }).await;
        assert!(used > 0.85 && refused < 0.1, "{per_s} per second: used {used:.2}, refused {refused:.3}");
    }
}
