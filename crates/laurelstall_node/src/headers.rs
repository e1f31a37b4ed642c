//! The system's own header fields, and the removal of hop-by-hop fields.

use crate::target_notice::RateLimitNotice;
use http::{
    HeaderMap, HeaderName, HeaderValue,
    header::{
        AUTHORIZATION, CONNECTION, CONTENT_LENGTH, HOST, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE,
        TRAILER, TRANSFER_ENCODING, UPGRADE,
    },
};
use laurelstall_overload::call_level::CallLevel;

/// How a call ended: `answered`, `not-run` or `unknown`.
pub const OUTCOME: HeaderName = HeaderName::from_static("laurelstall-outcome");
/// Number that identifies the call.
pub const CALL: HeaderName = HeaderName::from_static("laurelstall-call");
/// Why a call was not answered.
pub const REASON: HeaderName = HeaderName::from_static("laurelstall-reason");
/// Time left for the call in ms, from callers and to targets.
pub const BUDGET: HeaderName = HeaderName::from_static("laurelstall-budget-ms");
/// Name that the caller gives itself; distinguishes otherwise identical requests of different callers.
pub const CALLER: HeaderName = HeaderName::from_static("laurelstall-caller");
/// Depth of the call in a chain of nested calls.
pub const DEPTH: HeaderName = HeaderName::from_static("laurelstall-depth");
/// The ticket that limits a call to one run.
pub const TICKET: HeaderName = HeaderName::from_static("laurelstall-ticket");
/// Retry delay in ms; finer than `retry-after`.
pub const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("laurelstall-retry-after-ms");

/// The workspace that a call belongs to, sent to targets; a value sent by the caller is removed.
pub const WORKSPACE: HeaderName = HeaderName::from_static("laurelstall-workspace");

/// Requests per second that a target takes from all callers together, in its answers.
pub const RATE_LIMIT: HeaderName = HeaderName::from_static("laurelstall-rate-limit");
/// `1` in the answers of a target that is leaving.
pub const LEAVING: HeaderName = HeaderName::from_static("laurelstall-leaving");

/// Rate limit of the target that an entry knows of, in an attempt to the target's guard.
const KNOWN_RATE_LIMIT: &str = "laurelstall-known-rate-limit";

/// Level of a call, in an attempt to the target's guard.
const CALL_LEVEL: &str = "laurelstall-call-level";

/// Marks an attempt whose caller returned at a time for which a place was reserved.
const RESERVED: &str = "laurelstall-reserved";

/// Lowest level from which the guard that answered admits calls, from the guard to the entry.
const ADMISSION_THRESHOLD: &str = "laurelstall-admission-threshold";

/// Name of the instance that answered, from its guard to the entry when the instance is leaving. The entry may have
/// addressed it by an older name.
const LEAVING_INSTANCE: &str = "laurelstall-leaving-instance";

/// Authentication scheme of a caller's key in `authorization`.
const KEY_SCHEME: &str = "bearer";

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Removes hop-by-hop fields (RFC 9110, 7.6.1): those named by `connection` and the well-known ones.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| HeaderName::from_bytes(name.trim().as_bytes()).ok())
        .collect::<Vec<_>>();
    for name in named {
        headers.remove(name);
    }
    // The HTTP library of the next hop adds `te: trailers` itself.
    for name in [
        CONNECTION,
        KEEP_ALIVE,
        PROXY_CONNECTION,
        PROXY_AUTHENTICATE,
        PROXY_AUTHORIZATION,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
    ] {
        headers.remove(name);
    }
}

/// Removes the fields of a caller's request that must not reach a target; the length of a buffered body is set again
/// when it is sent.
pub fn strip_request(headers: &mut HeaderMap, is_buffered: bool) {
    strip_hop_by_hop(headers);
    headers.remove(http::header::EXPECT);
    headers.remove(KNOWN_RATE_LIMIT);
    headers.remove(CALL_LEVEL);
    headers.remove(RESERVED);
    headers.remove(ADMISSION_THRESHOLD);
    if is_buffered {
        headers.remove(CONTENT_LENGTH);
    }
}

/// Reads a number from a header field; `None` if the field is absent.
///
/// # Errors
///
/// Returns the name of the field if its value is not a number or the field occurs more than once.
pub fn read_number(headers: &HeaderMap, name: &HeaderName) -> Result<Option<u64>, HeaderName> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    let number = value.to_str().ok().and_then(|text| text.parse().ok());
    if number.is_none() || values.next().is_some() {
        return Err(name.clone());
    }
    Ok(number)
}

/// Reads the rate limit that a target states, in requests per second.
pub fn read_rate_limit(headers: &HeaderMap, name: &HeaderName) -> RateLimitNotice {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else { return RateLimitNotice::Absent };
    let number = value.to_str().ok().and_then(|text| text.trim().parse::<f64>().ok());
    match number.filter(|number| number.is_finite() && *number >= 0.0) {
        Some(per_s) if values.next().is_none() => RateLimitNotice::PerSecond(per_s),
        _ => RateLimitNotice::Invalid,
    }
}

/// Adds the rate limit of the target that the entry knows of, in requests per second.
pub fn push_known_rate_limit(headers: &mut Vec<(String, Vec<u8>)>, per_s: f64) {
    headers.push((KNOWN_RATE_LIMIT.to_owned(), per_s.to_string().into_bytes()));
}

/// Removes the rate limit that [`push_known_rate_limit`] added, and returns it.
pub fn take_known_rate_limit(headers: &mut Vec<(String, Vec<u8>)>) -> Option<f64> {
    let index = headers.iter().position(|(name, _)| name == KNOWN_RATE_LIMIT)?;
    let (_, value) = headers.swap_remove(index);
    let per_s = str::from_utf8(&value).ok()?.parse::<f64>().ok();
    per_s.filter(|per_s| per_s.is_finite() && *per_s >= 0.0)
}

/// Adds the level of the call.
pub fn push_call_level(headers: &mut Vec<(String, Vec<u8>)>, level: CallLevel) {
    headers.push((CALL_LEVEL.to_owned(), level.to_string().into_bytes()));
}

/// Removes the level that [`push_call_level`] added, and returns it.
pub fn take_call_level(headers: &mut Vec<(String, Vec<u8>)>) -> Option<CallLevel> {
    let index = headers.iter().position(|(name, _)| name == CALL_LEVEL)?;
    let (_, value) = headers.swap_remove(index);
    CallLevel::parse(str::from_utf8(&value).ok()?)
}

/// Adds the mark of a return with a reserved place.
pub fn push_reserved(headers: &mut Vec<(String, Vec<u8>)>) {
    headers.push((RESERVED.to_owned(), b"1".to_vec()));
}

/// Removes the mark that [`push_reserved`] added, and returns whether it was there.
pub fn take_reserved(headers: &mut Vec<(String, Vec<u8>)>) -> bool {
    let count = headers.len();
    headers.retain(|(name, _)| name != RESERVED);
    headers.len() < count
}

/// Returns whether an attempt states the level of the call, as entries do that know of admission by level.
pub fn has_call_level(headers: &[(String, Vec<u8>)]) -> bool {
    headers.iter().any(|(name, _)| name == CALL_LEVEL)
}

/// Adds the lowest level from which the guard admits calls to an answer.
pub fn insert_admission_threshold(headers: &mut HeaderMap, threshold: CallLevel) {
    headers.insert(ADMISSION_THRESHOLD, text_value(&threshold.to_string()));
}

/// Removes the admission threshold from an answer, and returns it.
pub fn take_admission_threshold(headers: &mut HeaderMap) -> Option<CallLevel> {
    let threshold = headers.remove(ADMISSION_THRESHOLD)?;
    CallLevel::parse(threshold.to_str().ok()?)
}

/// Adds the name of the leaving instance to its answer.
pub fn insert_leaving_instance(headers: &mut HeaderMap, instance: &str) {
    headers.insert(LEAVING_INSTANCE, text_value(instance));
}

/// Removes the name of the leaving instance from an answer, and returns it.
pub fn take_leaving_instance(headers: &mut HeaderMap) -> Option<String> {
    let name = headers.remove(LEAVING_INSTANCE)?;
    name.to_str().ok().map(str::to_owned)
}

/// Converts a number to a header value.
pub fn number_value(number: u64) -> HeaderValue {
    HeaderValue::from(number)
}

/// Converts a text to a header value; a text that is not valid as one becomes `-`.
pub fn text_value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).unwrap_or_else(|_| HeaderValue::from_static("-"))
}

/// Returns the host name of a request, without port and in lower case.
///
/// `None` if there is no host, or if there are two that differ (RFC 9112, 3.2).
pub fn host_of(uri: &http::Uri, headers: &HeaderMap) -> Option<String> {
    let mut hosts = headers.get_all(HOST).iter();
    let header = hosts.next().map(|value| value.to_str().unwrap_or("/"));
    if hosts.next().is_some() {
        return None;
    }
    let authority = match (uri.authority(), header) {
        (Some(authority), Some(header)) if !authority.as_str().eq_ignore_ascii_case(header) => return None,
        (Some(authority), _) => authority.clone(),
        (None, Some(header)) => header.parse::<http::uri::Authority>().ok()?,
        (None, None) => return None,
    };
    Some(authority.host().to_ascii_lowercase())
}

/// Returns the bearer key of a request. A repeated `authorization` field yields an empty key, which no workspace has.
pub fn bearer_key(headers: &HeaderMap) -> Option<&[u8]> {
    let mut values = headers.get_all(AUTHORIZATION).iter();
    let value = values.next()?.as_bytes();
    if values.next().is_some() {
        return Some(b"");
    }
    let scheme =
        value.get(..KEY_SCHEME.len()).filter(|scheme| scheme.eq_ignore_ascii_case(KEY_SCHEME.as_bytes()));
    let rest = scheme.and(value.get(KEY_SCHEME.len()..)).filter(|rest| rest.first() == Some(&b' '));
    rest.map(<[u8]>::trim_ascii)
}

/// Sets or removes the workspace field, so that a value sent by the caller never passes.
pub fn write_workspace(headers: &mut HeaderMap, name: &HeaderName, workspace: Option<&str>) {
    headers.remove(name);
    if let Some(workspace) = workspace {
        headers.insert(name, text_value(workspace));
    }
}
