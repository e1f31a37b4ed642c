//! Whether a call that could have a slot begins now, or waits for the target to be quick again.
//!
//! How fast a target works at the instant when a call begins decides how long the whole call runs. A
//! call that begins in a short slow phase holds its slot for a multiple of the usual time and is late; one
//! that waits for the phase to end is often sooner done than if it had begun. Both ways are held against
//! each other by what they are expected to be worth: the chance of an answer in time, and a smaller
//! worth for a late one, less what the slot is worth to others.

use crate::pace::PaceOutlook;

/// Worth of an answer that comes late but before the deadline, relative to one in time.
///
/// Callers value a late answer at a tenth to a third of one in time, and the share that is
/// answered at all besides.
const LATE_WORTH: f64 = 0.25;
/// How far run times spread around their mean, relative to it.
const RUN_SPREAD: f64 = 0.2;
/// Points at which the rest of a slow phase is weighed.
const POINTS: usize = 8;

/// A call that could begin.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Starter {
    /// How long calls of its class run at the usual pace, in µs.
    pub run_us: f64,
    /// Time left in which its answer has its full worth, in µs.
    pub useful_us: f64,
    /// Time left to its deadline, in µs.
    pub budget_us: f64,
}

/// How much the slots of the target are asked for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlotDemand {
    /// Calls that run or wait, over the calls that may run at once; at most 1.
    pub load: f64,
    /// Mean run time at the usual pace, in µs.
    pub run_us: f64,
}

impl SlotDemand {
    /// What a slot is worth to other calls, in answers for each µs.
    ///
    /// A slot of an idle target is worth nothing; where all are taken, each span of the mean run time is one
    /// answer less. In between the chance that somebody else wants just this slot grows with the load.
    fn price(&self) -> f64 {
        self.load * self.load / self.run_us.max(1.0)
    }
}

/// What to do with a call and a free slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartDecision {
    /// It begins.
    Begin,
    /// It waits for the target to be quick again; the decision is made anew with the next report.
    Hold,
}

/// What is expected of a call that gets a slot, whichever way is taken.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StartOutlook {
    /// The better way.
    pub decision: StartDecision,
    /// Time until the answer, in µs, from when the call is the next to get a slot.
    pub done_us: f64,
    /// What it is worth, less what the slot is worth to others; an answer in time is worth 1.
    pub worth: f64,
}

impl StartOutlook {
    /// What one more report of the target's pace is worth to a call that could begin now.
    ///
    /// A report is worth something only as far as it may change what is done: to hold a call, or to try
    /// it elsewhere if it `has_choice`, when the target has turned slow; to begin when it has turned quick.
    pub fn report_gain(starter: &Starter, pace: &PaceOutlook, demand: &SlotDemand, has_choice: bool) -> f64 {
        let quick = PaceOutlook { slow_chance: 0.0, ..*pace };
        let slow = PaceOutlook { slow_chance: 1.0, ..*pace };
        let begin_quick = begin_worth(starter, &quick, demand);
        let begin_slow = begin_worth(starter, &slow, demand);
        let held = hold_worth(starter, pace, demand);
        let away = if has_choice { begin_quick } else { held };
        match Self::of(starter, pace, demand).decision {
            StartDecision::Begin => pace.slow_chance * (held.max(away) - begin_slow).max(0.0),
            StartDecision::Hold => (1.0 - pace.slow_chance) * (begin_quick - held).max(0.0),
        }
    }

    /// Weighs both ways for one call.
    pub fn of(starter: &Starter, pace: &PaceOutlook, demand: &SlotDemand) -> Self {
        let quick_us = starter.run_us * pace.quick_factor;
        let now = begin_worth(starter, pace, demand);
        let held = hold_worth(starter, pace, demand);
        if held > now {
            let done_us = pace.slow_left_us + quick_us;
            return Self { decision: StartDecision::Hold, done_us, worth: held };
        }
        let done_us = quick_us * (1.0 + pace.slow_chance * (pace.slow_ratio - 1.0));
        Self { decision: StartDecision::Begin, done_us, worth: now }
    }
}

/// What it is worth to begin now.
fn begin_worth(starter: &Starter, pace: &PaceOutlook, demand: &SlotDemand) -> f64 {
    let quick_us = starter.run_us * pace.quick_factor;
    let slow_us = quick_us * pace.slow_ratio;
    let quick = answer_worth(starter, quick_us) - demand.price() * quick_us;
    let slow = answer_worth(starter, slow_us) - demand.price() * slow_us;
    pace.slow_chance * slow + (1.0 - pace.slow_chance) * quick
}

/// What it is worth to begin as soon as the slow phase is over.
///
/// The rest of the phase has no memory, so its length is weighed at the middles of equally likely
/// parts. The slot stays empty meanwhile, which counts like a run.
fn hold_worth(starter: &Starter, pace: &PaceOutlook, demand: &SlotDemand) -> f64 {
    let quick_us = starter.run_us * pace.quick_factor;
    let parts = (0..POINTS).map(|part| {
        let chance = (part as f64 + 0.5) / POINTS as f64;
        let wait_us = -(1.0 - chance).ln() * pace.slow_left_us;
        let done_us = wait_us + quick_us;
        answer_worth(starter, done_us) - demand.price() * done_us
    });
    parts.sum::<f64>() / POINTS as f64
}

/// What an answer expected after `done_us` is worth.
fn answer_worth(starter: &Starter, done_us: f64) -> f64 {
    let in_time = done_by_chance(done_us, starter.useful_us);
    let in_budget = done_by_chance(done_us, starter.budget_us);
    in_time + LATE_WORTH * (in_budget - in_time).max(0.0)
}

/// The chance that what is expected after `done_us` is done after `limit_us`.
fn done_by_chance(done_us: f64, limit_us: f64) -> f64 {
    if limit_us <= 0.0 {
        return 0.0;
    }
    1.0 / (1.0 + ((done_us / limit_us - 1.0) / RUN_SPREAD).exp())
}
