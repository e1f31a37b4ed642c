//! The clock on a machine that is suspended.

use laurelstall_guard::{clock::Clock, suspension::suspended_us};
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::time::{Duration, Instant, sleep};

static SUSPENDED_US: AtomicU64 = AtomicU64::new(7_000_000);

fn told_us() -> u64 {
    SUSPENDED_US.load(Ordering::Relaxed)
}

#[tokio::test(start_paused = true)]
async fn time_for_which_the_machine_was_suspended_counts() {
    let clock = Clock::with_suspended_time(told_us);
    let started_us = clock.now_us();
    assert_eq!(clock.suspended_us(), 0, "what was before its start does not count");
    sleep(Duration::from_millis(10)).await;
    let deadline_us = clock.now_us() + 100_000;
    assert_eq!(clock.instant_of(deadline_us), Instant::now() + Duration::from_millis(100));
    SUSPENDED_US.fetch_add(5_000_000, Ordering::Relaxed);
    assert_eq!(clock.now_us() - started_us, 5_010_000);
    assert_eq!(clock.suspended_us(), 5_000_000);
    assert!(clock.now_us() > deadline_us);
    assert!(clock.instant_of(deadline_us) <= Instant::now(), "its timers are over");
    let next_us = clock.now_us() + 50_000;
    assert_eq!(clock.instant_of(next_us), Instant::now() + Duration::from_millis(50));
}

#[test]
fn a_machine_that_was_not_suspended_since_says_so() {
    let before_us = suspended_us();
    for _ in 0..10_000 {
        assert_eq!(suspended_us(), before_us);
    }
}
