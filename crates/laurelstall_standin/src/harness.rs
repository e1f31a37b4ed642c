//! Starts the platform, targets and nodes of one deployment on the loopback interface.

use crate::{
    call_uri::CALLER_HOST,
    harness_plan::{HarnessPlan, ServicePlan},
    node_thread::NodeThread,
    partitions::{HostLink, Partitions},
    platform::{PlatformConnection, StandinPlatform},
    run_records::RunRecords,
    runtime_thread::RuntimeThread,
    target::{StandinTarget, TargetPlan, Targets, listen},
};
use laurelstall_config::{
    document::DocumentName,
    fleet::{Fleet, Host, HostState},
    settings::{
        CallerLimits, DecisionFormat, LogSettings, NodeSettings, PlatformSettings, Settings, TargetHttp,
        TargetSettings,
    },
    system::{Distance, SystemLimits},
    team::{Service, Target, Team},
};
use laurelstall_node::node::{Listeners, NodeError, NodeOptions};
use std::{
    net::{SocketAddr, TcpListener as StdListener},
    sync::{Arc, Mutex, PoisonError, RwLock},
};

/// The team that owns all stand-in services.
pub const TEAM: &str = "standin";
/// Longest time in ms that the platform holds a watch request open.
const WATCH_WAIT_MS: u64 = 10_000;

/// A host that runs one target and one node.
#[derive(Debug)]
pub struct HarnessHost {
    /// Name of the host.
    pub name: String,
    /// Data centre that the host is in.
    pub data_centre: String,
    /// Name of the service that the target belongs to.
    pub service: String,
    /// Address that the target listens on.
    pub target_address: SocketAddr,
    /// The running node; `None` before the start and after a stop.
    pub node: Option<Arc<NodeThread>>,
}

/// A running deployment.
#[derive(Debug)]
pub struct Harness {
    /// The plan that the deployment was started from.
    pub plan: HarnessPlan,
    /// The stand-in platform.
    pub platform: Arc<StandinPlatform>,
    /// The stand-in targets.
    pub targets: Arc<Targets>,
    /// The calls that the targets executed.
    pub records: Arc<RunRecords>,
    /// The active network partitions.
    pub partitions: Arc<Partitions>,
    hosts: Mutex<Vec<HarnessHost>>,
    peer_addresses: RwLock<Vec<SocketAddr>>,
    _target_threads: Vec<RuntimeThread>,
}

/// Number of seed nodes that a node contacts before it knows the fleet.
const SEED_NODES: usize = 2;
/// Number of threads that run targets.
const TARGET_THREADS: usize = 2;

impl Harness {
    /// Starts the platform, targets and nodes, and waits until all nodes serve.
    ///
    /// # Errors
    ///
    /// Returns the error of the first node that fails to start.
    pub async fn start(plan: HarnessPlan) -> Result<Self, NodeError> {
        let platform = StandinPlatform::new();
        let targets = Arc::new(Targets::default());
        let records = Arc::new(RunRecords::default());
        let partitions = Arc::new(Partitions::default());
        let threads =
            (0..TARGET_THREADS).map(|n| RuntimeThread::start(&format!("targets-{n}"))).collect::<Vec<_>>();
        let mut hosts = Vec::new();
        let mut sockets = Vec::new();
        for service in &plan.services {
            for number in 1..=service.targets {
                let index = hosts.len();
                let (listener, target_address) = listen();
                let target_plan = TargetPlan {
                    name: format!("{}-{number}", service.name),
                    slots: service.slots,
                    service_mean_ms: service.service_mean_ms,
                    accept_delay_ms: plan.accept_delay_ms,
                    seed: plan.seed.wrapping_mul(1_000) + index as u64,
                };
                let (targets, records) = (targets.clone(), records.clone());
                let thread = &threads[index % threads.len()];
                let started = thread.handle().spawn(async move {
                    targets.add(StandinTarget::start(target_plan, records, listener));
                });
                started.await.expect("starting a target does not panic");
                let data_centre = plan.data_centres[index % plan.data_centres.len()].clone();
                let listeners = Sockets::bind();
                partitions.set_data_centre(listeners.peer.1, &data_centre);
                hosts.push(HarnessHost {
                    name: format!("{}-{number}-host", service.name),
                    data_centre,
                    service: service.name.clone(),
                    target_address,
                    node: None,
                });
                sockets.push(listeners);
            }
        }
        let this = Self {
            plan,
            platform,
            targets,
            records,
            partitions,
            hosts: Mutex::new(hosts),
            peer_addresses: RwLock::new(sockets.iter().map(|sockets| sockets.peer.1).collect()),
            _target_threads: threads,
        };
        this.publish_all(&sockets);
        this.start_nodes(sockets).await?;
        Ok(this)
    }

    /// Returns the running nodes with the names of their hosts.
    pub fn nodes(&self) -> Vec<(String, Arc<NodeThread>)> {
        let hosts = self.hosts();
        hosts.iter().filter_map(|host| Some((host.name.clone(), host.node.clone()?))).collect()
    }

    /// Returns the node on `host`; `None` if the host is unknown or its node is stopped.
    pub fn node(&self, host: &str) -> Option<Arc<NodeThread>> {
        self.hosts().iter().find(|other| other.name == host)?.node.clone()
    }

    /// Removes the node of `host` from the deployment, so that the caller can stop or drop it.
    pub fn take_node(&self, host: &str) -> Option<Arc<NodeThread>> {
        self.hosts().iter_mut().find(|other| other.name == host)?.node.take()
    }

    /// Starts a node on `host` again, on the addresses that the stopped node had.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound or the node fails to start.
    pub async fn restart_node(
        &self,
        host: &str,
        entry: SocketAddr,
        peer: SocketAddr,
        admin: SocketAddr,
    ) -> Result<(), NodeError> {
        let bind = |address| StdListener::bind(address).map_err(|error| NodeError::Listen(address, error));
        let sockets =
            Sockets { entry: (bind(entry)?, entry), peer: (bind(peer)?, peer), admin: (bind(admin)?, admin) };
        let options = {
            let hosts = self.hosts();
            let index = hosts.iter().position(|other| other.name == host).unwrap_or(0);
            self.node_options(&hosts[index], index, sockets)
        };
        let node = NodeThread::start(options, None).await?;
        if let Some(state) = self.hosts().iter_mut().find(|other| other.name == host) {
            state.node = Some(Arc::new(node));
        }
        Ok(())
    }

    /// Returns the name of the host with this number, counted from 1.
    pub fn host_name(&self, number: usize) -> Option<String> {
        let hosts = self.hosts();
        number.checked_sub(1).and_then(|index| hosts.get(index)).map(|host| host.name.clone())
    }

    /// Returns the sum of the counter `name` over all running nodes.
    pub fn counter_total(&self, name: &str) -> u64 {
        let value = |node: &NodeThread| {
            let all = node.counters.all();
            all.iter().find(|(other, _)| *other == name).map_or(0, |(_, count)| *count)
        };
        self.nodes().iter().map(|(_, node)| value(node)).sum()
    }

    /// Returns the highest ratio of attempts to calls at any level of a call chain with `levels` levels; 0 without a
    /// chain.
    ///
    /// The calls of a level are the nested calls that the targets one level above it made.
    pub fn attempts_per_call_max_level(&self, levels: usize, calls: u64) -> f64 {
        let attempts_and_nested_calls = |level: usize| {
            let names = (1..=2).map(|number| format!("level-{level}-{number}"));
            let targets = names.filter_map(|name| self.targets.get(&name));
            targets.fold((0, 0), |(attempts, made), target| {
                (attempts + target.requests_received(), made + target.calls_made())
            })
        };
        if levels < 2 {
            return 0.0;
        }
        let mut level_calls = calls;
        let mut highest: f64 = 0.0;
        for level in 1..=levels {
            let (attempts, next_calls) = attempts_and_nested_calls(level);
            if level_calls > 0 {
                highest = highest.max(attempts as f64 / level_calls as f64);
            }
            level_calls = next_calls;
        }
        highest
    }

    /// Returns the addresses of a service's targets, for direct calls that bypass the nodes.
    pub fn target_addresses(&self, service: &str) -> Vec<SocketAddr> {
        let hosts = self.hosts();
        hosts.iter().filter(|host| host.service == service).map(|host| host.target_address).collect()
    }

    /// Sets the state of a host in the host list that the platform publishes.
    pub fn set_host_state(&self, host: &str, state: HostState) {
        self.update_fleet(|fleet| {
            if let Some(host) = fleet.hosts.iter_mut().find(|other| other.name == host) {
                host.state = state;
            }
        });
    }

    /// Marks a data centre as evacuated in the published host list, or removes the mark.
    pub fn set_evacuated(&self, data_centre: &str, is_evacuated: bool) {
        self.update_fleet(|fleet| {
            fleet.evacuated.retain(|other| other != data_centre);
            if is_evacuated {
                fleet.evacuated.push(data_centre.to_owned());
            }
        });
    }

    fn update_fleet(&self, change: impl FnOnce(&mut Fleet)) {
        let text = self.platform.text(&DocumentName::Fleet).unwrap_or_default();
        let mut fleet = Fleet::from_text("fleet", &text).unwrap_or_default();
        change(&mut fleet);
        self.platform.publish(&DocumentName::Fleet, &to_toml(&fleet));
    }

    fn hosts(&self) -> std::sync::MutexGuard<'_, Vec<HarnessHost>> {
        self.hosts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn publish_all(&self, sockets: &[Sockets]) {
        let hosts = self.hosts();
        let host = |(host, sockets): (&HarnessHost, &Sockets)| Host {
            name: host.name.clone(),
            node_address: sockets.peer.1,
            data_centre: host.data_centre.clone(),
            state: HostState::Live,
        };
        let fleet = Fleet { hosts: hosts.iter().zip(sockets).map(host).collect(), ..Fleet::default() };
        self.platform.publish(&DocumentName::Fleet, &to_toml(&fleet));
        self.platform.publish(&DocumentName::System, &to_toml(&self.system_limits()));
        self.platform.publish(&DocumentName::Team(TEAM.to_owned()), &to_toml(&self.team()));
    }

    fn system_limits(&self) -> SystemLimits {
        let data_centres = &self.plan.data_centres;
        let mut limits = SystemLimits { observe: self.plan.observe, ..SystemLimits::default() };
        for (index, from) in data_centres.iter().enumerate() {
            for to in &data_centres[index + 1..] {
                let one_way_us = self.plan.one_way_us;
                limits.distances.push(Distance { from: from.clone(), to: to.clone(), one_way_us });
            }
        }
        limits
    }

    fn team(&self) -> Team {
        let service = |plan: &ServicePlan| Service {
            load_path: String::new(),
            name: plan.name.clone(),
            limits: plan.limits,
            targets: (1..=plan.targets).map(|number| target(plan, number)).collect(),
        };
        Team {
            team: TEAM.to_owned(),
            caller_hosts: vec![CALLER_HOST.to_owned()],
            program: self.plan.program.clone(),
            routes: Vec::new(),
            services: self.plan.services.iter().map(service).collect(),
            ..Team::default()
        }
    }

    async fn start_nodes(&self, sockets: Vec<Sockets>) -> Result<(), NodeError> {
        let options = {
            let hosts = self.hosts();
            let options = hosts.iter().zip(sockets).enumerate();
            options
                .map(|(index, (host, sockets))| self.node_options(host, index, sockets))
                .collect::<Vec<_>>()
        };
        let started = options.into_iter().map(|options| NodeThread::start(options, None));
        for (index, node) in futures_util::future::join_all(started).await.into_iter().enumerate() {
            let node = node?;
            let host = &mut self.hosts()[index];
            if let Some(target) = self.targets.get(host.name.trim_end_matches("-host")) {
                target.set_entry_address(node.entry_address);
            }
            host.node = Some(Arc::new(node));
        }
        Ok(())
    }

    /// Returns the peer addresses of the hosts that follow `index` in the list.
    fn seed_addresses(&self, index: usize) -> Vec<SocketAddr> {
        let addresses = self.peer_addresses.read().unwrap_or_else(PoisonError::into_inner);
        (1..=SEED_NODES).map(|step| addresses[(index + step) % addresses.len()]).collect()
    }

    fn node_options(&self, host: &HarnessHost, index: usize, sockets: Sockets) -> NodeOptions {
        let mut settings = node_settings(host, &sockets, self.plan.decisions);
        settings.node.link_mbps = self.plan.link_mbps;
        settings.node.stop_max_ms = self.plan.stop_max_ms;
        settings.seeds = self.seed_addresses(index);
        settings.tokens = self.plan.tokens.clone();
        let listeners = Listeners { entry: sockets.entry.0, peer: sockets.peer.0, admin: sockets.admin.0 };
        let mut options = NodeOptions::new(settings, listeners);
        options.seed = self.plan.seed.wrapping_mul(7_919) + index as u64;
        options.is_baseline = self.plan.is_baseline;
        options.link =
            Arc::new(HostLink { data_centre: host.data_centre.clone(), partitions: self.partitions.clone() });
        let flag = self.partitions.platform_partition_flag(&host.data_centre);
        options.platform =
            Some(Arc::new(PlatformConnection::new(self.platform.clone(), flag, WATCH_WAIT_MS)));
        if let Some(make_chooser_factory) = &self.plan.chooser {
            options.chooser = make_chooser_factory(&self.targets);
        }
        options
    }
}

/// The three listening sockets of a host with their addresses.
#[derive(Debug)]
pub struct Sockets {
    /// Accepts calls from callers.
    pub entry: (StdListener, SocketAddr),
    /// Accepts connections from other nodes.
    pub peer: (StdListener, SocketAddr),
    /// Serves the administration API.
    pub admin: (StdListener, SocketAddr),
}

impl Sockets {
    /// Binds three free ports of the loopback interface.
    pub fn bind() -> Self {
        Self { entry: listen(), peer: listen(), admin: listen() }
    }
}

fn target(plan: &ServicePlan, number: usize) -> Target {
    Target {
        name: format!("{}-{number}", plan.name),
        host: format!("{}-{number}-host", plan.name),
        slots: plan.slots,
        connections: 200,
        started_unix_ms: 0,
    }
}

fn node_settings(host: &HarnessHost, sockets: &Sockets, decisions: DecisionFormat) -> Settings {
    Settings {
        node: NodeSettings {
            takes_unlisted_peers: false,
            stop_linger_ms: 1_000,
            host: host.name.clone(),
            data_centre: host.data_centre.clone(),
            entry_address: sockets.entry.1,
            peer_address: sockets.peer.1,
            admin_address: sockets.admin.1,
            stop_max_ms: 30_000,
            stop_grace_s: 0.0,
            link_mbps: 0.0,
        },
        target: Some(TargetSettings {
            service: format!("{TEAM}/{}", host.service),
            address: host.target_address,
            http: TargetHttp::Http1,
            connect_timeout_ms: 1_000,
            address_reuse_s: 0.0,
        }),
        platform: PlatformSettings {
            read_timeout_ms: 1_000,
            watch_wait_ms: WATCH_WAIT_MS,
            ..PlatformSettings::new(sockets.admin.1)
        },
        seeds: Vec::new(),
        callers: CallerLimits { connections: 10_000, ..CallerLimits::default() },
        tokens: Vec::new(),
        log: LogSettings { decisions, ..LogSettings::default() },
    }
}

/// Serializes a document to the TOML text that the platform publishes.
///
/// # Panics
///
/// Panics if `value` does not serialize to a table.
pub fn to_toml<T: serde::Serialize>(value: &T) -> String {
    toml::to_string(value).expect("documents serialize to tables")
}
