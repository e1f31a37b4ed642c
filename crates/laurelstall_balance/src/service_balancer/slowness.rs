//! Slowness of targets compared with the others of the service.

use super::ServiceBalancer;
use crate::hint::NORMAL_PERCENT;

/// Multiple of the slowness of the service's quicker targets from which a target counts as slow.
const SLOW_FACTOR: u32 = 2;
/// Multiple of normal service time from which a target counts as slow while too few targets have recent hints. After a
/// start of the whole fleet all targets take about twice the normal time; a noisy neighbour makes it four times or
/// more.
///
/// With a factor of 2, the first calls of an entry node after such a start were refused up to eight times each. The
/// quick speed of the target itself is no substitute: guards that had just started did not recognize slow phases by
/// it.
const SLOW_FACTOR_UNKNOWN: u32 = 3;
/// Age in µs up to which a hint counts for the slowness of the service. An entry node of a large fleet receives only
/// two or three hints a second for a service. After a start of the whole fleet all targets are slow for seconds.
const SLOWNESS_AGE_MAX_US: u64 = 2_000_000;
/// Recent hints that are needed to tell how slow the service is. With fewer, one slow target could stand for all.
const SLOWNESS_HINTS_MIN: usize = 3;
/// One in this many targets, the quickest ones, is taken to run at the service's current speed.
const QUICK_TARGETS_DIVISOR: usize = 4;

impl ServiceBalancer {
    /// Records that a guard refused a call because its target is slow now: it takes `percent` of its normal time.
    pub fn note_slow_refusal(&mut self, index: usize, name: &str, percent: u32, now_us: u64) {
        let Some(index) = self.index_of(index, name) else { return };
        self.targets[index].note_slowness(percent, self.mean_latency_us, now_us);
    }

    /// Slowness in percent of normal service time from which a target counts as slow compared with the others.
    ///
    /// Where all targets are slow, as after a start of the whole fleet, none is avoided for it.
    pub fn slow_from_percent(&self, now_us: u64) -> u32 {
        let threshold = self.service_slowness_percent(now_us).map(|percent| SLOW_FACTOR * percent);
        threshold.unwrap_or(SLOW_FACTOR_UNKNOWN * NORMAL_PERCENT)
    }

    /// Slowness of the quickest quarter of the targets in percent of normal service time; `None` with too few recent
    /// hints.
    fn service_slowness_percent(&self, now_us: u64) -> Option<u32> {
        let hints = self.targets.iter().filter_map(|view| view.hint(now_us));
        let fresh = hints.filter(|(_, age_us)| *age_us <= SLOWNESS_AGE_MAX_US);
        let mut percents = fresh.map(|(hint, _)| hint.slowness_percent).collect::<Vec<_>>();
        if percents.len() < SLOWNESS_HINTS_MIN {
            return None;
        }
        percents.sort_unstable();
        percents.get(percents.len() / QUICK_TARGETS_DIVISOR).map(|percent| (*percent).max(NORMAL_PERCENT))
    }
}
