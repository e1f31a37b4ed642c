//! Heads of attempts at targets.

#![allow(dead_code, reason = "not all test files make attempts")]

use laurelstall_crash::request_digest::RequestDigest;
use laurelstall_peer::message::{AttemptHead, BodyKind};
use tokio::time::Duration;

/// Returns the head of a GET without a body that may be repeated, with this time budget.
pub fn attempt_head(budget: Duration) -> AttemptHead {
    AttemptHead {
        call_id: 1,
        service: "t/s".to_owned(),
        target: "a".to_owned(),
        method: "GET".to_owned(),
        uri: "/x".to_owned(),
        digest: RequestDigest { whole: 1, head: 2 },
        headers: Vec::new(),
        budget_us: budget.as_micros() as u64,
        useful_us: budget.as_micros() as u64,
        class: 0,
        importance: 5,
        workspace: String::new(),
        is_return: false,
        is_repeat: false,
        may_repeat: true,
        may_hand_back: false,
        hand_backs: 0,
        slow_from_percent: None,
        ticket: None,
        body: BodyKind::Empty,
        wants_hint: false,
    }
}
