//! Comparing versions with one node after the other, so that what was missed is found.

use super::Spread;
use crate::{
    client::{CONTROL_TIMEOUT, PeerError},
    message::{PeerAnswer, PeerRequest},
    partner_pauses::PartnerPauses,
    spread_state::PartnerState,
};
use futures_util::stream::StreamExt;
use std::{
    net::SocketAddr,
    sync::{PoisonError, atomic::Ordering},
};
use tokio::time::{Duration, sleep, timeout};

/// Partners whose last exchange is remembered.
const PARTNER_STATES_MAX: usize = 64;
/// Exchanges of a node whose host is not listed in the time of one of a listed node: with four, a version is there well
/// within the second in which it is to be in force, at about 1 KB/s.
const UNLISTED_EXCHANGES: u64 = 4;
/// How long a partner is waited for until the next one is asked in the same turn.
const EXCHANGE_PATIENCE: Duration = Duration::from_millis(300);
/// Nodes that are asked in one turn when no partner answers.
const SUBSTITUTES_MAX: usize = 3;

impl Spread {
    /// Compares versions with one node in each turn: with the next partner, or the first one after it that
    /// answers. A turn does not end with a partner that is lost, so news that one has is with all after a few
    /// turns whoever is lost.
    pub(super) async fn exchange_loop(&self) {
        let mut next = 0;
        let mut pauses = PartnerPauses::default();
        loop {
            sleep(self.jittered(self.exchange_interval_ms())).await;
            let partners = self.partners();
            if partners.is_empty() {
                // A seed that is gone is one of several ways to the news.
                self.exchange_with_each(self.other_seeds()).count().await;
                continue;
            }
            pauses.keep_only(&partners);
            if !self.exchange_with_partner(&partners, &mut next, &mut pauses).await {
                self.exchange_with_substitute(&partners).await;
            }
        }
    }

    /// The mean pause between two exchanges, in ms.
    ///
    /// A node whose host the list lacks is nobody's partner: what it does not ask for it does not hear, and it goes on
    /// taking calls.
    fn exchange_interval_ms(&self) -> u64 {
        let interval_ms = self.view.spread().exchange_interval_ms;
        let fleet = self.view.fleet();
        let is_unlisted = !fleet.hosts.is_empty() && fleet.host(&self.options.host).is_none();
        if is_unlisted { interval_ms / UNLISTED_EXCHANGES } else { interval_ms }
    }

    /// Asks partners in turn until one answers; whether one did.
    async fn exchange_with_partner(
        &self,
        partners: &[SocketAddr],
        next: &mut usize,
        pauses: &mut PartnerPauses,
    ) -> bool {
        for _ in partners {
            let address = partners[*next % partners.len()];
            *next += 1;
            if !pauses.take_turn(address) {
                continue;
            }
            if self.is_exchanged(address).await {
                pauses.note_reached(address);
                return true;
            }
            if pauses.note_failed(address) {
                // It has been away for long: other partners are picked.
                self.partner_seed.fetch_add(1, Ordering::Relaxed);
            }
        }
        false
    }

    async fn exchange_with_substitute(&self, partners: &[SocketAddr]) {
        for address in self.substitutes(partners, SUBSTITUTES_MAX) {
            if self.is_exchanged(address).await {
                return;
            }
        }
    }

    /// Compares versions with one node; whether it answered soon.
    async fn is_exchanged(&self, address: SocketAddr) -> bool {
        self.counts.exchanges.fetch_add(1, Ordering::Relaxed);
        let is_done = self.exchange_within(address, EXCHANGE_PATIENCE).await.is_ok();
        if !is_done {
            self.counts.exchanges_failed.fetch_add(1, Ordering::Relaxed);
        }
        is_done
    }

    pub(super) async fn exchange_with(&self, address: SocketAddr) -> Result<(), PeerError> {
        self.exchange_within(address, CONTROL_TIMEOUT).await
    }

    /// Compares versions with a node that answers within `patience`, and pulls what is newer there, however long
    /// that takes.
    async fn exchange_within(&self, address: SocketAddr, patience: Duration) -> Result<(), PeerError> {
        let request = PeerRequest::Exchange(self.exchange());
        let asked_us = self.clock.now_us();
        let answered = timeout(patience, self.client.ask(address, &request)).await;
        let answer = answered.unwrap_or(Err(PeerError::TimedOut));
        self.note_partner(address, answer.as_ref().ok());
        match answer? {
            PeerAnswer::Same(theirs) => {
                self.note_news(&theirs);
                self.note_in_step_with(&theirs, asked_us);
                self.exchange_carried(address, theirs.carried_hash).await?;
                self.exchange_crashes(address, theirs.crashes_hash).await
            }
            PeerAnswer::Versions(theirs, versions) => {
                self.note_news(&theirs);
                let ahead = self.store().ahead(&versions);
                if !ahead.is_empty() {
                    self.send_offer(address, ahead).await;
                }
                self.exchange_crashes(address, theirs.crashes_hash).await?;
                self.pull(address, &versions).await?;
                self.exchange_carried(address, theirs.carried_hash).await?;
                if self.store().behind(&versions).is_empty() {
                    self.note_in_step_with(&theirs, asked_us);
                }
                Ok(())
            }
            _ => Err(PeerError::Unexpected),
        }
    }

    fn note_partner(&self, address: SocketAddr, answer: Option<&PeerAnswer>) {
        let state = PartnerState {
            is_in_step: matches!(answer, Some(PeerAnswer::Same(_))),
            is_reached: answer.is_some(),
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
