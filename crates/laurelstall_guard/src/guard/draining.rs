//! Draining of a guard: it admits no new calls and waits for those that it has.

use super::Guard;
use std::sync::atomic::Ordering;

/// How long after the start of draining a call that was already queued may still start, in µs: a draining
/// target stops soon after, and the call must be able to end before that.
const DRAIN_GRACE_US: u64 = 1_000_000;

impl Guard {
    /// Starts or ends draining. A draining guard admits no new calls.
    pub fn set_draining(&self, is_draining: bool) {
        let since_us = if is_draining { self.clock.now_us() } else { 0 };
        let keep_earlier = |known_us: u64| (known_us == 0 || !is_draining).then_some(since_us);
        // An error means that the guard is draining already; the earlier start time stays.
        let _ = self.draining_since_us.fetch_update(Ordering::SeqCst, Ordering::SeqCst, keep_earlier);
    }

    /// Returns whether the guard is draining.
    pub fn is_draining(&self) -> bool {
        self.draining_for_us().is_some()
    }

    /// Returns for how long the guard has been draining, in µs; `None` while calls are admitted.
    pub fn draining_for_us(&self) -> Option<u64> {
        let since_us = self.draining_since_us.load(Ordering::SeqCst);
        (since_us != 0).then(|| self.clock.now_us().saturating_sub(since_us))
    }

    /// Returns whether the guard has been draining for so long that queued calls may not start any more.
    pub fn is_drain_grace_over(&self) -> bool {
        self.draining_for_us().is_some_and(|draining_us| draining_us > DRAIN_GRACE_US)
    }

    /// Waits until no call runs or waits.
    pub async fn drained(&self) {
        loop {
            let notified = self.idle.notified();
            if self.is_idle() {
                return;
            }
            notified.await;
        }
    }

    /// Returns whether no call runs or waits.
    pub fn is_idle(&self) -> bool {
        let state = self.lock();
        state.running.is_empty() && state.queue.is_empty()
    }
}
