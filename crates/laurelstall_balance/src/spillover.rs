//! Spillover: the share of a service's calls that a loaded data centre sends to less loaded ones.

use crate::fading::{faded_weight, kept_share};

/// Weight of a new sample in the moving averages of the loads. With it, the averages cover about the last ten
/// samples, a second or two of calls.
const LOAD_WEIGHT: f64 = 0.15;
/// Load of the local data centre up to which no call leaves it: its targets have free slots. With 0.5, up to
/// a fifth of the calls left data centres with equal loads. With 0.8, two fifths more bytes passed between
/// them under high load, for a gain that was not worth the traffic.
const LOCAL_LOAD_MIN: f64 = 1.0;
/// Difference of loads that is ignored, because it may be noise and each remote call costs traffic between data
/// centres.
const MARGIN: f64 = 0.2;
/// Further difference that is ignored with a single local target. The load of few targets varies more, so this part
/// shrinks with the square root of their number.
const SINGLE_TARGET_MARGIN: f64 = 0.6;
/// Change of the share per sample and unit of difference. With ten samples a second, a difference of 0.3
/// moves a tenth of the calls in a third of a second.
const GAIN: f64 = 0.1;
/// Upper limit of the share: calls that stay show when the local load falls.
const SHARE_MAX: f64 = 0.6;
/// Share that leaves a loaded data centre while the load of the others is unknown, in order to learn it.
const PROBE_SHARE: f64 = 0.02;
/// Age in µs from which the load of the remote data centres is unknown.
const REMOTE_LOAD_AGE_MAX_US: u64 = 3_000_000;

/// Age in µs of the last sample from which no call leaves, where faults are forgotten within 2 s.
const SAMPLE_AGE_MAX_US: u64 = 1_500_000;

/// Controls the share of the calls that leaves the local data centre.
///
/// When one data centre has more callers or fewer targets than the others, the cost of a remote call alone keeps its
/// calls local until they are likely to be late. This controller compares the loads that targets report with their
/// answers and raises the share until they are equal.
#[derive(Debug, Clone, Default)]
pub struct Spillover {
    local_load: f64,
    local_at_us: u64,
    remote_load: f64,
    remote_at_us: u64,
    /// Time of the last sample in µs.
    noted_us: u64,
    share: f64,
    has_fast_recovery: bool,
}

impl Spillover {
    /// Sets whether the share falls within 2 s of a fault's end, however few samples there are.
    pub fn set_fast_recovery(&mut self, has_fast_recovery: bool) {
        self.has_fast_recovery = has_fast_recovery;
    }

    /// Records the load of a local or remote target: its running and waiting calls divided by its concurrency limit.
    /// `local_targets` is the number of live targets in the local data centre.
    pub fn note(&mut self, is_remote: bool, load: f64, local_targets: usize, now_us: u64) {
        if is_remote {
            let is_old = now_us.saturating_sub(self.remote_at_us) > REMOTE_LOAD_AGE_MAX_US;
            let weight = self.load_weight(self.remote_at_us, now_us);
            self.remote_load =
                if is_old { load } else { self.remote_load + weight * (load - self.remote_load) };
            self.remote_at_us = now_us;
        } else {
            let weight = self.load_weight(self.local_at_us, now_us);
            self.local_load += weight * (load - self.local_load);
            self.local_at_us = now_us;
        }
        let margin = MARGIN + SINGLE_TARGET_MARGIN / (local_targets.max(1) as f64).sqrt();
        let excess = self.local_load - (self.remote_load + margin).max(LOCAL_LOAD_MIN);
        self.share = (self.share + GAIN * excess).clamp(0.0, SHARE_MAX);
        if self.has_fast_recovery && excess < 0.0 {
            self.share *= kept_share(now_us.saturating_sub(self.noted_us));
        }
        self.noted_us = now_us;
    }

    /// The weight of a new sample of a load whose last sample came at `last_us`.
    fn load_weight(&self, last_us: u64, now_us: u64) -> f64 {
        let passed_us = now_us.saturating_sub(last_us);
        if self.has_fast_recovery { faded_weight(LOAD_WEIGHT, passed_us) } else { LOAD_WEIGHT }
    }

    /// The load of the local data centre: a moving average of what its targets reported.
    pub fn local_load(&self) -> f64 {
        self.local_load
    }

    /// The share of the calls that should leave the local data centre now, 0 to 1.
    pub fn share(&self, now_us: u64) -> f64 {
        if self.has_fast_recovery && now_us.saturating_sub(self.noted_us) > SAMPLE_AGE_MAX_US {
            return 0.0;
        }
        if now_us.saturating_sub(self.remote_at_us) <= REMOTE_LOAD_AGE_MAX_US {
            self.share
        } else if self.local_load > LOCAL_LOAD_MIN {
            PROBE_SHARE
        } else {
            0.0
        }
    }
}
