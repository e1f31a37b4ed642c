//! What the running instance of the target states about itself in its answers.

use super::Inner;
use crate::{
    counters::count,
    target_notice::{RateLimitNotice, TargetNotice},
};
use std::sync::{MutexGuard, PoisonError, atomic::Ordering};

/// What one instance of the target has stated.
#[derive(Debug, Default)]
pub(super) struct InstanceNotices {
    /// Name of the instance; empty before the first call.
    instance: String,
    /// Whether it has stated a rate limit that is not a number.
    has_invalid_limit: bool,
    /// Whether it has stated that it is leaving.
    is_leaving: bool,
}

/// What it means that an answer states no rate limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Silence {
    /// Nothing: health answers, refusals and errors may leave the limit out.
    Meaningless,
    /// The target had no limit after this time, in µs of the node's clock, when the call was sent.
    NoLimitSince(u64),
}

impl Inner {
    fn notices(&self) -> MutexGuard<'_, InstanceNotices> {
        self.notices.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records which instance calls are sent to now; what an earlier one stated does not apply to it.
    pub(super) fn note_instance(&self, instance: &str) {
        let mut notices = self.notices();
        if notices.instance == instance {
            return;
        }
        let is_first = notices.instance.is_empty();
        instance.clone_into(&mut notices.instance);
        drop(notices);
        // A limit that entries told before the first call is that of this instance.
        if !is_first {
            self.forget_notices();
        }
    }

    /// Discards what the instance stated, because another one has taken its place.
    pub(super) fn forget_notices(&self) {
        {
            let mut notices = self.notices();
            notices.has_invalid_limit = false;
            notices.is_leaving = false;
            self.drains.target_leaving.store(false, Ordering::Relaxed);
        }
        self.guard.forget_stated_rate();
        self.apply_drains();
    }

    /// Records what `instance` stated in an answer, if it is the one that calls are sent to.
    pub(super) fn note_notice(&self, instance: &str, notice: TargetNotice, silence: Silence) {
        let mut notices = self.notices();
        if notices.instance != instance {
            return;
        }
        let is_new_leaving = notice.is_leaving && !notices.is_leaving;
        notices.is_leaving |= notice.is_leaving;
        // Under the lock, so that it does not outlast the instance.
        self.drains.target_leaving.store(notices.is_leaving, Ordering::Relaxed);
        let is_invalid = notice.rate_limit == RateLimitNotice::Invalid;
        let is_new_invalid = is_invalid && !notices.has_invalid_limit;
        notices.has_invalid_limit |= is_invalid;
        drop(notices);
        if is_new_leaving {
            count(&self.counters.target_leavings);
            log::info!("local target '{instance}': states that it is leaving");
            self.apply_drains();
        }
        if is_new_invalid {
            log::warn!("local target '{instance}': states a rate limit that is not a single number; ignored");
        }
        self.apply_rate_limit(instance, notice.rate_limit, silence);
    }

    fn apply_rate_limit(&self, instance: &str, rate_limit: RateLimitNotice, silence: Silence) {
        let before = self.guard.stated_rate();
        match (rate_limit, silence) {
            (RateLimitNotice::PerSecond(per_s), _) => self.guard.note_stated_rate(per_s),
            (RateLimitNotice::Absent, Silence::NoLimitSince(sent_us)) => {
                self.guard.note_unstated_rate(sent_us)
            }
            (RateLimitNotice::Absent | RateLimitNotice::Invalid, _) => {}
        }
        let after = self.guard.stated_rate();
        if before == after {
            return;
        }
        count(&self.counters.rate_limit_changes);
        match after {
            Some(per_s) => {
                log::info!("local target '{instance}': states a limit of {per_s} calls per second")
            }
            None => log::info!("local target '{instance}': states no rate limit any more"),
        }
    }
}
