//! Records of the calls that targets executed, for comparison with the outcomes that callers observed.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
};

/// Counts how often each call, identified by its key, ran on any target.
#[derive(Debug, Default)]
pub struct RunRecords {
    runs: Mutex<HashMap<String, u32>>,
}

impl RunRecords {
    /// Records that a call ran.
    pub fn record_run(&self, key: &str) {
        *self.lock().entry(key.to_owned()).or_default() += 1;
    }

    /// Returns how often a call ran.
    pub fn runs(&self, key: &str) -> u32 {
        self.lock().get(key).copied().unwrap_or(0)
    }

    /// Returns the number of distinct calls that ran.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Returns whether no call has run.
    pub fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, u32>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
