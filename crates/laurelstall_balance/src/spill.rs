//! How much of a service's calls leaves a data centre that has less room for them than others have.

/// Weight of a new word in the loads that are compared: about the last ten words, a second or two of calls.
const LOAD_WEIGHT: f64 = 0.15;
/// Load of the own data centre up to which nothing leaves it: below, its targets have free slots. With 0.5 as much as
/// a fifth of the calls left data centres that were loaded alike, with 0.8 two fifths more bytes passed between them
/// on a day of high load, for a worth that did not pay for them.
const ROOMY: f64 = 1.0;
/// How much less loaded the others must be, however many targets are near: what is left of a difference is noise, and
/// each call that leaves costs bytes between data centres.
const MARGIN: f64 = 0.2;
/// How much more that is for a single near target: its load swings by about as much as it is, that of many by as much
/// less as the root of their number.
const MARGIN_OF_ONE: f64 = 0.6;
/// How fast the share follows the difference, for each word: with ten words a second, a difference of 0.3 moves a
/// tenth of the calls in a third of a second.
const GAIN: f64 = 0.1;
/// Largest share that leaves: calls that stay tell when there is room at home again.
const SHARE_MAX: f64 = 0.6;
/// Share that leaves a loaded data centre while nothing is known of the others: enough to hear of them.
const SHARE_TRIED: f64 = 0.02;
/// Age from which nothing is known of the others any more, in µs.
const WORD_AGE_MAX_US: u64 = 3_000_000;

/// The share of the calls that leaves the own data centre.
///
/// The load pattern: one data centre has more callers, or fewer targets, than the others, and a burst fills it while
/// the others have room. A price on leaving alone keeps calls at home until they are likely to be late there. So the
/// loads that targets tell on their answers are compared, and just as much leaves as makes them alike.
#[derive(Debug, Clone, Default)]
pub struct Spill {
    near: f64,
    far: f64,
    far_at_us: u64,
    share: f64,
}

impl Spill {
    /// Takes a word on the load of a target: calls that run and wait there, relative to its limit; of so many near
    /// targets.
    pub fn note(&mut self, is_far: bool, load: f64, near_targets: usize, now_us: u64) {
        if is_far {
            let is_old = now_us.saturating_sub(self.far_at_us) > WORD_AGE_MAX_US;
            self.far = if is_old { load } else { self.far + LOAD_WEIGHT * (load - self.far) };
            self.far_at_us = now_us;
        } else {
            self.near += LOAD_WEIGHT * (load - self.near);
        }
        let margin = MARGIN + MARGIN_OF_ONE / (near_targets.max(1) as f64).sqrt();
        let excess = self.near - (self.far + margin).max(ROOMY);
        self.share = (self.share + GAIN * excess).clamp(0.0, SHARE_MAX);
    }

    /// The load of the own data centre, as its targets told it lately.
    pub fn near_load(&self) -> f64 {
        self.near
    }

    /// The share of the calls that is to leave now, 0 to 1.
    pub fn share(&self, now_us: u64) -> f64 {
        if now_us.saturating_sub(self.far_at_us) <= WORD_AGE_MAX_US {
            self.share
        } else if self.near > ROOMY {
            SHARE_TRIED
        } else {
            0.0
        }
    }
}
