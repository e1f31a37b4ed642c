//! Recognises names of fields that are one byte away from another name.

use http::{
    HeaderMap, HeaderName,
    header::{CONTENT_LENGTH, TRANSFER_ENCODING},
};

/// The fields that tell the end of a body.
const FRAMING_FIELDS: [HeaderName; 2] = [CONTENT_LENGTH, TRANSFER_ENCODING];

/// Whether a field's name is that of a field which tells the end of a body, with one byte replaced, added or lost.
///
/// Such a field hides how long the body is, so that a part of the body or its chunks would pass for the whole.
pub(crate) fn has_spoilt_framing_field(headers: &HeaderMap) -> bool {
    let is_spoilt = |name: &HeaderName| {
        FRAMING_FIELDS
            .iter()
            .any(|field| is_one_byte_off(name.as_str().as_bytes(), field.as_str().as_bytes()))
    };
    headers.keys().any(is_spoilt)
}

fn is_one_byte_off(name: &[u8], other: &[u8]) -> bool {
    let (short, long) = if name.len() <= other.len() { (name, other) } else { (other, name) };
    let Some(at) = short.iter().zip(long).position(|(a, b)| a != b) else {
        return long.len() == short.len() + 1;
    };
    match long.len() - short.len() {
        0 => short[at + 1..] == long[at + 1..],
        1 => short[at..] == long[at + 1..],
        _ => false,
    }
}
