//! Platform, targets and nodes of one deployment, started together on loopback.

use crate::{
    call_uri::CALLER_HOST,
    cuts::{Cuts, HostLink},
    harness_plan::{HarnessPlan, ServicePlan},
    node_thread::NodeThread,
    platform::{PlatformWay, StandinPlatform},
    records::Records,
    target::{StandinTarget, TargetPlan, Targets, listen},
    threads::RuntimeThread,
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

/// Team that all stand-in services belong to.
pub const TEAM: &str = "standin";
/// Longest wait of a platform watch in ms.
const WATCH_WAIT_MS: u64 = 10_000;

/// One host: a target and the node beside it.
#[derive(Debug)]
pub struct HarnessHost {
    /// The host's name.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// Service of its target.
    pub service: String,
    /// Its target's address.
    pub target_address: SocketAddr,
    /// Its node, unless it was stopped.
    pub node: Option<Arc<NodeThread>>,
}

/// A running deployment.
#[derive(Debug)]
pub struct Harness {
    /// What was started.
    pub plan: HarnessPlan,
    /// The platform.
    pub platform: Arc<StandinPlatform>,
    /// The targets.
    pub targets: Arc<Targets>,
    /// What they ran.
    pub records: Arc<Records>,
    /// What is cut.
    pub cuts: Arc<Cuts>,
    hosts: Mutex<Vec<HarnessHost>>,
    peer_addresses: RwLock<Vec<SocketAddr>>,
    _target_threads: Vec<RuntimeThread>,
}

/// Other nodes that a node asks before it knows the fleet.
const SEEDS: usize = 2;
/// Threads on which targets run.
const TARGET_THREADS: usize = 2;

impl Harness {
    /// Starts platform, targets and nodes, and waits until all nodes serve.
    ///
    /// # Errors
    ///
    /// What kept a node from starting.
    pub async fn start(plan: HarnessPlan) -> Result<Self, NodeError> {
        let platform = StandinPlatform::new();
        let targets = Arc::new(Targets::default());
        let records = Arc::new(Records::default());
        let cuts = Arc::new(Cuts::default());
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
                    open_ms: plan.open_ms,
                    seed: plan.seed.wrapping_mul(1_000) + index as u64,
                };
                let (targets, records) = (targets.clone(), records.clone());
                let thread = &threads[index % threads.len()];
                let started = thread.handle().spawn(async move {
                    targets.add(StandinTarget::start(target_plan, records, listener));
                });
                started.await.expect("a target starts");
                let data_centre = plan.data_centres[index % plan.data_centres.len()].clone();
                let listeners = Sockets::bind();
                cuts.place(listeners.peer.1, &data_centre);
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
            cuts,
            hosts: Mutex::new(hosts),
            peer_addresses: RwLock::new(sockets.iter().map(|sockets| sockets.peer.1).collect()),
            _target_threads: threads,
        };
        this.publish_all(&sockets);
        this.start_nodes(sockets).await?;
        Ok(this)
    }

    /// The nodes that run, with their hosts' names.
    pub fn nodes(&self) -> Vec<(String, Arc<NodeThread>)> {
        let hosts = self.hosts();
        hosts.iter().filter_map(|host| Some((host.name.clone(), host.node.clone()?))).collect()
    }

    /// The node of a host.
    pub fn node(&self, host: &str) -> Option<Arc<NodeThread>> {
        self.hosts().iter().find(|other| other.name == host)?.node.clone()
    }

    /// Takes a node out, to be stopped or dropped.
    pub fn take_node(&self, host: &str) -> Option<Arc<NodeThread>> {
        self.hosts().iter_mut().find(|other| other.name == host)?.node.take()
    }

    /// Starts a node again on a host that has none, on the addresses it had.
    ///
    /// # Errors
    ///
    /// What kept it from starting.
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

    /// Name of the host with this number, from 1.
    pub fn host_name(&self, number: usize) -> Option<String> {
        let hosts = self.hosts();
        number.checked_sub(1).and_then(|index| hosts.get(index)).map(|host| host.name.clone())
    }

    /// A count by name, over all nodes that run.
    pub fn count(&self, name: &str) -> u64 {
        let of = |node: &NodeThread| {
            let all = node.counters.all();
            all.iter().find(|(other, _)| *other == name).map_or(0, |(_, count)| *count)
        };
        self.nodes().iter().map(|(_, node)| of(node)).sum()
    }

    /// Most attempts for each call at any level of a chain of `levels`; 0 without a chain.
    ///
    /// Calls of a level are those that the targets one level up made.
    pub fn attempts_per_call_max_level(&self, levels: usize, calls: u64) -> f64 {
        let seen = |level: usize| {
            let names = (1..=2).map(|number| format!("level-{level}-{number}"));
            let targets = names.filter_map(|name| self.targets.get(&name));
            targets.fold((0, 0), |(seen, made), target| (seen + target.seen(), made + target.made()))
        };
        if levels < 2 {
            return 0.0;
        }
        let mut made = calls;
        let mut most: f64 = 0.0;
        for level in 1..=levels {
            let (attempts, next) = seen(level);
            if made > 0 {
                most = most.max(attempts as f64 / made as f64);
            }
            made = next;
        }
        most
    }

    /// Address of a service's targets, to call them without the system.
    pub fn target_addresses(&self, service: &str) -> Vec<SocketAddr> {
        let hosts = self.hosts();
        hosts.iter().filter(|host| host.service == service).map(|host| host.target_address).collect()
    }

    /// Marks a host as live or leaving in the platform's list.
    pub fn set_host_state(&self, host: &str, state: HostState) {
        self.change_fleet(|fleet| {
            if let Some(host) = fleet.hosts.iter_mut().find(|other| other.name == host) {
                host.state = state;
            }
        });
    }

    /// Lists a data centre as evacuated, or takes it back.
    pub fn set_evacuated(&self, data_centre: &str, is_evacuated: bool) {
        self.change_fleet(|fleet| {
            fleet.evacuated.retain(|other| other != data_centre);
            if is_evacuated {
                fleet.evacuated.push(data_centre.to_owned());
            }
        });
    }

    fn change_fleet(&self, change: impl FnOnce(&mut Fleet)) {
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
        let centres = &self.plan.data_centres;
        let mut limits = SystemLimits { observe: self.plan.observe, ..SystemLimits::default() };
        for (index, from) in centres.iter().enumerate() {
            for to in &centres[index + 1..] {
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
                target.set_entry(node.entry_address);
            }
            host.node = Some(Arc::new(node));
        }
        Ok(())
    }

    /// Peer addresses of the next hosts in the list.
    fn seeds(&self, index: usize) -> Vec<SocketAddr> {
        let addresses = self.peer_addresses.read().unwrap_or_else(PoisonError::into_inner);
        (1..=SEEDS).map(|step| addresses[(index + step) % addresses.len()]).collect()
    }

    fn node_options(&self, host: &HarnessHost, index: usize, sockets: Sockets) -> NodeOptions {
        let mut settings = node_settings(host, &sockets, self.plan.decisions);
        settings.seeds = self.seeds(index);
        settings.tokens = self.plan.tokens.clone();
        let listeners = Listeners { entry: sockets.entry.0, peer: sockets.peer.0, admin: sockets.admin.0 };
        let mut options = NodeOptions::new(settings, listeners);
        options.seed = self.plan.seed.wrapping_mul(7_919) + index as u64;
        options.is_baseline = self.plan.is_baseline;
        options.link = Arc::new(HostLink { data_centre: host.data_centre.clone(), cuts: self.cuts.clone() });
        let flag = self.cuts.platform_flag(&host.data_centre);
        options.platform = Some(Arc::new(PlatformWay::new(self.platform.clone(), flag, WATCH_WAIT_MS)));
        if let Some(maker) = &self.plan.chooser {
            options.chooser = maker(&self.targets);
        }
        options
    }
}

/// A host's three sockets with their addresses.
#[derive(Debug)]
pub struct Sockets {
    /// For callers.
    pub entry: (StdListener, SocketAddr),
    /// For other nodes.
    pub peer: (StdListener, SocketAddr),
    /// For operators.
    pub admin: (StdListener, SocketAddr),
}

impl Sockets {
    /// Three free ports of loopback.
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

/// A value as the TOML that the platform publishes.
///
/// # Panics
///
/// Never for the documents of this system.
pub fn to_toml<T: serde::Serialize>(value: &T) -> String {
    toml::to_string(value).expect("documents are tables")
}
