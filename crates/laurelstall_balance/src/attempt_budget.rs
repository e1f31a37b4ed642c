//! Budgets for attempts beyond the first of a call, in proportion to the calls.

use crate::{grant_counts::GrantCounts, recent_count::RecentCount};

/// Part of the deposits of the last ten seconds that the budget may hold.
///
/// Extra attempts in any ten seconds stay below twice the configured percentage: once for the calls in the window, and
/// half of it each for tokens saved before the window and for the starting tokens of an entry node that restarts within
/// it.
const SAVED_SHARE: f64 = 0.5;
/// Part of the reserve that the budget may hold, and that it starts with.
///
/// Saved tokens, those of an entry node after a restart, and the refill of the window add up to the whole reserve.
const SAVED_RESERVE: f64 = 0.4;
/// Part of the reserve that is refilled in each window.
const REFILLED_RESERVE: f64 = 0.2;
/// Length in µs of the window to which the reserve applies.
const WINDOW_US: f64 = 10_000_000.0;
/// Smallest fraction of a token that is withdrawn for an attempt, if the budget can hold that much. Smaller fractions
/// would increase the variance of the sum over all entry nodes.
const FRACTION_MIN: f64 = 0.5;
/// Part of the largest balance that is kept for the most important calls. While targets refuse more than half
/// of the calls, retries raise the value of the answers by 31 % if the most important calls go first, and by
/// 19 % if all are treated alike (`tests/retry_budget.rs`).
const KEPT_SHARE: f64 = 0.5;

/// The importance of the call that an extra attempt is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BudgetClass {
    /// One of the most important calls of its service, which may use the whole budget.
    MostImportant,
    /// A less important call, which leaves a part of the budget to those.
    Other,
}

impl BudgetClass {
    /// The tokens that a call of this class leaves to more important ones, of a budget that holds up to `tokens_max`.
    pub(crate) fn kept_tokens(self, tokens_max: f64) -> f64 {
        match self {
            Self::MostImportant => 0.0,
            Self::Other => KEPT_SHARE * tokens_max,
        }
    }
}

/// A token budget into which calls deposit a fraction of a token, and from which an extra attempt withdraws one.
///
/// Extra attempts stay below that fraction of the calls at each level of a chain of calls, so they cannot multiply
/// from level to level. The balance is limited by the calls of the last ten seconds, so that all entry nodes together
/// stay below a limit on their calls together. A reserve, which all entry nodes share, lets quiet services retry.
///
/// Where hundreds of entry nodes share a limit, the balance of one may be less than a token. An attempt takes that
/// whole balance and is granted with a probability equal to it, so the granted attempts of many entry nodes stay close
/// to the sum of their balances.
#[derive(Debug, Clone)]
pub struct AttemptBudget {
    share: f64,
    reserve: f64,
    tokens: f64,
    refilled_at_us: u64,
    calls: RecentCount,
    grants: GrantCounts,
}

impl AttemptBudget {
    /// Creates a budget of `percent` of the calls plus `reserve` attempts in ten seconds.
    pub fn new(percent: u32, reserve: f64) -> Self {
        Self {
            share: f64::from(percent) / 100.0,
            reserve,
            tokens: SAVED_RESERVE * reserve,
            refilled_at_us: 0,
            calls: RecentCount::default(),
            grants: GrantCounts::default(),
        }
    }

    /// Changes the percentage of the calls and the reserve.
    pub fn set_limits(&mut self, percent: u32, reserve: f64) {
        self.share = f64::from(percent) / 100.0;
        self.reserve = reserve;
    }

    /// Records a call, whatever its result.
    pub fn note_call(&mut self, now_us: u64) {
        self.calls.note(now_us);
    }

    /// Deposits for one call.
    pub fn deposit(&mut self, now_us: u64) {
        self.refill(now_us);
        self.tokens = (self.tokens + self.share).min(self.tokens_max(now_us));
    }

    /// Withdraws a token for one extra attempt and returns whether the attempt is granted.
    ///
    /// `draw` is a uniform random number from 0 to 1. It decides when the balance is only a fraction of a token.
    pub fn try_withdraw(&mut self, class: BudgetClass, draw: f64, now_us: u64) -> bool {
        self.refill(now_us);
        let tokens_max = self.tokens_max(now_us);
        self.tokens = self.tokens.min(tokens_max);
        let kept = class.kept_tokens(tokens_max);
        let fraction = (self.tokens - kept).min(1.0);
        if self.share <= 0.0 || fraction <= 0.0 || fraction < FRACTION_MIN.min(tokens_max - kept) {
            return self.grants.note(false);
        }
        self.tokens -= fraction;
        self.grants.note(draw < fraction)
    }

    /// Withdraws a token for an extra attempt that is made in any case. The balance may become negative.
    pub fn charge(&mut self, now_us: u64) {
        let tokens_max = self.tokens_max(now_us);
        self.tokens = (self.tokens.min(tokens_max) - 1.0).max(-tokens_max);
    }

    /// Number of extra attempts granted.
    pub fn granted(&self) -> u64 {
        self.grants.granted
    }

    /// Number of extra attempts refused.
    pub fn refused(&self) -> u64 {
        self.grants.refused
    }

    fn refill(&mut self, now_us: u64) {
        let passed_us = now_us.saturating_sub(self.refilled_at_us) as f64;
        self.refilled_at_us = self.refilled_at_us.max(now_us);
        self.tokens += REFILLED_RESERVE * self.reserve * (passed_us / WINDOW_US).min(1.0);
    }

    /// The largest balance, given the calls of the last ten seconds.
    fn tokens_max(&mut self, now_us: u64) -> f64 {
        let deposited = self.share * f64::from(self.calls.count(now_us));
        SAVED_RESERVE * self.reserve + SAVED_SHARE * deposited
    }
}
