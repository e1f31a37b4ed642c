//! URIs of the calls that stand-in callers and targets make.

use http::Uri;
use std::net::SocketAddr;

/// Host name that stand-in callers use.
pub const CALLER_HOST: &str = "standin.example";

/// Returns the URI of a call to `service` at the entry node or target at `address`.
///
/// # Panics
///
/// Panics if `service` is not a valid path segment.
pub fn uri(address: SocketAddr, service: &str) -> Uri {
    format!("http://{address}/{service}/x").parse().expect("service names are valid path segments")
}
