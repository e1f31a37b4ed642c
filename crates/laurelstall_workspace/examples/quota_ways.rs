//! Compares algorithms that enforce a quota over many nodes: refused calls below the quota, overrun, messages and
//! waits, also when an owner of quota shares is lost.

use laurelstall_config::{
    fleet::{Fleet, Host, HostState},
    settings::QuotaLimits,
    workspace::Quota,
};
use laurelstall_workspace::{
    owned_shares::{OwnedShares, ShareKey},
    quota_split::QuotaSplit,
    share_owner_list::ShareOwnerList,
    token_bucket::TokenBucket,
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use std::{collections::VecDeque, fmt, sync::Arc};

const SIZES: [usize; 4] = [13, 83, 300, 1_000];
const QUOTA: Quota = Quota { calls_per_s: 16.0, burst: 16.0 };
const LIMITS: QuotaLimits = QuotaLimits { window_s: 5.0, overrun: 0.25, slack: 20.0 };
const WORKSPACES: usize = 10;
const DATA_CENTRES: usize = 3;
/// Call rate of a workspace below its quota, as a fraction of the quota.
const NORMAL: f64 = 0.62;
/// Call rate of a workspace far above its quota.
const HOT: f64 = 5.0;
const BEGIN_US: u64 = 1_000_000;
const STEP_US: u64 = 5_000;
const STEPS: u64 = 6_000;
/// When an owner is lost, and when it is removed from the list of hosts.
const LOST_US: u64 = BEGIN_US + 12_000_000;
const REMOVED_US: u64 = LOST_US + 4_500_000;
/// Round trip to another node, and timeout of a request to a lost one.
const ROUND_TRIP_US: u64 = 2_000;
const TIMEOUT_US: u64 = 60_000;
/// Age of the call counts that nodes exchange.
const COUNTS_AGE_US: u64 = 1_000_000;

/// Distribution and rate of the calls of the workspaces.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Usage {
    Steady,
    Hot,
    OneDataCentre,
    Moving,
}

/// How the quota is enforced.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Algorithm {
    /// One owner grants all tokens.
    OneOwner,
    /// Three owners grant a third of the tokens each.
    Shares,
    /// Each node uses the counts of all nodes, which are a second old.
    Counts,
    /// Each node has an equal part of the quota.
    EqualParts,
}

impl fmt::Display for Algorithm {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self, f)
    }
}

/// The results of a simulation.
#[derive(Debug, Default)]
struct Outcome {
    calls: u64,
    refused_below: u64,
    messages: u64,
    waits_us: Vec<u64>,
    /// Times of admitted calls by workspace.
    admitted_us: Vec<VecDeque<u64>>,
    largest_overrun: f64,
}

struct Simulation {
    algorithm: Algorithm,
    nodes: usize,
    fleet: Arc<Fleet>,
    lost: usize,
    owned: Vec<OwnedShares>,
    orders: Vec<Vec<ShareOwnerList>>,
    parts: Vec<Vec<TokenBucket>>,
    outcome: Outcome,
}

fn fleet(nodes: usize, lost: Option<usize>) -> Arc<Fleet> {
    let host = |index: usize| Host {
        name: format!("host-{index}"),
        node_address: ([10, 0, (index / 250) as u8, (index % 250) as u8], 7_000).into(),
        data_centre: format!("d-{}", index % DATA_CENTRES),
        state: HostState::Live,
    };
    let hosts = (0..nodes).filter(|index| Some(*index) != lost).map(host);
    Arc::new(Fleet { hosts: hosts.collect(), ..Fleet::default() })
}

impl Simulation {
    fn new(algorithm: Algorithm, nodes: usize) -> Self {
        let fleet = fleet(nodes, None);
        let lost = laurelstall_workspace::share_ownership::owner_of(&fleet, "main/w-0", 0);
        let lost = lost.and_then(|host| host.name.strip_prefix("host-")?.parse().ok()).unwrap_or(0);
        let owned = (0..nodes).map(|index| {
            let mut owned = OwnedShares::new(&format!("host-{index}"), BEGIN_US);
            owned.set_fleet(&fleet, BEGIN_US);
            owned
        });
        let part = TokenBucket::new(
            QUOTA.calls_per_s / nodes as f64,
            (QUOTA.burst / nodes as f64).max(1.0),
            1.0,
            BEGIN_US,
        );
        Self {
            algorithm,
            nodes,
            lost,
            owned: owned.collect(),
            orders: (0..nodes)
                .map(|_| (0..WORKSPACES).map(|_| ShareOwnerList::default()).collect())
                .collect(),
            parts: vec![vec![part; WORKSPACES]; nodes],
            fleet,
            outcome: Outcome { admitted_us: vec![VecDeque::new(); WORKSPACES], ..Outcome::default() },
        }
    }

    fn split(&self) -> QuotaSplit {
        let split = QuotaSplit::new(&QUOTA, &LIMITS);
        if self.algorithm != Algorithm::OneOwner {
            return split;
        }
        let parts = f64::from(split.shares);
        QuotaSplit {
            shares: 1,
            per_s: split.per_s * parts,
            size: split.size * parts,
            initial_tokens: split.initial_tokens * parts,
        }
    }

    fn is_lost(&self, node: usize, now_us: u64) -> bool {
        node == self.lost && now_us >= LOST_US
    }

    /// Returns whether a call is admitted, and how long the decision took in µs.
    fn admit(&mut self, node: usize, workspace: usize, now_us: u64) -> (bool, u64) {
        match self.algorithm {
            Algorithm::OneOwner | Algorithm::Shares => self.take_token(node, workspace, now_us),
            Algorithm::Counts => (self.is_below_quota(workspace, now_us), 0),
            Algorithm::EqualParts => (self.parts[node][workspace].take(1, now_us) > 0, 0),
        }
    }

    fn take_token(&mut self, node: usize, workspace: usize, now_us: u64) -> (bool, u64) {
        let split = self.split();
        let name = format!("main/w-{workspace}");
        let data_centre = format!("d-{}", node % DATA_CENTRES);
        let order = &mut self.orders[node][workspace];
        order.set_fleet(&self.fleet, &name, split.shares, &data_centre);
        let mut waited_us = 0;
        for share_owner in order.owners_in_order(now_us) {
            let owner = share_owner.host.strip_prefix("host-").and_then(|index| index.parse::<usize>().ok());
            let Some(owner) = owner else { continue };
            let is_own = owner == node;
            self.outcome.messages += if is_own { 0 } else { 2 };
            if owner == self.lost && now_us >= LOST_US {
                waited_us += TIMEOUT_US;
                order.note_unreachable(share_owner.share, now_us);
                continue;
            }
            waited_us += if is_own { 0 } else { ROUND_TRIP_US };
            let key = ShareKey { workspace: name.clone(), share: share_owner.share };
            match self.owned[owner].take(&key, &split, 1, now_us) {
                Some(grant) if grant.tokens > 0 => return (true, waited_us),
                Some(grant) => order.note_empty(share_owner.share, grant.retry_after_us, now_us),
                None => order.note_unreachable(share_owner.share, now_us),
            }
        }
        (false, waited_us)
    }

    /// Whether the workspace was below its quota a second ago.
    fn is_below_quota(&self, workspace: usize, now_us: u64) -> bool {
        let known_us = now_us - COUNTS_AGE_US.min(now_us);
        let window_us = (LIMITS.window_s * 1e6) as u64;
        let from_us = known_us.saturating_sub(window_us);
        let known =
            self.outcome.admitted_us[workspace].iter().filter(|us| **us <= known_us && **us > from_us);
        (known.count() as f64) < QUOTA.calls_per_s * LIMITS.window_s + QUOTA.burst
    }

    fn note_admitted(&mut self, workspace: usize, now_us: u64) {
        let window_us = (LIMITS.window_s * 1e6) as u64;
        let admitted = &mut self.outcome.admitted_us[workspace];
        admitted.push_back(now_us);
        // The counts cover a window before their own age.
        while admitted.front().is_some_and(|us| us + window_us + COUNTS_AGE_US <= now_us) {
            admitted.pop_front();
        }
        let in_window = admitted.iter().filter(|us| **us + window_us > now_us).count() as f64;
        let limit =
            (QUOTA.calls_per_s * LIMITS.window_s + QUOTA.burst) * (1.0 + LIMITS.overrun) + LIMITS.slack;
        self.outcome.largest_overrun = self.outcome.largest_overrun.max(in_window - limit);
    }

    fn run(mut self, usage: Usage) -> Outcome {
        let mut rng = SmallRng::seed_from_u64(7);
        for step in 0..STEPS {
            let now_us = BEGIN_US + step * STEP_US;
            if now_us == REMOVED_US {
                self.fleet = fleet(self.nodes, Some(self.lost));
                self.owned.iter_mut().for_each(|owned| owned.set_fleet(&self.fleet, now_us));
            }
            for workspace in 0..WORKSPACES {
                let is_hot = usage == Usage::Hot && workspace == 0;
                let per_s = QUOTA.calls_per_s * if is_hot { HOT } else { NORMAL };
                if !rng.random_bool(per_s * STEP_US as f64 / 1e6) {
                    continue;
                }
                let node = self.draw_node(usage, now_us, &mut rng);
                if self.is_lost(node, now_us) {
                    continue;
                }
                self.outcome.calls += 1;
                let (is_admitted, waited_us) = self.admit(node, workspace, now_us);
                self.outcome.waits_us.push(waited_us);
                if is_admitted {
                    self.note_admitted(workspace, now_us);
                } else if !is_hot {
                    self.outcome.refused_below += 1;
                }
            }
        }
        self.outcome
    }

    fn draw_node(&self, usage: Usage, now_us: u64, rng: &mut SmallRng) -> usize {
        let node = rng.random_range(0..self.nodes);
        let data_centre = match usage {
            Usage::OneDataCentre => 0,
            Usage::Moving => (now_us / 5_000_000) as usize % DATA_CENTRES,
            Usage::Steady | Usage::Hot => return node,
        };
        let moved = node - node % DATA_CENTRES + data_centre;
        if moved < self.nodes { moved } else { data_centre }
    }
}

fn main() {
    println!(
        "{:>5} {:>13} {:>10}  over  refused below  messages/s  wait p50  p99 ms",
        "nodes", "usage", "algorithm"
    );
    for nodes in SIZES {
        for usage in [Usage::Steady, Usage::Hot, Usage::OneDataCentre, Usage::Moving] {
            for algorithm in
                [Algorithm::OneOwner, Algorithm::Shares, Algorithm::Counts, Algorithm::EqualParts]
            {
                let mut outcome = Simulation::new(algorithm, nodes).run(usage);
                outcome.waits_us.sort_unstable();
                let wait = |share: f64| {
                    let index = (outcome.waits_us.len() as f64 * share) as usize;
                    outcome.waits_us.get(index).copied().unwrap_or(0) as f64 / 1e3
                };
                let seconds = (STEPS * STEP_US) as f64 / 1e6;
                println!(
                    "{nodes:>5} {:>13} {:>10} {:>5.0} {:>14.4} {:>11.0} {:>9.1} {:>7.1}",
                    format!("{usage:?}"),
                    algorithm.to_string(),
                    outcome.largest_overrun,
                    outcome.refused_below as f64 / outcome.calls as f64,
                    outcome.messages as f64 / seconds,
                    wait(0.5),
                    wait(0.99),
                );
            }
        }
    }
}
