//! Tracks the requests that run at one target, in order to know which were running when it crashed.

use crate::request_digest::RequestDigest;
use std::collections::BTreeMap;

/// Time in µs for which a run that was lost without an answer counts as running: its target may still run the request
/// and crash. A run takes up to some hundred ms from its start to the crash of its target.
const LOST_GRACE_US: u64 = 500_000;
/// Largest number of runs reported for one crash: as many as the largest targets run at once.
const CRASHED_RUNS_MAX: usize = 256;

/// The id of a run at one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RunId(u64);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RunState {
    /// The request was sent and has no answer yet.
    Running,
    /// The connection broke, and a check is running whether the target is alive.
    Broken { at_us: u64 },
    /// The run has no answer to expect, and the target may still run it.
    Lost { at_us: u64 },
}

#[derive(Debug)]
struct Run {
    digest: RequestDigest,
    started_us: u64,
    state: RunState,
}

impl Run {
    fn is_broken(&self) -> bool {
        matches!(self.state, RunState::Broken { .. })
    }
}

/// The requests that were running when a target crashed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashedRuns {
    /// The number of the crash, counted from 1.
    pub number: u64,
    /// Whether this is the first report of that crash.
    pub is_first: bool,
    /// The running requests that were not in an earlier report of that crash.
    pub digests: Vec<RequestDigest>,
}

/// Tracks the runs at one target.
#[derive(Debug, Default)]
pub struct RunTracker {
    next_id: u64,
    runs: BTreeMap<RunId, Run>,
    /// Number of crashes so far.
    crashes: u64,
    /// Whether the target has not been seen alive since its last crash.
    is_crashed: bool,
}

impl RunTracker {
    /// Records that a request is being sent.
    pub fn start(&mut self, digest: RequestDigest, now_us: u64) -> RunId {
        self.forget_lost(now_us);
        let id = RunId(self.next_id);
        self.next_id += 1;
        self.runs.insert(id, Run { digest, started_us: now_us, state: RunState::Running });
        id
    }

    /// Records that the target answered, which ends the run and shows that the target is alive.
    pub fn note_answered(&mut self, id: RunId) {
        self.runs.remove(&id);
        self.is_crashed = false;
    }

    /// Records that the target was reached by something other than a run, so it is alive.
    pub fn note_alive(&mut self) {
        self.is_crashed = false;
    }

    /// Removes a run whose request was not sent, or whose result tells nothing of the target.
    pub fn forget(&mut self, id: RunId) {
        self.runs.remove(&id);
    }

    /// Records that nobody waits for the answer of the run any more.
    pub fn note_abandoned(&mut self, id: RunId, now_us: u64) {
        if let Some(run) = self.runs.get_mut(&id) {
            run.state = RunState::Lost { at_us: now_us };
        }
    }

    /// Records that the connection of the run broke before the answer.
    pub fn note_broken(&mut self, id: RunId, now_us: u64) {
        if let Some(run) = self.runs.get_mut(&id) {
            run.state = RunState::Broken { at_us: now_us };
        }
    }

    /// Records that the target is alive although connections broke, and removes the broken runs.
    pub fn note_alive_after_break(&mut self) {
        self.is_crashed = false;
        self.runs.retain(|_, run| !run.is_broken());
    }

    /// Records that the check after broken connections could not tell whether the target is alive. The broken runs
    /// still count for a crash that is detected shortly after.
    pub fn note_check_inconclusive(&mut self, now_us: u64) {
        for run in self.runs.values_mut().filter(|run| run.is_broken()) {
            run.state = RunState::Lost { at_us: now_us };
        }
    }

    /// Whether runs were lost recently and it is unknown whether the target crashed.
    pub fn has_lost_runs(&mut self, now_us: u64) -> bool {
        self.forget_lost(now_us);
        self.runs.values().any(|run| run.state != RunState::Running)
    }

    /// Records a crash that was first noticed at `broken_us`, and removes and returns all runs that had started by
    /// then. Further reports belong to the same crash until the target is seen alive again.
    pub fn note_crash(&mut self, broken_us: u64) -> CrashedRuns {
        self.forget_lost(broken_us);
        let is_first = !self.is_crashed;
        self.crashes += u64::from(is_first);
        self.is_crashed = true;
        let (crashed, later): (BTreeMap<_, _>, _) = std::mem::take(&mut self.runs)
            .into_iter()
            .partition(|(_, run)| run.is_broken() || run.started_us < broken_us);
        self.runs = later;
        let mut digests: Vec<RequestDigest> = Vec::new();
        for run in crashed.into_values().rev().take(CRASHED_RUNS_MAX) {
            if !digests.contains(&run.digest) {
                digests.push(run.digest);
            }
        }
        CrashedRuns { number: self.crashes, is_first, digests }
    }

    /// The number of tracked runs.
    pub fn len(&self) -> usize {
        self.runs.len()
    }

    /// Whether no run is tracked.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    fn forget_lost(&mut self, now_us: u64) {
        self.runs.retain(|_, run| match run.state {
            RunState::Lost { at_us } | RunState::Broken { at_us } => now_us < at_us + LOST_GRACE_US,
            RunState::Running => true,
        });
    }
}
