//! The order in which an entry node asks other nodes for retry tokens.

use laurelstall_config::fleet::{Fleet, Host, HostState};
use std::collections::HashMap;

/// Time in µs for which a node without tokens to lend is not asked again.
const EMPTY_PAUSE_US: u64 = 200_000;
/// Time in µs for which a node that did not answer, or does not lend, is not asked again: about as long as a lost node
/// takes to restart or to be removed from the list of hosts.
const UNREACHABLE_PAUSE_US: u64 = 1_000_000;

/// Chooses the nodes to borrow retry tokens from, in turn over the list of hosts.
#[derive(Debug, Default)]
pub struct LenderRotation {
    next: usize,
    /// Times in µs until which hosts are not asked.
    paused: HashMap<String, u64>,
}

impl LenderRotation {
    /// Creates a rotation that begins at a host selected by `seed`, so that nodes do not all ask the same ones.
    pub fn new(seed: u64) -> Self {
        Self { next: seed as usize, paused: HashMap::new() }
    }

    /// Returns up to `count` live hosts other than `own` to ask next.
    pub fn choose<'a>(&mut self, fleet: &'a Fleet, own: &str, count: usize, now_us: u64) -> Vec<&'a Host> {
        self.paused.retain(|_, until_us| *until_us > now_us);
        let mut chosen = Vec::new();
        for _ in 0..fleet.hosts.len() {
            if chosen.len() == count {
                break;
            }
            let host = &fleet.hosts[self.next % fleet.hosts.len()];
            self.next = self.next.wrapping_add(1);
            let may_ask = host.state == HostState::Live && host.name != own;
            if may_ask && !self.paused.contains_key(&host.name) {
                chosen.push(host);
            }
        }
        chosen
    }

    /// Records that a host had no token to lend.
    pub fn note_empty(&mut self, host: &str, now_us: u64) {
        self.paused.insert(host.to_owned(), now_us + EMPTY_PAUSE_US);
    }

    /// Records that a host did not answer, or does not lend tokens.
    pub fn note_unreachable(&mut self, host: &str, now_us: u64) {
        self.paused.insert(host.to_owned(), now_us + UNREACHABLE_PAUSE_US);
    }
}
