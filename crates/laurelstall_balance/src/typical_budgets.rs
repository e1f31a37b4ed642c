//! Detects calls that are retries of a caller by a time budget below the typical one of their class.

use crate::class_times::CallClass;
use std::collections::HashMap;

/// Largest number of classes; calls of further ones are never reported as retries.
const CLASSES_MAX: usize = 1_024;
/// Number of distinct budgets that are counted for each class.
const BUDGETS_MAX: usize = 4;
/// Number of calls after which all counts are halved, so that old calls lose weight.
const HALVE_AFTER: u32 = 256;
/// Number of calls of a class that are needed to tell its typical budget.
const CALLS_MIN: u32 = 16;
/// A budget is the typical one if at least one in this many calls has it.
const TYPICAL_DIVISOR: u32 = 4;
/// Budgets that differ by at most one part in this many count as equal, because callers round them.
const EQUAL_DIVISOR: u64 = 100;
/// Percentage of the typical budget below which a call counts as a retry.
const RETRY_PERCENT: u64 = 95;

/// The most frequent budgets of one class, by a heavy-hitters count: a new budget replaces the rarest one.
#[derive(Debug, Clone, Default)]
struct ClassBudgets {
    /// Budgets in ms with their counts.
    counts: [(u64, u32); BUDGETS_MAX],
    calls: u32,
}

impl ClassBudgets {
    fn note(&mut self, budget_ms: u64) {
        self.calls += 1;
        let is_equal = |other_ms: u64| other_ms.abs_diff(budget_ms) <= 1 + budget_ms / EQUAL_DIVISOR;
        if let Some((_, count)) = self.counts.iter_mut().find(|(other_ms, _)| is_equal(*other_ms)) {
            *count += 1;
        } else if let Some(rarest) = self.counts.iter_mut().min_by_key(|(_, count)| *count) {
            *rarest = (budget_ms, rarest.1.saturating_sub(1).max(1));
        }
        if self.calls >= HALVE_AFTER {
            self.calls /= 2;
            self.counts.iter_mut().for_each(|(_, count)| *count /= 2);
        }
    }

    /// The typical budget in ms; `None` with too few calls or without a frequent budget.
    fn typical_ms(&self) -> Option<u64> {
        let (budget_ms, count) = *self.counts.iter().max_by_key(|(_, count)| *count)?;
        let is_typical = self.calls >= CALLS_MIN && count * TYPICAL_DIVISOR >= self.calls;
        is_typical.then_some(budget_ms)
    }
}

/// The typical time budgets by class.
///
/// A caller gives the first attempt of a request all its time and a retry only what is left, so a call with clearly
/// less than the typical budget is a retry.
#[derive(Debug, Default)]
pub struct TypicalBudgets {
    classes: HashMap<CallClass, ClassBudgets>,
}

impl TypicalBudgets {
    /// Counts a call with `budget_ms` and returns whether it is likely to be a retry.
    pub fn note(&mut self, class: CallClass, budget_ms: u64) -> bool {
        if self.classes.len() >= CLASSES_MAX && !self.classes.contains_key(&class) {
            return false;
        }
        let budgets = self.classes.entry(class).or_default();
        budgets.note(budget_ms);
        budgets.typical_ms().is_some_and(|typical_ms| budget_ms * 100 < typical_ms * RETRY_PERCENT)
    }
}
