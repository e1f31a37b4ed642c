//! Remembers which records were dropped from a full table, to count those that come back.

use std::collections::{HashSet, VecDeque};

/// Largest number of dropped records that are remembered, which takes about 30 KB.
const DROPPED_MAX: usize = 1_024;

/// The requests whose records were dropped last, for a bounded number of requests.
#[derive(Debug, Default)]
pub struct DroppedRecords {
    digests: HashSet<u64>,
    /// All remembered requests, the oldest first. Some may have been taken again.
    order: VecDeque<u64>,
}

impl DroppedRecords {
    /// Remembers that the record of a request was dropped.
    pub fn note(&mut self, digest: u64) {
        if !self.digests.insert(digest) {
            return;
        }
        self.order.push_back(digest);
        while self.order.len() > DROPPED_MAX {
            if let Some(oldest) = self.order.pop_front() {
                self.digests.remove(&oldest);
            }
        }
    }

    /// Forgets a request and returns whether its record was dropped.
    pub fn take(&mut self, digest: u64) -> bool {
        self.digests.remove(&digest)
    }
}
