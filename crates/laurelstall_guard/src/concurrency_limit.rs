//! How many calls may run at the target at once.

/// Weight of a new sample in the recent service time.
const RECENT_WEIGHT: f64 = 0.15;
/// Weight of a new sample in the usual service time when it is below it.
const USUAL_WEIGHT_DOWN: f64 = 0.05;
/// Weight of a new sample in the usual service time when it is above it.
const USUAL_WEIGHT_UP: f64 = 0.005;
/// How much slower than usual a target may get before the limit falls.
const TOLERANCE: f64 = 2.0;
/// Weight of each new target value of the limit.
const LIMIT_WEIGHT: f64 = 0.1;
/// What the limit falls to, of itself, when the target sheds or fails to connect.
const SHED_FACTOR: f64 = 0.9;
/// Assumed service time before the first sample, in µs.
const USUAL_START_US: f64 = 5_000.0;

/// An adaptive limit between a floor and the target's slots.
///
/// It follows the ratio of usual to recent service time: a target whose neighbours steal its
/// capacity runs fewer calls at once, and the others go elsewhere instead of getting stuck.
#[derive(Debug, Clone)]
pub struct ConcurrencyLimit {
    slots: f64,
    floor: f64,
    value: f64,
    usual_us: f64,
    recent_us: f64,
    has_samples: bool,
}

impl ConcurrencyLimit {
    /// A limit that starts at `slots` and never falls below `floor_percent` of them, nor below 1.
    pub fn new(slots: u32, floor_percent: u32) -> Self {
        let slots = f64::from(slots.max(1));
        Self {
            slots,
            floor: (slots * f64::from(floor_percent) / 100.0).clamp(1.0, slots),
            value: slots,
            usual_us: USUAL_START_US,
            recent_us: USUAL_START_US,
            has_samples: false,
        }
    }

    /// Changes slots and floor, keeping what was learnt of service times.
    pub fn set_slots(&mut self, slots: u32, floor_percent: u32) {
        let fresh = Self::new(slots, floor_percent);
        let is_full = self.value >= self.slots;
        self.slots = fresh.slots;
        self.floor = fresh.floor;
        self.value = if is_full { fresh.slots } else { self.value.clamp(fresh.floor, fresh.slots) };
    }

    /// Calls that may run at once.
    pub fn limit(&self) -> u32 {
        self.value.round() as u32
    }

    /// Learns from a call that ran for `service_us`.
    pub fn note_service(&mut self, service_us: u64) {
        let sample = service_us as f64;
        if !self.has_samples {
            self.has_samples = true;
            self.usual_us = sample.max(1.0);
            self.recent_us = sample.max(1.0);
        }
        self.recent_us += RECENT_WEIGHT * (sample - self.recent_us);
        let weight = if sample < self.usual_us { USUAL_WEIGHT_DOWN } else { USUAL_WEIGHT_UP };
        self.usual_us += weight * (sample - self.usual_us);
        let gradient = (TOLERANCE * self.usual_us / self.recent_us.max(1.0)).min(1.0);
        self.value += LIMIT_WEIGHT * (self.slots * gradient - self.value);
        self.value = self.value.clamp(self.floor, self.slots);
    }

    /// Learns that the target refused work it was given.
    pub fn note_shed(&mut self) {
        self.value = (self.value * SHED_FACTOR).max(self.floor);
    }

    /// Usual service time in µs.
    pub fn usual_us(&self) -> u64 {
        self.usual_us as u64
    }

    /// Recent service time in µs.
    pub fn recent_us(&self) -> u64 {
        self.recent_us as u64
    }
}
