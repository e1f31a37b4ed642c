//! Shared code of the command-line programs for operators.

pub mod admin_client;
pub mod check;
pub mod table;

/// Exit code for success.
pub const FINE: u8 = 0;
/// Exit code for a failed operation.
pub const FAILED: u8 = 1;
/// Exit code for wrong usage or invalid settings.
pub const WRONG_USE: u8 = 2;
