//! Tests the place of returns with a reservation in a guard's queue, and prompt refusals, on a paused clock.

mod support;

use laurelstall_guard::{
    admission_request::Rank, clock::Clock, guard::Guard, guard_limits::GuardLimits, refusal::RefusalReason,
};
use std::sync::Arc;
use support::{Admission, request};
use tokio::{
    task::yield_now,
    time::{Duration, advance, sleep},
};

const LIMITS: GuardLimits = GuardLimits {
    slots: 1,
    slots_start_percent: 100,
    slots_floor_percent: 100,
    queue_length: 2,
    queue_wait_max_ms: 1_000,
    cold_calls_per_s: 0,
    cold_start_ms: 0,
    has_refusal_causes: false,
    may_hold: false,
};
const FIRST_ATTEMPT: Rank = rank(5, false, false);
const RESERVED: Rank = rank(5, true, true);

const fn rank(importance: u8, is_reserved: bool, is_caller_retry: bool) -> Rank {
    Rank::new(importance, is_caller_retry).with_reservation(is_reserved)
}

async fn enqueue(guard: &Arc<Guard>, clock: &Clock, rank: Rank, budget_ms: u64) -> Admission {
    support::enqueue(guard, request(clock, rank, budget_ms)).await
}

#[tokio::test(start_paused = true)]
async fn a_reserved_return_goes_before_first_attempts_of_its_importance_only() {
    let clock = Clock::new();
    let guard = Guard::new(LIMITS, clock);
    let running = enqueue(&guard, &clock, FIRST_ATTEMPT, 9_000).await;
    let running = running.await.expect("no panic").expect("a free slot");
    let first = enqueue(&guard, &clock, FIRST_ATTEMPT, 5_000).await;
    let reserved = enqueue(&guard, &clock, RESERVED, 6_000).await;
    drop(running);
    yield_now().await;
    assert!(!first.is_finished());
    let running = reserved.await.expect("no panic").expect("it goes first, though its deadline is later");
    let important = enqueue(&guard, &clock, rank(6, false, false), 9_000).await;
    let reserved = enqueue(&guard, &clock, RESERVED, 6_000).await;
    let evicted = first.await.expect("no panic").expect_err("a reserved return takes its place in the queue");
    assert_eq!(evicted.reason, RefusalReason::QueueFull);
    drop(running);
    yield_now().await;
    assert!(!reserved.is_finished());
    assert!(important.await.expect("no panic").is_ok(), "more important calls stay ahead");
    reserved.abort();
}

/// Guards against places for callers that return without a reservation.
#[tokio::test(start_paused = true)]
async fn a_return_without_a_place_stays_behind_first_attempts() {
    let clock = Clock::new();
    let guard = Guard::new(LIMITS, clock);
    let running = enqueue(&guard, &clock, FIRST_ATTEMPT, 9_000).await;
    let running = running.await.expect("no panic").expect("a free slot");
    let unasked = enqueue(&guard, &clock, rank(5, false, true), 8_000).await;
    let first = enqueue(&guard, &clock, FIRST_ATTEMPT, 9_000).await;
    drop(running);
    yield_now().await;
    assert!(!unasked.is_finished());
    assert!(first.await.expect("no panic").is_ok());
    unasked.abort();
}

/// Measures runs of 100 ms.
async fn measure_runs(guard: &Arc<Guard>, clock: &Clock) {
    for _ in 0..20 {
        let run = enqueue(guard, clock, FIRST_ATTEMPT, 9_000).await.await.expect("no panic");
        let mut run = run.expect("a free slot");
        run.note_sent();
        advance(Duration::from_millis(100)).await;
        drop(run);
    }
}

/// Guards against queued calls that are certain to be late and are told so only when a run ends or their wait is over.
#[tokio::test(start_paused = true)]
async fn a_queued_call_is_refused_when_the_calls_ahead_make_it_late() {
    for (has_prompt_refusal, waited_ms) in [(true, 150..=175), (false, 245..=255)] {
        let clock = Clock::new();
        let guard = Guard::new(LIMITS, clock);
        guard.set_prompt_refusal(has_prompt_refusal);
        let watched = guard.clone();
        let watch = tokio::spawn(async move { watched.report_needed().await });
        measure_runs(&guard, &clock).await;
        let _stuck = enqueue(&guard, &clock, FIRST_ATTEMPT, 9_000).await.await.expect("no panic");
        let ahead = enqueue(&guard, &clock, RESERVED, 9_000).await;
        let hopeless = enqueue(&guard, &clock, FIRST_ATTEMPT, 250).await;
        assert_eq!(hopeless.is_finished(), has_prompt_refusal, "it is late behind two runs of 100 ms");
        hopeless.abort();
        yield_now().await;
        let queued_us = clock.now_us();
        // A run of 100 ms after two others, the first of which does not end, with 350 ms left.
        let late = enqueue(&guard, &clock, FIRST_ATTEMPT, 350).await;
        while !late.is_finished() {
            sleep(Duration::from_millis(1)).await;
        }
        let waited = (clock.now_us() - queued_us) / 1_000;
        assert!(waited_ms.contains(&waited), "{waited} ms, promptly: {has_prompt_refusal}");
        assert!(late.await.expect("no panic").is_err());
        ahead.abort();
        watch.abort();
    }
}

/// Guards against runs that take a slot until the deadline of their call and leave its outcome unknown.
#[tokio::test(start_paused = true)]
async fn a_call_that_no_run_finishes_before_its_deadline_is_refused_at_once() {
    for has_prompt_refusal in [true, false] {
        let clock = Clock::new();
        let guard = Guard::new(LIMITS, clock);
        guard.set_prompt_refusal(has_prompt_refusal);
        measure_runs(&guard, &clock).await;
        let hopeless = enqueue(&guard, &clock, FIRST_ATTEMPT, 40).await.await.expect("no panic");
        assert_eq!(hopeless.is_err(), has_prompt_refusal);
        drop(hopeless);
        let tight = enqueue(&guard, &clock, FIRST_ATTEMPT, 60).await.await.expect("no panic");
        assert!(tight.is_ok(), "some runs are shorter than the mean");
    }
}
