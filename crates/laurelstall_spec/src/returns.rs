//! A store that comes back from an older copy, its readers, and the nodes that these tell.
//!
//! The store counts revisions, which go back with it. Operators count the versions of the configuration themselves and
//! write the newest again; a target says that it leaves, and says so again. Each node reads the store by whole lists or by
//! following what came after the revision that it knows, takes from others what is newer, and may be started anew.

use crate::search::Model;

/// Nodes of the model; each of them may read the store.
const NODES: usize = 2;
/// Changes that operators and the target make at most, those that they write again left out.
const WRITES_MAX: u8 = 3;
/// Times that the store comes back.
const RETURNS_MAX: u8 = 2;

/// A rule that can be left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Weakness {
    /// None: the design as it is.
    None,
    /// A reader follows the store from the revision that it knows, whatever era the answer is of.
    KeepsRevision,
    /// Of two lists, nodes hold the one with the higher revision for the newer one, whatever era it is of.
    ComparesRevisions,
    /// Configurations are ordered by the store's revision, not by their own version.
    OrdersByRevision,
    /// What a target said before the return is not held against the copy's word.
    TakesCopysWord,
    /// A node that has just started takes the store's word without asking others.
    JoinsAlone,
}

/// What stands in the store: each item with the revision of its last change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Stored {
    /// The revision of the last change.
    pub revision: u8,
    /// Version of the configuration, and its revision.
    pub configuration: (u8, u8),
    /// Whether the target is listed as leaving, and the revision of that.
    pub leaving: (bool, u8),
}

/// What a node knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Node {
    /// Whether it has joined and serves.
    pub serves: bool,
    /// The era and the revision up to which it has read the store itself; none before its first read.
    pub read: Option<(u8, u8)>,
    /// What it has read of the store.
    pub mirror: Stored,
    /// Version of the configuration in force, and the revision under which it was read.
    pub configuration: (u8, u8),
    /// Era and revision of the list in force.
    pub list: (u8, u8),
    /// Whether the list in force shows the target as leaving.
    pub listed_leaving: bool,
    /// Whether it remembers that the target said that it leaves.
    pub remembers: bool,
}

/// A state of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    /// Times that the store came back.
    pub era: u8,
    /// What it has.
    pub stored: Stored,
    /// What it had when it was copied.
    pub copy: Stored,
    /// The newest version that operators wrote.
    pub newest: u8,
    /// Whether the target said that it leaves, and was told that this is written down.
    pub has_left: bool,
    /// Changes made.
    pub writes: u8,
    /// Whether a node was started anew.
    pub restarts: u8,
    /// The nodes.
    pub nodes: [Node; NODES],
    /// A rule that a node broke by a step.
    pub broken: Option<&'static str>,
}

/// The model with one rule left out.
#[derive(Debug, Clone, Copy)]
pub struct ReturnModel {
    /// The rule.
    pub weakness: Weakness,
}

const FIRST: Stored = Stored { revision: 1, configuration: (1, 1), leaving: (false, 1) };
const STARTED: Node = Node {
    serves: false,
    read: None,
    mirror: Stored { revision: 0, configuration: (0, 0), leaving: (false, 0) },
    configuration: (0, 0),
    list: (0, 0),
    listed_leaving: false,
    remembers: false,
};

impl Model for ReturnModel {
    type State = State;

    fn start(&self) -> State {
        let node = Node {
            serves: true,
            read: Some((0, 1)),
            mirror: FIRST,
            configuration: (1, 1),
            list: (0, 1),
            ..STARTED
        };
        State {
            era: 0,
            stored: FIRST,
            copy: FIRST,
            newest: 1,
            has_left: false,
            writes: 0,
            restarts: 0,
            nodes: [node; NODES],
            broken: None,
        }
    }

    fn steps(&self, state: &State) -> Vec<State> {
        let mut next = Vec::new();
        self.world_steps(state, &mut next);
        for node in 0..NODES {
            next.push(self.read(state, node));
            next.extend(self.restart(state, node));
            next.extend(self.join(state, node));
        }
        next.extend(self.exchange(state));
        next
    }

    fn broken(&self, state: &State) -> Option<&'static str> {
        if state.broken.is_some() {
            return state.broken;
        }
        if !self.is_settled(state) {
            return None;
        }
        let is_written = state.stored.configuration.0 == state.newest;
        if is_written && state.nodes.iter().any(|node| node.configuration.0 != state.newest) {
            return Some("a configuration that was written again is not in force");
        }
        let list = (state.era, state.stored.revision);
        if state.nodes.iter().any(|node| node.list != list) {
            return Some("nodes that have read the store hold another list");
        }
        None
    }
}

impl ReturnModel {
    /// Operators and the target write, and write again what the store has lost; the store is copied and comes back.
    fn world_steps(&self, state: &State, next: &mut Vec<State>) {
        if state.writes < WRITES_MAX {
            let mut after = state.clone();
            after.writes += 1;
            after.newest += 1;
            next.push(written(after));
        }
        if !state.has_left && state.writes < WRITES_MAX {
            let mut after = state.clone();
            after.writes += 1;
            after.has_left = true;
            next.push(written(after));
        }
        let is_lost = state.stored.configuration.0 < state.newest || state.stored.leaving.0 != state.has_left;
        if is_lost {
            next.push(written(state.clone()));
        }
        if state.copy != state.stored {
            let mut after = state.clone();
            after.copy = state.stored;
            next.push(after);
        }
        if state.era < RETURNS_MAX {
            let mut after = state.clone();
            after.era += 1;
            after.stored = state.copy;
            next.push(after);
        }
    }

    /// A node reads the store: what came since it read last, or all.
    fn read(&self, state: &State, node: usize) -> State {
        let known = state.nodes[node].read;
        let stored = state.stored;
        let follows = match known {
            Some((_, revision)) if self.weakness == Weakness::KeepsRevision => revision <= stored.revision,
            Some((era, _)) => era == state.era,
            None => false,
        };
        let after_revision = if follows { known.map_or(0, |(_, revision)| revision) } else { 0 };
        let mut after = state.clone();
        let reader = &mut after.nodes[node];
        if !follows {
            reader.mirror = stored;
        }
        if stored.configuration.1 > after_revision {
            reader.mirror.configuration = stored.configuration;
        }
        if stored.leaving.1 > after_revision {
            reader.mirror.leaving = stored.leaving;
        }
        reader.mirror.revision = stored.revision;
        reader.read = Some((state.era, stored.revision));
        let (configuration, leaving) = (reader.mirror.configuration, reader.mirror.leaving.0);
        self.take_configuration(&mut after, node, configuration);
        self.take_list(&mut after, node, (state.era, stored.revision), leaving);
        after
    }

    fn restart(&self, state: &State, node: usize) -> Option<State> {
        (state.restarts < 1).then(|| {
            let mut after = state.clone();
            after.restarts += 1;
            after.nodes[node] = STARTED;
            after
        })
    }

    /// A node that has read the store serves once it asked those that serve.
    fn join(&self, state: &State, node: usize) -> Option<State> {
        let started = &state.nodes[node];
        if started.serves || started.read.is_none() {
            return None;
        }
        let mut after = state.clone();
        if self.weakness != Weakness::JoinsAlone {
            for other in (0..NODES).filter(|other| state.nodes[*other].serves) {
                after = self.take_from(&after, node, other);
            }
        }
        after.nodes[node].serves = true;
        let others = state.nodes.iter().filter(|other| other.serves);
        if others.clone().any(|other| other.configuration.0 > after.nodes[node].configuration.0) {
            after.broken = Some("a node serves by an older configuration than others hold");
        }
        let knows = |other: &Node| other.listed_leaving || other.remembers;
        if others.clone().any(knows) && !knows(&after.nodes[node]) {
            after.broken = Some("a target that said it leaves is in service again");
        }
        Some(after)
    }

    /// Two nodes that serve take from each other what is newer.
    fn exchange(&self, state: &State) -> Option<State> {
        if !state.nodes.iter().all(|node| node.serves) {
            return None;
        }
        let after = self.take_from(state, 0, 1);
        Some(self.take_from(&after, 1, 0))
    }

    fn take_from(&self, state: &State, node: usize, other: usize) -> State {
        let theirs = state.nodes[other];
        let mut after = state.clone();
        self.take_configuration(&mut after, node, theirs.configuration);
        self.take_list(&mut after, node, theirs.list, theirs.listed_leaving);
        // What it remembers is told as well.
        if self.weakness != Weakness::TakesCopysWord && (theirs.remembers || theirs.listed_leaving) {
            after.nodes[node].remembers = true;
        }
        after
    }

    fn take_configuration(&self, state: &mut State, node: usize, offered: (u8, u8)) {
        let held = state.nodes[node].configuration;
        let is_newer = match self.weakness {
            Weakness::OrdersByRevision => offered.1 > held.1,
            _ => offered.0 > held.0,
        };
        if !is_newer {
            return;
        }
        if state.nodes[node].serves && offered.0 < held.0 {
            state.broken = Some("a node went back to an older configuration");
        }
        state.nodes[node].configuration = offered;
    }

    fn take_list(&self, state: &mut State, node: usize, version: (u8, u8), is_leaving: bool) {
        let held = state.nodes[node];
        let is_newer = match self.weakness {
            Weakness::ComparesRevisions => version.1 > held.list.1,
            _ => version > held.list,
        };
        if !is_newer {
            return;
        }
        let taken = &mut state.nodes[node];
        if self.weakness != Weakness::TakesCopysWord {
            taken.remembers |= held.listed_leaving;
        }
        taken.list = version;
        taken.listed_leaving = is_leaving;
        let knew = held.listed_leaving || held.remembers;
        if held.serves && knew && !is_leaving && !taken.remembers {
            state.broken = Some("a target that said it leaves is in service again");
        }
    }

    /// Whether no read and no exchange changes anything: all that can be heard was heard.
    fn is_settled(&self, state: &State) -> bool {
        let read = (0..NODES).all(|node| self.read(state, node) == *state);
        read && state.nodes.iter().all(|node| node.serves) && self.exchange(state).as_ref() == Some(state)
    }
}

/// What operators and the target said, as the store has it after they have written all of it that it lacks.
fn written(mut state: State) -> State {
    if state.stored.configuration.0 < state.newest {
        state.stored.revision += 1;
        state.stored.configuration = (state.newest, state.stored.revision);
    }
    if state.stored.leaving.0 != state.has_left {
        state.stored.revision += 1;
        state.stored.leaving = (state.has_left, state.stored.revision);
    }
    state
}
