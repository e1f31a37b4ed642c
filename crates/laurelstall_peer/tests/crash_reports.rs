//! Distribution of crash reports.

mod support;

use laurelstall_crash::{crash_table::RequestStatus, request_digest::RequestDigest};
use rand::{SeedableRng, rngs::SmallRng, seq::SliceRandom};
use support::mesh::Mesh;
use tokio::time::{Duration, Instant, sleep};

/// Maximum time to wait for a condition.
const WAIT_MAX: Duration = Duration::from_secs(30);
/// Maximum time until all reachable nodes quarantine a request: a third of the required time.
const BOUND: Duration = Duration::from_secs(1);
const CRASHING: RequestDigest = RequestDigest { whole: 1, head: 1 };

/// Number of reachable nodes that do not quarantine the request.
fn behind(mesh: &Mesh) -> usize {
    let reachable = mesh.nodes.iter().filter(|(address, _)| !mesh.unreachable.contains(*address));
    let statuses = reachable.map(|(_, replicator)| replicator.crashes().request_status(CRASHING));
    statuses.filter(|request_status| !matches!(request_status, RequestStatus::Quarantined { .. })).count()
}

async fn time_to_all(mesh: &Mesh) -> Duration {
    let started = Instant::now();
    while behind(mesh) > 0 && started.elapsed() < WAIT_MAX {
        sleep(Duration::from_millis(10)).await;
    }
    started.elapsed()
}

/// Reports to a node that its target crashed while running the request and some others.
fn report_crash(mesh: &Mesh, node: usize, crash_id: u64) {
    let others = (0..12).map(|number| RequestDigest { whole: 100 * crash_id + number, head: 2 });
    let running = others.chain([CRASHING]).collect::<Vec<_>>();
    mesh.nodes[node].1.crashes().note_crash(crash_id, "team/service", &running);
}

/// Time from the second crash, on another node than the first, until all reachable nodes quarantine the
/// request. At the second crash, `lost_percent` of the nodes become unreachable.
async fn time_to_quarantine(count: usize, seed: u64, lost_percent: usize) -> Duration {
    let mesh = Mesh::start(count, seed).await;
    // By then, connections are open and exchanges have started at random times.
    sleep(Duration::from_secs(5)).await;
    let mut order = (0..count).collect::<Vec<_>>();
    order.shuffle(&mut SmallRng::seed_from_u64(seed));
    report_crash(&mesh, order[0], 1);
    sleep(Duration::from_millis(100)).await;
    for lost in &order[2..2 + count * lost_percent / 100] {
        mesh.unreachable.add(mesh.nodes[*lost].0);
    }
    report_crash(&mesh, order[1], 2);
    time_to_all(&mesh).await
}

async fn longest(count: usize, seeds: u64, lost_percent: usize) -> Duration {
    let mut longest = Duration::ZERO;
    for seed in 0..seeds {
        longest = longest.max(time_to_quarantine(count, seed, lost_percent).await);
    }
    println!("{count} nodes, {lost_percent} % lost: {longest:?}");
    longest
}

#[tokio::test(start_paused = true)]
async fn all_nodes_quarantine_a_request_soon_after_two_crashes() {
    for (count, seeds) in [(13, 12), (120, 2)] {
        assert!(longest(count, seeds, 0).await <= BOUND / 4);
    }
}

#[tokio::test(start_paused = true)]
async fn crash_reports_reach_all_while_half_of_the_nodes_are_lost() {
    for (count, seeds) in [(13, 12), (120, 2)] {
        assert!(longest(count, seeds, 50).await <= BOUND);
    }
}

#[tokio::test(start_paused = true)]
async fn a_partitioned_node_receives_crash_reports_when_it_is_back() {
    for seed in 0..6 {
        let mesh = Mesh::start(13, seed).await;
        sleep(Duration::from_secs(5)).await;
        let (partitioned, _) = mesh.nodes[0];
        mesh.unreachable.add(partitioned);
        report_crash(&mesh, 1, 1);
        report_crash(&mesh, 2, 2);
        sleep(Duration::from_secs(10)).await;
        mesh.unreachable.remove(partitioned);
        let took = time_to_all(&mesh).await;
        assert!(took <= BOUND * 5 / 2, "{took:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn two_partitions_merge_their_crash_reports() {
    let mesh = Mesh::start(13, 1).await;
    sleep(Duration::from_secs(5)).await;
    let (alone, _) = mesh.nodes[0];
    mesh.unreachable.add(alone);
    report_crash(&mesh, 0, 1);
    report_crash(&mesh, 1, 2);
    sleep(Duration::from_secs(5)).await;
    assert_eq!(behind(&mesh), 12, "each side knows of one crash");
    mesh.unreachable.remove(alone);
    let took = time_to_all(&mesh).await;
    assert!(took <= BOUND * 5 / 2, "{took:?}");
    sleep(Duration::from_secs(3)).await;
    let hashes = mesh.nodes.iter().map(|(_, replicator)| replicator.crashes().hash()).collect::<Vec<_>>();
    assert!(hashes.iter().all(|hash| *hash == hashes[0]), "{hashes:?}");
}
