//! Spreading of one document over nodes that restart and links that break.

use crate::search::Model;

/// Nodes of the model.
const NODES: usize = 3;
/// Versions that are published.
const VERSIONS: u8 = 3;
/// Messages on their way at once.
const MESSAGES_MAX: usize = 2;

/// A rule that can be left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Weakness {
    /// None: the design as it is.
    None,
    /// A node takes whatever version comes.
    TakesAny,
    /// A node that has just started serves before it asked its peers.
    ServesBeforeAsking,
    /// Nodes compare versions only when the platform tells of news.
    NoExchange,
}

/// A document on its way to a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Message {
    /// To whom.
    pub to: u8,
    /// Which version.
    pub version: u8,
}

/// A state of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    /// The newest version published.
    pub published: u8,
    /// The version each node holds; 0 for none.
    pub held: [u8; NODES],
    /// Whether each node serves.
    pub serves: [bool; NODES],
    /// Whether a node went back while it served, or served something older than what it could
    /// have asked for.
    pub went_back: bool,
    /// Which node is cut off from the others; none when all links are up.
    pub cut_off: Option<u8>,
    /// Whether somebody restarted.
    pub restarts: u8,
    /// Late documents.
    pub messages: Vec<Message>,
}

/// The model with one rule left out.
#[derive(Debug, Clone, Copy)]
pub struct SpreadModel {
    /// The rule.
    pub weakness: Weakness,
}

impl Model for SpreadModel {
    type State = State;

    fn start(&self) -> State {
        State {
            published: 1,
            held: [1; NODES],
            serves: [true; NODES],
            went_back: false,
            cut_off: None,
            restarts: 0,
            messages: Vec::new(),
        }
    }

    fn steps(&self, state: &State) -> Vec<State> {
        let mut next = Vec::new();
        self.world_steps(state, &mut next);
        for node in 0..NODES {
            self.read_steps(state, node, &mut next);
            self.restart_steps(state, node, &mut next);
        }
        self.message_steps(state, &mut next);
        next.extend(self.exchanges(state));
        next
    }

    fn broken(&self, state: &State) -> Option<&'static str> {
        if state.went_back {
            return Some("a node went back to an older version");
        }
        let is_stuck = state.messages.is_empty() && self.exchanges(state).iter().all(|after| after == state);
        let differ = pairs().any(|(a, b)| {
            is_linked(state, a, b) && both_serve(state, a, b) && state.held[a] != state.held[b]
        });
        (is_stuck && differ).then_some("nodes that reach each other stay apart")
    }
}

impl SpreadModel {
    fn world_steps(&self, state: &State, next: &mut Vec<State>) {
        if state.published < VERSIONS {
            let mut after = state.clone();
            after.published += 1;
            next.push(after);
        }
        for cut_off in [None, Some(0), Some(1)] {
            let mut after = state.clone();
            after.cut_off = cut_off;
            next.push(after);
        }
    }

    /// Any node may read the platform, which may show any version up to the newest.
    fn read_steps(&self, state: &State, node: usize, next: &mut Vec<State>) {
        for shown in 1..=state.published {
            next.push(self.take(state, node, shown));
        }
    }

    fn restart_steps(&self, state: &State, node: usize, next: &mut Vec<State>) {
        if state.restarts < 1 {
            let mut after = state.clone();
            after.restarts += 1;
            after.held[node] = 0;
            after.serves[node] = false;
            next.push(after);
        }
        if !state.serves[node] {
            next.extend(self.join(state, node));
        }
    }

    /// A node that started asks those it reaches before it serves.
    fn join(&self, state: &State, node: usize) -> Option<State> {
        let peers =
            (0..NODES).filter(|peer| *peer != node && is_linked(state, node, *peer) && state.serves[*peer]);
        let newest = peers.map(|peer| state.held[peer]).max().unwrap_or(0);
        let mut after = state.clone();
        if self.weakness != Weakness::ServesBeforeAsking {
            after.held[node] = after.held[node].max(newest);
        }
        if after.held[node] == 0 {
            return None;
        }
        after.serves[node] = true;
        after.went_back |= after.held[node] < newest;
        Some(after)
    }

    /// Sends a document that may arrive at any later instant, or lets one arrive.
    fn message_steps(&self, state: &State, next: &mut Vec<State>) {
        for (from, to) in pairs().flat_map(|(a, b)| [(a, b), (b, a)]) {
            let is_sent =
                is_linked(state, from, to) && state.held[from] > 0 && state.messages.len() < MESSAGES_MAX;
            let message = Message { to: to as u8, version: state.held[from] };
            if is_sent && !state.messages.contains(&message) {
                let mut after = state.clone();
                after.messages.push(message);
                after.messages.sort();
                next.push(after);
            }
        }
        for index in 0..state.messages.len() {
            let mut after = state.clone();
            let message = after.messages.remove(index);
            next.push(self.take(&after, usize::from(message.to), message.version));
        }
    }

    fn exchanges(&self, state: &State) -> Vec<State> {
        if self.weakness == Weakness::NoExchange {
            return Vec::new();
        }
        let linked = pairs().filter(|(a, b)| is_linked(state, *a, *b) && both_serve(state, *a, *b));
        let exchange = |(a, b): (usize, usize)| {
            let newest = state.held[a].max(state.held[b]);
            let after = self.take(state, a, newest);
            self.take(&after, b, newest)
        };
        linked.map(exchange).collect()
    }

    fn take(&self, state: &State, node: usize, version: u8) -> State {
        let mut after = state.clone();
        if version > state.held[node] || self.weakness == Weakness::TakesAny {
            after.went_back |= state.serves[node] && version < state.held[node];
            after.held[node] = version;
        }
        after
    }
}

fn pairs() -> impl Iterator<Item = (usize, usize)> {
    (0..NODES).flat_map(|a| (a + 1..NODES).map(move |b| (a, b)))
}

fn is_linked(state: &State, a: usize, b: usize) -> bool {
    let is_cut = |node: usize| state.cut_off == Some(node as u8);
    !is_cut(a) && !is_cut(b)
}

fn both_serve(state: &State, a: usize, b: usize) -> bool {
    state.serves[a] && state.serves[b]
}
