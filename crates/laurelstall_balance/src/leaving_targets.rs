//! Targets that have stated in their answers that they are leaving.
//!
//! The statement holds for the rest of the instance's life, whatever the published list says: the list may be older than
//! the statement, or restored from a copy.

use std::collections::{HashMap, VecDeque};

/// Maximum number of remembered targets; the oldest are forgotten first. A target is gone long before as many others
/// have left.
const TARGETS_MAX: usize = 4_096;

/// The targets that have stated to this entry node that they are leaving.
#[derive(Debug, Clone, Default)]
pub struct LeavingTargets {
    /// Start of each target in ms of Unix time by its own clock, by name; 0 when unknown.
    started_unix_ms: HashMap<String, u64>,
    /// Names, oldest statement first.
    names: VecDeque<String>,
}

impl LeavingTargets {
    /// Records the statement of a target; returns whether it is new.
    pub fn insert(&mut self, name: &str, started_unix_ms: u64) -> bool {
        let before = self.started_unix_ms.insert(name.to_owned(), started_unix_ms);
        if before.is_none() {
            self.names.push_back(name.to_owned());
        }
        if self.names.len() > TARGETS_MAX
            && let Some(oldest) = self.names.pop_front()
        {
            self.started_unix_ms.remove(&oldest);
        }
        before != Some(started_unix_ms)
    }

    /// Whether the target has stated that it is leaving, and was not started again under the same name since.
    pub fn contains(&self, name: &str, started_unix_ms: u64) -> bool {
        let is_same = |known: &u64| *known == 0 || started_unix_ms == 0 || *known == started_unix_ms;
        self.started_unix_ms.get(name).is_some_and(is_same)
    }
}
