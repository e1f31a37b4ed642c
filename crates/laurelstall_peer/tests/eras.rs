//! Distribution of documents from a later era, whose version numbers are lower.

mod support;

use futures_util::future::{BoxFuture, FutureExt, pending};
use laurelstall_config::document::{Document, DocumentName, Version};
use laurelstall_peer::{
    attempt::AttemptHandler,
    message::{PeerAnswer, PeerRequest},
    platform::{Listing, PlatformError, PlatformSource, StaleListing},
    server::{PeerHandler, PeerServer},
};
use std::{net::IpAddr, sync::Arc};
use support::mesh::{Handler, HostLink, Mesh, node, version};
use tokio::{
    net::TcpListener,
    time::{Duration, Instant, sleep},
};

/// Maximum time until a version is active on all nodes.
const BOUND: Duration = Duration::from_secs(2);

fn list(version: Version) -> Document {
    Document { name: DocumentName::Fleet, version, text: format!("list {version}") }
}

/// Waits until all nodes hold this list, and returns how long that took.
async fn time_to_all(mesh: &Mesh, version: Version) -> Duration {
    let started = Instant::now();
    let text = list(version).text;
    let holds = |text: &str, node: usize| {
        let store = mesh.nodes[node].1.store();
        store.document(&DocumentName::Fleet).is_some_and(|document| document.text == text)
    };
    while !(0..mesh.nodes.len()).all(|node| holds(&text, node)) && started.elapsed() < 2 * BOUND {
        sleep(Duration::from_millis(10)).await;
    }
    started.elapsed()
}

#[tokio::test]
async fn readers_in_two_eras_and_partitioned_nodes_converge_on_the_later_era() {
    for seed in 1..=3 {
        let mesh = Mesh::start(9, seed).await;
        let old = Version::in_era(0, 100);
        mesh.nodes[0].1.apply(list(old));
        assert!(time_to_all(&mesh, old).await < BOUND, "seed {seed}");
        let (partitioned, _) = mesh.nodes[8];
        mesh.unreachable.add(partitioned);
        // One reader is in the new era already, while another one still takes a list of the old one.
        mesh.nodes[1].1.apply(list(Version::in_era(1, 7)));
        mesh.nodes[2].1.apply(list(Version::in_era(0, 101)));
        mesh.nodes[8].1.apply(list(Version::in_era(0, 102)));
        sleep(Duration::from_millis(500)).await;
        mesh.unreachable.remove(partitioned);
        let took = time_to_all(&mesh, Version::in_era(1, 7)).await;
        assert!(took < BOUND, "seed {seed}: {took:?}");
        // A second restore, before all nodes have the next list of the first one.
        mesh.nodes[3].1.apply(list(Version::in_era(1, 8)));
        mesh.nodes[4].1.apply(list(Version::in_era(2, 3)));
        let took = time_to_all(&mesh, Version::in_era(2, 3)).await;
        assert!(took < BOUND, "seed {seed}: {took:?}");
        assert!(mesh.nodes.iter().all(|(_, replicator)| replicator.platform_era() == 2));
    }
}

/// A node that answers everything but pulls.
#[derive(Debug)]
struct WithoutPulls(Handler);

impl PeerHandler for WithoutPulls {
    fn attempts(&self) -> &dyn AttemptHandler {
        self.0.attempts()
    }

    fn is_member(&self, ip: IpAddr) -> bool {
        self.0.is_member(ip)
    }

    fn answer(&self, from: IpAddr, request: PeerRequest) -> BoxFuture<'_, PeerAnswer> {
        match request {
            PeerRequest::Pull(_) => pending().boxed(),
            other => self.0.answer(from, other),
        }
    }
}

/// A platform that was restored from a copy with version 1, and supports stale reads.
#[derive(Debug)]
struct RestoredPlatform;

impl PlatformSource for RestoredPlatform {
    fn watch(&self, _: Option<u64>) -> BoxFuture<'_, Result<Listing, PlatformError>> {
        pending().boxed()
    }

    fn read_stale(&self) -> BoxFuture<'_, Result<Option<StaleListing>, PlatformError>> {
        let versions = vec![(DocumentName::System, Version::new(1))];
        async { Ok(Some(StaleListing { era: 1, versions, inconsistent: Vec::new() })) }.boxed()
    }

    fn read(&self, _: DocumentName) -> BoxFuture<'_, Result<Document, PlatformError>> {
        async { Ok(version(1)) }.boxed()
    }
}

// An abandoned pull from a slow seed blocked the pulls from other nodes, so that a new node kept the
// documents of the restored copy.
#[tokio::test]
async fn a_slow_seed_does_not_block_peers_with_newer_documents_than_the_copy() {
    let mesh = Mesh::start(5, 1).await;
    mesh.nodes[0].1.apply(version(2));
    mesh.time_to_all(2).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let seed = listener.local_addr().expect("it listens");
    let handler = Arc::new(WithoutPulls(Handler::new(mesh.nodes[0].1.clone())));
    let serving = tokio::spawn(PeerServer::new(handler, Arc::default()).serve(listener));
    let (own, _) = mesh.nodes[4];
    let link = Arc::new(HostLink::new(own, mesh.unreachable.clone()));
    let started = node(&mesh.fleet, 4, 9, link, Arc::new(RestoredPlatform));
    started.set_seeds(vec![seed]);
    started.join().await;
    assert_eq!(started.store().version(&DocumentName::System), Version::new(2));
    serving.abort();
}
