//! Which requests run at the own target.

use laurelstall_node::running_requests::RunningRequests;
use std::sync::Arc;

#[test]
fn a_request_is_known_while_any_of_its_runs_lasts() {
    let running = Arc::<RunningRequests>::default();
    assert!(running.enter(None).is_none(), "a request without an id is not told apart");
    let first = running.enter(Some("a")).expect("it has an id");
    let second = running.enter(Some("a")).expect("it has an id");
    assert!(running.contains("a"));
    drop(first);
    assert!(running.contains("a"), "its repeat still runs");
    drop(second);
    assert!(!running.contains("a"));
}
