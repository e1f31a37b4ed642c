//! Load of the targets: what their guards report, and the comparison of the local data centre with remote ones.

use super::ServiceBalancer;
use crate::{hint::Hint, target_view::TargetView};

/// Slots per queued call that are assumed at a target whose guard handed a call back.
const SLOTS_PER_QUEUED_CALL: u32 = 2;
/// Cap on the load of a target in the comparison of data centres: all slots are in use and as many calls wait.
const LOAD_MAX: f64 = 2.0;
/// Age in µs up to which a hint tells whether its target has a queue.
const QUEUEING_HINT_AGE_US: u64 = 1_000_000;

impl ServiceBalancer {
    /// Stores a guard's hint on the load of its target.
    pub fn update_hint(&mut self, index: usize, name: &str, hint: Hint, now_us: u64) {
        let Some(index) = self.index_of(index, name) else { return };
        let slots = f64::from(self.targets[index].slots.max(1));
        let load = f64::from(hint.in_flight + hint.queued) / slots;
        self.mean_load += self.mean_weight(self.mean_load_at_us, now_us) * (load - self.mean_load);
        self.mean_load_at_us = now_us;
        self.compare_loads(index, hint.in_flight + hint.queued, hint.limit, now_us);
        self.targets[index].update_hint(hint, now_us);
    }

    /// Records that a guard refused a call because calls wait at its target, or because its queue `is_full`.
    pub fn note_queueing(&mut self, index: usize, name: &str, is_full: bool, now_us: u64) {
        let Some(index) = self.index_of(index, name) else { return };
        let slots = self.targets[index].slots;
        let queued = if is_full { slots * self.limits.queue_per_slot } else { slots / SLOTS_PER_QUEUED_CALL };
        self.compare_loads(index, slots + queued.max(1), slots, now_us);
        self.targets[index].note_queueing(queued.max(1), self.mean_latency_us, now_us);
    }

    /// Whether more than two thirds of the live targets recently reported a queue of at least half their concurrency
    /// limit.
    pub fn is_queueing(&self, now_us: u64) -> bool {
        let live = self.targets.iter().filter(|view| view.is_in_service());
        let is_queueing = |view: &&TargetView| {
            let hint = view.hint(now_us).filter(|(_, age_us)| *age_us < QUEUEING_HINT_AGE_US);
            hint.is_some_and(|(hint, _)| hint.queued * 2 >= hint.limit)
        };
        let queueing = live.clone().filter(is_queueing).count();
        queueing * 3 > live.count() * 2
    }

    /// Passes the load of a target to the comparison of the local data centre with the remote ones.
    fn compare_loads(&mut self, index: usize, calls: u32, limit: u32, now_us: u64) {
        let is_local = |view: &&TargetView| view.remote_cost_percent == 0 && view.is_in_service();
        let local_targets = self.targets.iter().filter(is_local).count();
        let is_remote = self.targets[index].remote_cost_percent > 0;
        let load = f64::from(calls) / f64::from(limit.max(1));
        self.spillover.note(is_remote, load.min(LOAD_MAX), local_targets, now_us);
    }
}
