//! What the programs of this crate share: exit codes, listening sockets and result files.

use serde::Serialize;
use std::{fs, net::TcpListener};

/// Exit code for invalid arguments.
pub const EXIT_USAGE: u8 = 2;
/// Exit code for a violated guarantee.
pub const EXIT_GUARANTEE_VIOLATED: u8 = 3;

/// Listens on `address`.
///
/// # Errors
///
/// Returns a message that names the address.
pub fn listen(address: &str) -> Result<TcpListener, String> {
    TcpListener::bind(address).map_err(|error| format!("cannot listen on {address}: {error}"))
}

/// Writes `result` as JSON to `file`.
///
/// # Errors
///
/// Returns a message that names the file.
pub fn write_json(file: &str, result: &impl Serialize) -> Result<(), String> {
    let text = serde_json::to_string_pretty(result).unwrap_or_default();
    fs::write(file, text).map_err(|error| format!("cannot write {file}: {error}"))
}
