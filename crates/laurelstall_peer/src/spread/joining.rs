//! What a node does before it serves: it asks platform and peers for the newest there is.

use super::Spread;
use futures_util::{
    future::{Either, FutureExt, select},
    stream::StreamExt,
};
use std::{
    pin::pin,
    sync::{PoisonError, atomic::Ordering},
};
use tokio::time::{Duration, sleep, timeout};

/// How long a joining node waits for peers and platform before it takes what it has.
const JOIN_TIMEOUT: Duration = Duration::from_secs(3);
/// How long a joining node waits for its seeds before it reads the platform besides: longer than a seed on a tenth of
/// a core needs for a connection and an exchange. While a whole fleet starts, its seeds listen, know nothing and are busy
/// with all the others, so each ms of it is one in which no caller is served.
const SEEDS_PATIENCE: Duration = Duration::from_millis(60);
/// Age of a read of the platform up to which the peers that heard of it have the newest there is.
const FRESH_READ_AGE_MS: u64 = 4_000;
/// How much longer a joining node that has documents from peers waits for the platform.
const PLATFORM_PATIENCE: Duration = Duration::from_millis(300);
/// How long a joining node waits for its peers when a seed has brought documents.
const PEERS_PATIENCE: Duration = Duration::from_millis(300);
/// How long a joining node that has made a stale read waits for the first peer to say what is newest.
const NEWEST_PATIENCE: Duration = Duration::from_millis(100);
/// How long, on average, a node waits to hear from others that what a stale read told is the newest, in ms: exchanges
/// and offers bring that within a second, and a version is to be in force within a few.
const CONFIRMATION_PAUSE_MS: u64 = 1_500;
/// Times that such a node reads the platform itself at most.
const CONFIRMATIONS_MAX: usize = 5;
/// Peers that a joining node asks.
const JOIN_PEERS: usize = 5;

impl Spread {
    /// Whether this node reads the platform while nobody knows the fleet: if others ask it, or if it
    /// has nobody to ask.
    pub(super) fn reads_first(&self) -> bool {
        let seeds = self.seeds.lock().unwrap_or_else(PoisonError::into_inner);
        seeds.is_empty() || seeds.contains(&self.options.peer_address)
    }

    /// Asks platform and peers for what they have and takes the newest of each document.
    ///
    /// The platform's word is the newest there is, unless it came back from an older copy: then peers are asked besides.
    /// That of peers does as well while some node reads
    /// the platform, and costs no call there; without the platform it has to do. While the whole fleet
    /// starts, seeds know nothing yet and only they and the readers read the newest; the others make a
    /// stale read, a tenth of the cost, and hear of the newest from these within a second. Returns when one
    /// of them gave it, or [`JOIN_TIMEOUT`] is over; a node without any document goes on asking in
    /// [`run`](Self::run).
    pub async fn join(&self) {
        // A part that did not answer in time is caught up with by the exchanges.
        let _ = timeout(JOIN_TIMEOUT, self.ask_platform_and_peers()).await;
        self.is_joined.store(true, Ordering::Relaxed);
        let hosts = self.view.fleet().hosts.len();
        log::info!("joined: {hosts} hosts known, {} ms after the start", self.clock.elapsed_ms());
    }

    async fn ask_platform_and_peers(&self) {
        let mut peers = self.ask_seeds_and_peers().boxed();
        if !self.reads_first() {
            let answered = timeout(SEEDS_PATIENCE, peers.as_mut()).await;
            if self.has_documents() && self.platform_read_age_ms() < FRESH_READ_AGE_MS {
                return;
            }
            match self.read_platform_stale().await {
                Ok(true) => {
                    // What it was about to pull would hold up others.
                    drop(peers);
                    if self.may_have_lost() {
                        self.ask_some_peers().await;
                    } else {
                        let _ = timeout(NEWEST_PATIENCE, self.ask_peers_for_newest()).await;
                    }
                    return;
                }
                // The platform knows no stale reads.
                Ok(false) if answered.is_ok() => {
                    // A failure is caught up with by the exchanges.
                    let _ = self.read_platform(None).await;
                    self.ask_peers_what_was_lost().await;
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
                // What it was about to pull would hold up others.
                drop(peers);
                self.ask_peers_what_was_lost().await;
            }
            Either::Left((Err(_), peers)) => peers.await,
            Either::Right(((), platform)) if self.has_documents() => {
                let _ = timeout(PLATFORM_PATIENCE, platform).await;
            }
            Either::Right(((), platform)) => {
                // A failure is caught up with by the exchanges.
                let _ = platform.await;
                self.ask_peers_what_was_lost().await;
            }
        }
    }

    /// Whether the platform may lack what it had acknowledged: it came back from an older copy, and this node has held
    /// nothing that tells when.
    fn may_have_lost(&self) -> bool {
        self.platform_era() > 0
    }

    /// Asks some peers for what the platform may have lost: the newest that it shows may be older than what they hold.
    ///
    /// All of them, since one that has just started itself knows no more; whoever says nothing is caught up with by the
    /// exchanges.
    async fn ask_peers_what_was_lost(&self) {
        if self.may_have_lost() {
            self.ask_some_peers().await;
        }
    }

    async fn ask_some_peers(&self) {
        let peers = self.exchange_with_each(self.partners().into_iter().take(JOIN_PEERS));
        let _ = timeout(PEERS_PATIENCE, peers.count()).await;
    }

    /// Reads the platform once more, and plainly, when this node joined by a stale read and has heard from nobody since
    /// who has read it lately: its way to other nodes may be cut.
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
                log::debug!("platform: a stale read is not confirmed yet: {error}");
            }
        }
    }

    /// Asks some peers for what is newest, after a time in which nothing could be heard.
    pub async fn catch_up(&self) {
        // What none of them brings in time is found by the exchanges.
        let _ = timeout(PEERS_PATIENCE, self.ask_peers_for_newest()).await;
    }

    /// Asks some peers until one has brought what is newest, as far as somebody has read the platform lately.
    async fn ask_peers_for_newest(&self) {
        let mut peers = self.exchange_with_each(self.partners().into_iter().take(JOIN_PEERS));
        while peers.next().await.is_some() {
            if self.platform_read_age_ms() < FRESH_READ_AGE_MS {
                return;
            }
        }
    }

    /// Asks seeds until one brings documents, then some of the peers that these list.
    ///
    /// A seed or peer without power says nothing: the others are not held up by it.
    async fn ask_seeds_and_peers(&self) {
        let mut seeds = self.exchange_with_each(self.other_seeds());
        while seeds.next().await.is_some() {
            if self.has_documents() {
                break;
            }
        }
        self.ask_some_peers().await;
    }
}
