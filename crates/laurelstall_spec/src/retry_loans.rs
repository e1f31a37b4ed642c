//! Retry tokens that two entry nodes lend each other while messages get lost and nodes restart.

use crate::search::Model;

/// Number of ticks that are explored.
const TICKS_MAX: u8 = 4;
/// Length of the window to which the bound applies, in ticks.
const WINDOW: usize = 2;
/// Tokens that a node can save.
const SAVED_MAX: u8 = 1;
/// Tokens that each tick adds to a node.
const REFILL: u8 = 1;
/// Maximum number of restarts of each node.
const RESTARTS_MAX: u8 = 1;
/// Tokens that two nodes can use in a window: saved ones, and those added within the window and, because loans of that
/// tick have not expired, in the tick before it.
const BOUND: u8 = 2 * (SAVED_MAX + REFILL * WINDOW as u8);
/// Number of ticks in which a loan can be used: the one in which it is lent, and the next.
const LOAN_TICKS: usize = 2;

/// A deliberate fault in the design: one of its rules is left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// No fault: the design as it is.
    None,
    /// A lender keeps the tokens that it lends.
    LenderKeepsTokens,
    /// A lender takes its tokens back when it learns nothing of the borrower.
    LostLoanIsReturned,
    /// Lent tokens do not expire.
    LoansDoNotExpire,
    /// A node starts with all the tokens that it can save.
    FullAtStart,
}

/// The state of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Node {
    /// Tokens of the node itself.
    pub saved: u8,
    /// Tokens borrowed from the other node, by their age in ticks.
    pub borrowed: [u8; LOAN_TICKS],
    /// Age in ticks of a token that this node lent and that is on its way.
    pub loan_in_flight: Option<usize>,
    /// Number of times that the node was restarted.
    pub restarts: u8,
}

/// A state of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    /// The current time in ticks.
    pub tick: u8,
    /// Both nodes.
    pub nodes: [Node; 2],
    /// Retries in each tick of the window that ends now, the current tick last.
    pub retries: [u8; WINDOW],
}

/// The model, with at most one rule left out.
#[derive(Debug, Clone, Copy)]
pub struct RetryLoanModel {
    /// The rule that is left out.
    pub mutation: Mutation,
}

impl Model for RetryLoanModel {
    type State = State;

    fn initial_state(&self) -> State {
        let node = Node { saved: SAVED_MAX, borrowed: [0; LOAN_TICKS], loan_in_flight: None, restarts: 0 };
        State { tick: 0, nodes: [node, node], retries: [0; WINDOW] }
    }

    fn next_states(&self, state: &State) -> Vec<State> {
        let mut next = Vec::new();
        if state.tick < TICKS_MAX {
            next.push(self.after_tick(state));
        }
        for index in 0..state.nodes.len() {
            let node = state.nodes[index];
            let mut push = |change: &dyn Fn(&mut State)| {
                let mut after = state.clone();
                change(&mut after);
                next.push(after);
            };
            if node.saved > 0 {
                push(&|after| {
                    after.nodes[index].saved -= 1;
                    after.retries[WINDOW - 1] += 1;
                });
            }
            for age in (0..LOAN_TICKS).filter(|age| node.borrowed[*age] > 0) {
                push(&|after| {
                    after.nodes[index].borrowed[age] -= 1;
                    after.retries[WINDOW - 1] += 1;
                });
            }
            if node.saved > 0 && node.loan_in_flight.is_none() {
                push(&|after| {
                    after.nodes[index].loan_in_flight = Some(0);
                    after.nodes[index].saved -= u8::from(self.mutation != Mutation::LenderKeepsTokens);
                });
            }
            if let Some(age) = node.loan_in_flight {
                push(&|after| {
                    after.nodes[index].loan_in_flight = None;
                    after.nodes[1 - index].borrowed[age] += 1;
                });
                push(&|after| after.nodes[index].loan_in_flight = None);
                if self.mutation == Mutation::LostLoanIsReturned {
                    push(&|after| after.nodes[index].saved = (node.saved + 1).min(SAVED_MAX));
                }
            }
            if node.restarts < RESTARTS_MAX {
                let saved = if self.mutation == Mutation::FullAtStart { SAVED_MAX } else { 0 };
                // A loan that is on its way arrives although its lender has restarted.
                push(&|after| {
                    let restarts = node.restarts + 1;
                    after.nodes[index] = Node { saved, borrowed: [0; LOAN_TICKS], restarts, ..node };
                });
            }
        }
        next
    }

    fn violated_invariant(&self, state: &State) -> Option<&'static str> {
        let retries = state.retries.iter().sum::<u8>();
        (retries > BOUND).then_some("more retries were made than the bound allows")
    }
}

impl RetryLoanModel {
    fn after_tick(&self, state: &State) -> State {
        let mut after = State { tick: state.tick + 1, ..state.clone() };
        after.retries.rotate_left(1);
        after.retries[WINDOW - 1] = 0;
        let expires = self.mutation != Mutation::LoansDoNotExpire;
        for node in &mut after.nodes {
            let [new, old] = node.borrowed;
            node.borrowed = [0, if expires { new } else { new + old }];
            node.loan_in_flight = node.loan_in_flight.and_then(|age| match age + 1 {
                LOAN_TICKS if expires => None,
                older => Some(older.min(LOAN_TICKS - 1)),
            });
            node.saved = (node.saved + REFILL).min(SAVED_MAX);
        }
        after
    }
}
