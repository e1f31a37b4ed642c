//! A store that is restored from older copies, and the nodes that read it and exchange what they have
//! read.
//!
//! The store counts revisions; a restore also sets this count back. Operators number the versions of the
//! configuration and write the newest one again if a restore has lost it; a target announces that it
//! leaves and repeats the announcement. Each node reads the store in full or incrementally from the last
//! revision that it has read, accepts newer data from its peers, and may restart.

use crate::search::Model;

/// Number of nodes; each of them may read the store.
const NODES: usize = 2;
/// Maximum number of changes by operators and the target, not counting repeated writes.
const WRITES_MAX: u8 = 3;
/// Maximum number of restores of the store.
const RESTORES_MAX: u8 = 2;

/// A deliberate fault in the design: one of its rules is left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// No fault: the design as it is.
    None,
    /// A reader continues from its last revision without comparing the era.
    IgnoresEraOnRead,
    /// Nodes order target lists by revision alone and ignore the era.
    OrdersListsByRevision,
    /// Nodes order configurations by the store's revision instead of their own version.
    OrdersConfigurationsByRevision,
    /// Nodes forget that a target leaves when the restored store does not list it as leaving.
    ForgetsLeaving,
    /// A node that has just started serves with the data of the store, without synchronizing with its
    /// peers.
    JoinsWithoutSync,
}

/// The contents of the store: each item with the revision of its last change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct StoreContents {
    /// The revision of the last change.
    pub revision: u8,
    /// The version of the configuration and the revision at which it was written.
    pub configuration: (u8, u8),
    /// Whether the target is listed as leaving and the revision at which this was written.
    pub leaving: (bool, u8),
}

/// The state of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Node {
    /// Whether the node has joined and serves calls.
    pub is_serving: bool,
    /// The era and the revision of the node's last read of the store; `None` before its first read.
    pub last_read: Option<(u8, u8)>,
    /// The store's contents as the node has read them.
    pub mirror: StoreContents,
    /// The version of the active configuration and the revision at which it was written.
    pub configuration: (u8, u8),
    /// The era and the revision of the active target list.
    pub list_version: (u8, u8),
    /// Whether the active target list shows the target as leaving.
    pub listed_leaving: bool,
    /// Whether the node remembers that the target has announced that it leaves.
    pub remembers_leaving: bool,
}

/// A state of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    /// Number of restores of the store from an older copy.
    pub era: u8,
    /// The store's current contents.
    pub store: StoreContents,
    /// The store's contents at its last copy, which a restore brings back.
    pub saved_copy: StoreContents,
    /// The newest version of the configuration that operators have written.
    pub newest_version: u8,
    /// Whether the target has announced that it leaves, and the store has confirmed the write.
    pub has_announced_leaving: bool,
    /// Number of changes made.
    pub writes: u8,
    /// Number of restarts of all nodes.
    pub restarts: u8,
    /// The state of each node.
    pub nodes: [Node; NODES],
    /// The invariant that a node has violated by a step; `None` if there is none.
    pub violation: Option<&'static str>,
}

/// The model, with at most one rule left out.
#[derive(Debug, Clone, Copy)]
pub struct RestoreModel {
    /// The rule that is left out.
    pub mutation: Mutation,
}

const INITIAL_CONTENTS: StoreContents =
    StoreContents { revision: 1, configuration: (1, 1), leaving: (false, 1) };
const RESTARTED_NODE: Node = Node {
    is_serving: false,
    last_read: None,
    mirror: StoreContents { revision: 0, configuration: (0, 0), leaving: (false, 0) },
    configuration: (0, 0),
    list_version: (0, 0),
    listed_leaving: false,
    remembers_leaving: false,
};

impl Model for RestoreModel {
    type State = State;

    fn initial_state(&self) -> State {
        let node = Node {
            is_serving: true,
            last_read: Some((0, 1)),
            mirror: INITIAL_CONTENTS,
            configuration: (1, 1),
            list_version: (0, 1),
            ..RESTARTED_NODE
        };
        State {
            era: 0,
            store: INITIAL_CONTENTS,
            saved_copy: INITIAL_CONTENTS,
            newest_version: 1,
            has_announced_leaving: false,
            writes: 0,
            restarts: 0,
            nodes: [node; NODES],
            violation: None,
        }
    }

    fn next_states(&self, state: &State) -> Vec<State> {
        let mut next = Vec::new();
        self.environment_steps(state, &mut next);
        for node in 0..NODES {
            next.push(self.read_store(state, node));
            next.extend(self.restart(state, node));
            next.extend(self.join(state, node));
        }
        next.extend(self.exchange(state));
        next
    }

    fn violated_invariant(&self, state: &State) -> Option<&'static str> {
        if state.violation.is_some() {
            return state.violation;
        }
        if !self.is_quiescent(state) {
            return None;
        }
        let is_stored = state.store.configuration.0 == state.newest_version;
        if is_stored && state.nodes.iter().any(|node| node.configuration.0 != state.newest_version) {
            return Some("a configuration that was written again is not active");
        }
        let list_version = (state.era, state.store.revision);
        if state.nodes.iter().any(|node| node.list_version != list_version) {
            return Some("nodes that have read the store hold a different list");
        }
        None
    }
}

impl RestoreModel {
    /// Operators and the target write changes and repeat those that the store has lost; the store is
    /// copied and restored.
    fn environment_steps(&self, state: &State, next: &mut Vec<State>) {
        if state.writes < WRITES_MAX {
            let mut after = state.clone();
            after.writes += 1;
            after.newest_version += 1;
            next.push(write_missing(after));
        }
        if !state.has_announced_leaving && state.writes < WRITES_MAX {
            let mut after = state.clone();
            after.writes += 1;
            after.has_announced_leaving = true;
            next.push(write_missing(after));
        }
        let is_missing = state.store.configuration.0 < state.newest_version
            || state.store.leaving.0 != state.has_announced_leaving;
        if is_missing {
            next.push(write_missing(state.clone()));
        }
        if state.saved_copy != state.store {
            let mut after = state.clone();
            after.saved_copy = state.store;
            next.push(after);
        }
        if state.era < RESTORES_MAX {
            let mut after = state.clone();
            after.era += 1;
            after.store = state.saved_copy;
            next.push(after);
        }
    }

    /// Makes a node read the store: incrementally since its last read, or in full.
    fn read_store(&self, state: &State, node: usize) -> State {
        let last_read = state.nodes[node].last_read;
        let store = state.store;
        let is_incremental = match last_read {
            Some((_, revision)) if self.mutation == Mutation::IgnoresEraOnRead => revision <= store.revision,
            Some((era, _)) => era == state.era,
            None => false,
        };
        let since_revision = if is_incremental { last_read.map_or(0, |(_, revision)| revision) } else { 0 };
        let mut after = state.clone();
        let reader = &mut after.nodes[node];
        if !is_incremental {
            reader.mirror = store;
        }
        if store.configuration.1 > since_revision {
            reader.mirror.configuration = store.configuration;
        }
        if store.leaving.1 > since_revision {
            reader.mirror.leaving = store.leaving;
        }
        reader.mirror.revision = store.revision;
        reader.last_read = Some((state.era, store.revision));
        let (configuration, leaving) = (reader.mirror.configuration, reader.mirror.leaving.0);
        self.offer_configuration(&mut after, node, configuration);
        self.offer_list(&mut after, node, (state.era, store.revision), leaving);
        after
    }

    fn restart(&self, state: &State, node: usize) -> Option<State> {
        (state.restarts < 1).then(|| {
            let mut after = state.clone();
            after.restarts += 1;
            after.nodes[node] = RESTARTED_NODE;
            after
        })
    }

    /// Makes a node that has read the store serve, after it has synchronized with its serving peers.
    fn join(&self, state: &State, node: usize) -> Option<State> {
        let joining = &state.nodes[node];
        if joining.is_serving || joining.last_read.is_none() {
            return None;
        }
        let mut after = state.clone();
        if self.mutation != Mutation::JoinsWithoutSync {
            for peer in (0..NODES).filter(|peer| state.nodes[*peer].is_serving) {
                after = self.sync_from_peer(&after, node, peer);
            }
        }
        after.nodes[node].is_serving = true;
        let serving_peers = state.nodes.iter().filter(|peer| peer.is_serving);
        if serving_peers.clone().any(|peer| peer.configuration.0 > after.nodes[node].configuration.0) {
            after.violation = Some("a node serves with an older configuration than its peers hold");
        }
        let knows_leaving = |peer: &Node| peer.listed_leaving || peer.remembers_leaving;
        if serving_peers.clone().any(knows_leaving) && !knows_leaving(&after.nodes[node]) {
            after.violation = Some("a target that announced that it leaves is in service again");
        }
        Some(after)
    }

    /// Exchanges newer data between both nodes, if both serve.
    fn exchange(&self, state: &State) -> Option<State> {
        if !state.nodes.iter().all(|node| node.is_serving) {
            return None;
        }
        let after = self.sync_from_peer(state, 0, 1);
        Some(self.sync_from_peer(&after, 1, 0))
    }

    fn sync_from_peer(&self, state: &State, node: usize, peer: usize) -> State {
        let received = state.nodes[peer];
        let mut after = state.clone();
        self.offer_configuration(&mut after, node, received.configuration);
        self.offer_list(&mut after, node, received.list_version, received.listed_leaving);
        // The peer also sends the departures that it remembers.
        if self.mutation != Mutation::ForgetsLeaving
            && (received.remembers_leaving || received.listed_leaving)
        {
            after.nodes[node].remembers_leaving = true;
        }
        after
    }

    /// Makes a node adopt the offered configuration if it is newer than its own.
    fn offer_configuration(&self, state: &mut State, node: usize, offered: (u8, u8)) {
        let current = state.nodes[node].configuration;
        let is_newer = match self.mutation {
            Mutation::OrdersConfigurationsByRevision => offered.1 > current.1,
            _ => offered.0 > current.0,
        };
        if !is_newer {
            return;
        }
        if state.nodes[node].is_serving && offered.0 < current.0 {
            state.violation = Some("a node went back to an older configuration");
        }
        state.nodes[node].configuration = offered;
    }

    /// Makes a node adopt the offered target list if it is newer than its own.
    fn offer_list(&self, state: &mut State, node: usize, version: (u8, u8), is_leaving: bool) {
        let current = state.nodes[node];
        let is_newer = match self.mutation {
            Mutation::OrdersListsByRevision => version.1 > current.list_version.1,
            _ => version > current.list_version,
        };
        if !is_newer {
            return;
        }
        let updated = &mut state.nodes[node];
        if self.mutation != Mutation::ForgetsLeaving {
            updated.remembers_leaving |= current.listed_leaving;
        }
        updated.list_version = version;
        updated.listed_leaving = is_leaving;
        let knew_leaving = current.listed_leaving || current.remembers_leaving;
        if current.is_serving && knew_leaving && !is_leaving && !updated.remembers_leaving {
            state.violation = Some("a target that announced that it leaves is in service again");
        }
    }

    /// Whether all nodes serve and no further read or exchange changes the state.
    fn is_quiescent(&self, state: &State) -> bool {
        let is_fully_read = (0..NODES).all(|node| self.read_store(state, node) == *state);
        is_fully_read
            && state.nodes.iter().all(|node| node.is_serving)
            && self.exchange(state).as_ref() == Some(state)
    }
}

/// Writes to the store all changes by operators and the target that it lacks.
fn write_missing(mut state: State) -> State {
    if state.store.configuration.0 < state.newest_version {
        state.store.revision += 1;
        state.store.configuration = (state.newest_version, state.store.revision);
    }
    if state.store.leaving.0 != state.has_announced_leaving {
        state.store.revision += 1;
        state.store.leaving = (state.has_announced_leaving, state.store.revision);
    }
    state
}
