//! What a node knows of the platform itself: when it was read last, and when it came back.

use super::Spread;
use crate::{
    message::Exchange,
    read_span::{OUTAGE_MIN_US, ReadSpan},
};
use std::sync::{MutexGuard, PoisonError, atomic::Ordering};

/// Two returns of the platform that are noticed within so long are one, in µs.
const SAME_RETURN_US: u64 = 3_000_000;

impl Spread {
    /// Since a platform read that this node heard of, in ms.
    pub fn platform_read_age_ms(&self) -> u64 {
        self.age_ms(self.reads().last_us)
    }

    /// Since the first of the platform reads that this node heard of without an outage between them, in ms.
    pub(super) fn platform_reads_from_age_ms(&self) -> u64 {
        self.age_ms(self.reads().first_us)
    }

    /// The documents held are at least as new as the platform's were so long ago, in ms.
    ///
    /// Unlike the age of a read that this node heard of, it grows until what was read there has come.
    pub fn documents_age_ms(&self) -> u64 {
        self.age_ms(self.in_step_us.load(Ordering::Relaxed))
    }

    /// Since a time of this node's clock in µs, 0 for never; in ms.
    fn age_ms(&self, at_us: u64) -> u64 {
        match at_us {
            0 => u64::from(u32::MAX),
            at_us => self.clock.now_us().saturating_sub(at_us) / 1_000,
        }
    }

    /// The time of this node's clock in µs so long ago; 0 for never.
    fn time_us(&self, age_ms: u64) -> u64 {
        self.clock.now_us().saturating_sub(age_ms.saturating_mul(1_000))
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
        let last_us = self.time_us(theirs.platform_read_age_ms);
        let first_us = self.time_us(theirs.platform_reads_from_age_ms).min(last_us);
        if last_us > 0 {
            self.reads().join(ReadSpan { first_us, last_us });
        }
        if let Some(age_ms) = theirs.platform_return_age_ms {
            self.note_platform_return(self.time_us(age_ms));
        }
    }

    /// Notes that this node read the platform; if nobody could for long, that it is back.
    pub(super) fn note_platform_read(&self) {
        let now_us = self.clock.now_us();
        let was_failing = self.is_read_failing.swap(false, Ordering::Relaxed);
        let unread_ms = self.platform_read_age_ms();
        self.reads().join(ReadSpan::new(now_us));
        if was_failing && unread_ms > OUTAGE_MIN_US / 1_000 {
            log::info!("platform: back after {unread_ms} ms without a read that this node heard of");
            self.note_platform_return(now_us);
        }
    }

    /// Notes that the platform came back at `returned_us`; what others say of the same return adds
    /// nothing.
    ///
    /// A node that was cut off alone takes its own outage for the platform's: targets that leave would be kept
    /// everywhere. Whoever heard of reads all the while does not believe it.
    fn note_platform_return(&self, returned_us: u64) {
        let before_us = self.platform_return_us.load(Ordering::Relaxed);
        if before_us > 0 && returned_us < before_us + SAME_RETURN_US {
            return;
        }
        if self.reads().denies_outage_before(returned_us) {
            log::debug!("platform: said to have been away, though reads were heard of all the while");
            return;
        }
        self.platform_return_us.store(returned_us.max(1), Ordering::Relaxed);
        let age_ms = self.age_ms(returned_us);
        log::info!("platform: it came back {age_ms} ms ago, as far as this node heard");
        self.acceptor.expect_lapsed(age_ms);
    }

    /// Since the platform came back, in ms; none when it never was away, or when this node has heard since that it was not.
    pub(super) fn platform_return_age_ms(&self) -> Option<u64> {
        let returned_us = self.platform_return_us.load(Ordering::Relaxed);
        let is_told = returned_us > 0 && !self.reads().denies_outage_before(returned_us);
        is_told.then(|| self.age_ms(returned_us))
    }

    fn reads(&self) -> MutexGuard<'_, ReadSpan> {
        self.reads.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
