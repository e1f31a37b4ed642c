//! A call without a ticket that may not be repeated: one attempt at a time, over several guards.

use crate::search::Model;

/// Guards that the entry may try.
const GUARDS: usize = 3;

/// A rule that can be left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Weakness {
    /// None: the design as it is.
    None,
    /// The entry tries elsewhere after a timeout.
    RetryUnknown,
    /// The entry takes a broken connection for *not run*.
    BrokenIsNotRun,
    /// The entry says *not run* though one attempt was *unknown*.
    ForgetsUnknown,
    /// The guard hands back a call that it has given to its target.
    HandsBackRunning,
}

/// Where one attempt is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Attempt {
    /// Not sent.
    Unsent,
    /// On its way to the guard, perhaps for long.
    OnWay,
    /// In the guard's queue.
    Waiting,
    /// At the target.
    Running,
    /// Ended at the target.
    Done,
    /// Refused or handed back.
    Refused,
    /// Lost on its way.
    Lost,
}

/// What the entry knows of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Known {
    /// Nothing yet.
    Nothing,
    /// Proved *not run*.
    NotRun,
    /// *Unknown*.
    Unknown,
    /// Answered.
    Answered,
}

/// A state of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    /// The attempts, one for each guard.
    pub attempts: [Attempt; GUARDS],
    /// What the entry knows of each.
    pub known: [Known; GUARDS],
    /// Times the call took effect.
    pub runs: u8,
    /// What the caller was told.
    pub told: Known,
}

/// The model with one rule left out.
#[derive(Debug, Clone, Copy)]
pub struct AttemptModel {
    /// The rule.
    pub weakness: Weakness,
}

impl Model for AttemptModel {
    type State = State;

    fn start(&self) -> State {
        State {
            attempts: [Attempt::Unsent; GUARDS],
            known: [Known::Nothing; GUARDS],
            runs: 0,
            told: Known::Nothing,
        }
    }

    fn steps(&self, state: &State) -> Vec<State> {
        let mut next = Vec::new();
        for guard in 0..GUARDS {
            self.attempt_steps(state, guard, &mut next);
            self.entry_steps(state, guard, &mut next);
        }
        self.answer_steps(state, &mut next);
        next
    }

    fn broken(&self, state: &State) -> Option<&'static str> {
        if state.runs > 1 {
            return Some("a call that may not be repeated took effect twice");
        }
        (state.told == Known::NotRun && state.runs > 0).then_some("told not run, but it ran")
    }
}

impl AttemptModel {
    fn attempt_steps(&self, state: &State, guard: usize, next: &mut Vec<State>) {
        let mut go = |attempt: Attempt| {
            let mut after = state.clone();
            after.attempts[guard] = attempt;
            if attempt == Attempt::Running {
                after.runs += 1;
            }
            next.push(after);
        };
        match state.attempts[guard] {
            Attempt::OnWay => {
                go(Attempt::Waiting);
                go(Attempt::Refused);
                go(Attempt::Lost);
            }
            Attempt::Waiting => {
                go(Attempt::Running);
                go(Attempt::Refused);
            }
            Attempt::Running => {
                go(Attempt::Done);
                if self.weakness == Weakness::HandsBackRunning {
                    go(Attempt::Refused);
                }
            }
            Attempt::Unsent | Attempt::Done | Attempt::Refused | Attempt::Lost => {}
        }
    }

    fn entry_steps(&self, state: &State, guard: usize, next: &mut Vec<State>) {
        if state.told != Known::Nothing {
            return;
        }
        let mut learn = |known: Known| {
            let mut after = state.clone();
            after.known[guard] = known;
            next.push(after);
        };
        let attempt = state.attempts[guard];
        if attempt != Attempt::Unsent && state.known[guard] == Known::Nothing {
            match attempt {
                Attempt::Refused => learn(Known::NotRun),
                Attempt::Done => learn(Known::Answered),
                _ => {}
            }
            // A timeout, or a connection that breaks, at any instant.
            let is_proof = self.weakness == Weakness::BrokenIsNotRun;
            learn(if is_proof { Known::NotRun } else { Known::Unknown });
        }
        if attempt == Attempt::Unsent && self.may_send(state, guard) {
            let mut after = state.clone();
            after.attempts[guard] = Attempt::OnWay;
            next.push(after);
        }
    }

    /// The next attempt only after a proved *not run* of all before it.
    fn may_send(&self, state: &State, guard: usize) -> bool {
        let is_over = |known: &Known| match known {
            Known::NotRun => true,
            Known::Unknown => self.weakness == Weakness::RetryUnknown,
            Known::Nothing | Known::Answered => false,
        };
        state.known[..guard].iter().all(is_over)
    }

    fn answer_steps(&self, state: &State, next: &mut Vec<State>) {
        if state.told != Known::Nothing {
            return;
        }
        let mut tell = |told: Known| {
            let mut after = state.clone();
            after.told = told;
            next.push(after);
        };
        if state.known.contains(&Known::Answered) {
            tell(Known::Answered);
            return;
        }
        let sent = (0..GUARDS).filter(|guard| state.attempts[*guard] != Attempt::Unsent);
        let known = sent.map(|guard| state.known[guard]).collect::<Vec<_>>();
        if known.contains(&Known::Nothing) {
            return;
        }
        let is_unknown = known.contains(&Known::Unknown) && self.weakness != Weakness::ForgetsUnknown;
        tell(if is_unknown { Known::Unknown } else { Known::NotRun });
    }
}
