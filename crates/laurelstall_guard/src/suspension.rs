//! Time for which this machine was suspended.
//!
//! The steady clock of the operating system does not count it, so what is older than it seems would be taken for fresh:
//! reads of the platform, lists, hints, budgets of calls. The clock since boot does count it.

use nix::time::{ClockId, clock_gettime};
use std::sync::{
    OnceLock,
    atomic::{AtomicU64, Ordering},
};

/// Least difference between the two clocks that is taken for a suspension, in µs: they are read one after the other, and
/// run at rates that differ by less than this in an hour.
const SUSPENSION_MIN_US: u64 = 20_000;

/// How far the clock since boot is ahead of the steady clock, in µs; none where the system has no such clock.
fn lead_us() -> Option<u64> {
    // In this order: whatever comes between the two readings makes the lead look smaller, never larger.
    let since_boot = clock_gettime(ClockId::CLOCK_BOOTTIME).ok()?;
    let steady = clock_gettime(ClockId::CLOCK_MONOTONIC).ok()?;
    let micros = |time: nix::sys::time::TimeSpec| time.tv_sec() * 1_000_000 + time.tv_nsec() / 1_000;
    Some(u64::try_from(micros(since_boot) - micros(steady)).unwrap_or(0))
}

/// How long this machine was suspended since this was first asked, in µs. It never shrinks.
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
