//! Calls in the queue of a guard.

use super::permit::Permit;
use crate::wait_queue::{QueueKey, Wake};
use std::sync::Arc;
use tokio::{sync::oneshot, time::Instant};

/// Result of asking for a slot.
pub(super) enum StartOrWait {
    /// The call runs.
    Running(Permit),
    /// The call is queued.
    Queued(TimedWait),
}

/// A queued call with its timeout.
pub(super) struct TimedWait {
    pub(super) call: QueuedCall,
    /// When the call leaves the queue if it was not woken.
    pub(super) until: Instant,
    /// Whether it is handed back at that time, rather than refused.
    pub(super) hands_back: bool,
}

/// The owner of the queue that a call waits in.
pub(super) trait QueueOwner: Send + Sync {
    /// Removes a call that stopped waiting; returns false when it was woken already.
    fn remove(&self, key: &QueueKey) -> bool;

    /// Releases a slot that was reserved for a woken call which has been dropped.
    fn release_reserved(&self);

    /// Notifies waiters for an idle guard if no call runs or waits.
    fn notify_if_idle(&self);
}

/// A call in the queue; dropping it removes it, or releases the slot it was woken for.
pub(super) struct QueuedCall {
    pub(super) owner: Arc<dyn QueueOwner>,
    pub(super) key: QueueKey,
    pub(super) woken: oneshot::Receiver<Wake>,
    pub(super) is_in_queue: bool,
}

impl Drop for QueuedCall {
    fn drop(&mut self) {
        if !self.is_in_queue {
            return;
        }
        let was_waiting = self.owner.remove(&self.key);
        if !was_waiting && self.woken.try_recv() == Ok(Wake::Start) {
            self.owner.release_reserved();
        }
        self.owner.notify_if_idle();
    }
}
