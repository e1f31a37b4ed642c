//! Calls held during the target's slow phases, on a paused clock.

mod support;

use laurelstall_guard::{
    admission_request::{AdmissionRequest, Rank, WorkspaceShare},
    clock::Clock,
    guard::Guard,
    guard_limits::GuardLimits,
    refusal::RefusalReason,
};
use std::sync::{
    Arc,
    atomic::{AtomicU32, Ordering},
};
use support::enqueue;
use tokio::{
    task::{JoinHandle, yield_now},
    time::{Duration, advance, timeout},
};

const LIMITS: GuardLimits = GuardLimits {
    slots: 4,
    slots_start_percent: 100,
    slots_floor_percent: 100,
    queue_length: 16,
    queue_wait_max_ms: 2_000,
    cold_calls_per_s: 0,
    cold_start_ms: 0,
    has_refusal_causes: false,
    may_hold: true,
};
const RUN_MS: u64 = 200;

fn request(clock: &Clock) -> AdmissionRequest {
    let now_us = clock.now_us();
    AdmissionRequest {
        rank: Rank::new(5, false),
        workspace_share: WorkspaceShare::NO_WORKSPACE,
        class: 7,
        deadline_us: now_us + 1_200_000,
        useful_until_us: now_us + 600_000,
        useful_us: 600_000,
        may_hand_back: false,
        hand_backs: 0,
        slow_from_percent: None,
    }
}

/// Creates a guard that has measured a run and whose target has just turned slow.
async fn slow_guard() -> (Arc<Guard>, Clock) {
    let clock = Clock::new();
    let guard = Guard::new(LIMITS, clock);
    guard.note_slowness(100);
    let permit = guard.admit(request(&clock)).await.expect("a free slot");
    advance(Duration::from_millis(RUN_MS)).await;
    guard.note_slowness(100);
    drop(permit);
    guard.note_slowness(500);
    (guard, clock)
}

#[tokio::test(start_paused = true)]
async fn a_held_call_starts_when_a_report_says_that_the_target_is_quick() {
    let (guard, clock) = slow_guard().await;
    let held = enqueue(&guard, request(&clock)).await;
    assert!(!held.is_finished());
    assert_eq!((guard.load().in_flight, guard.load().queued), (0, 1), "a held call occupies no slot");
    advance(Duration::from_millis(50)).await;
    guard.note_slowness(500);
    yield_now().await;
    assert!(!held.is_finished());
    guard.note_slowness(100);
    held.await.expect("no panic").expect("it starts");
}

#[tokio::test(start_paused = true)]
async fn held_calls_start_when_the_last_report_is_old() {
    let (guard, clock) = slow_guard().await;
    let querying_guard = guard.clone();
    let query_task = tokio::spawn(async move { querying_guard.report_needed().await });
    let held = enqueue(&guard, request(&clock)).await;
    let started = timeout(Duration::from_millis(900), held).await;
    started.expect("it starts without a query").expect("no panic").expect("it starts");
    assert!(!query_task.is_finished(), "this target cannot be queried");
    query_task.abort();
}

#[tokio::test(start_paused = true)]
async fn a_call_waits_for_a_useful_report_and_starts_when_the_query_fails() {
    let (guard, clock) = slow_guard().await;
    guard.set_can_query(true);
    advance(Duration::from_millis(300)).await;
    let first = enqueue(&guard, request(&clock)).await;
    timeout(Duration::from_millis(1), guard.report_needed()).await.expect("the last report is old");
    assert!(!first.is_finished());
    guard.note_query_result(None);
    yield_now().await;
    let started = timeout(Duration::from_millis(400), first).await.expect("in time for its answer");
    let permit = started.expect("no panic").expect("it starts without a report");
    permit.release_uncounted();
    let querying_guard = guard.clone();
    let query_task = tokio::spawn(async move { querying_guard.report_needed().await });
    let second = enqueue(&guard, request(&clock)).await;
    let started = timeout(Duration::from_millis(400), second).await;
    started.expect("in time for its answer").expect("no panic").expect("it starts without a report");
    assert!(!query_task.is_finished(), "the target is not queried again soon");
    query_task.abort();
}

#[tokio::test(start_paused = true)]
async fn a_call_with_a_choice_is_refused_when_the_report_is_slow() {
    let (guard, clock) = slow_guard().await;
    guard.set_can_query(true);
    guard.note_slowness(100);
    advance(Duration::from_millis(300)).await;
    let with_choice = AdmissionRequest { slow_from_percent: Some(200), ..request(&clock) };
    let queued = enqueue(&guard, with_choice).await;
    assert!(!queued.is_finished());
    guard.note_slowness(500);
    let refused = queued.await.expect("no panic").expect_err("the target is slow");
    assert_eq!((refused.reason, refused.slowness_percent), (RefusalReason::Slow, 500));
}

#[tokio::test(start_paused = true)]
async fn a_call_held_beyond_its_latency_objective_is_still_served() {
    let (guard, clock) = slow_guard().await;
    let held = enqueue(&guard, request(&clock)).await;
    for _ in 0..60 {
        advance(Duration::from_millis(10)).await;
        guard.note_slowness(500);
        yield_now().await;
    }
    assert!(!held.is_finished(), "the call is held while the target is slow");
    guard.note_slowness(100);
    held.await.expect("no panic").expect("it is served late");
}

#[tokio::test(start_paused = true)]
async fn a_held_call_that_would_miss_its_deadline_is_refused() {
    let (guard, clock) = slow_guard().await;
    let held = enqueue(&guard, request(&clock)).await;
    for _ in 0..120 {
        advance(Duration::from_millis(10)).await;
        guard.note_slowness(500);
        yield_now().await;
        if held.is_finished() {
            break;
        }
    }
    assert!(held.await.expect("no panic").is_err(), "it has not run");
    assert!(guard.is_idle());
}

#[tokio::test(start_paused = true)]
async fn a_cancelled_held_call_is_removed_from_the_queue() {
    let (guard, clock) = slow_guard().await;
    let held = enqueue(&guard, request(&clock)).await;
    held.abort();
    assert!(held.await.is_err());
    assert!(guard.is_idle());
    guard.note_slowness(100);
    guard.admit(request(&clock)).await.expect("all slots are free");
}

#[tokio::test(start_paused = true)]
async fn without_holding_calls_start_at_any_speed() {
    let (guard, clock) = slow_guard().await;
    guard.set_limits(GuardLimits { may_hold: false, ..LIMITS });
    guard.admit(request(&clock)).await.expect("it starts");
}

#[tokio::test(start_paused = true)]
async fn a_held_call_does_not_start_long_after_draining_began() {
    let (guard, clock) = slow_guard().await;
    let request = AdmissionRequest { deadline_us: clock.now_us() + 9_000_000, ..request(&clock) };
    let held = [enqueue(&guard, request).await, enqueue(&guard, request).await];
    guard.set_draining(true);
    advance(Duration::from_millis(500)).await;
    guard.set_draining(true);
    for _ in 0..60 {
        advance(Duration::from_millis(10)).await;
        guard.note_slowness(500);
        yield_now().await;
    }
    guard.note_slowness(100);
    for call in held {
        let refused = call.await.expect("no panic").expect_err("the target has been draining for 1.1 s");
        assert_eq!(refused.reason, RefusalReason::Draining);
    }
    assert!(guard.is_idle());
}

#[tokio::test(start_paused = true)]
async fn a_target_is_queried_at_most_fifty_times_a_second() {
    let (guard, clock) = slow_guard().await;
    guard.set_can_query(true);
    // Phases of some 10 ms make each report outdated at once.
    for turn in 0..200 {
        advance(Duration::from_millis(10)).await;
        guard.note_slowness(if turn % 2 == 0 { 100 } else { 500 });
    }
    let (querying_guard, queries) = (guard.clone(), Arc::new(AtomicU32::new(0)));
    let counted = queries.clone();
    let query_task = tokio::spawn(async move {
        loop {
            querying_guard.report_needed().await;
            counted.fetch_add(1, Ordering::SeqCst);
            querying_guard.note_query_result(Some(500));
        }
    });
    let mut calls = Vec::new();
    let mut previous = 0;
    let mut most = 0;
    for _second in 0..5 {
        for _ in 0..200 {
            calls.push(enqueue(&guard, request(&clock)).await);
            advance(Duration::from_millis(5)).await;
            yield_now().await;
        }
        let count = queries.load(Ordering::SeqCst);
        most = most.max(count - previous);
        previous = count;
    }
    assert!((20..=50).contains(&most), "{most} queries in a second");
    query_task.abort();
    calls.iter().for_each(JoinHandle::abort);
}

#[tokio::test(start_paused = true)]
async fn without_information_calls_run_on_a_cold_target_but_not_in_a_slow_phase() {
    let clock = Clock::new();
    let guard = Guard::new(LIMITS, clock);
    // An entry without information about other targets accepts three times the normal slowness.
    let without_information = AdmissionRequest { slow_from_percent: Some(300), ..request(&clock) };
    guard.note_slowness(200);
    let permit = guard.admit(without_information).await.expect("a cold target takes it");
    // The guard has just started as well, so its first report may come from a slow phase.
    guard.note_slowness(400);
    let refused = guard.admit(without_information).await.expect_err("a slow phase");
    assert_eq!((refused.reason, refused.slowness_percent), (RefusalReason::Slow, 400));
    drop(permit);
}
