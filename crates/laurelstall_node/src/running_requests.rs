//! Tracks the requests running at the local target, so that the nested calls it makes for them are recognised.

use crate::chain_run::ChainRun;
use laurelstall_balance::class_times::CallClass;
use laurelstall_overload::call_level::CallLevel;
use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

/// Requests running at the local target, by the request IDs that their callers chose.
#[derive(Debug, Default)]
pub struct RunningRequests {
    runs: Mutex<HashMap<String, Runs>>,
}

/// The runs of one request ID.
#[derive(Debug, Clone, Default)]
struct Runs {
    /// Number of concurrent runs; more than one if the request was repeated.
    count: u32,
    /// Properties of the latest run.
    info: RunInfo,
}

/// Properties of a run that apply to its nested calls.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RunInfo {
    /// When the latency objective expires, in µs of the node's clock.
    pub useful_until_us: u64,
    /// Importance of the request.
    pub importance: u8,
    /// Level of the first request of the chain.
    pub level: CallLevel,
    /// Class of the request.
    pub class: CallClass,
    /// The run, if the node learns from its calls.
    pub chain_run: Option<ChainRun>,
    /// Whether a target may have run the request before.
    pub is_repeat: bool,
    /// Deadline in µs of the node's clock, if known.
    pub deadline_us: Option<u64>,
    /// Name of the workspace; empty if there is none.
    pub workspace: String,
}

impl RunningRequests {
    /// Registers a running request until the result is dropped; `None` if the request has no ID.
    pub fn register(self: &Arc<Self>, request_id: Option<&str>, info: RunInfo) -> Option<RunningRequest> {
        let request_id = request_id?.to_owned();
        let mut runs = self.lock();
        let entry = runs.entry(request_id.clone()).or_default();
        entry.count += 1;
        entry.info = info;
        drop(runs);
        Some(RunningRequest { requests: self.clone(), request_id })
    }

    /// Returns the properties of the request with this ID, if it is running.
    pub fn get(&self, request_id: &str) -> Option<RunInfo> {
        self.lock().get(request_id).map(|runs| runs.info.clone())
    }

    fn unregister(&self, request_id: &str) {
        let mut runs = self.lock();
        let Some(entry) = runs.get_mut(request_id) else { return };
        entry.count -= 1;
        if entry.count == 0 {
            runs.remove(request_id);
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, Runs>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Registration of a running request, removed when this is dropped.
#[derive(Debug)]
pub struct RunningRequest {
    requests: Arc<RunningRequests>,
    request_id: String,
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.requests.unregister(&self.request_id);
    }
}
