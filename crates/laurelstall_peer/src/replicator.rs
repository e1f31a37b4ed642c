//! Replicates the configuration documents to every node.
//!
//! A few reader nodes in each data centre watch the platform. A node that accepts a new version offers it
//! to its partners, which pull it. As anti-entropy, each node also compares versions with one partner at a
//! regular interval, which repairs missed offers. Nodes that learn of no platform read for a long time read
//! the platform themselves, rarely and at random times.

use crate::{
    client::{PeerClient, PeerError},
    crash_registry::CrashRegistry,
    message::{Exchange, PeerAnswer},
    partners::{pick_others, pick_partners, pick_remote},
    platform::PlatformSource,
    read_span::ReadSpan,
    replication_state::{PartnerState, ReplicationCounts},
    store::{Acceptor, ApplyOutcome, DocumentStore},
};
use futures_util::stream::FuturesUnordered;
use laurelstall_config::{
    document::{Document, DocumentName, Version},
    fleet::{Fleet, Host},
    system::ReplicationSettings,
};
use laurelstall_guard::clock::Clock;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use std::{
    collections::{HashMap, HashSet},
    net::{IpAddr, SocketAddr},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};
use tokio::{
    sync::{Mutex as AsyncMutex, Notify},
    time::Duration,
};

mod anti_entropy;
mod corrections;
mod crash_reports;
mod join;
mod offers;
mod platform_reads;
mod platform_status;
mod pulls;
mod standby_readers;

use standby_readers::ReaderRole;

/// Identity and startup options of a node.
#[derive(Debug, Clone)]
pub struct ReplicatorOptions {
    /// Name of the node's host.
    pub host: String,
    /// Data centre of the host.
    pub data_centre: String,
    /// Address on which other nodes reach this one.
    pub peer_address: SocketAddr,
    /// Nodes to contact while the list of hosts is unknown.
    pub seeds: Vec<SocketAddr>,
    /// Seed of the random number generator that picks partners and pauses.
    pub seed: u64,
    /// Maximum size of a document's text in bytes.
    pub document_bytes_max: usize,
}

/// Where a document came from.
#[derive(Debug, Clone, Copy)]
struct Origin {
    /// The node that sent it, or `None` for the platform.
    peer: Option<SocketAddr>,
    /// Whether it came from a stale read of the platform; other nodes may hold newer versions.
    is_stale: bool,
    /// When a node read it from the platform, in µs of this node's clock.
    read_us: u64,
}

/// A version that was accepted and not offered to other nodes yet.
#[derive(Debug, Clone, Copy)]
struct Change {
    version: Version,
    /// Whether this node read the version from the platform itself.
    is_read_here: bool,
}

/// Gives access to the parts of the active configuration that replication depends on.
pub trait ReplicationView: Send + Sync + std::fmt::Debug {
    /// Returns the list of hosts.
    fn fleet(&self) -> Arc<Fleet>;
    /// Returns the replication settings.
    fn replication_settings(&self) -> ReplicationSettings;
}

/// Replicates configuration between this node, the platform and other nodes.
#[derive(Debug)]
pub struct Replicator {
    options: ReplicatorOptions,
    clock: Clock,
    client: PeerClient,
    platform: Arc<dyn PlatformSource>,
    acceptor: Arc<dyn Acceptor>,
    view: Arc<dyn ReplicationView>,
    store: Mutex<DocumentStore>,
    /// Platform reads known to this node, its own and those of others; `None` before the first.
    known_reads: Mutex<Option<ReadSpan>>,
    /// Time at which the platform held nothing newer than this node, in µs of this node's clock; 0 for
    /// never.
    up_to_date_us: AtomicU64,
    /// Latest era of the platform that this node has read.
    platform_era: AtomicU64,
    /// When the last platform outage ended, in µs of this node's clock (negative before its start); `None`
    /// if there was none.
    outage_end_us: Mutex<Option<i64>>,
    /// Whether this node's last read of the platform failed.
    is_read_failing: AtomicBool,
    /// Whether the read after a failed one, which opens a new connection, has failed as well.
    is_platform_failing: AtomicBool,
    pending_offers: Mutex<HashMap<DocumentName, Change>>,
    /// When the held versions were read from the platform by any node, in µs of this node's clock.
    read_us: Mutex<HashMap<DocumentName, u64>>,
    /// Nodes that the last list of hosts removed and that were not offered that list yet.
    removed_nodes: Mutex<HashSet<SocketAddr>>,
    offer_notify: Notify,
    /// Nodes before this one in the reader order that cannot read the platform.
    failed_readers: Mutex<HashSet<SocketAddr>>,
    role_changed: Notify,
    pull_lock: AsyncMutex<()>,
    is_joined: AtomicBool,
    /// Whether this node joined through a stale read of the platform.
    has_read_stale: AtomicBool,
    partner_seed: AtomicU64,
    rng: Mutex<SmallRng>,
    partner_states: Mutex<HashMap<SocketAddr, PartnerState>>,
    /// Requests that crashed targets.
    crashes: Arc<CrashRegistry>,
    seeds: Mutex<Vec<SocketAddr>>,
    /// Counters of this node's replication.
    pub counts: ReplicationCounts,
}

impl Replicator {
    /// Creates a replicator that holds no documents.
    pub fn new(
        options: ReplicatorOptions,
        clock: Clock,
        client: PeerClient,
        platform: Arc<dyn PlatformSource>,
        acceptor: Arc<dyn Acceptor>,
        view: Arc<dyn ReplicationView>,
    ) -> Arc<Self> {
        let partner_seed = AtomicU64::new(options.seed);
        let rng = Mutex::new(SmallRng::seed_from_u64(options.seed));
        let seeds = Mutex::new(options.seeds.clone());
        let store = Mutex::new(DocumentStore::new(options.document_bytes_max));
        Arc::new(Self {
            options,
            clock,
            client,
            platform,
            acceptor,
            view,
            store,
            known_reads: Mutex::default(),
            up_to_date_us: AtomicU64::new(0),
            platform_era: AtomicU64::new(0),
            outage_end_us: Mutex::default(),
            is_read_failing: AtomicBool::new(false),
            is_platform_failing: AtomicBool::new(false),
            pending_offers: Mutex::default(),
            read_us: Mutex::default(),
            removed_nodes: Mutex::default(),
            offer_notify: Notify::new(),
            failed_readers: Mutex::default(),
            role_changed: Notify::new(),
            pull_lock: AsyncMutex::new(()),
            is_joined: AtomicBool::new(false),
            has_read_stale: AtomicBool::new(false),
            partner_seed,
            rng,
            partner_states: Mutex::default(),
            crashes: Arc::new(CrashRegistry::new(clock)),
            seeds,
            counts: ReplicationCounts::default(),
        })
    }

    /// Replaces the nodes to contact while no other node is known.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        *self.seeds.lock().unwrap_or_else(PoisonError::into_inner) = seeds;
    }

    /// Locks and returns the store of held documents.
    pub fn store(&self) -> MutexGuard<'_, DocumentStore> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the registry of requests that crashed targets.
    pub fn crashes(&self) -> &Arc<CrashRegistry> {
        &self.crashes
    }

    /// Number of documents that this node could not read from the platform.
    pub fn unreadable_documents(&self) -> u64 {
        self.platform.unreadable_documents()
    }

    /// Whether this node watches the platform at present.
    pub fn is_reader(&self) -> bool {
        self.reader_role() != ReaderRole::None
    }

    /// Answers a standby reader that checks whether this node can read the platform.
    pub fn answer_can_read(&self) -> PeerAnswer {
        PeerAnswer::CanRead(self.can_read())
    }

    /// Whether the initial [`join`](Self::join) is over.
    pub fn is_joined(&self) -> bool {
        self.is_joined.load(Ordering::Relaxed)
    }

    /// Returns the result of the last exchange with each partner.
    pub fn partner_states(&self) -> Vec<(SocketAddr, PartnerState)> {
        let states = self.partner_states.lock().unwrap_or_else(PoisonError::into_inner);
        states.iter().map(|(address, state)| (*address, *state)).collect()
    }

    fn exchange_with_each(
        &self,
        addresses: impl IntoIterator<Item = SocketAddr>,
    ) -> FuturesUnordered<impl Future<Output = Result<(), PeerError>>> {
        addresses.into_iter().map(|address| self.exchange_with(address)).collect()
    }

    /// Reads the platform and replicates documents; runs until the future is dropped.
    pub async fn run(self: Arc<Self>) {
        tokio::join!(
            self.read_loop(),
            self.standby_loop(),
            self.offer_loop(),
            self.crash_report_loop(),
            self.exchange_loop(),
            self.confirm_stale_read()
        );
    }

    /// Answers a node that compares its versions with ours.
    pub fn answer_exchange(&self, theirs: &Exchange) -> PeerAnswer {
        self.merge_status(theirs);
        let ours = self.own_status();
        if ours.versions_hash == theirs.versions_hash {
            return PeerAnswer::Same(ours);
        }
        let versions = self.store().versions();
        PeerAnswer::Versions(ours, versions)
    }

    /// Records another node's platform status and pulls the versions that are newer there.
    ///
    /// An offer is ignored unless its address has the IP of the connection or belongs to a listed node, so
    /// that an unknown sender cannot direct nodes to arbitrary addresses. A host with several addresses may
    /// connect from any of them. If offers from such hosts were ignored, their versions would arrive only by
    /// exchanges, in 0.3 to 3 s rather than in some ms.
    pub fn handle_offer(
        self: &Arc<Self>,
        from: IpAddr,
        address: SocketAddr,
        status: &Exchange,
        theirs: Vec<(DocumentName, Version)>,
    ) {
        // Must precede the documents, since accepting them depends on it.
        self.merge_status(status);
        let is_known = address.ip() == from || self.view.fleet().has_node(address);
        if !is_known || self.store().pull_items_for(&theirs).is_empty() {
            return;
        }
        let this = self.clone();
        tokio::spawn(async move {
            if let Err(error) = this.pull(address, &theirs).await {
                log::debug!("pull from {address} failed: {error}");
            }
        });
    }

    /// Applies a document that was read from the platform and, if it is accepted, offers it to the
    /// partners.
    pub fn apply(&self, document: Document) -> bool {
        self.apply_from(document, Origin { peer: None, is_stale: false, read_us: self.clock.now_us() })
    }

    fn apply_from(&self, document: Document, origin: Origin) -> bool {
        let name = document.name.clone();
        let version = document.version;
        let held = self.store().version(&name);
        let fleet_before = self.view.fleet();
        let outcome = self.store().apply(document, &*self.acceptor);
        match outcome {
            ApplyOutcome::Accepted => {
                self.counts.activated.fetch_add(1, Ordering::Relaxed);
                self.note_origin(&name, version, held, origin);
                if !origin.is_stale {
                    let change = Change { version, is_read_here: origin.peer.is_none() };
                    if name == DocumentName::Fleet {
                        self.note_removed_nodes(&fleet_before, change.is_read_here);
                    }
                    self.pending_offers.lock().unwrap_or_else(PoisonError::into_inner).insert(name, change);
                    self.offer_notify.notify_one();
                }
                return true;
            }
            ApplyOutcome::Rejected(error) => {
                self.counts.rejected.fetch_add(1, Ordering::Relaxed);
                log::error!("{name} version {version} is rejected, the active version stays: {error}");
            }
            ApplyOutcome::Conflict => log::error!(
                "{name} version {version} differs from the held text of this version; it is ignored"
            ),
            ApplyOutcome::NotNewer => {}
        }
        false
    }

    /// Logs the source and delay of a new version, and records when it was read for the nodes that pull it
    /// from here.
    fn note_origin(&self, name: &DocumentName, version: Version, held: Version, origin: Origin) {
        let delay_us = self.clock.now_us().saturating_sub(origin.read_us);
        self.acceptor.record_delay(delay_us);
        self.read_us.lock().unwrap_or_else(PoisonError::into_inner).insert(name.clone(), origin.read_us);
        let from = origin.peer.map_or("the platform".to_owned(), |peer| peer.to_string());
        let delay_ms = delay_us / 1_000;
        log::info!(
            "{name}: version {version} replaces {held}; received from {from} {delay_ms} ms after it was read from the platform"
        );
    }

    /// Time since the held version was read from the platform by any node, in µs.
    fn read_age_us(&self, name: &DocumentName) -> u64 {
        let read_us = self.read_us.lock().unwrap_or_else(PoisonError::into_inner).get(name).copied();
        read_us.map_or(0, |read_us| self.clock.now_us().saturating_sub(read_us))
    }

    fn rng(&self) -> MutexGuard<'_, SmallRng> {
        self.rng.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns 50 to 150 % of a pause at random, so that nodes do not act in lockstep.
    fn jittered(&self, pause_ms: u64) -> Duration {
        let pause_us = pause_ms * 1_000;
        Duration::from_micros(self.rng().random_range(pause_us / 2..=pause_us + pause_us / 2))
    }

    /// Returns this node's platform status and hashes, to compare with another node's.
    fn own_status(&self) -> Exchange {
        Exchange {
            versions_hash: self.store().versions_hash(),
            platform_read_age_ms: self.platform_read_age_ms(),
            platform_reads_from_age_ms: self.platform_reads_from_age_ms(),
            outage_end_age_ms: self.outage_end_age_ms(),
            crashes_hash: self.crashes.hash(),
            corrections_hash: self.acceptor.corrections_hash(),
            documents_age_ms: self.documents_age_ms(),
        }
    }

    fn has_documents(&self) -> bool {
        !self.store().versions().is_empty()
    }

    /// The seeds without this node.
    fn other_seeds(&self) -> Vec<SocketAddr> {
        let seeds = self.seeds.lock().unwrap_or_else(PoisonError::into_inner);
        seeds.iter().copied().filter(|address| *address != self.options.peer_address).collect()
    }

    /// Random nodes that are not partners, to contact in place of partners that do not answer.
    fn substitutes(&self, partners: &[SocketAddr], count: usize) -> Vec<SocketAddr> {
        let fleet = self.view.fleet();
        pick_others(&fleet, &self.options.host, partners, count, &mut self.rng())
    }

    /// Random nodes of other data centres.
    fn remote_nodes(&self, count: usize) -> Vec<SocketAddr> {
        let fleet = self.view.fleet();
        pick_remote(&fleet, &self.options.data_centre, count, &mut self.rng())
    }

    fn partners(&self) -> Vec<SocketAddr> {
        self.partners_where(&self.view.fleet(), |_| true)
    }

    /// Partners in this node's data centre.
    fn local_partners(&self) -> Vec<SocketAddr> {
        self.local_partners_in(&self.view.fleet())
    }

    /// Partners in this node's data centre according to the given list of hosts.
    fn local_partners_in(&self, fleet: &Fleet) -> Vec<SocketAddr> {
        self.partners_where(fleet, |host| host.data_centre == self.options.data_centre)
    }

    fn partners_where(&self, fleet: &Fleet, is_wanted: impl Fn(&Host) -> bool) -> Vec<SocketAddr> {
        let count = self.view.replication_settings().partners;
        let seed = self.partner_seed.load(Ordering::Relaxed);
        let partners = pick_partners(fleet, &self.options.host, &self.options.data_centre, count, seed);
        partners.into_iter().filter(|host| is_wanted(host)).map(|host| host.node_address).collect()
    }
}
