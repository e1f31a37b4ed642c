//! Which calls of a service are its most important ones at present.

use crate::share_budget::SpendingClass;

/// Time in which calls of an importance are remembered, in µs: the time over which extra attempts are bounded.
const REMEMBERED_US: u64 = 10_000_000;

/// The greatest importance among the calls of the last seconds.
#[derive(Debug, Clone, Copy, Default)]
pub struct ForemostCalls {
    importance: u8,
    seen_at_us: u64,
}

impl ForemostCalls {
    /// Notes a call.
    pub fn note(&mut self, importance: u8, now_us: u64) {
        if importance >= self.importance || self.is_forgotten(now_us) {
            *self = Self { importance, seen_at_us: now_us };
        }
    }

    /// What a call of this importance may use of a budget that all calls of the service share.
    pub fn class_of(&self, importance: u8, now_us: u64) -> SpendingClass {
        if importance >= self.importance || self.is_forgotten(now_us) {
            SpendingClass::Foremost
        } else {
            SpendingClass::Other
        }
    }

    fn is_forgotten(&self, now_us: u64) -> bool {
        now_us.saturating_sub(self.seen_at_us) > REMEMBERED_US
    }
}
