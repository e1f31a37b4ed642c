//! Decides when the target is queried about its load and its cold start.

use super::State;
use crate::{admission_request::AdmissionRequest, start_decision::StartForecast};

/// Pause after a query that brought no report, in µs, so that a target that does not reply is not queried
/// often.
const QUERY_FAILURE_PAUSE_US: u64 = 1_000_000;
/// Shortest time between two queries, in µs; limits them to 50 per second. This bounds the load that queries
/// cause at a target, whatever happens.
const QUERY_GAP_MIN_US: u64 = 20_000;
/// Cost of a query in answers: it takes the target and its guard about a hundredth of the time of a short
/// run, and calls wait for it.
const QUERY_COST: f64 = 0.06;
/// Reports younger than this are not refreshed, in µs.
const REPORT_FRESH_US: u64 = 5_000;

/// Whether the target can be queried for a load report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::guard) enum QueryState {
    /// The target reports its load only with its answers.
    Unsupported,
    /// It may be queried from this time on, in µs of the guard's clock.
    NotBefore(u64),
    /// A query is in flight.
    InFlight,
}

impl State {
    /// Returns whether the target has to be queried about its cold start now.
    pub(in crate::guard) fn is_cold_report_due(&self, now_us: u64) -> bool {
        self.query_state != QueryState::InFlight && self.can_query(now_us) && self.cold.needs_report(now_us)
    }

    /// Returns whether the target has to be queried about its load now, before the first queued call gets a
    /// slot.
    pub(in crate::guard) fn is_load_report_due(&self, now_us: u64) -> bool {
        self.has_slot() && self.queue.first().is_some_and(|request| self.is_report_worth_it(request, now_us))
    }

    /// Returns whether a new load report, for which the call has to wait, may improve the decision about it
    /// by more than the query costs.
    pub(in crate::guard) fn is_report_worth_it(&self, request: &AdmissionRequest, now_us: u64) -> bool {
        if !self.can_query(now_us) {
            return false;
        }
        let Some(age_us) = self.speed.age_us(now_us) else { return true };
        if age_us < REPORT_FRESH_US {
            return false;
        }
        let has_choice = request.slow_from_percent.is_some();
        let forecast = self.speed.forecast(now_us);
        let gain = StartForecast::report_gain(
            &self.candidate(request, now_us),
            &forecast,
            &self.demand(),
            has_choice,
        );
        gain * self.startable_calls() as f64 > QUERY_COST
    }

    /// Records that a query was sent to the target.
    pub(in crate::guard) fn note_query_started(&mut self) {
        if self.query_state != QueryState::Unsupported {
            self.query_state = QueryState::InFlight;
        }
    }

    /// Records that a query ended, and whether the target replied.
    pub(in crate::guard) fn note_query_ended(&mut self, has_report: bool, now_us: u64) {
        let pause_us = if has_report { QUERY_GAP_MIN_US } else { QUERY_FAILURE_PAUSE_US };
        if self.query_state != QueryState::Unsupported {
            self.query_state = QueryState::NotBefore(now_us + pause_us);
        }
    }

    fn can_query(&self, now_us: u64) -> bool {
        match self.query_state {
            QueryState::Unsupported => false,
            QueryState::NotBefore(at_us) => now_us >= at_us,
            QueryState::InFlight => true,
        }
    }

    /// Returns how many queued calls, at least one, could get a free slot now.
    fn startable_calls(&self) -> usize {
        let free = (self.limit.limit() as usize).saturating_sub(self.running.len());
        self.queue.len().clamp(1, free.max(1))
    }
}
