//! What this node spends on observing targets.

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

/// Bytes of a probe's or its answer's payload at most.
const PROBE_PAYLOAD_BYTES: u64 = 12 + HINT_BYTES;
/// A probe and its answer.
pub const PROBE_BYTES: u64 = 2 * (PROBE_PAYLOAD_BYTES + MESSAGE_OVERHEAD_BYTES);
/// Pause between two looks for a target to probe.
const PROBE_INTERVAL: Duration = Duration::from_millis(25);
/// Hints younger than this need no probe, in µs.
const PROBE_AGE_US: u64 = 400_000;
/// Services without a call for so long are not probed, in µs.
pub const SERVICE_IDLE_US: u64 = 5_000_000;

/// The budget for observing and what is done with it.
#[derive(Debug)]
pub struct Observer {
    clock: Clock,
    /// For asking others: hints on answers, and probes.
    asking: Mutex<ObserveBudget>,
    /// For answering others. Halves of their own keep a hint that is asked for, and paid by its
    /// asker, from being refused for what this node asked itself.
    answering: Mutex<ObserveBudget>,
    counters: Arc<Counters>,
}

impl Observer {
    /// A budget as the defaults say, until a configuration is in force.
    pub fn new(clock: Clock, counters: Arc<Counters>) -> Self {
        let limits = ObserveLimits::default();
        let half = || Mutex::new(ObserveBudget::new(limits.bytes_per_s / 2, limits.probes_per_s / 2));
        Self { clock, asking: half(), answering: half(), counters }
    }

    /// Puts new limits in force.
    pub fn set_limits(&self, limits: ObserveLimits) {
        for half in [&self.asking, &self.answering] {
            lock(half).set_rates(limits.bytes_per_s / 2, limits.probes_per_s / 2);
        }
    }

    /// What was spent so far.
    pub fn spent(&self) -> ObserveSpent {
        let (asking, answering) = (lock(&self.asking), lock(&self.answering));
        ObserveSpent {
            bytes: asking.spent_bytes() + answering.spent_bytes(),
            messages: asking.spent_messages() + answering.spent_messages(),
            refused: asking.refused() + answering.refused(),
        }
    }

    /// Takes the cost of asking for a hint on an answer.
    pub fn may_ask_hint(&self, share_percent: u8) -> bool {
        share_percent > 0 && lock(&self.asking).try_take(self.clock.now_us(), HINT_COST, share_percent)
    }

    /// Takes the cost of a hint on an answer of the own guard.
    pub fn may_carry_hint(&self) -> bool {
        lock(&self.answering).try_take(self.clock.now_us(), HINT_COST, 100)
    }

    /// Takes the cost of answering one probe.
    pub fn may_answer_probe(&self) -> bool {
        let cost = ObserveCost { bytes: PROBE_BYTES, messages: 1 };
        lock(&self.answering).try_take(self.clock.now_us(), cost, 100)
    }

    /// Probes the targets of which least is known, as far as the budget goes, until dropped.
    pub async fn probe_loop(&self, services: &Services, client: &PeerClient) {
        loop {
            sleep(PROBE_INTERVAL).await;
            for service in services.used_since(self.clock.now_us().saturating_sub(SERVICE_IDLE_US)) {
                let now_us = self.clock.now_us();
                // No connection is opened for a probe: that would cost more than it tells.
                let has_connection = |address| client.pool().has(address);
                let stalest = service.stalest(now_us, PROBE_AGE_US, has_connection);
                let Some((index, name, address)) = stalest else { continue };
                if let Some(hint) = self.ask(client, address).await {
                    service.balancer().take_hint(index, &name, hint, self.clock.now_us());
                }
            }
        }
    }

    /// Asks the node at `address` how its target is, if the budget for asking covers it.
    pub async fn ask(&self, client: &PeerClient, address: SocketAddr) -> Option<Hint> {
        if !self.take_probe() {
            return None;
        }
        count(&self.counters.probes);
        probe(client, address).await
    }

    fn take_probe(&self) -> bool {
        let cost = ObserveCost { bytes: PROBE_BYTES, messages: 1 };
        lock(&self.asking).try_take(self.clock.now_us(), cost, 100)
    }
}

/// What was spent on observing since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ObserveSpent {
    /// Bytes, both directions.
    pub bytes: u64,
    /// Probes sent and answered.
    pub messages: u64,
    /// Wishes to spend that were refused.
    pub refused: u64,
}

const HINT_COST: ObserveCost = ObserveCost { bytes: HINT_BYTES, messages: 0 };

fn lock(budget: &Mutex<ObserveBudget>) -> MutexGuard<'_, ObserveBudget> {
    budget.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn probe(client: &PeerClient, address: SocketAddr) -> Option<Hint> {
    match client.ask(address, &PeerRequest::Probe).await {
        Ok(PeerAnswer::Probed(hint)) => hint.map(Hint::from),
        _ => None,
    }
}
