//! Reading the platform: all the while as a reader, seldom when nobody seems to read.

use super::{Origin, Spread, standby::ReaderRole};
use crate::{
    platform::{Listing, PlatformError},
    store::Offer,
};
use laurelstall_config::document::{Document, DocumentName, Version};
use rand::RngExt;
use std::sync::atomic::Ordering;
use tokio::time::sleep;

/// First pause after a failed platform read in ms; it doubles up to the limit of the configuration.
const READ_PAUSE_FIRST_MS: u64 = 200;
/// How much longer the pauses of a substitute grow after failed reads: while nobody can read, the readers by the
/// list find out that the platform is back, and all together call it hardly more often.
const SUBSTITUTE_PAUSE_FACTOR: u64 = 4;
/// A watch that ends sooner without news did not wait, in µs.
const WATCH_SHORT_US: u64 = 500_000;
/// Pause between two looks at who reads, in ms.
const ROLE_CHECK_MS: u64 = 1_000;
/// Pause of a reader behind another one of its data centre after a watch that brought news at once, in ms.
///
/// In a large fleet something changes all the time, and each watch ends at once. The first reader tells the others within
/// some ms of what it reads; the second is there for when the first is lost, and a second is soon enough for that.
const SECOND_READER_PAUSE_MS: u64 = 750;
/// Reads of the whole fleet together, on average, in each `fallback_read_after_ms`.
const FALLBACK_READS: f64 = 16.0;

impl Spread {
    /// Watches the platform while this node is a reader; reads it seldom while it is none and nobody else seems to.
    pub(super) async fn read_loop(&self) {
        let mut after = None;
        let mut failures = 0;
        loop {
            if !self.is_reader() {
                after = None;
                self.read_if_cut_off().await;
                continue;
            }
            let started_us = self.clock.now_us();
            let taken = self.counts.taken.load(Ordering::Relaxed);
            match self.read_platform(after).await {
                Ok(sequence) => {
                    after = Some(sequence);
                    if failures > 0 {
                        log::info!("platform: regained after {failures} failed reads");
                    }
                    failures = 0;
                    let has_news = self.counts.taken.load(Ordering::Relaxed) > taken;
                    let is_short = self.clock.now_us() - started_us < WATCH_SHORT_US;
                    if is_short && !has_news {
                        // A stale platform may answer each watch at once with what is known.
                        sleep(self.jittered(ROLE_CHECK_MS)).await;
                    } else if is_short && self.is_second_reader() {
                        sleep(self.jittered(SECOND_READER_PAUSE_MS)).await;
                    }
                }
                Err(error) => {
                    self.is_read_failing.store(true, Ordering::Relaxed);
                    if failures == 0 {
                        log::warn!("platform: lost: {error}; documents stay as they are");
                    }
                    failures += 1;
                    after = None;
                    let is_substitute = self.reader_role() == ReaderRole::Substitute;
                    let factor = if is_substitute { SUBSTITUTE_PAUSE_FACTOR } else { 1 };
                    let longest_ms = self.view.spread().read_pause_max_ms * factor;
                    sleep(self.jittered(read_pause_ms(failures, longest_ms))).await;
                }
            }
        }
    }

    /// Reads once, if nobody seems to have read for long, with a chance that keeps the whole
    /// fleet's reads about constant.
    async fn read_if_cut_off(&self) {
        let is_due = sleep(self.jittered(ROLE_CHECK_MS));
        tokio::select! {
            () = is_due => {}
            () = self.role_changed.notified() => return,
        }
        let after_ms = self.view.spread().fallback_read_after_ms;
        if self.platform_read_age_ms() < after_ms {
            return;
        }
        let hosts = self.view.fleet().hosts.len().max(1) as f64;
        let round = after_ms as f64 / ROLE_CHECK_MS as f64;
        let chance = (FALLBACK_READS / hosts / round.max(1.0)).min(1.0);
        if self.rng().random_bool(chance) {
            // A failure is what made this node read; the next round tries again.
            let _ = self.read_platform(None).await;
        }
    }

    /// Takes what a stale read of the platform tells, until other nodes or a plain read bring the newest; false
    /// when the platform knows no such read.
    pub(super) async fn read_platform_stale(&self) -> Result<bool, PlatformError> {
        let Some(listing) = self.platform.read_stale().await? else { return Ok(false) };
        self.counts.platform_calls.fetch_add(1, Ordering::Relaxed);
        self.has_read_stale.store(true, Ordering::Relaxed);
        self.note_platform_era(listing.era);
        for (name, _) in listing.versions {
            let document = self.platform.read(name.clone()).await?;
            if listing.mixed.contains(&name) {
                self.take_mixed(&document);
            } else {
                let read_us = self.clock.now_us();
                self.take_from(document, Origin { peer: None, is_stale: true, read_us });
            }
        }
        Ok(true)
    }

    fn take_mixed(&self, document: &Document) {
        let (name, version) = (&document.name, document.version);
        let offer = self.store().offer_mixed(document, &*self.acceptor);
        match offer {
            Offer::Taken => log::info!("{name}: in force from a stale read, parts up to version {version}"),
            Offer::Refused(error) => log::error!("{name} of a stale read refused: {error}"),
            _ => {}
        }
    }

    pub(super) async fn read_platform(&self, after: Option<u64>) -> Result<u64, PlatformError> {
        self.counts.platform_calls.fetch_add(1, Ordering::Relaxed);
        let asked_us = self.clock.now_us();
        self.platform.note_era(self.platform_era());
        let listing: Listing = self.platform.watch(after).await?;
        self.note_platform_era(listing.era);
        self.note_platform_read();
        let wanted = {
            let store = self.store();
            let wants = |(name, version): &&(DocumentName, Version)| store.wants(name, *version);
            listing.versions.iter().filter(wants).map(|(name, _)| name.clone()).collect::<Vec<_>>()
        };
        for name in wanted {
            self.counts.platform_calls.fetch_add(1, Ordering::Relaxed);
            let document = self.platform.read(name).await?;
            self.take(document);
        }
        self.note_in_step(asked_us);
        Ok(listing.sequence)
    }
}

fn read_pause_ms(failures: u32, longest_ms: u64) -> u64 {
    (READ_PAUSE_FIRST_MS << failures.min(10)).min(longest_ms)
}
