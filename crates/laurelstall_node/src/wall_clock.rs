//! The time of day, for log lines alone: nothing is decided by it.

use std::time::{SystemTime, UNIX_EPOCH};

/// Time of day in ms since 1970, to find lines of several nodes beside each other; 0 where the clock stands before it.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}
