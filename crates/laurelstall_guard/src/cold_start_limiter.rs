//! Limits the rate of calls to a target that is in its cold start.
//!
//! After a start, a power loss or an evacuation a target works slowly for some seconds and survives only a
//! configured number of calls per second; above that it crashes and has to start again. Short calls exceed
//! that rate long before they fill the target's slots. The guard sees every call to its target, so it
//! enforces the limit on what it has sent, whatever the state of the target is thought to be.

use std::collections::VecDeque;

/// Length of the sliding window in which calls are counted, in µs: a second, and a tenth for differences in
/// the time that calls take from the guard to the target. They arise for example on a host that has used up
/// its share of a processor.
const WINDOW_US: u64 = 1_100_000;
/// Share of the configured limit that is used. The rest absorbs calls that an earlier guard process sent just
/// before it was killed, and calls that the target counts at a slightly different time.
const USED_SHARE: f64 = 0.94;
/// Share of the limit that may be used on one report that the target is warm before the target is queried
/// again; the reply arrives while the rest is used.
const QUERY_SHARE: f64 = 0.5;
/// If the target turned cold longer than this before the guard started, in µs, an earlier process of the
/// guard may have sent it calls since. A killed process is restarted later than this; a target that starts
/// with its host starts within some ms of the guard.
const EARLIER_PROCESS_US: u64 = 100_000;
/// Time that calls wait for the reply to the first query after a start of the guard, in µs.
const FIRST_REPORT_US: u64 = 20_000;
/// Added to the remaining cold time that a target reports, in µs, because the report is rounded and some ms
/// old.
const COLD_MARGIN_US: u64 = 50_000;
/// Share of the limit that calls which are not nested leave free while nested calls were sent within the
/// window, so that a flood of the former does not starve nested ones. Of 121 nested calls during such a flood
/// 102 find capacity at once, and 4 without this share (`tests/cold_bound.rs`).
const NESTED_SHARE: f64 = 0.1;
/// Share of the limit that nested calls leave to those that are not nested, so that neither kind is starved.
const UNNESTED_SHARE_MIN: f64 = 0.2;

/// A call that was sent to the target.
#[derive(Debug, Clone, Copy)]
struct Sent {
    at_us: u64,
    /// Whether it is a nested call, which a running call waits for.
    is_nested: bool,
}

impl Sent {
    fn is_in_window(&self, now_us: u64) -> bool {
        now_us.saturating_sub(self.at_us) < WINDOW_US
    }
}

/// What the target reported about its cold start.
#[derive(Debug, Clone, Copy)]
struct ColdReport {
    /// Calls sent from this time on, in µs of the guard's clock, count as sent on the strength of the report:
    /// the time of the query if the target was warm, or else the reported end of the cold start.
    since_us: u64,
    /// End of the cold start, in µs of the guard's clock; in the past for a warm target.
    until_us: u64,
}

/// Sliding-window limit on the calls that a target gets while it is not known to be warm.
///
/// The limit applies by default; no component has to detect the cold start first. It is exceeded only after
/// the target reported that it is warm, and by no more calls per report than the limit itself: if the target
/// turns cold right after a report, it gets at most that many calls before the limit applies again.
///
/// Without this limit, targets got 33 to 40 calls in a second after a power loss where 32 are allowed, and
/// some targets failed.
#[derive(Debug, Clone, Default)]
pub struct ColdStartLimiter {
    /// Maximum number of calls within [`WINDOW_US`]; `None` when there is no limit.
    calls_max: Option<usize>,
    /// Start of the guard, in µs of its clock.
    started_us: u64,
    /// How long a target is cold after a start, in µs; 0 when it is not configured.
    cold_start_us: u64,
    /// Whether the target was queried since the start of the guard, with or without a reply.
    was_queried: bool,
    report: Option<ColdReport>,
    /// End of the cold start by the published target list, in µs of the guard's clock.
    listed_until_us: u64,
    /// Whether the target can be queried; otherwise only the published list counts.
    can_query: bool,
    /// Number of calls that have reserved capacity and are not sent yet.
    reserved: usize,
    /// Calls that were sent, newest last.
    sent: VecDeque<Sent>,
}

impl ColdStartLimiter {
    /// Creates a limiter without a limit for a guard that starts now.
    pub fn new(started_us: u64) -> Self {
        Self { started_us, ..Self::default() }
    }

    /// Sets the maximum number of calls within any second (0 for no limit) and how long a target is cold
    /// after a start, in ms (0 when it is not configured).
    ///
    /// An earlier process of the guard may have used up the limit just before this one started. This is
    /// assumed until the target's first report rules it out.
    pub fn set_limits(&mut self, calls_per_s: u32, cold_start_ms: u64) {
        let was_bounded = self.calls_max.is_some();
        let calls = ((f64::from(calls_per_s) * USED_SHARE) as usize).max(1);
        self.calls_max = (calls_per_s > 0).then_some(calls);
        self.cold_start_us = cold_start_ms * 1_000;
        if !was_bounded && !self.was_queried && calls_per_s > 0 {
            self.sent = vec![Sent { at_us: self.started_us, is_nested: false }; calls].into();
        }
    }

    /// Sets whether the target can be queried about its cold start.
    pub fn set_can_query(&mut self, can_query: bool) {
        self.can_query = can_query;
    }

    /// Records the target's report, requested at `queried_us`: it stays cold for `cold_left_us` µs, 0 when it
    /// is warm.
    pub fn note_report(&mut self, cold_left_us: u64, queried_us: u64, now_us: u64) {
        let margin_us = if cold_left_us > 0 { COLD_MARGIN_US } else { 0 };
        let until_us = now_us + cold_left_us + margin_us;
        if !self.was_queried && self.turned_cold_at_start(cold_left_us, now_us) {
            self.sent.retain(|sent| sent.at_us != self.started_us);
        }
        self.was_queried = true;
        let since_us = if cold_left_us > 0 { until_us } else { queried_us };
        self.report = Some(ColdReport { since_us, until_us });
        self.listed_until_us = 0;
    }

    /// Records that the target was queried and did not report.
    pub fn note_no_reply(&mut self) {
        self.was_queried = true;
    }

    /// Records the remaining cold time from the published list, which may be seconds old; the target is
    /// queried again before it gets more calls than the limit.
    pub fn note_listed(&mut self, cold_left_us: u64, now_us: u64) {
        if cold_left_us > 0 {
            self.listed_until_us = now_us + cold_left_us;
            self.forget_report();
        }
    }

    /// Discards the target's report, because the instance may have changed or turned cold.
    pub fn forget_report(&mut self) {
        self.report = None;
    }

    /// Returns whether the limit lets one more call through now.
    pub fn has_capacity(&self, is_nested: bool, now_us: u64) -> bool {
        let Some(calls_max) = self.calls_max else { return true };
        if self.is_known_warm(now_us) {
            return true;
        }
        let used = self.used(now_us);
        let are_unnested_below_share =
            self.unnested_calls(now_us) < (calls_max as f64 * UNNESTED_SHARE_MIN) as usize;
        let kept = match is_nested {
            true => usize::from(are_unnested_below_share),
            false if are_unnested_below_share => 0,
            false => self.kept_for_nested(calls_max, now_us),
        };
        used + kept < calls_max
    }

    /// Returns when a call with `ahead` calls before it could be sent, in µs; `now_us` when the limit does
    /// not delay it.
    pub fn next_send_us(&self, is_nested: bool, ahead: usize, now_us: u64) -> u64 {
        let Some(calls_max) = self.calls_max else { return now_us };
        if self.is_known_warm(now_us) {
            return now_us;
        }
        if !self.was_queried && self.can_query {
            return now_us + FIRST_REPORT_US;
        }
        let kept = if is_nested { 0 } else { self.kept_for_nested(calls_max, now_us) };
        let Some(excess) =
            (self.used(now_us) + kept + ahead + 1).checked_sub(calls_max).filter(|excess| *excess > 0)
        else {
            return now_us;
        };
        let windows = (excess - 1) / calls_max;
        let index = (excess - 1) % calls_max;
        let mut recent = self.sent.iter().filter(|sent| sent.is_in_window(now_us));
        // Reserved calls are counted as sent now.
        let sent_us = recent.nth(index).map_or(now_us, |sent| sent.at_us);
        let send_us = sent_us + WINDOW_US * (windows as u64 + 1);
        if self.is_cold(now_us) { send_us.min(self.cold_until_us().max(now_us)) } else { send_us }
    }

    /// Returns the calls per second that the limit lets through; `None` when the target is not known to be
    /// cold.
    pub fn calls_per_s(&self, now_us: u64) -> Option<f64> {
        let calls_max = self.calls_max.filter(|_| self.is_cold(now_us))?;
        Some(calls_max as f64 * 1e6 / WINDOW_US as f64)
    }

    /// Returns whether the target has to be queried because it is about to get more calls than a cold one
    /// may.
    pub fn needs_report(&self, now_us: u64) -> bool {
        let Some(calls_max) = self.calls_max.filter(|_| self.can_query) else { return false };
        match self.report {
            None => true,
            Some(report) if now_us < report.until_us => false,
            Some(report) => {
                let query_from = QUERY_SHARE * calls_max as f64;
                self.sent_since_report(report) as f64 >= query_from && self.used(now_us) as f64 >= query_from
            }
        }
    }

    /// Returns whether the target is known to be cold.
    pub fn is_cold(&self, now_us: u64) -> bool {
        self.calls_max.is_some() && now_us < self.cold_until_us()
    }

    /// Reserves capacity for a call that is sent soon or given up.
    pub fn reserve(&mut self) {
        self.reserved += 1;
    }

    /// Records that a call with reserved capacity is sent now.
    pub fn note_sent(&mut self, is_nested: bool, now_us: u64) {
        self.reserved = self.reserved.saturating_sub(1);
        let Some(calls_max) = self.calls_max else { return };
        self.sent.push_back(Sent { at_us: now_us, is_nested });
        if self.sent.len() > calls_max {
            self.sent.pop_front();
        }
    }

    /// Releases the reserved capacity of a call that was not sent.
    pub fn release_unsent(&mut self) {
        self.reserved = self.reserved.saturating_sub(1);
    }

    /// Returns whether a target that stays cold for `cold_left_us` turned cold at the start of the guard and
    /// not before.
    fn turned_cold_at_start(&self, cold_left_us: u64, now_us: u64) -> bool {
        let lasted_us = self.cold_start_us.checked_sub(cold_left_us);
        let since_us = lasted_us.map(|lasted_us| now_us.saturating_sub(lasted_us));
        cold_left_us > 0 && since_us.is_some_and(|since_us| since_us + EARLIER_PROCESS_US >= self.started_us)
    }

    fn cold_until_us(&self) -> u64 {
        self.report.map_or(self.listed_until_us, |report| report.until_us)
    }

    /// Returns whether the target reported that it is warm and one more call may rely on that report.
    fn is_known_warm(&self, now_us: u64) -> bool {
        let Some(calls_max) = self.calls_max else { return true };
        if !self.can_query {
            return now_us >= self.listed_until_us;
        }
        self.report
            .is_some_and(|report| now_us >= report.until_us && self.sent_since_report(report) < calls_max)
    }

    /// Counts the calls that rely on `report`, including reserved ones.
    fn sent_since_report(&self, report: ColdReport) -> usize {
        self.reserved + self.sent.iter().filter(|sent| sent.at_us >= report.since_us).count()
    }

    /// Returns the capacity that calls which are not nested leave free for nested ones.
    fn kept_for_nested(&self, calls_max: usize, now_us: u64) -> usize {
        let are_nested_recent = self.sent.iter().any(|sent| sent.is_nested && sent.is_in_window(now_us));
        if are_nested_recent { (calls_max as f64 * NESTED_SHARE) as usize } else { 0 }
    }

    /// Counts reserved calls and those sent within the window.
    fn used(&self, now_us: u64) -> usize {
        self.reserved + self.sent.iter().filter(|sent| sent.is_in_window(now_us)).count()
    }

    /// Counts the calls sent within the window that are not nested.
    fn unnested_calls(&self, now_us: u64) -> usize {
        self.sent.iter().filter(|sent| !sent.is_nested && sent.is_in_window(now_us)).count()
    }
}
