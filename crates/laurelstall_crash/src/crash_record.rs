//! The crashes, successful runs and releases of one suspected request.

use crate::request_digest::RequestDigest;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

/// Time in µs after a successful run in which crashes do not count against the request.
///
/// A frequent harmless request is running at any target that crashes, but it has also just succeeded elsewhere. A
/// request that crashes every target it runs on has no successful run.
pub const IGNORED_AFTER_SUCCESS_US: i64 = 2_000_000;
/// Largest number of crashes that are kept for one request: those with the highest ids, which are the newest.
const CRASHES_MAX: usize = 16;
/// Pause in µs between two crashes that separates two bursts. Within a burst, requests that were in flight when the
/// quarantine began still crash targets.
const BURST_PAUSE_US: i64 = 30_000_000;
/// Upper limit in ms of the ages in a report: thirty days, far longer than the longest timed quarantine.
const AGE_MAX_MS: u64 = 2_592_000_000;
/// Difference in µs between the times of two nodes that is ignored: the delay of a report.
const TIME_SLACK_US: i64 = 500_000;

/// The id of a crash: the time in s at which its witness noticed it, by the witness's wall clock, and 32 bits of a hash
/// that identifies it.
///
/// Ids are thereby ordered by time in the same way at all nodes, so that nodes with too many crashes keep the same ones. A
/// wrong clock changes only what a full table keeps.
pub fn crash_id(unix_s: u64, hash: u64) -> u64 {
    let unix_s = u64::from(u32::try_from(unix_s).unwrap_or(u32::MAX));
    (unix_s << 32) | (hash & u64::from(u32::MAX))
}

/// A crash of a target while the request was running there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetCrash {
    /// The id of the crash, equal at all nodes.
    pub id: u64,
    /// The time of the crash in µs of the node's clock; negative before the node started.
    pub at_us: i64,
}

/// A crash in a report to another node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedCrash {
    /// The id of the crash.
    pub id: u64,
    /// The time since the crash in ms.
    pub age_ms: u64,
    /// Whether a node found that a successful run or a release clears the request of this crash. Only a
    /// [`CrashReportBatch`](crate::report_batch::CrashReportBatch) transmits it.
    #[serde(skip)]
    pub is_cleared: bool,
}

/// A report on one request from one node to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The request.
    pub digest: RequestDigest,
    /// Full name of the service whose targets crashed.
    pub service: String,
    /// The crashes while the request was running.
    pub ends: Vec<ReportedCrash>,
    /// Time in ms since the last successful run; `None` when none is remembered.
    pub good_run_age_ms: Option<u64>,
    /// Time in ms since an operator last released the request; `None` when none did.
    pub release_age_ms: Option<u64>,
}

/// A crash and whether it counts against the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct KnownCrash {
    id: u64,
    at_us: i64,
    /// Set for good as soon as any node finds that a successful run or a release clears the request of the crash. The nodes
    /// estimate times differently, so each would decide differently for crashes shortly after a successful run.
    is_cleared: bool,
}

/// What one node knows of one request that was running when targets crashed.
///
/// The ids of the crashes, which of them are cleared, and whether there was a successful run are facts that all nodes come to
/// agree on, in whatever order and however late they hear of them. Times are estimates of this node: a report is news only if
/// it adds a fact.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashRecord {
    /// The request.
    pub digest: RequestDigest,
    /// Full name of the service whose targets crashed.
    pub service: String,
    /// The latest crashes, earliest first.
    crashes: Vec<KnownCrash>,
    /// The time of the last successful run in µs of the node's clock.
    success_us: Option<i64>,
    /// The time of the last release by an operator in µs of the node's clock.
    release_us: Option<i64>,
}

impl CrashRecord {
    /// Creates an empty record.
    pub fn new(digest: RequestDigest, service: &str) -> Self {
        Self { digest, service: service.to_owned(), crashes: Vec::new(), success_us: None, release_us: None }
    }

    /// Adds a crash and returns whether it is new. Of several times for one crash the earliest is kept, because
    /// reports arrive late.
    pub fn add_crash(&mut self, crash: TargetCrash) -> bool {
        let is_new = self.insert_crash(KnownCrash { id: crash.id, at_us: crash.at_us, is_cleared: false });
        self.clear_crashes();
        is_new
    }

    /// Inserts a crash or merges it with the known one of this id. Returns whether that adds a fact.
    fn insert_crash(&mut self, crash: KnownCrash) -> bool {
        if let Some(known) = self.crashes.iter_mut().find(|known| known.id == crash.id) {
            known.at_us = known.at_us.min(crash.at_us);
            let is_newly_cleared = crash.is_cleared && !known.is_cleared;
            known.is_cleared |= crash.is_cleared;
            return is_newly_cleared;
        }
        if self.crashes.len() >= CRASHES_MAX {
            let Some(oldest) = (0..self.crashes.len()).min_by_key(|index| self.crashes[*index].id) else {
                return false;
            };
            if crash.id < self.crashes[oldest].id {
                return false;
            }
            self.crashes.remove(oldest);
        }
        self.crashes.push(crash);
        self.crashes.sort_by_key(|crash| (crash.at_us, crash.id));
        true
    }

    /// Records a successful run of the request, which clears it of the crashes until [`IGNORED_AFTER_SUCCESS_US`] later.
    /// Returns whether it is the first known one or clears any crash.
    pub fn add_success(&mut self, at_us: i64) -> bool {
        let is_first = self.success_us.is_none();
        self.success_us = self.success_us.max(Some(at_us));
        self.clear_crashes() || is_first
    }

    /// Records a release by an operator, which clears the request of the crashes before it. Returns whether it clears any.
    pub fn add_release(&mut self, at_us: i64) -> bool {
        self.release_us = self.release_us.max(Some(at_us));
        self.clear_crashes()
    }

    /// Marks the crashes that the last successful run and the last release clear, and returns whether there is a new one.
    fn clear_crashes(&mut self) -> bool {
        let success_until_us = self.success_us.map_or(i64::MIN, |at_us| at_us + IGNORED_AFTER_SUCCESS_US);
        let until_us = success_until_us.max(self.release_us.unwrap_or(i64::MIN));
        let mut has_changed = false;
        for crash in self.crashes.iter_mut().filter(|crash| !crash.is_cleared && crash.at_us <= until_us) {
            crash.is_cleared = true;
            has_changed = true;
        }
        has_changed
    }

    /// Whether a successful run of the request is known.
    pub fn has_succeeded(&self) -> bool {
        self.success_us.is_some()
    }

    /// The number of crashes that count against the request.
    pub fn counted_crashes(&self) -> usize {
        self.counted().count()
    }

    /// The time of the crash that is the `number`th, from 1, to count against the request; `None` if fewer count.
    pub fn counted_crash_us(&self, number: usize) -> Option<i64> {
        self.counted().nth(number.checked_sub(1)?).map(|crash| crash.at_us)
    }

    /// The crashes that are not cleared, earliest first.
    fn counted(&self) -> impl Iterator<Item = &KnownCrash> {
        self.crashes.iter().filter(|crash| !crash.is_cleared)
    }

    /// The time since the last crash in µs; `None` when no crash is known.
    pub fn last_crash_age_us(&self, now_us: i64) -> Option<i64> {
        self.crashes.last().map(|crash| now_us - crash.at_us)
    }

    /// The number of bursts of counted crashes: the first one, and one for each failed trial after a quarantine.
    pub fn crash_bursts(&self) -> usize {
        let counted = self.counted().collect::<Vec<_>>();
        let is_pause = |pair: &&[&KnownCrash]| pair[1].at_us - pair[0].at_us > BURST_PAUSE_US;
        usize::from(!counted.is_empty()) + counted.windows(2).filter(is_pause).count()
    }

    /// The report on this request for other nodes.
    pub fn report(&self, now_us: i64) -> CrashReport {
        let age_ms = |at_us: i64| u64::try_from((now_us - at_us) / 1_000).unwrap_or(0);
        CrashReport {
            digest: self.digest,
            service: self.service.clone(),
            ends: self
                .crashes
                .iter()
                .map(|crash| ReportedCrash {
                    id: crash.id,
                    age_ms: age_ms(crash.at_us),
                    is_cleared: crash.is_cleared,
                })
                .collect(),
            good_run_age_ms: self.success_us.map(age_ms),
            release_age_ms: self.release_us.map(age_ms),
        }
    }

    /// Merges a report of another node and returns whether it adds a fact.
    pub fn merge_report(&mut self, report: &CrashReport, now_us: i64) -> bool {
        let at_us = |age_ms: u64| now_us - i64::try_from(age_ms.min(AGE_MAX_MS)).unwrap_or(0) * 1_000;
        let mut has_changed = false;
        for crash in report.ends.iter().take(CRASHES_MAX) {
            has_changed |= self.insert_crash(KnownCrash {
                id: crash.id,
                at_us: at_us(crash.age_ms),
                is_cleared: crash.is_cleared,
            });
        }
        has_changed |= report.good_run_age_ms.is_some() && self.success_us.is_none();
        update_if_later(&mut self.success_us, report.good_run_age_ms.map(at_us));
        update_if_later(&mut self.release_us, report.release_age_ms.map(at_us));
        self.clear_crashes() || has_changed
    }

    /// The time since the last crash, successful run or release in µs; `None` when no crash is known.
    pub fn last_event_age_us(&self, now_us: i64) -> Option<i64> {
        let crash_us = self.crashes.last()?.at_us;
        let last_us = [Some(crash_us), self.success_us, self.release_us].into_iter().flatten().max()?;
        Some(now_us - last_us)
    }

    /// The number of known crashes, whether they count or not.
    pub fn known_crashes(&self) -> usize {
        self.crashes.len()
    }

    /// The highest id of the known crashes; 0 when there are none.
    pub fn newest_crash_id(&self) -> u64 {
        self.crashes.iter().map(|crash| crash.id).max().unwrap_or(0)
    }

    /// A hash of the facts that all nodes come to agree on. No time of this node takes part.
    pub fn fingerprint(&self) -> u64 {
        let mut facts = self.crashes.iter().map(|crash| (crash.id, crash.is_cleared)).collect::<Vec<_>>();
        facts.sort_unstable();
        let mut hasher = Xxh3::new();
        hasher.update(&self.digest.whole.to_le_bytes());
        hasher.update(&[u8::from(self.success_us.is_some())]);
        for (id, is_cleared) in facts {
            hasher.update(&id.to_le_bytes());
            hasher.update(&[u8::from(is_cleared)]);
        }
        hasher.digest()
    }
}

/// Replaces a time by a reported one that is later by more than the usual delay of a report.
fn update_if_later(known_us: &mut Option<i64>, reported_us: Option<i64>) {
    if reported_us > known_us.map(|known_us| known_us + TIME_SLACK_US) {
        *known_us = reported_us;
    }
}
