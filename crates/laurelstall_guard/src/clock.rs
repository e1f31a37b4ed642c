//! Monotonic time of this process as plain µs.

use tokio::time::{Duration, Instant};

/// A monotonic clock that starts at 1 s, so that "never" can be 0.
///
/// It follows tokio's clock and stands still with it in tests that pause time.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    base: Instant,
}

const START_US: u64 = 1_000_000;

impl Clock {
    /// A clock that starts now.
    pub fn new() -> Self {
        Self { base: Instant::now() }
    }

    /// µs since the start.
    pub fn now_us(&self) -> u64 {
        self.base.elapsed().as_micros() as u64 + START_US
    }

    /// Time since the start in ms, for log lines.
    pub fn elapsed_ms(&self) -> u64 {
        self.base.elapsed().as_millis() as u64
    }

    /// The instant of a reading of this clock.
    pub fn instant_of(&self, at_us: u64) -> Instant {
        self.base + Duration::from_micros(at_us.saturating_sub(START_US))
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}
