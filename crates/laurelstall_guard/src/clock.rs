//! Time of this process as plain µs, which never goes back and counts the time for which the machine was suspended.

use crate::suspension::suspended_us;
use tokio::time::{Duration, Instant};

/// A clock that starts at 1 s, so that "never" can be 0.
///
/// It follows tokio's clock and stands still with it in tests that pause time. Timers of tokio do not count a
/// suspension: what one of them wakes looks at this clock before it acts.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    base: Instant,
    /// How long the machine had been suspended when the clock started, in µs.
    base_suspended_us: u64,
    /// Tells how long it has been suspended in all.
    suspended_us: fn() -> u64,
}

const START_US: u64 = 1_000_000;

impl Clock {
    /// A clock that starts now.
    pub fn new() -> Self {
        Self::with_suspended_time(suspended_us)
    }

    /// A clock that starts now, on a machine that tells by `suspended_us` how long it was suspended in all.
    pub fn with_suspended_time(suspended_us: fn() -> u64) -> Self {
        Self { base: Instant::now(), base_suspended_us: suspended_us(), suspended_us }
    }

    /// µs since the start.
    pub fn now_us(&self) -> u64 {
        self.base.elapsed().as_micros() as u64 + self.suspended_us() + START_US
    }

    /// Time since the start in ms, for log lines.
    pub fn elapsed_ms(&self) -> u64 {
        (self.now_us() - START_US) / 1_000
    }

    /// How long the machine was suspended since the start, in µs.
    pub fn suspended_us(&self) -> u64 {
        (self.suspended_us)().saturating_sub(self.base_suspended_us)
    }

    /// The instant of a reading of this clock, if the machine is not suspended until then.
    pub fn instant_of(&self, at_us: u64) -> Instant {
        let steady_us = at_us.saturating_sub(START_US).saturating_sub(self.suspended_us());
        self.base + Duration::from_micros(steady_us)
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}
