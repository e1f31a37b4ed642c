//! Tests the memory of refused requests, by which an entry recognises returns.

use laurelstall_overload::refused_requests::RefusedRequests;

const S_US: u64 = 1_000_000;

/// Guards against taking first attempts for returns, and against missing returns within the time that callers wait.
#[test]
fn a_refused_request_is_a_return_for_five_seconds() {
    let mut refused = RefusedRequests::default();
    refused.note(7, S_US);
    assert!(refused.contains(7, S_US));
    assert!(refused.contains(7, 6 * S_US - 1));
    assert!(!refused.contains(7, 6 * S_US));
    assert!(!refused.contains(8, S_US), "another request");
}

#[test]
fn a_second_refusal_extends_the_time() {
    let mut refused = RefusedRequests::default();
    refused.note(7, S_US);
    refused.note(7, 4 * S_US);
    refused.note(8, 7 * S_US);
    assert!(refused.contains(7, 8 * S_US), "the first refusal is forgotten, the second is not");
}

/// Guards against memory that grows with the number of refusals.
#[test]
fn only_the_latest_requests_are_remembered() {
    let mut refused = RefusedRequests::default();
    for digest in 0..10_000 {
        refused.note(digest, S_US + digest);
    }
    assert!(!refused.contains(0, S_US + 10_000));
    assert!(refused.contains(9_999, S_US + 10_000));
    let remembered = (0..10_000).filter(|digest| refused.contains(*digest, S_US + 10_000)).count();
    assert_eq!(remembered, 4_096);
}
