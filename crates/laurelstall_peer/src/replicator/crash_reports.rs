//! Distributes reports on requests that crashed targets.
//!
//! Each node forwards what is new to it to its partners, so that a crash is known everywhere after a few
//! hops. The exchanges compare a hash of the known reports and repair what was missed.

use super::Replicator;
use crate::{
    client::PeerError,
    crash_registry::ROUND_PAUSE_MS,
    message::{PeerAnswer, PeerRequest},
};
use futures_util::stream::{FuturesUnordered, StreamExt};
use laurelstall_crash::{crash_record::CrashReport, report_batch::CrashReportBatch};
use std::{net::SocketAddr, sync::Arc};
use tokio::{
    task::JoinSet,
    time::{Duration, sleep, timeout},
};

/// Time to wait for a partner before a substitute is contacted.
const SEND_TIMEOUT: Duration = Duration::from_millis(300);
/// Nodes of other data centres that are contacted in addition to the partners. A small data centre may have
/// lost all of its remote partners.
const REMOTE_RECIPIENTS: usize = 2;

impl Replicator {
    /// Sends new crash reports to the partners, at once after a pause without any. Rounds run concurrently.
    pub(super) async fn crash_report_loop(self: &Arc<Self>) {
        let mut rounds = JoinSet::new();
        loop {
            let reports = self.crashes.unsent_reports().await;
            while rounds.try_join_next().is_some() {}
            let this = self.clone();
            rounds.spawn(async move { this.send_crash_reports(reports).await });
            sleep(Duration::from_millis(ROUND_PAUSE_MS)).await;
        }
    }

    /// Merges the crash reports of a node of an earlier build and answers with those of this node.
    pub fn answer_crashes(&self, theirs: &[CrashReport]) -> PeerAnswer {
        self.crashes.merge_reports(theirs);
        PeerAnswer::Crashes(self.crashes.all_reports())
    }

    /// Answers a node, whose crash records have these fingerprints, with the differences.
    pub fn answer_crash_fingerprints(&self, theirs: &[u64]) -> PeerAnswer {
        PeerAnswer::CrashDifferences(self.crashes.answer_comparison(theirs))
    }

    /// Exchanges crash reports with a node unless `their_hash` shows that both have the same.
    pub(super) async fn exchange_crashes(
        &self,
        address: SocketAddr,
        their_hash: u64,
    ) -> Result<(), PeerError> {
        if their_hash == self.crashes.hash() {
            return Ok(());
        }
        let request = PeerRequest::CompareCrashFingerprints(self.crashes.comparison());
        match self.client.request(address, &request).await? {
            PeerAnswer::CrashDifferences(theirs) => {
                let lacking = self.crashes.finish_comparison(&theirs);
                if !lacking.is_empty() {
                    let lacking = CrashReportBatch::pack(&lacking);
                    self.client.request(address, &PeerRequest::CrashReportBatch(lacking)).await?;
                }
                Ok(())
            }
            // A node of an earlier build does not know the message. The rest of the exchange goes on.
            PeerAnswer::Refused(_) => Ok(()),
            _ => Err(PeerError::Unexpected),
        }
    }

    async fn send_crash_reports(&self, reports: Vec<CrashReport>) {
        let mut partners = self.partners();
        partners.extend(self.remote_nodes(REMOTE_RECIPIENTS));
        let mut substitutes = self.substitutes(&partners, partners.len()).into_iter();
        let request = PeerRequest::CrashReportBatch(CrashReportBatch::pack(&reports));
        let send = |address| self.try_send_crash_reports(address, &request);
        let mut sending = partners.into_iter().map(send).collect::<FuturesUnordered<_>>();
        while let Some(is_sent) = sending.next().await {
            if !is_sent {
                sending.extend(substitutes.next().map(send));
            }
        }
    }

    /// Sends the request to one node and returns whether it answered in time.
    async fn try_send_crash_reports(&self, address: SocketAddr, request: &PeerRequest) -> bool {
        let answered = timeout(SEND_TIMEOUT, self.client.request(address, request)).await;
        matches!(answered, Ok(Ok(PeerAnswer::Noted)))
    }
}
