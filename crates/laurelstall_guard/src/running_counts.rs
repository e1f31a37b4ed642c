//! Attempts and refusals by the number of calls that ran when they began.

use std::ops::RangeInclusive;

/// Half-life of the counts in µs: after 2 s a fault has little weight left, and a target that gets ten calls a second
/// still has enough attempts to compare.
const HALF_LIFE_US: f64 = 1_000_000.0;
/// Largest number of running calls that is told apart from larger ones.
const RUNNING_MAX: usize = 256;
/// Weight of refusals below which there are none.
const REFUSALS_MIN: f64 = 0.25;

/// Attempts and how many of them were refused, with fading weights.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Share {
    /// Weight of the attempts.
    pub attempts: f64,
    /// Weight of those that were refused.
    pub refusals: f64,
}

impl Share {
    /// Returns the share of refused attempts; 0 without attempts.
    pub fn refused(&self) -> f64 {
        if self.attempts > 0.0 { self.refusals / self.attempts } else { 0.0 }
    }
}

/// Fading counts of attempts and refusals by the number of running calls.
#[derive(Debug, Clone, Default)]
pub struct RunningCounts {
    /// Element `n - 1` has the attempts that began with `n` running calls.
    shares: Vec<Share>,
    faded_us: u64,
}

impl RunningCounts {
    /// Counts an attempt that began with `running` calls, itself included.
    pub fn note_attempt(&mut self, running: u32, now_us: u64) {
        self.fade(now_us);
        self.share_mut(running).attempts += 1.0;
    }

    /// Counts the refusal of such an attempt.
    pub fn note_refusal(&mut self, running: u32, now_us: u64) {
        self.fade(now_us);
        let share = self.share_mut(running);
        share.refusals += 1.0;
        // The attempt has faded since it began.
        share.attempts = share.attempts.max(share.refusals);
    }

    /// Returns whether there was no refusal recently.
    pub fn has_no_refusals(&mut self, now_us: u64) -> bool {
        self.fade(now_us);
        self.share(1..=u32::MAX).refusals < REFUSALS_MIN
    }

    /// Returns the attempts that began with a number of running calls in `range`.
    pub fn share(&self, range: RangeInclusive<u32>) -> Share {
        let from = (*range.start() as usize).saturating_sub(1);
        let in_range = self.shares.iter().take(*range.end() as usize).skip(from);
        in_range.fold(Share::default(), |sum, share| Share {
            attempts: sum.attempts + share.attempts,
            refusals: sum.refusals + share.refusals,
        })
    }

    /// Returns the largest number of running calls counted.
    pub fn running_max(&self) -> u32 {
        self.shares.len() as u32
    }

    fn share_mut(&mut self, running: u32) -> &mut Share {
        let index = (running.max(1) as usize).min(RUNNING_MAX) - 1;
        if self.shares.len() <= index {
            self.shares.resize(index + 1, Share::default());
        }
        &mut self.shares[index]
    }

    fn fade(&mut self, now_us: u64) {
        let passed_us = now_us.saturating_sub(self.faded_us);
        self.faded_us = self.faded_us.max(now_us);
        let factor = (-(passed_us as f64) / HALF_LIFE_US).exp2();
        for share in &mut self.shares {
            share.attempts *= factor;
            share.refusals *= factor;
        }
    }
}
