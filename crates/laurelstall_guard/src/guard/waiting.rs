//! Calls that wait at a guard, and calls that run.

use super::Guard;
use crate::{
    limit_search::Measure,
    wait_queue::{Place, Wake},
};
use laurelstall_balance::class_times::CallClass;
use std::sync::Arc;
use tokio::{sync::oneshot, time::Instant};

/// What became of a call that asked for a slot.
pub(super) enum Entered {
    /// It runs.
    Running(Permit),
    /// It waits.
    Waiting(Wait),
}

/// A wait for a slot.
pub(super) struct Wait {
    pub(super) waiting: Waiting,
    /// When the call gives up waiting.
    pub(super) until: Instant,
    /// Whether it is handed back then.
    pub(super) is_patience: bool,
}

/// A call in the queue; dropping it takes it out, or gives back a slot it was woken for.
pub(super) struct Waiting {
    pub(super) guard: Arc<Guard>,
    pub(super) place: Place,
    pub(super) woken: oneshot::Receiver<Wake>,
    pub(super) is_in_queue: bool,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if !self.is_in_queue {
            return;
        }
        let was_waiting = self.guard.lock().queue.remove(&self.place);
        if !was_waiting && self.woken.try_recv() == Ok(Wake::Start) {
            self.guard.release_reserved();
        }
        self.guard.notify_if_idle();
    }
}

/// The right to run one call at the target; dropping it frees the slot.
#[derive(Debug)]
pub struct Permit {
    pub(super) guard: Arc<Guard>,
    pub(super) number: u64,
    pub(super) start_us: u64,
    pub(super) class: CallClass,
    pub(super) measure: Measure,
    /// The target's pace when the call started.
    pub(super) slowness_percent: u32,
    pub(super) is_counted: bool,
}

impl Permit {
    /// Frees the slot without learning a service time, for a call that did not run to its end.
    pub fn release_uncounted(mut self) {
        self.is_counted = false;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.guard.release(self);
    }
}
