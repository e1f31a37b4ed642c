//! Admission, queueing, hand-backs, refusals and draining, on a paused clock.

mod support;

use laurelstall_guard::{
    admission_request::{AdmissionRequest, Rank},
    clock::Clock,
    guard::{Guard, Permit},
    guard_limits::GuardLimits,
    refusal::{Refusal, RefusalReason},
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};
use support::enqueue;
use tokio::{
    task::JoinSet,
    time::{Duration, advance, sleep, timeout},
};

const LIMITS: GuardLimits = GuardLimits {
    slots: 2,
    slots_start_percent: 100,
    slots_floor_percent: 100,
    queue_length: 3,
    queue_wait_max_ms: 1_000,
    cold_calls_per_s: 0,
    cold_start_ms: 0,
    has_refusal_causes: false,
    may_hold: true,
};

fn guard() -> (Arc<Guard>, Clock) {
    let clock = Clock::new();
    (Guard::new(LIMITS, clock), clock)
}

fn request(clock: &Clock, importance: u8, budget_ms: u64) -> AdmissionRequest {
    support::request(clock, Rank::new(importance, false), budget_ms)
}

fn reason(refused: Result<Permit, Refusal>) -> RefusalReason {
    refused.expect_err("the call must be refused").reason
}

#[tokio::test(start_paused = true)]
async fn slots_are_never_exceeded_and_important_calls_go_first() {
    let (guard, clock) = guard();
    let first = guard.admit(request(&clock, 5, 500)).await.expect("a free slot");
    let _second = guard.admit(request(&clock, 5, 500)).await.expect("a free slot");
    let low = enqueue(&guard, request(&clock, 1, 500)).await;
    let late = enqueue(&guard, request(&clock, 5, 900)).await;
    let soon = enqueue(&guard, request(&clock, 5, 500)).await;
    assert_eq!((guard.load().in_flight, guard.load().queued), (2, 3));
    drop(first);
    let soon = soon.await.expect("no panic").expect("the most urgent of the important calls");
    assert!(!late.is_finished() && !low.is_finished());
    drop(soon);
    let late = late.await.expect("no panic").expect("the important call");
    assert!(!low.is_finished());
    drop(late);
    low.await.expect("no panic").expect("the other call");
}

#[tokio::test(start_paused = true)]
async fn a_full_queue_refuses_calls_but_evicts_for_more_important_ones() {
    let (guard, clock) = guard();
    let _held = (guard.admit(request(&clock, 5, 500)).await, guard.admit(request(&clock, 5, 500)).await);
    let mut low = Vec::new();
    for _ in 0..3 {
        low.push(enqueue(&guard, request(&clock, 1, 500)).await);
    }
    assert_eq!(reason(guard.admit(request(&clock, 1, 500)).await), RefusalReason::QueueFull);
    let _important = enqueue(&guard, request(&clock, 9, 500)).await;
    let evicted = low.pop().expect("three wait").await.expect("no panic");
    assert_eq!(reason(evicted), RefusalReason::QueueFull);
    assert_eq!(guard.load().queued, 3);
}

#[tokio::test(start_paused = true)]
async fn calls_that_would_miss_their_deadline_are_refused() {
    let (guard, clock) = guard();
    assert_eq!(reason(guard.admit(request(&clock, 5, 0)).await), RefusalReason::Deadline);
    record_run(&guard, &clock, 0, 5).await;
    let _held = (guard.admit(request(&clock, 5, 500)).await, guard.admit(request(&clock, 5, 500)).await);
    let _first = enqueue(&guard, request(&clock, 5, 500)).await;
    let _second = enqueue(&guard, request(&clock, 5, 500)).await;
    // Two calls are ahead of it, each taking about 5 ms on two slots.
    assert_eq!(
        reason(guard.admit(AdmissionRequest { class: 1, ..request(&clock, 0, 2) }).await),
        RefusalReason::Deadline
    );
}

#[tokio::test(start_paused = true)]
async fn a_call_woken_after_its_deadline_is_refused() {
    let (guard, clock) = guard();
    let held = (guard.admit(request(&clock, 5, 5_000)).await, guard.admit(request(&clock, 5, 5_000)).await);
    let late = enqueue(&guard, request(&clock, 5, 100)).await;
    // The slot is freed and time jumps before the woken task runs, as after a pause of the process.
    drop(held);
    advance(Duration::from_millis(200)).await;
    let refused = late.await.expect("no panic");
    assert_eq!(reason(refused), RefusalReason::Deadline);
    assert!(guard.is_idle());
}

#[tokio::test(start_paused = true)]
async fn a_queued_call_is_handed_back_after_a_typical_run_time() {
    let (guard, clock) = guard();
    record_run(&guard, &clock, 0, 5).await;
    let _held = (guard.admit(request(&clock, 5, 5_000)).await, guard.admit(request(&clock, 5, 5_000)).await);
    let started_us = clock.now_us();
    let waiting_call = AdmissionRequest { may_hand_back: true, ..request(&clock, 5, 5_000) };
    assert_eq!(reason(guard.admit(waiting_call).await), RefusalReason::HandedBack);
    let first_us = clock.now_us() - started_us;
    assert!((4_000..=7_000).contains(&first_us), "{first_us}");
    let again = AdmissionRequest { hand_backs: 2, ..waiting_call };
    assert_eq!(reason(guard.admit(again).await), RefusalReason::HandedBack);
    assert!(clock.now_us() - started_us - first_us >= 4 * first_us - 4_000);
    assert_eq!(guard.load().queued, 0);
}

#[tokio::test(start_paused = true)]
async fn draining_refuses_new_calls_and_finishes_queued_ones() {
    let (guard, clock) = guard();
    let held = (guard.admit(request(&clock, 5, 5_000)).await, guard.admit(request(&clock, 5, 5_000)).await);
    let queued = enqueue(&guard, request(&clock, 5, 5_000)).await;
    guard.set_draining(true);
    assert_eq!(reason(guard.admit(request(&clock, 9, 500)).await), RefusalReason::Draining);
    let draining = guard.clone();
    let drained = tokio::spawn(async move { draining.drained().await });
    drop(held);
    let permit = queued.await.expect("no panic").expect("a queued call is finished");
    tokio::task::yield_now().await;
    assert!(!drained.is_finished());
    drop(permit);
    timeout(Duration::from_secs(1), drained).await.expect("the guard is idle").expect("no panic");
}

#[tokio::test(start_paused = true)]
async fn a_cancelled_call_releases_its_slot_and_queue_position() {
    let (guard, clock) = guard();
    let held = (guard.admit(request(&clock, 5, 5_000)).await, guard.admit(request(&clock, 5, 5_000)).await);
    let cancelled = enqueue(&guard, request(&clock, 5, 5_000)).await;
    cancelled.abort();
    assert!(cancelled.await.is_err());
    assert_eq!(guard.load().queued, 0);
    // A call that is woken and then cancelled before it runs releases its slot.
    let woken = enqueue(&guard, request(&clock, 5, 5_000)).await;
    drop(held);
    woken.abort();
    let _ = woken.await;
    assert!(guard.is_idle());
}

async fn random_calls(seed: u64, calls: usize) {
    let (guard, clock) = guard();
    let running_count = Arc::new(AtomicUsize::new(0));
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut running = JoinSet::new();
    for _ in 0..calls {
        sleep(Duration::from_micros(rng.random_range(0..4_000))).await;
        let mut request = request(&clock, rng.random_range(0..10), rng.random_range(0..60));
        request.may_hand_back = rng.random();
        request.hand_backs = rng.random_range(0..8);
        let service = Duration::from_micros(rng.random_range(0..8_000));
        let (admitting, clock, counted) = (guard.clone(), clock, running_count.clone());
        let abort = running.spawn(async move {
            let Ok(permit) = admitting.admit(request).await else { return };
            assert!(clock.now_us() < request.deadline_us, "admitted after its deadline");
            let count = counted.fetch_add(1, Ordering::SeqCst) + 1;
            assert!(count <= LIMITS.slots as usize, "{count} run at once");
            sleep(service).await;
            counted.fetch_sub(1, Ordering::SeqCst);
            drop(permit);
        });
        if rng.random_bool(0.1) && running_count.load(Ordering::SeqCst) == 0 {
            abort.abort();
        }
        assert!(guard.load().queued as usize <= LIMITS.queue_length);
    }
    while let Some(ended) = running.join_next().await {
        assert!(ended.is_ok() || ended.is_err_and(|error| error.is_cancelled()));
    }
    assert!(guard.is_idle(), "a slot or a queue entry leaked");
}

#[tokio::test(start_paused = true)]
async fn long_random_runs_keep_all_invariants() {
    for seed in 0..10 {
        random_calls(seed, 2_000).await;
    }
}

/// Run manually with `cargo test --release -p laurelstall_guard --test admission -- --ignored`.
#[tokio::test(start_paused = true)]
#[ignore = "runs for minutes"]
async fn very_long_random_runs_keep_all_invariants() {
    for seed in 1_000..1_400 {
        random_calls(seed, 50_000).await;
    }
}

/// Runs one call of `class` for `ms` at the target's normal speed, so that the guard knows its run time.
async fn record_run(guard: &Arc<Guard>, clock: &Clock, class: u32, ms: u64) {
    let permit =
        guard.admit(AdmissionRequest { class, ..request(clock, 5, 10_000) }).await.expect("a free slot");
    advance(Duration::from_millis(ms)).await;
    drop(permit);
}

#[tokio::test(start_paused = true)]
async fn a_slow_target_refuses_calls_with_a_choice_until_its_report_is_old() {
    let (guard, clock) = guard();
    guard.note_slowness(400);
    let with_choice = AdmissionRequest { slow_from_percent: Some(200), ..request(&clock, 5, 5_000) };
    let refusal = guard.admit(with_choice).await.expect_err("the target is slow");
    assert_eq!((refusal.reason, refusal.slowness_percent), (RefusalReason::Slow, 400));
    guard.admit(request(&clock, 5, 5_000)).await.expect("a call without a choice runs");
    advance(Duration::from_millis(600)).await;
    guard.admit(with_choice).await.expect("the report is too old");
}

#[tokio::test(start_paused = true)]
async fn a_loaded_target_refuses_calls_that_would_be_late() {
    let (guard, clock) = guard();
    record_run(&guard, &clock, 7, 100).await;
    let useful_until_us = clock.now_us() + 300_000;
    let request = AdmissionRequest { class: 7, useful_until_us, ..request(&clock, 5, 5_000) };
    guard.note_slowness(400);
    let _idle = guard.admit(request).await.expect("an idle target runs it");
    let refused = guard.admit(request).await;
    assert_eq!(reason(refused), RefusalReason::Busy);
    guard.note_slowness(100);
    guard.admit(request).await.expect("it is in time at normal speed");
}

#[tokio::test(start_paused = true)]
async fn no_call_waits_beyond_its_latency_objective() {
    let (guard, clock) = guard();
    record_run(&guard, &clock, 7, 100).await;
    let _running = [
        guard.admit(request(&clock, 5, 9_000)).await.expect("a free slot"),
        guard.admit(request(&clock, 5, 9_000)).await.expect("a free slot"),
    ];
    let useful_until_us = clock.now_us() + 150_000;
    let waits =
        enqueue(&guard, AdmissionRequest { class: 7, useful_until_us, ..request(&clock, 5, 5_000) }).await;
    advance(Duration::from_millis(40)).await;
    assert!(!waits.is_finished());
    advance(Duration::from_millis(20)).await;
    assert_eq!(reason(waits.await.expect("no panic")), RefusalReason::QueueFull);
}

#[tokio::test(start_paused = true)]
async fn retries_queue_behind_first_attempts_and_are_evicted_for_them() {
    let (guard, clock) = guard();
    let first = guard.admit(request(&clock, 5, 900)).await.expect("a free slot");
    let _second = guard.admit(request(&clock, 5, 900)).await.expect("a free slot");
    let rank = Rank::new(5, true);
    let returned = enqueue(&guard, AdmissionRequest { rank, ..request(&clock, 5, 2_000) }).await;
    let fresh = enqueue(&guard, request(&clock, 5, 900)).await;
    let others =
        [enqueue(&guard, request(&clock, 5, 900)).await, enqueue(&guard, request(&clock, 5, 900)).await];
    assert_eq!(reason(returned.await.expect("it ends")), RefusalReason::QueueFull, "it was evicted");
    drop(first);
    tokio::task::yield_now().await;
    assert!(fresh.is_finished(), "the oldest first attempt runs");
    others.iter().for_each(tokio::task::JoinHandle::abort);
}

#[tokio::test(start_paused = true)]
async fn an_overtaken_call_is_refused_as_soon_as_it_cannot_be_in_time() {
    for (may_hand_back, expected) in [(false, RefusalReason::Busy), (true, RefusalReason::HandedBack)] {
        let (guard, clock) = guard();
        record_run(&guard, &clock, 7, 100).await;
        let _running = [
            guard.admit(request(&clock, 5, 9_000)).await.expect("a free slot"),
            guard.admit(request(&clock, 5, 9_000)).await.expect("a free slot"),
        ];
        let requested_us = clock.now_us();
        let rank = Rank::new(5, true);
        let overtaken_request = AdmissionRequest { class: 7, rank, may_hand_back, ..request(&clock, 5, 160) };
        let overtaken = enqueue(&guard, overtaken_request).await;
        let first = enqueue(&guard, AdmissionRequest { class: 7, ..request(&clock, 5, 900) }).await;
        assert!(!overtaken.is_finished(), "with one call ahead it can be in time");
        let second = enqueue(&guard, AdmissionRequest { class: 7, ..request(&clock, 5, 900) }).await;
        assert_eq!(reason(overtaken.await.expect("no panic")), expected);
        assert_eq!(clock.now_us(), requested_us, "it is refused at once");
        [first, second].iter().for_each(tokio::task::JoinHandle::abort);
    }
}

#[tokio::test(start_paused = true)]
async fn without_a_measured_run_a_call_is_handed_back_after_a_quarter_of_its_wait() {
    let (guard, clock) = guard();
    let _running = [
        guard.admit(request(&clock, 5, 9_000)).await.expect("a free slot"),
        guard.admit(request(&clock, 5, 9_000)).await.expect("a free slot"),
    ];
    let requested_us = clock.now_us();
    let refused = guard.admit(AdmissionRequest { may_hand_back: true, ..request(&clock, 5, 400) }).await;
    assert_eq!(reason(refused), RefusalReason::HandedBack);
    let waited_us = clock.now_us() - requested_us;
    // A run is assumed to take 140 of 400 ms, so the longest wait is 260 ms.
    assert!(
        (60_000..70_000).contains(&waited_us),
        "waited {waited_us} us instead of a quarter of the longest wait"
    );
}

#[tokio::test(start_paused = true)]
async fn without_a_measured_run_only_calls_that_can_be_in_time_are_queued() {
    let (guard, clock) = guard();
    let _running = [
        guard.admit(request(&clock, 5, 300)).await.expect("a free slot"),
        guard.admit(request(&clock, 5, 300)).await.expect("a free slot"),
    ];
    // A run is assumed to take 105 ms: with two slots, two more calls can be in time, and a third cannot.
    let _waits =
        [enqueue(&guard, request(&clock, 5, 300)).await, enqueue(&guard, request(&clock, 5, 300)).await];
    let late = AdmissionRequest { deadline_us: clock.now_us() + 3_000_000, ..request(&clock, 5, 150) };
    assert_eq!(
        reason(guard.admit(AdmissionRequest { useful_until_us: late.deadline_us, ..late }).await),
        RefusalReason::QueueFull
    );
}

#[tokio::test(start_paused = true)]
async fn a_late_call_is_refused_as_busy_without_a_cold_start_limit() {
    let (guard, clock) = guard();
    record_run(&guard, &clock, 0, 5).await;
    advance(Duration::from_secs(3)).await;
    let _held = (guard.admit(request(&clock, 5, 500)).await, guard.admit(request(&clock, 5, 500)).await);
    let late_call = enqueue(&guard, request(&clock, 5, 100)).await;
    // From now on work takes 25 times as long: 125 ms, with 100 ms left.
    guard.note_slowness(2_500);
    let _other = enqueue(&guard, request(&clock, 5, 5_000)).await;
    assert_eq!(reason(late_call.await.expect("no panic")), RefusalReason::Busy);
}
