//! The clock of a machine that is suspended.

use laurelstall_guard::{clock::Clock, suspension::suspended_us};
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::time::{Duration, Instant, sleep};

static SUSPENDED_US: AtomicU64 = AtomicU64::new(7_000_000);

fn fake_suspended_us() -> u64 {
    SUSPENDED_US.load(Ordering::Relaxed)
}

#[tokio::test(start_paused = true)]
async fn the_clock_includes_suspended_time() {
    let clock = Clock::with_suspended_time(fake_suspended_us);
    let started_us = clock.now_us();
    assert_eq!(clock.suspended_us(), 0, "time suspended before the clock started does not count");
    sleep(Duration::from_millis(10)).await;
    let deadline_us = clock.now_us() + 100_000;
    assert_eq!(clock.instant_of(deadline_us), Instant::now() + Duration::from_millis(100));
    SUSPENDED_US.fetch_add(5_000_000, Ordering::Relaxed);
    assert_eq!(clock.now_us() - started_us, 5_010_000);
    assert_eq!(clock.suspended_us(), 5_000_000);
    assert!(clock.now_us() > deadline_us);
    assert!(clock.instant_of(deadline_us) <= Instant::now(), "timers set for the deadline have expired");
    let next_us = clock.now_us() + 50_000;
    assert_eq!(clock.instant_of(next_us), Instant::now() + Duration::from_millis(50));
}

#[test]
fn without_a_suspension_the_suspended_time_stays_constant() {
    let before_us = suspended_us();
    for _ in 0..10_000 {
        assert_eq!(suspended_us(), before_us);
    }
}
