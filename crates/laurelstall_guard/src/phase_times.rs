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

/// Multiple of the mean that a slow phase counts for at most, where faults are forgotten soon: a target that was slow for
/// seconds has short slow phases again afterwards.
const COUNTED_MAX_FACTOR: f64 = 3.0;

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
    has_fast_recovery: bool,
    /// Time of the current slow phase that was counted, in µs.
    counted_us: f64,
}

impl Default for PhaseTimes {
    fn default() -> Self {
        Self {
            slow: Observed::initial(INITIAL_SLOW_US),
            quick: Observed::initial(INITIAL_QUICK_US),
            has_fast_recovery: false,
            counted_us: 0.0,
        }
    }
}

impl PhaseTimes {
    /// Records two successive reports, `gap_us` apart.
    pub fn note(&mut self, was_slow: bool, is_slow: bool, gap_us: u64) {
        if gap_us > GAP_MAX_US {
            return;
        }
        let has_ended = was_slow != is_slow;
        if was_slow {
            let time_us = self.counted_slow_us(gap_us as f64, has_ended);
            self.slow.note(time_us, has_ended);
        } else {
            self.counted_us = 0.0;
            self.quick.note(gap_us as f64, has_ended);
        }
    }

    /// Sets whether a slow phase as long as a fault counts little.
    pub fn set_fast_recovery(&mut self, has_fast_recovery: bool) {
        self.has_fast_recovery = has_fast_recovery;
    }

    /// Returns how much of `time_us` in a slow phase counts for the mean.
    fn counted_slow_us(&mut self, time_us: f64, has_ended: bool) -> f64 {
        if !self.has_fast_recovery {
            return time_us;
        }
        // The mean of the ended phases, which the current one does not raise.
        let ended_mean_us = (self.slow.time_us - self.counted_us) / self.slow.ends;
        let left_us = (COUNTED_MAX_FACTOR * ended_mean_us - self.counted_us).max(0.0);
        let counted_us = time_us.min(left_us);
        self.counted_us = if has_ended { 0.0 } else { self.counted_us + counted_us };
        counted_us
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
