//! The nodes of a fleet measurement: starts them on a few threads, and restarts single ones.

use super::{
    FleetPlan,
    reference_deployment::{DATA_CENTRES, publish_documents},
};
use crate::{
    harness::Sockets,
    node_thread::NodeThread,
    partitions::{HostLink, Partitions},
    platform::{PlatformConnection, StandinPlatform},
    runtime_thread::RuntimeThread,
};
use futures_util::future::join_all;
use laurelstall_config::{
    document::{DocumentName, Version},
    fleet::{Host, HostState},
    settings::{CallerLimits, DecisionFormat, LogSettings, NodeSettings, PlatformSettings, Settings},
};
use laurelstall_node::node::{Listeners, NodeOptions};
use std::{
    collections::HashMap,
    net::{SocketAddr, TcpListener},
    sync::Arc,
};

/// Number of threads that run all nodes.
const THREADS: usize = 7;
/// Longest time in ms that the platform holds a watch request open.
const WATCH_WAIT_MS: u64 = 30_000;
/// Number of other nodes that a node knows as seeds when it starts.
const SEED_NODES: usize = 2;
/// Distance of the random seeds of two runs; larger than the number of nodes, so that no two nodes share one.
const SEEDS_PER_RUN: u64 = 100_000;

/// A node of the measurement, with what it needs for a restart at the same addresses.
pub(super) struct BenchNode {
    pub(super) host: Host,
    /// `None` until it was started and while it is restarted.
    pub(super) node: Option<NodeThread>,
    addresses: NodeAddresses,
    thread: Arc<RuntimeThread>,
}

#[derive(Debug, Clone, Copy)]
struct NodeAddresses {
    entry: SocketAddr,
    peer: SocketAddr,
    admin: SocketAddr,
}

/// All nodes of a measurement, with the platform and the network between them.
pub(super) struct BenchFleet {
    pub(super) plan: FleetPlan,
    pub(super) platform: Arc<StandinPlatform>,
    pub(super) partitions: Arc<Partitions>,
    pub(super) nodes: Vec<BenchNode>,
    /// Last observed version of each document on each node, by index of the node.
    pub(super) latest_versions: HashMap<(usize, DocumentName), Version>,
    /// How often a node was observed with an older document version than before.
    pub(super) rollbacks: u64,
}

impl BenchFleet {
    /// Publishes the reference deployment and starts all nodes; returns when they have joined.
    pub(super) async fn start(plan: FleetPlan) -> Result<Self, String> {
        let partitions = Arc::new(Partitions::default());
        let threads =
            (0..THREADS).map(|n| Arc::new(RuntimeThread::start(&format!("nodes-{n}")))).collect::<Vec<_>>();
        let mut nodes = Vec::new();
        let mut listeners = Vec::new();
        for index in 0..plan.nodes {
            let sockets = Sockets::bind();
            let node = BenchNode::new(index, &sockets, threads[index % threads.len()].clone());
            partitions.set_data_centre(node.addresses.peer, &node.host.data_centre);
            nodes.push(node);
            listeners.push(Listeners {
                entry: sockets.entry.0,
                peer: sockets.peer.0,
                admin: sockets.admin.0,
            });
        }
        let platform = StandinPlatform::new();
        publish_documents(&platform, nodes.iter().map(|node| node.host.clone()).collect());
        let mut fleet =
            Self { plan, platform, partitions, nodes, latest_versions: HashMap::new(), rollbacks: 0 };
        fleet.start_nodes(listeners).await?;
        Ok(fleet)
    }

    /// Starts all nodes at the same time on these sockets, one for each node.
    async fn start_nodes(&mut self, listeners: Vec<Listeners>) -> Result<(), String> {
        let starting = listeners.into_iter().enumerate().map(|(index, listeners)| {
            let thread = self.nodes[index].thread.clone();
            NodeThread::start(self.options(index, listeners), Some(thread))
        });
        let started = join_all(starting.collect::<Vec<_>>()).await;
        for (bench_node, node) in self.nodes.iter_mut().zip(started) {
            bench_node.node = Some(node.map_err(|error| error.to_string())?);
        }
        Ok(())
    }

    /// Kills a node and starts it again at the same addresses.
    pub(super) async fn restart(&mut self, index: usize) -> Result<(), String> {
        if let Some(node) = self.nodes[index].node.take() {
            node.kill().await;
        }
        let listeners = self.nodes[index].addresses.bind()?;
        let thread = self.nodes[index].thread.clone();
        let node = NodeThread::start(self.options(index, listeners), Some(thread)).await;
        self.nodes[index].node = Some(node.map_err(|error| error.to_string())?);
        Ok(())
    }

    fn options(&self, index: usize, listeners: Listeners) -> NodeOptions {
        let data_centre = &self.nodes[index].host.data_centre;
        let mut options = NodeOptions::new(self.settings(index), listeners);
        options.seed = self.plan.seed * SEEDS_PER_RUN + index as u64;
        options.link =
            Arc::new(HostLink { data_centre: data_centre.clone(), partitions: self.partitions.clone() });
        let flag = self.partitions.platform_partition_flag(data_centre);
        options.platform =
            Some(Arc::new(PlatformConnection::new(self.platform.clone(), flag, WATCH_WAIT_MS)));
        options
    }

    fn settings(&self, index: usize) -> Settings {
        let BenchNode { host, addresses, .. } = &self.nodes[index];
        let next_nodes = (1..=SEED_NODES).map(|step| &self.nodes[(index + step) % self.nodes.len()]);
        Settings {
            node: NodeSettings {
                takes_unlisted_peers: false,
                stop_linger_ms: 1_000,
                host: host.name.clone(),
                data_centre: host.data_centre.clone(),
                entry_address: addresses.entry,
                peer_address: addresses.peer,
                admin_address: addresses.admin,
                stop_max_ms: 5_000,
                stop_grace_s: 0.0,
                link_mbps: 0.0,
            },
            target: None,
            platform: PlatformSettings {
                read_timeout_ms: 1_000,
                watch_wait_ms: WATCH_WAIT_MS,
                ..PlatformSettings::new(addresses.admin)
            },
            seeds: next_nodes.map(|bench_node| bench_node.addresses.peer).collect(),
            callers: CallerLimits::default(),
            tokens: Vec::new(),
            log: LogSettings { decisions: DecisionFormat::Off, ..LogSettings::default() },
        }
    }
}

impl BenchNode {
    /// Creates a node that is not started yet.
    fn new(index: usize, sockets: &Sockets, thread: Arc<RuntimeThread>) -> Self {
        let host = Host {
            name: format!("host-{index:03}"),
            node_address: sockets.peer.1,
            data_centre: DATA_CENTRES[index % DATA_CENTRES.len()].to_owned(),
            state: HostState::Live,
        };
        let addresses =
            NodeAddresses { entry: sockets.entry.1, peer: sockets.peer.1, admin: sockets.admin.1 };
        Self { host, node: None, addresses, thread }
    }
}

impl NodeAddresses {
    fn bind(self) -> Result<Listeners, String> {
        let bind = |address| TcpListener::bind(address).map_err(|error| format!("{address}: {error}"));
        Ok(Listeners { entry: bind(self.entry)?, peer: bind(self.peer)?, admin: bind(self.admin)? })
    }
}
