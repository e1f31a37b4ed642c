//! Calls to a guard, for tests on a paused clock.

#![allow(dead_code, reason = "no test file uses all helpers")]

use laurelstall_guard::{
    admission_request::{AdmissionRequest, Rank, WorkspaceShare},
    clock::Clock,
    guard::{Guard, Permit},
    refusal::Refusal,
};
use std::sync::Arc;
use tokio::task::{JoinHandle, yield_now};

/// The admission of a call, in a task of its own.
pub type Admission = JoinHandle<Result<Permit, Refusal>>;

/// Returns a request whose answer has its full value until its deadline.
pub fn request(clock: &Clock, rank: Rank, budget_ms: u64) -> AdmissionRequest {
    let deadline_us = clock.now_us() + budget_ms * 1_000;
    AdmissionRequest {
        rank,
        workspace_share: WorkspaceShare::NO_WORKSPACE,
        class: 0,
        deadline_us,
        useful_until_us: deadline_us,
        useful_us: budget_ms * 1_000,
        may_hand_back: false,
        hand_backs: 0,
        slow_from_percent: None,
    }
}

/// Spawns the admission of `request` and lets it reach the queue.
pub async fn enqueue(guard: &Arc<Guard>, request: AdmissionRequest) -> Admission {
    let guard = guard.clone();
    let task = tokio::spawn(async move { guard.admit(request).await });
    yield_now().await;
    task
}
