//! The hard budget for observing targets.

/// What one act of observing costs, both directions counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ObserveCost {
    /// Bytes, framing included.
    pub bytes: u64,
    /// Messages.
    pub messages: u64,
}

/// A budget that no window of one second ever exceeds.
///
/// It is a token bucket whose burst is part of the rate: burst plus a second's refill is the
/// budget, so the bound holds for every window and not only on average. Tokens are taken before
/// anything is sent; with none left, nothing is sent.
#[derive(Debug, Clone)]
pub struct ObserveBudget {
    bytes: Bucket,
    messages: Bucket,
    spent_bytes: u64,
    spent_messages: u64,
    refused: u64,
}

impl ObserveBudget {
    /// A budget of so many bytes and messages a second, starting full.
    pub fn new(bytes_per_s: u64, messages_per_s: u64) -> Self {
        Self {
            bytes: Bucket::new(bytes_per_s, BYTES_BURST_MIN),
            messages: Bucket::new(messages_per_s, 1),
            spent_bytes: 0,
            spent_messages: 0,
            refused: 0,
        }
    }

    /// Changes the rates; nothing is given back and no new burst is granted.
    pub fn set_rates(&mut self, bytes_per_s: u64, messages_per_s: u64) {
        self.bytes.set_rate(bytes_per_s, BYTES_BURST_MIN);
        self.messages.set_rate(messages_per_s, 1);
    }

    /// Takes `cost` if `share_percent` of the budget still covers it.
    ///
    /// A share below 100 leaves the rest of the burst to calls with a larger share.
    pub fn try_take(&mut self, now_us: u64, cost: ObserveCost, share_percent: u8) -> bool {
        let has_bytes = self.bytes.covers(now_us, cost.bytes, share_percent);
        let has_messages = self.messages.covers(now_us, cost.messages, share_percent);
        if !has_bytes || !has_messages {
            self.refused += 1;
            return false;
        }
        self.bytes.take(cost.bytes);
        self.messages.take(cost.messages);
        self.spent_bytes += cost.bytes;
        self.spent_messages += cost.messages;
        true
    }

    /// Bytes spent since the start.
    pub fn spent_bytes(&self) -> u64 {
        self.spent_bytes
    }

    /// Messages spent since the start.
    pub fn spent_messages(&self) -> u64 {
        self.spent_messages
    }

    /// Requests to spend that were refused.
    pub fn refused(&self) -> u64 {
        self.refused
    }
}

/// Least burst in bytes: room for one probe and its answer.
const BYTES_BURST_MIN: u64 = 320;
/// Share of a second's budget that is granted as burst.
const BURST_DIVISOR: u64 = 10;

#[derive(Debug, Clone)]
struct Bucket {
    burst: u64,
    refill_per_s: u64,
    tokens: u64,
    /// Refill not yet worth a whole token, in token·µs.
    remainder: u64,
    filled_at_us: u64,
}

impl Bucket {
    fn new(rate_per_s: u64, burst_min: u64) -> Self {
        let mut bucket = Self { burst: 0, refill_per_s: 0, tokens: 0, remainder: 0, filled_at_us: 0 };
        bucket.set_rate(rate_per_s, burst_min);
        bucket.tokens = bucket.burst;
        bucket
    }

    fn set_rate(&mut self, rate_per_s: u64, burst_min: u64) {
        // Never the whole budget: what is not refilled is spent once and never again.
        let most = rate_per_s.div_ceil(2);
        self.burst = (rate_per_s / BURST_DIVISOR).max(burst_min).min(most);
        self.refill_per_s = rate_per_s - self.burst;
        self.tokens = self.tokens.min(self.burst);
    }

    fn covers(&mut self, now_us: u64, amount: u64, share_percent: u8) -> bool {
        self.fill(now_us);
        let kept_back = self.burst * u64::from(100 - share_percent.min(100)) / 100;
        self.tokens >= amount.saturating_add(kept_back) || amount == 0
    }

    fn take(&mut self, amount: u64) {
        self.tokens -= amount;
    }

    fn fill(&mut self, now_us: u64) {
        let passed_us = now_us.saturating_sub(self.filled_at_us);
        self.filled_at_us = self.filled_at_us.max(now_us);
        let gained = passed_us.saturating_mul(self.refill_per_s).saturating_add(self.remainder);
        self.remainder = gained % 1_000_000;
        self.tokens = (self.tokens + gained / 1_000_000).min(self.burst);
        if self.tokens == self.burst {
            self.remainder = 0;
        }
    }
}
