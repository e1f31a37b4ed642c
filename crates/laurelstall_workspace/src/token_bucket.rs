//! A token bucket that is driven by the caller's clock.

/// A token bucket that refills at a constant rate up to its size.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TokenBucket {
    level: f64,
    filled_at_us: u64,
    per_s: f64,
    size: f64,
}

impl TokenBucket {
    /// Creates a bucket with `level` tokens that refills with `per_s` tokens per second.
    pub fn new(per_s: f64, size: f64, level: f64, now_us: u64) -> Self {
        Self { level: level.min(size), filled_at_us: now_us, per_s, size }
    }

    /// Changes rate and size; tokens beyond a smaller size are lost.
    pub fn set_rate(&mut self, per_s: f64, size: f64, now_us: u64) {
        self.refill(now_us);
        self.per_s = per_s;
        self.size = size;
        self.level = self.level.min(size);
    }

    /// Takes up to `wanted` whole tokens and returns how many were taken.
    pub fn take(&mut self, wanted: u32, now_us: u64) -> u32 {
        self.refill(now_us);
        let taken = wanted.min(self.level.max(0.0) as u32);
        self.level -= f64::from(taken);
        taken
    }

    /// Returns unused tokens to the bucket.
    pub fn give_back(&mut self, count: u32, now_us: u64) {
        self.refill(now_us);
        self.level = (self.level + f64::from(count)).min(self.size);
    }

    /// Time in µs until the bucket has a whole token; 0 when it has one, `u64::MAX` when it never will.
    pub fn wait_us(&self, now_us: u64) -> u64 {
        self.wait_for_us(1.0, now_us)
    }

    /// Time in µs until `count` tokens have come in, as if the bucket had room for them; 0 when it has them, `u64::MAX`
    /// when it never will.
    pub fn wait_for_us(&self, count: f64, now_us: u64) -> u64 {
        let missing = count - self.level_at(now_us);
        if missing <= 0.0 {
            return 0;
        }
        if self.per_s <= 0.0 {
            return u64::MAX;
        }
        (missing / self.per_s * 1e6).ceil() as u64
    }

    /// The number of tokens in the bucket at `now_us`.
    pub fn level_at(&self, now_us: u64) -> f64 {
        let elapsed_s = now_us.saturating_sub(self.filled_at_us) as f64 / 1e6;
        (self.level + elapsed_s * self.per_s).min(self.size)
    }

    fn refill(&mut self, now_us: u64) {
        self.level = self.level_at(now_us);
        self.filled_at_us = self.filled_at_us.max(now_us);
    }
}
