//! Causes of the refusals by a target: whether they depend on the number of running calls.

use crate::running_counts::{RunningCounts, Share};

/// Log-likelihood ratio from which two refusal rates are taken to differ. Refusals at random reach it by chance
/// less than once in a fault of 8 s, and six accepted and two refused calls are enough when the target is full.
const DIFFERENCE_MIN: f64 = 4.0;
/// Number of attempts with at most half as many running calls that are needed to tell refusals apart.
const FEW_RUNNING_ATTEMPTS_MIN: f64 = 3.0;
/// Share of refused attempts from which the limit is lowered without knowing the cause. So few calls are accepted
/// that a lower limit costs nothing, and the queue is not spent on attempts that are refused.
const NEARLY_ALL_SHARE: f64 = 0.8;
/// Number of attempts that are needed to tell that nearly all are refused.
const NEARLY_ALL_ATTEMPTS_MIN: f64 = 3.0;

/// How the target refused an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalKind {
    /// It answered that it has not run the request.
    Answered,
    /// It accepted no connection. It may be down, so this counts only if it depends on the running calls.
    NoConnection,
    /// It broke the connection before its answer, as some targets do when they are full. The request may have run, so
    /// this also counts only if it depends on the running calls.
    Reset,
}

/// What a refusal says about the concurrency limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalCause {
    /// Too many calls run: attempts with fewer running calls are refused clearly less often.
    Concurrency,
    /// Another one: attempts with few running calls are refused as often.
    Other,
    /// Unknown, since recent attempts were all made with about as many running calls.
    Unknown {
        /// Whether nearly all of them were refused.
        is_nearly_all: bool,
    },
}

/// Tells refusals by a full target from those that do not depend on the number of running calls.
///
/// Load pattern: a target refuses requests for some seconds, at random, because it is full, or both. Callers need the
/// limit lowered only for the second kind: after refusals at random a lower limit makes answers late at a target that
/// has free slots.
#[derive(Debug, Clone, Default)]
pub struct RefusalCauses {
    counts: RunningCounts,
}

impl RefusalCauses {
    /// Records an attempt that began with `running` calls, itself included.
    pub fn note_attempt(&mut self, running: u32, now_us: u64) {
        self.counts.note_attempt(running, now_us);
    }

    /// Records that the target refused an attempt that began with `running` calls, and returns the cause.
    pub fn note_refusal(&mut self, running: u32, now_us: u64) -> RefusalCause {
        if self.counts.has_no_refusals(now_us) {
            // Attempts from before the fault would make its first refusals look like ones by a full target.
            self.counts = RunningCounts::default();
            self.counts.note_attempt(running, now_us);
        }
        self.counts.note_refusal(running, now_us);
        self.cause(running)
    }

    fn cause(&self, running: u32) -> RefusalCause {
        if self.split().is_some_and(|split| running >= split) {
            return RefusalCause::Concurrency;
        }
        let few_running = self.counts.share(1..=running / 2);
        if running <= 1 || few_running.attempts >= FEW_RUNNING_ATTEMPTS_MIN {
            return RefusalCause::Other;
        }
        let all = self.counts.share(1..=u32::MAX);
        let is_nearly_all = all.attempts >= NEARLY_ALL_ATTEMPTS_MIN && all.refused() >= NEARLY_ALL_SHARE;
        RefusalCause::Unknown { is_nearly_all }
    }

    /// Returns the number of running calls from which refusals are clearly more frequent; `None` without one.
    fn split(&self) -> Option<u32> {
        let all = self.counts.share(1..=u32::MAX);
        let difference = |split: u32| {
            let below = self.counts.share(1..=split - 1);
            let above = self.counts.share(split..=u32::MAX);
            let is_rising = above.refused() > below.refused();
            let gain = below.log_likelihood() + above.log_likelihood() - all.log_likelihood();
            (split, if is_rising { gain } else { 0.0 })
        };
        let splits = (2..=self.counts.running_max()).map(difference);
        let best = splits.max_by(|(_, gain), (_, other)| gain.total_cmp(other));
        best.filter(|(_, gain)| *gain >= DIFFERENCE_MIN).map(|(split, _)| split)
    }
}

impl Share {
    /// Returns the log-likelihood of these attempts if each is refused with the probability seen.
    fn log_likelihood(&self) -> f64 {
        let term = |count: f64| if count > 0.0 { count * (count / self.attempts).ln() } else { 0.0 };
        term(self.refusals) + term(self.attempts - self.refusals)
    }
}
