//! Anti-entropy: compares versions with one node after the other to repair missed offers.

use super::Replicator;
use crate::{
    client::{CONTROL_TIMEOUT, PeerError},
    message::{PeerAnswer, PeerRequest},
    partner_backoff::PartnerBackoff,
    replication_state::PartnerState,
};
use futures_util::stream::StreamExt;
use std::{
    net::SocketAddr,
    sync::{PoisonError, atomic::Ordering},
};
use tokio::time::{Duration, sleep, timeout};

/// Maximum number of partners whose last exchange is remembered.
const PARTNER_STATES_MAX: usize = 64;
/// Factor by which a node whose host is not listed exchanges more often, at a cost of about 1 KB/s. With
/// four, a version reaches the node well within the second in which it should take effect.
const UNLISTED_EXCHANGE_FACTOR: u64 = 4;
/// Time to wait for a partner before the next one is contacted in the same round.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum number of nodes that are contacted in a round in which no partner answers.
const SUBSTITUTES_MAX: usize = 3;

impl Replicator {
    /// Exchanges versions with one node per round: the next partner, or the first after it that answers.
    /// Lost partners do not use up a round, so that an update reaches all nodes after a few rounds.
    pub(super) async fn exchange_loop(&self) {
        let mut next = 0;
        let mut backoff = PartnerBackoff::default();
        loop {
            sleep(self.jittered(self.exchange_interval_ms())).await;
            let partners = self.partners();
            if partners.is_empty() {
                // Seeds may be gone: a failed exchange is tried again in the next round.
                self.exchange_with_each(self.other_seeds()).count().await;
                continue;
            }
            backoff.retain(&partners);
            if !self.exchange_with_partner(&partners, &mut next, &mut backoff).await {
                self.exchange_with_substitute(&partners).await;
            }
        }
    }

    /// Mean pause between two exchanges, in ms.
    ///
    /// A node whose host is not listed takes calls but is nobody's partner, so it receives only what it
    /// requests.
    fn exchange_interval_ms(&self) -> u64 {
        let interval_ms = self.view.replication_settings().exchange_interval_ms;
        let fleet = self.view.fleet();
        let is_unlisted = !fleet.hosts.is_empty() && fleet.host(&self.options.host).is_none();
        if is_unlisted { interval_ms / UNLISTED_EXCHANGE_FACTOR } else { interval_ms }
    }

    /// Contacts partners in turn and returns whether one answered.
    async fn exchange_with_partner(
        &self,
        partners: &[SocketAddr],
        next: &mut usize,
        backoff: &mut PartnerBackoff,
    ) -> bool {
        for _ in partners {
            let address = partners[*next % partners.len()];
            *next += 1;
            if !backoff.is_due(address) {
                continue;
            }
            if self.try_exchange(address).await {
                backoff.note_success(address);
                return true;
            }
            if backoff.note_failure(address) {
                // The partner has been unreachable for long: pick other partners.
                self.partner_seed.fetch_add(1, Ordering::Relaxed);
            }
        }
        false
    }

    async fn exchange_with_substitute(&self, partners: &[SocketAddr]) {
        for address in self.substitutes(partners, SUBSTITUTES_MAX) {
            if self.try_exchange(address).await {
                return;
            }
        }
    }

    /// Exchanges versions with one node and returns whether it answered in time, once more over a new connection if the old
    /// one is silent.
    async fn try_exchange(&self, address: SocketAddr) -> bool {
        if self.try_exchange_once(address).await {
            return true;
        }
        self.client.pool().renew(address, EXCHANGE_TIMEOUT).await && self.try_exchange_once(address).await
    }

    async fn try_exchange_once(&self, address: SocketAddr) -> bool {
        self.counts.exchanges.fetch_add(1, Ordering::Relaxed);
        let is_done = self.exchange_within(address, EXCHANGE_TIMEOUT).await.is_ok();
        if !is_done {
            self.counts.exchanges_failed.fetch_add(1, Ordering::Relaxed);
        }
        is_done
    }

    pub(super) async fn exchange_with(&self, address: SocketAddr) -> Result<(), PeerError> {
        self.exchange_within(address, CONTROL_TIMEOUT).await
    }

    /// Exchanges versions with a node that answers within `time_limit`, and pulls what is newer there. The
    /// pull has no such limit.
    async fn exchange_within(&self, address: SocketAddr, time_limit: Duration) -> Result<(), PeerError> {
        let request = PeerRequest::Exchange(self.own_status());
        let requested_us = self.clock.now_us();
        let answered = timeout(time_limit, self.client.request(address, &request)).await;
        let answer = answered.unwrap_or(Err(PeerError::TimedOut));
        self.record_partner_state(address, answer.as_ref().ok());
        match answer? {
            PeerAnswer::Same(theirs) => {
                self.merge_status(&theirs);
                self.note_up_to_date_with(&theirs, requested_us);
                self.exchange_corrections(address, theirs.corrections_hash).await?;
                self.exchange_crashes(address, theirs.crashes_hash).await
            }
            PeerAnswer::Versions(theirs, versions) => {
                self.merge_status(&theirs);
                let ahead = self.store().newer_than(&versions);
                if !ahead.is_empty() {
                    self.send_offer(address, ahead).await;
                }
                self.exchange_crashes(address, theirs.crashes_hash).await?;
                self.pull(address, &versions).await?;
                self.exchange_corrections(address, theirs.corrections_hash).await?;
                if self.store().pull_items_for(&versions).is_empty() {
                    self.note_up_to_date_with(&theirs, requested_us);
                }
                Ok(())
            }
            _ => Err(PeerError::Unexpected),
        }
    }

    fn record_partner_state(&self, address: SocketAddr, answer: Option<&PeerAnswer>) {
        let state = PartnerState {
            has_same_versions: matches!(answer, Some(PeerAnswer::Same(_))),
            has_answered: answer.is_some(),
            at_us: self.clock.now_us(),
        };
        let mut states = self.partner_states.lock().unwrap_or_else(PoisonError::into_inner);
        states.insert(address, state);
        if states.len() > PARTNER_STATES_MAX {
            let oldest = states.iter().min_by_key(|(_, state)| state.at_us).map(|(address, _)| *address);
            oldest.map(|address| states.remove(&address));
        }
    }
}
