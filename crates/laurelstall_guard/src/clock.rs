//! Monotonic time in µs that includes the time for which the machine was suspended.

use crate::suspension::suspended_us;
use tokio::time::{Duration, Instant};

/// A monotonic clock that starts at 1 s, so that 0 can stand for "never".
///
/// It follows tokio's clock, also when a test pauses it. Timers of tokio do not count suspended time, so a
/// task that a timer wakes reads this clock again before it acts.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    base: Instant,
    /// How long the machine had been suspended when the clock started, in µs.
    base_suspended_us: u64,
    /// Returns the total time for which the machine was suspended, in µs.
    suspended_us: fn() -> u64,
}

const START_US: u64 = 1_000_000;

impl Clock {
    /// Creates a clock that starts now.
    pub fn new() -> Self {
        Self::with_suspended_time(suspended_us)
    }

    /// Creates a clock that starts now and reads the total suspended time, in µs, from `suspended_us`.
    pub fn with_suspended_time(suspended_us: fn() -> u64) -> Self {
        Self { base: Instant::now(), base_suspended_us: suspended_us(), suspended_us }
    }

    /// Returns the time since the start plus 1 s, in µs.
    pub fn now_us(&self) -> u64 {
        self.base.elapsed().as_micros() as u64 + self.suspended_us() + START_US
    }

    /// Returns the time since the start in ms, for log lines.
    pub fn elapsed_ms(&self) -> u64 {
        (self.now_us() - START_US) / 1_000
    }

    /// Returns how long the machine was suspended since the start, in µs.
    pub fn suspended_us(&self) -> u64 {
        (self.suspended_us)().saturating_sub(self.base_suspended_us)
    }

    /// Converts a reading of this clock to an instant of tokio's clock; exact unless the machine is suspended
    /// before then.
    pub fn instant_of(&self, at_us: u64) -> Instant {
        let running_us = at_us.saturating_sub(START_US).saturating_sub(self.suspended_us());
        self.base + Duration::from_micros(running_us)
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}
