//! What makes two requests the same one.

use serde::{Deserialize, Serialize};
use std::fmt;
use xxhash_rust::xxh3::Xxh3;

/// What is hashed in place of a body that is passed on as it comes, and not known when the request is placed.
const STREAMED_BODY: &[u8] = b"\0streamed";

/// The identity of a request: the same for each arrival with the same method, host, path, caller and body.
///
/// Headers that differ between the arrivals of one request, such as ids and time budgets, are no part of it. Logs show
/// [`RequestDigest::whole`] only, never what it was made of.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RequestDigest {
    /// Hash of everything, the body included.
    pub whole: u64,
    /// Hash of everything but the body.
    pub head: u64,
}

/// What a digest is made of besides the body.
#[derive(Debug, Clone, Copy)]
pub struct RequestHead<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Host that it is for, in lower case.
    pub host: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Who calls, where the request says so.
    pub caller: &'a str,
}

impl RequestHead<'_> {
    /// Hash of the head alone.
    pub fn hash(&self) -> u64 {
        self.hasher().digest()
    }

    fn hasher(&self) -> Xxh3 {
        let mut hasher = Xxh3::new();
        for part in [self.method, self.host, self.path, self.caller] {
            // The length keeps two parts from being taken for one.
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        hasher
    }
}

impl RequestDigest {
    /// The digest of a request whose body is known whole.
    pub fn of_whole(head: &RequestHead<'_>, body: &[u8]) -> Self {
        let mut hasher = head.hasher();
        let head = hasher.digest();
        hasher.update(body);
        Self { whole: hasher.digest(), head }
    }

    /// The digest of a request whose body is passed on as it comes: all such requests with one head are the same.
    pub fn of_stream(head: &RequestHead<'_>) -> Self {
        Self::of_whole(head, STREAMED_BODY)
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.whole)
    }
}
