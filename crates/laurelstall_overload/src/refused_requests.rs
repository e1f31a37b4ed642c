//! Requests that were refused a short time ago.

use std::collections::{HashMap, VecDeque};

/// Time in µs for which a refused request is remembered: callers return within it or not at all.
const REMEMBERED_US: u64 = 5_000_000;
/// Largest number of remembered requests; at higher rates the oldest ones are forgotten earlier.
const REQUESTS_MAX: usize = 4_096;

/// The digests of requests that an entry has refused, by which it recognises their returns.
///
/// A return cannot be recognised by its time budget where callers use different budgets.
#[derive(Debug, Default)]
pub struct RefusedRequests {
    /// Time of the last refusal in µs, by digest.
    refused_us: HashMap<u64, u64>,
    /// Times and digests of all refusals, oldest first.
    order: VecDeque<(u64, u64)>,
}

impl RefusedRequests {
    /// Records the refusal of a request.
    pub fn note(&mut self, digest: u64, now_us: u64) {
        self.forget_old(now_us);
        self.refused_us.insert(digest, now_us);
        self.order.push_back((now_us, digest));
    }

    /// Returns whether the request was refused recently.
    pub fn contains(&self, digest: u64, now_us: u64) -> bool {
        self.refused_us.get(&digest).is_some_and(|at_us| now_us < at_us + REMEMBERED_US)
    }

    fn forget_old(&mut self, now_us: u64) {
        while let Some((at_us, digest)) = self.order.front().copied() {
            if now_us < at_us + REMEMBERED_US && self.order.len() < REQUESTS_MAX {
                return;
            }
            self.order.pop_front();
            if self.refused_us.get(&digest) == Some(&at_us) {
                self.refused_us.remove(&digest);
            }
        }
    }
}
