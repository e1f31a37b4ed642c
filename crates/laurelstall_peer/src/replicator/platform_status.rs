//! Tracks when the platform was last read and when its last outage ended.

use super::Replicator;
use crate::{
    message::Exchange,
    read_span::{OUTAGE_MIN_US, ReadSpan},
};
use laurelstall_config::document::DocumentName;
use std::sync::{MutexGuard, PoisonError, atomic::Ordering};

/// Reported ends of outages within this time of each other count as the same one, in µs.
const SAME_OUTAGE_END_US: i64 = 3_000_000;

/// Maximum time of a prompt read, in µs. The platform answers within some ms.
const PROMPT_READ_MAX_US: i64 = 500_000;

/// Age that stands for "never", in ms.
const NEVER_MS: u64 = u32::MAX as u64;

impl Replicator {
    /// Time since the last platform read known to this node, in ms.
    ///
    /// Reads before the node's start do not count, since it holds no documents from them.
    pub fn platform_read_age_ms(&self) -> u64 {
        let reads = self.known_reads().filter(|reads| reads.last_us > 0);
        reads.map_or(NEVER_MS, |reads| self.age_ms(reads.last_us))
    }

    /// Time since the first platform read that no outage separates from the last one, in ms.
    pub(super) fn platform_reads_from_age_ms(&self) -> u64 {
        self.known_reads().map_or(NEVER_MS, |reads| self.age_ms(reads.first_us))
    }

    /// Upper bound for the age of the held documents, in ms: the platform held nothing newer at that time.
    ///
    /// Unlike [`platform_read_age_ms`](Self::platform_read_age_ms) it grows until what another node has
    /// read arrives here.
    pub fn documents_age_ms(&self) -> u64 {
        match self.up_to_date_us.load(Ordering::Relaxed) {
            0 => NEVER_MS,
            up_to_date_us => self.clock.now_us().saturating_sub(up_to_date_us) / 1_000,
        }
    }

    /// How often the platform was restored from an older copy, as seen in this node's reads and documents.
    pub fn platform_era(&self) -> u64 {
        let held = self.store().version(&DocumentName::Fleet).era;
        held.max(self.platform_era.load(Ordering::Relaxed))
    }

    /// Records the era of a platform read by this node.
    pub(super) fn note_platform_era(&self, era: u64) {
        self.platform_era.fetch_max(era, Ordering::Relaxed);
    }

    fn now_us(&self) -> i64 {
        self.clock.now_us() as i64
    }

    /// Converts a time of this node's clock in µs to an age in ms.
    fn age_ms(&self, at_us: i64) -> u64 {
        u64::try_from((self.now_us() - at_us) / 1_000).unwrap_or(0)
    }

    /// Converts an age in ms to a time of this node's clock in µs.
    fn time_us(&self, age_ms: u64) -> i64 {
        self.now_us() - age_ms.min(NEVER_MS) as i64 * 1_000
    }

    /// Records that the held documents are at least as new as the platform's were at `at_us`.
    pub(super) fn note_up_to_date(&self, at_us: u64) {
        self.up_to_date_us.fetch_max(at_us, Ordering::Relaxed);
    }

    /// Records that the held documents are as new as those of a node that was asked at `requested_us`.
    ///
    /// The age in the answer is counted from `requested_us`, so that a late answer cannot make the documents
    /// look newer.
    pub(super) fn note_up_to_date_with(&self, theirs: &Exchange, requested_us: u64) {
        self.note_up_to_date(requested_us.saturating_sub(theirs.documents_age_ms.saturating_mul(1_000)));
    }

    /// Merges the platform status of another node.
    pub(super) fn merge_status(&self, theirs: &Exchange) {
        if theirs.platform_read_age_ms < NEVER_MS {
            let last_us = self.time_us(theirs.platform_read_age_ms);
            let first_us = self.time_us(theirs.platform_reads_from_age_ms).min(last_us);
            self.note_reads(ReadSpan { first_us, last_us });
        }
        if let Some(age_ms) = theirs.outage_end_age_ms {
            self.note_outage_end(self.time_us(age_ms));
        }
    }

    /// Records a platform read by this node that was requested at `requested_us`, and the end of an outage if no node could
    /// read for long.
    ///
    /// A single failed read is no sign of an outage if the next one, on a new connection, is answered promptly: the
    /// connection may have gone silent alone.
    pub(super) fn note_platform_read(&self, requested_us: u64) {
        let now_us = self.now_us();
        let is_prompt = now_us - requested_us as i64 <= PROMPT_READ_MAX_US;
        let was_read_failing = self.is_read_failing.swap(false, Ordering::Relaxed);
        let was_platform_failing = self.is_platform_failing.swap(false, Ordering::Relaxed);
        let was_failing = was_platform_failing || (was_read_failing && !is_prompt);
        let unread_for_ms = self.platform_read_age_ms();
        self.note_reads(ReadSpan::new(now_us));
        if was_failing && unread_for_ms > OUTAGE_MIN_US as u64 / 1_000 {
            log::info!("platform: reachable again, no known read for {unread_for_ms} ms");
            self.note_outage_end(now_us);
        }
    }

    /// Records that a platform outage ended at `ended_us`, unless that end is known already.
    ///
    /// A node that was partitioned mistakes its own outage for the platform's. Nodes that know of reads in
    /// that time ignore its report, since they would needlessly keep targets that leave.
    fn note_outage_end(&self, ended_us: i64) {
        let before_us = *self.outage_end_us();
        if before_us.is_some_and(|before_us| ended_us < before_us + SAME_OUTAGE_END_US) {
            return;
        }
        if self.rules_out_outage_before(ended_us) {
            log::debug!("platform: a reported outage is ignored, since there were reads in that time");
            return;
        }
        *self.outage_end_us() = Some(ended_us);
        let age_ms = self.age_ms(ended_us);
        log::info!("platform: an outage ended {age_ms} ms ago");
        self.acceptor.on_platform_outage_end(age_ms);
    }

    /// Time since the last platform outage ended, in ms; `None` if there was none, or if known reads
    /// contradict it.
    pub(super) fn outage_end_age_ms(&self) -> Option<u64> {
        let ended_us = *self.outage_end_us();
        ended_us.filter(|us| !self.rules_out_outage_before(*us)).map(|us| self.age_ms(us))
    }

    fn rules_out_outage_before(&self, ended_us: i64) -> bool {
        self.known_reads().is_some_and(|reads| reads.rules_out_outage_before(ended_us))
    }

    fn note_reads(&self, new: ReadSpan) {
        let mut reads = self.known_reads();
        *reads = Some(reads.map_or(new, |known| known.merged(new)));
    }

    fn known_reads(&self) -> MutexGuard<'_, Option<ReadSpan>> {
        self.known_reads.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn outage_end_us(&self) -> MutexGuard<'_, Option<i64>> {
        self.outage_end_us.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
