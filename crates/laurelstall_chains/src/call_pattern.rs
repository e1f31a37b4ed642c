//! What is learned about the calls that the runs of one class make to one service.

use crate::{call_end::NestedOutcome, recent_outcomes::RecentOutcomes, run_share::RunShare};
use laurelstall_overload::call_level::CallLevel;

/// Number of runs that the share of calling runs is averaged over.
const CALLING_RUNS_MAX: u32 = 50;
/// Number of ended runs from which the share of calling runs is relied on.
const CALLING_RUNS_MIN: u32 = 8;
/// Number of runs that the share of runs that fail with their call is averaged over.
const FAILING_RUNS_MAX: u32 = 16;
/// Weight, in runs, of the assumption that a run fails with its call.
const ASSUMED_FAILING_RUNS: u32 = 4;
/// Share of the runs that make the call, from which the call decides about the run.
const CALLING_SHARE_MIN: f64 = 0.5;
/// Probability that a run fails because of the call, from which it is refused: it fails more likely than not.
const FAILURE_MIN: f64 = 0.5;
/// Share of answered calls below which runs are refused. A service that answers 40 % of the calls at random still lets
/// that part of the runs succeed, and a run refused for it would be an answer lost.
const ANSWERED_MAX: f64 = 0.1;

/// The calls that the runs of one class make to one service.
#[derive(Debug, Clone)]
pub struct CallPattern {
    /// Share of the runs that make the call.
    calling: RunShare,
    /// Share of the runs that fail, among those with a failed call. Some runs do without the answer.
    failing: RunShare,
    recent: RecentOutcomes,
}

impl Default for CallPattern {
    fn default() -> Self {
        Self {
            calling: RunShare::unknown(CALLING_RUNS_MAX),
            failing: RunShare::assumed_whole(ASSUMED_FAILING_RUNS, FAILING_RUNS_MAX),
            recent: RecentOutcomes::default(),
        }
    }
}

impl CallPattern {
    /// Adds a run that ended, and whether it made the call.
    pub fn note_run(&mut self, has_called: bool) {
        self.calling.note(has_called);
    }

    /// Adds a run whose call failed, and whether the run failed too.
    pub fn note_run_after_failure(&mut self, has_failed: bool) {
        self.failing.note(has_failed);
    }

    /// Adds the outcome of a call.
    pub fn note_outcome(&mut self, level: CallLevel, outcome: NestedOutcome, now_us: u64) {
        self.recent.note(level, outcome, now_us);
    }

    /// Returns whether a run of this level would probably fail because of the call.
    pub fn would_fail(&self, level: CallLevel, now_us: u64) -> bool {
        if self.calling.runs() < CALLING_RUNS_MIN || self.calling.share() <= CALLING_SHARE_MIN {
            return false;
        }
        let Some(answered) = self.recent.answered_share(level, now_us) else { return false };
        let failure = self.calling.share() * self.failing.share() * (1.0 - answered);
        answered < ANSWERED_MAX && failure > FAILURE_MIN
    }

    /// Returns the lowest level that the service does not refuse; `None` when it refuses none by level.
    pub fn required_level(&self, now_us: u64) -> Option<CallLevel> {
        let refused = self.recent.refused_levels(now_us).filter(|level| self.would_fail(*level, now_us));
        refused.max().map(CallLevel::next_above)
    }
}
