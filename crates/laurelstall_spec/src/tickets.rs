//! Tickets and the ledger: a call that may not be repeated, sent several times by its caller.
//!
//! Messages to the guard may be late, doubled or lost; the guard may restart, drain or refuse;
//! the entry may give up at any instant.

use crate::search::Model;

/// Times the caller sends its call.
const SENDS: usize = 3;
/// Restarts of the guard.
const RESTARTS_MAX: u8 = 2;
/// Copies of each message that the network may deliver.
const COPIES: u8 = 2;

/// A rule that can be left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Weakness {
    /// None: the design as it is.
    None,
    /// The guard runs tickets of an earlier start of its own.
    AnyIncarnation,
    /// The guard runs a ticket again that it has a record of.
    NoLedger,
    /// A refused ticket is not voided, and may run when a late copy comes.
    NoVoid,
    /// The entry says *not run* when it gave up waiting.
    TimeoutIsNotRun,
    /// The guard forgets the ticket while its call runs.
    ForgetsRunning,
}

/// What the ledger says of the ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Entry {
    /// Not used.
    New,
    /// Its call runs.
    Running,
    /// Its call was answered.
    Answered,
    /// Nobody knows.
    Spent,
    /// It was refused and never runs.
    Void,
}

/// What the caller was told about one sending.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Told {
    /// Nothing yet, or it was not sent.
    Nothing,
    /// The answer.
    Answered,
    /// *Not run*.
    NotRun,
    /// *Unknown*.
    Unknown,
}

/// A state of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    /// Starts of the guard so far; the ticket is of the first.
    pub incarnation: u8,
    /// The ledger's entry.
    pub entry: Entry,
    /// Times the call took effect.
    pub runs: u8,
    /// Whether the guard drains.
    pub is_draining: bool,
    /// Copies of each sending that are still on their way.
    pub on_way: [u8; SENDS],
    /// Whether each sending was made.
    pub was_sent: [bool; SENDS],
    /// What the caller was told about each.
    pub told: [Told; SENDS],
}

/// The model with one rule left out.
#[derive(Debug, Clone, Copy)]
pub struct TicketModel {
    /// The rule.
    pub weakness: Weakness,
}

impl Model for TicketModel {
    type State = State;

    fn start(&self) -> State {
        State {
            incarnation: 0,
            entry: Entry::New,
            runs: 0,
            is_draining: false,
            on_way: [0; SENDS],
            was_sent: [false; SENDS],
            told: [Told::Nothing; SENDS],
        }
    }

    fn steps(&self, state: &State) -> Vec<State> {
        let mut next = Vec::new();
        for send in 0..SENDS {
            self.caller_steps(state, send, &mut next);
            if state.on_way[send] > 0 {
                next.push(lost(state, send));
                self.arrivals(state, send, &mut next);
            }
        }
        self.guard_steps(state, &mut next);
        next
    }

    fn broken(&self, state: &State) -> Option<&'static str> {
        if state.runs > 1 {
            return Some("a ticket's call took effect twice");
        }
        let was_told = state.told.contains(&Told::NotRun);
        (was_told && state.runs > 0).then_some("told not run, but it ran")
    }
}

impl TicketModel {
    fn caller_steps(&self, state: &State, send: usize, next: &mut Vec<State>) {
        let is_next = send == 0 || state.was_sent[send - 1];
        if !state.was_sent[send] && is_next {
            let mut sent = state.clone();
            sent.was_sent[send] = true;
            sent.on_way[send] = COPIES;
            next.push(sent);
        }
        let is_waiting = state.was_sent[send] && state.told[send] == Told::Nothing;
        if is_waiting {
            let mut gave_up = state.clone();
            gave_up.told[send] =
                if self.weakness == Weakness::TimeoutIsNotRun { Told::NotRun } else { Told::Unknown };
            next.push(gave_up);
        }
    }

    /// A copy reaches the guard, which runs it or says why not.
    fn arrivals(&self, state: &State, send: usize, next: &mut Vec<State>) {
        let arrived = lost(state, send);
        let is_own = state.incarnation == 0 || self.weakness == Weakness::AnyIncarnation;
        if !is_own {
            next.push(tell(&arrived, send, Told::Unknown));
            return;
        }
        let entry = if self.weakness == Weakness::NoLedger { Entry::New } else { state.entry };
        match entry {
            Entry::New => {
                next.push(self.refuse(&arrived, send));
                if !state.is_draining {
                    let mut running = arrived;
                    running.entry =
                        if self.weakness == Weakness::ForgetsRunning { Entry::New } else { Entry::Running };
                    running.runs += 1;
                    next.push(running);
                }
            }
            Entry::Running => next.push(tell(&arrived, send, Told::Unknown)),
            Entry::Answered => next.push(tell(&arrived, send, Told::Answered)),
            Entry::Spent => next.push(tell(&arrived, send, Told::Unknown)),
            Entry::Void => next.push(tell(&arrived, send, Told::NotRun)),
        }
    }

    fn refuse(&self, state: &State, send: usize) -> State {
        let mut refused = tell(state, send, Told::NotRun);
        if self.weakness != Weakness::NoVoid {
            refused.entry = Entry::Void;
        }
        refused
    }

    fn guard_steps(&self, state: &State, next: &mut Vec<State>) {
        if state.entry == Entry::Running {
            for ended in [Entry::Answered, Entry::Spent] {
                let mut after = state.clone();
                after.entry = ended;
                next.push(after);
            }
        }
        if state.incarnation < RESTARTS_MAX {
            let mut restarted = state.clone();
            restarted.incarnation += 1;
            restarted.entry = Entry::New;
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

fn lost(state: &State, send: usize) -> State {
    let mut after = state.clone();
    after.on_way[send] -= 1;
    after
}

/// Tells the caller, unless it gave up on this sending before.
fn tell(state: &State, send: usize, told: Told) -> State {
    let mut after = state.clone();
    if after.told[send] == Told::Nothing {
        after.told[send] = told;
    }
    after
}
