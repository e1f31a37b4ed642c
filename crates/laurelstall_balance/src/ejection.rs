//! Taking a target that fails or crawls out of the choice, and letting it back in slowly.

/// Longest ejection as a multiple of the first.
const EJECTION_GROWTH_MAX: u32 = 5;
/// Share of full traffic at the start of a ramp.
const RAMP_START: f64 = 0.1;

/// Whether a target is out, and how far it has ramped up since it came in.
#[derive(Debug, Clone)]
pub struct Ejection {
    until_us: u64,
    ramp_from_us: u64,
    times: u32,
}

impl Ejection {
    /// A target that ramps up from `now_us`.
    pub fn new(now_us: u64) -> Self {
        Self { until_us: 0, ramp_from_us: now_us, times: 0 }
    }

    /// A target that takes its full share at once, for those known at the entry's start.
    pub fn without_ramp() -> Self {
        Self { until_us: 0, ramp_from_us: 0, times: 0 }
    }

    /// Whether the target is out.
    pub fn is_out(&self, now_us: u64) -> bool {
        now_us < self.until_us
    }

    /// Until when the target is out, in µs; past or 0 when it is in.
    pub fn until_us(&self) -> u64 {
        self.until_us
    }

    /// Ejects the target, each time for twice as long as before up to a bound.
    pub fn eject(&mut self, now_us: u64, first_us: u64) {
        let out_us = first_us << self.times.min(EJECTION_GROWTH_MAX);
        self.until_us = now_us + out_us;
        self.ramp_from_us = self.until_us;
        self.times += 1;
    }

    /// Forgets past ejections once the target has served well for a while.
    pub fn note_recovered(&mut self) {
        self.times = 0;
    }

    /// Times it was ejected in a row.
    pub fn times(&self) -> u32 {
        self.times
    }

    /// Share of full traffic that the target takes now, 0.1 to 1.
    pub fn ramp(&self, now_us: u64, slow_start_us: u64) -> f64 {
        if slow_start_us == 0 || self.ramp_from_us == 0 {
            return 1.0;
        }
        let passed_us = now_us.saturating_sub(self.ramp_from_us);
        let grown = passed_us as f64 / slow_start_us as f64;
        (RAMP_START + (1.0 - RAMP_START) * grown).min(1.0)
    }
}
