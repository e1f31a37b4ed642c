//! What a node knows of the platform itself: when it was read last, and when it came back.

use super::Spread;
use crate::message::Exchange;
use std::sync::atomic::Ordering;

/// Time without a read of the platform that a failing reader heard of, from which it was away, in ms.
const OUTAGE_MIN_MS: u64 = 3_500;
/// Two returns of the platform that are noticed within so long are one, in ms.
const SAME_RETURN_MS: u64 = 3_000;

impl Spread {
    /// Since a platform read that this node heard of, in ms.
    pub fn platform_read_age_ms(&self) -> u64 {
        match self.platform_read_us.load(Ordering::Relaxed) {
            0 => u64::from(u32::MAX),
            read_us => self.clock.now_us().saturating_sub(read_us) / 1_000,
        }
    }

    /// The documents held are at least as new as the platform's were so long ago, in ms.
    ///
    /// Unlike the age of a read that this node heard of, it grows until what was read there has come.
    pub fn documents_age_ms(&self) -> u64 {
        match self.in_step_us.load(Ordering::Relaxed) {
            0 => u64::from(u32::MAX),
            in_step_us => self.clock.now_us().saturating_sub(in_step_us) / 1_000,
        }
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

    pub(super) fn note_platform_age(&self, age_ms: u64) {
        let read_us = self.clock.now_us().saturating_sub(age_ms.saturating_mul(1_000));
        self.platform_read_us.fetch_max(read_us, Ordering::Relaxed);
    }

    /// Takes another node's news from the platform.
    pub(super) fn note_news(&self, theirs: &Exchange) {
        if let Some(age_ms) = theirs.platform_return_age_ms {
            self.note_platform_return(self.clock.now_us().saturating_sub(age_ms.saturating_mul(1_000)));
        }
        self.note_platform_age(theirs.platform_read_age_ms);
    }

    /// Notes that this node read the platform; if nobody could for long, that it is back.
    pub(super) fn note_platform_read(&self) {
        let now_us = self.clock.now_us();
        let was_failing = self.is_read_failing.swap(false, Ordering::Relaxed);
        let unread_ms = self.platform_read_age_ms();
        if was_failing && unread_ms > OUTAGE_MIN_MS {
            log::info!("platform: back after {unread_ms} ms without a read that this node heard of");
            self.note_platform_return(now_us);
        }
        self.platform_read_us.store(now_us, Ordering::Relaxed);
    }

    /// Notes that the platform came back at `returned_us`; what others say of the same return adds
    /// nothing.
    fn note_platform_return(&self, returned_us: u64) {
        let before_us = self.platform_return_us.load(Ordering::Relaxed);
        if before_us > 0 && returned_us < before_us + SAME_RETURN_MS * 1_000 {
            return;
        }
        self.platform_return_us.store(returned_us.max(1), Ordering::Relaxed);
        let age_ms = self.clock.now_us().saturating_sub(returned_us) / 1_000;
        let unread_ms = self.platform_read_age_ms();
        log::info!(
            "platform: it came back {age_ms} ms ago; the last read heard of here is {unread_ms} ms old"
        );
        if age_ms < SAME_RETURN_MS {
            self.acceptor.expect_lapsed();
        }
    }

    pub(super) fn platform_return_age_ms(&self) -> Option<u64> {
        let returned_us = self.platform_return_us.load(Ordering::Relaxed);
        (returned_us > 0).then(|| self.clock.now_us().saturating_sub(returned_us) / 1_000)
    }
}
