//! Fetches the newest configuration from the platform and peers before a node serves calls.

use super::Replicator;
use futures_util::{
    future::{Either, FutureExt, select},
    stream::StreamExt,
};
use std::{
    pin::pin,
    sync::{PoisonError, atomic::Ordering},
};
use tokio::time::{Duration, sleep, timeout};

/// Maximum time that a joining node waits for peers and the platform.
const JOIN_TIMEOUT: Duration = Duration::from_secs(3);
/// Time that a joining node waits for its seeds before it also reads the platform. While a whole fleet
/// starts, the seeds have no documents, and a longer wait would only delay the start. The time is longer than
/// a seed with a tenth of a core needs for a connection and an exchange.
const SEEDS_TIMEOUT: Duration = Duration::from_millis(60);
/// Peers that know of a platform read of up to this age count as up to date.
const FRESH_READ_AGE_MS: u64 = 4_000;
/// Additional time that a joining node with documents from peers waits for the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_millis(300);
/// Time that a joining node waits for its peers once a seed has sent documents.
const PEERS_TIMEOUT: Duration = Duration::from_millis(300);
/// Time that a joining node waits for the first peer to confirm a stale read.
const RECENT_READ_TIMEOUT: Duration = Duration::from_millis(100);
/// Mean pause before a node checks whether its stale read was confirmed by other nodes, in ms. Exchanges and
/// offers bring the confirmation within a second, and a version should take effect within a few.
const CONFIRMATION_PAUSE_MS: u64 = 1_500;
/// Maximum number of platform reads that confirm a stale read.
const CONFIRMATIONS_MAX: usize = 5;
/// Number of peers that a joining node contacts.
const JOIN_PEERS: usize = 5;

impl Replicator {
    /// Whether this node reads the platform while the list of hosts is unknown: it is a seed, or it has no
    /// seeds.
    pub(super) fn is_bootstrap_reader(&self) -> bool {
        let seeds = self.seeds.lock().unwrap_or_else(PoisonError::into_inner);
        seeds.is_empty() || seeds.contains(&self.options.peer_address)
    }

    /// Fetches the newest version of each document from the platform and from peers.
    ///
    /// A successful read of the platform suffices, unless the platform was restored from an older copy:
    /// then peers are asked as well. Peers suffice if some node has read the platform lately, which spares
    /// the platform a call. While the whole fleet starts, seeds have no documents yet: seeds and readers
    /// make a full read, all others a cheaper stale read, and receive newer versions from these afterwards.
    ///
    /// Returns when one source has answered, or after [`JOIN_TIMEOUT`]; a node without documents keeps
    /// trying in [`run`](Self::run).
    pub async fn join(&self) {
        // The exchanges repair what did not arrive in time.
        let _ = timeout(JOIN_TIMEOUT, self.query_platform_and_peers()).await;
        self.is_joined.store(true, Ordering::Relaxed);
        let hosts = self.view.fleet().hosts.len();
        log::info!("joined with {hosts} known hosts {} ms after the start", self.clock.elapsed_ms());
    }

    async fn query_platform_and_peers(&self) {
        let mut peers = self.query_seeds_and_peers().boxed();
        if !self.is_bootstrap_reader() {
            let answered = timeout(SEEDS_TIMEOUT, peers.as_mut()).await;
            if self.has_documents() && self.platform_read_age_ms() < FRESH_READ_AGE_MS {
                return;
            }
            match self.read_platform_stale().await {
                Ok(true) => {
                    // A pull that these queries have begun would hold the pull lock.
                    drop(peers);
                    if self.may_lack_updates() {
                        self.query_some_peers().await;
                    } else {
                        let _ = timeout(RECENT_READ_TIMEOUT, self.query_peers_until_recent_read()).await;
                    }
                    return;
                }
                // The platform does not support stale reads.
                Ok(false) if answered.is_ok() => {
                    // The exchanges repair a failed read.
                    let _ = self.read_platform(None).await;
                    self.recover_lost_updates().await;
                    return;
                }
                Ok(false) => {}
                Err(error) => {
                    log::warn!("platform: stale read failed: {error}");
                    if answered.is_err() {
                        peers.await;
                    }
                    return;
                }
            }
        }
        let platform = pin!(self.read_platform(None));
        match select(platform, peers).await {
            Either::Left((Ok(_), peers)) => {
                // A pull that these queries have begun would hold the pull lock.
                drop(peers);
                self.recover_lost_updates().await;
            }
            Either::Left((Err(_), peers)) => peers.await,
            Either::Right(((), platform)) if self.has_documents() => {
                let _ = timeout(PLATFORM_TIMEOUT, platform).await;
            }
            Either::Right(((), platform)) => {
                // The exchanges repair a failed read.
                let _ = platform.await;
                self.recover_lost_updates().await;
            }
        }
    }

    /// Whether the platform may lack updates that it had acknowledged, because it was restored from an
    /// older copy.
    fn may_lack_updates(&self) -> bool {
        self.platform_era() > 0
    }

    /// Asks some peers for updates that the platform may have lost in a restore.
    ///
    /// Waits for all of them, since a peer that has just started may know no more than this node. The
    /// exchanges repair what does not arrive in time.
    async fn recover_lost_updates(&self) {
        if self.may_lack_updates() {
            self.query_some_peers().await;
        }
    }

    async fn query_some_peers(&self) {
        let peers = self.exchange_with_each(self.partners().into_iter().take(JOIN_PEERS));
        let _ = timeout(PEERS_TIMEOUT, peers.count()).await;
    }

    /// Makes a full read of the platform if this node joined through a stale read and no other node has
    /// reported a recent read since. This node may be partitioned from the others.
    pub(super) async fn confirm_stale_read(&self) {
        if !self.has_read_stale.load(Ordering::Relaxed) {
            return;
        }
        for _ in 0..CONFIRMATIONS_MAX {
            sleep(self.jittered(CONFIRMATION_PAUSE_MS)).await;
            if self.platform_read_age_ms() < FRESH_READ_AGE_MS {
                return;
            }
            if let Err(error) = self.read_platform(None).await {
                log::debug!("platform: reading to confirm a stale read failed: {error}");
            }
        }
    }

    /// Fetches the newest versions from some peers, for example after this node was paused.
    pub async fn catch_up(&self) {
        // The exchanges repair what did not arrive in time.
        let _ = timeout(PEERS_TIMEOUT, self.query_peers_until_recent_read()).await;
    }

    /// Exchanges with some peers until this node knows of a recent platform read.
    async fn query_peers_until_recent_read(&self) {
        let mut peers = self.exchange_with_each(self.partners().into_iter().take(JOIN_PEERS));
        while peers.next().await.is_some() {
            if self.platform_read_age_ms() < FRESH_READ_AGE_MS {
                return;
            }
        }
    }

    /// Contacts the seeds until one sends documents, then some of the peers listed in them.
    ///
    /// Contacts the nodes concurrently, so that a lost one does not delay the others.
    async fn query_seeds_and_peers(&self) {
        let mut seeds = self.exchange_with_each(self.other_seeds());
        while seeds.next().await.is_some() {
            if self.has_documents() {
                break;
            }
        }
        self.query_some_peers().await;
    }
}
