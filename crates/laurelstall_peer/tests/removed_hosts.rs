//! Distribution of lists of hosts to nodes that the list no longer contains.

mod support;

use laurelstall_config::{
    document::{Document, DocumentName, Version},
    fleet::{Fleet, Host, HostState},
    problem::ConfigError,
    system::ReplicationSettings,
};
use laurelstall_guard::clock::Clock;
use laurelstall_peer::{
    client::PeerClient,
    meter::Meter,
    pool::Pool,
    replicator::{ReplicationView, Replicator, ReplicatorOptions},
    server::PeerServer,
    store::Acceptor,
};
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, atomic::Ordering},
};
use support::mesh::{Handler, HostLink, HostPlatform, HostSet, Platform};
use tokio::{
    net::TcpListener,
    task::JoinSet,
    time::{Duration, Instant, sleep},
};

/// Maximum size of a document's text in bytes.
const DOCUMENT_BYTES_MAX: usize = 16 * 1024 * 1024;

/// Interval between exchanges that exceeds a test, in ms, so that only offers distribute versions.
const NO_EXCHANGES_MS: u64 = 60_000;
/// Maximum time to wait for a version.
const WAIT_MAX: Duration = Duration::from_secs(10);

/// The list of hosts that is active on a node.
#[derive(Debug)]
struct ActiveFleet {
    fleet: Mutex<Arc<Fleet>>,
    exchange_interval_ms: u64,
}

impl Acceptor for ActiveFleet {
    fn accept(&self, document: &Document) -> Result<(), ConfigError> {
        let fleet = Fleet::from_text("fleet", &document.text)?;
        *self.fleet.lock().expect("no test panics while it holds it") = Arc::new(fleet);
        Ok(())
    }
}

impl ReplicationView for ActiveFleet {
    fn fleet(&self) -> Arc<Fleet> {
        self.fleet.lock().expect("no test panics while it holds it").clone()
    }

    fn replication_settings(&self) -> ReplicationSettings {
        ReplicationSettings {
            exchange_interval_ms: self.exchange_interval_ms,
            ..ReplicationSettings::default()
        }
    }
}

/// Nodes with the same list of hosts, and a platform that answers none of them.
struct Rig {
    hosts: Vec<Host>,
    nodes: Vec<Arc<Replicator>>,
    /// Aborted when the rig is dropped.
    _tasks: JoinSet<()>,
}

impl Rig {
    async fn start(count: usize, exchange_interval_ms: u64) -> Self {
        let mut rig = Self { hosts: Vec::new(), nodes: Vec::new(), _tasks: JoinSet::new() };
        for number in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
            let node_address = listener.local_addr().expect("it listens");
            let name = format!("h-{number}");
            let replicator = node(&name, number as u64, node_address, exchange_interval_ms);
            let handler = Arc::new(Handler::new(replicator.clone()));
            rig._tasks.spawn(PeerServer::new(handler, Arc::default()).serve(listener));
            rig._tasks.spawn(replicator.clone().run());
            rig.nodes.push(replicator);
            rig.hosts.push(Host { name, node_address, data_centre: "dc".to_owned(), state: HostState::Live });
        }
        let list = rig.list(1, count);
        for node in &rig.nodes {
            assert!(node.apply(list.clone()));
        }
        rig
    }

    /// A list of the first `count` hosts.
    fn list(&self, number: u64, count: usize) -> Document {
        let fleet = Fleet { hosts: self.hosts[..count].to_vec(), ..Fleet::default() };
        let text = serde_json::to_string(&fleet).expect("a fleet can be serialized");
        Document { name: DocumentName::Fleet, version: Version::new(number), text }
    }

    /// Number of exchanges that a node has started.
    fn exchanges(&self, number: usize) -> u64 {
        self.nodes[number].counts.exchanges.load(Ordering::Relaxed)
    }

    /// Waits for a version of the list on a node, and returns whether it arrived in time.
    async fn receives(&self, number: usize, version: u64) -> bool {
        let started = Instant::now();
        while started.elapsed() < WAIT_MAX {
            if self.nodes[number].store().version(&DocumentName::Fleet) >= Version::new(version) {
                return true;
            }
            sleep(Duration::from_millis(10)).await;
        }
        false
    }
}

fn node(host: &str, seed: u64, peer_address: SocketAddr, exchange_interval_ms: u64) -> Arc<Replicator> {
    let options = ReplicatorOptions {
        host: host.to_owned(),
        data_centre: "dc".to_owned(),
        peer_address,
        seeds: Vec::new(),
        seed,
        document_bytes_max: DOCUMENT_BYTES_MAX,
    };
    let unreachable = Arc::<HostSet>::default();
    let link = Arc::new(HostLink::new(peer_address, unreachable.clone()));
    let platform = Arc::new(HostPlatform::new(peer_address, Arc::<Platform>::default(), unreachable));
    let clock = Clock::new();
    let client = PeerClient::new(Arc::new(Pool::new(clock, Arc::new(Meter::default()), link)));
    let active_fleet = Arc::new(ActiveFleet { fleet: Mutex::default(), exchange_interval_ms });
    Replicator::new(options, clock, client, platform, active_fleet.clone(), active_fleet)
}

// A node that the new list lacks is nobody's partner any more, so it learns of its removal only through an
// offer of that list.
#[tokio::test]
async fn a_node_whose_host_leaves_the_list_is_offered_that_list() {
    let rig = Rig::start(8, NO_EXCHANGES_MS).await;
    assert!(rig.nodes[0].apply(rig.list(2, 7)), "the reader takes a list without the last host");
    assert!(rig.receives(6, 2).await, "a listed node");
    assert!(rig.receives(7, 2).await, "the removed node");
}

// A node whose host is not listed is nobody's partner but still takes calls, so it learns of new versions
// only through its own exchanges.
#[tokio::test]
async fn a_node_whose_host_is_not_listed_exchanges_more_often() {
    let rig = Rig::start(8, 1_000).await;
    rig.nodes[0].apply(rig.list(2, 7));
    assert!(rig.receives(7, 2).await, "the removed node");
    let (listed_before, unlisted_before) = (rig.exchanges(6), rig.exchanges(7));
    while rig.exchanges(6) < listed_before + 5 {
        sleep(Duration::from_millis(20)).await;
    }
    let unlisted = rig.exchanges(7) - unlisted_before;
    assert!(unlisted > 10, "{unlisted} exchanges, while a listed node made 5");
}
