//! The time that callers usually give calls of each class, so that a call that comes back is known.

use crate::class_times::CallClass;
use std::collections::HashMap;

/// Most classes that are told apart; the budgets of more are not learnt.
const CLASSES_MAX: usize = 1_024;
/// Budgets that are counted for each class.
const COUNTED: usize = 4;
/// Calls after which old ones count half.
const HALVED_AFTER: u32 = 256;
/// Calls of a class before anything is said of it.
const CALLS_MIN: u32 = 16;
/// Share of the calls that must have given a budget for it to be the usual one: one in so many.
const USUAL_SHARE: u32 = 4;
/// Budgets that differ by one in so many are the same: callers round them.
const SAME_SHARE: u64 = 100;
/// Share of the usual budget below which a call has used some of it before, in percent.
const USED_PERCENT: u64 = 95;

/// The most frequent budgets of one class.
///
/// Counted as the heavy hitters of a stream: a new budget takes the place of the rarest one.
#[derive(Debug, Clone, Default)]
struct ClassBudgets {
    counts: [(u64, u32); COUNTED],
    calls: u32,
}

impl ClassBudgets {
    fn note(&mut self, budget_ms: u64) {
        self.calls += 1;
        let is_same = |known_ms: u64| known_ms.abs_diff(budget_ms) <= 1 + budget_ms / SAME_SHARE;
        if let Some((_, count)) = self.counts.iter_mut().find(|(known_ms, _)| is_same(*known_ms)) {
            *count += 1;
        } else if let Some(rarest) = self.counts.iter_mut().min_by_key(|(_, count)| *count) {
            *rarest = (budget_ms, rarest.1.saturating_sub(1).max(1));
        }
        if self.calls >= HALVED_AFTER {
            self.calls /= 2;
            self.counts.iter_mut().for_each(|(_, count)| *count /= 2);
        }
    }

    fn usual_ms(&self) -> Option<u64> {
        let (budget_ms, count) = *self.counts.iter().max_by_key(|(_, count)| *count)?;
        let is_usual = self.calls >= CALLS_MIN && count * USUAL_SHARE >= self.calls;
        is_usual.then_some(budget_ms)
    }
}

/// The usual budgets by class.
///
/// A caller gives the first attempt of a request all its time, and a later one what is left: a call
/// with clearly less than the usual comes back after an earlier attempt.
#[derive(Debug, Default)]
pub struct UsualBudgets {
    classes: HashMap<CallClass, ClassBudgets>,
}

impl UsualBudgets {
    /// Learns from a call with `budget_ms`; says whether it comes back after an earlier attempt.
    pub fn note(&mut self, class: CallClass, budget_ms: u64) -> bool {
        if self.classes.len() >= CLASSES_MAX && !self.classes.contains_key(&class) {
            return false;
        }
        let budgets = self.classes.entry(class).or_default();
        budgets.note(budget_ms);
        budgets.usual_ms().is_some_and(|usual_ms| budget_ms * 100 < usual_ms * USED_PERCENT)
    }
}
