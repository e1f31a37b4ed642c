//! Targets with limits on their calls per second: the one of a cold start, and the one that a target states itself.

use super::{RETRY_AFTER_MAX_MS, ServiceBalancer};
use crate::target_view::TargetView;

/// Longest time in µs for which a cold target is left out after its guard refused a call for its cold-start rate
/// limit. Such a target admits a call about every 40 ms, and other entry nodes use that rate too.
const COLD_PAUSE_MAX_US: u64 = 60_000;
/// The same in µs for a target that states a rate limit. Its guard tells each entry node another time, and asking
/// earlier costs the call a hop for nothing.
const LIMITED_PAUSE_MAX_US: u64 = 3_000_000;

impl ServiceBalancer {
    /// Records that a target stated a rate limit, in calls per second of all entry nodes together.
    pub fn note_rate_limit(&mut self, index: usize, name: &str, per_s: f64, now_us: u64) {
        let Some(index) = self.index_of(index, name) else { return };
        self.targets[index].note_rate_limit(per_s, now_us);
    }

    /// Records that a target's answer to a call sent at `sent_us` stated no rate limit.
    pub fn note_no_rate_limit(&mut self, index: usize, name: &str, sent_us: u64) {
        let Some(index) = self.index_of(index, name) else { return };
        self.targets[index].note_no_rate_limit(sent_us);
    }

    /// Records that a guard refused a call because a limit on the calls per second of its target admits no further one
    /// for `wait_ms`.
    pub fn note_no_capacity(&mut self, index: usize, name: &str, wait_ms: u32, now_us: u64) {
        let Some(index) = self.index_of(index, name) else { return };
        let view = &mut self.targets[index];
        let is_limited = view.rate_limit_per_s().is_some();
        let pause_max_us = if is_limited { LIMITED_PAUSE_MAX_US } else { COLD_PAUSE_MAX_US };
        view.skip_for((u64::from(wait_ms) * 1_000).clamp(1, pause_max_us), now_us);
    }

    /// Whether the target at `index`, whose guard refused a call, states a rate limit, and a target that states none and
    /// is not `excluded` may take the call.
    ///
    /// The refusal then says nothing of the load of the service, unlike one of a cold target: after a start of the whole
    /// fleet all targets are cold.
    pub fn has_unlimited_alternative(&self, index: usize, excluded: &[usize], now_us: u64) -> bool {
        if self.targets.get(index).is_none_or(|view| view.rate_limit_per_s().is_none()) {
            return false;
        }
        let may_take = |(index, view): (usize, &TargetView)| {
            !excluded.contains(&index) && view.is_eligible(now_us) && view.rate_limit_per_s().is_none()
        };
        self.targets.iter().enumerate().any(may_take)
    }

    /// Time in µs after which the next refused caller should retry while all live targets state rate limits; `None`
    /// when one of them states none.
    ///
    /// Callers come back no faster than this entry node's part of the limits, and not before `wait_us`.
    pub(super) fn limited_retry_us(&mut self, wait_us: u64, now_us: u64) -> Option<u64> {
        let live = self.targets.iter().filter(|view| view.is_in_service());
        let limits = live.map(TargetView::rate_limit_per_s).collect::<Option<Vec<_>>>()?;
        if limits.is_empty() {
            return None;
        }
        let per_s = limits.iter().sum::<f64>();
        let own_per_s = per_s / self.entries.max(1) as f64;
        let step_us = if own_per_s > 0.0 { (1e6 / own_per_s) as u64 } else { RETRY_AFTER_MAX_MS * 1_000 };
        let next_us = self.last_limited_retry_us.saturating_add(step_us);
        let latest_us = now_us + (RETRY_AFTER_MAX_MS * 1_000).max(wait_us);
        self.last_limited_retry_us = next_us.clamp(now_us + wait_us, latest_us);
        Some(self.last_limited_retry_us - now_us)
    }
}
