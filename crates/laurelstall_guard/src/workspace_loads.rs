//! Calls of each workspace at a guard.

use crate::admission_request::WorkspaceShare;
use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

/// Calls that a workspace may have above its share, so that a short burst does not count as exceeding it.
const CALLS_ABOVE_SHARE: u64 = 2;

/// Number of calls and weight of one workspace.
#[derive(Debug, Clone, Copy)]
struct Load {
    calls: u64,
    weight: u64,
}

/// Running and queued calls of all workspaces that have any.
#[derive(Debug, Default)]
pub struct WorkspaceLoads {
    loads: Mutex<HashMap<u64, Load>>,
}

impl WorkspaceLoads {
    /// Counts a call until the result is dropped.
    pub fn count_call(self: &Arc<Self>, workspace_share: WorkspaceShare) -> CountedCall {
        let mut loads = self.lock();
        let load = loads.entry(workspace_share.id).or_insert(Load { calls: 0, weight: 1 });
        load.calls += 1;
        load.weight = u64::from(workspace_share.weight.max(1));
        drop(loads);
        CountedCall { loads: self.clone(), id: workspace_share.id }
    }

    /// Returns whether a workspace has more calls here than its share; such calls are queued behind others.
    /// Otherwise one workspace with many times its usual calls would make the answers of all others late.
    pub fn is_over_share(&self, workspace_share: WorkspaceShare) -> bool {
        let loads = self.lock();
        let Some(workspace) = loads.get(&workspace_share.id) else { return false };
        let calls = loads.values().map(|load| load.calls).sum::<u64>();
        let weights = loads.values().map(|load| load.weight).sum::<u64>();
        let share = calls * workspace.weight / weights.max(1);
        workspace.calls > share + CALLS_ABOVE_SHARE
    }

    fn uncount_call(&self, id: u64) {
        let mut loads = self.lock();
        let Some(load) = loads.get_mut(&id) else { return };
        load.calls -= 1;
        if load.calls == 0 {
            loads.remove(&id);
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, Load>> {
        self.loads.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A call counted for its workspace until this is dropped.
#[derive(Debug)]
pub struct CountedCall {
    loads: Arc<WorkspaceLoads>,
    id: u64,
}

impl Drop for CountedCall {
    fn drop(&mut self) {
        self.loads.uncount_call(self.id);
    }
}
