//! Shared code of the command-line programs for operators.

pub mod admin_client;
pub mod check;
pub mod table;

/// Exit code for success.
pub const EXIT_SUCCESS: u8 = 0;
/// Exit code for a failed operation.
pub const EXIT_FAILURE: u8 = 1;
/// Exit code for wrong usage or an invalid file.
pub const EXIT_USAGE: u8 = 2;
