//! Decides which requests are quarantined because targets crashed while running them.
//!
//! When a target crashes, any of its running requests may be the cause. A request that was running at two crashes,
//! and has not succeeded since shortly before the first of them, is quarantined. A request that succeeded before
//! needs more crashes: one that crashes every target has no successful run, and a frequent harmless one always has
//! one. Nodes exchange crashes, by id, and successful runs, so all of them reach the same decision.

use crate::{
    crash_record::{CrashRecord, CrashReport, TargetCrash},
    dropped_records::DroppedRecords,
    request_digest::RequestDigest,
    standing::{Standing, quarantine_rank},
    successful_runs::SuccessfulRuns,
};
use std::{
    cell::OnceCell,
    collections::{BTreeMap, HashMap, HashSet},
};
use xxhash_rust::xxh3::Xxh3;

/// Largest number of records of requests with several crashes that have room of their own, so that requests with one crash
/// cannot displace a quarantined request.
const REPEATED_CRASH_RECORDS_MAX: usize = 512;
/// Largest number of other records. Some 100 targets that crash at one instant leave about 1,000 requests; a request that is
/// dropped needs one crash more for its quarantine. A record takes about 200 bytes, so all of them take 0.5 MB.
const OTHER_RECORDS_MAX: usize = 2_048;
/// Largest number of reports that are merged from one message.
const REPORTS_MAX: usize = REPEATED_CRASH_RECORDS_MAX + OTHER_RECORDS_MAX;
/// Time in µs since its last crash, successful run or release after which a request is forgotten if it is not quarantined.
const FORGET_AFTER_US: i64 = 600_000_000;
/// Age in µs from which an unknown request that is not quarantined is no longer taken from a report. Nodes forget a request
/// at slightly different times; without this margin, one that still knows it would tell it again to those that forgot it.
const NOT_TAKEN_AFTER_US: i64 = 540_000_000;
/// Duration of the quarantine in µs before one trial request is let through, by the number of failed trials: 5
/// minutes, 1 hour, 12 hours. After three failed trials only a successful run or an operator ends the quarantine,
/// because each trial may cost a target.
const QUARANTINE_US: [i64; 3] = [300_000_000, 3_600_000_000, 43_200_000_000];
/// Retry-after time in ms of a request whose quarantine has no end.
const UNLIMITED_RETRY_AFTER_MS: u64 = 86_400_000;

/// Whether a request is harmless, suspected of crashing targets, or quarantined for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestStatus {
    /// No crash counts against the request.
    Harmless,
    /// The request was running at this many crashes, too few for a quarantine.
    Suspected(usize),
    /// The request is quarantined.
    Quarantined {
        /// Time in ms after which a trial may be made.
        retry_after_ms: u64,
    },
    /// The quarantine is over and one trial request may be let through.
    HalfOpen,
}

/// A suspected or quarantined request, as shown to operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SuspectState {
    /// The request.
    pub digest: RequestDigest,
    /// Full name of the service whose targets crashed.
    pub service: String,
    /// Its current status.
    pub request_status: RequestStatus,
    /// The number of crashes that count against it.
    pub crashes: usize,
    /// The time since the last crash in ms.
    pub last_crash_age_ms: u64,
}

/// What a table did with reports since it was created.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CrashTableCounts {
    /// Reports that other nodes sent.
    pub received: u64,
    /// Received reports that changed a record, or that lacked a successful run known here.
    pub changed: u64,
    /// Records that were dropped because the table was full.
    pub dropped: u64,
    /// Records of requests that were taken although they had been dropped from the full table shortly before.
    pub taken_again: u64,
}

/// All requests of which one node knows that they were running when targets crashed.
#[derive(Debug, Default)]
pub struct CrashTable {
    /// Records by [`RequestDigest::whole`].
    records: BTreeMap<u64, CrashRecord>,
    successful_runs: SuccessfulRuns,
    /// Follows from the records; computed when it is first read after a fact has changed.
    standing: OnceCell<Standing>,
    dropped: DroppedRecords,
    counts: CrashTableCounts,
}

impl CrashTable {
    /// Records a crash of a target of `service` that was running these requests. Returns those for which the crash is
    /// new.
    pub fn note_crash(
        &mut self,
        crash: TargetCrash,
        service: &str,
        digests: &[RequestDigest],
        now_us: i64,
    ) -> Vec<RequestDigest> {
        let mut changed = Vec::new();
        let mut inserted = HashSet::new();
        for digest in digests {
            if !self.records.contains_key(&digest.whole) {
                inserted.insert(digest.whole);
            }
            let record = self.record(*digest, service);
            let is_new = record.add_crash(crash);
            if self.apply_remembered_success(digest.whole) || is_new {
                changed.push(*digest);
            }
        }
        if !changed.is_empty() {
            self.standing.take();
        }
        self.prune(&inserted, now_us);
        changed.retain(|digest| self.records.contains_key(&digest.whole));
        changed
    }

    /// Records a successful run of a request and returns whether other nodes should learn of it.
    pub fn note_success(&mut self, digest: RequestDigest, now_us: i64) -> bool {
        self.successful_runs.note(digest.whole, now_us);
        let record = self.records.get_mut(&digest.whole);
        let has_changed =
            record.is_some_and(|record| record.counted_crashes() > 0 && record.add_success(now_us));
        if has_changed {
            self.standing.take();
        }
        has_changed
    }

    /// Releases the request with this [`RequestDigest::whole`] for an operator: its crashes so far no longer count, but
    /// further ones do. Returns `None` when no crash counts against it.
    pub fn release(&mut self, digest_hash: u64, now_us: i64) -> Option<RequestDigest> {
        let record = self.records.get_mut(&digest_hash).filter(|record| record.counted_crashes() > 0)?;
        record.add_release(now_us);
        let digest = record.digest;
        self.standing.take();
        Some(digest)
    }

    /// Merges the reports of another node. Returns the requests of which they have anything new, or of which this node
    /// knows a successful run that the reports lack.
    pub fn merge_reports(&mut self, reports: &[CrashReport], now_us: i64) -> Vec<RequestDigest> {
        let mut changed = Vec::new();
        let mut inserted = HashSet::new();
        for report in reports.iter().take(REPORTS_MAX) {
            self.counts.received += 1;
            if !self.records.contains_key(&report.digest.whole) {
                if !is_taken(report, now_us) {
                    continue;
                }
                inserted.insert(report.digest.whole);
            }
            let record = self.record(report.digest, &report.service);
            let has_changed = record.merge_report(report, now_us);
            if self.apply_remembered_success(report.digest.whole) || has_changed {
                changed.push(report.digest);
            }
        }
        if !changed.is_empty() {
            self.standing.take();
        }
        self.prune(&inserted, now_us);
        changed.retain(|digest| self.records.contains_key(&digest.whole));
        self.counts.changed += changed.len() as u64;
        changed
    }

    /// The reports on these requests for other nodes.
    pub fn reports_of(&self, digests: &[RequestDigest], now_us: i64) -> Vec<CrashReport> {
        let records = digests.iter().filter_map(|digest| self.records.get(&digest.whole));
        records.map(|record| record.report(now_us)).collect()
    }

    /// The reports on all requests for other nodes.
    pub fn all_reports(&self, now_us: i64) -> Vec<CrashReport> {
        self.records.values().map(|record| record.report(now_us)).collect()
    }

    /// A hash of the facts of all records. Two nodes compare it to detect that one of them knows more.
    pub fn hash(&self) -> u64 {
        let mut hasher = Xxh3::new();
        for record in self.records.values() {
            hasher.update(&record.fingerprint().to_le_bytes());
        }
        hasher.digest()
    }

    /// The [fingerprints](CrashRecord::fingerprint) of all records, with their requests.
    pub fn fingerprints(&self) -> HashMap<u64, RequestDigest> {
        self.records.values().map(|record| (record.fingerprint(), record.digest)).collect()
    }

    /// How urgent a report on a request is, for a message that has no room for all: requests at several crashes come first,
    /// then those with newer ones. `None` if there is no record.
    pub fn urgency_of(&self, digest: RequestDigest) -> Option<(bool, u64)> {
        let record = self.records.get(&digest.whole)?;
        Some((record.counted_crashes() > 1, record.newest_crash_id()))
    }

    /// The fingerprint of the record of a request; `None` if there is no record.
    pub fn fingerprint_of(&self, digest: RequestDigest) -> Option<u64> {
        self.records.get(&digest.whole).map(CrashRecord::fingerprint)
    }

    /// What the table did with reports so far.
    pub fn counts(&self) -> CrashTableCounts {
        self.counts
    }

    /// The number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// The current status of a request.
    pub fn request_status(&self, digest: RequestDigest, now_us: i64) -> RequestStatus {
        self.records
            .get(&digest.whole)
            .map_or(RequestStatus::Harmless, |record| self.status_of(record, now_us))
    }

    /// Whether crashes count against a request with this head. The body of another request with this head must be read
    /// to tell the two apart.
    pub fn knows_head(&self, head: u64) -> bool {
        self.standing().is_suspected_head(head)
    }

    /// All requests with counted crashes.
    pub fn suspects(&self, now_us: i64) -> Vec<SuspectState> {
        let suspects = self.records.values().filter(|record| record.counted_crashes() > 0);
        let state = |record: &CrashRecord| SuspectState {
            digest: record.digest,
            service: record.service.clone(),
            request_status: self.status_of(record, now_us),
            crashes: record.counted_crashes(),
            last_crash_age_ms: u64::try_from(record.last_crash_age_us(now_us).unwrap_or(0) / 1_000)
                .unwrap_or(0),
        };
        suspects.map(state).collect()
    }

    fn standing(&self) -> &Standing {
        self.standing.get_or_init(|| Standing::of(self.records.values()))
    }

    fn record(&mut self, digest: RequestDigest, service: &str) -> &mut CrashRecord {
        self.records.entry(digest.whole).or_insert_with(|| CrashRecord::new(digest, service))
    }

    /// Adds a remembered successful run to the record of a request and returns whether it is new there.
    fn apply_remembered_success(&mut self, digest_hash: u64) -> bool {
        let Some(at_us) = self.successful_runs.last_us(digest_hash) else { return false };
        let record = self.records.get_mut(&digest_hash);
        record.is_some_and(|record| record.counted_crashes() > 0 && record.add_success(at_us))
    }

    fn status_of(&self, record: &CrashRecord, now_us: i64) -> RequestStatus {
        let crashes = record.counted_crashes();
        if crashes == 0 {
            return RequestStatus::Harmless;
        }
        if !self.standing().is_quarantined(record.digest.whole) {
            return RequestStatus::Suspected(crashes);
        }
        let Some(quarantine_us) = QUARANTINE_US.get(record.crash_bursts().saturating_sub(1)) else {
            return RequestStatus::Quarantined { retry_after_ms: UNLIMITED_RETRY_AFTER_MS };
        };
        let left_us = quarantine_us - record.last_crash_age_us(now_us).unwrap_or(0);
        match u64::try_from(left_us) {
            Ok(left_us) if left_us > 0 => {
                RequestStatus::Quarantined { retry_after_ms: left_us.div_ceil(1_000) }
            }
            _ => RequestStatus::HalfOpen,
        }
    }

    /// Removes old records and, when there are too many, those that rank lowest in an order that is the same at all nodes.
    ///
    /// A record only rises in that order, so all nodes that have heard the same end with the same records, and a record that
    /// was dropped does not come back without a further crash. `inserted` are the requests whose records are new.
    fn prune(&mut self, inserted: &HashSet<u64>, now_us: i64) {
        let is_recent = |record: &CrashRecord| {
            record.last_event_age_us(now_us).is_some_and(|age_us| age_us < FORGET_AFTER_US)
        };
        let known = self.records.len();
        self.records.retain(|_, record| is_recent(record) || quarantine_rank(record).is_some());
        for digest_hash in surplus(&self.records) {
            self.records.remove(&digest_hash);
            if !inserted.contains(&digest_hash) {
                self.dropped.note(digest_hash);
                self.counts.dropped += 1;
            }
        }
        for digest_hash in inserted.iter().filter(|digest_hash| self.records.contains_key(digest_hash)) {
            self.counts.taken_again += u64::from(self.dropped.take(*digest_hash));
        }
        if self.records.len() != known {
            self.standing.take();
        }
    }
}

/// The requests whose records exceed the bounds.
///
/// Of the requests with several crashes, those with the newest ones are kept. All others compete for the remaining room, by
/// their newest crash as well, so that a request that was dropped is not taken again when a node with fewer of its crashes
/// reports it.
fn surplus(records: &BTreeMap<u64, CrashRecord>) -> Vec<u64> {
    if records.len() <= OTHER_RECORDS_MAX {
        return Vec::new();
    }
    let is_repeated = |record: &CrashRecord| record.known_crashes() > 1;
    let rank = |digest_hash: &u64, record: &CrashRecord| (record.newest_crash_id(), *digest_hash);
    let (mut repeated, mut others) = (Vec::new(), Vec::new());
    for (digest_hash, record) in records {
        let ranks = if is_repeated(record) { &mut repeated } else { &mut others };
        ranks.push(rank(digest_hash, record));
    }
    others.extend(take_lowest(&mut repeated, REPEATED_CRASH_RECORDS_MAX));
    take_lowest(&mut others, OTHER_RECORDS_MAX).into_iter().map(|(_, digest_hash)| digest_hash).collect()
}

/// Removes and returns the lowest ranks beyond the `max` highest ones.
fn take_lowest(ranks: &mut Vec<(u64, u64)>, max: usize) -> Vec<(u64, u64)> {
    let Some(excess) = ranks.len().checked_sub(max).filter(|excess| *excess > 0) else { return Vec::new() };
    ranks.select_nth_unstable(excess - 1);
    ranks.drain(..excess).collect()
}

/// Whether a report on an unknown request is taken: not if the request is about to be forgotten.
fn is_taken(report: &CrashReport, now_us: i64) -> bool {
    let mut record = CrashRecord::new(report.digest, &report.service);
    record.merge_report(report, now_us);
    record.last_event_age_us(now_us).is_some_and(|age_us| age_us < NOT_TAKEN_AFTER_US)
        || quarantine_rank(&record).is_some()
}
