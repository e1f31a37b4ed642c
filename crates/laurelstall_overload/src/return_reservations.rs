//! Reservations for the returns of refused callers.

use crate::refused_requests::RefusedRequests;
use std::collections::{BTreeMap, HashMap};

/// Share of the recent answers that returns may claim. The rest is for first attempts, which have their whole latency
/// objective left.
pub const RETURN_SHARE: f64 = 0.3;
/// How long after its time a place can be claimed, in µs: callers' timers and the way to the entry take a part of it.
pub const PLACE_LIFETIME_US: u64 = 300_000;
/// How much before its time a place can be claimed, in µs: callers' timers have a resolution of 1 ms.
pub const EARLY_MAX_US: u64 = 1_000;
/// Longest retry time given to a caller, in µs; also the largest distance between two places, so that the end of a
/// fault is noticed by a return.
pub const RETRY_MAX_US: u64 = 5_000_000;
/// Smallest distance between two places, in µs.
const INTERVAL_MIN_US: u64 = 1_000;
/// Largest number of places kept, past ones included; bounds the memory of an entry with very many answers.
const PLACES_MAX: usize = 4_096;
/// Time constant in µs with which answers are forgotten: a caller that returns within a second or two needs the
/// capacity of that time.
const ANSWERS_FADE_US: f64 = 2_000_000.0;
/// Time in µs after the last answer from which the rate of answers counts as unknown instead of zero, so that the
/// callers of a service that is rarely called are not sent away for long.
const RATE_KNOWN_US: u64 = 30_000_000;

/// A refused call whose caller may return.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RefusedCall {
    /// Digest by which the return is recognised.
    pub digest: u64,
    /// Importance of the call.
    pub importance: u8,
    /// Whether a place is reserved if one is free. A caller returns only once, so a refused return gets none.
    pub may_reserve: bool,
    /// Earliest useful time of a return, in µs.
    pub earliest_us: u64,
    /// Latest time until which the caller waits, in µs.
    pub latest_us: u64,
}

/// When the caller of a refused call should return.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReturnTime {
    /// The time in µs.
    pub at_us: u64,
    /// Whether a place is reserved for the return.
    pub is_reserved: bool,
}

/// Places for the callers of one service that an entry refused and told when to return.
///
/// *Load pattern*: more calls than the targets can answer in time, or targets that reject most of them, for seconds.
/// Callers that return to a service that is still full are refused again and have waited for nothing. So only as many
/// callers are called back as the service can answer: places are spaced so that returns take [`RETURN_SHARE`] of what
/// the service recently answered through this entry. A call may use the capacity of answers to calls of its own
/// importance and below, because calls of a higher importance go ahead of it. A caller that finds no place within the
/// time that it waits gets a later time.
///
/// A digest holds one place at a time, and only a return within its window claims it, so a caller that returns early or
/// unasked gains nothing.
#[derive(Debug, Default)]
pub struct ReturnReservations {
    answers: BTreeMap<u8, FadingCount>,
    last_answer_us: Option<u64>,
    /// Digests by the time of their place. Past places are kept to space those that follow.
    places: BTreeMap<u64, u64>,
    /// Times of the places that are not claimed yet, by digest.
    unclaimed: HashMap<u64, u64>,
    refused: RefusedRequests,
}

impl ReturnReservations {
    /// Records that a target answered a call of this importance.
    pub fn note_answer(&mut self, importance: u8, now_us: u64) {
        self.last_answer_us = Some(now_us);
        self.answers.entry(importance).or_default().note(now_us);
    }

    /// Records that a request was refused.
    pub fn note_refused(&mut self, digest: u64, now_us: u64) {
        self.refused.note(digest, now_us);
    }

    /// Returns whether a request was refused recently, so that it is now a return.
    pub fn is_return(&self, digest: u64, now_us: u64) -> bool {
        self.refused.contains(digest, now_us)
    }

    /// Returns when the caller of a refused call should return, and reserves this place for it if the caller waits
    /// until then. `None` while it is unknown how much the service answers.
    pub fn reserve(&mut self, call: &RefusedCall, now_us: u64) -> Option<ReturnTime> {
        self.last_answer_us.filter(|last_us| now_us.saturating_sub(*last_us) < RATE_KNOWN_US)?;
        self.forget_past(now_us);
        let interval_us = self.interval_us(call.importance, now_us);
        let at_us = self.first_free_us(call.earliest_us.max(now_us), interval_us);
        let is_reserved = call.may_reserve
            && at_us <= call.latest_us.min(now_us + RETRY_MAX_US)
            && self.places.len() < PLACES_MAX
            && !self.holds_place(call.digest, now_us);
        if is_reserved {
            self.places.insert(at_us, call.digest);
            self.unclaimed.insert(call.digest, at_us);
        }
        Some(ReturnTime { at_us: at_us.min(now_us + RETRY_MAX_US), is_reserved })
    }

    /// Claims the place of a call that arrives now; returns whether it had one for this time.
    pub fn claim(&mut self, digest: u64, now_us: u64) -> bool {
        let Some(at_us) = self.unclaimed.get(&digest).copied() else { return false };
        if now_us + EARLY_MAX_US < at_us {
            return false;
        }
        self.unclaimed.remove(&digest);
        now_us <= at_us + PLACE_LIFETIME_US
    }

    /// Returns the number of places that can still be claimed.
    pub fn open(&self, now_us: u64) -> usize {
        self.unclaimed.values().filter(|at_us| now_us <= **at_us + PLACE_LIFETIME_US).count()
    }

    fn holds_place(&self, digest: u64, now_us: u64) -> bool {
        self.unclaimed.get(&digest).is_some_and(|at_us| now_us <= at_us + PLACE_LIFETIME_US)
    }

    /// Returns the distance between two places of calls of this importance, in µs.
    fn interval_us(&self, importance: u8, now_us: u64) -> u64 {
        let answers = self.answers.range(..=importance).map(|(_, count)| count.per_us(now_us));
        // The sum of no numbers is -0.0.
        let places_per_us = RETURN_SHARE * answers.sum::<f64>().max(f64::MIN_POSITIVE);
        ((1.0 / places_per_us) as u64).clamp(INTERVAL_MIN_US, RETRY_MAX_US)
    }

    /// Returns the first time from `earliest_us` on that has this distance from all places.
    fn first_free_us(&self, earliest_us: u64, interval_us: u64) -> u64 {
        let mut at_us = earliest_us;
        for place_us in self.places.range((earliest_us + 1).saturating_sub(interval_us)..).map(|(at, _)| *at)
        {
            if place_us >= at_us + interval_us {
                break;
            }
            at_us = place_us + interval_us;
        }
        at_us
    }

    /// Removes places that neither can be claimed nor space others.
    fn forget_past(&mut self, now_us: u64) {
        let kept = self.places.split_off(&now_us.saturating_sub(RETRY_MAX_US));
        for (at_us, digest) in std::mem::replace(&mut self.places, kept) {
            if self.unclaimed.get(&digest) == Some(&at_us) {
                self.unclaimed.remove(&digest);
            }
        }
    }
}

/// A count that fades with [`ANSWERS_FADE_US`].
#[derive(Debug, Clone, Copy, Default)]
struct FadingCount {
    count: f64,
    at_us: u64,
}

impl FadingCount {
    fn note(&mut self, now_us: u64) {
        self.count = self.faded(now_us) + 1.0;
        self.at_us = self.at_us.max(now_us);
    }

    fn faded(&self, now_us: u64) -> f64 {
        let passed_us = now_us.saturating_sub(self.at_us) as f64;
        self.count * (-passed_us / ANSWERS_FADE_US).exp()
    }

    /// Returns the recent events per µs.
    fn per_us(&self, now_us: u64) -> f64 {
        self.faded(now_us) / ANSWERS_FADE_US
    }
}
