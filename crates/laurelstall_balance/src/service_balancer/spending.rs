//! What may be spent on more attempts than one for each call.

use super::ServiceBalancer;
use crate::share_budget::SpendingClass;
use laurelstall_config::team::ServiceLimits;
use rand::RngExt;

/// One entry's part of the retries that all entries together may make beyond what they earn.
pub(super) fn retry_part(limits: &ServiceLimits, entries: usize) -> f64 {
    f64::from(limits.retry_reserve) / entries.max(1) as f64
}

/// Counts of a [`ServiceBalancer`] since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BalancerTotals {
    /// Further attempts granted.
    pub retries: u64,
    /// Further attempts refused for want of budget.
    pub retries_refused: u64,
    /// Hedges granted.
    pub hedges: u64,
    /// Targets ejected.
    pub ejections: u64,
}

impl ServiceBalancer {
    /// Takes the number of entries that share the reserve for retries.
    pub fn set_entries(&mut self, entries: usize) {
        self.entries = entries;
        self.retries.set_limits(self.limits.retry_percent, retry_part(&self.limits, entries));
    }

    /// Notes a call to the service, before its first attempt.
    ///
    /// `importance` is that of what its caller waits for. `is_repeat` says whether the run that makes it is a
    /// repeat, so that its target gets once more what another run of the same request has sent.
    pub fn note_call(&mut self, importance: u8, is_repeat: bool, now_us: u64) {
        self.foremost.note(importance, now_us);
        self.retries.note_call(now_us);
        self.hedges.note_call(now_us);
        self.moves.note_call(now_us);
        self.moves.earn(now_us);
        if is_repeat {
            self.retries.charge(now_us);
        }
    }

    /// Earns for a call whose first attempt a target turned away.
    ///
    /// It did not run, so another target may well serve it: without this, retries end when they are needed. A run
    /// that failed earns nothing: it may fail everywhere, and makes its own calls once more.
    pub fn note_turned_away(&mut self, now_us: u64) {
        self.retries.earn(now_us);
    }

    /// Whether a further attempt of a call of this importance may be made after one that reached a target.
    pub fn may_retry(&mut self, importance: u8, now_us: u64) -> bool {
        let class = self.foremost.class_of(importance, now_us);
        let draw = self.rng.random::<f64>();
        self.retries.try_spend(class, draw, now_us)
    }

    /// Whether a call that a guard has no room for may ask another one.
    ///
    /// No target has had it, so it is not paid from the budget for retries; but in an overload the others are as
    /// full, and moving calls costs bytes between data centres: with no bound a fifth more of them (13 nodes).
    pub fn may_move(&mut self, now_us: u64) -> bool {
        let draw = self.rng.random::<f64>();
        self.moves.try_spend(SpendingClass::Foremost, draw, now_us)
    }

    /// Whether a hedge may be sent: there is budget, and the service as a whole is not queueing.
    pub fn may_hedge(&mut self, now_us: u64) -> bool {
        let draw = self.rng.random::<f64>();
        !self.is_queueing(now_us) && self.hedges.try_spend(SpendingClass::Foremost, draw, now_us)
    }

    /// Retries granted and refused, hedges granted, ejections, since the start.
    pub fn totals(&self) -> BalancerTotals {
        BalancerTotals {
            retries: self.retries.granted(),
            retries_refused: self.retries.refused(),
            hedges: self.hedges.granted(),
            ejections: self.ejections,
        }
    }
}
