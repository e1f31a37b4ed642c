//! Remembers recent successful runs of requests.

use std::collections::{HashMap, VecDeque};

/// Largest number of runs that are remembered: at 50 calls a second, those of the last 40 s.
const RUNS_MAX: usize = 2_048;

/// The time of the last successful run of each request, for a bounded number of requests.
#[derive(Debug, Default)]
pub struct SuccessfulRuns {
    /// Times in µs by the digest of the request.
    at_us: HashMap<u64, i64>,
    /// All remembered runs, oldest first.
    order: VecDeque<(u64, i64)>,
}

impl SuccessfulRuns {
    /// Records a successful run of a request.
    pub fn note(&mut self, digest: u64, now_us: i64) {
        self.at_us.insert(digest, now_us);
        self.order.push_back((digest, now_us));
        while self.order.len() > RUNS_MAX {
            let Some((oldest, run_us)) = self.order.pop_front() else { return };
            // A request with a later run stays.
            if self.at_us.get(&oldest) == Some(&run_us) {
                self.at_us.remove(&oldest);
            }
        }
    }

    /// The time of the last successful run of a request in µs; `None` when none is remembered.
    pub fn last_us(&self, digest: u64) -> Option<i64> {
        self.at_us.get(&digest).copied()
    }

    /// The number of requests that are remembered.
    pub fn len(&self) -> usize {
        self.at_us.len()
    }

    /// Whether no request is remembered.
    pub fn is_empty(&self) -> bool {
        self.at_us.is_empty()
    }
}
