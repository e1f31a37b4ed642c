//! The identity of a request, as a hash.

use serde::{Deserialize, Serialize};
use std::fmt;
use xxhash_rust::xxh3::Xxh3;

/// Hashed in place of a streamed body, which is unknown when the target of the request is chosen.
const STREAMED_BODY: &[u8] = b"\0streamed";

/// The identity of a request: equal for all requests with the same method, host, path, caller and body.
///
/// Other headers are left out, because ids and time budgets differ between the attempts of one request. Logs show only
/// [`RequestDigest::whole`], never the hashed parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RequestDigest {
    /// Hash of head and body.
    pub whole: u64,
    /// Hash of the head: all parts but the body.
    pub head: u64,
}

/// The parts of a request that are hashed in addition to the body.
#[derive(Debug, Clone, Copy)]
pub struct RequestHead<'a> {
    /// The HTTP method.
    pub method: &'a str,
    /// The host name in the request, in lower case.
    pub host: &'a str,
    /// The path and query.
    pub path: &'a str,
    /// The caller's name; empty when the request has none.
    pub caller: &'a str,
}

impl RequestHead<'_> {
    /// The hash of the head.
    pub fn hash(&self) -> u64 {
        self.hasher().digest()
    }

    fn hasher(&self) -> Xxh3 {
        let mut hasher = Xxh3::new();
        for part in [self.method, self.host, self.path, self.caller] {
            // The length keeps the boundary between two parts unambiguous.
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        hasher
    }
}

impl RequestDigest {
    /// The digest of a request with a complete body.
    pub fn of_whole(head: &RequestHead<'_>, body: &[u8]) -> Self {
        let mut hasher = head.hasher();
        let head = hasher.digest();
        hasher.update(body);
        Self { whole: hasher.digest(), head }
    }

    /// The digest of a request with a streamed body. All such requests with the same head are equal.
    pub fn of_stream(head: &RequestHead<'_>) -> Self {
        Self::of_whole(head, STREAMED_BODY)
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.whole)
    }
}
