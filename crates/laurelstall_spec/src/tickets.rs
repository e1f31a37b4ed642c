//! Tickets and the guard's ledger: a caller sends the same call several times with one ticket, and the call
//! must run at most once.
//!
//! Messages to the guard may be delayed, duplicated or lost; the guard may restart, drain or refuse calls;
//! the entry node may give up at any time.

use crate::search::Model;

/// Number of times that the caller transmits its call.
const TRANSMISSIONS: usize = 3;
/// Maximum number of restarts of the guard.
const RESTARTS_MAX: u8 = 2;
/// Maximum number of copies of each message that the network delivers.
const COPIES: u8 = 2;

/// A deliberate fault in the design: one of its rules is left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// No fault: the design as it is.
    None,
    /// The guard accepts tickets that an earlier incarnation of it issued.
    AcceptsAnyIncarnation,
    /// The guard ignores its ledger and runs a ticket again.
    IgnoresLedger,
    /// A refused ticket is not voided and may run when a delayed copy arrives.
    RefusedNotVoided,
    /// The entry reports *not run* when it gives up waiting.
    TimeoutIsNotRun,
    /// The guard does not record that the ticket's call runs.
    RunningNotRecorded,
}

/// The ledger's entry for the ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum LedgerEntry {
    /// The ticket has not been used.
    Unused,
    /// The ticket's call runs.
    Running,
    /// The ticket's call has been answered.
    Answered,
    /// The ticket's call has ended and its outcome is unknown.
    OutcomeUnknown,
    /// The ticket was refused, and its call never runs.
    Void,
}

/// The outcome that was reported to the caller for one transmission of its call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// No outcome has been reported, or the call was not sent.
    Pending,
    /// The call was answered.
    Answered,
    /// The call has not run.
    NotRun,
    /// It is unknown whether the call has run.
    Unknown,
}

/// A state of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    /// Number of restarts of the guard; the ticket was issued by incarnation 0.
    pub incarnation: u8,
    /// The ledger's entry for the ticket.
    pub ledger_entry: LedgerEntry,
    /// Number of times that the call took effect.
    pub executions: u8,
    /// Whether the guard is draining.
    pub is_draining: bool,
    /// Number of copies of each transmission that are in transit.
    pub in_transit: [u8; TRANSMISSIONS],
    /// Whether each transmission was sent.
    pub was_sent: [bool; TRANSMISSIONS],
    /// The outcome that was reported to the caller for each transmission.
    pub reported: [Outcome; TRANSMISSIONS],
}

/// The model, with at most one rule left out.
#[derive(Debug, Clone, Copy)]
pub struct TicketModel {
    /// The rule that is left out.
    pub mutation: Mutation,
}

impl Model for TicketModel {
    type State = State;

    fn initial_state(&self) -> State {
        State {
            incarnation: 0,
            ledger_entry: LedgerEntry::Unused,
            executions: 0,
            is_draining: false,
            in_transit: [0; TRANSMISSIONS],
            was_sent: [false; TRANSMISSIONS],
            reported: [Outcome::Pending; TRANSMISSIONS],
        }
    }

    fn next_states(&self, state: &State) -> Vec<State> {
        let mut next = Vec::new();
        for transmission in 0..TRANSMISSIONS {
            self.caller_steps(state, transmission, &mut next);
            if state.in_transit[transmission] > 0 {
                next.push(remove_copy(state, transmission));
                self.arrival_steps(state, transmission, &mut next);
            }
        }
        self.guard_steps(state, &mut next);
        next
    }

    fn violated_invariant(&self, state: &State) -> Option<&'static str> {
        if state.executions > 1 {
            return Some("a ticket's call took effect twice");
        }
        let is_reported_not_run = state.reported.contains(&Outcome::NotRun);
        (is_reported_not_run && state.executions > 0).then_some("reported as not run, but it ran")
    }
}

impl TicketModel {
    fn caller_steps(&self, state: &State, transmission: usize, next: &mut Vec<State>) {
        let is_previous_sent = transmission == 0 || state.was_sent[transmission - 1];
        if !state.was_sent[transmission] && is_previous_sent {
            let mut sent = state.clone();
            sent.was_sent[transmission] = true;
            sent.in_transit[transmission] = COPIES;
            next.push(sent);
        }
        let is_waiting = state.was_sent[transmission] && state.reported[transmission] == Outcome::Pending;
        if is_waiting {
            let mut given_up = state.clone();
            given_up.reported[transmission] =
                if self.mutation == Mutation::TimeoutIsNotRun { Outcome::NotRun } else { Outcome::Unknown };
            next.push(given_up);
        }
    }

    /// Delivers a copy to the guard, which runs the call or reports an outcome.
    fn arrival_steps(&self, state: &State, transmission: usize, next: &mut Vec<State>) {
        let arrived = remove_copy(state, transmission);
        let is_accepted = state.incarnation == 0 || self.mutation == Mutation::AcceptsAnyIncarnation;
        if !is_accepted {
            next.push(report(&arrived, transmission, Outcome::Unknown));
            return;
        }
        let ledger_entry =
            if self.mutation == Mutation::IgnoresLedger { LedgerEntry::Unused } else { state.ledger_entry };
        match ledger_entry {
            LedgerEntry::Unused => {
                next.push(self.refuse(&arrived, transmission));
                if !state.is_draining {
                    let mut running = arrived;
                    running.ledger_entry = if self.mutation == Mutation::RunningNotRecorded {
                        LedgerEntry::Unused
                    } else {
                        LedgerEntry::Running
                    };
                    running.executions += 1;
                    next.push(running);
                }
            }
            LedgerEntry::Running => next.push(report(&arrived, transmission, Outcome::Unknown)),
            LedgerEntry::Answered => next.push(report(&arrived, transmission, Outcome::Answered)),
            LedgerEntry::OutcomeUnknown => next.push(report(&arrived, transmission, Outcome::Unknown)),
            LedgerEntry::Void => next.push(report(&arrived, transmission, Outcome::NotRun)),
        }
    }

    fn refuse(&self, state: &State, transmission: usize) -> State {
        let mut refused = report(state, transmission, Outcome::NotRun);
        if self.mutation != Mutation::RefusedNotVoided {
            refused.ledger_entry = LedgerEntry::Void;
        }
        refused
    }

    fn guard_steps(&self, state: &State, next: &mut Vec<State>) {
        if state.ledger_entry == LedgerEntry::Running {
            for ended in [LedgerEntry::Answered, LedgerEntry::OutcomeUnknown] {
                let mut after = state.clone();
                after.ledger_entry = ended;
                next.push(after);
            }
        }
        if state.incarnation < RESTARTS_MAX {
            let mut restarted = state.clone();
            restarted.incarnation += 1;
            restarted.ledger_entry = LedgerEntry::Unused;
            restarted.is_draining = false;
            next.push(restarted);
        }
        if !state.is_draining {
            let mut draining = state.clone();
            draining.is_draining = true;
            next.push(draining);
        }
    }
}

fn remove_copy(state: &State, transmission: usize) -> State {
    let mut after = state.clone();
    after.in_transit[transmission] -= 1;
    after
}

/// Reports an outcome to the caller, unless one was already reported for this transmission.
fn report(state: &State, transmission: usize, outcome: Outcome) -> State {
    let mut after = state.clone();
    if after.reported[transmission] == Outcome::Pending {
        after.reported[transmission] = outcome;
    }
    after
}
