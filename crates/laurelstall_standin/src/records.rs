//! What targets ran, to hold against what callers were told.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
};

/// How often each call, by its key, took effect on any target.
#[derive(Debug, Default)]
pub struct Records {
    runs: Mutex<HashMap<String, u32>>,
}

impl Records {
    /// Notes that a call took effect.
    pub fn note_run(&self, key: &str) {
        *self.lock().entry(key.to_owned()).or_default() += 1;
    }

    /// How often a call took effect.
    pub fn runs(&self, key: &str) -> u32 {
        self.lock().get(key).copied().unwrap_or(0)
    }

    /// Calls that took effect at all.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Whether none did.
    pub fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, u32>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
