//! Header fields that only nodes exchange with each other.

use http::{HeaderMap, HeaderValue};
use laurelstall_node::headers::{
    has_call_level, insert_admission_threshold, push_call_level, strip_request, take_admission_threshold,
    take_call_level,
};
use laurelstall_overload::call_level::CallLevel;

const THRESHOLD: &str = "laurelstall-admission-threshold";
const LEVEL: CallLevel = CallLevel { importance: 7, bucket: 31 };

#[test]
fn a_threshold_is_read_as_written_and_does_not_reach_the_caller() {
    let mut answer = HeaderMap::new();
    insert_admission_threshold(&mut answer, LEVEL);
    assert_eq!(answer.get(THRESHOLD), Some(&HeaderValue::from_static("7.31")));
    assert_eq!(take_admission_threshold(&mut answer), Some(LEVEL));
    assert!(answer.is_empty());
    for invalid in ["", "7", "7.64", "300.1", "x"] {
        answer.insert(THRESHOLD, HeaderValue::from_static(invalid));
        assert_eq!(take_admission_threshold(&mut answer), None, "{invalid}");
        assert!(answer.is_empty(), "{invalid}: the field is left in the answer");
    }
}

#[test]
fn a_level_is_read_as_written_and_does_not_reach_the_target() {
    let mut attempt = Vec::new();
    assert!(!has_call_level(&attempt));
    push_call_level(&mut attempt, LEVEL);
    assert!(has_call_level(&attempt));
    assert_eq!(take_call_level(&mut attempt), Some(LEVEL));
    assert!(attempt.is_empty());
}

/// A caller could otherwise give its calls the highest level.
#[test]
fn fields_between_nodes_are_removed_from_callers_requests() {
    let mut request = HeaderMap::new();
    for name in ["laurelstall-call-level", THRESHOLD, "laurelstall-known-rate-limit"] {
        request.insert(name, HeaderValue::from_static("9.63"));
    }
    strip_request(&mut request, true);
    assert!(request.is_empty(), "{request:?}");
}
