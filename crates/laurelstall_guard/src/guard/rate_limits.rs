//! Limits on the target's calls per second: its cold start and the rate that it states.

use super::Guard;

impl Guard {
    /// Records the target's own report, requested at `queried_us`, that it stays cold for `cold_left_ms` ms; 0
    /// when it is warm.
    pub fn note_cold(&self, cold_left_ms: u64, queried_us: u64) {
        let now_us = self.clock.now_us();
        let mut state = self.lock();
        let was_cold = state.cold.is_cold(now_us);
        state.cold.note_report(cold_left_ms * 1_000, queried_us, now_us);
        state.admit_waiting(now_us);
        drop(state);
        if !was_cold && cold_left_ms > 0 {
            let age_ms = self.clock.elapsed_ms();
            log::info!(
                "own target reports a cold start: {cold_left_ms} ms left, guard started {age_ms} ms ago"
            );
        }
    }

    /// Records from the published target list, which may be seconds old, how much longer the target is cold,
    /// in ms.
    pub fn note_listed_cold(&self, cold_left_ms: u64) {
        let now_us = self.clock.now_us();
        self.lock().cold.note_listed(cold_left_ms * 1_000, now_us);
    }

    /// Discards the target's report on its cold start, because the instance may have changed or been idle for
    /// long.
    pub fn discard_cold_report(&self) {
        self.lock().cold.forget_report();
        self.report_needed.notify_one();
    }

    /// Returns whether the target is known to be cold.
    pub fn is_cold(&self) -> bool {
        self.lock().cold.is_cold(self.clock.now_us())
    }

    /// Records that the target stated in an answer how many calls per second it takes.
    pub fn note_stated_rate(&self, per_s: f64) {
        let now_us = self.clock.now_us();
        let mut state = self.lock();
        state.stated.note_stated(per_s, now_us);
        state.admit_waiting(now_us);
        state.refuse_late(now_us);
    }

    /// Records that an answer to a call sent at `sent_us` stated no such rate.
    pub fn note_unstated_rate(&self, sent_us: u64) {
        let mut state = self.lock();
        let had_limit = state.stated.stated_per_s().is_some();
        state.stated.note_unstated(sent_us);
        if had_limit {
            state.admit_waiting(self.clock.now_us());
        }
    }

    /// Records the rate limit of the target that an entry knows of.
    pub fn note_rate_known_to_entry(&self, per_s: f64) {
        self.lock().stated.note_known_to_entry(per_s, self.clock.now_us());
    }

    /// Discards the stated rate because another instance has taken the target's place.
    pub fn forget_stated_rate(&self) {
        self.lock().stated.forget();
    }

    /// Returns the calls per second that the target states it takes; `None` if it states no limit.
    pub fn stated_rate(&self) -> Option<f64> {
        self.lock().stated.stated_per_s()
    }
}
