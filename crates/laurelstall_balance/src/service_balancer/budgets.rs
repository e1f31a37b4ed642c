//! Budgets for attempts beyond the first of a call: retries, hedges and reroutes.

use super::ServiceBalancer;
use crate::{
    attempt_budget::BudgetClass,
    shared_retry_budget::{SharedRetryBudget, TokenLoan},
};
use laurelstall_config::team::ServiceLimits;
use rand::RngExt;

/// One entry node's part of the retry reserve, which all entry nodes share.
pub(super) fn reserve_per_entry(limits: &ServiceLimits, entries: usize) -> f64 {
    f64::from(limits.retry_reserve) / entries.max(1) as f64
}

/// Counts of a [`ServiceBalancer`] since its creation.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BalancerTotals {
    /// Retries granted.
    pub retries: u64,
    /// Retries refused because the budget was exhausted.
    pub retries_refused: u64,
    /// Hedges granted.
    pub hedges: u64,
    /// Targets ejected.
    pub ejections: u64,
}

impl ServiceBalancer {
    /// Sets the number of entry nodes that share the retry reserve.
    pub fn set_entries(&mut self, entries: usize) {
        self.entries = entries;
        let reserve = reserve_per_entry(&self.limits, entries);
        self.retries.set_limits(self.limits.retry_percent, reserve);
        match &mut self.shared_retries {
            _ if !self.limits.load.shared_retries => self.shared_retries = None,
            Some(shared) => shared.set_limits(self.limits.retry_percent, reserve),
            None => self.shared_retries = Some(SharedRetryBudget::new(self.limits.retry_percent, reserve)),
        }
    }

    /// Returns the part of a retry token that a call of this importance has to borrow from other entry nodes; `None` if
    /// the budget has a token or the call may not borrow. Only the most important calls borrow, because a lender's own
    /// important calls may need the tokens.
    pub fn missing_retry_tokens(&mut self, importance: u8, now_us: u64) -> Option<f64> {
        if self.importance_tracker.class_of(importance, now_us) != BudgetClass::MostImportant {
            return None;
        }
        self.shared_retries.as_mut()?.missing(now_us)
    }

    /// Adds retry tokens that another entry node lent on a request sent at `asked_us`.
    pub fn add_retry_loan(&mut self, loan: TokenLoan, asked_us: u64, now_us: u64) {
        if let Some(shared) = &mut self.shared_retries {
            shared.add_loan(loan, asked_us, now_us);
        }
    }

    /// Takes up to `wanted` retry tokens out of the budget for another entry node; `None` if the service shares none.
    pub fn lend_retry_tokens(&mut self, wanted: f64, now_us: u64) -> Option<TokenLoan> {
        Some(self.shared_retries.as_mut()?.lend(wanted, now_us))
    }

    /// Adds to the retry budget for one call.
    pub(super) fn deposit_retry(&mut self, now_us: u64) {
        match &mut self.shared_retries {
            Some(shared) => shared.deposit(now_us),
            None => self.retries.deposit(now_us),
        }
    }

    /// Records a call to the service before its first attempt.
    ///
    /// `importance` is that of the request that the call is made for. `is_parent_retry` tells whether the run that
    /// makes this call is itself a repetition of a request: the call then repeats one that the first run already made,
    /// so it is charged to the retry budget.
    pub fn note_call(&mut self, importance: u8, is_parent_retry: bool, now_us: u64) {
        self.importance_tracker.note(importance, now_us);
        self.retries.note_call(now_us);
        self.hedges.note_call(now_us);
        self.reroutes.note_call(now_us);
        self.reroutes.deposit(now_us);
        if let Some(shared) = &mut self.shared_retries {
            shared.note_call(now_us);
        }
        if is_parent_retry {
            match &mut self.shared_retries {
                Some(shared) => shared.charge(now_us),
                None => self.retries.charge(now_us),
            }
        }
    }

    /// Adds to the retry budget for a call whose first attempt a target refused without running it.
    ///
    /// The call did not run, so another target may well serve it; without this, the budget would be empty when retries
    /// help most. A run that failed adds nothing: it may fail everywhere, and each run makes its own calls again.
    pub fn note_refused_by_target(&mut self, now_us: u64) {
        self.deposit_retry(now_us);
    }

    /// Withdraws a retry for a call of this importance, one of whose attempts reached a target. Returns whether the
    /// budget grants it.
    pub fn try_withdraw_retry(&mut self, importance: u8, now_us: u64) -> bool {
        let class = self.importance_tracker.class_of(importance, now_us);
        let draw = self.rng.random::<f64>();
        match &mut self.shared_retries {
            Some(shared) => shared.try_withdraw(class, draw, now_us),
            None => self.retries.try_withdraw(class, draw, now_us),
        }
    }

    /// Withdraws a reroute for a call that a guard refused because it has no free slot. Returns whether the budget
    /// grants it.
    ///
    /// No target received the call, so it is not charged to the retry budget. It has a budget of its own, because in
    /// an overload the other guards are full as well, and reroutes cost traffic between data centres. Without a
    /// limit there was a fifth more of that traffic in a fleet of 13 nodes.
    pub fn try_withdraw_reroute(&mut self, now_us: u64) -> bool {
        let draw = self.rng.random::<f64>();
        self.reroutes.try_withdraw(BudgetClass::MostImportant, draw, now_us)
    }

    /// Withdraws a hedge and returns whether the budget grants it. None is granted while the service as a whole is
    /// queueing.
    pub fn try_withdraw_hedge(&mut self, now_us: u64) -> bool {
        let draw = self.rng.random::<f64>();
        !self.is_queueing(now_us) && self.hedges.try_withdraw(BudgetClass::MostImportant, draw, now_us)
    }

    /// The counts since this balancer was created.
    pub fn totals(&self) -> BalancerTotals {
        let shared = self.shared_retries.as_ref();
        BalancerTotals {
            retries: self.retries.granted() + shared.map_or(0, SharedRetryBudget::granted),
            retries_refused: self.retries.refused() + shared.map_or(0, SharedRetryBudget::refused),
            hedges: self.hedges.granted(),
            ejections: self.ejections,
        }
    }
}
