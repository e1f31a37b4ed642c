//! A target shared by several workspaces, one of which calls it far more often than the others.

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

const SLOTS: u32 = 8;
/// Duration of a run.
const RUN: Duration = Duration::from_millis(80);
/// Latency objective in ms.
const USEFUL_MS: u64 = 400;
const WORKSPACES: u64 = 8;
/// Calls per second of an ordinary workspace; all together take six tenths of the slots.
const ORDINARY_PER_S: f64 = 7.5;
/// Factor by which the first workspace exceeds the ordinary rate.
const HOT: f64 = 12.0;

fn limits() -> GuardLimits {
    GuardLimits {
        slots: SLOTS,
        slots_start_percent: 100,
        slots_floor_percent: 100,
        queue_length: 32,
        queue_wait_max_ms: 2_000,
        may_hold: true,
        cold_calls_per_s: 0,
        cold_start_ms: 0,
        has_refusal_causes: false,
    }
}

fn request(clock: &Clock, workspace_share: WorkspaceShare) -> AdmissionRequest {
    let now_us = clock.now_us();
    AdmissionRequest {
        rank: Rank::new(5, false),
        workspace_share,
        class: 0,
        deadline_us: now_us + 1_000_000,
        useful_until_us: now_us + USEFUL_MS * 1_000,
        useful_us: USEFUL_MS * 1_000,
        may_hand_back: false,
        hand_backs: 0,
        slow_from_percent: None,
    }
}

/// Returns the shares of calls answered in time within ten seconds, of the ordinary workspaces and of the hot
/// one.
async fn served(is_shared_fairly: bool) -> (f64, f64) {
    let clock = Clock::new();
    let guard = Guard::new(limits(), clock);
    let mut rng = SmallRng::seed_from_u64(1);
    let mut calls = JoinSet::new();
    for _ in 0..10_000 {
        sleep(Duration::from_millis(1)).await;
        for workspace in 1..=WORKSPACES {
            let factor = if workspace == 1 { HOT } else { 1.0 };
            if rng.random_bool(ORDINARY_PER_S * factor / 1_000.0) {
                let workspace_share =
                    WorkspaceShare { id: if is_shared_fairly { workspace } else { 0 }, weight: 1 };
                calls.spawn(call(guard.clone(), clock, workspace, workspace_share));
            }
        }
    }
    let ended = calls.join_all().await;
    let share = |is_hot: bool| {
        let of_kind = ended.iter().filter(|(workspace, _)| (*workspace == 1) == is_hot);
        let (all, good) = of_kind
            .fold((0.0, 0.0), |(all, good), (_, is_good)| (all + 1.0, good + f64::from(u8::from(*is_good))));
        good / all
    };
    (share(false), share(true))
}

async fn call(
    guard: Arc<Guard>,
    clock: Clock,
    workspace: u64,
    workspace_share: WorkspaceShare,
) -> (u64, bool) {
    let requested_us = clock.now_us();
    let Ok(permit) = guard.admit(request(&clock, workspace_share)).await else { return (workspace, false) };
    sleep(RUN).await;
    drop(permit);
    (workspace, clock.now_us() - requested_us <= USEFUL_MS * 1_000)
}

#[tokio::test(start_paused = true)]
async fn a_hot_workspace_does_not_affect_others() {
    let (others, hot) = served(true).await;
    let (others_unshared, hot_unshared) = served(false).await;
    println!(
        "fair shares: others {others:.3}, hot {hot:.3}; without: others {others_unshared:.3}, hot {hot_unshared:.3}"
    );
    assert!(others >= 0.95, "{others}");
    assert!(others > others_unshared + 0.1, "others: {others} with fair shares, {others_unshared} without");
    assert!(hot >= others / 4.0, "the hot workspace is starved: {hot}");
}
