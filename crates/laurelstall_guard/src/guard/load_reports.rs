//! Reports of the target on its load, and queries for them.

use super::{Guard, state::QueryState};
use tokio::time::timeout_at;

/// When queued calls are decided on again.
enum NextDecision {
    /// After a query for a report, which was started.
    Query,
    /// After a call was queued or has ended.
    OnChange,
    /// At this time in µs of the guard's clock, or after such a change.
    At(u64),
}

impl Guard {
    /// Sets whether the target can be queried about its load; see [`Guard::report_needed`].
    pub fn set_can_query(&self, can_query: bool) {
        let mut state = self.lock();
        state.cold.set_can_query(can_query);
        match (can_query, state.query_state) {
            (true, QueryState::Unsupported) => state.query_state = QueryState::NotBefore(0),
            (false, _) => state.query_state = QueryState::Unsupported,
            _ => {}
        }
    }

    /// Returns whether the target can be queried about its load.
    pub fn can_query(&self) -> bool {
        self.lock().query_state != QueryState::Unsupported
    }

    /// Records how long work takes at the target now, in percent of normal.
    pub fn note_slowness(&self, slowness_percent: u32) {
        let now_us = self.clock.now_us();
        let mut state = self.lock();
        state.speed.note(slowness_percent, now_us);
        state.admit_waiting(now_us);
    }

    /// Records the result of a query that [`Guard::report_needed`] asked for: how long work takes at the
    /// target now, in percent of normal, or `None` when the query failed.
    pub fn note_query_result(&self, slowness_percent: Option<u32>) {
        let now_us = self.clock.now_us();
        let mut state = self.lock();
        state.note_query_ended(slowness_percent.is_some(), now_us);
        match slowness_percent {
            Some(slowness_percent) => state.speed.note(slowness_percent, now_us),
            None => state.cold.note_no_reply(),
        }
        state.admit_waiting(now_us);
    }

    /// Waits until a new load report of the target would help to decide about a queued call.
    ///
    /// The task that awaits this then queries the target and passes the result to
    /// [`Guard::note_query_result`]; calls wait for it.
    ///
    /// Meanwhile this method decides again about held calls whose target cannot be queried, as the last
    /// report ages.
    pub async fn report_needed(&self) {
        loop {
            let changed = self.report_needed.notified();
            let now_us = self.clock.now_us();
            match self.decide_queued(now_us) {
                NextDecision::Query => return,
                NextDecision::OnChange => changed.await,
                NextDecision::At(due_us) => {
                    let due = self.clock.instant_of(due_us);
                    // After a notification and after a timeout alike, the loop decides again about queued
                    // calls.
                    let _ = timeout_at(due, changed).await;
                }
            }
        }
    }

    /// Decides on queued calls, and returns when they have to be decided on again.
    fn decide_queued(&self, now_us: u64) -> NextDecision {
        let mut state = self.lock();
        state.admit_waiting(now_us);
        if state.has_prompt_refusal {
            state.refuse_late(now_us);
        }
        if state.is_load_report_due(now_us) || state.is_cold_report_due(now_us) {
            state.note_query_started();
            return NextDecision::Query;
        }
        state.recheck_us(now_us).map_or(NextDecision::OnChange, NextDecision::At)
    }
}
