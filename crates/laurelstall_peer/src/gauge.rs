//! Counts what is in progress.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

/// Number of operations in progress.
#[derive(Debug, Default)]
pub struct Gauge(AtomicU64);

impl Gauge {
    /// Counts one more operation until the result is dropped.
    pub fn enter(self: &Arc<Self>) -> InProgress {
        self.0.fetch_add(1, Ordering::Relaxed);
        InProgress(self.clone())
    }

    /// Returns the number of operations in progress.
    pub fn value(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// An operation that a [`Gauge`] counts until this is dropped.
#[derive(Debug)]
pub struct InProgress(Arc<Gauge>);

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::Relaxed);
    }
}
