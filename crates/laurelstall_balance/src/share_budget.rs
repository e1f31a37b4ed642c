//! Budgets that are a share of the calls: for retries and for hedges.

use crate::recent_count::RecentCount;

/// Share of what the calls of the last ten seconds earn that may be saved up.
///
/// Users bound repeats in any ten seconds to twice the usual share. Of the second half, one part is for what
/// was saved before, and the same once more for an entry that starts anew meanwhile.
const SAVED_SHARE: f64 = 0.5;
/// Share of the reserve that may be saved up, and that an entry starts with.
///
/// What was saved, what an entry that starts anew has once more, and what comes back meanwhile are the whole reserve.
const SAVED_RESERVE: f64 = 0.4;
/// Share of the reserve that comes back in each window.
const REFILLED_RESERVE: f64 = 0.2;
/// Length of the window in which the reserve counts, in µs: the time over which users bound what is repeated.
const WINDOW_US: f64 = 10_000_000.0;
/// Smallest part of an attempt that is staked for one, as far as so much can be saved up: smaller stakes would
/// make the sum over all entries stray further from what is expected.
const STAKE_MIN: f64 = 0.5;
/// Share of what can be saved up that calls below the most important ones leave in the budget.
///
/// While targets turn away more than half of what arrives, retries that go first to orders, which need one success, and
/// then to pages, which need two, add 31 % to the worth of the answers, and 19 % when all may use them alike
/// (300 entries, ten seconds, `tests/retry_budget.rs`).
const KEPT_SHARE: f64 = 0.5;

/// Which calls an extra attempt is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SpendingClass {
    /// The most important ones of their service: they may use all of the budget.
    Foremost,
    /// Others: they use what these do not need.
    Other,
}

/// A budget that earns a share of a token for calls that went well, and pays one for each extra attempt.
///
/// At each level of a chain of calls extra attempts stay below that share, so they cannot multiply from level to
/// level. What is saved up is bounded by the calls of the last
/// ten seconds, so that all entries together stay below a bound on their calls together; a reserve, which all
/// entries share, lets quiet services retry at all.
///
/// Where hundreds of entries share a bound, the part of one is a fraction of an attempt. It is not lost: the entry
/// stakes it, and a draw with just this chance decides whether the attempt is made. Each entry expects what it
/// has, and the sum over many of them keeps close to it.
#[derive(Debug, Clone)]
pub struct ShareBudget {
    share: f64,
    reserve: f64,
    tokens: f64,
    refilled_at_us: u64,
    calls: RecentCount,
    granted: u64,
    refused: u64,
}

impl ShareBudget {
    /// A budget of `percent` of the calls and of `reserve` attempts in ten seconds besides.
    pub fn new(percent: u32, reserve: f64) -> Self {
        Self {
            share: f64::from(percent) / 100.0,
            reserve,
            tokens: SAVED_RESERVE * reserve,
            refilled_at_us: 0,
            calls: RecentCount::default(),
            granted: 0,
            refused: 0,
        }
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

    /// Earns for one call.
    pub fn earn(&mut self, now_us: u64) {
        self.refill(now_us);
        self.tokens = (self.tokens + self.share).min(self.tokens_max(now_us));
    }

    /// Pays for one extra attempt, if there is enough and the share is not 0.
    ///
    /// `draw`, evenly drawn from 0 to 1, decides where there is only a part of an attempt.
    pub fn try_spend(&mut self, class: SpendingClass, draw: f64, now_us: u64) -> bool {
        self.refill(now_us);
        let most = self.tokens_max(now_us);
        self.tokens = self.tokens.min(most);
        let kept = match class {
            SpendingClass::Foremost => 0.0,
            SpendingClass::Other => KEPT_SHARE * most,
        };
        let stake = (self.tokens - kept).min(1.0);
        if self.share <= 0.0 || stake <= 0.0 || stake < STAKE_MIN.min(most - kept) {
            self.refused += 1;
            return false;
        }
        self.tokens -= stake;
        let is_granted = draw < stake;
        if is_granted {
            self.granted += 1;
        } else {
            self.refused += 1;
        }
        is_granted
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

    fn refill(&mut self, now_us: u64) {
        let passed_us = now_us.saturating_sub(self.refilled_at_us) as f64;
        self.refilled_at_us = self.refilled_at_us.max(now_us);
        self.tokens += REFILLED_RESERVE * self.reserve * (passed_us / WINDOW_US).min(1.0);
    }

    fn tokens_max(&mut self, now_us: u64) -> f64 {
        let earned = self.share * f64::from(self.calls.count(now_us));
        SAVED_RESERVE * self.reserve + SAVED_SHARE * earned
    }
}
