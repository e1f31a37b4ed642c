//! What the command-line programs for operators share.

pub mod admin_client;
pub mod check;
pub mod table;

/// Exit code when all is well.
pub const FINE: u8 = 0;
/// Exit code when what was asked failed.
pub const FAILED: u8 = 1;
/// Exit code for wrong use or bad settings.
pub const WRONG_USE: u8 = 2;
