//! Checks the head of an answer, and finds how the end of its body is told.

use crate::{answer_error::AnswerError, spoilt_name::has_spoilt_framing_field};
use http::{
    HeaderMap, HeaderValue, Method, StatusCode, Version,
    header::{CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING},
};

/// Highest valid status (RFC 9110, section 15).
const STATUS_MAX: u16 = 599;
/// The only transfer coding that a target may use, since no other is asked for.
const CHUNKED: &[u8] = b"chunked";

/// How the end of an answer's body is told (RFC 9112, section 6.3).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// The answer has no body.
    NoBody,
    /// The body has this length in bytes.
    Length(u64),
    /// The body ends with its last chunk, or with its stream in HTTP/2.
    Delimited,
    /// The body ends with its connection.
    UntilClose,
}

impl Framing {
    /// Whether the head states the length of the body.
    pub fn is_length_stated(self) -> bool {
        matches!(self, Self::NoBody | Self::Length(_))
    }
}

/// The head of a final answer to a request.
#[derive(Debug, Clone, Copy)]
pub struct AnswerHead<'a> {
    /// Method of the request.
    pub method: &'a Method,
    /// Version of HTTP in which the answer came.
    pub version: Version,
    /// Status of the answer.
    pub status: StatusCode,
    /// Fields of the head.
    pub headers: &'a HeaderMap,
}

impl AnswerHead<'_> {
    /// Checks the head, and returns how the end of the body is told.
    ///
    /// It refuses more than RFC 9112 does: transfer codings that nobody asked for, a length beside a transfer coding, a body
    /// that is stated where none may be, and a body until the end of the connection beside a field whose name is nearly
    /// that of the length. In each of them a single spoilt byte may hide another body.
    ///
    /// # Errors
    ///
    /// [`AnswerError`] if this is not the head of a final answer whose end can be told.
    pub fn framing(&self) -> Result<Framing, AnswerError> {
        let status = self.status.as_u16();
        if self.status.is_informational() || status > STATUS_MAX {
            return Err(AnswerError::Status(status));
        }
        let is_chunked = self.is_chunked()?;
        let length_bytes = stated_length(self.headers)?;
        if is_chunked && length_bytes.is_some() {
            return Err(AnswerError::CodingAndLength);
        }
        if self.status == StatusCode::NO_CONTENT {
            let has_body = is_chunked || length_bytes.is_some_and(|bytes| bytes > 0);
            return if has_body { Err(AnswerError::UnexpectedBody(status)) } else { Ok(Framing::NoBody) };
        }
        if *self.method == Method::HEAD || self.status == StatusCode::NOT_MODIFIED {
            return Ok(Framing::NoBody);
        }
        Ok(match length_bytes {
            Some(bytes) => Framing::Length(bytes),
            None if is_chunked || self.version >= Version::HTTP_2 => Framing::Delimited,
            None if has_spoilt_framing_field(self.headers) => return Err(AnswerError::SpoiltName),
            None => Framing::UntilClose,
        })
    }

    /// Whether the body comes in chunks.
    fn is_chunked(&self) -> Result<bool, AnswerError> {
        if self.version >= Version::HTTP_2 {
            let has_field =
                self.headers.contains_key(TRANSFER_ENCODING) || self.headers.contains_key(CONNECTION);
            return if has_field { Err(AnswerError::ConnectionField) } else { Ok(false) };
        }
        let mut codings = self.headers.get_all(TRANSFER_ENCODING).iter();
        let Some(coding) = codings.next() else { return Ok(false) };
        let is_chunked = coding.as_bytes().trim_ascii().eq_ignore_ascii_case(CHUNKED);
        let is_alone = codings.next().is_none();
        if is_chunked && is_alone && self.version == Version::HTTP_11 {
            Ok(true)
        } else {
            Err(AnswerError::TransferCoding)
        }
    }
}

/// Returns the length in bytes that a head states; `None` if it states none. The same length may be stated more than once.
///
/// # Errors
///
/// [`AnswerError::Length`] if a stated length is no number, or two of them differ.
pub fn stated_length(headers: &HeaderMap) -> Result<Option<u64>, AnswerError> {
    let mut length_bytes = None;
    for value in headers.get_all(CONTENT_LENGTH) {
        for member in value.as_bytes().split(|byte| *byte == b',') {
            let number = parse_length(member.trim_ascii()).ok_or(AnswerError::Length)?;
            if length_bytes.is_some_and(|other| other != number) {
                return Err(AnswerError::Length);
            }
            length_bytes = Some(number);
        }
    }
    Ok(length_bytes)
}

/// Parses a number of digits only.
fn parse_length(text: &[u8]) -> Option<u64> {
    if !text.iter().all(u8::is_ascii_digit) {
        return None;
    }
    str::from_utf8(text).ok()?.parse().ok()
}

/// Replaces the length in a head that is passed on by the one that the body has.
///
/// An answer without a body, as one to HEAD, may state the length that the body would have.
pub fn write_length(headers: &mut HeaderMap, framing: Framing, status: StatusCode) {
    let stated = stated_length(headers).ok().flatten();
    headers.remove(CONTENT_LENGTH);
    let length_bytes = match framing {
        Framing::Length(bytes) => Some(bytes),
        Framing::NoBody if status != StatusCode::NO_CONTENT => stated,
        Framing::NoBody | Framing::Delimited | Framing::UntilClose => None,
    };
    if let Some(bytes) = length_bytes {
        headers.insert(CONTENT_LENGTH, HeaderValue::from(bytes));
    }
}
