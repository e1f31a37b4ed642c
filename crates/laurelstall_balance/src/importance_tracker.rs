//! Tracks the importance of the most important recent calls of a service.

use crate::attempt_budget::BudgetClass;

/// Time in µs for which the importance of a call is remembered: the window of the budgets for extra attempts.
const WINDOW_US: u64 = 10_000_000;

/// The greatest importance among the calls of the last ten seconds.
#[derive(Debug, Clone, Copy, Default)]
pub struct ImportanceTracker {
    importance: u8,
    seen_at_us: u64,
}

impl ImportanceTracker {
    /// Records the importance of a call.
    pub fn note(&mut self, importance: u8, now_us: u64) {
        if importance >= self.importance || self.is_expired(now_us) {
            *self = Self { importance, seen_at_us: now_us };
        }
    }

    /// The class in which a call of this importance withdraws from a budget of the service.
    pub fn class_of(&self, importance: u8, now_us: u64) -> BudgetClass {
        if importance >= self.importance || self.is_expired(now_us) {
            BudgetClass::MostImportant
        } else {
            BudgetClass::Other
        }
    }

    fn is_expired(&self, now_us: u64) -> bool {
        now_us.saturating_sub(self.seen_at_us) > WINDOW_US
    }
}
