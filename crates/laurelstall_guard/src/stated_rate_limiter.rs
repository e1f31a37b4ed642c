//! Keeps the calls to a target within the rate limit that it states in its answers.
//!
//! The limit is for the calls of all entries together. All of them go through the guard of the target, so the guard
//! counts them without messages between nodes.

use laurelstall_workspace::token_bucket::TokenBucket;
use std::collections::VecDeque;

/// Time that a target with a limit may go without calls and still catch up on them, in s: entries send calls in bursts
/// and not at even intervals.
const BURST_S: f64 = 0.5;
/// Lowest rate in calls per second: a target without calls could not show that its limit has ended.
const RATE_MIN_PER_S: f64 = 0.25;
/// Calls that may be sent at once to a target whose limit is known only from entries. A guard that has just started
/// does not know what its predecessor sent.
const FIRST_CALLS: f64 = 1.0;

/// Calls that other calls leave to nested ones while some were sent recently: the work of the call that waits for a
/// nested one is lost if that one is refused.
const KEPT_FOR_NESTED: f64 = 1.0;
/// Smallest share of the recent calls that nested ones leave to the others, so that neither kind is starved.
const UNNESTED_SHARE_MIN: f64 = 0.2;
/// Time for which calls count as recent, in µs.
const RECENT_US: u64 = 2_000_000;

/// The calls of the last [`RECENT_US`], by kind.
#[derive(Debug, Clone, Default)]
struct RecentCalls {
    /// When each call was sent, in µs of the guard's clock, and whether it was nested.
    sent: VecDeque<(u64, bool)>,
    nested: usize,
}

impl RecentCalls {
    fn push(&mut self, is_nested: bool, now_us: u64) {
        self.sent.push_back((now_us, is_nested));
        self.nested += usize::from(is_nested);
        while let Some((sent_us, is_nested)) = self.sent.front().copied()
            && sent_us + RECENT_US < now_us
        {
            self.sent.pop_front();
            self.nested -= usize::from(is_nested);
        }
    }

    /// Whether the calls that are not nested got less than their share.
    fn are_unnested_below_share(&self) -> bool {
        let unnested = self.sent.len() - self.nested;
        self.nested > 0 && (unnested as f64) < self.sent.len() as f64 * UNNESTED_SHARE_MIN
    }
}

/// The limit in force.
#[derive(Debug, Clone, Copy)]
struct StatedLimit {
    per_s: f64,
    bucket: TokenBucket,
    /// Time of the last statement, in µs of the guard's clock.
    stated_at_us: u64,
}

impl StatedLimit {
    fn new(per_s: f64, calls: f64, now_us: u64) -> Self {
        let bucket = TokenBucket::new(per_s.max(RATE_MIN_PER_S), burst(per_s), calls, now_us);
        Self { per_s, bucket, stated_at_us: now_us }
    }

    fn set_rate(&mut self, per_s: f64, now_us: u64) {
        self.stated_at_us = now_us;
        if self.per_s != per_s {
            self.per_s = per_s;
            self.bucket.set_rate(per_s.max(RATE_MIN_PER_S), burst(per_s), now_us);
        }
    }
}

/// Returns the number of calls that may be sent at once.
fn burst(per_s: f64) -> f64 {
    1.0 + per_s * BURST_S
}

/// Limits the calls to one instance of a target to the rate that the instance states.
///
/// The statements of the instance itself count as soon as it has answered this guard. Before that, right after a start
/// of the guard, the limit is the lowest that entries know of.
#[derive(Debug, Clone, Default)]
pub struct StatedRateLimiter {
    limit: Option<StatedLimit>,
    /// Whether the instance has answered a call or a query of this guard.
    has_answered: bool,
    /// Number of calls that have reserved capacity and are not sent yet.
    reserved: usize,
    recent: RecentCalls,
}

impl StatedRateLimiter {
    /// Records that the instance stated this limit in an answer.
    pub fn note_stated(&mut self, per_s: f64, now_us: u64) {
        self.has_answered = true;
        match &mut self.limit {
            Some(limit) => limit.set_rate(per_s, now_us),
            None => self.limit = Some(StatedLimit::new(per_s, 0.0, now_us)),
        }
    }

    /// Records that an answer to a call sent at `sent_us` stated no limit.
    ///
    /// The limit ends only if the call was sent after the last statement; other answers may have overtaken this one.
    pub fn note_unstated(&mut self, sent_us: u64) {
        self.has_answered = true;
        if self.limit.is_some_and(|limit| sent_us > limit.stated_at_us) {
            self.limit = None;
        }
    }

    /// Records the limit that an entry knows of; ignored once the instance has answered this guard.
    pub fn note_known_to_entry(&mut self, per_s: f64, now_us: u64) {
        if self.has_answered || self.limit.is_some_and(|limit| limit.per_s <= per_s) {
            return;
        }
        match &mut self.limit {
            Some(limit) => limit.set_rate(per_s, now_us),
            None => self.limit = Some(StatedLimit::new(per_s, FIRST_CALLS, now_us)),
        }
    }

    /// Discards the limit because another instance has taken the place of this one.
    pub fn forget(&mut self) {
        self.limit = None;
        self.recent = RecentCalls::default();
        self.has_answered = false;
    }

    /// Returns the limit in calls per second; `None` without one.
    pub fn stated_per_s(&self) -> Option<f64> {
        self.limit.map(|limit| limit.per_s)
    }

    /// Returns the calls per second that the limiter lets through; `None` without a limit.
    pub fn calls_per_s(&self) -> Option<f64> {
        self.limit.map(|limit| limit.per_s.max(RATE_MIN_PER_S))
    }

    /// Returns whether one more call may be sent now.
    pub fn has_capacity(&self, is_nested: bool, now_us: u64) -> bool {
        self.next_send_us(is_nested, 0, now_us) <= now_us
    }

    /// Returns when a call with `ahead` calls before it may be sent, in µs; `now_us` when the limit does not delay it.
    pub fn next_send_us(&self, is_nested: bool, ahead: usize, now_us: u64) -> u64 {
        let Some(limit) = &self.limit else { return now_us };
        let calls = (self.reserved + ahead + 1) as f64 + self.kept_for_others(is_nested, limit.per_s);
        now_us.saturating_add(limit.bucket.wait_for_us(calls, now_us))
    }

    /// Reserves capacity for a call that is sent soon or given up.
    pub fn reserve(&mut self) {
        self.reserved += 1;
    }

    /// Releases the reserved capacity of a call that was not sent.
    pub fn release_unsent(&mut self) {
        self.reserved = self.reserved.saturating_sub(1);
    }

    /// Records that a call with reserved capacity is sent now.
    pub fn note_sent(&mut self, is_nested: bool, now_us: u64) {
        self.reserved = self.reserved.saturating_sub(1);
        if let Some(limit) = &mut self.limit {
            limit.bucket.take(1, now_us);
            self.recent.push(is_nested, now_us);
        }
    }

    /// Returns the calls that a call leaves to those of the other kind.
    fn kept_for_others(&self, is_nested: bool, per_s: f64) -> f64 {
        let has_room = burst(per_s) >= 1.0 + KEPT_FOR_NESTED;
        let is_kept =
            has_room && self.recent.nested > 0 && is_nested == self.recent.are_unnested_below_share();
        if is_kept { KEPT_FOR_NESTED } else { 0.0 }
    }
}
