//! Chooses the readers of the platform and the partners of a node.

use laurelstall_config::fleet::{Fleet, Host, HostState};
use rand::{SeedableRng, rngs::SmallRng, seq::IndexedRandom};
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Seed of the hash that determines the reader order.
const READER_SEED: u64 = 0x1a75;

/// Returns the live hosts of a data centre that precede `host` in the reader order. The first few hosts of
/// that order read the platform, the next ones are standbys.
///
/// Uses rendezvous hashing: all nodes compute the same order from the same list, and a host that joins or
/// leaves changes at most one reader.
pub fn preceding_hosts<'a>(fleet: &'a Fleet, host: &str, data_centre: &str) -> Vec<&'a Host> {
    let own = weight(host);
    let is_ahead = |other: &&Host| {
        other.data_centre == data_centre && other.state == HostState::Live && weight(&other.name) > own
    };
    fleet.hosts.iter().filter(is_ahead).collect()
}

/// Number of partners in other data centres. One suffices, since each data centre has its own readers.
const REMOTE_PARTNERS: usize = 1;

/// Picks the partners of a host, most of them in its own data centre.
///
/// The pick is random but depends only on `seed` and the list of hosts, so that connections stay open. With
/// six partners each, an update reaches a hundred nodes in about three hops.
pub fn pick_partners<'a>(
    fleet: &'a Fleet,
    host: &str,
    data_centre: &str,
    count: usize,
    seed: u64,
) -> Vec<&'a Host> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let others = fleet.hosts.iter().filter(|other| other.name != host);
    let (local, remote): (Vec<_>, Vec<_>) = others.partition(|other| other.data_centre == data_centre);
    let remote_count = REMOTE_PARTNERS.min(remote.len()).min(count);
    let local_count = (count - remote_count).min(local.len());
    let remote_count = (count - local_count).min(remote.len());
    let mut partners = local.sample(&mut rng, local_count).copied().collect::<Vec<_>>();
    partners.extend(remote.sample(&mut rng, remote_count).copied());
    partners
}

/// Picks random hosts outside `data_centre`.
pub fn pick_remote(fleet: &Fleet, data_centre: &str, count: usize, rng: &mut SmallRng) -> Vec<SocketAddr> {
    let remote = fleet.hosts.iter().filter(|other| other.data_centre != data_centre);
    let remote = remote.map(|other| other.node_address).collect::<Vec<_>>();
    remote.sample(rng, count).copied().collect()
}

/// Picks random hosts other than `host` and its partners.
pub fn pick_others(
    fleet: &Fleet,
    host: &str,
    partners: &[SocketAddr],
    count: usize,
    rng: &mut SmallRng,
) -> Vec<SocketAddr> {
    let is_other = |other: &&Host| other.name != host && !partners.contains(&other.node_address);
    let others = fleet.hosts.iter().filter(is_other).map(|other| other.node_address).collect::<Vec<_>>();
    others.sample(rng, count).copied().collect()
}

/// Whether `host` is the one live host whose node tries a quarantined request again.
///
/// Uses rendezvous hashing, so all nodes choose the same host from the same list.
pub fn is_trial_host(fleet: &Fleet, host: &str, digest: u64) -> bool {
    let weight = |name: &str| (xxh3_64_with_seed(name.as_bytes(), digest), name.to_owned());
    let live = fleet.hosts.iter().filter(|other| other.state == HostState::Live);
    let first = live.max_by_key(|other| weight(&other.name));
    first.is_some_and(|first| first.name == host)
}

fn weight(host: &str) -> u64 {
    xxh3_64_with_seed(host.as_bytes(), READER_SEED)
}
