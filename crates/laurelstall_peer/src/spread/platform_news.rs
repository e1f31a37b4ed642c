//! What a node knows of the platform itself: when it was read last, and when it came back.

use super::Spread;
use crate::{
    message::Exchange,
    read_span::{OUTAGE_MIN_US, ReadSpan},
};
use laurelstall_config::document::DocumentName;
use std::sync::{MutexGuard, PoisonError, atomic::Ordering};

/// Two returns of the platform that are noticed within so long are one, in µs.
const SAME_RETURN_US: i64 = 3_000_000;

/// Age of what never was, in ms.
const NEVER_MS: u64 = u32::MAX as u64;

impl Spread {
    /// Since a platform read that this node heard of, in ms.
    ///
    /// Reads from before its start do not count: it holds nothing from then.
    pub fn platform_read_age_ms(&self) -> u64 {
        let reads = self.reads().filter(|reads| reads.last_us > 0);
        reads.map_or(NEVER_MS, |reads| self.age_ms(reads.last_us))
    }

    /// Since the first of the platform reads that this node heard of without an outage between them, in ms.
    pub(super) fn platform_reads_from_age_ms(&self) -> u64 {
        self.reads().map_or(NEVER_MS, |reads| self.age_ms(reads.first_us))
    }

    /// The documents held are at least as new as the platform's were so long ago, in ms.
    ///
    /// Unlike the age of a read that this node heard of, it grows until what was read there has come.
    pub fn documents_age_ms(&self) -> u64 {
        match self.in_step_us.load(Ordering::Relaxed) {
            0 => NEVER_MS,
            in_step_us => self.clock.now_us().saturating_sub(in_step_us) / 1_000,
        }
    }

    /// How often the platform had come back from an older copy, as far as this node has read or holds documents.
    pub fn platform_era(&self) -> u64 {
        let held = self.store().version(&DocumentName::Fleet).era;
        held.max(self.platform_era.load(Ordering::Relaxed))
    }

    /// Notes that this node read the platform in this era.
    pub(super) fn note_platform_era(&self, era: u64) {
        self.platform_era.fetch_max(era, Ordering::Relaxed);
    }

    fn now_us(&self) -> i64 {
        self.clock.now_us() as i64
    }

    /// Since a time of this node's clock in µs, in ms.
    fn age_ms(&self, at_us: i64) -> u64 {
        u64::try_from((self.now_us() - at_us) / 1_000).unwrap_or(0)
    }

    /// The time of this node's clock in µs so long ago.
    fn time_us(&self, age_ms: u64) -> i64 {
        self.now_us() - age_ms.min(NEVER_MS) as i64 * 1_000
    }

    /// Notes that the documents held are at least as new as the platform's were at a time of this node's clock.
    pub(super) fn note_in_step(&self, at_us: u64) {
        self.in_step_us.fetch_max(at_us, Ordering::Relaxed);
    }

    /// Notes that the documents held are as new as those of a node that was asked at `asked_us`.
    ///
    /// What it says of their age was true after it was asked, however late its answer came.
    pub(super) fn note_in_step_with(&self, theirs: &Exchange, asked_us: u64) {
        self.note_in_step(asked_us.saturating_sub(theirs.documents_age_ms.saturating_mul(1_000)));
    }

    /// Takes another node's news from the platform.
    pub(super) fn note_news(&self, theirs: &Exchange) {
        if theirs.platform_read_age_ms < NEVER_MS {
            let last_us = self.time_us(theirs.platform_read_age_ms);
            let first_us = self.time_us(theirs.platform_reads_from_age_ms).min(last_us);
            self.note_reads(ReadSpan { first_us, last_us });
        }
        if let Some(age_ms) = theirs.platform_return_age_ms {
            self.note_platform_return(self.time_us(age_ms));
        }
    }

    /// Notes that this node read the platform; if nobody could for long, that it is back.
    pub(super) fn note_platform_read(&self) {
        let now_us = self.now_us();
        let was_failing = self.is_read_failing.swap(false, Ordering::Relaxed);
        let unread_ms = self.platform_read_age_ms();
        self.note_reads(ReadSpan::new(now_us));
        if was_failing && unread_ms > OUTAGE_MIN_US as u64 / 1_000 {
            log::info!("platform: back after {unread_ms} ms without a read that this node heard of");
            self.note_platform_return(now_us);
        }
    }

    /// Notes that the platform came back at `returned_us`; what others say of the same return adds
    /// nothing.
    ///
    /// A node that was cut off alone takes its own outage for the platform's: targets that leave would be kept
    /// everywhere. Whoever heard of reads all the while does not believe it.
    fn note_platform_return(&self, returned_us: i64) {
        let before_us = *self.platform_return_us();
        if before_us.is_some_and(|before_us| returned_us < before_us + SAME_RETURN_US) {
            return;
        }
        if self.denies_outage_before(returned_us) {
            log::debug!("platform: said to have been away, though reads were heard of all the while");
            return;
        }
        *self.platform_return_us() = Some(returned_us);
        let age_ms = self.age_ms(returned_us);
        log::info!("platform: it came back {age_ms} ms ago, as far as this node heard");
        self.acceptor.expect_lapsed(age_ms);
    }

    /// Since the platform came back, in ms; none when it never was away, or when this node has heard since that it was not.
    pub(super) fn platform_return_age_ms(&self) -> Option<u64> {
        let returned_us = *self.platform_return_us();
        returned_us.filter(|us| !self.denies_outage_before(*us)).map(|us| self.age_ms(us))
    }

    fn denies_outage_before(&self, returned_us: i64) -> bool {
        self.reads().is_some_and(|reads| reads.denies_outage_before(returned_us))
    }

    fn note_reads(&self, news: ReadSpan) {
        let mut reads = self.reads();
        *reads = Some(reads.map_or(news, |known| known.joined(news)));
    }

    fn reads(&self) -> MutexGuard<'_, Option<ReadSpan>> {
        self.reads.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn platform_return_us(&self) -> MutexGuard<'_, Option<i64>> {
        self.platform_return_us.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
