//! Starts and stops the components of a node together.

use crate::{
    active_config::ActiveConfig,
    admin::Admin,
    background::{apply_configuration_changes, catch_up_after_suspension, close_idle, send_metrics},
    call::CallContext,
    caller_limits::ActiveCallerLimits,
    chains::Chains,
    counters::{Counters, MetricSender},
    decision_log::DecisionLog,
    dialect::{DefaultDialect, HeaderDialect},
    entry::Entry,
    link_pacer::LinkPacer,
    listener::HttpListener,
    logging,
    metrics::Latencies,
    milestones::Milestones,
    observer::Observer,
    platform_http::HttpPlatform,
    quotas::{QuotaOptions, Quotas},
    retry_loans::RetryLender,
    running_requests::RunningRequests,
    services::{ChooserFactory, NodeLocation, Services},
    target_guard::{TargetGuard, TargetGuardOptions},
};
use arc_swap::ArcSwap;
use laurelstall_balance::least_cost::LeastCost;
use laurelstall_config::settings::Settings;
use laurelstall_guard::clock::Clock;
use laurelstall_peer::{
    client::PeerClient,
    link::{Link, OpenLink},
    meter::Meter,
    platform::PlatformSource,
    pool::Pool,
    replicator::{Replicator, ReplicatorOptions},
    server::PeerServer,
};
use quick_error::quick_error;
use std::{
    fmt, io,
    net::{SocketAddr, TcpListener as StdListener},
    sync::{Arc, Mutex},
};
use tokio::{
    net::TcpListener,
    sync::watch,
    task::{JoinHandle, JoinSet},
    time::Duration,
};

mod changed_settings;
mod peer_requests;
mod stop;

use changed_settings::settings_needing_restart;
use peer_requests::PeerRequestHandler;

quick_error! {
    /// An error that keeps a node from starting.
    #[derive(Debug)]
    pub enum NodeError {
        /// The node cannot listen on an address.
        Listen(address: SocketAddr, error: io::Error) {
            display("cannot listen on {address}: {error}")
            source(error)
        }
    }
}

/// The listening sockets of a node.
#[derive(Debug)]
pub struct Listeners {
    /// Accepts callers.
    pub entry: StdListener,
    /// Accepts other nodes.
    pub peer: StdListener,
    /// Accepts operators.
    pub admin: StdListener,
}

impl Listeners {
    /// Binds the addresses in the settings.
    ///
    /// # Errors
    ///
    /// Returns [`NodeError::Listen`] with the address that cannot be bound.
    pub fn bind(settings: &Settings) -> Result<Self, NodeError> {
        let bind = |address: SocketAddr| {
            StdListener::bind(address).map_err(|error| NodeError::Listen(address, error))
        };
        Ok(Self {
            entry: bind(settings.node.entry_address)?,
            peer: bind(settings.node.peer_address)?,
            admin: bind(settings.node.admin_address)?,
        })
    }
}

/// Options for starting a node.
pub struct NodeOptions {
    /// The settings of the node.
    pub settings: Settings,
    /// The listening sockets.
    pub listeners: Listeners,
    /// Creates the chooser of targets for each service.
    pub chooser: ChooserFactory,
    /// Whether the guard queues without limit and never hands calls back, as behind a conventional load balancer.
    pub is_baseline: bool,
    /// Seed of the random choices.
    pub seed: u64,
    /// Network link to other nodes.
    pub link: Arc<dyn Link>,
    /// The platform to read from. `None` uses the address in the settings.
    pub platform: Option<Arc<dyn PlatformSource>>,
    /// The header fields used towards callers and targets.
    pub dialect: Arc<dyn HeaderDialect>,
    /// The clock of the node.
    pub clock: Clock,
}

impl NodeOptions {
    /// Default options for a node that runs next to a target.
    pub fn new(settings: Settings, listeners: Listeners) -> Self {
        let chooser: ChooserFactory = Arc::new(|| Box::new(LeastCost::default()));
        Self {
            settings,
            listeners,
            chooser,
            is_baseline: false,
            seed: rand::random(),
            link: Arc::new(OpenLink),
            platform: None,
            dialect: Arc::new(DefaultDialect),
            clock: Clock::new(),
        }
    }
}

impl fmt::Debug for NodeOptions {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("NodeOptions").field("settings", &self.settings).finish_non_exhaustive()
    }
}

/// A running node.
#[derive(Debug)]
pub struct Node {
    /// Address that callers connect to.
    pub entry_address: SocketAddr,
    /// Address that other nodes connect to.
    pub peer_address: SocketAddr,
    /// Address that operators connect to.
    pub admin_address: SocketAddr,
    /// Counters of the node.
    pub counters: Arc<Counters>,
    /// Replicates the configuration between nodes.
    pub replicator: Arc<Replicator>,
    /// The current configuration.
    pub active: Arc<ActiveConfig>,
    /// The guard of the local target.
    pub guard: TargetGuard,
    /// The entry that accepts callers' requests.
    pub entry: Arc<Entry>,
    caller_limits: Arc<ActiveCallerLimits>,
    admin: Arc<Admin>,
    platform: Arc<dyn PlatformSource>,
    settings: Settings,
    peer_server: Arc<PeerServer>,
    peer_task: JoinHandle<()>,
    shutdown: watch::Sender<bool>,
    listener_tasks: Vec<JoinHandle<()>>,
    background: JoinSet<()>,
}

impl Node {
    /// Starts a node on the current runtime. It answers peers immediately, and callers after it has read the newest
    /// configuration from the platform and its peers.
    ///
    /// # Errors
    ///
    /// Returns [`NodeError`] when a socket cannot be used.
    pub async fn start(options: NodeOptions) -> Result<Self, NodeError> {
        let NodeOptions { settings, listeners, chooser, is_baseline, seed, link, platform, dialect, clock } =
            options;
        let counters = Arc::new(Counters::default());
        let caller_limits = ActiveCallerLimits::new(settings.callers);
        let latencies = Arc::new(Latencies::default());
        let link_pacer = LinkPacer::new(settings.node.link_mbps, clock, counters.clone(), latencies.clone());
        let meter = Arc::new(Meter::default());
        let active = ActiveConfig::new();
        let observer = Arc::new(Observer::new(clock, counters.clone()));
        let client = PeerClient::new(Arc::new(Pool::new(clock, meter.clone(), link)));
        let host = settings.node.host.clone();
        let data_centre = settings.node.data_centre.clone();
        let entry_listener = into_tokio(listeners.entry)?;
        let peer_listener = into_tokio(listeners.peer)?;
        let admin_listener = into_tokio(listeners.admin)?;
        let peer_address = peer_listener.1;

        let running = Arc::<RunningRequests>::default();
        let chains = Chains::new(clock);
        let replicator_options = ReplicatorOptions {
            host: host.clone(),
            data_centre: data_centre.clone(),
            peer_address,
            seeds: settings.seeds.clone(),
            seed,
            document_bytes_max: settings.platform.document_bytes_max(),
        };
        let platform = platform.unwrap_or_else(|| Arc::new(HttpPlatform::new(&settings.platform)));
        let replicator = Replicator::new(
            replicator_options,
            clock,
            client.clone(),
            platform.clone(),
            active.clone(),
            active.clone(),
        );
        let guard = TargetGuard::new(TargetGuardOptions {
            clock,
            host: host.clone(),
            settings: settings.target.clone(),
            is_baseline,
            incarnation: rand::random(),
            active: active.clone(),
            observer: observer.clone(),
            counters: counters.clone(),
            latencies: latencies.clone(),
            dialect: dialect.clone(),
            running: running.clone(),
            chains: chains.clone(),
            crashes: replicator.crashes().clone(),
            link: link_pacer.clone(),
        });
        let quotas = Quotas::new(QuotaOptions {
            clock,
            host: host.clone(),
            data_centre: data_centre.clone(),
            limits: settings.platform.quota,
            client: client.clone(),
            replicator: replicator.clone(),
            active: active.clone(),
            counters: counters.clone(),
        });
        let location = NodeLocation { host: host.clone(), data_centre: data_centre.clone() };
        let services = Arc::new(Services::new(location, clock, chooser, seed));
        let log = &settings.log;
        let entry = Arc::new(Entry {
            context: CallContext {
                clock,
                host: host.clone(),
                local: Arc::new(guard.clone()),
                client: client.clone(),
                observer: observer.clone(),
                decisions: DecisionLog::new(log.decisions, log.decisions_waiting_max, counters.clone()),
                counters: counters.clone(),
                latencies,
                dialect,
                crashes: replicator.crashes().clone(),
                link: link_pacer.clone(),
            },
            own_service: own_service(&settings),
            running: running.clone(),
            chains,
            active: active.clone(),
            services: services.clone(),
            limits: caller_limits.clone(),
            typical_budgets: Mutex::default(),
            is_stopping: false.into(),
            ends_at_us: 0.into(),
            deadline_max_us: 0.into(),
            unanswered: Arc::default(),
            milestones: Milestones::default(),
            quotas: quotas.clone(),
            keys_age_max_ms: settings.platform.keys_age_max_ms,
        });

        log::info!("listening for peers on {peer_address}, {} ms after the start", clock.elapsed_ms());
        let mut background = JoinSet::new();
        background.spawn(apply_configuration_changes(
            active.clone(),
            guard.clone(),
            observer.clone(),
            caller_limits.clone(),
            quotas.clone(),
        ));
        let peers = PeerRequestHandler {
            guard: guard.for_other_hosts(),
            replicator: replicator.clone(),
            active: active.clone(),
            observer: observer.clone(),
            quotas: quotas.clone(),
            retry_lender: RetryLender { clock, active: active.clone(), services: services.clone() },
            seeds: settings.seeds.clone(),
            takes_unlisted_peers: settings.node.takes_unlisted_peers,
        };
        let peer_server = PeerServer::new(Arc::new(peers), meter.clone());
        let peer_task = tokio::spawn(peer_server.clone().serve(peer_listener.0));

        replicator.join().await;
        background.spawn(replicator.clone().run());
        let probe_client = client.clone();
        let probe_observer = observer.clone();
        background.spawn(async move { probe_observer.run_probes(&services, &probe_client).await });
        background.spawn(close_idle(client));
        if let Some(link_pacer) = link_pacer {
            background.spawn(async move { link_pacer.run().await });
        }
        background.spawn(catch_up_after_suspension(clock, replicator.clone()));
        background.spawn(async move { quotas.monitor_connectivity().await });
        let watched = guard.clone();
        background.spawn(async move { watched.run_load_queries().await });
        let sender = MetricSender::new(log.statsd_address, &host);
        let interval = Duration::from_millis(log.metrics_interval_ms);
        let metrics = send_metrics(
            sender,
            interval,
            counters.clone(),
            guard.clone(),
            entry.clone(),
            replicator.clone(),
        );
        background.spawn(metrics);

        let (shutdown, shutdown_receiver) = watch::channel(false);
        let admin = Arc::new(Admin {
            entry: entry.clone(),
            guard: guard.clone(),
            active: active.clone(),
            replicator: replicator.clone(),
            counters: counters.clone(),
            tokens: ArcSwap::from_pointee(settings.tokens.clone()),
            checked_bytes_max: settings.platform.value_bytes_max,
            is_loopback: admin_listener.1.ip().is_loopback(),
            host,
            data_centre,
        });
        let callers = HttpListener::new(
            entry.clone(),
            caller_limits.clone(),
            counters.clone(),
            entry.unanswered.clone(),
            shutdown_receiver.clone(),
        );
        let operators = HttpListener::new(
            admin.clone(),
            ActiveCallerLimits::new(settings.callers),
            counters.clone(),
            Arc::default(),
            shutdown_receiver,
        );
        let listener_tasks = vec![
            tokio::spawn(callers.serve(entry_listener.0)),
            tokio::spawn(operators.serve(admin_listener.0)),
        ];
        log::info!(
            "started: version {}, host {}, data centre {}, incarnation {:x}, callers on {}, peers on {}, {} ms after the start",
            env!("CARGO_PKG_VERSION"),
            settings.node.host,
            settings.node.data_centre,
            guard.incarnation(),
            entry_listener.1,
            peer_address,
            clock.elapsed_ms(),
        );
        Ok(Self {
            entry_address: entry_listener.1,
            peer_address,
            admin_address: admin_listener.1,
            counters,
            replicator,
            active,
            guard,
            entry,
            caller_limits,
            admin,
            platform,
            settings,
            peer_server,
            peer_task,
            shutdown,
            listener_tasks,
            background,
        })
    }

    /// Applies changed settings to the running node. Changes that need a restart are logged.
    pub fn reload(&mut self, settings: Settings) {
        let old = std::mem::replace(&mut self.settings, settings);
        let new = &self.settings;
        self.caller_limits.set_settings(new.callers);
        self.admin.tokens.store(Arc::new(new.tokens.clone()));
        self.replicator.set_seeds(new.seeds.clone());
        self.platform.set_settings(&new.platform);
        self.replicator.store().set_document_bytes_max(new.platform.document_bytes_max());
        if old.log.level != new.log.level {
            logging::set_level(&new.log.level);
        }
        log::info!("settings reloaded");
        for setting in settings_needing_restart(&old, new) {
            log::warn!("settings: the change of {setting} takes effect only after a restart");
        }
    }

    /// Stops immediately, as a crash would.
    pub async fn kill(mut self) {
        for task in &self.listener_tasks {
            task.abort();
        }
        self.peer_task.abort();
        self.background.shutdown().await;
    }
}

fn own_service(settings: &Settings) -> String {
    let full_name = settings.target.as_ref().map_or("", |target| target.service.as_str());
    full_name.rsplit('/').next().unwrap_or_default().to_owned()
}

fn into_tokio(listener: StdListener) -> Result<(TcpListener, SocketAddr), NodeError> {
    let unspecified = SocketAddr::from(([0, 0, 0, 0], 0));
    let address = listener.local_addr().map_err(|error| NodeError::Listen(unspecified, error))?;
    let converted = listener.set_nonblocking(true).and_then(|()| TcpListener::from_std(listener));
    let listener = converted.map_err(|error| NodeError::Listen(address, error))?;
    Ok((listener, address))
}
