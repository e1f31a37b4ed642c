//! Tests the tracking of requests that run at the local target.

use laurelstall_node::running_requests::{RunInfo, RunningRequests};
use std::sync::Arc;

fn run(useful_until_us: u64) -> RunInfo {
    RunInfo { useful_until_us, importance: 5, ..RunInfo::default() }
}

#[test]
fn a_request_is_known_while_any_of_its_runs_lasts() {
    let running = Arc::<RunningRequests>::default();
    assert!(running.register(None, run(5)).is_none(), "a request without an ID is not tracked");
    let first = running.register(Some("a"), run(5)).expect("it has an id");
    let second = running.register(Some("a"), run(7)).expect("it has an id");
    assert_eq!(running.get("a"), Some(run(7)));
    drop(first);
    assert!(running.get("a").is_some(), "its second run goes on");
    drop(second);
    assert_eq!(running.get("a"), None);
}
