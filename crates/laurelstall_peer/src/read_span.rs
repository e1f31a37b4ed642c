//! Reads of the platform that a node heard of, as far back as no outage lies between them.

/// Time without a read from which the platform was away, in µs.
pub const OUTAGE_MIN_US: i64 = 3_500_000;

/// The latest time in which the platform was read, by whichever nodes, without a gap as long as an outage.
///
/// Times are in µs of this node's clock, negative for those before its start. News of other nodes put reads later than they
/// were by the time that the news travelled, never earlier.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadSpan {
    /// The first read of it.
    pub first_us: i64,
    /// The last read of it.
    pub last_us: i64,
}

impl ReadSpan {
    /// A span of one read.
    pub fn new(read_us: i64) -> Self {
        Self { first_us: read_us, last_us: read_us }
    }

    /// This span and another one: one span where they meet, else the later of the two.
    pub fn joined(self, other: Self) -> Self {
        let (earlier, later) = if self.last_us <= other.last_us { (self, other) } else { (other, self) };
        if later.first_us > earlier.last_us + OUTAGE_MIN_US {
            return later;
        }
        Self { first_us: earlier.first_us.min(later.first_us), last_us: later.last_us }
    }

    /// Whether these reads show that the platform was not away just before `returned_us`: they began before such an
    /// outage would have, and went on into it.
    pub fn denies_outage_before(self, returned_us: i64) -> bool {
        let outage_us = returned_us - OUTAGE_MIN_US;
        self.first_us < outage_us && self.last_us > outage_us
    }
}
