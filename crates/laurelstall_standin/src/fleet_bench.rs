//! Runs many real nodes in one process to measure configuration propagation and the cost of control traffic.

use crate::{
    harness::{Sockets, to_toml},
    harness_plan::PROGRAM,
    latency::LatencyHistogram,
    node_thread::NodeThread,
    partitions::{HostLink, Partitions},
    platform::{PlatformConnection, Snapshot, StandinPlatform},
    process::{cpu_s, memory_bytes},
    runtime_thread::RuntimeThread,
};
use laurelstall_config::{
    document::{DocumentName, Version},
    fleet::{Fleet, Host, HostState},
    settings::{CallerLimits, DecisionFormat, LogSettings, NodeSettings, PlatformSettings, Settings},
    system::{Distance, SystemLimits},
    team::{Service, ServiceLimits, Target, Team},
};
use laurelstall_node::node::{Listeners, NodeOptions};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use serde::Serialize;
use std::{
    collections::HashMap,
    net::{SocketAddr, TcpListener},
    sync::{Arc, atomic::Ordering},
    time::Instant as StdInstant,
};
use tokio::time::{Duration, sleep};

/// Number of services in the reference deployment.
pub const SERVICES: usize = 31;
/// Number of services that one team owns.
const SERVICES_PER_TEAM: usize = 3;
/// Data centres of the reference deployment, in two regions.
const DATA_CENTRES: [&str; 4] = ["north-1", "north-2", "south-1", "south-2"];
/// One-way network delay in µs within a region and between regions.
const ONE_WAY_US: (u64, u64) = (1_000, 15_000);
/// Number of threads that run all nodes.
const THREADS: usize = 7;
/// Interval in ms between two checks of the versions that nodes use.
const POLL_INTERVAL_MS: u64 = 4;
/// Time after which a change that has not taken effect on all nodes counts as overdue.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(30);
/// TCP/IP header bytes per message: one data packet and one acknowledgement.
const HEADER_BYTES_PER_MESSAGE: u64 = 104;
/// Longest time in ms that the platform holds a watch request open.
const WATCH_WAIT_MS: u64 = 30_000;

/// Fault that is active while changes are published.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disturbance {
    /// No fault.
    None,
    /// A fifth of the nodes are killed and restarted, one by one over the whole run.
    Restarts,
    /// A data centre is partitioned from the rest during the middle third of the run.
    Partition,
    /// The platform serves stale documents during the middle third of the run.
    Stale,
    /// The platform is unavailable during the middle third of the run.
    Unavailable,
    /// The platform is restored, at the end of the middle third, from a copy made at its start.
    Restored,
}

impl Disturbance {
    /// Returns the disturbance with this name on the command line.
    pub fn from_name(name: &str) -> Option<Self> {
        match name {
            "none" => Some(Self::None),
            "restarts" => Some(Self::Restarts),
            "cut" => Some(Self::Partition),
            "stale" => Some(Self::Stale),
            "away" => Some(Self::Unavailable),
            "returned" => Some(Self::Restored),
            _ => None,
        }
    }
}

/// Parameters of a fleet measurement.
#[derive(Debug, Clone, Copy)]
pub struct FleetPlan {
    /// Number of nodes.
    pub nodes: usize,
    /// Length of the run in s.
    pub seconds: u64,
    /// Interval between two changes in ms; 0 publishes no changes.
    pub change_interval_ms: u64,
    /// Fault to inject.
    pub disturbance: Disturbance,
    /// Seed of all random choices.
    pub seed: u64,
}

/// Result of a fleet measurement.
#[derive(Debug, Clone, Serialize)]
pub struct FleetResult {
    /// Number of nodes.
    pub nodes: usize,
    /// Number of changes published.
    pub changes: u64,
    /// Time until a change is active on a node, over all nodes and changes: median in ms.
    pub in_force_p50_ms: f64,
    /// 99th percentile of this time in ms.
    pub in_force_p99_ms: f64,
    /// Maximum of this time in ms.
    pub in_force_max_ms: f64,
    /// Number of changes that were not active on all nodes in time.
    pub overdue: u64,
    /// How often a node was observed with an older document version than before.
    pub fell_back: u64,
    /// Control traffic per node in bytes per second, both directions, with an estimate for TCP/IP headers.
    pub control_bytes_per_s_per_node: f64,
    /// Control messages per second per node, both directions.
    pub control_messages_per_s_per_node: f64,
    /// Control traffic of the busiest node in bytes per second.
    pub control_bytes_per_s_max_node: f64,
    /// Requests to the platform per second.
    pub platform_calls_per_s: f64,
    /// CPU usage per node as a share of one core.
    pub cpu_share_per_node: f64,
    /// Memory per node in bytes.
    pub memory_bytes_per_node: f64,
    /// Open connections per node, incoming and outgoing.
    pub connections_per_node: f64,
    /// Total size of all documents in bytes.
    pub configuration_bytes: usize,
    /// Time until all nodes joined the fleet, in ms.
    pub joined_ms: f64,
}

struct BenchNode {
    host: Host,
    node: Option<NodeThread>,
    addresses: [SocketAddr; 3],
    thread: Arc<RuntimeThread>,
}

struct FleetBench {
    plan: FleetPlan,
    platform: Arc<StandinPlatform>,
    partitions: Arc<Partitions>,
    nodes: Vec<BenchNode>,
    /// Last observed version of each document on each node, by index of the node, with the incarnation of the node.
    latest_versions: HashMap<(usize, DocumentName), (Version, Option<u64>)>,
    rollbacks: u64,
}

/// Runs a fleet measurement.
///
/// # Errors
///
/// Returns the error of the first node that fails to start or restart.
pub async fn run(plan: FleetPlan) -> Result<FleetResult, String> {
    let memory_before = memory_bytes();
    let started = StdInstant::now();
    let mut bench = FleetBench::start(plan).await?;
    let joined_ms = started.elapsed().as_secs_f64() * 1_000.0;
    // Waits until the nodes have established their connections.
    sleep(Duration::from_secs(3)).await;
    let memory = memory_bytes().saturating_sub(memory_before);
    let before = bench.control_traffic();
    let (calls_before, cpu_before_s) = (bench.platform.calls(), cpu_s());
    let measurement_start = StdInstant::now();
    let (latency, changes, overdue) = bench.publish_and_measure().await?;
    let length_s = measurement_start.elapsed().as_secs_f64();
    let cpu_spent_s = cpu_s() - cpu_before_s;
    let after = bench.control_traffic();
    let nodes = plan.nodes as f64;
    let deltas = after.iter().zip(&before).map(|(a, b)| (a.0.saturating_sub(b.0), a.1.saturating_sub(b.1)));
    let deltas = deltas.collect::<Vec<_>>();
    let bytes: u64 = deltas.iter().map(|(bytes, _)| bytes).sum();
    let messages: u64 = deltas.iter().map(|(_, messages)| messages).sum();
    let busiest_bytes = deltas.iter().map(|(bytes, _)| *bytes).max().unwrap_or(0);
    Ok(FleetResult {
        nodes: plan.nodes,
        changes,
        in_force_p50_ms: latency.percentile_ms(50.0),
        in_force_p99_ms: latency.percentile_ms(99.0),
        in_force_max_ms: latency.percentile_ms(100.0),
        overdue,
        fell_back: bench.rollbacks,
        control_bytes_per_s_per_node: bytes as f64 / length_s / nodes,
        control_messages_per_s_per_node: messages as f64 / length_s / nodes,
        control_bytes_per_s_max_node: busiest_bytes as f64 / length_s,
        platform_calls_per_s: (bench.platform.calls() - calls_before) as f64 / length_s,
        cpu_share_per_node: cpu_spent_s / length_s / nodes,
        memory_bytes_per_node: memory as f64 / nodes,
        connections_per_node: bench.connections() as f64 / nodes,
        configuration_bytes: bench.configuration_bytes(),
        joined_ms,
    })
}

impl FleetBench {
    async fn start(plan: FleetPlan) -> Result<Self, String> {
        let platform = StandinPlatform::new();
        let partitions = Arc::new(Partitions::default());
        let threads =
            (0..THREADS).map(|n| Arc::new(RuntimeThread::start(&format!("nodes-{n}")))).collect::<Vec<_>>();
        let mut nodes = Vec::new();
        let mut sockets = Vec::new();
        for index in 0..plan.nodes {
            let bound = Sockets::bind();
            let data_centre = DATA_CENTRES[index % DATA_CENTRES.len()].to_owned();
            partitions.set_data_centre(bound.peer.1, &data_centre);
            let host = Host {
                name: format!("host-{index:03}"),
                node_address: bound.peer.1,
                data_centre,
                state: HostState::Live,
            };
            let addresses = [bound.entry.1, bound.peer.1, bound.admin.1];
            let thread = threads[index % threads.len()].clone();
            nodes.push(BenchNode { host, node: None, addresses, thread });
            sockets.push(bound);
        }
        publish_documents(&platform, &nodes);
        let mut this =
            Self { plan, platform, partitions, nodes, latest_versions: HashMap::new(), rollbacks: 0 };
        let starting = sockets.into_iter().enumerate().map(|(index, sockets)| {
            let listeners =
                Listeners { entry: sockets.entry.0, peer: sockets.peer.0, admin: sockets.admin.0 };
            let thread = this.nodes[index].thread.clone();
            NodeThread::start(this.options(index, listeners), Some(thread))
        });
        let started = futures_util::future::join_all(starting.collect::<Vec<_>>()).await;
        for (bench_node, node) in this.nodes.iter_mut().zip(started) {
            bench_node.node = Some(node.map_err(|error| error.to_string())?);
        }
        Ok(this)
    }

    fn options(&self, index: usize, listeners: Listeners) -> NodeOptions {
        let bench_node = &self.nodes[index];
        let settings = Settings {
            node: NodeSettings {
                takes_unlisted_peers: false,
                stop_linger_ms: 1_000,
                host: bench_node.host.name.clone(),
                data_centre: bench_node.host.data_centre.clone(),
                entry_address: bench_node.addresses[0],
                peer_address: bench_node.addresses[1],
                admin_address: bench_node.addresses[2],
                stop_max_ms: 5_000,
                stop_grace_s: 0.0,
                link_mbps: 0.0,
            },
            target: None,
            platform: PlatformSettings {
                read_timeout_ms: 1_000,
                watch_wait_ms: WATCH_WAIT_MS,
                ..PlatformSettings::new(bench_node.addresses[2])
            },
            seeds: (1..=2).map(|step| self.nodes[(index + step) % self.nodes.len()].addresses[1]).collect(),
            callers: CallerLimits::default(),
            tokens: Vec::new(),
            log: LogSettings { decisions: DecisionFormat::Off, ..LogSettings::default() },
        };
        let mut options = NodeOptions::new(settings, listeners);
        options.seed = self.plan.seed * 100_000 + index as u64;
        options.link = Arc::new(HostLink {
            data_centre: bench_node.host.data_centre.clone(),
            partitions: self.partitions.clone(),
        });
        let flag = self.partitions.platform_partition_flag(&bench_node.host.data_centre);
        options.platform =
            Some(Arc::new(PlatformConnection::new(self.platform.clone(), flag, WATCH_WAIT_MS)));
        options
    }

    /// Publishes changes at the planned interval and tracks each until it is active on all nodes.
    ///
    /// Returns the propagation delays, the number of changes and the number of overdue changes.
    async fn publish_and_measure(&mut self) -> Result<(LatencyHistogram, u64, u64), String> {
        let mut rng = SmallRng::seed_from_u64(self.plan.seed);
        let mut latency = LatencyHistogram::new();
        let start = StdInstant::now();
        let length = Duration::from_secs(self.plan.seconds);
        let (mut changes, mut next_change_ms) = (0, self.plan.change_interval_ms);
        let mut pending: Vec<PendingChange> = Vec::new();
        let mut overdue = 0;
        let mut state = DisturbanceState::default();
        while start.elapsed() < length || (!pending.is_empty() && start.elapsed() < length + CHANGE_TIMEOUT) {
            sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
            let now_ms = start.elapsed().as_millis() as u64;
            self.apply_disturbance(&mut state, now_ms).await?;
            let is_due =
                self.plan.change_interval_ms > 0 && now_ms >= next_change_ms && start.elapsed() < length;
            if is_due {
                next_change_ms += self.plan.change_interval_ms;
                pending.push(self.publish_change(&mut rng));
                changes += 1;
            }
            for change in &mut pending {
                self.record_propagation(change, &mut latency);
            }
            overdue += pending.iter().filter(|change| change.is_overdue()).count() as u64;
            pending.retain(|change| !change.is_complete() && !change.is_overdue());
            self.count_version_rollbacks();
        }
        Ok((latency, changes, overdue + pending.len() as u64))
    }

    fn publish_change(&self, rng: &mut SmallRng) -> PendingChange {
        let teams = SERVICES.div_ceil(SERVICES_PER_TEAM);
        let team = rng.random_range(0..teams);
        let name = DocumentName::Team(format!("team-{team:02}"));
        let text = self.platform.text(&name).unwrap_or_default();
        // Simulates a deploy that changes one number of a service.
        let wait_ms = rng.random_range(500..1_500);
        let changed = text.lines().map(|line| match line.starts_with("queue_wait_max_ms") {
            true => format!("queue_wait_max_ms = {wait_ms}"),
            false => line.to_owned(),
        });
        let changed = changed.collect::<Vec<_>>().join("\n") + "\n";
        let version = self.platform.publish(&name, &changed);
        PendingChange {
            name,
            version,
            published_at: StdInstant::now(),
            is_active_on: vec![false; self.nodes.len()],
        }
    }

    fn record_propagation(&self, change: &mut PendingChange, latency: &mut LatencyHistogram) {
        for (index, bench_node) in self.nodes.iter().enumerate() {
            let Some(node) = &bench_node.node else { continue };
            if change.is_active_on[index]
                || node.active.load().configuration.version(&change.name) < change.version
            {
                continue;
            }
            change.is_active_on[index] = true;
            latency.add_us(change.published_at.elapsed().as_micros() as u64);
        }
    }

    fn count_version_rollbacks(&mut self) {
        for (index, bench_node) in self.nodes.iter().enumerate() {
            let Some(node) = &bench_node.node else { continue };
            let incarnation = node.guard.incarnation();
            for (name, version) in &node.active.load().configuration.versions {
                let latest = self
                    .latest_versions
                    .entry((index, name.clone()))
                    .or_insert((*version, Some(incarnation)));
                // A restarted node may lag until it has joined; from then on it must not use an older version than
                // its host used before.
                if *version < latest.0 && node.replicator.is_joined() {
                    self.rollbacks += 1;
                }
                *latest = (*version, Some(incarnation));
            }
        }
    }

    async fn apply_disturbance(&mut self, state: &mut DisturbanceState, now_ms: u64) -> Result<(), String> {
        let third_ms = self.plan.seconds * 1_000 / 3;
        let is_middle = (third_ms..2 * third_ms).contains(&now_ms);
        if self.plan.disturbance == Disturbance::Restarts {
            let due = (now_ms * self.nodes.len() as u64 / 5 / (self.plan.seconds * 1_000)) as usize;
            while state.restarted < due.min(self.nodes.len() / 5) {
                let index = state.restarted * 5;
                state.restarted += 1;
                self.restart(index).await?;
            }
            return Ok(());
        }
        if is_middle == state.is_on {
            return Ok(());
        }
        state.is_on = is_middle;
        match self.plan.disturbance {
            Disturbance::Partition => self.partitions.set_partitioned(DATA_CENTRES[1], is_middle),
            Disturbance::Stale => self.platform.set_stale(is_middle),
            Disturbance::Unavailable => self.platform.set_unavailable(is_middle),
            Disturbance::Restored => match state.copy.take() {
                Some(copy) => self.platform.restore(&copy),
                None => state.copy = Some(self.platform.snapshot()),
            },
            Disturbance::None | Disturbance::Restarts => {}
        }
        Ok(())
    }

    async fn restart(&mut self, index: usize) -> Result<(), String> {
        if let Some(node) = self.nodes[index].node.take() {
            node.kill().await;
        }
        let addresses = self.nodes[index].addresses;
        let bind = |address| TcpListener::bind(address).map_err(|error| format!("{address}: {error}"));
        let listeners =
            Listeners { entry: bind(addresses[0])?, peer: bind(addresses[1])?, admin: bind(addresses[2])? };
        let thread = self.nodes[index].thread.clone();
        let node = NodeThread::start(self.options(index, listeners), Some(thread)).await;
        self.nodes[index].node = Some(node.map_err(|error| error.to_string())?);
        Ok(())
    }

    /// Returns the bytes and messages of control traffic of each node so far.
    fn control_traffic(&self) -> Vec<(u64, u64)> {
        let traffic = |bench_node: &BenchNode| {
            let Some(node) = &bench_node.node else { return (0, 0) };
            let meter = node.meter();
            let load = |counter: &std::sync::atomic::AtomicU64| counter.load(Ordering::Relaxed);
            let messages = load(&meter.control_messages);
            let bytes = load(&meter.received_bytes) + load(&meter.sent_bytes);
            (bytes + messages * HEADER_BYTES_PER_MESSAGE, messages)
        };
        self.nodes.iter().map(traffic).collect()
    }

    fn connections(&self) -> u64 {
        let nodes = self.nodes.iter().filter_map(|bench_node| bench_node.node.as_ref());
        nodes.map(|node| node.meter().open.load(Ordering::Relaxed)).sum()
    }

    fn configuration_bytes(&self) -> usize {
        let teams = (0..SERVICES.div_ceil(SERVICES_PER_TEAM))
            .map(|team| DocumentName::Team(format!("team-{team:02}")));
        let names = teams.chain([DocumentName::Fleet, DocumentName::System]);
        names.filter_map(|name| self.platform.text(&name)).map(|text| text.len()).sum()
    }
}

#[derive(Debug, Default)]
struct DisturbanceState {
    is_on: bool,
    /// Copy that the platform is restored from.
    copy: Option<Snapshot>,
    restarted: usize,
}

struct PendingChange {
    name: DocumentName,
    version: Version,
    published_at: StdInstant,
    /// Whether the change is active, by index of the node.
    is_active_on: Vec<bool>,
}

impl PendingChange {
    fn is_complete(&self) -> bool {
        self.is_active_on.iter().all(|is_active| *is_active)
    }

    fn is_overdue(&self) -> bool {
        self.published_at.elapsed() > CHANGE_TIMEOUT
    }
}

fn publish_documents(platform: &Arc<StandinPlatform>, nodes: &[BenchNode]) {
    let fleet =
        Fleet { hosts: nodes.iter().map(|bench_node| bench_node.host.clone()).collect(), ..Fleet::default() };
    platform.publish(&DocumentName::Fleet, &to_toml(&fleet));
    platform.publish(&DocumentName::System, &to_toml(&system_limits()));
    for (name, text) in team_documents(nodes.len()) {
        platform.publish(&name, &text);
    }
}

fn system_limits() -> SystemLimits {
    let mut limits = SystemLimits::default();
    for (index, from) in DATA_CENTRES.iter().enumerate() {
        for to in &DATA_CENTRES[index + 1..] {
            let is_same_region = from[..5] == to[..5];
            let one_way_us = if is_same_region { ONE_WAY_US.0 } else { ONE_WAY_US.1 };
            limits.distances.push(Distance { from: (*from).to_owned(), to: (*to).to_owned(), one_way_us });
        }
    }
    limits
}

/// Returns the team documents of the reference deployment: [`SERVICES`] services that share `targets` targets.
pub fn team_documents(targets: usize) -> Vec<(DocumentName, String)> {
    let services = (0..SERVICES).map(|number| Service {
        load_path: String::new(),
        name: format!("service-{number:02}"),
        limits: ServiceLimits::default(),
        targets: (number..targets).step_by(SERVICES).map(target).collect(),
    });
    let services = services.collect::<Vec<_>>();
    let teams = services.chunks(SERVICES_PER_TEAM).enumerate();
    let document = |(number, services): (usize, &[Service])| {
        let team = Team {
            team: format!("team-{number:02}"),
            caller_hosts: vec![format!("team-{number:02}.example")],
            program: PROGRAM.to_owned(),
            routes: Vec::new(),
            services: services.to_vec(),
            ..Team::default()
        };
        (DocumentName::Team(team.team.clone()), to_toml(&team))
    };
    teams.map(document).collect()
}

fn target(index: usize) -> Target {
    Target {
        name: format!("target-{index:03}"),
        host: format!("host-{index:03}"),
        slots: 12,
        connections: 200,
        started_unix_ms: 0,
    }
}
