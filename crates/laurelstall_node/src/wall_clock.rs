//! Wall-clock time, used in log lines and to order the ids of crashes.

use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the Unix time in ms, or 0 when the clock is set to a time before 1970.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}
