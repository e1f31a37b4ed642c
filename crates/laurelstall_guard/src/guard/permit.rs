//! Permits to run one call at the target.

use crate::{adaptive_limit::SampleKind, workspace_loads::CountedCall};
use laurelstall_balance::class_times::CallClass;
use std::{fmt, sync::Arc};

/// A call that runs, as recorded by its guard.
#[derive(Debug, Clone, Copy)]
pub struct Run {
    /// Number of the run, unique within the guard.
    pub number: u64,
    /// When the call got its slot, in µs of the guard's clock.
    pub start_us: u64,
    /// Number of running calls when the call got its slot, itself included.
    pub running: u32,
    /// Class of the call.
    pub class: CallClass,
    /// Whether it is a nested call, which a running call waits for.
    pub is_nested: bool,
    /// What its run time is measured for.
    pub sample: SampleKind,
    /// Slowness of the target when the call started, in percent of normal.
    pub slowness_percent: u32,
    /// Whether its run time is recorded when it ends.
    pub is_counted: bool,
    /// Whether the call was sent to the target.
    pub is_sent: bool,
}

/// The issuer of a permit, to which it returns when dropped.
pub trait PermitOwner: Send + Sync + fmt::Debug {
    /// Records that the call is sent to the target now.
    fn note_sent(&self, run: &Run);

    /// Frees the slot of a run that has ended.
    fn release(&self, run: &Run);
}

/// Permission to run one call at the target; dropping it frees the slot.
#[derive(Debug)]
pub struct Permit {
    owner: Arc<dyn PermitOwner>,
    run: Run,
    /// Counts the call towards its workspace's share.
    call: Option<CountedCall>,
}

impl Permit {
    /// Creates a permit for `run`, issued by `owner`.
    pub(super) fn new(owner: Arc<dyn PermitOwner>, run: Run) -> Self {
        Self { owner, run, call: None }
    }

    /// Keeps `call` counted towards its workspace's share until the permit is dropped.
    pub(super) fn with_call(mut self, call: CountedCall) -> Self {
        self.call = Some(call);
        self
    }

    /// Returns when the call got its slot, in µs of the guard's clock.
    pub fn start_us(&self) -> u64 {
        self.run.start_us
    }

    /// Returns how many calls ran when the call got its slot, itself included.
    pub fn running_at_start(&self) -> u32 {
        self.run.running
    }

    /// Records that the call is sent to the target now and may arrive there from here on.
    pub fn note_sent(&mut self) {
        self.run.is_sent = true;
        self.owner.note_sent(&self.run);
    }

    /// Frees the slot without recording a run time, for a call that did not run to its end.
    pub fn release_uncounted(mut self) {
        self.run.is_counted = false;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.owner.release(&self.run);
    }
}
