//! The hard limit on traffic for probing targets.

/// The cost of one probe in both directions together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ObserveCost {
    /// Number of bytes, framing included.
    pub bytes: u64,
    /// Number of messages.
    pub messages: u64,
}

/// A limit that is not exceeded in any window of one second.
///
/// It is a pair of token buckets whose burst is part of the rate: burst and refill of a second add up to the limit, so
/// it holds for every window and not only on average. Tokens are taken before a probe is sent.
#[derive(Debug, Clone)]
pub struct ObserveBudget {
    bytes: Bucket,
    messages: Bucket,
    spent_bytes: u64,
    spent_messages: u64,
    refused: u64,
}

impl ObserveBudget {
    /// Creates a full budget of this many bytes and messages a second.
    pub fn new(bytes_per_s: u64, messages_per_s: u64) -> Self {
        Self {
            bytes: Bucket::new(bytes_per_s, BYTES_BURST_MIN),
            messages: Bucket::new(messages_per_s, 1),
            spent_bytes: 0,
            spent_messages: 0,
            refused: 0,
        }
    }

    /// Changes the rates without adding tokens.
    pub fn set_rates(&mut self, bytes_per_s: u64, messages_per_s: u64) {
        self.bytes.set_rate(bytes_per_s, BYTES_BURST_MIN);
        self.messages.set_rate(messages_per_s, 1);
    }

    /// Takes `cost` if the tokens cover it, and returns whether they do.
    ///
    /// A `share_percent` below 100 leaves the rest of the burst to requests with a larger share.
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

    /// Number of bytes taken since the start.
    pub fn spent_bytes(&self) -> u64 {
        self.spent_bytes
    }

    /// Number of messages taken since the start.
    pub fn spent_messages(&self) -> u64 {
        self.spent_messages
    }

    /// Number of probes refused since the start.
    pub fn refused(&self) -> u64 {
        self.refused
    }
}

/// Smallest burst in bytes: one probe and its answer.
const BYTES_BURST_MIN: u64 = 320;
/// The burst is the rate of one second divided by this.
const BURST_DIVISOR: u64 = 10;

#[derive(Debug, Clone)]
struct Bucket {
    burst: u64,
    refill_per_s: u64,
    tokens: u64,
    /// Refill that does not make up a whole token yet, in token·µs.
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
        // A burst of the whole rate would leave nothing for the refill, so the bucket would stay empty.
        let burst_max = rate_per_s.div_ceil(2);
        self.burst = (rate_per_s / BURST_DIVISOR).max(burst_min).min(burst_max);
        self.refill_per_s = rate_per_s - self.burst;
        self.tokens = self.tokens.min(self.burst);
    }

    fn covers(&mut self, now_us: u64, amount: u64, share_percent: u8) -> bool {
        self.refill(now_us);
        let reserved = self.burst * u64::from(100 - share_percent.min(100)) / 100;
        self.tokens >= amount.saturating_add(reserved) || amount == 0
    }

    fn take(&mut self, amount: u64) {
        self.tokens -= amount;
    }

    fn refill(&mut self, now_us: u64) {
        let passed_us = now_us.saturating_sub(self.filled_at_us);
        self.filled_at_us = self.filled_at_us.max(now_us);
        let refill = passed_us.saturating_mul(self.refill_per_s).saturating_add(self.remainder);
        self.remainder = refill % 1_000_000;
        self.tokens = (self.tokens + refill / 1_000_000).min(self.burst);
        if self.tokens == self.burst {
            self.remainder = 0;
        }
    }
}
