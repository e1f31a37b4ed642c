//! Tests the tracking of requests that run at a host's own target.

use laurelstall_node::running_requests::{RunFacts, RunningRequests};
use std::sync::Arc;

fn run(useful_until_us: u64) -> RunFacts {
    RunFacts { useful_until_us, importance: 5, ..RunFacts::default() }
}

#[test]
fn a_request_is_known_while_any_of_its_runs_lasts() {
    let running = Arc::<RunningRequests>::default();
    assert!(running.enter(None, run(5)).is_none(), "a request without an ID is not tracked");
    let first = running.enter(Some("a"), run(5)).expect("it has an id");
    let second = running.enter(Some("a"), run(7)).expect("it has an id");
    assert_eq!(running.facts("a"), Some(run(7)));
    drop(first);
    assert!(running.facts("a").is_some(), "its second run goes on");
    drop(second);
    assert_eq!(running.facts("a"), None);
}
