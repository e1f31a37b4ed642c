//! Answers the requests of other nodes.

use crate::{
    active_config::ActiveConfig, observer::Observer, quotas::Quotas, retry_loans::RetryLender,
    target_guard::TargetGuard,
};
use futures_util::future::{BoxFuture, FutureExt};
use laurelstall_config::fleet::Fleet;
use laurelstall_guard::refusal::{Refusal, RefusalReason};
use laurelstall_peer::{
    attempt::AttemptHandler,
    message::{PeerAnswer, PeerRequest},
    replicator::{ReplicationView, Replicator},
    server::PeerHandler,
};
use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
};

/// Answers the requests of other nodes.
#[derive(Debug)]
pub(super) struct PeerRequestHandler {
    pub(super) guard: TargetGuard,
    pub(super) replicator: Arc<Replicator>,
    pub(super) active: Arc<ActiveConfig>,
    pub(super) observer: Arc<Observer>,
    pub(super) quotas: Arc<Quotas>,
    pub(super) retry_lender: RetryLender,
    pub(super) seeds: Vec<SocketAddr>,
    pub(super) takes_unlisted_peers: bool,
}

impl PeerHandler for PeerRequestHandler {
    fn attempts(&self) -> &dyn AttemptHandler {
        &self.guard
    }

    fn is_member(&self, ip: IpAddr) -> bool {
        let fleet: Arc<Fleet> = self.active.fleet();
        // Before a host list is known, only seeds can be recognized.
        self.takes_unlisted_peers || fleet.has_ip(ip) || self.seeds.iter().any(|seed| seed.ip() == ip)
    }

    fn answer(&self, from: IpAddr, request: PeerRequest) -> BoxFuture<'_, PeerAnswer> {
        async move {
            match request {
                PeerRequest::Probe => {
                    let may_answer = self.observer.try_answer_probe();
                    PeerAnswer::Probed(may_answer.then(|| self.guard.hint().into()))
                }
                PeerRequest::Tickets(request) => self.guard.issue_tickets(&request),
                PeerRequest::Exchange(exchange) => self.replicator.answer_exchange(&exchange),
                PeerRequest::Pull(items) => self.replicator.answer_pull(&items),
                PeerRequest::Offer(address, exchange, versions) => {
                    self.replicator.handle_offer(from, address, &exchange, versions);
                    PeerAnswer::Noted
                }
                PeerRequest::CanRead => self.replicator.answer_can_read(),
                PeerRequest::CrashReportBatch(batch) => {
                    self.replicator.crashes().merge_reports(&batch.unpack());
                    PeerAnswer::Noted
                }
                PeerRequest::CrashReports(reports) => {
                    self.replicator.crashes().merge_reports(&reports);
                    PeerAnswer::Noted
                }
                PeerRequest::TakeTokens(key, wanted) => {
                    let lent = self.retry_lender.answer(&key, wanted);
                    lent.unwrap_or_else(|| self.quotas.answer_take_tokens(&key, wanted))
                }
                PeerRequest::ReturnTokens(key, tokens) => self.quotas.answer_return_tokens(&key, tokens),
                PeerRequest::CompareCrashes(reports) => self.replicator.answer_crashes(&reports),
                PeerRequest::CompareCrashFingerprints(theirs) => {
                    self.replicator.answer_crash_fingerprints(&theirs)
                }
                PeerRequest::CompareCorrections(corrections) => {
                    self.replicator.answer_corrections(corrections.as_ref())
                }
                PeerRequest::Attempt(_) => PeerAnswer::Refused(Refusal::new(RefusalReason::Unreadable)),
            }
        }
        .boxed()
    }
}
