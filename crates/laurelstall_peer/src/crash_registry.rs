//! Thread-safe registry of the requests that crashed targets, shared by a node's entry, guard and
//! replication.

use crate::message::CrashDifferences;
use laurelstall_crash::{
    crash_record::{CrashRecord, CrashReport, TargetCrash},
    crash_table::{CrashTable, CrashTableCounts, RequestStatus, SuspectState},
    report_batch::CrashReportBatch,
    request_digest::RequestDigest,
};
use laurelstall_guard::clock::Clock;
use std::{
    cmp::Reverse,
    collections::{HashMap, HashSet},
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};
use tokio::sync::Notify;

/// Time in µs during which a trial of a quarantined request blocks further trials: longer than a run and
/// the distribution of its crash report take.
const TRIAL_TIMEOUT_US: i64 = 10_000_000;

/// Pause in ms after a message with new reports, in which further reports are collected: the first report is sent at once, and a
/// flood of them takes ten messages a second.
pub const ROUND_PAUSE_MS: u64 = 100;
/// Largest number of reports in one message. A report takes some 30 bytes, so a node sends each recipient at most 80 KB of them a
/// second, and a full table within a second. A message with 16 crashes for each is within the limit of a message.
pub const ROUND_REPORTS_MAX: usize = 256;

/// The crash table of a node and the reports that its partners have not been sent yet.
#[derive(Debug)]
pub struct CrashRegistry {
    clock: Clock,
    table: Mutex<CrashTable>,
    unsent: Mutex<HashSet<RequestDigest>>,
    /// Running trials of quarantined requests by digest, with the time at which each expires in µs of the
    /// clock.
    trials: Mutex<HashMap<u64, i64>>,
    has_unsent: Notify,
    /// Reports that were handed out for the partners.
    forwarded: AtomicU64,
}

impl CrashRegistry {
    /// Creates an empty registry.
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            table: Mutex::default(),
            unsent: Mutex::default(),
            trials: Mutex::default(),
            has_unsent: Notify::new(),
            forwarded: AtomicU64::new(0),
        }
    }

    /// Returns the quarantine status of a request.
    pub fn request_status(&self, digest: RequestDigest) -> RequestStatus {
        self.table().request_status(digest, self.now_us())
    }

    /// Whether the body of a request with this head must be read to determine its status.
    pub fn knows_head(&self, head: u64) -> bool {
        self.table().knows_head(head)
    }

    /// Records that a target crashed while these requests were running.
    pub fn note_crash(&self, crash_id: u64, service: &str, digests: &[RequestDigest]) {
        let now_us = self.now_us();
        let before = self.statuses(digests);
        let reports =
            self.table().note_crash(TargetCrash { id: crash_id, at_us: now_us }, service, digests, now_us);
        self.log_changes(&before);
        self.queue(reports);
    }

    /// Records that a run of a request succeeded.
    pub fn note_success(&self, digest: RequestDigest) {
        let now_us = self.now_us();
        let before = self.table().request_status(digest, now_us);
        if self.table().note_success(digest, now_us) {
            self.log_changes(&[(digest, before)]);
            self.queue(vec![digest]);
        }
    }

    /// Starts the trial of a quarantined request; returns `false` while another one runs.
    pub fn begin_trial(&self, digest: RequestDigest) -> bool {
        let now_us = self.now_us();
        let mut trials = self.trials.lock().unwrap_or_else(PoisonError::into_inner);
        trials.retain(|_, expires_us| now_us < *expires_us);
        let is_started = !trials.contains_key(&digest.whole);
        if is_started {
            trials.insert(digest.whole, now_us + TRIAL_TIMEOUT_US);
            log::warn!("request {digest}: quarantine is over, one call is let through as a trial");
        }
        is_started
    }

    /// Releases a request from quarantine on behalf of an operator; returns `false` if there are no crashes
    /// of it.
    pub fn release(&self, whole: u64) -> bool {
        let Some(digest) = self.table().release(whole, self.now_us()) else { return false };
        log::warn!("request {digest}: released from quarantine by an operator");
        self.queue(vec![digest]);
        true
    }

    /// Merges crash reports of another node.
    pub fn merge_reports(&self, reports: &[CrashReport]) {
        let digests = reports.iter().map(|report| report.digest).collect::<Vec<_>>();
        let before = self.statuses(&digests);
        let changed = self.table().merge_reports(reports, self.now_us());
        self.log_changes(&before);
        self.queue(changed);
    }

    /// Returns the report on one request for other nodes, or `None` if there is none.
    pub fn report_on(&self, digest: RequestDigest) -> Option<CrashReport> {
        self.table().reports_of(&[digest], self.now_us()).pop()
    }

    /// Returns the reports on all requests for other nodes.
    pub fn all_reports(&self) -> Vec<CrashReport> {
        self.table().all_reports(self.now_us())
    }

    /// Returns a hash of all reports.
    pub fn hash(&self) -> u64 {
        self.table().hash()
    }

    /// Returns what the table did with reports so far.
    pub fn counts(&self) -> CrashTableCounts {
        self.table().counts()
    }

    /// Returns the number of reports that were forwarded to the partners.
    pub fn forwarded(&self) -> u64 {
        self.forwarded.load(Ordering::Relaxed)
    }

    /// Returns the number of requests with crashes.
    pub fn len(&self) -> usize {
        self.table().len()
    }

    /// Whether no request has a crash.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the state of all requests with crashes, for operators.
    pub fn suspects(&self) -> Vec<SuspectState> {
        self.table().suspects(self.now_us())
    }

    /// Waits for reports that the partners have not been sent yet, and takes them.
    pub(crate) async fn unsent_reports(&self) -> Vec<CrashReport> {
        loop {
            self.has_unsent.notified().await;
            let reports = self.take_unsent();
            if !reports.is_empty() {
                return reports;
            }
        }
    }

    /// Takes the most urgent reports that the partners have not been sent yet, at most [`ROUND_REPORTS_MAX`].
    pub fn take_unsent(&self) -> Vec<CrashReport> {
        let mut unsent = self.unsent.lock().unwrap_or_else(PoisonError::into_inner);
        let table = self.table();
        let mut taken = unsent.drain().collect::<Vec<_>>();
        unsent.extend(split_least_urgent(&table, &mut taken));
        if !unsent.is_empty() {
            self.has_unsent.notify_one();
        }
        let reports = table.reports_of(&taken, self.now_us());
        self.forwarded.fetch_add(reports.len() as u64, Ordering::Relaxed);
        reports
    }

    /// Returns the fingerprints of all records, by which another node finds the differences.
    pub fn comparison(&self) -> Vec<u64> {
        self.table().fingerprints().into_keys().collect()
    }

    /// Answers another node, whose records have these fingerprints, with the reports that it lacks and with the
    /// fingerprints that this node lacks.
    pub fn answer_comparison(&self, theirs: &[u64]) -> CrashDifferences {
        let table = self.table();
        let ours = table.fingerprints();
        let theirs = theirs.iter().copied().collect::<HashSet<_>>();
        let differing = ours.iter().filter(|(fingerprint, _)| !theirs.contains(fingerprint));
        let differing = differing.map(|(_, digest)| *digest).collect::<Vec<_>>();
        let reports = table.reports_of(&differing, self.now_us());
        let lacking = theirs.into_iter().filter(|fingerprint| !ours.contains_key(fingerprint)).collect();
        CrashDifferences { reports: CrashReportBatch::pack(&reports), lacking }
    }

    /// Merges the answer to a comparison and returns the reports that the other node lacks.
    pub fn finish_comparison(&self, answer: &CrashDifferences) -> Vec<CrashReport> {
        let ours = self.table().fingerprints();
        let mut lacking =
            answer.lacking.iter().filter_map(|lacking| ours.get(lacking)).copied().collect::<Vec<_>>();
        let reports = answer.reports.unpack();
        self.merge_reports(&reports);
        // What the other node reported is not sent back unless this node knew more of it.
        let now_us = self.now_us();
        let fingerprint = |report: &CrashReport| {
            let mut record = CrashRecord::new(report.digest, &report.service);
            record.merge_report(report, now_us);
            record.fingerprint()
        };
        let theirs = reports.iter().map(fingerprint).collect::<HashSet<_>>();
        let table = self.table();
        lacking.retain(|digest| !table.fingerprint_of(*digest).is_some_and(|known| theirs.contains(&known)));
        // What does not fit is left to the next comparison.
        split_least_urgent(&table, &mut lacking);
        table.reports_of(&lacking, now_us)
    }

    fn queue(&self, digests: Vec<RequestDigest>) {
        if digests.is_empty() {
            return;
        }
        self.unsent.lock().unwrap_or_else(PoisonError::into_inner).extend(digests);
        self.has_unsent.notify_one();
    }

    fn statuses(&self, digests: &[RequestDigest]) -> Vec<(RequestDigest, RequestStatus)> {
        digests.iter().map(|digest| (*digest, self.request_status(*digest))).collect()
    }

    /// Logs each change of a request's quarantine status.
    fn log_changes(&self, before: &[(RequestDigest, RequestStatus)]) {
        for (digest, before) in before {
            let after = self.request_status(*digest);
            match (*before, after) {
                (RequestStatus::Quarantined { .. }, RequestStatus::Quarantined { .. }) => {}
                (_, RequestStatus::Quarantined { retry_after_ms }) => log::warn!(
                    "request {digest}: quarantined for {retry_after_ms} ms, its last target crashed {} ms ago",
                    self.last_crash_age_ms(*digest)
                ),
                (RequestStatus::Harmless, RequestStatus::Suspected(crashes)) => log::info!(
                    "request {digest}: suspected, it was running in {crashes} target crashes, the last one {} ms ago",
                    self.last_crash_age_ms(*digest)
                ),
                (RequestStatus::Quarantined { .. } | RequestStatus::HalfOpen, RequestStatus::Harmless) => {
                    log::warn!(
                        "request {digest}: out of quarantine, a run of it succeeded or an operator released it"
                    );
                }
                _ => {}
            }
        }
    }

    fn last_crash_age_ms(&self, digest: RequestDigest) -> u64 {
        let report = self.report_on(digest);
        report.and_then(|report| report.ends.iter().map(|end| end.age_ms).min()).unwrap_or(0)
    }

    fn now_us(&self) -> i64 {
        i64::try_from(self.clock.now_us()).unwrap_or(i64::MAX)
    }

    fn table(&self) -> MutexGuard<'_, CrashTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Sorts requests by the urgency of their reports, and splits off those beyond [`ROUND_REPORTS_MAX`].
fn split_least_urgent(table: &CrashTable, digests: &mut Vec<RequestDigest>) -> Vec<RequestDigest> {
    digests.retain(|digest| table.urgency_of(*digest).is_some());
    digests.sort_by_cached_key(|digest| Reverse(table.urgency_of(*digest)));
    digests.split_off(digests.len().min(ROUND_REPORTS_MAX))
}
