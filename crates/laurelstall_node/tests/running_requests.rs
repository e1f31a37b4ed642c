//! Which requests run at the own target.

use laurelstall_node::running_requests::RunningRequests;
use std::sync::Arc;

#[test]
fn a_request_is_known_while_any_of_its_runs_lasts() {
    let running = Arc::<RunningRequests>::default();
    assert!(running.enter(None, 5).is_none(), "a request without an id is not told apart");
    let first = running.enter(Some("a"), 5).expect("it has an id");
    let second = running.enter(Some("a"), 7).expect("it has an id");
    assert_eq!(running.useful_until_us("a"), Some(7));
    drop(first);
    assert!(running.useful_until_us("a").is_some(), "its repeat still runs");
    drop(second);
    assert_eq!(running.useful_until_us("a"), None);
}
