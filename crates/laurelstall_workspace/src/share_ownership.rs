//! Ownership of quota shares: which node owns a share, and since when.

use laurelstall_config::fleet::{Fleet, Host, HostState};
use std::{collections::VecDeque, sync::Arc};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Time in µs that the new owner of a share waits before it grants tokens.
///
/// The previous owner stops within that time: it receives the list that moved the share within two seconds, or detects
/// that it receives no lists any more.
pub const HANDOVER_DELAY_US: u64 = 3_000_000;
/// Time in µs after a node's start in which it grants tokens without waiting. After a start of the whole fleet the
/// list of hosts grows for seconds, and no previous owner can have granted tokens.
pub const STARTUP_US: u64 = 8_000_000;
/// Shortest time in µs between two remembered lists. Lists change several times a second while many hosts change, and
/// the owners of a list that was current for less than this can have granted only few tokens.
const LIST_STEP_US: u64 = 400_000;

/// The host whose node owns a share, by rendezvous hashing over the live hosts. All nodes find the same owner in the
/// same list, and a host that joins or leaves moves only its own shares.
pub fn owner_of<'a>(fleet: &'a Fleet, workspace: &str, share: u8) -> Option<&'a Host> {
    let seed = xxh3_64_with_seed(workspace.as_bytes(), u64::from(share));
    let live = fleet.hosts.iter().filter(|host| host.state == HostState::Live);
    live.max_by_key(|host| xxh3_64_with_seed(host.name.as_bytes(), seed))
}

/// A list of hosts that was current before.
#[derive(Debug)]
struct PastList {
    fleet: Arc<Fleet>,
    /// Time in µs at which the next list replaced it.
    until_us: u64,
}

/// The current list of hosts and the recent ones on which ownership still depends.
#[derive(Debug)]
pub struct ShareOwnership {
    host: String,
    started_us: u64,
    fleet: Arc<Fleet>,
    past: VecDeque<PastList>,
}

impl ShareOwnership {
    /// Creates the state of the node of `host`, which starts now and knows no list of hosts.
    pub fn new(host: &str, now_us: u64) -> Self {
        Self { host: host.to_owned(), started_us: now_us, fleet: Arc::default(), past: VecDeque::new() }
    }

    /// Sets the current list of hosts; setting the same one again changes nothing.
    pub fn set_fleet(&mut self, fleet: &Arc<Fleet>, now_us: u64) {
        if Arc::ptr_eq(fleet, &self.fleet) {
            return;
        }
        let before = std::mem::replace(&mut self.fleet, fleet.clone());
        if before.hosts.is_empty() {
            // This node knew no list before, so it granted no tokens.
            return;
        }
        self.past.retain(|list| list.until_us + HANDOVER_DELAY_US > now_us);
        let is_due = self.past.back().is_none_or(|last| last.until_us + LIST_STEP_US <= now_us);
        if is_due {
            self.past.push_back(PastList { fleet: before, until_us: now_us });
        }
    }

    /// Whether this node may grant tokens of a share now.
    pub fn may_grant(&self, workspace: &str, share: u8, now_us: u64) -> bool {
        if !self.is_owner(&self.fleet, workspace, share) {
            return false;
        }
        if self.is_starting(now_us) {
            return true;
        }
        let is_recent = |list: &&PastList| list.until_us + HANDOVER_DELAY_US > now_us;
        let was_owner = |list: &PastList| self.is_owner(&list.fleet, workspace, share);
        self.past.iter().filter(is_recent).all(was_owner)
    }

    /// Time in µs since which no other node has granted tokens of the shares that this node owns now.
    pub fn owned_since_us(&self) -> u64 {
        let last = self.past.back().filter(|list| list.until_us > self.started_us + STARTUP_US);
        last.map_or(self.started_us, |list| list.until_us + HANDOVER_DELAY_US)
    }

    /// Whether the node started so recently that it grants tokens without waiting.
    pub fn is_starting(&self, now_us: u64) -> bool {
        now_us < self.started_us + STARTUP_US
    }

    fn is_owner(&self, fleet: &Fleet, workspace: &str, share: u8) -> bool {
        owner_of(fleet, workspace, share).is_some_and(|owner| owner.name == self.host)
    }
}
