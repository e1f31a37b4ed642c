//! A whole node: its parts, started and stopped together.

use crate::{
    active::Active,
    admin::Admin,
    background::{close_idle, follow_configuration, send_metrics, watch_suspension},
    call::CallContext,
    caller_rules::CallerRules,
    counters::{Counters, MetricSender},
    decision_log::DecisionLog,
    dialect::{HeaderDialect, OwnDialect},
    entry::Entry,
    listener::HttpListener,
    logging,
    metrics::Latencies,
    milestones::Milestones,
    observer::Observer,
    platform_http::HttpPlatform,
    quotas::{QuotaOptions, Quotas},
    running_requests::RunningRequests,
    services::{ChooserFactory, Own, Services},
    target_guard::{TargetGuard, TargetGuardOptions, drained},
};
use arc_swap::ArcSwap;
use futures_util::future::{BoxFuture, FutureExt};
use laurelstall_balance::least_wait::LeastWait;
use laurelstall_config::{fleet::Fleet, settings::Settings};
use laurelstall_guard::{
    clock::Clock,
    refusal::{Refusal, RefusalReason},
};
use laurelstall_peer::{
    attempt::AttemptHandler,
    client::PeerClient,
    link::{Link, OpenLink},
    message::{PeerAnswer, PeerRequest},
    meter::Meter,
    platform::PlatformSource,
    pool::Pool,
    server::{PeerHandler, PeerServer},
    spread::{Spread, SpreadOptions, SpreadView},
};
use quick_error::quick_error;
use std::{
    fmt, io,
    net::{IpAddr, SocketAddr, TcpListener as StdListener},
    sync::{Arc, Mutex, atomic::Ordering},
};
use tokio::{
    net::TcpListener,
    sync::watch,
    task::{JoinHandle, JoinSet},
    time::{Duration, sleep, timeout},
};

quick_error! {
    /// A node that could not start.
    #[derive(Debug)]
    pub enum NodeError {
        /// An address could not be listened on.
        Listen(address: SocketAddr, error: io::Error) {
            display("{address}: {error}")
            source(error)
        }
    }
}

/// Sockets that are listened on already.
#[derive(Debug)]
pub struct Listeners {
    /// For callers.
    pub entry: StdListener,
    /// For other nodes.
    pub peer: StdListener,
    /// For operators.
    pub admin: StdListener,
}

impl Listeners {
    /// Listens on the addresses of the settings.
    ///
    /// # Errors
    ///
    /// [`NodeError::Listen`] with the address that is taken or not there.
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

/// What a node is started with.
pub struct NodeOptions {
    /// Its settings.
    pub settings: Settings,
    /// Its sockets.
    pub listeners: Listeners,
    /// Its way to choose targets.
    pub chooser: ChooserFactory,
    /// Whether its guard acts as behind a plain balancer.
    pub is_plain: bool,
    /// Seed of its random choices.
    pub seed: u64,
    /// The network to other nodes.
    pub link: Arc<dyn Link>,
    /// The platform, if it is not the one of the settings.
    pub platform: Option<Arc<dyn PlatformSource>>,
    /// The header fields that callers and targets know.
    pub dialect: Arc<dyn HeaderDialect>,
    /// Its clock.
    pub clock: Clock,
}

impl NodeOptions {
    /// Options for a node as it runs beside a target.
    pub fn new(settings: Settings, listeners: Listeners) -> Self {
        let chooser: ChooserFactory = Arc::new(|| Box::new(LeastWait::default()));
        Self {
            settings,
            listeners,
            chooser,
            is_plain: false,
            seed: rand::random(),
            link: Arc::new(OpenLink),
            platform: None,
            dialect: Arc::new(OwnDialect),
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
    /// Where callers connect.
    pub entry_address: SocketAddr,
    /// Where other nodes connect.
    pub peer_address: SocketAddr,
    /// Where operators connect.
    pub admin_address: SocketAddr,
    /// Counts.
    pub counters: Arc<Counters>,
    /// The spreading of configuration.
    pub spread: Arc<Spread>,
    /// The configuration in force.
    pub active: Arc<Active>,
    /// The guard.
    pub guard: TargetGuard,
    /// The entry.
    pub entry: Arc<Entry>,
    rules: Arc<CallerRules>,
    admin: Arc<Admin>,
    platform: Arc<dyn PlatformSource>,
    settings: Settings,
    peer_server: Arc<PeerServer>,
    stopping: watch::Sender<bool>,
    listening: Vec<JoinHandle<()>>,
    background: JoinSet<()>,
}

/// What a node does for other nodes.
#[derive(Debug)]
struct NodePeers {
    guard: TargetGuard,
    spread: Arc<Spread>,
    active: Arc<Active>,
    observer: Arc<Observer>,
    quotas: Arc<Quotas>,
    seeds: Vec<SocketAddr>,
    takes_unlisted_peers: bool,
}

impl PeerHandler for NodePeers {
    fn attempts(&self) -> &dyn AttemptHandler {
        &self.guard
    }

    fn is_member(&self, ip: IpAddr) -> bool {
        let fleet: Arc<Fleet> = self.active.fleet();
        // Before a list is known, only seeds can be told from strangers.
        self.takes_unlisted_peers || fleet.has_ip(ip) || self.seeds.iter().any(|seed| seed.ip() == ip)
    }

    fn answer(&self, from: IpAddr, request: PeerRequest) -> BoxFuture<'_, PeerAnswer> {
        async move {
            match request {
                PeerRequest::Probe => {
                    let may_answer = self.observer.may_answer_probe();
                    PeerAnswer::Probed(may_answer.then(|| self.guard.hint().into()))
                }
                PeerRequest::Tickets(request) => self.guard.give_tickets(&request),
                PeerRequest::Exchange(exchange) => self.spread.answer_exchange(&exchange),
                PeerRequest::Pull(items) => self.spread.answer_pull(&items),
                PeerRequest::Offer(address, news, versions) => {
                    self.spread.note_offer(from, address, &news, versions);
                    PeerAnswer::Noted
                }
                PeerRequest::CanRead => self.spread.answer_can_read(),
                PeerRequest::CrashNews(news) => {
                    self.spread.crashes().take_news(&news);
                    PeerAnswer::Noted
                }
                PeerRequest::TakeTokens(key, wanted) => self.quotas.answer_take(&key, wanted),
                PeerRequest::ReturnTokens(key, tokens) => self.quotas.answer_return(&key, tokens),
                PeerRequest::CompareCrashes(news) => self.spread.answer_crashes(&news),
                PeerRequest::CompareCarried(news) => self.spread.answer_carried(news.as_ref()),
                PeerRequest::Attempt(_) => PeerAnswer::Refused(Refusal::new(RefusalReason::Unreadable)),
            }
        }
        .boxed()
    }
}

impl Node {
    /// Starts a node on the current runtime. It answers peers at once and callers when it has
    /// asked platform and peers for the newest configuration.
    ///
    /// # Errors
    ///
    /// [`NodeError`] when a socket cannot be used.
    pub async fn start(options: NodeOptions) -> Result<Self, NodeError> {
        let NodeOptions { settings, listeners, chooser, is_plain, seed, link, platform, dialect, clock } =
            options;
        let counters = Arc::new(Counters::default());
        let rules = CallerRules::new(settings.callers);
        let latencies = Arc::new(Latencies::default());
        let meter = Arc::new(Meter::default());
        let active = Active::new();
        let observer = Arc::new(Observer::new(clock, counters.clone()));
        let client = PeerClient::new(Arc::new(Pool::new(clock, meter.clone(), link)));
        let host = settings.node.host.clone();
        let data_centre = settings.node.data_centre.clone();
        let entry_listener = into_tokio(listeners.entry)?;
        let peer_listener = into_tokio(listeners.peer)?;
        let admin_listener = into_tokio(listeners.admin)?;
        let peer_address = peer_listener.1;

        let running = Arc::<RunningRequests>::default();
        let spread_options = SpreadOptions {
            host: host.clone(),
            data_centre: data_centre.clone(),
            peer_address,
            seeds: settings.seeds.clone(),
            seed,
        };
        let platform = platform.unwrap_or_else(|| Arc::new(HttpPlatform::new(&settings.platform)));
        let spread = Spread::new(
            spread_options,
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
            is_plain,
            incarnation: rand::random(),
            active: active.clone(),
            observer: observer.clone(),
            counters: counters.clone(),
            latencies: latencies.clone(),
            dialect: dialect.clone(),
            running: running.clone(),
            crashes: spread.crashes().clone(),
        });
        let quotas = Quotas::new(QuotaOptions {
            clock,
            host: host.clone(),
            data_centre: data_centre.clone(),
            bounds: settings.platform.quota,
            client: client.clone(),
            spread: spread.clone(),
            active: active.clone(),
            counters: counters.clone(),
        });
        let own = Own { host: host.clone(), data_centre: data_centre.clone() };
        let services = Arc::new(Services::new(own, clock, chooser, seed));
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
                crashes: spread.crashes().clone(),
            },
            own_service: own_service(&settings),
            running: running.clone(),
            active: active.clone(),
            services: services.clone(),
            limits: rules.clone(),
            budgets: Mutex::default(),
            is_stopping: false.into(),
            milestones: Milestones::default(),
            quotas: quotas.clone(),
            keys_age_max_ms: settings.platform.keys_age_max_ms,
        });

        log::info!("listening: nodes on {peer_address}, {} ms after the start", clock.elapsed_ms());
        let mut background = JoinSet::new();
        background.spawn(follow_configuration(
            active.clone(),
            guard.clone(),
            observer.clone(),
            rules.clone(),
            quotas.clone(),
        ));
        let peers = NodePeers {
            guard: guard.clone(),
            spread: spread.clone(),
            active: active.clone(),
            observer: observer.clone(),
            quotas: quotas.clone(),
            seeds: settings.seeds.clone(),
            takes_unlisted_peers: settings.node.takes_unlisted_peers,
        };
        let peer_server = PeerServer::new(Arc::new(peers), meter.clone());
        background.spawn(peer_server.clone().serve(peer_listener.0));

        spread.join().await;
        background.spawn(spread.clone().run());
        let probe_client = client.clone();
        let probe_observer = observer.clone();
        background.spawn(async move { probe_observer.probe_loop(&services, &probe_client).await });
        background.spawn(close_idle(client));
        background.spawn(watch_suspension(clock, spread.clone()));
        background.spawn(async move { quotas.watch_touch().await });
        let watched = guard.clone();
        background.spawn(async move { watched.watch_pace().await });
        let sender = MetricSender::new(log.statsd_address, &host);
        let interval = Duration::from_millis(log.metrics_interval_ms);
        background.spawn(send_metrics(
            sender,
            interval,
            counters.clone(),
            guard.clone(),
            meter,
            active.clone(),
        ));

        let (stopping, is_stopping) = watch::channel(false);
        let admin = Arc::new(Admin {
            entry: entry.clone(),
            guard: guard.clone(),
            active: active.clone(),
            spread: spread.clone(),
            counters: counters.clone(),
            tokens: ArcSwap::from_pointee(settings.tokens.clone()),
            is_loopback: admin_listener.1.ip().is_loopback(),
            host,
            data_centre,
        });
        let callers = HttpListener::new(entry.clone(), rules.clone(), counters.clone(), is_stopping.clone());
        let operators = HttpListener::new(
            admin.clone(),
            CallerRules::new(settings.callers),
            counters.clone(),
            is_stopping,
        );
        let listening = vec![
            tokio::spawn(callers.serve(entry_listener.0)),
            tokio::spawn(operators.serve(admin_listener.0)),
        ];
        log::info!(
            "started: version {}, host {}, data centre {}, incarnation {:x}, callers on {}, nodes on {}, {} ms after the start",
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
            spread,
            active,
            guard,
            entry,
            rules,
            admin,
            platform,
            settings,
            peer_server,
            stopping,
            listening,
            background,
        })
    }

    /// Puts changed settings in force, as far as a running node can; says what takes a restart.
    pub fn reload(&mut self, settings: Settings) {
        let old = std::mem::replace(&mut self.settings, settings);
        let new = &self.settings;
        self.rules.set_settings(new.callers);
        self.admin.tokens.store(Arc::new(new.tokens.clone()));
        self.spread.set_seeds(new.seeds.clone());
        self.platform.set_settings(&new.platform);
        if old.log.level != new.log.level {
            logging::set_level(&new.log.level);
        }
        log::info!("settings reloaded");
        for part in needing_restart(&old, new) {
            log::warn!("settings: a change of {part} takes a restart");
        }
    }

    /// Stops without cutting off a request; true when all ended within the longest time.
    ///
    /// For a moment all goes on, while callers are asked to close and readiness says no. Then the
    /// guard takes nothing new, the entry takes no connections, and the last answer is waited for.
    pub async fn stop(mut self) -> bool {
        let load = self.guard.guard().load();
        log::info!("stopping: {} calls run here and {} wait", load.in_flight, load.queued);
        self.entry.is_stopping.store(true, Ordering::Relaxed);
        let limit = Duration::from_millis(self.settings.node.stop_limit_ms());
        let linger = Duration::from_millis(self.settings.node.stop_linger_ms);
        let stopped = timeout(limit, async {
            sleep(linger).await;
            self.guard.set_stopping();
            self.stopping.send_replace(true);
            for task in &mut self.listening {
                // A task that panicked has nothing left to wait for.
                let _ = task.await;
            }
            drained(&self.guard, limit).await;
            self.peer_server.stop();
            // Answers that left the guard may still be on their way out.
            sleep(Duration::from_millis(200)).await;
        });
        let is_whole = stopped.await.is_ok();
        let load = self.guard.guard().load();
        let left = load.in_flight + load.queued;
        log::info!("stopped: {}, {left} calls cut off", if is_whole { "whole" } else { "out of time" });
        self.background.shutdown().await;
        is_whole
    }

    /// Stops at once, as a crash would.
    pub async fn kill(mut self) {
        for task in &self.listening {
            task.abort();
        }
        self.background.shutdown().await;
    }
}

/// Parts of the settings that differ and that a running node cannot change.
fn needing_restart(old: &Settings, new: &Settings) -> Vec<&'static str> {
    let is_moved = old.node.entry_address != new.node.entry_address
        || old.node.peer_address != new.node.peer_address
        || old.node.admin_address != new.node.admin_address;
    let is_renamed = old.node.host != new.node.host || old.node.data_centre != new.node.data_centre;
    let changes = [
        ("the addresses", is_moved),
        ("host or data centre", is_renamed),
        ("the target", old.target != new.target),
        ("the form of the decision log", old.log.decisions != new.log.decisions),
    ];
    changes.into_iter().filter(|(_, is_changed)| *is_changed).map(|(part, _)| part).collect()
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
