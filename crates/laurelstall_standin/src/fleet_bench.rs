//! Many real nodes in one process, to measure how configuration spreads and what control costs.

use crate::{
    cuts::{Cuts, HostLink},
    harness::{Sockets, to_toml},
    harness_plan::PROGRAM,
    latency::Latency,
    node_thread::NodeThread,
    platform::{PlatformWay, Snapshot, StandinPlatform},
    process::{cpu_s, memory_bytes},
    threads::RuntimeThread,
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

/// Services at the letter's size.
pub const SERVICES: usize = 31;
/// Services of one team.
const SERVICES_PER_TEAM: usize = 3;
/// Data centres at the letter's size, in two regions.
const DATA_CENTRES: [&str; 4] = ["north-1", "north-2", "south-1", "south-2"];
/// One-way time within and between regions in µs.
const ONE_WAY_US: (u64, u64) = (1_000, 15_000);
/// Threads that carry all nodes.
const THREADS: usize = 7;
/// Pause between two looks at what is in force, in ms.
const LOOK_MS: u64 = 4;
/// Longest wait for a change to be in force everywhere.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(30);
/// TCP/IP header bytes for each message: its own packet and an acknowledgement.
const HEADER_BYTES_PER_MESSAGE: u64 = 104;
/// Longest wait of a platform watch in ms.
const WATCH_WAIT_MS: u64 = 30_000;

/// What goes wrong while changes are published.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disturbance {
    /// Nothing.
    None,
    /// A fifth of the nodes are killed and started again, spread over the run.
    Restarts,
    /// A data centre is cut off for the middle third.
    Cut,
    /// The platform shows what it had at the start for the middle third.
    Stale,
    /// The platform is away for the middle third.
    Away,
    /// The platform comes back, after the middle third, from the copy that it had before it.
    Returned,
}

impl Disturbance {
    /// The one of this name.
    pub fn from_name(name: &str) -> Option<Self> {
        match name {
            "none" => Some(Self::None),
            "restarts" => Some(Self::Restarts),
            "cut" => Some(Self::Cut),
            "stale" => Some(Self::Stale),
            "away" => Some(Self::Away),
            "returned" => Some(Self::Returned),
            _ => None,
        }
    }
}

/// What to measure.
#[derive(Debug, Clone, Copy)]
pub struct FleetPlan {
    /// Nodes.
    pub nodes: usize,
    /// Length in s.
    pub seconds: u64,
    /// Pause between two changes in ms; 0 for none.
    pub change_interval_ms: u64,
    /// What goes wrong.
    pub disturbance: Disturbance,
    /// Seed of all random choices.
    pub seed: u64,
}

/// What was measured.
#[derive(Debug, Clone, Serialize)]
pub struct FleetResult {
    /// Nodes.
    pub nodes: usize,
    /// Changes published.
    pub changes: u64,
    /// Time until a change was in force, over all nodes and changes: median in ms.
    pub in_force_p50_ms: f64,
    /// 99th percentile in ms.
    pub in_force_p99_ms: f64,
    /// Longest in ms.
    pub in_force_max_ms: f64,
    /// Changes that were not in force somewhere when they were due.
    pub overdue: u64,
    /// Times a node was seen with an older version than before.
    pub fell_back: u64,
    /// Bytes a second a node, both directions, TCP/IP headers estimated.
    pub control_bytes_per_s_per_node: f64,
    /// Messages a second a node, both directions.
    pub control_messages_per_s_per_node: f64,
    /// Most bytes of the whole run at one node, a second.
    pub control_bytes_per_s_max_node: f64,
    /// Calls a second to the platform.
    pub platform_calls_per_s: f64,
    /// Share of a core for each node.
    pub cpu_share_per_node: f64,
    /// Memory for each node in bytes.
    pub memory_bytes_per_node: f64,
    /// Connections open for each node, both ways.
    pub connections_per_node: f64,
    /// Bytes of all documents.
    pub configuration_bytes: usize,
    /// Time until all nodes had joined, in ms.
    pub joined_ms: f64,
}

struct Member {
    host: Host,
    node: Option<NodeThread>,
    addresses: [SocketAddr; 3],
    thread: Arc<RuntimeThread>,
}

struct Bench {
    plan: FleetPlan,
    platform: Arc<StandinPlatform>,
    cuts: Arc<Cuts>,
    members: Vec<Member>,
    seen: HashMap<(usize, DocumentName), (Version, Option<u64>)>,
    fell_back: u64,
}

/// Runs the bench.
///
/// # Errors
///
/// What kept a node from starting.
pub async fn run(plan: FleetPlan) -> Result<FleetResult, String> {
    let memory_before = memory_bytes();
    let started = StdInstant::now();
    let mut bench = Bench::start(plan).await?;
    let joined_ms = started.elapsed().as_secs_f64() * 1_000.0;
    // Connections settle before anything is counted.
    sleep(Duration::from_secs(3)).await;
    let memory = memory_bytes().saturating_sub(memory_before);
    let before = bench.spent();
    let (calls_before, cpu_before_s) = (bench.platform.calls(), cpu_s());
    let measured = StdInstant::now();
    let (latency, changes, overdue) = bench.publish_and_watch().await?;
    let length_s = measured.elapsed().as_secs_f64();
    let cpu_spent_s = cpu_s() - cpu_before_s;
    let after = bench.spent();
    let nodes = plan.nodes as f64;
    let grown = after.iter().zip(&before).map(|(a, b)| (a.0.saturating_sub(b.0), a.1.saturating_sub(b.1)));
    let grown = grown.collect::<Vec<_>>();
    let bytes: u64 = grown.iter().map(|(bytes, _)| bytes).sum();
    let messages: u64 = grown.iter().map(|(_, messages)| messages).sum();
    let most = grown.iter().map(|(bytes, _)| *bytes).max().unwrap_or(0);
    Ok(FleetResult {
        nodes: plan.nodes,
        changes,
        in_force_p50_ms: latency.percentile_ms(50.0),
        in_force_p99_ms: latency.percentile_ms(99.0),
        in_force_max_ms: latency.percentile_ms(100.0),
        overdue,
        fell_back: bench.fell_back,
        control_bytes_per_s_per_node: bytes as f64 / length_s / nodes,
        control_messages_per_s_per_node: messages as f64 / length_s / nodes,
        control_bytes_per_s_max_node: most as f64 / length_s,
        platform_calls_per_s: (bench.platform.calls() - calls_before) as f64 / length_s,
        cpu_share_per_node: cpu_spent_s / length_s / nodes,
        memory_bytes_per_node: memory as f64 / nodes,
        connections_per_node: bench.connections() as f64 / nodes,
        configuration_bytes: bench.configuration_bytes(),
        joined_ms,
    })
}

impl Bench {
    async fn start(plan: FleetPlan) -> Result<Self, String> {
        let platform = StandinPlatform::new();
        let cuts = Arc::new(Cuts::default());
        let threads =
            (0..THREADS).map(|n| Arc::new(RuntimeThread::start(&format!("nodes-{n}")))).collect::<Vec<_>>();
        let mut members = Vec::new();
        let mut sockets = Vec::new();
        for index in 0..plan.nodes {
            let bound = Sockets::bind();
            let data_centre = DATA_CENTRES[index % DATA_CENTRES.len()].to_owned();
            cuts.place(bound.peer.1, &data_centre);
            let host = Host {
                name: format!("host-{index:03}"),
                node_address: bound.peer.1,
                data_centre,
                state: HostState::Live,
            };
            let addresses = [bound.entry.1, bound.peer.1, bound.admin.1];
            let thread = threads[index % threads.len()].clone();
            members.push(Member { host, node: None, addresses, thread });
            sockets.push(bound);
        }
        publish_documents(&platform, &members);
        let mut this = Self { plan, platform, cuts, members, seen: HashMap::new(), fell_back: 0 };
        let starting = sockets.into_iter().enumerate().map(|(index, sockets)| {
            let listeners =
                Listeners { entry: sockets.entry.0, peer: sockets.peer.0, admin: sockets.admin.0 };
            let thread = this.members[index].thread.clone();
            NodeThread::start(this.options(index, listeners), Some(thread))
        });
        let started = futures_util::future::join_all(starting.collect::<Vec<_>>()).await;
        for (member, node) in this.members.iter_mut().zip(started) {
            member.node = Some(node.map_err(|error| error.to_string())?);
        }
        Ok(this)
    }

    fn options(&self, index: usize, listeners: Listeners) -> NodeOptions {
        let member = &self.members[index];
        let settings = Settings {
            node: NodeSettings {
                takes_unlisted_peers: false,
                stop_linger_ms: 1_000,
                host: member.host.name.clone(),
                data_centre: member.host.data_centre.clone(),
                entry_address: member.addresses[0],
                peer_address: member.addresses[1],
                admin_address: member.addresses[2],
                stop_max_ms: 5_000,
                stop_grace_s: 0.0,
            },
            target: None,
            platform: PlatformSettings {
                read_timeout_ms: 1_000,
                watch_wait_ms: WATCH_WAIT_MS,
                ..PlatformSettings::new(member.addresses[2])
            },
            seeds: (1..=2)
                .map(|step| self.members[(index + step) % self.members.len()].addresses[1])
                .collect(),
            callers: CallerLimits::default(),
            tokens: Vec::new(),
            log: LogSettings { decisions: DecisionFormat::Off, ..LogSettings::default() },
        };
        let mut options = NodeOptions::new(settings, listeners);
        options.seed = self.plan.seed * 100_000 + index as u64;
        options.link =
            Arc::new(HostLink { data_centre: member.host.data_centre.clone(), cuts: self.cuts.clone() });
        let flag = self.cuts.platform_flag(&member.host.data_centre);
        options.platform = Some(Arc::new(PlatformWay::new(self.platform.clone(), flag, WATCH_WAIT_MS)));
        options
    }

    /// Publishes changes at their pace and watches each until it is in force everywhere.
    async fn publish_and_watch(&mut self) -> Result<(Latency, u64, u64), String> {
        let mut rng = SmallRng::seed_from_u64(self.plan.seed);
        let mut latency = Latency::new();
        let start = StdInstant::now();
        let length = Duration::from_secs(self.plan.seconds);
        let (mut changes, mut next_change_ms) = (0, self.plan.change_interval_ms);
        let mut pending: Vec<Pending> = Vec::new();
        let mut overdue = 0;
        let mut disturbed = Disturbed::default();
        while start.elapsed() < length || (!pending.is_empty() && start.elapsed() < length + CHANGE_TIMEOUT) {
            sleep(Duration::from_millis(LOOK_MS)).await;
            let now_ms = start.elapsed().as_millis() as u64;
            self.disturb(&mut disturbed, now_ms).await?;
            let is_due =
                self.plan.change_interval_ms > 0 && now_ms >= next_change_ms && start.elapsed() < length;
            if is_due {
                next_change_ms += self.plan.change_interval_ms;
                pending.push(self.publish_change(&mut rng));
                changes += 1;
            }
            for change in &mut pending {
                self.look(change, &mut latency);
            }
            overdue += pending.iter().filter(|change| change.is_overdue()).count() as u64;
            pending.retain(|change| !change.is_over() && !change.is_overdue());
            self.watch_for_falls();
        }
        Ok((latency, changes, overdue + pending.len() as u64))
    }

    fn publish_change(&self, rng: &mut SmallRng) -> Pending {
        let teams = SERVICES.div_ceil(SERVICES_PER_TEAM);
        let team = rng.random_range(0..teams);
        let name = DocumentName::Team(format!("team-{team:02}"));
        let text = self.platform.text(&name).unwrap_or_default();
        // As a deploy does: one number of one service is another.
        let wait_ms = rng.random_range(500..1_500);
        let changed = text.lines().map(|line| match line.starts_with("queue_wait_max_ms") {
            true => format!("queue_wait_max_ms = {wait_ms}"),
            false => line.to_owned(),
        });
        let changed = changed.collect::<Vec<_>>().join("\n") + "\n";
        let version = self.platform.publish(&name, &changed);
        Pending { name, version, at: StdInstant::now(), has: vec![false; self.members.len()] }
    }

    fn look(&self, change: &mut Pending, latency: &mut Latency) {
        for (index, member) in self.members.iter().enumerate() {
            let Some(node) = &member.node else { continue };
            if change.has[index] || node.active.load().configuration.version(&change.name) < change.version {
                continue;
            }
            change.has[index] = true;
            latency.add_us(change.at.elapsed().as_micros() as u64);
        }
    }

    fn watch_for_falls(&mut self) {
        for (index, member) in self.members.iter().enumerate() {
            let Some(node) = &member.node else { continue };
            let start = node.guard.incarnation();
            for (name, version) in &node.active.load().configuration.versions {
                let seen = self.seen.entry((index, name.clone())).or_insert((*version, Some(start)));
                // A node that was started again may lag, but must not serve what is older than
                // what its host had served, once it has joined.
                if *version < seen.0 && node.replicator.is_joined() {
                    self.fell_back += 1;
                }
                *seen = (*version, Some(start));
            }
        }
    }

    async fn disturb(&mut self, disturbed: &mut Disturbed, now_ms: u64) -> Result<(), String> {
        let third_ms = self.plan.seconds * 1_000 / 3;
        let is_middle = (third_ms..2 * third_ms).contains(&now_ms);
        if self.plan.disturbance == Disturbance::Restarts {
            let due = (now_ms * self.members.len() as u64 / 5 / (self.plan.seconds * 1_000)) as usize;
            while disturbed.restarted < due.min(self.members.len() / 5) {
                let index = disturbed.restarted * 5;
                disturbed.restarted += 1;
                self.restart(index).await?;
            }
            return Ok(());
        }
        if is_middle == disturbed.is_on {
            return Ok(());
        }
        disturbed.is_on = is_middle;
        match self.plan.disturbance {
            Disturbance::Cut => self.cuts.set_cut(DATA_CENTRES[1], is_middle),
            Disturbance::Stale => self.platform.set_stale(is_middle),
            Disturbance::Away => self.platform.set_away(is_middle),
            Disturbance::Returned => match disturbed.copy.take() {
                Some(copy) => self.platform.return_from(&copy),
                None => disturbed.copy = Some(self.platform.snapshot()),
            },
            Disturbance::None | Disturbance::Restarts => {}
        }
        Ok(())
    }

    async fn restart(&mut self, index: usize) -> Result<(), String> {
        if let Some(node) = self.members[index].node.take() {
            node.kill().await;
        }
        let addresses = self.members[index].addresses;
        let bind = |address| TcpListener::bind(address).map_err(|error| format!("{address}: {error}"));
        let listeners =
            Listeners { entry: bind(addresses[0])?, peer: bind(addresses[1])?, admin: bind(addresses[2])? };
        let thread = self.members[index].thread.clone();
        let node = NodeThread::start(self.options(index, listeners), Some(thread)).await;
        self.members[index].node = Some(node.map_err(|error| error.to_string())?);
        Ok(())
    }

    /// Bytes and messages that each node spent so far.
    fn spent(&self) -> Vec<(u64, u64)> {
        let of = |member: &Member| {
            let Some(node) = &member.node else { return (0, 0) };
            let meter = node.meter();
            let load = |counter: &std::sync::atomic::AtomicU64| counter.load(Ordering::Relaxed);
            let messages = load(&meter.control_messages);
            let bytes = load(&meter.received_bytes) + load(&meter.sent_bytes);
            (bytes + messages * HEADER_BYTES_PER_MESSAGE, messages)
        };
        self.members.iter().map(of).collect()
    }

    fn connections(&self) -> u64 {
        let nodes = self.members.iter().filter_map(|member| member.node.as_ref());
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
struct Disturbed {
    is_on: bool,
    /// What the platform comes back from.
    copy: Option<Snapshot>,
    restarted: usize,
}

struct Pending {
    name: DocumentName,
    version: Version,
    at: StdInstant,
    has: Vec<bool>,
}

impl Pending {
    fn is_over(&self) -> bool {
        self.has.iter().all(|has| *has)
    }

    fn is_overdue(&self) -> bool {
        self.at.elapsed() > CHANGE_TIMEOUT
    }
}

fn publish_documents(platform: &Arc<StandinPlatform>, members: &[Member]) {
    let fleet =
        Fleet { hosts: members.iter().map(|member| member.host.clone()).collect(), ..Fleet::default() };
    platform.publish(&DocumentName::Fleet, &to_toml(&fleet));
    platform.publish(&DocumentName::System, &to_toml(&system_limits()));
    for (name, text) in team_documents(members.len()) {
        platform.publish(&name, &text);
    }
}

fn system_limits() -> SystemLimits {
    let mut limits = SystemLimits::default();
    for (index, from) in DATA_CENTRES.iter().enumerate() {
        for to in &DATA_CENTRES[index + 1..] {
            let is_near = from[..5] == to[..5];
            let one_way_us = if is_near { ONE_WAY_US.0 } else { ONE_WAY_US.1 };
            limits.distances.push(Distance { from: (*from).to_owned(), to: (*to).to_owned(), one_way_us });
        }
    }
    limits
}

/// Team documents of the letter's size: [`SERVICES`] services over `targets` targets.
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
