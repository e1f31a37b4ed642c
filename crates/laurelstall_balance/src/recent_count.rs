//! Counts events in a sliding window.

/// Length of one bucket of the window in µs.
const BUCKET_US: u64 = 1_000_000;
/// Number of buckets: the window of the budgets for extra attempts is ten seconds.
const BUCKETS: usize = 10;

/// Counts the events of the last ten seconds with a resolution of one second.
#[derive(Debug, Clone, Default)]
pub struct RecentCount {
    counts: [u32; BUCKETS],
    /// Index of the current bucket: seconds since the start of the clock.
    last: u64,
}

impl RecentCount {
    /// Counts one event.
    pub fn note(&mut self, now_us: u64) {
        self.clear_old(now_us);
        self.counts[(self.last % BUCKETS as u64) as usize] += 1;
    }

    /// The number of events in the window that ends at `now_us`.
    pub fn count(&mut self, now_us: u64) -> u32 {
        self.clear_old(now_us);
        self.counts.iter().sum()
    }

    fn clear_old(&mut self, now_us: u64) {
        let now = now_us / BUCKET_US;
        let passed = now.saturating_sub(self.last).min(BUCKETS as u64);
        for age in 0..passed {
            self.counts[((now - age) % BUCKETS as u64) as usize] = 0;
        }
        self.last = self.last.max(now);
    }
}
