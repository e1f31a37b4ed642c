//! Detects whether the target crashed while requests were running there.
//!
//! Only the guard can check the target itself: for an entry that loses an answer, a crashed target looks like a lost
//! connection, link or node.

use super::Inner;
use crate::{counters::count, target_http::TargetError, wall_clock::unix_ms};
use laurelstall_crash::{
    crash_record::{CrashReport, crash_id},
    crash_table::RequestStatus,
    request_digest::RequestDigest,
    run_tracker::{CrashedRuns, RunId, RunTracker},
};
use laurelstall_guard::refusal::{Refusal, RefusalReason};
use std::{
    io::ErrorKind,
    sync::{Arc, MutexGuard, PoisonError},
};
use tokio::{
    net::TcpStream,
    time::{Duration, sleep, timeout},
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Maximum number of checks after a broken connection; a check over a pooled connection that also breaks is
/// inconclusive.
const CHECKS_MAX: usize = 3;
/// Connect timeout of the check for targets that cannot be queried; they run on the same machine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(20);
/// Pause between two checks.
const CHECK_PAUSE: Duration = Duration::from_millis(5);

/// The last check for a crash of the target.
#[derive(Debug)]
pub(super) struct CrashCheck {
    /// Start of the check, in µs of the node's clock.
    started_us: u64,
    status: TargetStatus,
}

impl Default for CrashCheck {
    fn default() -> Self {
        Self { started_us: 0, status: TargetStatus::Unclear }
    }
}

/// Result of checking a target whose connection broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TargetStatus {
    /// It accepts no connections, or another instance runs in its place.
    Ended,
    /// It answers under the expected name.
    Alive,
    /// The check was inconclusive.
    Unclear,
}

/// A request that is running at the target; dropping it records that the request was abandoned.
#[derive(Debug)]
pub(super) struct WatchedRun {
    inner: Arc<Inner>,
    id: Option<RunId>,
    digest: RequestDigest,
}

impl WatchedRun {
    /// Records that the target's answer was read completely.
    pub(super) fn note_answered(mut self) {
        if let Some(id) = self.id.take() {
            self.inner.run_tracker().note_answered(id);
            self.inner.crashes.note_success(self.digest);
        }
    }

    /// Stops tracking a request that was not sent, or whose end says nothing about the target.
    pub(super) fn forget(mut self) {
        if let Some(id) = self.id.take() {
            self.inner.run_tracker().forget(id);
        }
    }

    /// Records that the connection broke before the answer was complete. Returns the crash report on the request if the
    /// target has crashed.
    pub(super) async fn note_broken(mut self, target: &str) -> Option<CrashReport> {
        let id = self.id.take()?;
        let inner = &self.inner;
        let broken_us = inner.clock.now_us();
        // Read before the check, after which the fleet document may already list the next instance.
        let was_stop_planned = inner.is_stop_planned(target);
        inner.run_tracker().note_broken(id, broken_us);
        let has_ended = inner.has_ended(target, broken_us, was_stop_planned).await;
        // A planned stop leaves no crash report.
        has_ended.then(|| inner.crashes.report_on(self.digest)).flatten()
    }
}

impl Drop for WatchedRun {
    fn drop(&mut self) {
        if let Some(id) = self.id.take() {
            let now_us = self.inner.clock.now_us();
            self.inner.run_tracker().note_abandoned(id, now_us);
        }
    }
}

impl Inner {
    pub(super) fn run_tracker(&self) -> MutexGuard<'_, RunTracker> {
        self.run_tracker.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts tracking a request that is about to be sent to the target.
    pub(super) fn watch_run(self: &Arc<Self>, digest: RequestDigest) -> WatchedRun {
        let id = self.run_tracker().start(digest, self.clock.now_us());
        WatchedRun { inner: self.clone(), id: Some(id), digest }
    }

    /// Whether the target named `target`, one of whose connections broke at `broken_us`, has ended, by a crash or a
    /// planned stop.
    ///
    /// The end of a target breaks all connections at once, so one check serves all that broke before it started.
    async fn has_ended(&self, target: &str, broken_us: u64, was_stop_planned: bool) -> bool {
        let mut last = self.crash_check.lock().await;
        if last.started_us < broken_us {
            last.started_us = self.clock.now_us();
            last.status = self.check_target(target).await;
        }
        let status = last.status;
        drop(last);
        match status {
            TargetStatus::Ended => {
                let crash = self.run_tracker().note_crash(broken_us);
                self.report_crash(target, &crash, was_stop_planned);
            }
            TargetStatus::Alive => self.run_tracker().note_alive_after_break(),
            TargetStatus::Unclear => self.run_tracker().note_check_inconclusive(broken_us),
        }
        status == TargetStatus::Ended
    }

    /// Records that the target accepted no connection. Requests whose connections broke shortly before may have crashed
    /// it.
    pub(super) async fn note_no_connection(&self, target: &str) {
        let now_us = self.clock.now_us();
        if self.run_tracker().has_lost_runs(now_us) {
            let was_stop_planned = self.is_stop_planned(target);
            self.has_ended(target, now_us, was_stop_planned).await;
        }
    }

    /// Checks the target until the result is conclusive, at most [`CHECKS_MAX`] times.
    async fn check_target(&self, target: &str) -> TargetStatus {
        for _ in 0..CHECKS_MAX {
            count(&self.counters.end_looks);
            match self.target_status(target).await {
                TargetStatus::Unclear => sleep(CHECK_PAUSE).await,
                conclusive => return conclusive,
            }
        }
        TargetStatus::Unclear
    }

    async fn target_status(&self, target: &str) -> TargetStatus {
        if !self.guard.can_query() {
            return self.connect_status().await;
        }
        match self.report().await {
            Err(TargetError::NoConnection) => TargetStatus::Ended,
            Err(TargetError::Broken | TargetError::Malformed(_)) => TargetStatus::Unclear,
            Ok(report) => match report.instance {
                Some(instance) if instance == target => TargetStatus::Alive,
                Some(_) => TargetStatus::Ended,
                None if report.load.is_some() => TargetStatus::Alive,
                None => TargetStatus::Unclear,
            },
        }
    }

    /// Checks a target that cannot be queried by opening a connection.
    async fn connect_status(&self) -> TargetStatus {
        let Some(settings) = &self.settings else { return TargetStatus::Unclear };
        match timeout(CONNECT_TIMEOUT, TcpStream::connect(settings.address)).await {
            Ok(Ok(_)) => TargetStatus::Alive,
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => TargetStatus::Ended,
            _ => TargetStatus::Unclear,
        }
    }

    /// Logs and counts the end of a target and records it as a crash, unless the stop was planned: a planned stop is
    /// not attributed to the requests that it interrupted.
    fn report_crash(&self, target: &str, crash: &CrashedRuns, was_stop_planned: bool) {
        if crash.is_first {
            count(&self.counters.target_ends);
        }
        if crash.digests.is_empty() {
            return;
        }
        let digests = crash.digests.iter().map(RequestDigest::to_string).collect::<Vec<_>>().join(" ");
        if was_stop_planned {
            log::info!(
                "local target '{target}': stopped as planned while these requests were running: {digests}"
            );
            return;
        }
        log::warn!("local target '{target}': crashed while these requests were running: {digests}");
        let service = self.settings.as_ref().map_or("", |settings| &settings.service);
        self.crashes.note_crash(self.crash_id(target, crash.number), service, &crash.digests);
    }

    /// Returns the number that identifies the crash on all nodes and orders it by time.
    fn crash_id(&self, target: &str, crash_number: u64) -> u64 {
        let hash = xxh3_64_with_seed(format!("{target} {crash_number}").as_bytes(), self.incarnation);
        crash_id(unix_ms() / 1_000, hash)
    }

    /// Returns the refusal of a quarantined request; `None` if the request may run.
    pub(super) fn quarantine_refusal(&self, digest: RequestDigest) -> Option<Refusal> {
        let RequestStatus::Quarantined { retry_after_ms } = self.crashes.request_status(digest) else {
            return None;
        };
        Some(
            Refusal::new(RefusalReason::Quarantined)
                .with_retry_after_ms(retry_after_ms.try_into().unwrap_or(u32::MAX)),
        )
    }

    /// Whether a stop of the target named `target` is planned: it is draining or no longer listed.
    fn is_stop_planned(&self, target: &str) -> bool {
        let snapshot = self.active.load();
        let is_listed = self.local_target(&snapshot).is_some_and(|(_, local)| local.name == target);
        self.guard.is_draining() || !is_listed
    }
}
