//! A mesh of nodes on loopback, with unreachable hosts and a simulated platform that refuses some hosts.

#![allow(dead_code, reason = "each test file uses its part")]

use futures_util::future::{BoxFuture, FutureExt, join_all};
use laurelstall_config::{
    document::{Document, DocumentName, Version},
    fleet::{Fleet, Host, HostState},
    problem::ConfigError,
    system::ReplicationSettings,
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
    replicator::{ReplicationView, Replicator, ReplicatorOptions},
    server::{PeerHandler, PeerServer},
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

/// Maximum size of a document's text in bytes.
const DOCUMENT_BYTES_MAX: usize = 16 * 1024 * 1024;

/// Maximum time that the platform lets a watch wait.
const WATCH_WAIT: Duration = Duration::from_millis(2_500);
/// Time limit of a read from an unreachable platform.
const READ_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum time to wait for a condition.
const WAIT_MAX: Duration = Duration::from_secs(30);
/// A set of hosts that can change during a test.
#[derive(Debug, Default)]
pub struct HostSet(Mutex<HashSet<SocketAddr>>);

impl HostSet {
    pub fn contains(&self, address: SocketAddr) -> bool {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).contains(&address)
    }

    pub fn remove(&self, address: SocketAddr) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).remove(&address);
    }

    pub fn add(&self, address: SocketAddr) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).insert(address);
    }
}

/// The network as seen by one host.
#[derive(Debug)]
pub struct HostLink {
    own: SocketAddr,
    unreachable: Arc<HostSet>,
    silence: Arc<Silence>,
}

impl HostLink {
    pub fn new(own: SocketAddr, unreachable: Arc<HostSet>) -> Self {
        Self { own, unreachable, silence: Arc::default() }
    }

    /// Adds the times at which open connections go silent.
    pub fn with_silence(mut self, silence: Arc<Silence>) -> Self {
        self.silence = silence;
        self
    }
}

/// When all connections that were open went silent last.
#[derive(Debug, Default)]
pub struct Silence(Mutex<Option<Instant>>);

impl Silence {
    /// Makes all open connections silent.
    pub fn begin(&self) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = Some(Instant::now());
    }

    fn includes(&self, opened: Instant) -> bool {
        let began = *self.0.lock().unwrap_or_else(PoisonError::into_inner);
        began.is_some_and(|began| opened < began)
    }
}

impl Link for HostLink {
    fn is_partitioned(&self, other: SocketAddr) -> bool {
        self.unreachable.contains(self.own) || self.unreachable.contains(other)
    }

    fn is_silent(&self, _: SocketAddr, opened: Instant) -> bool {
        self.silence.includes(opened)
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

impl ReplicationView for View {
    fn fleet(&self) -> Arc<Fleet> {
        self.0.clone()
    }

    fn replication_settings(&self) -> ReplicationSettings {
        ReplicationSettings::default()
    }
}

/// A simulated platform with one document, which refuses some hosts.
#[derive(Debug, Default)]
pub struct Platform {
    version: AtomicU64,
    refused: HostSet,
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

/// The platform as seen by one host; an unreachable host gets no answer.
#[derive(Debug)]
pub struct HostPlatform {
    own: SocketAddr,
    platform: Arc<Platform>,
    unreachable: Arc<HostSet>,
}

impl HostPlatform {
    pub fn new(own: SocketAddr, platform: Arc<Platform>, unreachable: Arc<HostSet>) -> Self {
        Self { own, platform, unreachable }
    }

    async fn check(&self) -> Result<u64, PlatformError> {
        self.platform.calls.fetch_add(1, Ordering::Relaxed);
        if self.unreachable.contains(self.own) {
            sleep(WATCH_WAIT + READ_TIMEOUT).await;
            return Err(PlatformError::ReadFailed("no answer in time".to_owned()));
        }
        let version = self.platform.version.load(Ordering::Relaxed);
        if version == 0 || self.platform.refused.contains(self.own) {
            return Err(PlatformError::ReadFailed("refused".to_owned()));
        }
        Ok(version)
    }
}

impl PlatformSource for HostPlatform {
    fn watch(&self, after: Option<u64>) -> BoxFuture<'_, Result<Listing, PlatformError>> {
        async move {
            let changed = self.platform.changed.notified();
            if self.check().await? == after.unwrap_or(0) {
                // A watch without a change ends with the known version.
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
        async { AttemptAnswer::new(AttemptOutcome::Unknown(UnknownCause::AnswerLost("no target"))) }.boxed()
    }
}

#[derive(Debug)]
pub struct Handler {
    replicator: Arc<Replicator>,
    target: NoTarget,
}

impl Handler {
    pub fn new(replicator: Arc<Replicator>) -> Self {
        Self { replicator, target: NoTarget }
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
            PeerRequest::Exchange(exchange) => self.replicator.answer_exchange(&exchange),
            PeerRequest::Pull(items) => self.replicator.answer_pull(&items),
            PeerRequest::Offer(address, status, versions) => {
                self.replicator.handle_offer(from, address, &status, versions);
                PeerAnswer::Noted
            }
            PeerRequest::CanRead => self.replicator.answer_can_read(),
            PeerRequest::CrashReportBatch(batch) => {
                self.replicator.crashes().merge_reports(&batch.unpack());
                PeerAnswer::Noted
            }
            PeerRequest::CrashReports(reports) => {
                self.replicator.crashes().merge_reports(&reports);
                PeerAnswer::Noted
            }
            PeerRequest::CompareCrashes(reports) => self.replicator.answer_crashes(&reports),
            PeerRequest::CompareCrashFingerprints(theirs) => {
                self.replicator.answer_crash_fingerprints(&theirs)
            }
            PeerRequest::CompareCorrections(corrections) => {
                self.replicator.answer_corrections(corrections.as_ref())
            }
            _ => PeerAnswer::Noted,
        };
        async { answer }.boxed()
    }
}

/// Nodes on loopback that know each other.
pub struct Mesh {
    pub nodes: Vec<(SocketAddr, Arc<Replicator>)>,
    pub unreachable: Arc<HostSet>,
    /// When the connections between nodes went silent.
    pub silence: Arc<Silence>,
    pub fleet: Arc<Fleet>,
    pub platform: Arc<Platform>,
    /// Aborted when the mesh is dropped.
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
        let unreachable = Arc::<HostSet>::default();
        let silence = Arc::<Silence>::default();
        let platform = Arc::<Platform>::default();
        let mut tasks = JoinSet::new();
        let mut nodes = Vec::new();
        for (number, listener) in listeners.into_iter().enumerate() {
            let own = address(&listener);
            let link = HostLink::new(own, unreachable.clone()).with_silence(silence.clone());
            let link = Arc::new(link);
            let host_platform = HostPlatform::new(own, platform.clone(), unreachable.clone());
            let replicator = node(&fleet, number, seed, link, Arc::new(host_platform));
            replicator.apply(version(1));
            let handler = Arc::new(Handler::new(replicator.clone()));
            tasks.spawn(PeerServer::new(handler, Arc::default()).serve(listener));
            tasks.spawn(replicator.clone().run());
            nodes.push((own, replicator));
        }
        Self { nodes, unreachable, silence, fleet, platform, _tasks: tasks }
    }

    /// Waits until all reachable nodes hold this version, and returns how long that took.
    pub async fn time_to_all(&self, number: u64) -> Duration {
        let started = Instant::now();
        while self.behind(number) > 0 && started.elapsed() < WAIT_MAX {
            sleep(Duration::from_millis(10)).await;
        }
        started.elapsed()
    }

    /// Number of reachable nodes that do not hold this version yet.
    pub fn behind(&self, number: u64) -> usize {
        let is_reachable =
            |(address, _): &&(SocketAddr, Arc<Replicator>)| !self.unreachable.contains(*address);
        let nodes = self.nodes.iter().filter(is_reachable);
        nodes
            .filter(|(_, replicator)| {
                replicator.store().version(&DocumentName::System) < Version::new(number)
            })
            .count()
    }
}

pub fn node(
    fleet: &Arc<Fleet>,
    number: usize,
    seed: u64,
    link: Arc<dyn Link>,
    platform: Arc<dyn PlatformSource>,
) -> Arc<Replicator> {
    let host = &fleet.hosts[number];
    let options = ReplicatorOptions {
        host: host.name.clone(),
        data_centre: host.data_centre.clone(),
        peer_address: host.node_address,
        seeds: Vec::new(),
        seed: seed * 1_000 + number as u64,
        document_bytes_max: DOCUMENT_BYTES_MAX,
    };
    let clock = Clock::new();
    let client = PeerClient::new(Arc::new(Pool::new(clock, Arc::new(Meter::default()), link)));
    let view = Arc::new(View(fleet.clone()));
    Replicator::new(options, clock, client, platform, Arc::new(AcceptAll), view)
}
