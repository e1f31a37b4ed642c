//! What the running instance of the target states about itself in its answers.

use super::Inner;
use crate::{
    counters::count,
    dialect::{RateLimitNotice, TargetNotice},
};
use std::sync::{MutexGuard, PoisonError};

/// What one instance of the target has stated.
#[derive(Debug, Default)]
pub(super) struct InstanceNotices {
    /// Name of the instance.
    instance: String,
    /// Last rate limit in its answers.
    rate_limit: RateLimitNotice,
    /// Whether it has stated that it is leaving.
    is_leaving: bool,
}

impl Inner {
    fn notices(&self) -> MutexGuard<'_, InstanceNotices> {
        self.notices.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records what `instance` stated in an answer.
    pub(super) fn note_notice(&self, instance: &str, notice: TargetNotice) {
        let mut notices = self.notices();
        if notices.instance != instance {
            *notices = InstanceNotices { instance: instance.to_owned(), ..InstanceNotices::default() };
        }
        let before = std::mem::replace(&mut notices.rate_limit, notice.rate_limit);
        let was_leaving = notices.is_leaving;
        notices.is_leaving |= notice.is_leaving;
        drop(notices);
        if before != notice.rate_limit {
            self.log_rate_limit(instance, notice.rate_limit);
        }
        if notice.is_leaving && !was_leaving {
            count(&self.counters.target_leavings);
            log::info!("local target '{instance}': states that it is leaving");
        }
    }

    fn log_rate_limit(&self, instance: &str, rate_limit: RateLimitNotice) {
        count(&self.counters.rate_limit_changes);
        match rate_limit {
            RateLimitNotice::PerSecond(per_s) => {
                log::info!("local target '{instance}': states a limit of {per_s} requests per second");
            }
            RateLimitNotice::Absent => log::info!("local target '{instance}': states no rate limit any more"),
            RateLimitNotice::Invalid => {
                log::warn!("local target '{instance}': states a rate limit that is not a single number");
            }
        }
    }

    /// Returns the rate limit that the target stated last, in thousandths of a request per second.
    pub(super) fn rate_limit_milli_per_s(&self) -> Option<u64> {
        match self.notices().rate_limit {
            RateLimitNotice::PerSecond(per_s) => Some((per_s * 1_000.0) as u64),
            RateLimitNotice::Absent | RateLimitNotice::Invalid => None,
        }
    }
}
