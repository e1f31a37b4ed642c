//! Tells the monitors of all connections that one of them was found to be silent.
//!
//! The network may drop the state of many connections at once without closing them. They look idle, and a message sent on
//! each of them would be lost before its silence shows.

use std::sync::{Mutex, PoisonError};
use tokio::{
    sync::Notify,
    time::{Duration, Instant},
};

/// Minimum time between two suspicions, so that the loss of many hosts does not multiply pings.
const PAUSE: Duration = Duration::from_secs(1);

/// The suspicion that open connections are silent.
#[derive(Debug, Default)]
pub(crate) struct Suspicion {
    raised: Notify,
    raised_at: Mutex<Option<Instant>>,
}

impl Suspicion {
    /// Wakes all that wait for a suspicion, unless one was raised shortly before.
    pub(crate) fn raise(&self) {
        let mut raised_at = self.raised_at.lock().unwrap_or_else(PoisonError::into_inner);
        if raised_at.is_some_and(|raised_at| raised_at.elapsed() < PAUSE) {
            return;
        }
        *raised_at = Some(Instant::now());
        self.raised.notify_waiters();
    }

    /// Waits for the next suspicion.
    pub(crate) async fn raised(&self) {
        self.raised.notified().await;
    }
}
