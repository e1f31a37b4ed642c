//! Distribution of new versions while many nodes, including readers, are lost.
//!
//! Guards against a node that waits for the answers of lost hosts before it makes its next offers or
//! exchanges: they delayed a version by seconds.

mod support;

use laurelstall_config::{
    document::{DocumentName, Version},
    system::ReplicationSettings,
};
use laurelstall_peer::{message::Exchange, partners::preceding_hosts};
use rand::{SeedableRng, rngs::SmallRng, seq::SliceRandom};
use std::sync::atomic::Ordering;
use support::mesh::{Mesh, version};
use tokio::time::{Duration, sleep};

/// Time until all reachable nodes hold version 3. One node takes version 2 when 55 % of the nodes become
/// unreachable, and version 3 `later` after that.
async fn time_to_all(count: usize, seed: u64, later: Duration) -> Duration {
    let mesh = Mesh::start(count, seed).await;
    // By then, connections are open and exchanges have started at random times.
    sleep(Duration::from_secs(10)).await;
    let mut order = (0..count).collect::<Vec<_>>();
    order.shuffle(&mut SmallRng::seed_from_u64(seed));
    let reader = order[0];
    for lost in &order[1..=count * 55 / 100] {
        mesh.unreachable.add(mesh.nodes[*lost].0);
    }
    mesh.nodes[reader].1.apply(version(2));
    sleep(later).await;
    mesh.nodes[reader].1.apply(version(3));
    mesh.time_to_all(3).await
}

/// Time until all reachable nodes hold a version that a second node takes 50 ms after a first one, which is
/// lost right after its offers, so that pulls from it fail.
async fn time_after_a_lost_offer(seed: u64) -> Duration {
    let mesh = Mesh::start(13, seed).await;
    sleep(Duration::from_secs(10)).await;
    let (first, _) = &mesh.nodes[seed as usize % 13];
    let second = &mesh.nodes[(seed as usize + 1) % 13].1;
    // Nodes that receive the offer try to pull version 2 and get no answer.
    let offered = [(DocumentName::System, Version::new(2))];
    mesh.unreachable.add(*first);
    for (_, replicator) in mesh.nodes.iter().filter(|(address, _)| address != first) {
        let status = Exchange {
            versions_hash: 1,
            platform_read_age_ms: 0,
            platform_reads_from_age_ms: 0,
            outage_end_age_ms: None,
            crashes_hash: 0,
            corrections_hash: 0,
            documents_age_ms: 0,
        };
        replicator.handle_offer(first.ip(), *first, &status, offered.to_vec());
    }
    sleep(Duration::from_millis(50)).await;
    second.apply(version(2));
    mesh.time_to_all(2).await
}

/// Longest of several runs with different lost nodes and partners.
async fn longest(count: usize, seeds: u64, later: Duration) -> Duration {
    let mut longest = Duration::ZERO;
    for seed in 0..seeds {
        longest = longest.max(time_to_all(count, seed, later).await);
    }
    longest
}

/// How the readers of each data centre are lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Loss {
    /// All become unreachable.
    Unreachable,
    /// The first becomes unreachable, and the platform refuses the others.
    UnreachableAndRefused,
    /// The platform refuses all.
    Refused,
}

/// Time from a publication until all reachable nodes hold it, when all readers and `followers` standbys of
/// each data centre were lost `before` it.
async fn time_without_readers(seed: u64, loss: Loss, followers: usize, before: Duration) -> Duration {
    let mesh = Mesh::start(18, seed).await;
    mesh.platform.publish(1);
    sleep(Duration::from_secs(10)).await;
    let count = ReplicationSettings::default().readers_per_data_centre;
    for host in &mesh.fleet.hosts {
        let ahead = preceding_hosts(&mesh.fleet, &host.name, &host.data_centre).len();
        match loss {
            _ if ahead >= count + followers => {}
            Loss::Unreachable => mesh.unreachable.add(host.node_address),
            Loss::UnreachableAndRefused if ahead == 0 => mesh.unreachable.add(host.node_address),
            Loss::UnreachableAndRefused | Loss::Refused => mesh.platform.refuse(host.node_address),
        }
    }
    sleep(before).await;
    mesh.platform.publish(2);
    mesh.time_to_all(2).await
}

/// Maximum time until a version is active on all reachable nodes.
const BOUND: Duration = Duration::from_secs(1);

#[tokio::test(start_paused = true)]
async fn a_version_reaches_all_while_half_of_the_nodes_are_lost() {
    let took = longest(13, 12, Duration::ZERO).await;
    assert!(took <= BOUND, "{took:?}");
}

#[tokio::test(start_paused = true)]
async fn a_second_version_does_not_wait_for_lost_nodes_to_answer_the_first() {
    let took = longest(13, 12, Duration::from_millis(300)).await;
    assert!(took <= BOUND, "{took:?}");
}

#[tokio::test(start_paused = true)]
async fn standbys_read_the_platform_when_the_readers_of_all_data_centres_are_lost() {
    for loss in [Loss::Unreachable, Loss::UnreachableAndRefused, Loss::Refused] {
        for (followers, before_ms) in [(0, 400), (1, 400), (0, 0)] {
            let mut longest = Duration::ZERO;
            for seed in 0..6 {
                let before = Duration::from_millis(before_ms);
                longest = longest.max(time_without_readers(seed, loss, followers, before).await);
            }
            let bound = if before_ms > 0 { BOUND } else { BOUND * 3 / 2 };
            assert!(longest <= bound, "{loss:?}, {followers} more, {before_ms} ms before: {longest:?}");
        }
    }
}

#[tokio::test(start_paused = true)]
async fn platform_calls_do_not_grow_with_the_fleet_while_standbys_check_readers() {
    let mut spent = Vec::new();
    for count in [15, 60] {
        let mesh = Mesh::start(count, 1).await;
        mesh.platform.publish(1);
        sleep(Duration::from_secs(5)).await;
        let before = mesh.platform.calls.load(Ordering::Relaxed);
        sleep(Duration::from_secs(30)).await;
        spent.push(mesh.platform.calls.load(Ordering::Relaxed) - before);
    }
    // Six readers whose watches end every 2.5 s; each watch makes two checks.
    assert!(spent.iter().all(|calls| *calls <= 6 * 2 * 13), "{spent:?}");
}

#[tokio::test(start_paused = true)]
async fn a_reader_that_is_lost_after_its_offers_does_not_delay_their_recipients() {
    let mut longest = Duration::ZERO;
    for seed in 0..12 {
        longest = longest.max(time_after_a_lost_offer(seed).await);
    }
    assert!(longest <= BOUND * 6 / 10, "{longest:?}");
}

#[tokio::test(start_paused = true)]
async fn a_version_reaches_many_nodes_while_half_are_lost() {
    let took = longest(120, 2, Duration::from_millis(300)).await;
    assert!(took <= BOUND, "{took:?}");
}
