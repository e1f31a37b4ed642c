//! The retry budget of an entry node that lends unused tokens to other entry nodes.

use crate::{attempt_budget::BudgetClass, grant_counts::GrantCounts, recent_count::RecentCount};

/// Deposit for a call, relative to half of the share that all retries may have of the requests.
///
/// In any ten seconds, retries are paid from the deposits of these ten seconds and of [`LIFETIME_US`] before them:
/// 1.75 * 1.1 stays below 2. The rest covers calls that began before and deposit within.
const DEPOSIT_FACTOR: f64 = 1.75;
/// Part of the reserve that is refilled in ten seconds.
const REFILLED_RESERVE: f64 = 0.62;
/// Part of the reserve that can be saved. With what is refilled in ten seconds and [`LIFETIME_US`] it stays below the
/// whole reserve; the rest covers the deviations of fractions that are drawn.
const SAVED_RESERVE: f64 = 0.28;
/// Length in µs of the window to which the reserve applies.
const WINDOW_US: f64 = 10_000_000.0;
/// Time in µs after which deposits expire, and tokens of the reserve once they are lent.
pub const LIFETIME_US: u64 = EXPIRY_STEP_US * EXPIRY_STEPS as u64;
/// Resolution in µs of the times at which tokens expire.
const EXPIRY_STEP_US: u64 = 50_000;
const EXPIRY_STEPS: usize = 20;
/// Time in µs after its last retry for which a node keeps its whole tokens for itself.
const OWN_DEMAND_US: u64 = 1_000_000;
/// Rounding error in sums of tokens. A rest below it must not shorten the lifetime of a loan.
const ROUNDING_MAX: f64 = 1e-9;

/// Tokens that one node lends to another.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TokenLoan {
    /// Number of tokens; may be a fraction.
    pub tokens: f64,
    /// Time in µs after which they expire.
    pub lifetime_us: u64,
}

/// The retry tokens of one entry node, which other entry nodes may borrow.
///
/// *Load pattern*: targets reject most requests for seconds, while most entry nodes have no use for their tokens and
/// some have none left.
///
/// A token exists at one node only: a lender loses what it grants, and what is lost on the way is lost. So the retries
/// of all nodes in any ten seconds stay below the tokens that are saved at the start and those that are created within,
/// whatever nodes restart, stop or cannot reach each other. A node starts without tokens, because those that it had
/// before may have been used. Tokens of the reserve are created by time and saved up to a small part of it; those of
/// calls expire within a second, so that hardly any are saved and the others can amount to nearly the whole bound.
#[derive(Debug, Clone)]
pub struct SharedRetryBudget {
    deposit: f64,
    reserve: f64,
    /// Tokens of the reserve; negative after retries that were made in any case.
    reserved: f64,
    /// Time of the last refill; `None` before the first use.
    refilled_at_us: Option<u64>,
    /// Deposits and loans by slot of time; a slot expires [`LIFETIME_US`] after its begin.
    timed: [f64; EXPIRY_STEPS],
    /// Number of the current slot.
    slot: u64,
    calls: RecentCount,
    /// Time at which a retry was last asked for.
    asked_at_us: Option<u64>,
    grants: GrantCounts,
}

impl SharedRetryBudget {
    /// Creates an empty budget. `percent` is half of the share that retries may have of the calls, and `reserve` the number
    /// of further retries in ten seconds.
    pub fn new(percent: u32, reserve: f64) -> Self {
        Self {
            deposit: DEPOSIT_FACTOR * f64::from(percent) / 100.0,
            reserve,
            reserved: 0.0,
            refilled_at_us: None,
            timed: [0.0; EXPIRY_STEPS],
            slot: 0,
            calls: RecentCount::default(),
            asked_at_us: None,
            grants: GrantCounts::default(),
        }
    }

    /// Changes the percentage of the calls and the reserve.
    pub fn set_limits(&mut self, percent: u32, reserve: f64) {
        self.deposit = DEPOSIT_FACTOR * f64::from(percent) / 100.0;
        self.reserve = reserve;
    }

    /// Records a call, whatever its result.
    pub fn note_call(&mut self, now_us: u64) {
        self.calls.note(now_us);
    }

    /// Deposits for one call.
    pub fn deposit(&mut self, now_us: u64) {
        self.refresh(now_us);
        self.timed[self.slot as usize % EXPIRY_STEPS] += self.deposit;
    }

    /// Returns the part of a token that one of the most important calls has to borrow for a retry; `None` if the budget
    /// has a whole token.
    pub fn missing(&mut self, now_us: u64) -> Option<f64> {
        self.refresh(now_us);
        let missing = 1.0 - self.available();
        (self.deposit > 0.0 && missing > 0.0).then(|| missing.min(1.0))
    }

    /// Adds tokens that another node lent on a request sent at `asked_us`. Their lifetime is counted from then on.
    pub fn add_loan(&mut self, loan: TokenLoan, asked_us: u64, now_us: u64) {
        self.refresh(now_us);
        let expires_us = asked_us + loan.lifetime_us.min(LIFETIME_US);
        let slot = (expires_us / EXPIRY_STEP_US).saturating_sub(EXPIRY_STEPS as u64).min(self.slot);
        let is_valid = slot + EXPIRY_STEPS as u64 > self.slot && loan.tokens > 0.0;
        if is_valid {
            self.timed[slot as usize % EXPIRY_STEPS] += loan.tokens.min(1.0);
        }
    }

    /// Takes up to `wanted` tokens, at most one, out of the budget for another node.
    ///
    /// A node that makes retries itself lends only the fraction beyond whole tokens, which is of no use to it alone.
    pub fn lend(&mut self, wanted: f64, now_us: u64) -> TokenLoan {
        self.refresh(now_us);
        let own = self.available();
        let has_demand = self.asked_at_us.is_some_and(|at_us| now_us < at_us + OWN_DEMAND_US);
        let spare = if has_demand { own.fract() } else { own };
        let tokens = wanted.min(spare).clamp(0.0, 1.0);
        TokenLoan { tokens, lifetime_us: self.take_newest(tokens, now_us) }
    }

    /// Withdraws a token for a retry and returns whether it is granted.
    ///
    /// `draw` is a uniform random number from 0 to 1. It decides where the budget of a node can never hold a whole
    /// token.
    pub fn try_withdraw(&mut self, class: BudgetClass, draw: f64, now_us: u64) -> bool {
        self.refresh(now_us);
        self.asked_at_us = Some(now_us);
        let tokens_max = self.tokens_max(now_us);
        let kept = class.kept_tokens(tokens_max);
        let fraction = (self.available() - kept).min(1.0);
        let fraction_min = (tokens_max - kept).min(1.0);
        let is_enough = self.deposit > 0.0 && fraction > 0.0 && fraction >= fraction_min;
        if is_enough {
            self.take(fraction);
        }
        self.grants.note(is_enough && draw < fraction)
    }

    /// Withdraws a token for a retry that is made in any case. The budget may become negative.
    pub fn charge(&mut self, now_us: u64) {
        self.refresh(now_us);
        let debt_max = self.tokens_max(now_us);
        let own = self.available().min(1.0);
        self.take(own);
        self.reserved = (self.reserved - (1.0 - own)).max(-debt_max);
    }

    /// Number of retries granted.
    pub fn granted(&self) -> u64 {
        self.grants.granted
    }

    /// Number of retries refused.
    pub fn refused(&self) -> u64 {
        self.grants.refused
    }

    fn available(&self) -> f64 {
        (self.timed.iter().sum::<f64>() + self.reserved).max(0.0)
    }

    /// Takes tokens for a retry of this node, those that expire first before others.
    fn take(&mut self, tokens: f64) {
        let mut left = tokens;
        for age in (0..EXPIRY_STEPS as u64).rev() {
            let index = self.index_of_age(age);
            left -= take_from(&mut self.timed[index], left);
        }
        self.reserved -= left;
    }

    /// Takes tokens for another node, those that expire last before others; returns the shortest of their lifetimes in
    /// µs.
    fn take_newest(&mut self, tokens: f64, now_us: u64) -> u64 {
        let mut left = tokens - take_from(&mut self.reserved, tokens);
        let mut lifetime_us = LIFETIME_US;
        for age in 0..EXPIRY_STEPS as u64 {
            if left <= ROUNDING_MAX {
                break;
            }
            let index = self.index_of_age(age);
            left -= take_from(&mut self.timed[index], left);
            let expires_us = (self.slot + EXPIRY_STEPS as u64 - age) * EXPIRY_STEP_US;
            lifetime_us = expires_us.saturating_sub(now_us);
        }
        lifetime_us
    }

    fn index_of_age(&self, age: u64) -> usize {
        (self.slot + EXPIRY_STEPS as u64 - age) as usize % EXPIRY_STEPS
    }

    /// The tokens that the budget usually holds without retries.
    fn tokens_max(&mut self, now_us: u64) -> f64 {
        let calls_in_time = f64::from(self.calls.count(now_us)) * LIFETIME_US as f64 / WINDOW_US;
        SAVED_RESERVE * self.reserve + self.deposit * calls_in_time
    }

    /// Refills from the reserve and lets tokens expire.
    fn refresh(&mut self, now_us: u64) {
        let since_us = self.refilled_at_us.unwrap_or(now_us);
        let passed_us = now_us.saturating_sub(since_us) as f64;
        self.refilled_at_us = Some(since_us.max(now_us));
        let refilled = REFILLED_RESERVE * self.reserve * (passed_us / WINDOW_US).min(1.0);
        self.reserved = (self.reserved + refilled).min(SAVED_RESERVE * self.reserve);
        let slot = (now_us / EXPIRY_STEP_US).max(self.slot);
        let passed_slots = (slot - self.slot).min(EXPIRY_STEPS as u64);
        for age in 0..passed_slots {
            self.timed[(slot - age) as usize % EXPIRY_STEPS] = 0.0;
        }
        self.slot = slot;
    }
}

/// Takes up to `wanted` tokens and returns how many were taken.
fn take_from(tokens: &mut f64, wanted: f64) -> f64 {
    let taken = wanted.min(*tokens).max(0.0);
    *tokens -= taken;
    taken
}
