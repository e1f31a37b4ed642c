//! The share of recent runs that have some property.

/// The share of the runs that have some property, of which the latest ones count most.
///
/// It changes with runs and not with time, so that it outlasts pauses and the seconds in which hardly any call is
/// admitted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RunShare {
    share: f64,
    runs: u32,
    runs_max: u32,
}

impl RunShare {
    /// Creates an unknown share that is averaged over about `runs_max` runs.
    pub fn unknown(runs_max: u32) -> Self {
        Self { share: 0.0, runs: 0, runs_max }
    }

    /// Creates a share that is assumed to be 1 with the weight of `runs` runs.
    pub fn assumed_whole(runs: u32, runs_max: u32) -> Self {
        Self { share: 1.0, runs, runs_max }
    }

    /// Adds a run.
    pub fn note(&mut self, has_property: bool) {
        self.runs = (self.runs + 1).min(self.runs_max);
        let sample = if has_property { 1.0 } else { 0.0 };
        self.share += (sample - self.share) / f64::from(self.runs);
    }

    /// Returns the share, 0 to 1.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Returns the number of runs that the share is averaged over.
    pub fn runs(&self) -> u32 {
        self.runs
    }
}
