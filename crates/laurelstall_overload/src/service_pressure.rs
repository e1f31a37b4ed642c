//! Whether the targets of a service would refuse a call, as an entry node has learned from their answers.

use crate::{call_level::CallLevel, retry_schedule::RetrySchedule};
use std::collections::HashMap;

/// Time in µs after which a threshold is forgotten; guards set it every 100 ms.
const THRESHOLD_LIFETIME_US: u64 = 400_000;
/// Share of the known targets that must refuse a level for the entry to refuse it.
const REFUSING_SHARE_MIN: f64 = 0.75;
/// Number of targets that must be known, unless the service has fewer.
const KNOWN_TARGETS_MIN: usize = 2;
/// Time in µs between calls that are sent although their level would be refused. It is shorter than the time after which
/// thresholds are forgotten, so the end of an overload is noticed before that.
const PROBE_INTERVAL_US: u64 = 100_000;
/// Largest number of targets whose thresholds are kept.
const TARGETS_MAX: usize = 256;
/// Time in µs over which the rate of answered calls is averaged.
const RATE_WINDOW_US: f64 = 1_000_000.0;
/// Assumed answered calls per second before any were answered.
const RATE_MIN_PER_S: f64 = 1.0;

#[derive(Debug, Clone, Copy)]
struct KnownThreshold {
    threshold: CallLevel,
    at_us: u64,
}

impl KnownThreshold {
    fn is_fresh(&self, now_us: u64) -> bool {
        now_us.saturating_sub(self.at_us) < THRESHOLD_LIFETIME_US
    }
}

/// Refuses calls at the entry node that the guards would refuse.
///
/// Load pattern: most calls of a service are refused, and sending each of them to a few guards costs the nodes more
/// than the calls that are answered. Calls above the threshold keep the entry informed; a few others are sent to find
/// out whether the threshold still applies. After a restart nothing is known and all calls are sent.
#[derive(Debug, Default)]
pub struct ServicePressure {
    targets: HashMap<String, KnownThreshold>,
    last_probe_us: u64,
    retries: RetrySchedule,
    /// Answered calls per second, and when it was last updated.
    answered_per_s: f64,
    answered_at_us: u64,
}

impl ServicePressure {
    /// Records the threshold that an answer of a target stated; the lowest level if it stated none.
    pub fn note_answer(&mut self, target: &str, threshold: CallLevel, now_us: u64) {
        self.insert(target, threshold, now_us);
        self.answered_per_s = self.rate_per_s(now_us) + 1e6 / RATE_WINDOW_US;
        self.answered_at_us = now_us;
    }

    /// Records that a guard refused a call of this level for its threshold.
    pub fn note_refused(&mut self, target: &str, level: CallLevel, now_us: u64) {
        let threshold = level.next_above();
        let known = self.targets.get(target).filter(|known| known.is_fresh(now_us));
        // The refusal of a lower level does not confirm a higher threshold, which expires as usual.
        if known.is_none_or(|known| known.threshold <= threshold) {
            self.insert(target, threshold, now_us);
        }
    }

    /// Returns whether the entry refuses a call of this level, of a service with `targets` targets. The call is
    /// sent if the result is false.
    pub fn refuses(&mut self, level: CallLevel, targets: usize, now_us: u64) -> bool {
        let fresh = self.targets.values().filter(|known| known.is_fresh(now_us));
        let (known, refusing) = fresh.fold((0, 0), |(known, refusing), target| {
            (known + 1, refusing + usize::from(level < target.threshold))
        });
        let is_known = known >= KNOWN_TARGETS_MIN.min(targets.max(1));
        if !is_known || (refusing as f64) < REFUSING_SHARE_MIN * known as f64 {
            return false;
        }
        let is_probe = now_us.saturating_sub(self.last_probe_us) >= PROBE_INTERVAL_US;
        if is_probe {
            self.last_probe_us = now_us;
        }
        !is_probe
    }

    /// Returns the time in µs after which the caller of a call that the entry refused may return.
    pub fn retry_after_us(&mut self, now_us: u64) -> u64 {
        let rate_per_s = self.rate_per_s(now_us).max(RATE_MIN_PER_S);
        self.retries.next_us(rate_per_s, now_us)
    }

    fn rate_per_s(&self, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.answered_at_us) as f64;
        self.answered_per_s * (-age_us / RATE_WINDOW_US).exp()
    }

    fn insert(&mut self, target: &str, threshold: CallLevel, now_us: u64) {
        if let Some(known) = self.targets.get_mut(target) {
            *known = KnownThreshold { threshold, at_us: now_us };
            return;
        }
        if self.targets.len() >= TARGETS_MAX {
            self.targets.retain(|_, known| known.is_fresh(now_us));
        }
        if self.targets.len() < TARGETS_MAX {
            self.targets.insert(target.to_owned(), KnownThreshold { threshold, at_us: now_us });
        }
    }
}
