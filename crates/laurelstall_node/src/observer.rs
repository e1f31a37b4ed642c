//! Limits what this node spends on observing targets with hints and probes.

use crate::{
    counters::{Counters, count},
    services::Services,
};
use laurelstall_balance::{
    hint::{HINT_BYTES, Hint},
    observe_budget::{ObserveBudget, ObserveCost},
};
use laurelstall_config::system::ObserveLimits;
use laurelstall_guard::clock::Clock;
use laurelstall_peer::{
    client::PeerClient,
    message::{PeerAnswer, PeerRequest},
    meter::MESSAGE_OVERHEAD_BYTES,
};
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};
use tokio::time::{Duration, sleep};

/// Maximum payload of a probe or its answer, in bytes.
const PROBE_PAYLOAD_BYTES: u64 = 12 + HINT_BYTES;
/// Size of a probe and its answer, in bytes.
pub const PROBE_BYTES: u64 = 2 * (PROBE_PAYLOAD_BYTES + MESSAGE_OVERHEAD_BYTES);
/// Interval between probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(25);
/// Age of a hint from which its target is probed, in µs.
const PROBE_AGE_US: u64 = 400_000;
/// Time since its last call after which the targets of a service are no longer probed, in µs.
pub const SERVICE_IDLE_US: u64 = 5_000_000;

/// Sends probes, and limits the cost of probes and hints by a budget.
#[derive(Debug)]
pub struct Observer {
    clock: Clock,
    /// Budget for requests to other nodes: for hints on answers, and probes.
    request_budget: Mutex<ObserveBudget>,
    /// Budget for answers to other nodes. It is separate, so that this node's own requests cannot use up what answers need:
    /// the requesting node has already paid for them.
    answer_budget: Mutex<ObserveBudget>,
    counters: Arc<Counters>,
}

impl Observer {
    /// Creates an observer with the default limits, which hold until a configuration is applied.
    pub fn new(clock: Clock, counters: Arc<Counters>) -> Self {
        let limits = ObserveLimits::default();
        let half = || Mutex::new(ObserveBudget::new(limits.bytes_per_s / 2, limits.probes_per_s / 2));
        Self { clock, request_budget: half(), answer_budget: half(), counters }
    }

    /// Applies new limits.
    pub fn set_limits(&self, limits: ObserveLimits) {
        for half in [&self.request_budget, &self.answer_budget] {
            lock(half).set_rates(limits.bytes_per_s / 2, limits.probes_per_s / 2);
        }
    }

    /// Returns what was spent since the start of the node.
    pub fn usage(&self) -> ObserveUsage {
        let (request_budget, answer_budget) = (lock(&self.request_budget), lock(&self.answer_budget));
        ObserveUsage {
            bytes: request_budget.spent_bytes() + answer_budget.spent_bytes(),
            messages: request_budget.spent_messages() + answer_budget.spent_messages(),
            refused: request_budget.refused() + answer_budget.refused(),
        }
    }

    /// Tries to withdraw the cost of requesting a hint on an answer. Uses at most `share_percent` of the budget.
    pub fn try_request_hint(&self, share_percent: u8) -> bool {
        share_percent > 0
            && lock(&self.request_budget).try_take(self.clock.now_us(), HINT_COST, share_percent)
    }

    /// Tries to withdraw the cost of attaching a hint to an answer of this node's guard.
    pub fn try_attach_hint(&self) -> bool {
        lock(&self.answer_budget).try_take(self.clock.now_us(), HINT_COST, 100)
    }

    /// Tries to withdraw the cost of answering a probe.
    pub fn try_answer_probe(&self) -> bool {
        let cost = ObserveCost { bytes: PROBE_BYTES, messages: 1 };
        lock(&self.answer_budget).try_take(self.clock.now_us(), cost, 100)
    }

    /// Probes the targets with the oldest hints as far as the budget allows. Runs until dropped.
    pub async fn run_probes(&self, services: &Services, client: &PeerClient) {
        loop {
            sleep(PROBE_INTERVAL).await;
            for service in services.used_since(self.clock.now_us().saturating_sub(SERVICE_IDLE_US)) {
                let now_us = self.clock.now_us();
                // Only targets with an open connection are probed: opening one costs more than the hint is worth.
                let has_connection = |address| client.pool().has(address);
                let target_with_oldest_hint =
                    service.target_with_oldest_hint(now_us, PROBE_AGE_US, has_connection);
                let Some((index, name, address)) = target_with_oldest_hint else { continue };
                if let Some(hint) = self.probe(client, address).await {
                    service.balancer().update_hint(index, &name, hint, self.clock.now_us());
                }
            }
        }
    }

    /// Probes the node at `address` for a hint on its target. Returns `None` when the budget is exhausted or there is no
    /// answer.
    pub async fn probe(&self, client: &PeerClient, address: SocketAddr) -> Option<Hint> {
        if !self.try_withdraw_probe_cost() {
            return None;
        }
        count(&self.counters.probes);
        send_probe(client, address).await
    }

    fn try_withdraw_probe_cost(&self) -> bool {
        let cost = ObserveCost { bytes: PROBE_BYTES, messages: 1 };
        lock(&self.request_budget).try_take(self.clock.now_us(), cost, 100)
    }
}

/// Cost of observing targets since the start of the node.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ObserveUsage {
    /// Bytes sent and received.
    pub bytes: u64,
    /// Probes sent and answered.
    pub messages: u64,
    /// Probes and hints that the budget did not allow.
    pub refused: u64,
}

const HINT_COST: ObserveCost = ObserveCost { bytes: HINT_BYTES, messages: 0 };

fn lock(budget: &Mutex<ObserveBudget>) -> MutexGuard<'_, ObserveBudget> {
    budget.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn send_probe(client: &PeerClient, address: SocketAddr) -> Option<Hint> {
    match client.request(address, &PeerRequest::Probe).await {
        Ok(PeerAnswer::Probed(hint)) => hint.map(Hint::from),
        _ => None,
    }
}
