//! The crashes, successful runs and releases of one suspected request.

use crate::request_digest::RequestDigest;
use serde::{Deserialize, Serialize};

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

/// What one node knows of one request that was running when targets crashed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashRecord {
    /// The request.
    pub digest: RequestDigest,
    /// Full name of the service whose targets crashed.
    pub service: String,
    /// The latest crashes, earliest first.
    crashes: Vec<TargetCrash>,
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
        if let Some(known) = self.crashes.iter_mut().find(|known| known.id == crash.id) {
            known.at_us = known.at_us.min(crash.at_us);
            return false;
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

    /// Records a successful run of the request and returns whether it is later than the last known one.
    pub fn add_success(&mut self, at_us: i64) -> bool {
        update_if_later(&mut self.success_us, at_us)
    }

    /// Records a release by an operator, after which earlier crashes no longer count. Returns whether it is later than
    /// the last known one.
    pub fn add_release(&mut self, at_us: i64) -> bool {
        update_if_later(&mut self.release_us, at_us)
    }

    /// Whether a successful run of the request is known.
    pub fn has_succeeded(&self) -> bool {
        self.success_us.is_some()
    }

    /// The crashes that count against the request, earliest first: those after its last release and more than
    /// [`IGNORED_AFTER_SUCCESS_US`] after its last successful run.
    pub fn counted_crashes(&self) -> &[TargetCrash] {
        let counted_after_us = self.success_us.map_or(i64::MIN, |at_us| at_us + IGNORED_AFTER_SUCCESS_US);
        let released_us = self.release_us.unwrap_or(i64::MIN);
        let from_us = counted_after_us.max(released_us);
        let first = self.crashes.partition_point(|crash| crash.at_us <= from_us);
        &self.crashes[first..]
    }

    /// The time since the last crash in µs; `None` when no crash is known.
    pub fn last_crash_age_us(&self, now_us: i64) -> Option<i64> {
        self.crashes.last().map(|crash| now_us - crash.at_us)
    }

    /// The number of bursts of counted crashes: the first one, and one for each failed trial after a quarantine.
    pub fn crash_bursts(&self) -> usize {
        let counted = self.counted_crashes();
        let is_pause = |pair: &&[TargetCrash]| pair[1].at_us - pair[0].at_us > BURST_PAUSE_US;
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
                .map(|crash| ReportedCrash { id: crash.id, age_ms: age_ms(crash.at_us) })
                .collect(),
            good_run_age_ms: self.success_us.map(age_ms),
            release_age_ms: self.release_us.map(age_ms),
        }
    }

    /// Merges a report of another node and returns whether it has anything new.
    pub fn merge_report(&mut self, report: &CrashReport, now_us: i64) -> bool {
        let at_us = |age_ms: u64| now_us - i64::try_from(age_ms.min(AGE_MAX_MS)).unwrap_or(0) * 1_000;
        let mut has_changed = false;
        for crash in report.ends.iter().take(CRASHES_MAX) {
            has_changed |= self.add_crash(TargetCrash { id: crash.id, at_us: at_us(crash.age_ms) });
        }
        if let Some(age_ms) = report.good_run_age_ms {
            has_changed |= self.add_success(at_us(age_ms));
        }
        if let Some(age_ms) = report.release_age_ms {
            has_changed |= self.add_release(at_us(age_ms));
        }
        has_changed
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

    /// The sorted ids of the crashes.
    pub fn crash_ids(&self) -> Vec<u64> {
        let mut ids = self.crashes.iter().map(|crash| crash.id).collect::<Vec<_>>();
        ids.sort_unstable();
        ids
    }
}

/// Keeps the later of two times. Returns whether the new one is later by enough to be reported.
fn update_if_later(known_us: &mut Option<i64>, at_us: i64) -> bool {
    if known_us.is_some_and(|known_us| at_us <= known_us + TIME_SLACK_US) {
        return false;
    }
    *known_us = Some(at_us);
    true
}
