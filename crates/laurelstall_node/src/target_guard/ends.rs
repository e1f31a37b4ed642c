//! Finds out whether the target ended under the requests at work there.
//!
//! Only the guard sees the target itself: an entry that loses an answer cannot tell a target that ended from a lost
//! connection, link or node.

use super::Inner;
use crate::{counters::count, target_http::TargetError};
use laurelstall_crash::{
    crash_record::CrashNews,
    crash_table::Verdict,
    request_digest::RequestDigest,
    run_watch::{EndedRuns, RunId, RunWatch},
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

/// Looks at a target whose connection broke until it is clear whether it ended: kept connections that break as well
/// tell nothing.
const LOOKS_MAX: usize = 3;
/// How long a connection is waited for where a target cannot be asked: it is on the same machine.
const CONNECT_PATIENCE: Duration = Duration::from_millis(20);
/// Pause between two looks.
const LOOK_PAUSE: Duration = Duration::from_millis(5);

/// The last look whether the target has ended.
#[derive(Debug)]
pub(super) struct EndLook {
    /// When it began, in µs of the node's clock.
    started_us: u64,
    sign: Sign,
}

impl Default for EndLook {
    fn default() -> Self {
        Self { started_us: 0, sign: Sign::Unclear }
    }
}

/// What a look shows of a target whose connection broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Sign {
    /// It takes no connections, or another instance stands in its place.
    Ended,
    /// It answers, under its name.
    Lives,
    /// Neither.
    Unclear,
}

/// A request that is at work at the target. Dropped without a word, it was given up.
#[derive(Debug)]
pub(super) struct WatchedRun {
    inner: Arc<Inner>,
    id: Option<RunId>,
    digest: RequestDigest,
}

impl WatchedRun {
    /// The target's answer came whole.
    pub(super) fn note_answered(mut self) {
        if let Some(id) = self.id.take() {
            self.inner.watch().note_answered(id);
            self.inner.crashes.note_good(self.digest);
        }
    }

    /// It was not sent, or nothing follows from its end.
    pub(super) fn forget(mut self) {
        if let Some(id) = self.id.take() {
            self.inner.watch().forget(id);
        }
    }

    /// Its connection broke before the answer was whole; what is known of the request when the target has ended.
    pub(super) async fn note_broken(mut self, target: &str) -> Option<CrashNews> {
        let id = self.id.take()?;
        let inner = &self.inner;
        let broken_us = inner.clock.now_us();
        // Asked now: when the look is over, the list may name the next instance.
        let was_leaving = inner.is_leaving(target);
        inner.watch().note_broken(id, broken_us);
        let has_ended = inner.has_ended(target, broken_us, was_leaving).await;
        // What ended as it was to is known of no request.
        has_ended.then(|| inner.crashes.news_of(self.digest)).flatten()
    }
}

impl Drop for WatchedRun {
    fn drop(&mut self) {
        if let Some(id) = self.id.take() {
            let now_us = self.inner.clock.now_us();
            self.inner.watch().note_given_up(id, now_us);
        }
    }
}

impl Inner {
    pub(super) fn watch(&self) -> MutexGuard<'_, RunWatch> {
        self.watch.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that a request is being sent to the target.
    pub(super) fn watch_run(self: &Arc<Self>, digest: RequestDigest) -> WatchedRun {
        let id = self.watch().start(digest, self.clock.now_us());
        WatchedRun { inner: self.clone(), id: Some(id), digest }
    }

    /// Whether the target called `target`, one of whose connections broke at `broken_us`, has ended.
    ///
    /// All its connections break together: one look serves all that broke before it began.
    async fn has_ended(&self, target: &str, broken_us: u64, was_leaving: bool) -> bool {
        let mut last = self.end_look.lock().await;
        if last.started_us < broken_us {
            last.started_us = self.clock.now_us();
            last.sign = self.look_for_end(target).await;
        }
        let sign = last.sign;
        drop(last);
        match sign {
            Sign::Ended => {
                let ended = self.watch().note_ended(broken_us);
                self.report_end(target, &ended, was_leaving);
            }
            Sign::Lives => self.watch().note_survived(),
            Sign::Unclear => self.watch().note_unclear(broken_us),
        }
        sign == Sign::Ended
    }

    /// Notes that the target took no connection: runs that were lost just before may have ended it.
    pub(super) async fn note_no_connection(&self, target: &str) {
        let now_us = self.clock.now_us();
        if self.watch().has_lost_runs(now_us) {
            let was_leaving = self.is_leaving(target);
            self.has_ended(target, now_us, was_leaving).await;
        }
    }

    async fn look_for_end(&self, target: &str) -> Sign {
        for _ in 0..LOOKS_MAX {
            count(&self.counters.end_looks);
            match self.sign(target).await {
                Sign::Unclear => sleep(LOOK_PAUSE).await,
                clear => return clear,
            }
        }
        Sign::Unclear
    }

    async fn sign(&self, target: &str) -> Sign {
        if !self.guard.can_look() {
            return self.connection_sign().await;
        }
        match self.report().await {
            Err(TargetError::NoConnection) => Sign::Ended,
            Err(TargetError::Broken) => Sign::Unclear,
            Ok(report) => match report.instance {
                Some(instance) if instance == target => Sign::Lives,
                Some(_) => Sign::Ended,
                None if report.load.is_some() => Sign::Lives,
                None => Sign::Unclear,
            },
        }
    }

    /// What a new connection shows of a target that cannot be asked how it is.
    async fn connection_sign(&self) -> Sign {
        let Some(settings) = &self.settings else { return Sign::Unclear };
        match timeout(CONNECT_PATIENCE, TcpStream::connect(settings.address)).await {
            Ok(Ok(_)) => Sign::Lives,
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => Sign::Ended,
            _ => Sign::Unclear,
        }
    }

    /// Tells of an end. What ends while it leaves, or is not listed any more, was meant to end: nothing speaks
    /// against the requests that were cut off there.
    fn report_end(&self, target: &str, ended: &EndedRuns, was_leaving: bool) {
        if ended.is_first {
            count(&self.counters.target_ends);
        }
        if ended.digests.is_empty() {
            return;
        }
        let digests = ended.digests.iter().map(RequestDigest::to_string).collect::<Vec<_>>().join(" ");
        if was_leaving {
            log::info!("own target: '{target}' ended, as it was to, with these requests at work: {digests}");
            return;
        }
        log::warn!("own target: '{target}' ended while these requests were at work there: {digests}");
        let service = self.settings.as_ref().map_or("", |settings| &settings.service);
        self.crashes.note_end(self.end_id(target, ended.end), service, &ended.digests);
    }

    /// A number that all nodes know the end by, and no other end has.
    fn end_id(&self, target: &str, end: u64) -> u64 {
        xxh3_64_with_seed(format!("{target} {end}").as_bytes(), self.incarnation)
    }

    /// The refusal of a request that is held back since targets end under it.
    pub(super) fn held_back(&self, digest: RequestDigest) -> Option<Refusal> {
        let Verdict::Held { retry_after_ms } = self.crashes.verdict(digest) else { return None };
        Some(
            Refusal::new(RefusalReason::Held)
                .with_retry_after_ms(retry_after_ms.try_into().unwrap_or(u32::MAX)),
        )
    }

    /// Whether the target called `target` is about to leave, or gone from the list.
    fn is_leaving(&self, target: &str) -> bool {
        let in_force = self.active.load();
        let is_listed = self.own_target(&in_force).is_some_and(|(_, own)| own.name == target);
        self.guard.is_draining() || !is_listed
    }
}
