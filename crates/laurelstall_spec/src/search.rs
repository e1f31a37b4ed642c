//! Exploring a model.

use pathfinding::prelude::{bfs, bfs_reach};
use std::{fmt::Debug, hash::Hash};

/// A state with its possible steps.
pub trait Model {
    /// One state.
    type State: Clone + Eq + Hash + Debug;

    /// Where it starts.
    fn start(&self) -> Self::State;

    /// All states that one step leads to.
    fn steps(&self, state: &Self::State) -> Vec<Self::State>;

    /// The invariant that a state breaks.
    fn broken(&self, state: &Self::State) -> Option<&'static str>;
}

/// What a search found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Found<S> {
    /// States that can be reached.
    pub states: usize,
    /// The shortest history to a broken invariant, and which one it is.
    pub counterexample: Option<(&'static str, Vec<S>)>,
}

/// Explores all states of a model.
pub fn search<M: Model>(model: &M) -> Found<M::State> {
    let path = bfs(&model.start(), |state| model.steps(state), |state| model.broken(state).is_some());
    let counterexample = path.and_then(|path| {
        let invariant = model.broken(path.last()?)?;
        Some((invariant, path))
    });
    let states = match counterexample {
        Some(_) => 0,
        None => bfs_reach(model.start(), |state| model.steps(state)).count(),
    };
    Found { states, counterexample }
}
