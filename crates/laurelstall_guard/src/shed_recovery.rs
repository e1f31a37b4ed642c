//! The rise of a concurrency limit that was lowered for refusals.

/// Time in which the limit is back after the first refusals, in µs: as short as a few runs, because the cause may have
/// been a burst.
const RISE_FIRST_US: u64 = 400_000;
/// Longest time in which it is back while the refusals may come from a fault, in µs. Callers need the previous limit
/// within 2 s of the last refusal, and answers arrive a little after the time of a step.
const RISE_FAULT_MAX_US: u64 = 1_800_000;
/// Longest time in which it is back when the target refuses for longer than a fault lasts, in µs. A step that is
/// refused again then costs a call now and then.
const RISE_MAX_US: u64 = 32_000_000;
/// Time after the first refusal from which the target rather than a fault is taken to be the reason, in µs; faults
/// last up to 8 s.
pub const FAULT_MAX_US: u64 = 10_000_000;
/// Time after the return of the limit within which new refusals count as a recurrence, in µs.
const RECURRENCE_US: u64 = 2_000_000;

/// When a lowered limit rises again.
///
/// Load pattern: refusals by a full target for some seconds, then the load as before. Callers need the previous limit
/// back within 2 s; a target that refuses again at once must not be tried as often each time.
#[derive(Debug, Clone, Default)]
pub struct ShedRecovery {
    /// The limit before it was first lowered; 0 if it never was.
    previous: u32,
    /// The limit after the last refusal.
    lowered: u32,
    first_us: u64,
    last_us: u64,
    rise_us: u64,
    /// Whether the target has answered since the last refusal.
    has_answer: bool,
    /// Whether the limit has risen since the last refusal.
    has_risen: bool,
}

impl ShedRecovery {
    /// Records that a refusal lowered the limit from `before` to `lowered`.
    pub fn note_lowered(&mut self, before: u32, lowered: u32, now_us: u64) {
        let forgotten_us = self.last_us + self.rise_us + self.rise_us.max(RECURRENCE_US);
        if self.previous == 0 || now_us > forgotten_us {
            // A target that gave no answer since has not returned to the previous limit.
            let previous = if self.is_pending(before) { self.previous } else { before };
            *self = Self { previous, first_us: now_us, rise_us: RISE_FIRST_US, ..Self::default() };
        } else if self.has_risen {
            let is_fault = now_us < self.first_us + FAULT_MAX_US;
            let rise_max_us = if is_fault { RISE_FAULT_MAX_US } else { RISE_MAX_US };
            self.rise_us = (2 * self.rise_us).min(rise_max_us);
        }
        self.previous = self.previous.max(before);
        self.lowered = lowered;
        self.last_us = now_us;
        self.has_answer = false;
        self.has_risen = false;
    }

    /// Records that the target answered a call.
    pub fn note_answer(&mut self) {
        self.has_answer = true;
    }

    /// Returns the limit that is due, if it is higher than `limit`.
    pub fn raised(&mut self, limit: u32, now_us: u64) -> Option<u32> {
        if !self.has_answer || !self.is_pending(limit) {
            return None;
        }
        let passed_us = now_us.saturating_sub(self.last_us).min(self.rise_us);
        let steps = u64::from(self.previous - self.lowered) * passed_us / self.rise_us.max(1);
        let due = self.lowered + steps as u32;
        self.has_risen |= due > limit;
        (due > limit).then_some(due)
    }

    /// Returns whether `limit` has still to rise, and soon enough that a trial of other limits has to wait.
    pub fn is_rising_soon(&self, limit: u32) -> bool {
        self.is_pending(limit) && self.rise_us <= RISE_FAULT_MAX_US
    }

    /// Discards the previous limit, because a trial found a better one.
    pub fn forget(&mut self) {
        *self = Self::default();
    }

    /// Returns whether `limit` has still to rise.
    pub fn is_pending(&self, limit: u32) -> bool {
        limit < self.previous
    }
}
