//! Time for which the machine was suspended.
//!
//! The monotonic clock of the operating system does not include it, so that old data such as platform reads,
//! target lists, load hints and time budgets would seem fresh. The boot-time clock does include it.

use nix::time::{ClockId, clock_gettime};
use std::sync::{
    OnceLock,
    atomic::{AtomicU64, Ordering},
};

/// Smallest difference between the two clocks that counts as a suspension, in µs. It covers the time between
/// the two readings and the drift between the clocks within an hour.
const SUSPENSION_MIN_US: u64 = 20_000;

/// Returns how far the boot-time clock is ahead of the monotonic clock, in µs; `None` where the system has no
/// such clock.
fn lead_us() -> Option<u64> {
    // Read in this order, so that a delay between the readings makes the lead smaller, never larger.
    let since_boot = clock_gettime(ClockId::CLOCK_BOOTTIME).ok()?;
    let monotonic = clock_gettime(ClockId::CLOCK_MONOTONIC).ok()?;
    let micros = |time: nix::sys::time::TimeSpec| time.tv_sec() * 1_000_000 + time.tv_nsec() / 1_000;
    Some(u64::try_from(micros(since_boot) - micros(monotonic)).unwrap_or(0))
}

/// Returns how long the machine was suspended since the first call of this function, in µs. The result never
/// decreases.
pub fn suspended_us() -> u64 {
    static FIRST_LEAD_US: OnceLock<u64> = OnceLock::new();
    static SUSPENDED_US: AtomicU64 = AtomicU64::new(0);
    let Some(lead_us) = lead_us() else { return 0 };
    let first_us = *FIRST_LEAD_US.get_or_init(|| lead_us);
    let measured_us = lead_us.saturating_sub(first_us);
    let known_us = SUSPENDED_US.load(Ordering::Relaxed);
    if measured_us < known_us + SUSPENSION_MIN_US {
        return known_us;
    }
    SUSPENDED_US.fetch_max(measured_us, Ordering::Relaxed).max(measured_us)
}
