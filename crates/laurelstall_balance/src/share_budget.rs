//! Budgets that are a share of what succeeds: for retries and for hedges.

use crate::recent_count::RecentCount;

/// Share of what the calls of the last ten seconds could earn that may be saved up.
///
/// Users bound repeats in any ten seconds to twice the usual share. Of the second half, one part is for what
/// was saved before, and the same once more for an entry that starts anew meanwhile.
const SAVED_SHARE: f64 = 0.5;

/// A budget that earns a share of a token for each success and pays one for each extra attempt.
///
/// At each level of a chain of calls extra attempts stay below that share, so they cannot
/// multiply from level to level. What is saved up is bounded by the calls of the last ten seconds, so that all
/// entries together stay below a bound on their calls together; a small reserve lets quiet services retry at all.
#[derive(Debug, Clone)]
pub struct ShareBudget {
    share: f64,
    reserve: f64,
    tokens: f64,
    calls: RecentCount,
    granted: u64,
    refused: u64,
}

impl ShareBudget {
    /// A budget of `percent` of successes with a reserve of `reserve` attempts.
    pub fn new(percent: u32, reserve: f64) -> Self {
        let share = f64::from(percent) / 100.0;
        Self { share, reserve, tokens: reserve, calls: RecentCount::default(), granted: 0, refused: 0 }
    }

    /// Changes share and reserve.
    pub fn set_limits(&mut self, percent: u32, reserve: f64) {
        self.share = f64::from(percent) / 100.0;
        self.reserve = reserve;
    }

    /// Notes a call, whatever becomes of it.
    pub fn note_call(&mut self, now_us: u64) {
        self.calls.note(now_us);
    }

    /// Earns for one success.
    pub fn earn(&mut self, now_us: u64) {
        self.tokens = (self.tokens + self.share).min(self.tokens_max(now_us));
    }

    /// Pays for one extra attempt, if there is enough and the share is not 0.
    pub fn try_spend(&mut self, now_us: u64) -> bool {
        self.tokens = self.tokens.min(self.tokens_max(now_us));
        if self.tokens < 1.0 || self.share <= 0.0 {
            self.refused += 1;
            return false;
        }
        self.tokens -= 1.0;
        self.granted += 1;
        true
    }

    /// Pays for one extra attempt that is made in any case; what is owed holds later ones back.
    pub fn charge(&mut self, now_us: u64) {
        let owed_max = self.tokens_max(now_us);
        self.tokens = (self.tokens.min(owed_max) - 1.0).max(-owed_max);
    }

    /// Extra attempts granted.
    pub fn granted(&self) -> u64 {
        self.granted
    }

    /// Extra attempts refused.
    pub fn refused(&self) -> u64 {
        self.refused
    }

    fn tokens_max(&mut self, now_us: u64) -> f64 {
        let earned = self.share * f64::from(self.calls.count(now_us));
        self.reserve + SAVED_SHARE * earned
    }
}
