//! Which heads are those of whole answers, and how the end of their bodies is told.

use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, Version};
use laurelstall_answer::{
    answer_error::AnswerError,
    answer_head::{AnswerHead, Framing, write_length},
};

type Fields = &'static [(&'static str, &'static str)];

fn headers(fields: Fields) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in fields {
        headers.append(HeaderName::from_static(name), HeaderValue::from_static(value));
    }
    headers
}

fn framing_in(method: Method, version: Version, status: u16, fields: Fields) -> Result<Framing, AnswerError> {
    let status = StatusCode::from_u16(status).expect("the library takes 100 to 999");
    AnswerHead { method: &method, version, status, headers: &headers(fields) }.framing()
}

fn framing(status: u16, fields: Fields) -> Result<Framing, AnswerError> {
    framing_in(Method::GET, Version::HTTP_11, status, fields)
}

const CHUNKED: Fields = &[("transfer-encoding", "chunked")];
const LENGTH: Fields = &[("content-length", "11")];

#[test]
fn the_end_of_a_body_is_told_by_one_field_or_by_the_connection() {
    assert_eq!(framing(200, LENGTH), Ok(Framing::Length(11)));
    assert_eq!(framing(200, &[("content-length", "0011")]), Ok(Framing::Length(11)));
    assert_eq!(
        framing(200, &[("content-length", "11"), ("content-length", "11, 11")]),
        Ok(Framing::Length(11))
    );
    assert_eq!(framing(200, CHUNKED), Ok(Framing::Delimited));
    assert_eq!(framing(200, &[("transfer-encoding", "Chunked")]), Ok(Framing::Delimited));
    assert_eq!(framing(200, &[]), Ok(Framing::UntilClose));
    assert_eq!(framing_in(Method::GET, Version::HTTP_10, 200, &[]), Ok(Framing::UntilClose));
    assert_eq!(framing_in(Method::GET, Version::HTTP_2, 200, &[]), Ok(Framing::Delimited));
    assert_eq!(framing(599, LENGTH), Ok(Framing::Length(11)));
}

#[test]
fn some_answers_have_no_body_whatever_their_head_states() {
    for fields in [LENGTH, CHUNKED, &[]] {
        assert_eq!(framing_in(Method::HEAD, Version::HTTP_11, 200, fields), Ok(Framing::NoBody));
        assert_eq!(framing(304, fields), Ok(Framing::NoBody));
    }
    assert_eq!(framing(204, &[]), Ok(Framing::NoBody));
    assert_eq!(framing(204, &[("content-length", "0")]), Ok(Framing::NoBody));
}

// Guards against answers whose body is not the target's, and against bytes of a target in the place of the next answer.
#[test]
fn a_spoilt_length_or_coding_is_refused() {
    for value in ["", "chunkee", "gzip", "gzip, chunked", "chunked, chunked", "chunked, gzip", "identity"] {
        let fields: Fields = Box::leak(Box::new([("transfer-encoding", value)]));
        assert_eq!(framing(200, fields), Err(AnswerError::TransferCoding), "{value}");
    }
    let twice: Fields = &[("transfer-encoding", "chunked"), ("transfer-encoding", "chunked")];
    assert_eq!(framing(200, twice), Err(AnswerError::TransferCoding));
    let in_old_version = framing_in(Method::GET, Version::HTTP_10, 200, CHUNKED);
    assert_eq!(in_old_version, Err(AnswerError::TransferCoding));
    for value in ["", "3x", "+3", "-3", "0x3", "3 4", "3, 4", "3,", "3.0", "18446744073709551616"] {
        let fields: Fields = Box::leak(Box::new([("content-length", value)]));
        assert_eq!(framing(200, fields), Err(AnswerError::Length), "{value}");
    }
    let both: Fields = &[("transfer-encoding", "chunked"), ("content-length", "3")];
    assert_eq!(framing(200, both), Err(AnswerError::CodingAndLength));
    assert_eq!(framing_in(Method::HEAD, Version::HTTP_11, 200, both), Err(AnswerError::CodingAndLength));
    assert_eq!(framing(204, LENGTH), Err(AnswerError::UnexpectedBody(204)));
    assert_eq!(framing(204, CHUNKED), Err(AnswerError::UnexpectedBody(204)));
    for fields in [CHUNKED, &[("connection", "close")]] {
        let framing = framing_in(Method::GET, Version::HTTP_2, 200, fields);
        assert_eq!(framing, Err(AnswerError::ConnectionField));
    }
}

#[test]
fn a_status_of_no_final_answer_is_refused() {
    for status in [100, 101, 103, 199, 600, 999] {
        assert_eq!(framing(status, LENGTH), Err(AnswerError::Status(status)));
    }
}

#[test]
fn the_length_that_is_passed_on_is_that_of_the_body() {
    let written = |fields: Fields, framing, status| {
        let mut headers = headers(fields);
        write_length(&mut headers, framing, status);
        headers.get_all("content-length").iter().map(|value| value.as_bytes().to_vec()).collect::<Vec<_>>()
    };
    let twice: Fields = &[("content-length", "11"), ("content-length", "011")];
    assert_eq!(written(twice, Framing::Length(11), StatusCode::OK), [b"11"]);
    assert_eq!(written(&[], Framing::Length(11), StatusCode::OK), [b"11"]);
    assert_eq!(written(LENGTH, Framing::NoBody, StatusCode::NOT_MODIFIED), [b"11"]);
    assert!(written(&[("content-length", "0")], Framing::NoBody, StatusCode::NO_CONTENT).is_empty());
    assert!(written(LENGTH, Framing::Delimited, StatusCode::OK).is_empty());
}

// Guards against a part of a body, or its chunks, that pass for the whole because one byte of a field's name is spoilt.
#[test]
fn a_body_until_the_end_beside_a_nearly_right_name_is_refused() {
    let refused = Err(AnswerError::SpoiltName);
    for name in ["content-lengti", "xontent-length", "content-lenth", "content-lengthh", "acontent-length"] {
        let fields: Fields = Box::leak(Box::new([(name, "11")]));
        assert_eq!(framing(200, fields), refused, "{name}");
    }
    for name in ["transfer-encodinf", "transfer-encodin", "tranfer-encoding", "transfer-encodings"] {
        let fields: Fields = Box::leak(Box::new([(name, "chunked")]));
        assert_eq!(framing(200, fields), refused, "{name}");
    }
    for name in
        ["content-language", "content-location", "content-encoding", "x-content-length", "length", "te"]
    {
        let fields: Fields = Box::leak(Box::new([(name, "11")]));
        assert_eq!(framing(200, fields), Ok(Framing::UntilClose), "{name}");
    }
    let beside_a_length: Fields = &[("content-lengti", "9"), ("content-length", "11")];
    assert_eq!(framing(200, beside_a_length), Ok(Framing::Length(11)));
}
