//! Nodes on loopback that have only each other, hosts that go dark, and a platform that refuses some.

#![allow(dead_code, reason = "each test file uses its part")]

use futures_util::future::{BoxFuture, FutureExt, join_all};
use laurelstall_config::{
    document::{Document, DocumentName, Version},
    fleet::{Fleet, Host, HostState},
    problem::ConfigError,
    system::SpreadLimits,
};
use laurelstall_guard::clock::Clock;
use laurelstall_peer::{
    attempt::{Admission, Attempt, AttemptAnswer, AttemptHandler, AttemptOutcome, UnknownCause},
    client::PeerClient,
    link::Link,
    message::{PeerAnswer, PeerRequest},
    meter::Meter,
    platform::{Listing, PlatformError, PlatformSource},
    pool::Pool,
    server::{PeerHandler, PeerServer},
    spread::{Spread, SpreadOptions, SpreadView},
    store::Acceptor,
};
use std::{
    collections::HashSet,
    net::{IpAddr, SocketAddr},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};
use tokio::{
    net::TcpListener,
    sync::Notify,
    task::JoinSet,
    time::{Duration, Instant, sleep, timeout},
};

/// Longest that the platform lets a watch wait.
const WATCH_WAIT: Duration = Duration::from_millis(2_500);
/// Longest that a read waits for an answer.
const READ_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest that a run is waited for.
const LONGEST: Duration = Duration::from_secs(30);
/// Hosts that are dark: nothing passes to or from them.
#[derive(Debug, Default)]
pub struct Darkness(Mutex<HashSet<SocketAddr>>);

impl Darkness {
    pub fn is_dark(&self, address: SocketAddr) -> bool {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).contains(&address)
    }

    /// Lets it be reached again.
    pub fn remove(&self, address: SocketAddr) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).remove(&address);
    }

    pub fn add(&self, address: SocketAddr) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).insert(address);
    }
}

#[derive(Debug)]
pub struct HostLink {
    own: SocketAddr,
    darkness: Arc<Darkness>,
}

impl HostLink {
    pub fn new(own: SocketAddr, darkness: Arc<Darkness>) -> Self {
        Self { own, darkness }
    }
}

impl Link for HostLink {
    fn is_cut(&self, other: SocketAddr) -> bool {
        self.darkness.is_dark(self.own) || self.darkness.is_dark(other)
    }
}

#[derive(Debug)]
pub struct AcceptAll;

impl Acceptor for AcceptAll {
    fn accept(&self, _: &Document) -> Result<(), ConfigError> {
        Ok(())
    }
}

#[derive(Debug)]
pub struct View(Arc<Fleet>);

impl SpreadView for View {
    fn fleet(&self) -> Arc<Fleet> {
        self.0.clone()
    }

    fn spread(&self) -> SpreadLimits {
        SpreadLimits::default()
    }
}

/// A platform with one document, which refuses some hosts.
#[derive(Debug, Default)]
pub struct Platform {
    version: AtomicU64,
    refused: Darkness,
    pub calls: AtomicU64,
    changed: Notify,
}

impl Platform {
    pub fn publish(&self, number: u64) {
        self.version.store(number, Ordering::Relaxed);
        self.changed.notify_waiters();
    }

    pub fn refuse(&self, address: SocketAddr) {
        self.refused.add(address);
        self.changed.notify_waiters();
    }
}

/// The platform as one host reaches it; what is dark hears nothing.
#[derive(Debug)]
pub struct WayToPlatform {
    own: SocketAddr,
    platform: Arc<Platform>,
    darkness: Arc<Darkness>,
}

impl WayToPlatform {
    pub fn new(own: SocketAddr, platform: Arc<Platform>, darkness: Arc<Darkness>) -> Self {
        Self { own, platform, darkness }
    }

    async fn check(&self) -> Result<u64, PlatformError> {
        self.platform.calls.fetch_add(1, Ordering::Relaxed);
        if self.darkness.is_dark(self.own) {
            sleep(WATCH_WAIT + READ_TIMEOUT).await;
            return Err(PlatformError::Unreachable("no answer in time".to_owned()));
        }
        let version = self.platform.version.load(Ordering::Relaxed);
        if version == 0 || self.platform.refused.is_dark(self.own) {
            return Err(PlatformError::Unreachable("refused".to_owned()));
        }
        Ok(version)
    }
}

impl PlatformSource for WayToPlatform {
    fn watch(&self, after: Option<u64>) -> BoxFuture<'_, Result<Listing, PlatformError>> {
        async move {
            let changed = self.platform.changed.notified();
            if self.check().await? == after.unwrap_or(0) {
                // Without a change, the watch ends with what is known.
                let _ = timeout(WATCH_WAIT, changed).await;
            }
            let sequence = self.check().await?;
            Ok(Listing { era: 0, sequence, versions: vec![(DocumentName::System, Version::new(sequence))] })
        }
        .boxed()
    }

    fn read(&self, _: DocumentName) -> BoxFuture<'_, Result<Document, PlatformError>> {
        async move { Ok(version(self.check().await?)) }.boxed()
    }
}

#[derive(Debug)]
pub struct NoTarget;

impl AttemptHandler for NoTarget {
    fn attempt(&self, _: Attempt, _: Admission) -> BoxFuture<'_, AttemptAnswer> {
        async { AttemptAnswer::new(AttemptOutcome::Unknown(UnknownCause::Lost("no target"))) }.boxed()
    }
}

#[derive(Debug)]
pub struct Handler {
    spread: Arc<Spread>,
    target: NoTarget,
}

impl Handler {
    pub fn new(spread: Arc<Spread>) -> Self {
        Self { spread, target: NoTarget }
    }
}

impl PeerHandler for Handler {
    fn attempts(&self) -> &dyn AttemptHandler {
        &self.target
    }

    fn is_member(&self, _: IpAddr) -> bool {
        true
    }

    fn answer(&self, from: IpAddr, request: PeerRequest) -> BoxFuture<'_, PeerAnswer> {
        let answer = match request {
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
            PeerRequest::CompareCrashes(news) => self.spread.answer_crashes(&news),
            PeerRequest::CompareCarried(news) => self.spread.answer_carried(news.as_ref()),
            _ => PeerAnswer::Noted,
        };
        async { answer }.boxed()
    }
}

/// Nodes on loopback that have only each other.
pub struct Mesh {
    pub nodes: Vec<(SocketAddr, Arc<Spread>)>,
    pub darkness: Arc<Darkness>,
    pub fleet: Arc<Fleet>,
    pub platform: Arc<Platform>,
    /// Ends with the mesh.
    _tasks: JoinSet<()>,
}

pub fn version(number: u64) -> Document {
    let text = format!("version {number}");
    Document { name: DocumentName::System, version: Version::new(number), text }
}

impl Mesh {
    pub async fn start(count: usize, seed: u64) -> Self {
        let listeners = join_all((0..count).map(|_| TcpListener::bind("127.0.0.1:0"))).await;
        let listeners = listeners.into_iter().map(|listener| listener.expect("a free port"));
        let listeners = listeners.collect::<Vec<_>>();
        let address = |listener: &TcpListener| listener.local_addr().expect("it listens");
        let host = |(number, listener): (usize, &TcpListener)| Host {
            name: format!("h-{number}"),
            node_address: address(listener),
            data_centre: format!("dc-{}", number % 3),
            state: HostState::Live,
        };
        let hosts = listeners.iter().enumerate().map(host).collect();
        let fleet = Arc::new(Fleet { hosts, ..Fleet::default() });
        let darkness = Arc::<Darkness>::default();
        let platform = Arc::<Platform>::default();
        let mut tasks = JoinSet::new();
        let mut nodes = Vec::new();
        for (number, listener) in listeners.into_iter().enumerate() {
            let own = address(&listener);
            let link = Arc::new(HostLink::new(own, darkness.clone()));
            let way = WayToPlatform::new(own, platform.clone(), darkness.clone());
            let spread = node(&fleet, number, seed, link, Arc::new(way));
            spread.take(version(1));
            let handler = Arc::new(Handler::new(spread.clone()));
            tasks.spawn(PeerServer::new(handler, Arc::default()).serve(listener));
            tasks.spawn(spread.clone().run());
            nodes.push((own, spread));
        }
        Self { nodes, darkness, fleet, platform, _tasks: tasks }
    }

    /// Waits until all that are not dark hold this version; for how long.
    pub async fn time_to_all(&self, number: u64) -> Duration {
        let started = Instant::now();
        while self.behind(number) > 0 && started.elapsed() < LONGEST {
            sleep(Duration::from_millis(10)).await;
        }
        started.elapsed()
    }

    /// Nodes that are not dark and do not hold this version yet.
    pub fn behind(&self, number: u64) -> usize {
        let lives = |(address, _): &&(SocketAddr, Arc<Spread>)| !self.darkness.is_dark(*address);
        let nodes = self.nodes.iter().filter(lives);
        nodes
            .filter(|(_, spread)| spread.store().version(&DocumentName::System) < Version::new(number))
            .count()
    }
}

pub fn node(
    fleet: &Arc<Fleet>,
    number: usize,
    seed: u64,
    link: Arc<dyn Link>,
    platform: Arc<dyn PlatformSource>,
) -> Arc<Spread> {
    let host = &fleet.hosts[number];
    let options = SpreadOptions {
        host: host.name.clone(),
        data_centre: host.data_centre.clone(),
        peer_address: host.node_address,
        seeds: Vec::new(),
        seed: seed * 1_000 + number as u64,
    };
    let clock = Clock::new();
    let client = PeerClient::new(Arc::new(Pool::new(clock, Arc::new(Meter::default()), link)));
    let view = Arc::new(View(fleet.clone()));
    Spread::new(options, clock, client, platform, Arc::new(AcceptAll), view)
}
