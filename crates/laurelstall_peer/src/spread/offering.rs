//! Telling other nodes of versions that this one has just taken.

use super::Spread;
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

/// Random pause before a change is offered on, in ms: spreads a burst.
const OFFER_JITTER_MS: u64 = 20;
/// How long an answer is waited for until another node is told in its place: far above the way between any two
/// data centres, far below the second in which a version is to be in force.
const OFFER_PATIENCE: Duration = Duration::from_millis(300);
/// Nodes of other data centres that a node tells of what it has read itself: with two readers in each of three data
/// centres, six offers for each other one.
const FAR_OFFERS: usize = 3;
/// Nodes that are told in place of partners that do not answer, for each partner.
const SUBSTITUTES_PER_PARTNER: usize = 2;

impl Spread {
    /// Offers each change to the partners. No offer waits for an earlier one: a partner without power answers
    /// none, and with offers in turn a second version reached the others up to 14 s late (13 nodes, 7 of them
    /// lost, 12 runs), at once it takes less than a second.
    pub(super) async fn offer_loop(self: &Arc<Self>) {
        let mut rounds = JoinSet::new();
        loop {
            self.has_changed.notified().await;
            sleep(self.jittered(OFFER_JITTER_MS)).await;
            let changed = std::mem::take(&mut *self.changed.lock().unwrap_or_else(PoisonError::into_inner));
            if changed.is_empty() {
                continue;
            }
            let dropped = std::mem::take(&mut *self.dropped.lock().unwrap_or_else(PoisonError::into_inner));
            let is_read_here = changed.values().any(|change| change.is_read_here);
            let versions =
                changed.into_iter().map(|(name, change)| (name, change.version)).collect::<Vec<_>>();
            while rounds.try_join_next().is_some() {}
            let this = self.clone();
            rounds.spawn(async move { this.offer(&versions, is_read_here, dropped).await });
        }
    }

    /// Notes which nodes a new list of hosts lacks, so that they are told of it as well: nobody's partners any more, they
    /// would hear last that the targets beside them have left, and let them be called until then.
    ///
    /// Whoever has read the list itself tells all of them, others those that were their partners.
    pub(super) fn note_dropped(&self, before: &Fleet, is_read_here: bool) {
        let fleet = self.view.fleet();
        let listed = fleet.hosts.iter().map(|host| host.node_address).collect::<HashSet<_>>();
        let told = match is_read_here {
            true => before.hosts.iter().map(|host| host.node_address).collect(),
            false => self.near_partners_in(before),
        };
        let is_dropped =
            |address: &SocketAddr| !listed.contains(address) && *address != self.options.peer_address;
        let mut dropped = self.dropped.lock().unwrap_or_else(PoisonError::into_inner);
        dropped.extend(told.into_iter().filter(is_dropped));
    }

    /// Offers to nodes that were dropped and to the partners, and to another node for each of these that does not answer.
    ///
    /// Whoever has read the versions itself offers them to some nodes of other data centres too, whose readers may
    /// be lost; news that came from another node has gone there already. When every node told far partners of
    /// every version, this was most of what control sent between data centres.
    async fn offer(
        &self,
        versions: &[(DocumentName, Version)],
        is_read_here: bool,
        dropped: HashSet<SocketAddr>,
    ) {
        let mut partners = self.near_partners();
        if is_read_here {
            partners.extend(self.far_nodes(FAR_OFFERS));
        }
        let mut substitutes =
            self.substitutes(&partners, partners.len() * SUBSTITUTES_PER_PARTNER).into_iter();
        let offer = |address| self.is_told(address, versions);
        let dropped = dropped.into_iter().map(offer).collect::<FuturesUnordered<_>>();
        let mut offers = partners.into_iter().map(offer).collect::<FuturesUnordered<_>>();
        let told = async {
            while let Some(is_told) = offers.next().await {
                if !is_told {
                    offers.extend(substitutes.next().map(offer));
                }
            }
        };
        tokio::join!(told, dropped.count());
    }

    /// Offers to one node; whether it answered soon.
    async fn is_told(&self, address: SocketAddr, versions: &[(DocumentName, Version)]) -> bool {
        let offered = timeout(OFFER_PATIENCE, self.send_offer(address, versions.to_vec())).await;
        offered.unwrap_or(false)
    }

    /// Offers to one node; whether it answered.
    pub(super) async fn send_offer(
        &self,
        address: SocketAddr,
        versions: Vec<(DocumentName, Version)>,
    ) -> bool {
        let request = PeerRequest::Offer(self.options.peer_address, self.exchange(), versions);
        let answered = self.client.ask(address, &request).await;
        answered.inspect_err(|error| log::debug!("offer to {address}: {error}")).is_ok()
    }
}
