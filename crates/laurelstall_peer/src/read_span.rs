//! Reads of the platform that a node heard of, as far back as no outage lies between them.

/// Time without a read from which the platform was away, in µs.
pub const OUTAGE_MIN_US: u64 = 3_500_000;

/// The latest time in which the platform was read, by whichever nodes, without a gap as long as an outage.
///
/// Times are in µs of this node's clock. News of other nodes put reads later than they were by the time that the news
/// travelled, never earlier.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReadSpan {
    /// The first read of it.
    pub first_us: u64,
    /// The last read of it; 0 before any read.
    pub last_us: u64,
}

impl ReadSpan {
    /// A span of one read.
    pub fn new(read_us: u64) -> Self {
        Self { first_us: read_us, last_us: read_us }
    }

    /// Joins what another node knows: one span where they meet, else the later of the two.
    pub fn join(&mut self, other: Self) {
        let (earlier, later) = if self.last_us <= other.last_us { (*self, other) } else { (other, *self) };
        let is_gap = later.first_us > earlier.last_us.saturating_add(OUTAGE_MIN_US);
        let first_us = if is_gap || earlier.last_us == 0 {
            later.first_us
        } else {
            earlier.first_us.min(later.first_us)
        };
        *self = Self { first_us, last_us: later.last_us };
    }

    /// Whether these reads show that the platform was not away just before `returned_us`: they began before such an
    /// outage would have, and went on into it.
    pub fn denies_outage_before(&self, returned_us: u64) -> bool {
        let outage_us = returned_us.saturating_sub(OUTAGE_MIN_US);
        self.first_us < outage_us && self.last_us > outage_us
    }
}
