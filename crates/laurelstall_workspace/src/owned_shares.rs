//! The quota shares that a node owns, and the tokens that it grants from them.

use crate::{quota_split::QuotaSplit, share_ownership::ShareOwnership, token_bucket::TokenBucket};
use laurelstall_config::fleet::Fleet;
use serde::{Deserialize, Serialize};
use std::{collections::HashMap, sync::Arc};

/// Longest retry-after time of a refused caller in µs: the quota may have been raised by then.
const RETRY_MAX_US: u64 = 2_000_000;
/// Interval in µs at which shares that are no longer owned are removed.
const SWEEP_US: u64 = 60_000_000;

/// One share of a workspace's quota.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ShareKey {
    /// Full name of the workspace, `team/workspace`.
    pub workspace: String,
    /// Index of the share, from 0.
    pub share: u8,
}

/// An owner's answer to a request for tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Number of granted tokens.
    pub tokens: u32,
    /// Time in µs after which a refused caller finds a token, with the callers refused before it taken into account; 0
    /// when tokens are granted.
    pub retry_after_us: u64,
}

#[derive(Debug)]
struct OwnedShare {
    bucket: TokenBucket,
    /// Time in µs until which future tokens are reserved for refused callers.
    reserved_until_us: u64,
}

/// The token buckets of the shares that a node owns.
#[derive(Debug)]
pub struct OwnedShares {
    ownership: ShareOwnership,
    shares: HashMap<ShareKey, OwnedShare>,
    swept_at_us: u64,
}

impl OwnedShares {
    /// Creates the state of the node of `host`, which starts now.
    pub fn new(host: &str, now_us: u64) -> Self {
        Self { ownership: ShareOwnership::new(host, now_us), shares: HashMap::new(), swept_at_us: now_us }
    }

    /// Sets the current list of hosts.
    pub fn set_fleet(&mut self, fleet: &Arc<Fleet>, now_us: u64) {
        self.ownership.set_fleet(fleet, now_us);
    }

    /// Grants up to `wanted` tokens of a share; `None` when this node may not grant any, because another one may own
    /// it.
    pub fn take(&mut self, key: &ShareKey, split: &QuotaSplit, wanted: u32, now_us: u64) -> Option<Grant> {
        if !self.ownership.may_grant(&key.workspace, key.share, now_us) {
            self.shares.remove(key);
            return None;
        }
        self.remove_lost_shares(now_us);
        let since_us = self.ownership.owned_since_us().min(now_us);
        let share = self.shares.entry(key.clone()).or_insert_with(|| OwnedShare {
            // The previous owner may have granted tokens until that time.
            bucket: TokenBucket::new(split.per_s, split.size, split.initial_tokens, since_us),
            reserved_until_us: 0,
        });
        share.bucket.set_rate(split.per_s, split.size, now_us);
        let tokens = share.bucket.take(wanted, now_us);
        let retry_after_us = if tokens > 0 { 0 } else { share.reserve_token(split.per_s, now_us) };
        Some(Grant { tokens, retry_after_us })
    }

    /// Returns tokens whose calls did not run.
    pub fn give_back(&mut self, key: &ShareKey, count: u32, now_us: u64) {
        if let Some(share) = self.shares.get_mut(key) {
            share.bucket.give_back(count, now_us);
        }
    }

    /// The shares with a token bucket, and the number of their tokens.
    pub fn levels(&self, now_us: u64) -> impl Iterator<Item = (&ShareKey, f64)> {
        self.shares.iter().map(move |(key, share)| (key, share.bucket.level_at(now_us)))
    }

    fn remove_lost_shares(&mut self, now_us: u64) {
        if now_us < self.swept_at_us + SWEEP_US {
            return;
        }
        self.swept_at_us = now_us;
        let ownership = &self.ownership;
        self.shares.retain(|key, _| ownership.may_grant(&key.workspace, key.share, now_us));
    }
}

impl OwnedShare {
    /// Reserves the next token for a refused caller and returns the time in µs until it is there.
    fn reserve_token(&mut self, per_s: f64, now_us: u64) -> u64 {
        let next_us = now_us.saturating_add(self.bucket.wait_us(now_us));
        let step_us = if per_s > 0.0 { (1e6 / per_s) as u64 } else { RETRY_MAX_US };
        let reserved_until_us = next_us.max(self.reserved_until_us.saturating_add(step_us));
        self.reserved_until_us = reserved_until_us.min(now_us + RETRY_MAX_US);
        self.reserved_until_us - now_us
    }
}
