//! Checks whether a target got no more than its stated rate limit and nothing after it stated that it is leaving.

use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::time::{Duration, Instant};

/// Time from the first statement of a limit until it counts: entries and guard learn of it with the answers.
const LEARNING_TIME: Duration = Duration::from_secs(3);
/// Length of the windows in which arrivals are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Allowed arrivals in a window, relative to the stated limit.
const LIMIT_FACTOR: f64 = 1.5;
/// Allowed arrivals in a window in addition.
const LIMIT_SLACK: f64 = 5.0;
/// Time after the first answer of a leaving target in which calls sent before may still arrive.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// A change of the stated rate limit.
#[derive(Debug, Clone, Copy)]
struct LimitChange {
    at: Instant,
    per_s: Option<f64>,
}

#[derive(Debug, Default)]
struct State {
    arrivals: Vec<Instant>,
    limit_changes: Vec<LimitChange>,
    /// First answer that stated that the target is leaving.
    leaving_since: Option<Instant>,
}

/// Statements of a target and the calls that reached it.
#[derive(Debug, Default)]
pub struct NoticeRecord {
    state: Mutex<State>,
}

impl NoticeRecord {
    /// Records a call that reaches the target now.
    pub fn note_arrival(&self) {
        self.state().arrivals.push(Instant::now());
    }

    /// Records an answer that states this limit in calls per second and whether the target is leaving.
    pub fn note_answer(&self, per_s: Option<f64>, is_leaving: bool) {
        let mut state = self.state();
        let before = state.limit_changes.last().and_then(|change| change.per_s);
        if before != per_s {
            state.limit_changes.push(LimitChange { at: Instant::now(), per_s });
        }
        match is_leaving {
            true => drop(state.leaving_since.get_or_insert_with(Instant::now)),
            false => state.leaving_since = None,
        }
    }

    /// Returns by how many calls the fullest window exceeds what the stated limits allow; 0 if none does.
    pub fn calls_over_limit(&self) -> u64 {
        let state = self.state();
        let Some(first) = state.limit_changes.iter().find(|change| change.per_s.is_some()) else { return 0 };
        let counted_from = first.at + LEARNING_TIME;
        let starts = state.arrivals.iter().filter(|at| **at >= counted_from);
        let excess = starts.filter_map(|start| {
            let allowed = LIMIT_FACTOR * stated_calls(&state.limit_changes, *start)? + LIMIT_SLACK;
            let in_window = |at: &&Instant| **at >= *start && **at < *start + WINDOW;
            let arrivals = state.arrivals.iter().filter(in_window).count();
            Some((arrivals as f64 - allowed).ceil().max(0.0) as u64)
        });
        excess.max().unwrap_or(0)
    }

    /// Returns how many calls arrived later than [`DRAIN_TIME`] after the first answer that stated that the target is
    /// leaving.
    pub fn calls_after_leaving(&self) -> u64 {
        let state = self.state();
        let Some(since) = state.leaving_since else { return 0 };
        state.arrivals.iter().filter(|at| **at > since + DRAIN_TIME).count() as u64
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns how many calls the limits allow in the window from `from` on; `None` if none was stated for a part of it.
fn stated_calls(changes: &[LimitChange], from: Instant) -> Option<f64> {
    let until = from + WINDOW;
    let mut calls = 0.0;
    for (index, change) in changes.iter().enumerate() {
        let start = change.at.max(from);
        let end = changes.get(index + 1).map_or(until, |next| next.at).min(until);
        if start < end {
            calls += change.per_s? * (end - start).as_secs_f64();
        }
    }
    Some(calls)
}
