//! Where stand-in callers and targets send calls.

use http::Uri;
use std::net::SocketAddr;

/// Host name that stand-in callers use.
pub const CALLER_HOST: &str = "standin.example";

/// Where a service's calls go at an entry.
///
/// # Panics
///
/// Never for the names of services.
pub fn uri(address: SocketAddr, service: &str) -> Uri {
    format!("http://{address}/{service}/x").parse().expect("an address and a name make a URI")
}
