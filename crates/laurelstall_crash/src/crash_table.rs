//! Which requests are held back since targets end under them.
//!
//! A target ends with several requests at work, one of which may be to blame. What was at work at two ends, and has not
//! run well since shortly before the first of them, is held back; of what ever ran well, more is wanted: a request that
//! ends every target it runs on has no good run, and a harmless one that is asked often always has one. Nodes tell each
//! other of ends, by number, and of good runs, so all come to the same sum.

use crate::{
    crash_record::{CrashEnd, CrashNews, CrashRecord},
    good_runs::GoodRuns,
    request_digest::RequestDigest,
};
use std::{cmp::Reverse, collections::BTreeMap};
use xxhash_rust::xxh3::Xxh3;

/// Ends after which a request is held back. One says little: all requests at work are at that end. With two, a request that
/// comes 0.5, 5 and 20 times a second ends 2.04, 2.49 and 3.27 targets until it is held back (means of 100 runs of the model
/// in `tests/blame_model.rs`); a third would cost one target more each time.
pub const HOLD_ENDS: usize = 2;
/// Ends after which a request is held back that is known to have run well: what is asked often has no good run for a while
/// where few targets stand, and is at work at each end.
pub const HOLD_ENDS_RAN_WELL: usize = 4;
/// Most requests of one service that are held back: targets that end whatever they run must not have all their requests
/// held back.
const HELD_MAX: usize = 32;
/// Most requests of which anything is kept, some 50 KB.
const RECORDS_MAX: usize = 256;
/// After so long without a further end, a request that is not held back is forgotten, in µs.
const FORGET_AFTER_US: i64 = 600_000_000;
/// How long a request is held back until one arrival may find out whether it still ends targets, by the trials that
/// failed, in µs: 5 minutes, 1 hour, 12 hours. After the last one only an operator, or a good run, lets it go: each
/// trial may cost a target, and a request may be tried three times in all.
const HOLD_US: [i64; 3] = [300_000_000, 3_600_000_000, 43_200_000_000];
/// When the caller of a request that is held back for good is told to come back, in ms.
const FOR_GOOD_RETRY_MS: u64 = 86_400_000;

/// How a request stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing speaks against it.
    Harmless,
    /// It was at work at so many ends, too few to hold it back.
    Suspected(usize),
    /// It is held back.
    Held {
        /// When it may be tried again, in ms.
        retry_after_ms: u64,
    },
    /// It was held back for so long that one arrival may find out.
    Trial,
}

/// A request as operators see it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashState {
    /// The request.
    pub digest: RequestDigest,
    /// Full name of the service whose targets ended.
    pub service: String,
    /// How it stands.
    pub verdict: Verdict,
    /// Ends that speak against it.
    pub ends: usize,
    /// Since the last one, in ms.
    pub last_end_age_ms: u64,
}

/// What is known of requests and the ends of targets.
#[derive(Debug, Default)]
pub struct CrashTable {
    records: BTreeMap<u64, CrashRecord>,
    good_runs: GoodRuns,
}

impl CrashTable {
    /// Notes that a target of `service` ended while these requests were at work there; those of which that is news.
    pub fn note_end(
        &mut self,
        end: CrashEnd,
        service: &str,
        digests: &[RequestDigest],
        now_us: i64,
    ) -> Vec<RequestDigest> {
        let mut news = Vec::new();
        for digest in digests {
            let record = self.record(*digest, service);
            if record.take_end(end) {
                news.push(*digest);
            }
            self.recall_good_run(digest.whole);
        }
        self.prune(now_us);
        news
    }

    /// Notes that a run of a request ended well; whether that is news for other nodes.
    pub fn note_good(&mut self, digest: RequestDigest, now_us: i64) -> bool {
        self.good_runs.note(digest.whole, now_us);
        let record = self.records.get_mut(&digest.whole);
        record.is_some_and(|record| !record.counted().is_empty() && record.take_good_run(now_us))
    }

    /// Lets a request go at an operator's word: no end so far speaks against it any more, but each further one does. None
    /// when nothing speaks against it.
    pub fn release(&mut self, whole: u64, now_us: i64) -> Option<RequestDigest> {
        let record = self.records.get_mut(&whole).filter(|record| !record.counted().is_empty())?;
        record.take_release(now_us);
        Some(record.digest)
    }

    /// Takes what another node told; the requests of which any of it is news.
    pub fn take_news(&mut self, news: &[CrashNews], now_us: i64) -> Vec<RequestDigest> {
        let mut changed = Vec::new();
        for told in news.iter().take(RECORDS_MAX) {
            let record = self.record(told.digest, &told.service);
            let is_news = record.take_news(told, now_us);
            if self.recall_good_run(told.digest.whole) || is_news {
                changed.push(told.digest);
            }
        }
        self.prune(now_us);
        changed.retain(|digest| self.records.contains_key(&digest.whole));
        changed
    }

    /// What is told of these requests.
    pub fn news_of(&self, digests: &[RequestDigest], now_us: i64) -> Vec<CrashNews> {
        let records = digests.iter().filter_map(|digest| self.records.get(&digest.whole));
        records.map(|record| record.news(now_us)).collect()
    }

    /// What is told of all requests.
    pub fn all_news(&self, now_us: i64) -> Vec<CrashNews> {
        self.records.values().map(|record| record.news(now_us)).collect()
    }

    /// A hash of what is known, by which two nodes find out that one of them knows more.
    pub fn hash(&self) -> u64 {
        let mut hasher = Xxh3::new();
        for (whole, record) in &self.records {
            hasher.update(&whole.to_le_bytes());
            hasher.update(&[record.counted().len() as u8]);
            for id in record.end_ids() {
                hasher.update(&id.to_le_bytes());
            }
        }
        hasher.digest()
    }

    /// How a request stands.
    pub fn verdict(&self, digest: RequestDigest, now_us: i64) -> Verdict {
        self.records.get(&digest.whole).map_or(Verdict::Harmless, |record| self.judge(record, now_us))
    }

    /// Whether a request with this head was at work when a target ended: the body of one more must be read to tell it
    /// from that one.
    pub fn knows_head(&self, head: u64) -> bool {
        self.records.values().any(|record| record.digest.head == head && !record.counted().is_empty())
    }

    /// All requests that anything speaks against.
    pub fn states(&self, now_us: i64) -> Vec<CrashState> {
        let suspects = self.records.values().filter(|record| !record.counted().is_empty());
        let state = |record: &CrashRecord| CrashState {
            digest: record.digest,
            service: record.service.clone(),
            verdict: self.judge(record, now_us),
            ends: record.counted().len(),
            last_end_age_ms: u64::try_from(record.last_end_age_us(now_us).unwrap_or(0) / 1_000).unwrap_or(0),
        };
        suspects.map(state).collect()
    }

    fn record(&mut self, digest: RequestDigest, service: &str) -> &mut CrashRecord {
        self.records.entry(digest.whole).or_insert_with(|| CrashRecord::new(digest, service))
    }

    /// Has a remembered good run speak for a request; whether that is news.
    fn recall_good_run(&mut self, whole: u64) -> bool {
        let Some(at_us) = self.good_runs.last_us(whole) else { return false };
        let record = self.records.get_mut(&whole);
        record.is_some_and(|record| !record.counted().is_empty() && record.take_good_run(at_us))
    }

    fn judge(&self, record: &CrashRecord, now_us: i64) -> Verdict {
        let ends = record.counted().len();
        if ends == 0 {
            return Verdict::Harmless;
        }
        if !self.is_held(record) {
            return Verdict::Suspected(ends);
        }
        let Some(hold_us) = HOLD_US.get(record.spells().saturating_sub(1)) else {
            return Verdict::Held { retry_after_ms: FOR_GOOD_RETRY_MS };
        };
        let left_us = hold_us - record.last_end_age_us(now_us).unwrap_or(0);
        match u64::try_from(left_us) {
            Ok(left_us) if left_us > 0 => Verdict::Held { retry_after_ms: left_us.div_ceil(1_000) },
            _ => Verdict::Trial,
        }
    }

    /// Whether a request was at work at enough ends, and is among the first of its service.
    fn is_held(&self, record: &CrashRecord) -> bool {
        let Some(own) = hold_rank(record) else { return false };
        let others = self.records.values().filter(|other| other.service == record.service);
        others.filter_map(hold_rank).filter(|rank| *rank < own).count() < HELD_MAX
    }

    /// Forgets what is old, and what speaks least against requests when too much is known.
    fn prune(&mut self, now_us: i64) {
        let is_recent = |record: &CrashRecord| {
            record.last_end_age_us(now_us).is_some_and(|age_us| age_us < FORGET_AFTER_US)
        };
        self.records.retain(|_, record| is_recent(record) || hold_rank(record).is_some());
        while self.records.len() > RECORDS_MAX {
            let strength =
                |record: &CrashRecord| (record.counted().len(), Reverse(record.last_end_age_us(now_us)));
            let weakest = self.records.iter().min_by_key(|(_, record)| strength(record));
            let Some(weakest) = weakest.map(|(whole, _)| *whole) else { return };
            self.records.remove(&weakest);
        }
    }
}

/// Which requests are held back before others: those with more ends, then those that reached the bound first. None for
/// a request with too few ends.
fn hold_rank(record: &CrashRecord) -> Option<(Reverse<usize>, i64, u64)> {
    let counted = record.counted();
    let wanted = if record.has_run_well() { HOLD_ENDS_RAN_WELL } else { HOLD_ENDS };
    let reached = counted.get(wanted - 1)?;
    Some((Reverse(counted.len()), reached.at_us, record.digest.whole))
}
