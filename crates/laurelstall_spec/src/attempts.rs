//! A call without a ticket that must not run twice: the entry node sends one attempt at a time, to several
//! guards in turn.

use crate::search::Model;

/// Number of guards that the entry may send the call to.
const GUARDS: usize = 3;

/// A deliberate fault in the design: one of its rules is left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// No fault: the design as it is.
    None,
    /// The entry retries at another guard after an attempt whose outcome is *unknown*.
    RetriesUnknown,
    /// The entry treats a timeout or a broken connection as *not run*.
    BrokenConnectionIsNotRun,
    /// The entry reports *not run* to the caller although the outcome of an attempt is *unknown*.
    ReportsUnknownAsNotRun,
    /// The guard hands back a call that already runs at its target.
    HandsBackRunning,
}

/// The progress of one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Attempt {
    /// The attempt has not been sent.
    Unsent,
    /// The attempt is in transit to the guard, for any length of time.
    InTransit,
    /// The attempt is in the guard's queue.
    Queued,
    /// The call runs at the target.
    Running,
    /// The call has completed at the target.
    Completed,
    /// The guard has refused the call or handed it back.
    Refused,
    /// The attempt was lost in transit.
    Lost,
}

/// The outcome of an attempt as the entry knows it, or of the call as reported to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// There is no outcome yet.
    Pending,
    /// The call is proved not to have run.
    NotRun,
    /// It is unknown whether the call has run.
    Unknown,
    /// The call has been answered.
    Answered,
}

/// A state of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    /// The progress of the attempt at each guard.
    pub attempts: [Attempt; GUARDS],
    /// The outcome of each attempt as the entry knows it.
    pub known_outcomes: [Outcome; GUARDS],
    /// Number of times that the call took effect.
    pub executions: u8,
    /// The outcome that was reported to the caller.
    pub reported: Outcome,
}

/// The model, with at most one rule left out.
#[derive(Debug, Clone, Copy)]
pub struct AttemptModel {
    /// The rule that is left out.
    pub mutation: Mutation,
}

impl Model for AttemptModel {
    type State = State;

    fn initial_state(&self) -> State {
        State {
            attempts: [Attempt::Unsent; GUARDS],
            known_outcomes: [Outcome::Pending; GUARDS],
            executions: 0,
            reported: Outcome::Pending,
        }
    }

    fn next_states(&self, state: &State) -> Vec<State> {
        let mut next = Vec::new();
        for guard in 0..GUARDS {
            self.attempt_steps(state, guard, &mut next);
            self.entry_steps(state, guard, &mut next);
        }
        self.report_steps(state, &mut next);
        next
    }

    fn violated_invariant(&self, state: &State) -> Option<&'static str> {
        if state.executions > 1 {
            return Some("a call that must not be repeated took effect twice");
        }
        (state.reported == Outcome::NotRun && state.executions > 0)
            .then_some("reported as not run, but it ran")
    }
}

impl AttemptModel {
    fn attempt_steps(&self, state: &State, guard: usize, next: &mut Vec<State>) {
        let mut advance = |attempt: Attempt| {
            let mut after = state.clone();
            after.attempts[guard] = attempt;
            if attempt == Attempt::Running {
                after.executions += 1;
            }
            next.push(after);
        };
        match state.attempts[guard] {
            Attempt::InTransit => {
                advance(Attempt::Queued);
                advance(Attempt::Refused);
                advance(Attempt::Lost);
            }
            Attempt::Queued => {
                advance(Attempt::Running);
                advance(Attempt::Refused);
            }
            Attempt::Running => {
                advance(Attempt::Completed);
                if self.mutation == Mutation::HandsBackRunning {
                    advance(Attempt::Refused);
                }
            }
            Attempt::Unsent | Attempt::Completed | Attempt::Refused | Attempt::Lost => {}
        }
    }

    fn entry_steps(&self, state: &State, guard: usize, next: &mut Vec<State>) {
        if state.reported != Outcome::Pending {
            return;
        }
        let mut record = |outcome: Outcome| {
            let mut after = state.clone();
            after.known_outcomes[guard] = outcome;
            next.push(after);
        };
        let attempt = state.attempts[guard];
        if attempt != Attempt::Unsent && state.known_outcomes[guard] == Outcome::Pending {
            match attempt {
                Attempt::Refused => record(Outcome::NotRun),
                Attempt::Completed => record(Outcome::Answered),
                _ => {}
            }
            // The attempt may time out or lose its connection at any time.
            let is_treated_as_not_run = self.mutation == Mutation::BrokenConnectionIsNotRun;
            record(if is_treated_as_not_run { Outcome::NotRun } else { Outcome::Unknown });
        }
        if attempt == Attempt::Unsent && self.may_send(state, guard) {
            let mut after = state.clone();
            after.attempts[guard] = Attempt::InTransit;
            next.push(after);
        }
    }

    /// Whether the entry may send the next attempt: only if all earlier ones are proved *not run*.
    fn may_send(&self, state: &State, guard: usize) -> bool {
        let allows_next = |outcome: &Outcome| match outcome {
            Outcome::NotRun => true,
            Outcome::Unknown => self.mutation == Mutation::RetriesUnknown,
            Outcome::Pending | Outcome::Answered => false,
        };
        state.known_outcomes[..guard].iter().all(allows_next)
    }

    fn report_steps(&self, state: &State, next: &mut Vec<State>) {
        if state.reported != Outcome::Pending {
            return;
        }
        let mut report = |reported: Outcome| {
            let mut after = state.clone();
            after.reported = reported;
            next.push(after);
        };
        if state.known_outcomes.contains(&Outcome::Answered) {
            report(Outcome::Answered);
            return;
        }
        let sent = (0..GUARDS).filter(|guard| state.attempts[*guard] != Attempt::Unsent);
        let outcomes = sent.map(|guard| state.known_outcomes[guard]).collect::<Vec<_>>();
        if outcomes.contains(&Outcome::Pending) {
            return;
        }
        let is_unknown =
            outcomes.contains(&Outcome::Unknown) && self.mutation != Mutation::ReportsUnknownAsNotRun;
        report(if is_unknown { Outcome::Unknown } else { Outcome::NotRun });
    }
}
