//! Single calls to an ejected target, which show whether it has recovered.

/// Longest time in µs until an ejected target gets a single call.
const PAUSE_FIRST_MAX_US: u64 = 1_000_000;
/// Longest pause between single calls in µs while the reason may be a fault: callers need the target back within 2 s of
/// its end.
const PAUSE_FAULT_MAX_US: u64 = 1_500_000;
/// Longest pause in µs for a target that fails for longer than a fault lasts. All entry nodes send it single calls.
const PAUSE_MAX_US: u64 = 32_000_000;
/// Time in µs after the ejection from which the target is not expected to recover soon; faults last up to 8 s.
const FAULT_MAX_US: u64 = 10_000_000;
/// Number of successes in a row after which the target is back: one may be chance at a target that fails half of its
/// calls.
const SUCCESSES: u32 = 2;

/// The state of an ejected target that gets single calls, like a half-open circuit breaker.
///
/// Load pattern: a target fails for some seconds and then serves as before. Callers need its capacity at once, while one
/// that still fails gets a call in a pause that doubles with each failure.
#[derive(Debug, Clone)]
pub struct HalfOpen {
    ejected_us: u64,
    pause_us: u64,
    /// Whether a single call was sent since the last failure.
    has_call: bool,
    successes: u32,
}

impl HalfOpen {
    /// Creates the state of a target that is ejected now, and is to get a first call after `first_us` at the latest.
    pub fn new(now_us: u64, first_us: u64) -> Self {
        let pause_us = first_us.clamp(1, PAUSE_FIRST_MAX_US);
        Self { ejected_us: now_us, pause_us, has_call: false, successes: 0 }
    }

    /// The pause before the next single call in µs.
    pub fn pause_us(&self) -> u64 {
        self.pause_us
    }

    /// Whether a single call was sent since the last failure.
    pub fn has_call(&self) -> bool {
        self.has_call
    }

    /// Records that a single call is sent.
    pub fn note_call(&mut self) {
        self.has_call = true;
    }

    /// Records a success; returns whether the target has recovered. Successes count once a single call was sent.
    pub fn note_success(&mut self) -> bool {
        self.successes += u32::from(self.has_call);
        self.successes >= SUCCESSES
    }

    /// Records a failure; returns whether it was that of a single call, after which the pause is longer.
    pub fn note_failure(&mut self, now_us: u64) -> bool {
        if !self.has_call {
            return false;
        }
        let is_fault = now_us < self.ejected_us + FAULT_MAX_US;
        let pause_max_us = if is_fault { PAUSE_FAULT_MAX_US } else { PAUSE_MAX_US };
        self.pause_us = (2 * self.pause_us).min(pause_max_us);
        self.has_call = false;
        self.successes = 0;
        true
    }
}
