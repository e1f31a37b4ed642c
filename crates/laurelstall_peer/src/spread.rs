//! Keeping a node's configuration the newest there is.
//!
//! A few readers in each data centre watch the platform. Whoever takes a new document offers it
//! to its partners at once, and they pull it; besides, each node compares versions with one
//! partner at a steady pace, so whatever was missed is found. Nodes that hear nothing of any
//! platform read for long read themselves, seldom and spread.

use crate::{
    client::{PeerClient, PeerError},
    crash_registry::CrashRegistry,
    message::{Exchange, PeerAnswer},
    partners::{pick_far, pick_others, pick_partners},
    platform::PlatformSource,
    read_span::ReadSpan,
    spread_state::{PartnerState, SpreadCounts},
    store::{Acceptor, Offer, Store},
};
use futures_util::stream::FuturesUnordered;
use laurelstall_config::{
    document::{Document, DocumentName, Version},
    fleet::{Fleet, Host},
    system::SpreadLimits,
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

mod carrying;
mod crash_news;
mod exchanging;
mod joining;
mod offering;
mod platform_news;
mod pulling;
mod reading;
mod standby;

use standby::ReaderRole;

/// Who this node is.
#[derive(Debug, Clone)]
pub struct SpreadOptions {
    /// Its host's name.
    pub host: String,
    /// Its data centre.
    pub data_centre: String,
    /// Where other nodes reach it.
    pub peer_address: SocketAddr,
    /// Nodes to ask before a fleet list is known.
    pub seeds: Vec<SocketAddr>,
    /// Seed of its random picks.
    pub seed: u64,
}

/// Where a document came from.
#[derive(Debug, Clone, Copy)]
struct Origin {
    /// The node that gave it; none for the platform.
    peer: Option<SocketAddr>,
    /// Whether it is from a stale read of the platform, as others have made it.
    is_stale: bool,
    /// When a node read it from the platform, in µs of this node's clock.
    read_us: u64,
}

/// A version that was taken and not offered yet.
#[derive(Debug, Clone, Copy)]
struct Change {
    version: Version,
    /// Whether this node read it from the platform itself.
    is_read_here: bool,
}

/// What the configuration in force says about spreading.
pub trait SpreadView: Send + Sync + std::fmt::Debug {
    /// The hosts.
    fn fleet(&self) -> Arc<Fleet>;
    /// The limits.
    fn spread(&self) -> SpreadLimits;
}

/// A node's part in the spreading of configuration.
#[derive(Debug)]
pub struct Spread {
    options: SpreadOptions,
    clock: Clock,
    client: PeerClient,
    platform: Arc<dyn PlatformSource>,
    acceptor: Arc<dyn Acceptor>,
    view: Arc<dyn SpreadView>,
    store: Mutex<Store>,
    /// The platform reads that this node heard of, its own and others'; none before the first.
    reads: Mutex<Option<ReadSpan>>,
    /// The documents held are at least as new as the platform's were then, in µs of this node's clock; 0 for never.
    in_step_us: AtomicU64,
    /// The latest era of the platform that was read here.
    platform_era: AtomicU64,
    /// When the platform came back the last time, in µs of its clock, negative before its start; none if it never was away.
    platform_return_us: Mutex<Option<i64>>,
    /// Whether this node's last read failed.
    is_read_failing: AtomicBool,
    changed: Mutex<HashMap<DocumentName, Change>>,
    /// When the versions held were read from the platform, by whichever node, in µs of this node's clock.
    read_us: Mutex<HashMap<DocumentName, u64>>,
    /// Nodes whose hosts the list of hosts lacks since it changed last, which were not told so yet.
    dropped: Mutex<HashSet<SocketAddr>>,
    has_changed: Notify,
    /// Nodes ahead of this one in the order of readers that cannot read.
    unable_readers: Mutex<HashSet<SocketAddr>>,
    role_changed: Notify,
    pulling: AsyncMutex<()>,
    is_joined: AtomicBool,
    /// Whether it joined by a stale read of the platform.
    has_read_stale: AtomicBool,
    partner_seed: AtomicU64,
    rng: Mutex<SmallRng>,
    partner_states: Mutex<HashMap<SocketAddr, PartnerState>>,
    /// What is known of requests that ended targets.
    crashes: Arc<CrashRegistry>,
    seeds: Mutex<Vec<SocketAddr>>,
    /// Counts.
    pub counts: SpreadCounts,
}

impl Spread {
    /// A node that holds nothing yet.
    pub fn new(
        options: SpreadOptions,
        clock: Clock,
        client: PeerClient,
        platform: Arc<dyn PlatformSource>,
        acceptor: Arc<dyn Acceptor>,
        view: Arc<dyn SpreadView>,
    ) -> Arc<Self> {
        let partner_seed = AtomicU64::new(options.seed);
        let rng = Mutex::new(SmallRng::seed_from_u64(options.seed));
        let seeds = Mutex::new(options.seeds.clone());
        Arc::new(Self {
            options,
            clock,
            client,
            platform,
            acceptor,
            view,
            store: Mutex::default(),
            reads: Mutex::default(),
            in_step_us: AtomicU64::new(0),
            platform_era: AtomicU64::new(0),
            platform_return_us: Mutex::default(),
            is_read_failing: AtomicBool::new(false),
            changed: Mutex::default(),
            read_us: Mutex::default(),
            dropped: Mutex::default(),
            has_changed: Notify::new(),
            unable_readers: Mutex::default(),
            role_changed: Notify::new(),
            pulling: AsyncMutex::new(()),
            is_joined: AtomicBool::new(false),
            has_read_stale: AtomicBool::new(false),
            partner_seed,
            rng,
            partner_states: Mutex::default(),
            crashes: Arc::new(CrashRegistry::new(clock)),
            seeds,
            counts: SpreadCounts::default(),
        })
    }

    /// Replaces the nodes to ask when no other is known.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        *self.seeds.lock().unwrap_or_else(PoisonError::into_inner) = seeds;
    }

    /// The documents held.
    pub fn store(&self) -> MutexGuard<'_, Store> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What is known of requests that ended targets.
    pub fn crashes(&self) -> &Arc<CrashRegistry> {
        &self.crashes
    }

    /// Whether this node watches the platform now.
    pub fn is_reader(&self) -> bool {
        self.reader_role() != ReaderRole::None
    }

    /// Answers a node that stands by to read the platform.
    pub fn answer_can_read(&self) -> PeerAnswer {
        PeerAnswer::CanRead(self.can_read())
    }

    /// Whether this node asked around before it served.
    pub fn is_joined(&self) -> bool {
        self.is_joined.load(Ordering::Relaxed)
    }

    /// How each partner stood at the last exchange.
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

    /// Reads, offers and exchanges until it is dropped.
    pub async fn run(self: Arc<Self>) {
        tokio::join!(
            self.read_loop(),
            self.standby_loop(),
            self.offer_loop(),
            self.crash_news_loop(),
            self.exchange_loop(),
            self.confirm_stale_read()
        );
    }

    /// Answers a node that compares versions.
    pub fn answer_exchange(&self, theirs: &Exchange) -> PeerAnswer {
        self.note_news(theirs);
        let ours = self.exchange();
        if ours.versions_hash == theirs.versions_hash {
            return PeerAnswer::Same(ours);
        }
        let versions = self.store().versions();
        PeerAnswer::Versions(ours, versions)
    }

    /// Notes what another node has, and pulls what is newer.
    ///
    /// The address must be that of the connection, or listed as a node's, since a host with several addresses may connect
    /// from any of them: nobody can send a node after a stranger. Hosts whose offers were passed over for that told of a
    /// version only by exchanges, in 0.3 to 3 s (8 nodes) where an offer takes some ms.
    pub fn note_offer(
        self: &Arc<Self>,
        from: IpAddr,
        address: SocketAddr,
        news: &Exchange,
        theirs: Vec<(DocumentName, Version)>,
    ) {
        // Before the documents: how they are taken depends on it.
        self.note_news(news);
        let is_known = address.ip() == from || self.view.fleet().is_node(address);
        if !is_known || self.store().behind(&theirs).is_empty() {
            return;
        }
        let this = self.clone();
        tokio::spawn(async move {
            if let Err(error) = this.pull(address, &theirs).await {
                log::debug!("pull from {address}: {error}");
            }
        });
    }

    /// Offers a document that was just read to the store and, if it is taken, to the partners.
    pub fn take(&self, document: Document) -> bool {
        self.take_from(document, Origin { peer: None, is_stale: false, read_us: self.clock.now_us() })
    }

    fn take_from(&self, document: Document, origin: Origin) -> bool {
        let name = document.name.clone();
        let version = document.version;
        let held = self.store().version(&name);
        let fleet_before = self.view.fleet();
        let offer = self.store().offer(document, &*self.acceptor);
        match offer {
            Offer::Taken => {
                self.counts.taken.fetch_add(1, Ordering::Relaxed);
                self.note_origin(&name, version, held, origin);
                if !origin.is_stale {
                    let change = Change { version, is_read_here: origin.peer.is_none() };
                    if name == DocumentName::Fleet {
                        self.note_dropped(&fleet_before, change.is_read_here);
                    }
                    self.changed.lock().unwrap_or_else(PoisonError::into_inner).insert(name, change);
                    self.has_changed.notify_one();
                }
                return true;
            }
            Offer::Refused(error) => {
                self.counts.refused.fetch_add(1, Ordering::Relaxed);
                log::error!("{name} version {version} refused, the last good one stays: {error}");
            }
            Offer::Conflict => log::error!("{name} version {version} came with another text; ours stays"),
            Offer::TooLarge => log::error!("{name} version {version} is too large"),
            Offer::NotNewer => {}
        }
        false
    }

    /// Writes down by whom and how late a version came, and keeps when it was read for those that pull it here.
    fn note_origin(&self, name: &DocumentName, version: Version, held: Version, origin: Origin) {
        let delay_us = self.clock.now_us().saturating_sub(origin.read_us);
        self.acceptor.note_delay(delay_us);
        self.read_us.lock().unwrap_or_else(PoisonError::into_inner).insert(name.clone(), origin.read_us);
        let from = origin.peer.map_or("the platform".to_owned(), |peer| peer.to_string());
        let delay_ms = delay_us / 1_000;
        log::info!(
            "{name} version {version} is in force, after {held}, from {from}, {delay_ms} ms after it was read"
        );
    }

    /// Since the version held was read from the platform, by whichever node, in µs.
    fn read_age_us(&self, name: &DocumentName) -> u64 {
        let read_us = self.read_us.lock().unwrap_or_else(PoisonError::into_inner).get(name).copied();
        read_us.map_or(0, |read_us| self.clock.now_us().saturating_sub(read_us))
    }

    fn rng(&self) -> MutexGuard<'_, SmallRng> {
        self.rng.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Half to one and a half of a pause, so that nodes do not act in step.
    fn jittered(&self, pause_ms: u64) -> Duration {
        let pause_us = pause_ms * 1_000;
        Duration::from_micros(self.rng().random_range(pause_us / 2..=pause_us + pause_us / 2))
    }

    fn exchange(&self) -> Exchange {
        Exchange {
            versions_hash: self.store().versions_hash(),
            platform_read_age_ms: self.platform_read_age_ms(),
            platform_reads_from_age_ms: self.platform_reads_from_age_ms(),
            platform_return_age_ms: self.platform_return_age_ms(),
            crashes_hash: self.crashes.hash(),
            carried_hash: self.acceptor.carried_hash(),
            documents_age_ms: self.documents_age_ms(),
        }
    }

    fn has_documents(&self) -> bool {
        !self.store().versions().is_empty()
    }

    /// The seeds but for this node.
    fn other_seeds(&self) -> Vec<SocketAddr> {
        let seeds = self.seeds.lock().unwrap_or_else(PoisonError::into_inner);
        seeds.iter().copied().filter(|address| *address != self.options.peer_address).collect()
    }

    /// Some nodes that are no partners, at random, to take the place of partners that do not answer.
    fn substitutes(&self, partners: &[SocketAddr], count: usize) -> Vec<SocketAddr> {
        let fleet = self.view.fleet();
        pick_others(&fleet, &self.options.host, partners, count, &mut self.rng())
    }

    /// Some nodes of other data centres at random.
    fn far_nodes(&self, count: usize) -> Vec<SocketAddr> {
        let fleet = self.view.fleet();
        pick_far(&fleet, &self.options.data_centre, count, &mut self.rng())
    }

    fn partners(&self) -> Vec<SocketAddr> {
        self.partners_where(&self.view.fleet(), |_| true)
    }

    /// The partners in the own data centre.
    fn near_partners(&self) -> Vec<SocketAddr> {
        self.near_partners_in(&self.view.fleet())
    }

    /// The partners in the own data centre by some list of hosts.
    fn near_partners_in(&self, fleet: &Fleet) -> Vec<SocketAddr> {
        self.partners_where(fleet, |host| host.data_centre == self.options.data_centre)
    }

    fn partners_where(&self, fleet: &Fleet, is_wanted: impl Fn(&Host) -> bool) -> Vec<SocketAddr> {
        let count = self.view.spread().partners;
        let seed = self.partner_seed.load(Ordering::Relaxed);
        let partners = pick_partners(fleet, &self.options.host, &self.options.data_centre, count, seed);
        partners.into_iter().filter(|host| is_wanted(host)).map(|host| host.node_address).collect()
    }
}
