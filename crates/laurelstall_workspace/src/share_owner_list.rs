//! The owners of a workspace's quota shares, in the order in which a node requests tokens from them.

use crate::share_ownership::owner_of;
use laurelstall_config::fleet::Fleet;
use std::{net::SocketAddr, sync::Arc};

/// Time in µs for which an owner that did not answer is skipped: about as long as a lost node takes to restart or to
/// be removed from the list of hosts.
const UNREACHABLE_PAUSE_US: u64 = 1_000_000;
/// Longest time in µs for which a share counts as empty without a new request, because other calls may return tokens.
const EMPTY_PAUSE_MAX_US: u64 = 100_000;

/// The owner of a share, as seen by a node that requests tokens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShareOwner {
    /// Index of the share, from 0.
    pub share: u8,
    /// Name of the owner's host.
    pub host: String,
    /// Address of the owner's node.
    pub address: SocketAddr,
    is_local: bool,
    /// Time in µs at which the share has a token again; 0 when it may have one now.
    empty_until_us: u64,
    /// Time in µs until which the owner is skipped, because it did not answer.
    unreachable_until_us: u64,
}

/// The owners of a workspace's quota shares.
#[derive(Debug, Default)]
pub struct ShareOwnerList {
    fleet: Arc<Fleet>,
    /// Number of shares of the quota.
    count: u8,
    owners: Vec<ShareOwner>,
    /// Counter for the rotation of the owners.
    turn: usize,
}

impl ShareOwnerList {
    /// Sets the current list of hosts and keeps the records of owners that stay.
    pub fn set_fleet(&mut self, fleet: &Arc<Fleet>, workspace: &str, count: u8, data_centre: &str) {
        if Arc::ptr_eq(fleet, &self.fleet) && self.count == count {
            return;
        }
        let hosts = (0..count).filter_map(|share| Some((share, owner_of(fleet, workspace, share)?)));
        let owners = hosts.map(|(share, host)| {
            let known = self.owners.iter().find(|known| known.share == share && known.host == host.name);
            known.cloned().unwrap_or_else(|| ShareOwner {
                share,
                host: host.name.clone(),
                address: host.node_address,
                is_local: host.data_centre == data_centre,
                empty_until_us: 0,
                unreachable_until_us: 0,
            })
        });
        self.owners = owners.collect();
        self.fleet = fleet.clone();
        self.count = count;
    }

    /// The owners to request tokens from, in this order: those in the local data centre first, rotated within each
    /// group. Owners that did not answer recently are included only when no other is left, because each of them may
    /// cost the call a timeout.
    pub fn owners_in_order(&mut self, now_us: u64) -> Vec<ShareOwner> {
        self.turn = self.turn.wrapping_add(1);
        let is_reachable = |owner: &ShareOwner| owner.unreachable_until_us <= now_us;
        let any_reachable = self.owners.iter().any(is_reachable);
        let mut owners = self.owners.clone();
        owners.retain(|owner| owner.empty_until_us <= now_us && (!any_reachable || is_reachable(owner)));
        if !owners.is_empty() {
            let turn = self.turn % owners.len();
            owners.rotate_left(turn);
        }
        owners.sort_by_key(|owner| !owner.is_local);
        owners
    }

    /// Time in µs until the first empty share has a token again; `None` when no share is known to be empty.
    pub fn empty_for_us(&self, now_us: u64) -> Option<u64> {
        let empty = self.owners.iter().filter(|owner| owner.empty_until_us > now_us);
        empty.map(|owner| owner.empty_until_us - now_us).min()
    }

    /// Records that a share has no token for `wait_us`.
    pub fn note_empty(&mut self, share: u8, wait_us: u64, now_us: u64) {
        if let Some(owner) = self.owner(share) {
            owner.empty_until_us = now_us + wait_us.min(EMPTY_PAUSE_MAX_US);
        }
    }

    /// Records that the owner of a share did not answer, or may not grant tokens.
    pub fn note_unreachable(&mut self, share: u8, now_us: u64) {
        if let Some(owner) = self.owner(share) {
            owner.unreachable_until_us = now_us + UNREACHABLE_PAUSE_US;
        }
    }

    fn owner(&mut self, share: u8) -> Option<&mut ShareOwner> {
        self.owners.iter_mut().find(|owner| owner.share == share)
    }
}
