//! Breadth-first exploration of a model's states.

use pathfinding::prelude::{bfs, bfs_reach};
use std::{fmt::Debug, hash::Hash};

/// A state machine with an invariant that must hold in every reachable state.
pub trait Model {
    /// A state of the model.
    type State: Clone + Eq + Hash + Debug;

    /// Returns the state in which every history starts.
    fn initial_state(&self) -> Self::State;

    /// Returns all states that one step leads to.
    fn next_states(&self, state: &Self::State) -> Vec<Self::State>;

    /// Returns the invariant that `state` violates, or `None` if all hold.
    fn violated_invariant(&self, state: &Self::State) -> Option<&'static str>;
}

/// The result of a search.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SearchResult<S> {
    /// Number of reachable states; 0 if there is a counterexample.
    pub state_count: usize,
    /// The violated invariant and a shortest path to it; `None` if all invariants hold.
    pub counterexample: Option<(&'static str, Vec<S>)>,
}

/// Explores all reachable states of a model, up to the first violated invariant.
pub fn search<M: Model>(model: &M) -> SearchResult<M::State> {
    let path = bfs(
        &model.initial_state(),
        |state| model.next_states(state),
        |state| model.violated_invariant(state).is_some(),
    );
    let counterexample = path.and_then(|path| {
        let invariant = model.violated_invariant(path.last()?)?;
        Some((invariant, path))
    });
    let state_count = match counterexample {
        Some(_) => 0,
        None => bfs_reach(model.initial_state(), |state| model.next_states(state)).count(),
    };
    SearchResult { state_count, counterexample }
}
