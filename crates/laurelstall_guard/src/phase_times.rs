//! How long a target's slow and quick phases last, as far as its reports show.

/// Gap between two reports above which a phase may have ended and begun again unseen, in µs.
const GAP_MAX_US: u64 = 100_000;
/// Length that a slow phase is assumed to have before any was seen, in µs: neighbours on a host were
/// seen to disturb a target for some tenths of a second.
const SLOW_START_US: f64 = 250_000.0;
/// Length that a quick phase is assumed to have before any was seen, in µs.
const QUICK_START_US: f64 = 1_000_000.0;
/// How many observed phases the assumed lengths count for.
const START_PHASES: f64 = 2.0;
/// Observed phases from which older ones count half, so that the means follow a host that changes.
const HALVED_FROM_PHASES: f64 = 64.0;

/// Time that was observed in phases of one kind, and how many of them ended.
#[derive(Debug, Clone, Copy)]
struct Observed {
    time_us: f64,
    ends: f64,
}

impl Observed {
    fn assumed(length_us: f64) -> Self {
        Self { time_us: START_PHASES * length_us, ends: START_PHASES }
    }

    fn note(&mut self, time_us: f64, is_end: bool) {
        self.time_us += time_us;
        if is_end {
            self.ends += 1.0;
        }
        if self.ends >= HALVED_FROM_PHASES {
            self.time_us /= 2.0;
            self.ends /= 2.0;
        }
    }

    /// The time observed over the phases that ended in it: unbiased also while a phase is not over.
    fn mean_us(&self) -> f64 {
        self.time_us / self.ends
    }
}

/// Mean lengths of slow and quick phases.
///
/// The lengths are estimated as those of a process without memory that changes between two states:
/// the time seen in a state over the changes out of it. Reports that come irregularly do not bias it,
/// as long as the gap between two of them is short beside a phase.
#[derive(Debug, Clone, Copy)]
pub struct PhaseTimes {
    slow: Observed,
    quick: Observed,
}

impl Default for PhaseTimes {
    fn default() -> Self {
        Self { slow: Observed::assumed(SLOW_START_US), quick: Observed::assumed(QUICK_START_US) }
    }
}

impl PhaseTimes {
    /// Learns from two reports in a row, `gap_us` apart.
    pub fn note(&mut self, was_slow: bool, is_slow: bool, gap_us: u64) {
        if gap_us > GAP_MAX_US {
            return;
        }
        let observed = if was_slow { &mut self.slow } else { &mut self.quick };
        observed.note(gap_us as f64, was_slow != is_slow);
    }

    /// Mean length of a slow phase in µs.
    pub fn slow_us(&self) -> f64 {
        self.slow.mean_us()
    }

    /// Mean length of a quick phase in µs.
    pub fn quick_us(&self) -> f64 {
        self.quick.mean_us()
    }

    /// The chance that a target which was quick is slow after `age_us`.
    pub fn slow_chance(&self, age_us: u64) -> f64 {
        self.slow_share() * self.changed(age_us)
    }

    /// The chance that a target which was slow still, or again, is so after `age_us`.
    pub fn still_slow_chance(&self, age_us: u64) -> f64 {
        1.0 - (1.0 - self.slow_share()) * self.changed(age_us)
    }

    /// Share of the time that the target is slow.
    fn slow_share(&self) -> f64 {
        self.slow_us() / (self.slow_us() + self.quick_us())
    }

    /// How far the state after `age_us` has forgotten the state before, 0 to 1.
    fn changed(&self, age_us: u64) -> f64 {
        1.0 - (-(age_us as f64) / self.mixing_us()).exp()
    }

    /// Time in which the memory of a state falls to 1/e, in µs.
    fn mixing_us(&self) -> f64 {
        1.0 / (1.0 / self.slow_us() + 1.0 / self.quick_us())
    }
}
