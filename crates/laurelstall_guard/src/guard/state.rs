//! What a guard knows, and to whom it gives slots.

use crate::{
    ask::Ask,
    cold_bound::ColdBound,
    guard_limits::GuardLimits,
    limit_search::LimitSearch,
    pace::Pace,
    refusal::RefusalReason,
    start_decision::{SlotDemand, StartDecision, StartOutlook, Starter},
    wait_queue::{Place, WaitQueue, Wake},
};
use laurelstall_balance::hint::USUAL_PERCENT;
use std::collections::BTreeMap;

/// Assumed run time before the first call, in µs.
const RECENT_START_US: f64 = 5_000.0;
/// Weight of a new run in the recent run time.
const RECENT_WEIGHT: f64 = 0.15;
/// Share of a call's useful time that its run is assumed to take before any of its class was measured:
/// objectives are usually set at about three times what a call takes.
const UNMEASURED_SHARE: f64 = 0.35;
/// Shortest run that is assumed, in µs.
const RUN_MIN_US: f64 = 1_000.0;
/// Patience before any run was measured: the longest wait over this.
const UNMEASURED_PATIENCE: u64 = 4;
/// Smallest patience before a call is handed back, in µs.
const PATIENCE_MIN_US: u64 = 1_000;
/// Pause after a look that brought no report, in µs: a target that does not answer it is not asked often.
const PAUSE_AFTER_FAILURE_US: u64 = 1_000_000;
/// How often held calls are decided anew when no report comes, in µs: a small part of the phases that
/// are worth to be waited for.
const RECHECK_US: u64 = 5_000;
/// What a look costs, in answers: it takes the target and its guard about a hundredth of the time of a
/// short run, and the calls wait for it.
const LOOK_COST: f64 = 0.06;
/// Shortest time from one look to the next, in µs: it bounds what observing costs a target to 50 looks a
/// second, whatever happens; fewer are worth their cost.
const LOOK_GAP_MIN_US: u64 = 20_000;
/// Age of a report from which it is never worth to be looked up anew, in µs.
const REPORT_FRESH_US: u64 = 5_000;
/// Chance that the target is in the phase of its last report from which calls are sent elsewhere by it:
/// where it may be quick again, the way to another target is not worth its time.
const SAME_PHASE_CHANCE_MIN: f64 = 0.8;
/// How far beyond the next place the returns of refused callers are spread, in µs: callers come back within a third of the
/// time that they have left, and that is seldom more.
const PROMISED_AHEAD_MAX_US: u64 = 300_000;
/// Start time of a slot that is reserved for a woken call.
const RESERVED: u64 = u64::MAX;

/// Whether the guard can ask the target for a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Looks {
    /// The target tells its load nowhere but on its answers.
    Impossible,
    /// It may be asked, but not before this time in µs of the guard's clock.
    NotBefore(u64),
    /// It is being asked.
    UnderWay,
}

/// What to do with a call for which there is a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Judgement {
    /// It begins.
    Begin,
    /// It waits for the target to be quick again.
    Hold,
    /// It is refused.
    Refuse(RefusalReason),
}

#[derive(Debug)]
pub(super) struct State {
    pub(super) limit: LimitSearch,
    /// Recent run time in µs at the target's usual pace.
    pub(super) recent_us: f64,
    /// Whether any run was measured.
    pub(super) has_measured: bool,
    pub(super) pace: Pace,
    pub(super) looks: Looks,
    /// What the target gets while it is cold.
    pub(super) cold: ColdBound,
    /// Up to when places at a cold target are promised to callers that were refused, in µs.
    promised_us: u64,
    pub(super) limits: GuardLimits,
    pub(super) queue: WaitQueue,
    /// Start times of running calls, by number, oldest first.
    pub(super) running: BTreeMap<u64, u64>,
    next_run: u64,
}

impl State {
    pub(super) fn new(limits: GuardLimits, now_us: u64) -> Self {
        let mut cold = ColdBound::new(now_us);
        cold.set_limits(limits.cold_calls_per_s, limits.cold_start_ms);
        Self {
            limit: LimitSearch::new(limits.slots, limits.slots_start_percent, limits.slots_floor_percent),
            recent_us: RECENT_START_US,
            has_measured: false,
            pace: Pace::default(),
            looks: Looks::Impossible,
            cold,
            promised_us: 0,
            limits,
            queue: WaitQueue::default(),
            running: BTreeMap::new(),
            next_run: 0,
        }
    }

    pub(super) fn set_limits(&mut self, limits: GuardLimits) {
        self.limits = limits;
        self.cold.set_limits(limits.cold_calls_per_s, limits.cold_start_ms);
        self.limit.set_slots(limits.slots, limits.slots_start_percent, limits.slots_floor_percent);
    }

    pub(super) fn has_slot(&self) -> bool {
        self.running.len() < self.limit.limit() as usize
    }

    /// Assumes a run time from what the first call asks, until one was measured.
    pub(super) fn note_asked(&mut self, ask: &Ask) {
        if !self.has_measured {
            self.recent_us = self.class_run_us(ask);
        }
    }

    /// Calls that may run at once now: less than the limit on concurrency where a cold target gets so few a second
    /// that they do not fill it.
    pub(super) fn bearable(&self, now_us: u64) -> u32 {
        let limit = self.limit.limit();
        let Some(per_s) = self.cold.calls_per_s(now_us) else { return limit };
        let at_once = per_s * self.service_us(now_us) as f64 / 1e6;
        (at_once.ceil() as u32).clamp(1, limit.max(1))
    }

    /// Whether a call may begin now: a slot is free, and the target bears one more call if it is cold.
    pub(super) fn has_room(&self, ask: &Ask, now_us: u64) -> bool {
        self.has_slot() && self.cold.has_place(ask.rank.is_awaited(), now_us)
    }

    /// Whether the target is to be asked how long it is cold.
    pub(super) fn is_cold_word_wanted(&self, now_us: u64) -> bool {
        self.looks != Looks::UnderWay && self.can_look(now_us) && self.cold.is_word_wanted(now_us)
    }

    /// Gives a call a slot; `start_us` says from when on it runs.
    pub(super) fn start(&mut self, start_us: u64) -> u64 {
        self.cold.reserve();
        let number = self.next_run;
        self.next_run += 1;
        self.running.insert(number, start_us);
        number
    }

    /// Frees the slot of a run that has ended, and its place if it was not sent.
    pub(super) fn end(&mut self, number: u64, was_sent: bool) {
        self.running.remove(&number);
        if !was_sent {
            self.cold.release_unsent();
        }
    }

    /// Gives up a slot that is reserved for a woken call.
    pub(super) fn drop_reserved(&mut self) {
        let reserved = self.running.iter().find(|(_, start)| **start == RESERVED).map(|(number, _)| *number);
        let number = reserved.expect("a woken call has a reserved slot");
        self.end(number, false);
    }

    /// Gives free slots to waiting calls, the first ones first, as far as it is better for each to begin
    /// now than to be held; calls that waited for nothing but a report are refused if it speaks against them.
    pub(super) fn admit_waiting(&mut self, now_us: u64) {
        if !self.has_slot() || self.is_report_wanted(now_us) {
            return;
        }
        let judged = self
            .queue
            .iter()
            .map(|(place, ask, is_accepted)| (*place, ask.rank, self.judge(ask, is_accepted, now_us)));
        for (place, rank, judgement) in judged.collect::<Vec<_>>() {
            match judgement {
                Judgement::Begin if !self.has_slot() => break,
                // A call that a running one waits for may still have a place.
                Judgement::Begin if !self.cold.has_place(rank.is_awaited(), now_us) => {}
                Judgement::Begin => {
                    if self.queue.wake(&place, Wake::Start) {
                        self.start(RESERVED);
                    }
                }
                Judgement::Refuse(reason) => drop(self.queue.wake(&place, Wake::Refused(reason))),
                Judgement::Hold => {}
            }
        }
        self.queue.accept_all();
    }

    /// Refuses waiting calls that would not be served in time any more, since others went ahead of them or the
    /// target turned slow: waiting on would only cost their callers time that they could use elsewhere.
    ///
    /// On days of high load of three deployments nine in ten refusals come within 77, 184 and 256 ms of the
    /// call's arrival instead of 105, 282 and 312 (one run each).
    pub(super) fn refuse_hopeless(&mut self, now_us: u64) {
        let limit = u64::from(self.limit.limit().max(1));
        let free = limit.saturating_sub(self.running.len() as u64);
        let service_us = self.service_us(now_us);
        let is_hopeless = |(number, (place, ask, _)): (usize, (&Place, &Ask, bool))| {
            let place_us = self.cold.place_us(ask.rank.is_awaited(), number, now_us);
            let is_held_up = place_us > now_us;
            let is_next = (number as u64) < free;
            if is_next && !is_held_up {
                return None;
            }
            let ahead = (number as u64).saturating_sub(free);
            let slot_us = now_us + ahead * service_us / limit;
            let run_us = (self.class_run_us(ask) * self.quick_factor(now_us)) as u64;
            let reason = match ask.may_hand_back {
                _ if is_held_up && place_us + run_us > ask.useful_until_us => RefusalReason::Cold,
                true => RefusalReason::HandedBack,
                false => RefusalReason::Busy,
            };
            let done_us = slot_us.max(place_us) + run_us;
            (done_us > ask.useful_until_us).then_some((*place, reason))
        };
        let hopeless = self.queue.iter().enumerate().filter_map(is_hopeless).collect::<Vec<_>>();
        for (place, reason) in hopeless {
            self.queue.wake(&place, Wake::Refused(reason));
        }
    }

    /// What to do with a waiting call for which there is a slot.
    fn judge(&self, ask: &Ask, is_accepted: bool, now_us: u64) -> Judgement {
        let refused = if is_accepted { None } else { self.refused_for(ask, now_us) };
        match refused {
            Some(reason) => Judgement::Refuse(reason),
            None if self.begins(ask, now_us) => Judgement::Begin,
            None => Judgement::Hold,
        }
    }

    /// Why a call that comes is refused, by the pace of the target; none when it is not.
    pub(super) fn refused_for(&self, ask: &Ask, now_us: u64) -> Option<RefusalReason> {
        if self.is_left(ask, now_us) {
            return Some(RefusalReason::Slow);
        }
        self.is_wasted(ask, now_us).then_some(RefusalReason::Busy)
    }

    /// Whether a call that finds a free slot and nobody waiting begins at once.
    pub(super) fn may_begin(&self, ask: &Ask, now_us: u64) -> bool {
        self.queue.is_empty() && self.has_room(ask, now_us) && self.begins(ask, now_us)
    }

    /// Whether a call that has a choice is to try another target, since this one is slow beside them.
    fn is_left(&self, ask: &Ask, now_us: u64) -> bool {
        let Some(from_percent) = ask.slow_from_percent else { return false };
        let slowness_percent = self.pace.slowness_percent(now_us);
        slowness_percent >= from_percent && self.pace.same_phase_chance(now_us) >= SAME_PHASE_CHANCE_MIN
    }

    /// What is expected of a call that could begin now or be held.
    fn outlook(&self, ask: &Ask, now_us: u64) -> StartOutlook {
        StartOutlook::of(&self.starter(ask, now_us), &self.pace.outlook(now_us), &self.demand())
    }

    fn starter(&self, ask: &Ask, now_us: u64) -> Starter {
        Starter {
            run_us: self.class_run_us(ask),
            useful_us: ask.useful_until_us.saturating_sub(now_us) as f64,
            budget_us: ask.deadline_us.saturating_sub(now_us) as f64,
        }
    }

    fn demand(&self) -> SlotDemand {
        // The call that is decided on counts along, whether it is in the queue yet or not.
        let wanted = self.running.len() + self.queue.len().max(1);
        let load = (wanted as f64 / f64::from(self.limit.limit().max(1))).min(1.0);
        SlotDemand { load, run_us: self.recent_us }
    }

    fn begins(&self, ask: &Ask, now_us: u64) -> bool {
        !self.limits.may_hold || self.outlook(ask, now_us).decision == StartDecision::Begin
    }

    /// Whether the target is to be asked for a report before a slot is given to the call.
    pub(super) fn awaits_report(&self, ask: &Ask, now_us: u64) -> bool {
        if !self.can_look(now_us) {
            return false;
        }
        let Some(age_us) = self.pace.age_us(now_us) else { return true };
        if age_us < REPORT_FRESH_US {
            return false;
        }
        let has_choice = ask.slow_from_percent.is_some();
        let outlook = self.pace.outlook(now_us);
        let gain =
            StartOutlook::report_gain(&self.starter(ask, now_us), &outlook, &self.demand(), has_choice);
        gain * self.startable() as f64 > LOOK_COST
    }

    /// Whether the target is to be asked for a report now.
    pub(super) fn is_report_wanted(&self, now_us: u64) -> bool {
        self.has_slot() && self.queue.first().is_some_and(|ask| self.awaits_report(ask, now_us))
    }

    fn can_look(&self, now_us: u64) -> bool {
        match self.looks {
            Looks::Impossible => false,
            Looks::NotBefore(at_us) => now_us >= at_us,
            Looks::UnderWay => true,
        }
    }

    /// Calls that could begin at once.
    fn startable(&self) -> usize {
        let free = (self.limit.limit() as usize).saturating_sub(self.running.len());
        self.queue.len().clamp(1, free.max(1))
    }

    /// When waiting calls are to be decided anew, in µs; none while there is nothing to decide.
    pub(super) fn recheck_us(&self, now_us: u64) -> Option<u64> {
        let is_due = !self.queue.is_empty() && self.has_slot();
        let place_us = |ask: &Ask| self.cold.place_us(ask.rank.is_awaited(), 0, now_us);
        is_due.then(|| self.queue.first().map_or(now_us, place_us).max(now_us + RECHECK_US))
    }

    /// Notes that the target is asked for a report.
    pub(super) fn note_look_begun(&mut self) {
        if self.looks != Looks::Impossible {
            self.looks = Looks::UnderWay;
        }
    }

    /// Notes that the target was asked, and whether it brought a report.
    pub(super) fn note_look_ended(&mut self, is_answered: bool, now_us: u64) {
        let pause_us = if is_answered { LOOK_GAP_MIN_US } else { PAUSE_AFTER_FAILURE_US };
        if self.looks != Looks::Impossible {
            self.looks = Looks::NotBefore(now_us + pause_us);
        }
    }

    /// Whether the call would take a slot that others need, and come too late all the same.
    fn is_wasted(&self, ask: &Ask, now_us: u64) -> bool {
        let useful_us = ask.useful_until_us.saturating_sub(now_us) as f64;
        let done_us = self.outlook(ask, now_us).done_us;
        done_us > useful_us && 2 * self.running.len() as u32 >= self.limit.limit()
    }

    /// Longest that a call may wait: so that its answer still has its full worth.
    pub(super) fn wait_max_us(&self, ask: &Ask, now_us: u64) -> u64 {
        let done_us = self.outlook(ask, now_us).done_us as u64;
        let useful_us = ask.useful_until_us.saturating_sub(now_us).saturating_sub(done_us);
        useful_us.min(self.limits.queue_wait_max_ms * 1_000)
    }

    /// How long a call waits before it is first handed back, in µs.
    pub(super) fn patience_us(&self, wait_max_us: u64) -> u64 {
        if !self.has_measured {
            return (wait_max_us / UNMEASURED_PATIENCE).max(PATIENCE_MIN_US);
        }
        (self.recent_us as u64).max(PATIENCE_MIN_US)
    }

    /// How long a call runs that begins outside of a slow phase, in µs.
    pub(super) fn service_us(&self, now_us: u64) -> u64 {
        (self.recent_us * self.quick_factor(now_us)) as u64
    }

    /// How long a call waits until a cold target bears it, in µs.
    pub(super) fn cold_wait_us(&self, ask: &Ask, now_us: u64) -> u64 {
        let before = self.queue.ahead_of(ask.rank, ask.deadline_us);
        self.cold.place_us(ask.rank.is_awaited(), before, now_us) - now_us
    }

    /// When a refused call could come back to a cold target, in µs from now: callers are spread over the places to come.
    pub(super) fn promise_place(&mut self, now_us: u64) -> u64 {
        let place_us = self.cold.place_us(false, self.queue.len(), now_us);
        let step_us = self.cold.calls_per_s(now_us).map_or(0, |per_s| (1e6 / per_s) as u64);
        let promised_us = (self.promised_us + step_us).clamp(place_us, place_us + PROMISED_AHEAD_MAX_US);
        self.promised_us = promised_us;
        promised_us - now_us
    }

    pub(super) fn expected_wait_us(&self, ask: &Ask, now_us: u64) -> u64 {
        let limit = u64::from(self.limit.limit().max(1));
        // Calls ahead that have a free slot wait for nothing but a report, or are held.
        let free = limit.saturating_sub(self.running.len() as u64);
        let before = self.queue.ahead_of(ask.rank, ask.deadline_us);
        let ahead = (before as u64).saturating_sub(free);
        let slot_wait_us = ahead * self.service_us(now_us) / limit;
        slot_wait_us.max(self.cold_wait_us(ask, now_us))
    }

    pub(super) fn note_run(&mut self, usual_us: f64) {
        let weight = if self.has_measured { RECENT_WEIGHT } else { 1.0 };
        self.recent_us += weight * (usual_us - self.recent_us);
        self.has_measured = true;
    }

    /// How long calls of this class run at the usual pace, in µs, as far as it is known.
    fn class_run_us(&self, ask: &Ask) -> f64 {
        let known = self.limit.times().mean_us(ask.class);
        known.unwrap_or_else(|| (ask.useful_us as f64 * UNMEASURED_SHARE).max(RUN_MIN_US))
    }

    /// How long work takes outside of slow phases, relative to the usual.
    fn quick_factor(&self, now_us: u64) -> f64 {
        f64::from(self.pace.quick_percent(now_us)) / f64::from(USUAL_PERCENT)
    }
}
