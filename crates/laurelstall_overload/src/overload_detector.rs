//! Detects that a target is overloaded by the queueing delay at its guard.

/// Length of an interval in µs; a few calls start at a target in this time, and callers notice a delay that is
/// several times as long.
pub const INTERVAL_US: u64 = 100_000;
/// Largest queueing delay relative to the useful time that is not an overload. Runs take about a third of the useful
/// time, so a call that has waited for a quarter is still answered in time if its run is slower than usual.
const DELAY_SHARE_MAX: f64 = 0.25;
/// Number of intervals after which a pause without events is not counted in full.
const INTERVALS_MAX: u64 = 50;

/// State of the queue over an interval.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Interval {
    /// Whether the shortest queueing delay was above the limit.
    pub is_overloaded: bool,
    /// Whether calls waited for a slot all the time, so that what was completed is all that the target can do.
    pub is_saturated: bool,
}

/// Distinguishes a standing queue from a burst by the shortest queueing delay over an interval.
///
/// Load pattern: more calls than slots can run, for longer than a burst. In a burst the queue empties between arrivals
/// and the shortest delay is near 0; in an overload even the shortest one is long. The limit is relative to the useful
/// time of the calls, because a delay matters only if it makes answers late.
#[derive(Debug, Default)]
pub struct OverloadDetector {
    since_us: Option<u64>,
    /// Shortest delay of the interval relative to the useful time; `None` before the first event.
    shortest_share: Option<f64>,
    last_share: f64,
    is_overloaded: bool,
}

impl OverloadDetector {
    /// Records the delay of the call that has waited longest for a slot, relative to its useful time; 0 if no call
    /// waits for a slot.
    ///
    /// The guard's queue is ordered by importance. The delay of the calls that start would therefore be short as long
    /// as the important ones fit, even if all others are late.
    pub fn note_delay(&mut self, share: f64) {
        self.last_share = share;
        self.shortest_share = Some(self.shortest_share.map_or(share, |known| known.min(share)));
    }

    /// Returns whether the target was overloaded in the last interval.
    pub fn is_overloaded(&self) -> bool {
        self.is_overloaded
    }

    /// Ends the earliest interval that is over at `now_us`; `None` if there is none left.
    pub fn end_interval(&mut self, now_us: u64) -> Option<Interval> {
        let since_us = *self.since_us.get_or_insert(now_us);
        if now_us < since_us + INTERVAL_US {
            return None;
        }
        let earliest_us = now_us.saturating_sub(INTERVALS_MAX * INTERVAL_US);
        self.since_us = Some((since_us + INTERVAL_US).max(earliest_us));
        // Without an event the queue is as it was.
        let share = self.shortest_share.take().unwrap_or(self.last_share);
        self.is_overloaded = share > DELAY_SHARE_MAX;
        Some(Interval { is_overloaded: self.is_overloaded, is_saturated: share > 0.0 })
    }
}
