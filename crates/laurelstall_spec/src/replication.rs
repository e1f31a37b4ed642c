//! Replication of one document between nodes that restart, over links that fail.

use crate::search::Model;

/// Number of nodes.
const NODES: usize = 3;
/// Highest version that is published.
const VERSIONS: u8 = 3;
/// Maximum number of messages in transit at once.
const MESSAGES_MAX: usize = 2;

/// A deliberate fault in the design: one of its rules is left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// No fault: the design as it is.
    None,
    /// A node accepts any version that it receives, even an older one.
    AcceptsAnyVersion,
    /// A node that has just started serves before it has synchronized with its peers.
    ServesBeforeSync,
    /// Nodes run no anti-entropy exchanges with their peers.
    NoExchange,
}

/// A document in transit to a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Message {
    /// The index of the receiving node.
    pub to: u8,
    /// The version of the document.
    pub version: u8,
}

/// A state of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    /// The newest published version.
    pub published: u8,
    /// The version that each node holds; 0 if it holds none.
    pub versions: [u8; NODES],
    /// Whether each node serves calls.
    pub is_serving: [bool; NODES],
    /// Whether a serving node replaced its version by an older one, or a node started to serve with an
    /// older version than a peer that it reaches.
    pub has_regressed: bool,
    /// The node that is partitioned from the others; `None` when all links are up.
    pub partitioned: Option<u8>,
    /// Number of restarts of all nodes.
    pub restarts: u8,
    /// Documents in transit, in sorted order.
    pub messages: Vec<Message>,
}

/// The model, with at most one rule left out.
#[derive(Debug, Clone, Copy)]
pub struct ReplicationModel {
    /// The rule that is left out.
    pub mutation: Mutation,
}

impl Model for ReplicationModel {
    type State = State;

    fn initial_state(&self) -> State {
        State {
            published: 1,
            versions: [1; NODES],
            is_serving: [true; NODES],
            has_regressed: false,
            partitioned: None,
            restarts: 0,
            messages: Vec::new(),
        }
    }

    fn next_states(&self, state: &State) -> Vec<State> {
        let mut next = Vec::new();
        self.environment_steps(state, &mut next);
        for node in 0..NODES {
            self.read_steps(state, node, &mut next);
            self.restart_steps(state, node, &mut next);
        }
        self.message_steps(state, &mut next);
        next.extend(self.exchanges(state));
        next
    }

    fn violated_invariant(&self, state: &State) -> Option<&'static str> {
        if state.has_regressed {
            return Some("a node went back to an older version");
        }
        let is_stuck = state.messages.is_empty() && self.exchanges(state).iter().all(|after| after == state);
        let has_difference = pairs().any(|(a, b)| {
            is_linked(state, a, b) && both_serve(state, a, b) && state.versions[a] != state.versions[b]
        });
        (is_stuck && has_difference).then_some("connected nodes do not converge")
    }
}

impl ReplicationModel {
    fn environment_steps(&self, state: &State, next: &mut Vec<State>) {
        if state.published < VERSIONS {
            let mut after = state.clone();
            after.published += 1;
            next.push(after);
        }
        for partitioned in [None, Some(0), Some(1)] {
            let mut after = state.clone();
            after.partitioned = partitioned;
            next.push(after);
        }
    }

    /// Any node may read the platform, which may return any version up to the newest.
    fn read_steps(&self, state: &State, node: usize, next: &mut Vec<State>) {
        for version in 1..=state.published {
            next.push(self.receive(state, node, version));
        }
    }

    fn restart_steps(&self, state: &State, node: usize, next: &mut Vec<State>) {
        if state.restarts < 1 {
            let mut after = state.clone();
            after.restarts += 1;
            after.versions[node] = 0;
            after.is_serving[node] = false;
            next.push(after);
        }
        if !state.is_serving[node] {
            next.extend(self.join(state, node));
        }
    }

    /// Makes a node serve after it has synchronized with the serving peers that it reaches; returns `None`
    /// if it still has no version.
    fn join(&self, state: &State, node: usize) -> Option<State> {
        let peers = (0..NODES)
            .filter(|peer| *peer != node && is_linked(state, node, *peer) && state.is_serving[*peer]);
        let newest = peers.map(|peer| state.versions[peer]).max().unwrap_or(0);
        let mut after = state.clone();
        if self.mutation != Mutation::ServesBeforeSync {
            after.versions[node] = after.versions[node].max(newest);
        }
        if after.versions[node] == 0 {
            return None;
        }
        after.is_serving[node] = true;
        after.has_regressed |= after.versions[node] < newest;
        Some(after)
    }

    /// Sends a document, which may arrive at any later time, or delivers one.
    fn message_steps(&self, state: &State, next: &mut Vec<State>) {
        for (from, to) in pairs().flat_map(|(a, b)| [(a, b), (b, a)]) {
            let can_send =
                is_linked(state, from, to) && state.versions[from] > 0 && state.messages.len() < MESSAGES_MAX;
            let message = Message { to: to as u8, version: state.versions[from] };
            if can_send && !state.messages.contains(&message) {
                let mut after = state.clone();
                after.messages.push(message);
                after.messages.sort();
                next.push(after);
            }
        }
        for index in 0..state.messages.len() {
            let mut after = state.clone();
            let message = after.messages.remove(index);
            next.push(self.receive(&after, usize::from(message.to), message.version));
        }
    }

    fn exchanges(&self, state: &State) -> Vec<State> {
        if self.mutation == Mutation::NoExchange {
            return Vec::new();
        }
        let linked = pairs().filter(|(a, b)| is_linked(state, *a, *b) && both_serve(state, *a, *b));
        let exchange = |(a, b): (usize, usize)| {
            let newest = state.versions[a].max(state.versions[b]);
            let after = self.receive(state, a, newest);
            self.receive(&after, b, newest)
        };
        linked.map(exchange).collect()
    }

    fn receive(&self, state: &State, node: usize, version: u8) -> State {
        let mut after = state.clone();
        if version > state.versions[node] || self.mutation == Mutation::AcceptsAnyVersion {
            after.has_regressed |= state.is_serving[node] && version < state.versions[node];
            after.versions[node] = version;
        }
        after
    }
}

fn pairs() -> impl Iterator<Item = (usize, usize)> {
    (0..NODES).flat_map(|a| (a + 1..NODES).map(move |b| (a, b)))
}

fn is_linked(state: &State, a: usize, b: usize) -> bool {
    let is_partitioned = |node: usize| state.partitioned == Some(node as u8);
    !is_partitioned(a) && !is_partitioned(b)
}

fn both_serve(state: &State, a: usize, b: usize) -> bool {
    state.is_serving[a] && state.is_serving[b]
}
