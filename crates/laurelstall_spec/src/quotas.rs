//! One share of a quota whose ownership moves from one node to another while host lists arrive late.

use crate::search::Model;

/// Number of ticks that are explored.
const TICKS_MAX: u8 = 9;
/// Capacity of the token bucket, in tokens; each tick adds one token.
const BUCKET_SIZE: u8 = 2;
/// Tokens in the bucket of an owner that has just started or taken over.
const START_TOKENS: u8 = 1;
/// Ticks after which a connected node has received a new host list at the latest.
const LIST_DELAY_MAX: u8 = 2;
/// Ticks without contact after which an owner grants no more tokens.
const CONTACT_LOSS_MAX: u8 = 2;
/// Ticks that a new owner waits before it grants tokens.
const HANDOVER_WAIT: u8 = 3;
/// Extra tokens that the bound allows for each restart of the new owner. A restart skips the handover
/// wait, so both owners grant tokens until the earlier one stops.
const OVERLAP_ALLOWANCE: u8 = CONTACT_LOSS_MAX + LIST_DELAY_MAX;
/// Maximum number of restarts of each node.
const RESTARTS_MAX: u8 = 1;

/// A deliberate fault in the design: one of its rules is left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// No fault: the design as it is.
    None,
    /// A new owner does not wait until the previous one has stopped.
    NoHandoverWait,
    /// An owner that has lost contact keeps granting tokens.
    GrantsWithoutContact,
    /// The bucket is full when its owner starts.
    FullBucketAtStart,
}

/// The state of a node that matters to the share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Node {
    /// Whether the node has the host list that moves the share.
    pub knows_move: bool,
    /// Ticks since the node last had contact, counted up to one above `CONTACT_LOSS_MAX`.
    pub ticks_without_contact: u8,
    /// Whether the node is partitioned from all others.
    pub is_partitioned: bool,
    /// Tokens in the node's bucket.
    pub tokens: u8,
    /// Tick from which the node may grant tokens.
    pub grants_from: u8,
    /// Number of times that the node was restarted.
    pub restarts: u8,
}

/// A state of the model: the first node owns the share before the move, the second one after it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    /// The current time in ticks.
    pub tick: u8,
    /// Tick at which a new host list moved the share; `None` before that.
    pub moved_at: Option<u8>,
    /// Both nodes: the first owns the share before the move, the second after it.
    pub nodes: [Node; 2],
    /// Number of tokens granted by both nodes.
    pub granted: u8,
}

/// The model, with at most one rule left out.
#[derive(Debug, Clone, Copy)]
pub struct QuotaModel {
    /// The rule that is left out.
    pub mutation: Mutation,
}

impl Model for QuotaModel {
    type State = State;

    fn initial_state(&self) -> State {
        let node = Node {
            knows_move: false,
            ticks_without_contact: 0,
            is_partitioned: false,
            tokens: BUCKET_SIZE,
            grants_from: 0,
            restarts: 0,
        };
        State { tick: 0, moved_at: None, nodes: [node, Node { tokens: 0, ..node }], granted: 0 }
    }

    fn next_states(&self, state: &State) -> Vec<State> {
        let mut next = Vec::new();
        if state.tick < TICKS_MAX {
            next.push(self.after_tick(state));
        }
        if state.moved_at.is_none() {
            next.push(State { moved_at: Some(state.tick), ..state.clone() });
        }
        for index in 0..state.nodes.len() {
            let mut push = |node: Node, granted: u8| {
                let mut after = state.clone();
                after.nodes[index] = node;
                after.granted += granted;
                next.push(after);
            };
            let node = state.nodes[index];
            if !node.is_partitioned {
                push(Node { is_partitioned: true, ..node }, 0);
            }
            if state.moved_at.is_some() && !node.is_partitioned && !node.knows_move {
                push(self.learn_move(index, node, state.tick), 0);
            }
            if node.restarts < RESTARTS_MAX {
                push(self.restarted(state, node), 0);
            }
            if self.may_grant(index, &node, state.tick) {
                push(Node { tokens: node.tokens - 1, ..node }, 1);
            }
        }
        next
    }

    fn violated_invariant(&self, state: &State) -> Option<&'static str> {
        let restarts = state.nodes.iter().map(|node| node.restarts).sum::<u8>();
        // A handover creates a new bucket, which starts with as many tokens as one after a restart.
        let handovers = u8::from(state.moved_at.is_some());
        let overlap = if state.moved_at.is_some() { state.nodes[1].restarts * OVERLAP_ALLOWANCE } else { 0 };
        let bound = BUCKET_SIZE + state.tick + (restarts + handovers) * START_TOKENS + overlap;
        (state.granted > bound).then_some("more tokens were granted than the bound allows")
    }
}

impl QuotaModel {
    fn after_tick(&self, state: &State) -> State {
        let tick = state.tick + 1;
        let mut after = State { tick, ..state.clone() };
        for index in 0..after.nodes.len() {
            let node = &mut after.nodes[index];
            node.ticks_without_contact = if node.is_partitioned {
                (node.ticks_without_contact + 1).min(CONTACT_LOSS_MAX + 1)
            } else {
                0
            };
            let is_owner = node.knows_move == (index == 1);
            if is_owner && tick > node.grants_from {
                node.tokens = (node.tokens + 1).min(BUCKET_SIZE);
            }
            let is_list_delivered = state.moved_at.is_some_and(|moved_at| moved_at + LIST_DELAY_MAX <= tick);
            if is_list_delivered && !node.is_partitioned && !node.knows_move {
                *node = self.learn_move(index, *node, tick);
            }
        }
        after
    }

    fn learn_move(&self, index: usize, node: Node, tick: u8) -> Node {
        let wait = if self.mutation == Mutation::NoHandoverWait { 0 } else { HANDOVER_WAIT };
        let grants_from = if index == 1 { tick + wait } else { node.grants_from };
        let tokens = if index == 1 { START_TOKENS } else { node.tokens };
        Node { knows_move: true, grants_from, tokens, ..node }
    }

    /// Restarts a node. It reads the newest host list if it is connected; a partitioned one has no
    /// contact.
    fn restarted(&self, state: &State, node: Node) -> Node {
        let tokens = if self.mutation == Mutation::FullBucketAtStart { BUCKET_SIZE } else { START_TOKENS };
        let ticks_without_contact = if node.is_partitioned { CONTACT_LOSS_MAX + 1 } else { 0 };
        let knows_move = state.moved_at.is_some() && !node.is_partitioned || node.knows_move;
        Node {
            tokens,
            ticks_without_contact,
            knows_move,
            grants_from: 0,
            restarts: node.restarts + 1,
            ..node
        }
    }

    fn may_grant(&self, index: usize, node: &Node, tick: u8) -> bool {
        let is_owner = node.knows_move == (index == 1);
        let is_connected =
            node.ticks_without_contact <= CONTACT_LOSS_MAX || self.mutation == Mutation::GrantsWithoutContact;
        is_owner && is_connected && tick >= node.grants_from && node.tokens > 0
    }
}
