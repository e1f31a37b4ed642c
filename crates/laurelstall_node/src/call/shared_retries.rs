//! Borrows retry tokens from other nodes before a retry is decided on.

use super::Call;
use crate::{
    counters::{Counters, count},
    retry_loans::{amount_of, key_of, loan_of},
    services::ServiceState,
};
use futures_util::{StreamExt, stream::FuturesUnordered};
use laurelstall_config::fleet::Host;
use laurelstall_guard::{clock::Clock, refusal::NextStep};
use laurelstall_peer::{
    attempt::{AttemptAnswer, AttemptOutcome},
    client::PeerClient,
    message::{PeerAnswer, PeerRequest},
};
use std::{net::SocketAddr, sync::Arc};
use tokio::{
    task::JoinHandle,
    time::{Duration, timeout},
};

/// Number of nodes asked for one retry.
const LENDERS_MAX: usize = 4;
/// Longest time that a call waits for loans: an answer from another data centre takes a few ms.
const LOAN_WAIT: Duration = Duration::from_millis(8);
/// Time after which a lender counts as unreachable. A loan that arrives before serves a later call.
const LENDER_TIMEOUT: Duration = Duration::from_millis(100);

impl Call<'_> {
    /// Whether the attempt may be followed by a retry that the retry budget pays.
    pub(super) fn may_want_retry(&self, answer: &AttemptAnswer) -> bool {
        let route = &self.request.route;
        let may_repeat = route.may_repeat && self.possible_runs + 1 < route.tries;
        let may_retry = match &answer.outcome {
            AttemptOutcome::Answered { status, .. } => status.is_server_error() && may_repeat,
            AttemptOutcome::NotRun(refusal) => {
                let is_budgeted = refusal.reason.properties().next == NextStep::RetryBudgeted;
                is_budgeted && self.overload_refusals + 1 < route.tries
            }
            AttemptOutcome::Unknown(_) => may_repeat,
        };
        may_retry && self.request.ticket.is_none()
    }

    /// Borrows the part of a retry token that this node lacks, and waits a few ms for it.
    pub(super) async fn borrow_retry_token(&mut self) {
        let now_us = self.context.clock.now_us();
        let Some(missing) = self.missing_token(now_us) else { return };
        let fleet = self.snapshot.configuration.fleet.clone();
        let lenders = self.service.lenders().choose(&fleet, &self.context.host, LENDERS_MAX, now_us);
        let loans = lenders.into_iter().map(|host| self.request_loan(host, missing)).collect();
        let has_token =
            wait_for_token(self.context.clock, &self.service, self.request.budget_importance, loans);
        // Loans that arrive later are added to the budget as well.
        let _ = timeout(LOAN_WAIT, has_token).await;
    }

    fn missing_token(&self, now_us: u64) -> Option<f64> {
        self.service.balancer().missing_retry_tokens(self.request.budget_importance, now_us)
    }

    fn request_loan(&self, host: &Host, missing: f64) -> JoinHandle<()> {
        let request = LoanRequest {
            clock: self.context.clock,
            client: self.context.client.clone(),
            counters: self.context.counters.clone(),
            service: self.service.clone(),
            host: host.name.clone(),
            address: host.node_address,
            amount: amount_of(missing),
        };
        tokio::spawn(request.run())
    }
}

/// Waits until the loans have brought a whole token, or none is left to come.
async fn wait_for_token(
    clock: Clock,
    service: &ServiceState,
    importance: u8,
    mut loans: FuturesUnordered<JoinHandle<()>>,
) {
    while loans.next().await.is_some() {
        let is_missing = service.balancer().missing_retry_tokens(importance, clock.now_us()).is_some();
        if !is_missing {
            return;
        }
    }
}

/// A request for a loan, which goes on when the call waits no longer.
struct LoanRequest {
    clock: Clock,
    client: PeerClient,
    counters: Arc<Counters>,
    service: Arc<ServiceState>,
    host: String,
    address: SocketAddr,
    amount: u32,
}

impl LoanRequest {
    async fn run(self) {
        count(&self.counters.retry_loans_asked);
        let asked_us = self.clock.now_us();
        let request = PeerRequest::TakeTokens(key_of(&self.service.name), self.amount);
        let answer = timeout(LENDER_TIMEOUT, self.client.request(self.address, &request)).await;
        let now_us = self.clock.now_us();
        match answer {
            Ok(Ok(PeerAnswer::Tokens(Some(grant)))) if grant.tokens > 0 => {
                count(&self.counters.retry_loans);
                self.service.balancer().add_retry_loan(loan_of(grant), asked_us, now_us);
            }
            Ok(Ok(PeerAnswer::Tokens(Some(_)))) => self.service.lenders().note_empty(&self.host, now_us),
            _ => self.service.lenders().note_unreachable(&self.host, now_us),
        }
    }
}
