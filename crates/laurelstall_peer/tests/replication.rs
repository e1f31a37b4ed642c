//! Replication of a node while the platform is unavailable or other nodes are unreachable, with paused time.

use futures_util::future::{BoxFuture, FutureExt, join_all};
use laurelstall_config::{
    document::{Document, DocumentName, Version},
    fleet::{Fleet, Host, HostState},
    problem::ConfigError,
    system::ReplicationSettings,
};
use laurelstall_guard::clock::Clock;
use laurelstall_peer::{
    client::PeerClient,
    link::Link,
    message::{Exchange, PeerAnswer},
    meter::Meter,
    platform::{Listing, PlatformError, PlatformSource, StaleListing},
    pool::Pool,
    replicator::{ReplicationView, Replicator, ReplicatorOptions},
    store::Acceptor,
};
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
};
use tokio::{
    net::TcpListener,
    time::{Duration, Instant, sleep},
};

/// Maximum size of a document's text in bytes.
const DOCUMENT_BYTES_MAX: usize = 16 * 1024 * 1024;

const HOUR: Duration = Duration::from_secs(3_600);

#[derive(Debug)]
struct AllPartitioned;

impl Link for AllPartitioned {
    fn is_partitioned(&self, _: SocketAddr) -> bool {
        true
    }
}

#[derive(Debug)]
struct Open;

impl Link for Open {
    fn is_partitioned(&self, _: SocketAddr) -> bool {
        false
    }
}

/// Maximum time since the end of an outage for which a missing registration may be due to it, in ms.
const EXPIRY_AGE_MAX_MS: u64 = 2_000;

/// Accepts every document, and counts how often registrations may have expired.
#[derive(Debug, Default)]
struct AcceptAll {
    expiries: AtomicUsize,
}

impl Acceptor for AcceptAll {
    fn accept(&self, _: &Document) -> Result<(), ConfigError> {
        Ok(())
    }

    fn on_platform_outage_end(&self, ended_age_ms: u64) {
        let count = usize::from(ended_age_ms < EXPIRY_AGE_MAX_MS);
        self.expiries.fetch_add(count, Ordering::Relaxed);
    }
}

#[derive(Debug)]
struct View(Arc<Fleet>);

impl ReplicationView for View {
    fn fleet(&self) -> Arc<Fleet> {
        self.0.clone()
    }

    fn replication_settings(&self) -> ReplicationSettings {
        ReplicationSettings::default()
    }
}

/// A simulated platform with one document, which can be unavailable.
#[derive(Debug, Default)]
struct OneDocument {
    is_unavailable: AtomicBool,
    answers_at_once: AtomicBool,
    supports_stale_reads: AtomicBool,
    stale_reads: AtomicUsize,
    /// Number of further reads that fail, as those over a silent connection do.
    failing_reads: AtomicUsize,
    /// Time in ms that reads without a wait take.
    first_read_ms: AtomicU64,
}

impl OneDocument {
    fn check(&self) -> Result<(), PlatformError> {
        let next = |left: usize| left.checked_sub(1);
        let is_failing = self.failing_reads.fetch_update(Ordering::Relaxed, Ordering::Relaxed, next).is_ok();
        match is_failing || self.is_unavailable.load(Ordering::Relaxed) {
            true => Err(PlatformError::ReadFailed("unavailable".to_owned())),
            false => Ok(()),
        }
    }

    /// Waits until all reads that should fail have failed.
    async fn all_have_failed(&self) {
        while self.failing_reads.load(Ordering::Relaxed) > 0 {
            sleep(Duration::from_millis(1)).await;
        }
    }
}

impl PlatformSource for OneDocument {
    fn watch(&self, after: Option<u64>) -> BoxFuture<'_, Result<Listing, PlatformError>> {
        async move {
            self.check()?;
            if after.is_none() {
                sleep(Duration::from_millis(self.first_read_ms.load(Ordering::Relaxed))).await;
            }
            if after.is_some() && !self.answers_at_once.load(Ordering::Relaxed) {
                sleep(Duration::from_secs(30)).await;
                self.check()?;
            }
            Ok(Listing { era: 0, sequence: 1, versions: vec![(DocumentName::System, Version::new(1))] })
        }
        .boxed()
    }

    fn read_stale(&self) -> BoxFuture<'_, Result<Option<StaleListing>, PlatformError>> {
        async move {
            if !self.supports_stale_reads.load(Ordering::Relaxed) {
                return Ok(None);
            }
            self.check()?;
            self.stale_reads.fetch_add(1, Ordering::Relaxed);
            let versions =
                vec![(DocumentName::System, Version::new(1)), (DocumentName::Fleet, Version::new(1))];
            Ok(Some(StaleListing { era: 0, versions, inconsistent: vec![DocumentName::Fleet] }))
        }
        .boxed()
    }

    fn read(&self, name: DocumentName) -> BoxFuture<'_, Result<Document, PlatformError>> {
        async move {
            self.check()?;
            Ok(Document { name, version: Version::new(1), text: "text".to_owned() })
        }
        .boxed()
    }
}

fn fleet(hosts: usize) -> Arc<Fleet> {
    let host = |n: usize| Host {
        name: format!("h-{n}"),
        node_address: ([127, 0, 0, 1], 1_000 + n as u16).into(),
        data_centre: "dc".to_owned(),
        state: HostState::Live,
    };
    Arc::new(Fleet { hosts: (0..hosts).map(host).collect(), ..Fleet::default() })
}

fn node(fleet: &Arc<Fleet>, number: usize, platform: &Arc<OneDocument>) -> Arc<Replicator> {
    node_with(fleet, number, platform, Vec::new(), Arc::new(AllPartitioned), Arc::default())
}

fn node_with(
    fleet: &Arc<Fleet>,
    number: usize,
    platform: &Arc<OneDocument>,
    seeds: Vec<SocketAddr>,
    link: Arc<dyn Link>,
    acceptor: Arc<AcceptAll>,
) -> Arc<Replicator> {
    let options = ReplicatorOptions {
        host: format!("h-{number}"),
        data_centre: "dc".to_owned(),
        peer_address: ([127, 0, 0, 1], 1_000 + number as u16).into(),
        seeds,
        seed: number as u64,
        document_bytes_max: DOCUMENT_BYTES_MAX,
    };
    let clock = Clock::new();
    let client = PeerClient::new(Arc::new(Pool::new(clock, Arc::new(Meter::default()), link)));
    let view = Arc::new(View(fleet.clone()));
    Replicator::new(options, clock, client, platform.clone(), acceptor, view)
}

fn calls(node: &Replicator) -> u64 {
    node.counts.platform_calls.load(Ordering::Relaxed)
}

#[tokio::test(start_paused = true)]
async fn an_hour_without_platform_and_peers_keeps_the_configuration_and_costs_few_reads() {
    let (fleet, platform) = (fleet(100), Arc::new(OneDocument::default()));
    let nodes = (0..100).map(|number| node(&fleet, number, &platform)).collect::<Vec<_>>();
    for node in &nodes {
        node.join().await;
        tokio::spawn(node.clone().run());
    }
    sleep(Duration::from_secs(60)).await;
    platform.is_unavailable.store(true, Ordering::Relaxed);
    let before = nodes.iter().map(|node| calls(node)).sum::<u64>();
    sleep(HOUR).await;
    let spent = nodes.iter().map(|node| calls(node)).sum::<u64>() - before;
    assert!(nodes.iter().all(|node| node.store().version(&DocumentName::System) == Version::new(1)));
    // Two readers that try every 10 s or so, and 16 fallback reads per minute in the whole fleet.
    assert!(spent < 3_000, "{spent} calls in an hour");
    assert!(spent > 500, "{spent} calls: too few attempts to reach the platform");
    platform.is_unavailable.store(false, Ordering::Relaxed);
    sleep(Duration::from_secs(120)).await;
    let is_fresh = nodes.iter().filter(|node| node.platform_read_age_ms() < 60_000).count();
    assert!(is_fresh >= 2, "the readers are back");
}

#[tokio::test(start_paused = true)]
async fn watches_that_do_not_wait_are_not_repeated_without_pause() {
    let (fleet, platform) = (fleet(2), Arc::new(OneDocument::default()));
    platform.answers_at_once.store(true, Ordering::Relaxed);
    let node = node(&fleet, 0, &platform);
    node.join().await;
    tokio::spawn(node.clone().run());
    sleep(Duration::from_secs(100)).await;
    assert!((50..220).contains(&calls(&node)), "{} calls in 100 s", calls(&node));
}

/// Guards against readers that learn of a change late, because they pause before they read over a new connection.
#[tokio::test(start_paused = true)]
async fn a_reader_whose_connection_failed_reads_again_at_once() {
    let (fleet, platform) = (fleet(2), Arc::new(OneDocument::default()));
    let node = node(&fleet, 0, &platform);
    node.join().await;
    tokio::spawn(node.clone().run());
    sleep(Duration::from_secs(45)).await;
    platform.failing_reads.store(1, Ordering::Relaxed);
    platform.all_have_failed().await;
    sleep(Duration::from_millis(1)).await;
    assert!(node.platform_read_age_ms() < 10, "{} ms", node.platform_read_age_ms());
}

#[tokio::test(start_paused = true)]
async fn platform_calls_do_not_grow_with_the_fleet() {
    let mut spent = Vec::new();
    for hosts in [50, 200] {
        let (fleet, platform) = (fleet(hosts), Arc::new(OneDocument::default()));
        let nodes = (0..hosts).map(|number| node(&fleet, number, &platform)).collect::<Vec<_>>();
        for node in &nodes {
            node.join().await;
            tokio::spawn(node.clone().run());
        }
        let before = nodes.iter().map(|node| calls(node)).sum::<u64>();
        sleep(HOUR).await;
        spent.push(nodes.iter().map(|node| calls(node)).sum::<u64>() - before);
    }
    // As no node can reach another one, all but the readers make fallback reads; their number is
    // independent of the fleet's size.
    let ratio = spent[1] as f64 / spent[0] as f64;
    assert!((0.7..1.3).contains(&ratio), "{spent:?}");
}

#[tokio::test(start_paused = true)]
async fn exchanges_distribute_the_time_of_a_platform_read() {
    let (fleet, platform) = (fleet(2), Arc::new(OneDocument::default()));
    let node = node(&fleet, 0, &platform);
    assert!(node.platform_read_age_ms() > 1_000_000);
    let theirs = Exchange {
        versions_hash: 1,
        platform_read_age_ms: 700,
        platform_reads_from_age_ms: 0,
        outage_end_age_ms: None,
        crashes_hash: 0,
        corrections_hash: 0,
        documents_age_ms: 0,
    };
    assert!(matches!(node.answer_exchange(&theirs), PeerAnswer::Versions(..)));
    assert!((700..800).contains(&node.platform_read_age_ms()), "{}", node.platform_read_age_ms());
}

#[tokio::test(start_paused = true)]
async fn a_silent_seed_does_not_delay_a_node_whose_platform_answers() {
    let (fleet, platform) = (fleet(2), Arc::new(OneDocument::default()));
    let silent = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let silent = silent.local_addr().expect("it listens");
    let own = ([127, 0, 0, 1], 1_000).into();
    // A node that is a seed itself reads at once; others wait for their seeds for a moment.
    for (seeds, most_ms) in [(vec![silent, own], 20), (vec![silent], 200)] {
        let node = node_with(&fleet, 0, &platform, seeds, Arc::new(Open), Arc::default());
        let started = Instant::now();
        node.join().await;
        assert!(started.elapsed() < Duration::from_millis(most_ms), "{:?}", started.elapsed());
        assert_eq!(node.store().version(&DocumentName::System), Version::new(1));
    }
}

#[tokio::test(start_paused = true)]
async fn only_seeds_watch_the_platform_before_a_fleet_is_known() {
    let (fleet, platform) = (fleet(0), Arc::new(OneDocument::default()));
    platform.answers_at_once.store(true, Ordering::Relaxed);
    let seed = ([127, 0, 0, 1], 1_000).into();
    let node =
        |number| node_with(&fleet, number, &platform, vec![seed], Arc::new(AllPartitioned), Arc::default());
    let nodes = [node(0), node(1)];
    for node in &nodes {
        node.join().await;
        tokio::spawn(node.clone().run());
    }
    sleep(Duration::from_secs(20)).await;
    assert!(calls(&nodes[0]) > 10, "{} calls of the seed", calls(&nodes[0]));
    assert!((1..=3).contains(&calls(&nodes[1])), "{} calls of the other one", calls(&nodes[1]));
}

/// Starts 300 nodes at once while their seeds are unreachable. Returns the number of platform calls without
/// stale reads, the number of stale reads, and the longest time to join in ms.
async fn start_whole_fleet(seeds: Vec<SocketAddr>, link: Arc<dyn Link>) -> (u64, usize, u128) {
    let (fleet, platform) = (fleet(300), Arc::new(OneDocument::default()));
    platform.supports_stale_reads.store(true, Ordering::Relaxed);
    let node = |number| node_with(&fleet, number, &platform, seeds.clone(), link.clone(), Arc::default());
    let nodes = (0..300).map(node).collect::<Vec<_>>();
    let started = Instant::now();
    join_all(nodes.iter().map(|node| node.join())).await;
    assert!(
        nodes
            .iter()
            .all(|node| node.is_joined() && node.store().version(&DocumentName::System) == Version::new(1))
    );
    let plain = nodes.iter().map(|node| calls(node)).sum::<u64>();
    let stale = platform.stale_reads.load(Ordering::Relaxed);
    (plain - stale as u64, stale, started.elapsed().as_millis())
}

#[tokio::test(start_paused = true)]
async fn a_start_of_the_whole_fleet_makes_few_full_reads_and_waits_for_no_seed() {
    let own_seeds = (0..3).map(|n| SocketAddr::from(([127, 0, 0, 1], 1_000 + n))).collect::<Vec<_>>();
    // The unreachable seeds are nodes of the fleet, or no nodes at all.
    for seeds in [own_seeds, vec![([127, 0, 0, 1], 999).into()]] {
        let (plain, stale, longest_ms) = start_whole_fleet(seeds, Arc::new(AllPartitioned)).await;
        assert!(plain <= 9, "{plain} plain calls");
        assert!(stale <= 300, "{stale} stale reads");
        assert!(longest_ms <= 500, "{longest_ms} ms");
    }
}

#[tokio::test(start_paused = true)]
async fn an_isolated_node_confirms_its_stale_read_by_a_full_read() {
    let (fleet, platform) = (fleet(300), Arc::new(OneDocument::default()));
    platform.supports_stale_reads.store(true, Ordering::Relaxed);
    let seeds = vec![([127, 0, 0, 1], 999).into()];
    let node = node_with(&fleet, 250, &platform, seeds, Arc::new(AllPartitioned), Arc::default());
    node.join().await;
    tokio::spawn(node.clone().run());
    assert!(node.platform_read_age_ms() > 1_000_000, "a stale read does not count as a read");
    sleep(Duration::from_millis(2_500)).await;
    assert!(node.platform_read_age_ms() < 2_500, "{}", node.platform_read_age_ms());
    let calls_then = calls(&node);
    sleep(Duration::from_secs(3)).await;
    assert!(calls(&node) <= calls_then + 1, "{} after {calls_then}", calls(&node));
}

#[tokio::test(start_paused = true)]
async fn an_inconsistent_document_is_active_but_not_sent_to_others() {
    let (fleet, platform) = (fleet(2), Arc::new(OneDocument::default()));
    platform.supports_stale_reads.store(true, Ordering::Relaxed);
    let seeds = vec![([127, 0, 0, 1], 999).into()];
    let node = node_with(&fleet, 0, &platform, seeds, Arc::new(AllPartitioned), Arc::default());
    node.join().await;
    assert_eq!(node.store().versions(), [(DocumentName::System, Version::new(1))]);
    // A consistent document replaces it unless it is older.
    let whole = |version| Document { name: DocumentName::Fleet, version, text: format!("whole {version}") };
    assert!(!node.apply(whole(Version::NONE)));
    assert!(node.apply(whole(Version::new(1))), "the same version, read consistently");
    assert_eq!(node.store().version(&DocumentName::Fleet), Version::new(1));
}

#[tokio::test(start_paused = true)]
async fn the_end_of_an_outage_is_reported_once_and_short_outages_are_ignored() {
    let (fleet, platform, acceptor) = (fleet(1), Arc::new(OneDocument::default()), Arc::default());
    let node = node_with(&fleet, 0, &platform, Vec::new(), Arc::new(AllPartitioned), Arc::clone(&acceptor));
    let expiries = || acceptor.expiries.load(Ordering::Relaxed);
    node.join().await;
    tokio::spawn(node.clone().run());
    sleep(Duration::from_secs(45)).await;
    assert_eq!(expiries(), 0, "nothing happened");
    platform.is_unavailable.store(true, Ordering::Relaxed);
    sleep(Duration::from_secs(60)).await;
    platform.is_unavailable.store(false, Ordering::Relaxed);
    sleep(Duration::from_secs(60)).await;
    assert_eq!(expiries(), 1, "a long outage has ended");
    let status = Exchange {
        versions_hash: 1,
        platform_read_age_ms: 0,
        platform_reads_from_age_ms: 0,
        outage_end_age_ms: Some(50_000),
        crashes_hash: 0,
        corrections_hash: 0,
        documents_age_ms: 0,
    };
    node.answer_exchange(&status);
    assert_eq!(expiries(), 1, "another node's report of the same end");
    let status = Exchange { outage_end_age_ms: Some(10), ..status };
    node.answer_exchange(&status);
    assert_eq!(expiries(), 2, "another node's report of a later end");
}

/// Guards against targets that are kept after their removal, because a connection to the platform that went silent passes for an
/// outage of the platform.
#[tokio::test(start_paused = true)]
async fn a_failed_connection_is_no_outage_unless_a_new_one_fails_too() {
    let (fleet, platform, acceptor) = (fleet(1), Arc::new(OneDocument::default()), Arc::default());
    let node = node_with(&fleet, 0, &platform, Vec::new(), Arc::new(AllPartitioned), Arc::clone(&acceptor));
    let expiries = || acceptor.expiries.load(Ordering::Relaxed);
    node.join().await;
    tokio::spawn(node.clone().run());
    for (failing_reads, expected) in [(1, 0), (2, 1)] {
        sleep(Duration::from_secs(45)).await;
        platform.failing_reads.store(failing_reads, Ordering::Relaxed);
        platform.all_have_failed().await;
        sleep(Duration::from_secs(3)).await;
        assert_eq!(expiries(), expected, "after {failing_reads} failed reads");
    }
}

/// Guards against outages that end just when a reader reads again and that are missed, since that read succeeds.
#[tokio::test(start_paused = true)]
async fn a_slow_read_after_a_failed_one_is_an_outage() {
    let (fleet, platform, acceptor) = (fleet(1), Arc::new(OneDocument::default()), Arc::default());
    let node = node_with(&fleet, 0, &platform, Vec::new(), Arc::new(AllPartitioned), Arc::clone(&acceptor));
    node.join().await;
    tokio::spawn(node.clone().run());
    sleep(Duration::from_secs(45)).await;
    platform.first_read_ms.store(700, Ordering::Relaxed);
    platform.failing_reads.store(1, Ordering::Relaxed);
    platform.all_have_failed().await;
    sleep(Duration::from_secs(3)).await;
    assert_eq!(acceptor.expiries.load(Ordering::Relaxed), 1);
}

// A node that was partitioned mistakes its own outage for the platform's. Other nodes believed it although
// they had read the platform all the time, and kept targets that had left.
#[tokio::test(start_paused = true)]
async fn an_outage_reported_by_a_partitioned_node_is_ignored() {
    let (fleet, platform, acceptor) = (fleet(300), Arc::new(OneDocument::default()), Arc::default());
    let node = node_with(&fleet, 250, &platform, Vec::new(), Arc::new(AllPartitioned), Arc::clone(&acceptor));
    let reads = Exchange {
        versions_hash: 1,
        platform_read_age_ms: 900,
        platform_reads_from_age_ms: 900,
        outage_end_age_ms: None,
        crashes_hash: 0,
        corrections_hash: 0,
        documents_age_ms: 0,
    };
    for _ in 0..20 {
        sleep(Duration::from_millis(500)).await;
        node.answer_exchange(&reads);
    }
    let back = Exchange { platform_read_age_ms: 20, outage_end_age_ms: Some(20), ..reads };
    node.answer_exchange(&back);
    assert_eq!(acceptor.expiries.load(Ordering::Relaxed), 0, "this node knows of reads in that time");
}

// A new node learns of reads before its own start. It reported them without their first read, and other
// nodes then ignored real outages.
#[tokio::test(start_paused = true)]
async fn a_new_node_forwards_reads_from_before_its_start_unchanged() {
    let (fleet, platform) = (fleet(2), Arc::new(OneDocument::default()));
    let node = node(&fleet, 0, &platform);
    sleep(Duration::from_millis(500)).await;
    let theirs = Exchange {
        versions_hash: 1,
        platform_read_age_ms: 100,
        platform_reads_from_age_ms: 5_000,
        outage_end_age_ms: None,
        crashes_hash: 0,
        corrections_hash: 0,
        documents_age_ms: 0,
    };
    let answer = node.answer_exchange(&theirs);
    let PeerAnswer::Versions(ours, _) = answer else { panic!("the node holds no documents: {answer:?}") };
    assert!((5_000..5_100).contains(&ours.platform_reads_from_age_ms), "{ours:?}");
}
