//! A target gets no more calls than the rate limit that it states, whatever the order of calls, answers and restarts.

use laurelstall_guard::{
    admission_request::{AdmissionRequest, Rank, WorkspaceShare},
    clock::Clock,
    guard::Guard,
    guard_limits::GuardLimits,
    refusal::RefusalReason,
    stated_rate_limiter::StatedRateLimiter,
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

const SECOND_US: u64 = 1_000_000;
/// Length in µs of the windows in which the users count calls.
const WINDOW_US: u64 = 4 * SECOND_US;

/// Sends a call if the limit allows it; returns whether it was sent.
fn send(limiter: &mut StatedRateLimiter, now_us: u64) -> bool {
    send_kind(limiter, false, now_us)
}

fn send_kind(limiter: &mut StatedRateLimiter, is_nested: bool, now_us: u64) -> bool {
    let has_capacity = limiter.has_capacity(is_nested, now_us);
    if has_capacity {
        limiter.reserve();
        limiter.note_sent(is_nested, now_us);
    }
    has_capacity
}

/// Sends nested calls and others at these rates for a minute to a target that takes 10 a second; returns the served
/// share of each kind.
fn served_shares(nested_per_s: u64, others_per_s: u64) -> (f64, f64) {
    let mut limiter = StatedRateLimiter::default();
    limiter.note_stated(10.0, SECOND_US);
    let (mut nested, mut others) = (0, 0);
    for ms in 0..60_000 {
        let now_us = SECOND_US + ms * 1_000;
        if ms % (1_000 / nested_per_s) == 0 && send_kind(&mut limiter, true, now_us) {
            nested += 1;
        }
        if ms % (1_000 / others_per_s) == 0 && send_kind(&mut limiter, false, now_us) {
            others += 1;
        }
    }
    (f64::from(nested) / (60 * nested_per_s) as f64, f64::from(others) / (60 * others_per_s) as f64)
}

// A nested call that is refused wastes the work of the call that waits for it.
#[test]
fn nested_calls_are_served_beside_a_flood_of_others() {
    let (nested, others) = served_shares(4, 100);
    assert!(nested > 0.95 && others > 0.05, "nested {nested:.2}, others {others:.2}");
}

#[test]
fn a_flood_of_nested_calls_leaves_a_share_to_the_others() {
    let (nested, others) = served_shares(100, 4);
    assert!(others > 0.4 && nested > 0.07, "nested {nested:.2}, others {others:.2}");
}

/// Returns the largest number of calls in any window.
fn fullest_window(sent_us: &[u64]) -> usize {
    let in_window = |from: &u64| sent_us.iter().filter(|at| (*from..*from + WINDOW_US).contains(at)).count();
    sent_us.iter().map(in_window).max().unwrap_or(0)
}

/// Calls that the users allow in a window.
fn allowed(per_s: f64) -> f64 {
    1.5 * 4.0 * per_s + 5.0
}

#[test]
fn a_limit_is_kept_and_used_under_constant_demand() {
    for per_s in [0.3, 1.3, 2.5, 11.3, 80.0] {
        let mut limiter = StatedRateLimiter::default();
        limiter.note_stated(per_s, SECOND_US);
        let times = (0..30_000).map(|ms| SECOND_US + ms * 1_000);
        let sent = times.filter(|now_us| send(&mut limiter, *now_us)).collect::<Vec<_>>();
        assert!(fullest_window(&sent) as f64 <= 4.0 * per_s + 1.0 + per_s, "{per_s}");
        assert!(sent.len() as f64 >= 0.9 * 30.0 * per_s - 1.0, "{per_s}: {} calls in 30 s", sent.len());
    }
}

#[test]
fn a_limit_is_kept_while_the_guard_restarts_in_series() {
    for seed in 0..200 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let per_s = rng.random_range(0.0..20.0);
        let mut limiter = StatedRateLimiter::default();
        limiter.note_stated(per_s, SECOND_US);
        let mut sent = Vec::new();
        let mut now_us = SECOND_US;
        while now_us < 40 * SECOND_US {
            now_us += rng.random_range(1_000..100_000);
            if rng.random_bool(0.03) {
                // A killed process is started again a second later.
                now_us += SECOND_US;
                limiter = StatedRateLimiter::default();
                limiter.note_known_to_entry(per_s, now_us);
            }
            if rng.random_bool(0.1) {
                limiter.note_stated(per_s, now_us);
            }
            if send(&mut limiter, now_us) {
                sent.push(now_us);
            }
        }
        let fullest = fullest_window(&sent);
        assert!(fullest as f64 <= allowed(per_s), "seed {seed}: {fullest} calls, {per_s} per second");
    }
}

#[test]
fn a_target_that_takes_nothing_gets_single_calls_that_show_when_its_limit_ends() {
    let mut limiter = StatedRateLimiter::default();
    limiter.note_stated(0.0, SECOND_US);
    let sent = (0..60).filter(|second| send(&mut limiter, (second + 1) * SECOND_US)).count();
    assert!((10..=15).contains(&sent), "{sent} calls in a minute");
}

#[test]
fn only_an_answer_to_a_later_call_ends_a_limit() {
    let mut limiter = StatedRateLimiter::default();
    limiter.note_stated(2.0, 5 * SECOND_US);
    limiter.note_unstated(4 * SECOND_US);
    assert_eq!(limiter.stated_per_s(), Some(2.0));
    limiter.note_unstated(5 * SECOND_US + 1);
    assert_eq!(limiter.stated_per_s(), None);
    assert!(limiter.has_capacity(false, 5 * SECOND_US + 1));
}

#[test]
fn limits_known_to_entries_count_until_the_target_has_answered() {
    let mut limiter = StatedRateLimiter::default();
    limiter.note_known_to_entry(9.0, SECOND_US);
    limiter.note_known_to_entry(2.5, SECOND_US);
    limiter.note_known_to_entry(5.0, SECOND_US);
    assert_eq!(limiter.stated_per_s(), Some(2.5), "the lowest counts");
    limiter.note_stated(4.0, 2 * SECOND_US);
    limiter.note_known_to_entry(2.5, 2 * SECOND_US);
    assert_eq!(limiter.stated_per_s(), Some(4.0));
    limiter.note_unstated(3 * SECOND_US);
    limiter.note_known_to_entry(2.5, 3 * SECOND_US);
    assert_eq!(limiter.stated_per_s(), None, "an entry that has not heard of the end is not believed");
}

#[test]
fn a_lowered_limit_applies_at_once() {
    let mut limiter = StatedRateLimiter::default();
    limiter.note_stated(20.0, SECOND_US);
    assert!(limiter.has_capacity(false, 2 * SECOND_US));
    limiter.note_stated(1.0, 2 * SECOND_US);
    let sent = (0..400).filter(|tick| send(&mut limiter, 2 * SECOND_US + tick * 10_000)).count();
    assert!(sent <= 5, "{sent} calls in 4 s");
}

fn request(clock: &Clock, may_hand_back: bool) -> AdmissionRequest {
    let until_us = clock.now_us() + SECOND_US;
    AdmissionRequest {
        rank: Rank::new(1, false),
        workspace_share: WorkspaceShare::NO_WORKSPACE,
        class: 0,
        deadline_us: until_us,
        useful_until_us: until_us,
        useful_us: SECOND_US,
        may_hand_back,
        hand_backs: 0,
        slow_from_percent: None,
    }
}

fn limits() -> GuardLimits {
    GuardLimits {
        slots: 4,
        slots_start_percent: 100,
        slots_floor_percent: 100,
        queue_length: 8,
        queue_wait_max_ms: 5_000,
        cold_calls_per_s: 0,
        cold_start_ms: 0,
        has_refusal_causes: false,
        may_hold: false,
    }
}

#[tokio::test(start_paused = true)]
async fn a_call_that_another_target_may_take_is_refused_at_once() {
    let clock = Clock::new();
    let guard = Guard::new(limits(), clock);
    guard.note_stated_rate(2.0);
    let before_us = clock.now_us();
    let refusal = guard.admit(request(&clock, true)).await.expect_err("no call is allowed yet");
    assert_eq!((refusal.reason, clock.now_us()), (RefusalReason::RateLimited, before_us));
    let second = guard.admit(request(&clock, true)).await.expect_err("no call is allowed yet");
    assert!(second.retry_after_ms >= refusal.retry_after_ms + 400, "{refusal:?}, {second:?}");
}

#[tokio::test(start_paused = true)]
async fn a_call_without_a_choice_waits_for_its_turn_if_it_is_answered_in_time() {
    let clock = Clock::new();
    let guard = Guard::new(limits(), clock);
    guard.note_stated_rate(2.0);
    let queries = guard.clone();
    tokio::spawn(async move {
        loop {
            queries.report_needed().await;
        }
    });
    let before_us = clock.now_us();
    let mut permit = guard.admit(request(&clock, false)).await.expect("its turn comes after 0.5 s");
    assert!((450_000..600_000).contains(&(clock.now_us() - before_us)));
    permit.note_sent();
    guard.note_stated_rate(0.5);
    let refusal = guard.admit(request(&clock, false)).await.expect_err("its turn comes after 2 s");
    assert_eq!(refusal.reason, RefusalReason::RateLimited);
}
