//! Budgets that are a share of what succeeds: for retries and for hedges.

/// Most tokens saved up.
const TOKENS_MAX: f64 = 20.0;

/// A budget that earns a share of a token for each success and pays one for each extra attempt.
///
/// At each level of a chain of calls extra attempts stay below that share, so they cannot
/// multiply from level to level. A small reserve lets quiet services retry at all.
#[derive(Debug, Clone)]
pub struct ShareBudget {
    share: f64,
    tokens: f64,
    granted: u64,
    refused: u64,
}

impl ShareBudget {
    /// A budget of `percent` of successes with a reserve of `reserve` attempts.
    pub fn new(percent: u32, reserve: f64) -> Self {
        Self { share: f64::from(percent) / 100.0, tokens: reserve.min(TOKENS_MAX), granted: 0, refused: 0 }
    }

    /// Changes the share.
    pub fn set_percent(&mut self, percent: u32) {
        self.share = f64::from(percent) / 100.0;
    }

    /// Earns for one success.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.share).min(TOKENS_MAX);
    }

    /// Pays for one extra attempt, if there is enough and the share is not 0.
    pub fn try_spend(&mut self) -> bool {
        if self.tokens < 1.0 || self.share <= 0.0 {
            self.refused += 1;
            return false;
        }
        self.tokens -= 1.0;
        self.granted += 1;
        true
    }

    /// Extra attempts granted.
    pub fn granted(&self) -> u64 {
        self.granted
    }

    /// Extra attempts refused.
    pub fn refused(&self) -> u64 {
        self.refused
    }
}
