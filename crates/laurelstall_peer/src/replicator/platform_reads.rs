//! Reads the platform: continuously as a reader, rarely as a fallback when no reader seems to work.

use super::{Origin, Replicator, standby_readers::ReaderRole};
use crate::{
    platform::{Listing, PlatformError},
    store::ApplyOutcome,
};
use laurelstall_config::document::{Document, DocumentName, Version};
use rand::RngExt;
use std::sync::atomic::Ordering;
use tokio::time::sleep;

/// First pause after a second failed platform read in a row, in ms; doubles up to the configured limit.
const READ_PAUSE_FIRST_MS: u64 = 200;
/// Factor on the maximum pause of a substitute reader, which keeps the load of all retries on the platform
/// low. The regular readers notice when the platform is back.
const SUBSTITUTE_PAUSE_FACTOR: u64 = 4;
/// Minimum duration of a watch that waited for a change, in µs; a shorter one returned at once.
const WATCH_WAIT_MIN_US: u64 = 500_000;
/// Pause between two checks of this node's reader role, in ms.
const ROLE_CHECK_MS: u64 = 1_000;
/// Pause of any reader but the first of its data centre after a watch that returned a change at once, in
/// ms.
///
/// In a large fleet most watches return at once. The first reader distributes what it reads within some ms;
/// the others only need to replace it when it is lost.
const LATER_READER_PAUSE_MS: u64 = 750;
/// Mean number of fallback reads of the whole fleet per `fallback_read_after_ms`.
const FALLBACK_READS: f64 = 16.0;

impl Replicator {
    /// Watches the platform while this node is a reader; otherwise makes fallback reads.
    pub(super) async fn read_loop(&self) {
        let mut after = None;
        let mut failures = 0;
        loop {
            if !self.is_reader() {
                after = None;
                self.read_as_fallback().await;
                continue;
            }
            let started_us = self.clock.now_us();
            let activated = self.counts.activated.load(Ordering::Relaxed);
            match self.read_platform(after).await {
                Ok(sequence) => {
                    after = Some(sequence);
                    if failures > 1 {
                        log::info!("platform: reachable again after {failures} failed reads");
                    }
                    failures = 0;
                    let has_change = self.counts.activated.load(Ordering::Relaxed) > activated;
                    let is_short = self.clock.now_us() - started_us < WATCH_WAIT_MIN_US;
                    if is_short && !has_change {
                        // A platform with stale data may answer each watch at once with known versions.
                        sleep(self.jittered(ROLE_CHECK_MS)).await;
                    } else if is_short && self.has_working_predecessor() {
                        sleep(self.jittered(LATER_READER_PAUSE_MS)).await;
                    }
                }
                Err(error) => {
                    self.is_read_failing.store(true, Ordering::Relaxed);
                    after = None;
                    failures += 1;
                    if failures == 1 {
                        // Perhaps only the connection failed. The next read opens a new one.
                        log::info!("platform: a read failed, reading again: {error}");
                        continue;
                    }
                    self.is_platform_failing.store(true, Ordering::Relaxed);
                    if failures == 2 {
                        log::warn!("platform: unreachable, documents stay as they are: {error}");
                    }
                    let is_substitute = self.reader_role() == ReaderRole::Substitute;
                    let factor = if is_substitute { SUBSTITUTE_PAUSE_FACTOR } else { 1 };
                    let longest_ms = self.view.replication_settings().read_pause_max_ms * factor;
                    sleep(self.jittered(read_pause_ms(failures - 1, longest_ms))).await;
                }
            }
        }
    }

    /// Reads once, if no read is known for long, with a probability that keeps the rate of the whole fleet
    /// constant.
    async fn read_as_fallback(&self) {
        let pause = sleep(self.jittered(ROLE_CHECK_MS));
        tokio::select! {
            () = pause => {}
            () = self.role_changed.notified() => return,
        }
        let after_ms = self.view.replication_settings().fallback_read_after_ms;
        if self.platform_read_age_ms() < after_ms {
            return;
        }
        let hosts = self.view.fleet().hosts.len().max(1) as f64;
        let rounds = after_ms as f64 / ROLE_CHECK_MS as f64;
        let chance = (FALLBACK_READS / hosts / rounds.max(1.0)).min(1.0);
        if self.rng().random_bool(chance) {
            // The next round retries a failed read.
            let _ = self.read_platform(None).await;
        }
    }

    /// Applies the documents of a stale read of the platform until newer ones arrive. Returns `false` if
    /// the platform does not support stale reads.
    pub(super) async fn read_platform_stale(&self) -> Result<bool, PlatformError> {
        let Some(listing) = self.platform.read_stale().await? else { return Ok(false) };
        self.counts.platform_calls.fetch_add(1, Ordering::Relaxed);
        self.has_read_stale.store(true, Ordering::Relaxed);
        self.note_platform_era(listing.era);
        for (name, _) in listing.versions {
            let document = self.platform.read(name.clone()).await?;
            if listing.inconsistent.contains(&name) {
                self.apply_inconsistent(&document);
            } else {
                let read_us = self.clock.now_us();
                self.apply_from(document, Origin { peer: None, is_stale: true, read_us });
            }
        }
        Ok(true)
    }

    fn apply_inconsistent(&self, document: &Document) {
        let (name, version) = (&document.name, document.version);
        let outcome = self.store().apply_inconsistent(document, &*self.acceptor);
        match outcome {
            ApplyOutcome::Accepted => {
                log::info!("{name}: active from a stale read, with parts up to version {version}")
            }
            ApplyOutcome::Rejected(error) => {
                log::error!("{name}: document of a stale read is rejected: {error}")
            }
            _ => {}
        }
    }

    pub(super) async fn read_platform(&self, after: Option<u64>) -> Result<u64, PlatformError> {
        self.counts.platform_calls.fetch_add(1, Ordering::Relaxed);
        let requested_us = self.clock.now_us();
        self.platform.note_era(self.platform_era());
        let listing: Listing = self.platform.watch(after).await?;
        self.note_platform_era(listing.era);
        self.note_platform_read(requested_us);
        let wanted = {
            let store = self.store();
            let wants = |(name, version): &&(DocumentName, Version)| store.wants(name, *version);
            listing.versions.iter().filter(wants).map(|(name, _)| name.clone()).collect::<Vec<_>>()
        };
        for name in wanted {
            self.counts.platform_calls.fetch_add(1, Ordering::Relaxed);
            let document = self.platform.read(name).await?;
            self.apply(document);
        }
        self.note_up_to_date(requested_us);
        Ok(listing.sequence)
    }
}

fn read_pause_ms(failures: u32, longest_ms: u64) -> u64 {
    (READ_PAUSE_FIRST_MS << failures.min(10)).min(longest_ms)
}
