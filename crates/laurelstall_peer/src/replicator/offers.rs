//! Offers newly accepted versions to other nodes.

use super::Replicator;
use crate::message::PeerRequest;
use futures_util::stream::{FuturesUnordered, StreamExt};
use laurelstall_config::{
    document::{DocumentName, Version},
    fleet::Fleet,
};
use std::{
    collections::HashSet,
    net::SocketAddr,
    sync::{Arc, PoisonError},
};
use tokio::{
    task::JoinSet,
    time::{Duration, sleep, timeout},
};

/// Mean random pause before a change is offered, in ms; spreads bursts over time.
const OFFER_JITTER_MS: u64 = 20;
/// Time to wait for an answer before a substitute is contacted: above any round trip between data centres,
/// and far below the second in which a version should take effect.
const OFFER_TIMEOUT: Duration = Duration::from_millis(300);
/// Number of nodes in other data centres to which a node offers versions that it read from the platform
/// itself. With two readers in each of three data centres, each data centre gets six offers from the others.
const REMOTE_OFFERS: usize = 3;
/// Maximum number of substitutes per partner that does not answer.
const SUBSTITUTES_PER_PARTNER: usize = 2;

impl Replicator {
    /// Offers each change to the partners. Rounds run concurrently, so that a partner that does not answer
    /// does not delay later versions. With consecutive rounds, a second version reached the other nodes up to
    /// 14 s late while 7 of 13 nodes were lost.
    pub(super) async fn offer_loop(self: &Arc<Self>) {
        let mut rounds = JoinSet::new();
        loop {
            self.offer_notify.notified().await;
            sleep(self.jittered(OFFER_JITTER_MS)).await;
            let pending =
                std::mem::take(&mut *self.pending_offers.lock().unwrap_or_else(PoisonError::into_inner));
            if pending.is_empty() {
                continue;
            }
            let removed_nodes =
                std::mem::take(&mut *self.removed_nodes.lock().unwrap_or_else(PoisonError::into_inner));
            let is_read_here = pending.values().any(|change| change.is_read_here);
            let versions =
                pending.into_iter().map(|(name, change)| (name, change.version)).collect::<Vec<_>>();
            while rounds.try_join_next().is_some() {}
            let this = self.clone();
            rounds.spawn(async move { this.offer(&versions, is_read_here, removed_nodes).await });
        }
    }

    /// Records the nodes that a new list of hosts removes, so that they are offered that list too. They are
    /// nobody's partners any more, and would otherwise keep their targets in service for longer.
    ///
    /// The node that read the list from the platform contacts all of them; others contact their former
    /// partners.
    pub(super) fn note_removed_nodes(&self, before: &Fleet, is_read_here: bool) {
        let fleet = self.view.fleet();
        let listed = fleet.hosts.iter().map(|host| host.node_address).collect::<HashSet<_>>();
        let contacted = match is_read_here {
            true => before.hosts.iter().map(|host| host.node_address).collect(),
            false => self.local_partners_in(before),
        };
        let is_removed =
            |address: &SocketAddr| !listed.contains(address) && *address != self.options.peer_address;
        let mut removed_nodes = self.removed_nodes.lock().unwrap_or_else(PoisonError::into_inner);
        removed_nodes.extend(contacted.into_iter().filter(is_removed));
    }

    /// Offers versions to removed nodes and to the partners, with a substitute for each partner that does
    /// not answer.
    ///
    /// The node that read the versions from the platform also offers them to some nodes of other data
    /// centres, whose readers may be lost. Versions from another node have been offered there already. When
    /// every node offered every version to remote partners, this was most of the control traffic between data
    /// centres.
    async fn offer(
        &self,
        versions: &[(DocumentName, Version)],
        is_read_here: bool,
        removed_nodes: HashSet<SocketAddr>,
    ) {
        let mut partners = self.local_partners();
        if is_read_here {
            partners.extend(self.remote_nodes(REMOTE_OFFERS));
        }
        let mut substitutes =
            self.substitutes(&partners, partners.len() * SUBSTITUTES_PER_PARTNER).into_iter();
        let offer = |address| self.try_offer(address, versions);
        let removed_nodes = removed_nodes.into_iter().map(offer).collect::<FuturesUnordered<_>>();
        let mut offers = partners.into_iter().map(offer).collect::<FuturesUnordered<_>>();
        let mut repeated = FuturesUnordered::new();
        let offered = async {
            loop {
                tokio::select! {
                    Some((address, is_answered)) = offers.next() => {
                        if !is_answered {
                            offers.extend(substitutes.next().map(offer));
                            repeated.push(self.repeat_offer(address, versions));
                        }
                    }
                    Some(()) = repeated.next() => {}
                    else => return,
                }
            }
        };
        tokio::join!(offered, removed_nodes.count());
    }

    /// Offers versions to one node and returns whether it answered in time.
    async fn try_offer(
        &self,
        address: SocketAddr,
        versions: &[(DocumentName, Version)],
    ) -> (SocketAddr, bool) {
        let offered = timeout(OFFER_TIMEOUT, self.send_offer(address, versions.to_vec())).await;
        (address, offered.unwrap_or(false))
    }

    /// Offers versions to a node that did not answer once more, over a new connection, if the old one is silent.
    async fn repeat_offer(&self, address: SocketAddr, versions: &[(DocumentName, Version)]) {
        if self.client.pool().renew(address, OFFER_TIMEOUT).await {
            self.try_offer(address, versions).await;
        }
    }

    /// Offers versions to one node and returns whether it answered.
    pub(super) async fn send_offer(
        &self,
        address: SocketAddr,
        versions: Vec<(DocumentName, Version)>,
    ) -> bool {
        let request = PeerRequest::Offer(self.options.peer_address, self.own_status(), versions);
        let answered = self.client.request(address, &request).await;
        answered.inspect_err(|error| log::debug!("offer to {address} failed: {error}")).is_ok()
    }
}
