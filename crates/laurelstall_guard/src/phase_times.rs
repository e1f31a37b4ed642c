//! Durations of a target's slow and quick phases, estimated from its reports.

/// Gap between two reports above which a phase may have ended and started again unseen, in µs.
const GAP_MAX_US: u64 = 100_000;
/// Duration of a slow phase assumed before one was seen, in µs; neighbours on a host usually disturb a target
/// for some tenths of a second.
const INITIAL_SLOW_US: f64 = 250_000.0;
/// Duration of a quick phase assumed before one was seen, in µs.
const INITIAL_QUICK_US: f64 = 1_000_000.0;
/// Number of observed phases that the assumed durations count as.
const INITIAL_PHASES: f64 = 2.0;
/// Number of observed phases at which the weight of older ones is halved, so that the means follow changes of
/// the host.
const HALVED_FROM_PHASES: f64 = 64.0;

/// Time observed in phases of one kind, and how many of them ended.
#[derive(Debug, Clone, Copy)]
struct Observed {
    time_us: f64,
    ends: f64,
}

impl Observed {
    fn initial(length_us: f64) -> Self {
        Self { time_us: INITIAL_PHASES * length_us, ends: INITIAL_PHASES }
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

    /// Returns the time observed per ended phase, which is unbiased while a phase is still running.
    fn mean_us(&self) -> f64 {
        self.time_us / self.ends
    }
}

/// Mean durations of slow and quick phases.
///
/// They are estimated as those of a two-state Markov process: the time seen in a state divided by the changes
/// out of it. Irregular reports do not bias the estimate as long as the gap between two of them is short
/// compared with a phase.
#[derive(Debug, Clone, Copy)]
pub struct PhaseTimes {
    slow: Observed,
    quick: Observed,
}

impl Default for PhaseTimes {
    fn default() -> Self {
        Self { slow: Observed::initial(INITIAL_SLOW_US), quick: Observed::initial(INITIAL_QUICK_US) }
    }
}

impl PhaseTimes {
    /// Records two successive reports, `gap_us` apart.
    pub fn note(&mut self, was_slow: bool, is_slow: bool, gap_us: u64) {
        if gap_us > GAP_MAX_US {
            return;
        }
        let observed = if was_slow { &mut self.slow } else { &mut self.quick };
        observed.note(gap_us as f64, was_slow != is_slow);
    }

    /// Returns the mean duration of a slow phase, in µs.
    pub fn slow_us(&self) -> f64 {
        self.slow.mean_us()
    }

    /// Returns the mean duration of a quick phase, in µs.
    pub fn quick_us(&self) -> f64 {
        self.quick.mean_us()
    }

    /// Returns the probability that a target which was quick is slow after `age_us`.
    pub fn slow_probability(&self, age_us: u64) -> f64 {
        self.slow_share() * self.independence(age_us)
    }

    /// Returns the probability that a target which was slow is slow, still or again, after `age_us`.
    pub fn still_slow_probability(&self, age_us: u64) -> f64 {
        1.0 - (1.0 - self.slow_share()) * self.independence(age_us)
    }

    /// Returns the share of the time in which the target is slow.
    fn slow_share(&self) -> f64 {
        self.slow_us() / (self.slow_us() + self.quick_us())
    }

    /// Returns how far the state after `age_us` is independent of the state before, 0 to 1.
    fn independence(&self, age_us: u64) -> f64 {
        1.0 - (-(age_us as f64) / self.mixing_us()).exp()
    }

    /// Returns the time in which the correlation with an earlier state falls to 1/e, in µs.
    fn mixing_us(&self) -> f64 {
        1.0 / (1.0 / self.slow_us() + 1.0 / self.quick_us())
    }
}
