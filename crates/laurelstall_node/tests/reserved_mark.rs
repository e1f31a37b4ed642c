//! Tests the mark of returns with a reserved place in the headers of attempts.

use http::{HeaderMap, HeaderValue};
use laurelstall_node::headers::{push_reserved, strip_request, take_reserved};

/// Guards against callers that give themselves a place.
#[test]
fn a_mark_sent_by_a_caller_is_removed() {
    for is_buffered in [false, true] {
        let mut headers = HeaderMap::new();
        headers.insert("laurelstall-reserved", HeaderValue::from_static("1"));
        strip_request(&mut headers, is_buffered);
        assert!(headers.is_empty());
    }
}

/// Guards against marks that reach a target.
#[test]
fn the_guard_takes_all_marks_out_of_an_attempt() {
    let mut headers = vec![("accept".to_owned(), b"*/*".to_vec())];
    assert!(!take_reserved(&mut headers));
    push_reserved(&mut headers);
    push_reserved(&mut headers);
    assert!(take_reserved(&mut headers));
    assert_eq!(headers, [("accept".to_owned(), b"*/*".to_vec())]);
}
