//! Retry times for refused callers.

/// Earliest retry in µs: the threshold may be lower after the next interval.
const RETRY_MIN_US: u64 = 100_000;
/// Latest retry in µs; few callers have more time left.
const RETRY_MAX_US: u64 = 5_000_000;

/// Gives successive callers successive retry times, at the rate at which calls are admitted.
///
/// Load pattern: many calls refused within a short time, whose callers return as told. With one retry time for all of
/// them the returns would be the next burst. When the refused calls are more than can be absorbed until the latest retry
/// time, the times begin anew at the earliest one, which spreads the returns evenly.
#[derive(Debug, Default)]
pub struct RetrySchedule {
    last_us: u64,
}

impl RetrySchedule {
    /// Returns the time in µs after which the next refused caller may return.
    pub fn next_us(&mut self, admitted_per_s: f64, now_us: u64) -> u64 {
        let step_us = (1e6 / admitted_per_s.max(f64::MIN_POSITIVE)).min(RETRY_MAX_US as f64) as u64;
        let earliest_us = now_us + RETRY_MIN_US;
        let next_us = (self.last_us + step_us).max(earliest_us);
        self.last_us = if next_us > now_us + RETRY_MAX_US { earliest_us } else { next_us };
        self.last_us - now_us
    }
}
