//! Known reads of the platform since its last outage.

/// Minimum time without a read that counts as an outage of the platform, in µs.
pub const OUTAGE_MIN_US: i64 = 3_500_000;

/// The latest period in which any nodes read the platform without an outage.
///
/// Times are in µs of this node's clock, negative before its start. Reads by other nodes appear later than
/// they were, by the time that the message took, and never earlier.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadSpan {
    /// First read of the period.
    pub first_us: i64,
    /// Last read of the period.
    pub last_us: i64,
}

impl ReadSpan {
    /// Creates a period with a single read.
    pub fn new(read_us: i64) -> Self {
        Self { first_us: read_us, last_us: read_us }
    }

    /// Merges two periods if no outage lies between them; otherwise returns the later one.
    pub fn merged(self, other: Self) -> Self {
        let (earlier, later) = if self.last_us <= other.last_us { (self, other) } else { (other, self) };
        if later.first_us > earlier.last_us + OUTAGE_MIN_US {
            return later;
        }
        Self { first_us: earlier.first_us.min(later.first_us), last_us: later.last_us }
    }

    /// Whether these reads rule out an outage of the platform that ended at `ended_us`: they cover the
    /// time at which its minimum length would have begun.
    pub fn rules_out_outage_before(self, ended_us: i64) -> bool {
        let outage_us = ended_us - OUTAGE_MIN_US;
        self.first_us < outage_us && self.last_us > outage_us
    }
}
