//! The requests at work at one target, and which of them were at work when it ended.

use crate::request_digest::RequestDigest;
use std::collections::BTreeMap;

/// How long a run that was lost without an answer is still taken to be at work, in µs: its target may work on for a while,
/// and end under it. A run takes up to some hundred ms from its start to the end of its target.
const LOST_GRACE_US: u64 = 500_000;
/// Most requests told of one end: as many as the largest targets run at once.
const ENDED_RUNS_MAX: usize = 256;

/// The number of a run at one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RunId(u64);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RunState {
    /// It was sent and nothing is known of it since.
    AtWork,
    /// Its connection broke, and the target is being looked at.
    Broken { at_us: u64 },
    /// Nobody waits for it any more, or nobody could tell what became of its target.
    GivenUp { at_us: u64 },
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

/// The requests that were at work when a target ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedRuns {
    /// Number of the end, counted by the watch from 1.
    pub end: u64,
    /// Whether this is the first word of that end.
    pub is_first: bool,
    /// The requests that were at work and not told of before.
    pub digests: Vec<RequestDigest>,
}

/// Watches the runs at one target.
#[derive(Debug, Default)]
pub struct RunWatch {
    next: u64,
    runs: BTreeMap<RunId, Run>,
    /// Ends so far.
    ends: u64,
    /// Whether the target has not been seen alive since its last end.
    is_ended: bool,
}

impl RunWatch {
    /// Notes that a request is being sent.
    pub fn start(&mut self, digest: RequestDigest, now_us: u64) -> RunId {
        self.forget_lost(now_us);
        let id = RunId(self.next);
        self.next += 1;
        self.runs.insert(id, Run { digest, started_us: now_us, state: RunState::AtWork });
        id
    }

    /// Notes that the target answered: it is alive, and the run is over.
    pub fn note_answered(&mut self, id: RunId) {
        self.runs.remove(&id);
        self.is_ended = false;
    }

    /// Notes that the target was reached by something else than a run: it is alive.
    pub fn note_alive(&mut self) {
        self.is_ended = false;
    }

    /// Notes that the request was not sent, or that nothing follows from how its run ended.
    pub fn forget(&mut self, id: RunId) {
        self.runs.remove(&id);
    }

    /// Notes that nobody waits for the run any more.
    pub fn note_given_up(&mut self, id: RunId, now_us: u64) {
        if let Some(run) = self.runs.get_mut(&id) {
            run.state = RunState::GivenUp { at_us: now_us };
        }
    }

    /// Notes that the run's connection broke before there was an answer.
    pub fn note_broken(&mut self, id: RunId, now_us: u64) {
        if let Some(run) = self.runs.get_mut(&id) {
            run.state = RunState::Broken { at_us: now_us };
        }
    }

    /// Notes that a target whose connections broke lives: the broken runs say nothing of it.
    pub fn note_survived(&mut self) {
        self.is_ended = false;
        self.runs.retain(|_, run| !run.is_broken());
    }

    /// Notes that it could not be told whether a target whose connections broke lives: what comes next may tell.
    pub fn note_unclear(&mut self, now_us: u64) {
        for run in self.runs.values_mut().filter(|run| run.is_broken()) {
            run.state = RunState::GivenUp { at_us: now_us };
        }
    }

    /// Whether some runs were lost of late, and it is not known whether their target ended.
    pub fn has_lost_runs(&mut self, now_us: u64) -> bool {
        self.forget_lost(now_us);
        self.runs.values().any(|run| run.state != RunState::AtWork)
    }

    /// Notes that the target is found to have ended, and that this showed at `broken_us`: takes all runs that had begun
    /// by then. Further words of one end, before the target is seen alive again, have its number.
    pub fn note_ended(&mut self, broken_us: u64) -> EndedRuns {
        self.forget_lost(broken_us);
        let is_first = !self.is_ended;
        self.ends += u64::from(is_first);
        self.is_ended = true;
        let (ended, later): (BTreeMap<_, _>, _) = std::mem::take(&mut self.runs)
            .into_iter()
            .partition(|(_, run)| run.is_broken() || run.started_us < broken_us);
        self.runs = later;
        let mut digests: Vec<RequestDigest> = Vec::new();
        for run in ended.into_values().rev().take(ENDED_RUNS_MAX) {
            if !digests.contains(&run.digest) {
                digests.push(run.digest);
            }
        }
        EndedRuns { end: self.ends, is_first, digests }
    }

    /// Runs that are at work, as far as is known.
    pub fn len(&self) -> usize {
        self.runs.len()
    }

    /// Whether nothing is at work.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    fn forget_lost(&mut self, now_us: u64) {
        self.runs.retain(|_, run| match run.state {
            RunState::GivenUp { at_us } | RunState::Broken { at_us } => now_us < at_us + LOST_GRACE_US,
            RunState::AtWork => true,
        });
    }
}
