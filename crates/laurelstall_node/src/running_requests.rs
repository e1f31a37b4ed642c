//! The requests that run at the own target now, so that calls which it makes for them are known.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

/// Ids of the requests that run at the own target, as its callers gave them.
#[derive(Debug, Default)]
pub struct RunningRequests {
    /// How many runs each id has; more than one when a request was repeated.
    runs: Mutex<HashMap<String, u32>>,
}

impl RunningRequests {
    /// Notes that a request runs, for as long as the result lives; none when it has no id.
    pub fn enter(self: &Arc<Self>, request_id: Option<&str>) -> Option<RunningRequest> {
        let request_id = request_id?.to_owned();
        *self.lock().entry(request_id.clone()).or_default() += 1;
        Some(RunningRequest { requests: self.clone(), request_id })
    }

    /// Whether a request with this id runs.
    pub fn contains(&self, request_id: &str) -> bool {
        self.lock().contains_key(request_id)
    }

    fn leave(&self, request_id: &str) {
        let mut runs = self.lock();
        let Some(count) = runs.get_mut(request_id) else { return };
        *count -= 1;
        if *count == 0 {
            runs.remove(request_id);
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, u32>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request that runs at the own target; it ends when this is dropped.
#[derive(Debug)]
pub struct RunningRequest {
    requests: Arc<RunningRequests>,
    request_id: String,
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.requests.leave(&self.request_id);
    }
}
