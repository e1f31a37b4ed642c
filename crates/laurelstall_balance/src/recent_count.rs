//! How many events there were lately.

/// Length of one part of the window in µs.
const PART_US: u64 = 1_000_000;
/// Parts of the window: ten seconds, the time over which users bound what is repeated.
const PARTS: usize = 10;

/// Counts events of the last ten seconds, to the second.
#[derive(Debug, Clone, Default)]
pub struct RecentCount {
    counts: [u32; PARTS],
    /// The second that was counted in last, since the clock's start.
    last: u64,
}

impl RecentCount {
    /// Counts one event.
    pub fn note(&mut self, now_us: u64) {
        self.forget_old(now_us);
        self.counts[(self.last % PARTS as u64) as usize] += 1;
    }

    /// Events in the window that ends now.
    pub fn count(&mut self, now_us: u64) -> u32 {
        self.forget_old(now_us);
        self.counts.iter().sum()
    }

    fn forget_old(&mut self, now_us: u64) {
        let now = now_us / PART_US;
        let passed = now.saturating_sub(self.last).min(PARTS as u64);
        for part in 0..passed {
            self.counts[((now - part) % PARTS as u64) as usize] = 0;
        }
        self.last = self.last.max(now);
    }
}
