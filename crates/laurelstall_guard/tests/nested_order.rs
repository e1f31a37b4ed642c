//! The order of nested calls by the importance of the first request of their chain, on a paused clock.

mod support;

use laurelstall_guard::{
    admission_request::{NESTED_CALL_IMPORTANCE, Rank},
    clock::Clock,
    guard::{Guard, Permit},
    guard_limits::GuardLimits,
    refusal::RefusalReason,
};
use laurelstall_overload::call_level::CallLevel;
use std::sync::Arc;
use support::{enqueue, request};
use tokio::time::{Duration, advance};

const LOW: u8 = 20;
const HIGH: u8 = 70;
const QUEUE_LENGTH: usize = 3;
const LIMITS: GuardLimits = GuardLimits {
    slots: 1,
    slots_start_percent: 100,
    slots_floor_percent: 100,
    queue_length: QUEUE_LENGTH,
    queue_wait_max_ms: 1_000,
    cold_calls_per_s: 0,
    cold_start_ms: 0,
    has_refusal_causes: false,
    may_hold: false,
};

/// The rank of a nested call for a caller of some importance.
fn nested(importance: u8, is_on: bool) -> Rank {
    let level = CallLevel { importance, bucket: 11 };
    Rank::new(NESTED_CALL_IMPORTANCE, false).with_level(level).by_first_caller(is_on)
}

/// A guard with one slot that takes 5 ms for a call, and the call that holds the slot.
async fn busy_guard(clock: Clock) -> (Arc<Guard>, Permit) {
    let guard = Guard::new(LIMITS, clock);
    let permit = guard.admit(request(&clock, nested(LOW, true), 500)).await.expect("a free slot");
    advance(Duration::from_millis(5)).await;
    drop(permit);
    let held = guard.admit(request(&clock, nested(LOW, true), 500)).await.expect("a free slot");
    (guard, held)
}

/// A less important class must not displace a more important one at a service that the runs of both call.
#[tokio::test(start_paused = true)]
async fn calls_for_more_important_callers_go_first() {
    let clock = Clock::new();
    let (guard, held) = busy_guard(clock).await;
    let low = enqueue(&guard, request(&clock, nested(LOW, true), 300)).await;
    let high = enqueue(&guard, request(&clock, nested(HIGH, true), 900)).await;
    drop(held);
    let high = high.await.expect("no panic").expect("goes first in spite of its later deadline");
    assert!(!low.is_finished());
    drop(high);
    low.await.expect("no panic").expect("goes next");
}

/// With the part off, the order must be as before: by deadline.
#[tokio::test(start_paused = true)]
async fn without_the_switch_deadlines_decide() {
    let clock = Clock::new();
    let (guard, held) = busy_guard(clock).await;
    let high = enqueue(&guard, request(&clock, nested(HIGH, false), 900)).await;
    let low = enqueue(&guard, request(&clock, nested(LOW, false), 300)).await;
    drop(held);
    let low = low.await.expect("no panic").expect("goes first");
    assert!(!high.is_finished());
    drop(low);
    high.await.expect("no panic").expect("goes next");
}

/// A full queue of nested calls must give way to one for a more important caller, and only to that.
#[tokio::test(start_paused = true)]
async fn a_full_queue_evicts_the_call_of_the_least_important_caller() {
    let clock = Clock::new();
    let (guard, _held) = busy_guard(clock).await;
    let mut low = Vec::new();
    for _ in 0..QUEUE_LENGTH {
        low.push(enqueue(&guard, request(&clock, nested(LOW, true), 500)).await);
    }
    let refused = guard.admit(request(&clock, nested(LOW, true), 500)).await.expect_err("the queue is full");
    assert_eq!(refused.reason, RefusalReason::QueueFull);
    let high = enqueue(&guard, request(&clock, nested(HIGH, true), 500)).await;
    let evicted = low.pop().expect("three wait").await.expect("no panic").expect_err("it lost its place");
    assert_eq!(evicted.reason, RefusalReason::QueueFull);
    assert!(!high.is_finished(), "it waits");
}

/// The level must not move calls that are not nested: their own importance decides.
#[tokio::test(start_paused = true)]
async fn other_calls_go_by_their_own_importance() {
    let clock = Clock::new();
    let (guard, held) = busy_guard(clock).await;
    let rank = |level| {
        let level = CallLevel { importance: level, bucket: 0 };
        Rank::new(5, false).with_level(level).by_first_caller(true)
    };
    let later = enqueue(&guard, request(&clock, rank(HIGH), 900)).await;
    let sooner = enqueue(&guard, request(&clock, rank(LOW), 300)).await;
    let nested_call = enqueue(&guard, request(&clock, nested(LOW, true), 950)).await;
    drop(held);
    let nested_call = nested_call.await.expect("no panic").expect("nested calls go before all others");
    assert!(!sooner.is_finished() && !later.is_finished());
    drop(nested_call);
    let sooner = sooner.await.expect("no panic").expect("by deadline");
    assert!(!later.is_finished());
    drop(sooner);
    later.await.expect("no panic").expect("goes last");
}
