//! Exponential backoff for partners that do not answer.

use std::{collections::HashMap, net::SocketAddr};

/// Maximum number of skipped rounds for a partner.
const ROUNDS_MAX: u32 = 32;

#[derive(Debug, Clone, Copy)]
struct Backoff {
    remaining: u32,
    length: u32,
}

/// Backoff of each failing partner, counted in the rounds in which it would be contacted.
#[derive(Debug, Default)]
pub struct PartnerBackoff {
    backoff: HashMap<SocketAddr, Backoff>,
}

impl PartnerBackoff {
    /// Drops the state of all nodes that are not in `partners`.
    pub fn retain(&mut self, partners: &[SocketAddr]) {
        self.backoff.retain(|address, _| partners.contains(address));
    }

    /// Counts a round of a partner; returns `false` if the partner is to be skipped.
    pub fn is_due(&mut self, address: SocketAddr) -> bool {
        match self.backoff.get_mut(&address) {
            Some(backoff) if backoff.remaining > 0 => {
                backoff.remaining -= 1;
                false
            }
            _ => true,
        }
    }

    /// Records that a partner answered.
    pub fn note_success(&mut self, address: SocketAddr) {
        self.backoff.remove(&address);
    }

    /// Records that a partner did not answer, which doubles its backoff. Returns `true` if the backoff was
    /// at its maximum already.
    pub fn note_failure(&mut self, address: SocketAddr) -> bool {
        let backoff = self.backoff.entry(address).or_insert(Backoff { remaining: 0, length: 1 });
        let is_at_maximum = backoff.length >= ROUNDS_MAX;
        backoff.remaining = backoff.length;
        backoff.length = (backoff.length * 2).min(ROUNDS_MAX);
        is_at_maximum
    }
}
