//! How many calls a target gets while it is cold.
//!
//! The load pattern: after a start, a loss of power or an evacuation a target works slowly for some seconds and bears
//! a stated number of calls in any second; above that it fails and has to start anew. Short calls pass that bound
//! long before they fill the target's slots, and all callers come at once. The guard sees every call to its target, so
//! it keeps the bound by what it has sent, whatever it believes of the target.

use std::collections::VecDeque;

/// Span in which calls are counted, in µs: a second, and a tenth for calls that take unequally long from the guard to
/// the target, as on a host that has used up its share of a processor.
const SPAN_US: u64 = 1_100_000;
/// Part of the stated bound that is used: what a guard sent just before it was killed, or the target counts at another
/// instant, finds room in the rest.
const USED_PART: f64 = 0.94;
/// Part of the bound that may be used on a word that the target is warm, before it is asked anew: the answer comes
/// while the rest is used.
const ASKED_FROM_PART: f64 = 0.5;
/// How much sooner than the guard its target must have turned cold for an earlier process of the guard to have sent it
/// calls since, in µs: a process that was killed is started again after longer, and where both start with their host,
/// they start within some ms of each other.
const EARLIER_PROCESS_US: u64 = 100_000;
/// How long a target is given to answer the first question after a start of the guard, in µs: calls wait for it.
const FIRST_WORD_US: u64 = 20_000;
/// How much longer than it says a target is taken for cold, in µs: its word is rounded, and some ms old.
const COLD_MARGIN_US: u64 = 50_000;
/// Part of the bound that calls which nobody waits for leave free, where calls that running ones wait for came within the
/// span: else a flood of the former keeps all of it taken, and what was done for the latter is lost. Of 121 such calls in
/// ten seconds 102 find a place at once, 4 when first come is first served (`tests/cold_bound.rs`).
const FREE_PART: f64 = 0.1;
/// Part of the bound that is left to calls which nobody waits for where the others would use it up, so that no kind of
/// call is starved.
const LEAST_PART: f64 = 0.2;

/// A call that was sent to the target.
#[derive(Debug, Clone, Copy)]
struct Sent {
    at_us: u64,
    /// Whether a running call waits for it.
    is_awaited: bool,
}

impl Sent {
    fn is_recent(&self, now_us: u64) -> bool {
        now_us.saturating_sub(self.at_us) < SPAN_US
    }
}

/// The target's own word on how long it is cold.
#[derive(Debug, Clone, Copy)]
struct ColdWord {
    /// From when on calls go by it, in µs of the guard's clock: it was asked for then, or the target was to turn warm.
    since_us: u64,
    /// Until when the target is cold; in the past for a warm one.
    until_us: u64,
}

/// What a guard sends to its target within a second, as long as nothing says that the target is warm.
///
/// Nobody has to know that a target is cold for the bound to hold. More than the bound is sent only on a word of the
/// target that it is warm, and on one word no more calls than the bound: if the target turns cold right after it, these
/// are all that it gets before the span counts.
///
/// After a loss of all power, targets got 33 to 40 calls in a second where 32 are allowed, and 8 to 15 of them failed in a
/// day; with the bound none did (one run each of three days).
#[derive(Debug, Clone, Default)]
pub struct ColdBound {
    /// Most calls within [`SPAN_US`]; none when nothing bounds them.
    calls_max: Option<usize>,
    /// When the guard started, in µs of its clock.
    started_us: u64,
    /// How long a target is cold after a start, in µs; 0 when nothing says so.
    cold_start_us: u64,
    /// Whether the target was asked since the start, whether it answered or not.
    was_asked: bool,
    word: Option<ColdWord>,
    /// Until when the published list says that the target is cold, in µs of the guard's clock.
    listed_until_us: u64,
    /// Whether the target can be asked; else the list's word has to do.
    can_ask: bool,
    /// Calls that have their place and were not sent yet.
    reserved: usize,
    /// Calls that were sent, the newest last.
    sent: VecDeque<Sent>,
}

impl ColdBound {
    /// A bound that does not hold before it is set, for a guard that starts now.
    pub fn new(started_us: u64) -> Self {
        Self { started_us, ..Self::default() }
    }

    /// Sets how many calls a cold target may get within any second, 0 when nothing bounds them, and how long it is cold
    /// after a start, in ms, 0 when nothing says so.
    ///
    /// An earlier process of the guard may have used up the bound just before this one started; that counts until the
    /// target's first word shows that it cannot be.
    pub fn set_limits(&mut self, calls_per_s: u32, cold_start_ms: u64) {
        let was_bounded = self.calls_max.is_some();
        let calls = ((f64::from(calls_per_s) * USED_PART) as usize).max(1);
        self.calls_max = (calls_per_s > 0).then_some(calls);
        self.cold_start_us = cold_start_ms * 1_000;
        if !was_bounded && !self.was_asked && calls_per_s > 0 {
            self.sent = vec![Sent { at_us: self.started_us, is_awaited: false }; calls].into();
        }
    }

    /// Says whether the target can be asked how long it is cold.
    pub fn set_can_ask(&mut self, can_ask: bool) {
        self.can_ask = can_ask;
    }

    /// Takes the target's own word, asked for at `asked_us`: it is cold for so much longer, in µs; 0 when it is warm.
    pub fn note_word(&mut self, cold_left_us: u64, asked_us: u64, now_us: u64) {
        let margin_us = if cold_left_us > 0 { COLD_MARGIN_US } else { 0 };
        let until_us = now_us + cold_left_us + margin_us;
        if !self.was_asked && self.turned_cold_with_the_guard(cold_left_us, now_us) {
            self.sent.retain(|sent| sent.at_us != self.started_us);
        }
        self.was_asked = true;
        let since_us = if cold_left_us > 0 { until_us } else { asked_us };
        self.word = Some(ColdWord { since_us, until_us });
        self.listed_until_us = 0;
    }

    /// Notes that the target was asked and said nothing.
    pub fn note_silence(&mut self) {
        self.was_asked = true;
    }

    /// Takes the word of the published list, which may be seconds old: the target is asked before it gets more than
    /// the bound.
    pub fn note_listed(&mut self, cold_left_us: u64, now_us: u64) {
        if cold_left_us > 0 {
            self.listed_until_us = now_us + cold_left_us;
            self.forget_word();
        }
    }

    /// Forgets what the target said: it may be another one, or have turned cold.
    pub fn forget_word(&mut self) {
        self.word = None;
    }

    /// Whether a call may go to the target now, as far as the bound says; `is_awaited` when a running call waits for it.
    pub fn has_place(&self, is_awaited: bool, now_us: u64) -> bool {
        let Some(calls_max) = self.calls_max else { return true };
        if self.is_surely_warm(now_us) {
            return true;
        }
        let used = self.used(now_us);
        let are_others_owed = self.others(now_us) < (calls_max as f64 * LEAST_PART) as usize;
        let kept = match is_awaited {
            true => usize::from(are_others_owed),
            false if are_others_owed => 0,
            false => self.kept_free(calls_max, now_us),
        };
        used + kept < calls_max
    }

    /// When a call before which so many others go could be sent, in µs; now when the bound does not hold it up.
    pub fn place_us(&self, is_awaited: bool, ahead: usize, now_us: u64) -> u64 {
        let Some(calls_max) = self.calls_max else { return now_us };
        if self.is_surely_warm(now_us) {
            return now_us;
        }
        if !self.was_asked && self.can_ask {
            return now_us + FIRST_WORD_US;
        }
        let kept = if is_awaited { 0 } else { self.kept_free(calls_max, now_us) };
        let Some(late) =
            (self.used(now_us) + kept + ahead + 1).checked_sub(calls_max).filter(|late| *late > 0)
        else {
            return now_us;
        };
        let waves = (late - 1) / calls_max;
        let place = (late - 1) % calls_max;
        let mut recent = self.sent.iter().filter(|sent| sent.is_recent(now_us));
        // Calls that are not sent yet are taken to be sent now.
        let sent_us = recent.nth(place).map_or(now_us, |sent| sent.at_us);
        let place_us = sent_us + SPAN_US * (waves as u64 + 1);
        if self.is_cold(now_us) { place_us.min(self.cold_until_us().max(now_us)) } else { place_us }
    }

    /// Calls a second that the bound lets through; none when it does not hold them up.
    pub fn calls_per_s(&self, now_us: u64) -> Option<f64> {
        let calls_max = self.calls_max.filter(|_| self.is_cold(now_us))?;
        Some(calls_max as f64 * 1e6 / SPAN_US as f64)
    }

    /// Whether the target is to be asked how long it is cold: it is about to get more than a cold one may.
    pub fn is_word_wanted(&self, now_us: u64) -> bool {
        let Some(calls_max) = self.calls_max.filter(|_| self.can_ask) else { return false };
        match self.word {
            None => true,
            Some(word) if now_us < word.until_us => false,
            Some(word) => {
                let from = ASKED_FROM_PART * calls_max as f64;
                self.sent_on(word) as f64 >= from && self.used(now_us) as f64 >= from
            }
        }
    }

    /// Whether the target is known to be cold.
    pub fn is_cold(&self, now_us: u64) -> bool {
        self.calls_max.is_some() && now_us < self.cold_until_us()
    }

    /// Gives a call its place; it is sent soon, or not at all.
    pub fn reserve(&mut self) {
        self.reserved += 1;
    }

    /// Notes that a call which has its place is sent now.
    pub fn note_sent(&mut self, is_awaited: bool, now_us: u64) {
        self.reserved = self.reserved.saturating_sub(1);
        let Some(calls_max) = self.calls_max else { return };
        self.sent.push_back(Sent { at_us: now_us, is_awaited });
        if self.sent.len() > calls_max {
            self.sent.pop_front();
        }
    }

    /// Takes back the place of a call that was not sent.
    pub fn release_unsent(&mut self) {
        self.reserved = self.reserved.saturating_sub(1);
    }

    /// Whether the target, cold for so much longer, turned cold when the guard started and not before.
    fn turned_cold_with_the_guard(&self, cold_left_us: u64, now_us: u64) -> bool {
        let lasted_us = self.cold_start_us.checked_sub(cold_left_us);
        let since_us = lasted_us.map(|lasted_us| now_us.saturating_sub(lasted_us));
        cold_left_us > 0 && since_us.is_some_and(|since_us| since_us + EARLIER_PROCESS_US >= self.started_us)
    }

    fn cold_until_us(&self) -> u64 {
        self.word.map_or(self.listed_until_us, |word| word.until_us)
    }

    /// Whether the target is warm and may get one more call on its word.
    fn is_surely_warm(&self, now_us: u64) -> bool {
        let Some(calls_max) = self.calls_max else { return true };
        if !self.can_ask {
            return now_us >= self.listed_until_us;
        }
        self.word.is_some_and(|word| now_us >= word.until_us && self.sent_on(word) < calls_max)
    }

    /// Calls that go by a word, those that are about to be sent included.
    fn sent_on(&self, word: ColdWord) -> usize {
        self.reserved + self.sent.iter().filter(|sent| sent.at_us >= word.since_us).count()
    }

    /// Places that calls which nobody waits for leave free.
    fn kept_free(&self, calls_max: usize, now_us: u64) -> usize {
        let is_wanted = self.sent.iter().any(|sent| sent.is_awaited && sent.is_recent(now_us));
        if is_wanted { (calls_max as f64 * FREE_PART) as usize } else { 0 }
    }

    /// Places that are taken: calls that are about to be sent, and those sent within the span.
    fn used(&self, now_us: u64) -> usize {
        self.reserved + self.sent.iter().filter(|sent| sent.is_recent(now_us)).count()
    }

    /// Calls that nobody waits for and that were sent within the span.
    fn others(&self, now_us: u64) -> usize {
        self.sent.iter().filter(|sent| !sent.is_awaited && sent.is_recent(now_us)).count()
    }
}
