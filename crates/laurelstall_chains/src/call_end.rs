//! How a nested call ended, and whether that says something on the service that was called.

/// How a nested call ended at its entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEnd {
    /// Answered without a server error.
    Answered,
    /// Answered with a server error, or the answer was lost.
    Error,
    /// Refused because of its level, as all calls of lower levels would be.
    RefusedByLevel,
    /// Refused for another reason.
    Refused,
    /// Its time was spent before it was answered.
    OutOfTime,
    /// The run stopped waiting for it.
    Abandoned,
    /// It ended for a reason that concerns only this request.
    Unrelated,
}

/// What a nested call shows about the service that was called.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NestedOutcome {
    /// The service answered in time.
    Answered,
    /// The service refuses calls of this level and below.
    RefusedByLevel,
    /// The service failed to answer in time, whatever the level of the call.
    Failed,
}

/// The times of a nested call, in µs of the node's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NestedCallTimes {
    /// When the call began.
    pub started_us: u64,
    /// Latency objective of the call's route; `None` without one.
    pub objective_us: Option<u64>,
    /// End of the time in which the answer is useful.
    pub useful_until_us: u64,
    /// Deadline, which is at most that of the run that makes the call.
    pub deadline_us: u64,
}

impl NestedCallTimes {
    /// Returns what the call shows about the service; `None` if it shows nothing.
    ///
    /// A run may leave a nested call less time than its objective, since the run itself was slow or waited long. Such a
    /// call shows something only if it is answered in time or refused by level: else runs would be refused because of
    /// their own slowness.
    pub fn outcome(&self, end: CallEnd, ended_us: u64) -> Option<NestedOutcome> {
        match end {
            CallEnd::Answered if ended_us <= self.useful_until_us => Some(NestedOutcome::Answered),
            CallEnd::RefusedByLevel => Some(NestedOutcome::RefusedByLevel),
            CallEnd::Error | CallEnd::Refused => (!self.is_short()).then_some(NestedOutcome::Failed),
            CallEnd::Answered | CallEnd::OutOfTime => self.had_objective().then_some(NestedOutcome::Failed),
            CallEnd::Abandoned => {
                let has_waited = ended_us.saturating_sub(self.started_us) >= self.objective_us?;
                has_waited.then_some(NestedOutcome::Failed)
            }
            CallEnd::Unrelated => None,
        }
    }

    fn time_us(&self) -> u64 {
        self.deadline_us.saturating_sub(self.started_us)
    }

    /// Whether the call is known to have had less time than its objective.
    fn is_short(&self) -> bool {
        self.objective_us.is_some_and(|objective_us| self.time_us() < objective_us)
    }

    /// Whether the call is known to have had the whole time of its objective.
    fn had_objective(&self) -> bool {
        self.objective_us.is_some_and(|objective_us| self.time_us() >= objective_us)
    }
}
