//! Finds how many calls may run at the target at once so that most get done.
//!
//! Many targets work slower for all calls above some share of their slots. Where that knee lies
//! is found by trials: while calls wait, the limit is another one for a few dozen calls, and stays
//! so if more gets done. What a trial is held against is measured in the same seconds, so that
//! whatever else makes calls longer counts on both sides.

use laurelstall_balance::class_times::{CallClass, ClassTimes};

/// Calls that a trial measures.
const TRIAL_CALLS: u32 = 32;
/// Calls after which a trial ends that does much worse than the present limit.
const HOPELESS_CALLS: u32 = 10;
/// What much worse is, relative to the present limit.
const HOPELESS: f64 = 0.9;
/// Calls at the present limit that must have been measured before a trial.
const BASE_CALLS_MIN: u32 = 24;
/// A measurement at the present limit without a new call for so long says nothing, in µs.
const BASE_AGE_MAX_US: u64 = 2_000_000;
/// Weight of a new call in the measurement at the present limit.
const BASE_WEIGHT: f64 = 0.04;
/// Longest a trial lasts, in µs.
const TRIAL_MAX_US: u64 = 3_000_000;
/// How much more must get done before another limit is taken.
const GAIN_MIN: f64 = 1.06;
/// Exponent of concurrency in what a limit is worth: 1 would weigh nothing but how much gets done,
/// 0 nothing but how soon.
const CONCURRENCY_EXPONENT: f64 = 0.75;
/// First and longest pause before a limit that did worse is tried again, in µs.
const PAUSE_FIRST_US: u64 = 10_000_000;
/// See [`PAUSE_FIRST_US`].
const PAUSE_MAX_US: u64 = 64_000_000;
/// Pause after any trial, in µs.
const PAUSE_BETWEEN_US: u64 = 500_000;
/// What the limit falls to, of itself, when the target sheds or takes no connection.
const SHED_FACTOR: f64 = 0.9;

/// The limits that are tried, relative to the present one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    Up,
    QuarterUp,
    Down,
    QuarterDown,
    HalfDown,
}

const STEPS: [Step; 5] = [Step::Up, Step::QuarterDown, Step::QuarterUp, Step::Down, Step::HalfDown];

impl Step {
    fn is_up(self) -> bool {
        matches!(self, Self::Up | Self::QuarterUp)
    }

    fn from(self, limit: u32) -> u32 {
        match self {
            Self::Up => limit + 1,
            Self::QuarterUp => limit + (limit / 4).max(1),
            Self::Down => limit.saturating_sub(1),
            Self::HalfDown => limit / 2,
            Self::QuarterDown => limit - limit.div_ceil(4).min(limit),
        }
    }
}

/// What a run is measured for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Measure {
    /// Nothing: it started while slots were free.
    Nothing,
    /// The present limit, in its so many-th measurement.
    Base(u32),
    /// A trial, by number.
    Trial(u32),
}

#[derive(Debug)]
struct Trial {
    step: usize,
    limit: u32,
    number: u32,
    started: u32,
    ended: u32,
    counted: u32,
    sum: f64,
    until_us: u64,
}

impl Trial {
    fn worth(&self) -> f64 {
        worth(self.limit, self.sum / f64::from(self.counted.max(1)))
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct Backoff {
    failures: u32,
    not_before_us: u64,
}

#[derive(Debug, Clone, Copy, Default)]
struct Base {
    number: u32,
    mean: f64,
    calls: u32,
    last_us: u64,
}

/// The limit on concurrency between a floor and the target's slots.
#[derive(Debug)]
pub struct LimitSearch {
    slots: u32,
    floor: u32,
    start: u32,
    limit: u32,
    base: Base,
    trial: Option<Trial>,
    trials: u32,
    backoffs: [Backoff; STEPS.len()],
    next_step: usize,
    not_before_us: u64,
    times: ClassTimes,
}

impl LimitSearch {
    /// A limit that starts at `start_percent` of `slots` and never falls below `floor_percent`.
    pub fn new(slots: u32, start_percent: u32, floor_percent: u32) -> Self {
        let slots = slots.max(1);
        let floor = share(slots, floor_percent);
        let start = share(slots, start_percent).max(floor);
        Self {
            slots,
            floor,
            start,
            limit: start,
            base: Base::default(),
            trial: None,
            trials: 0,
            backoffs: Default::default(),
            next_step: 0,
            not_before_us: 0,
            times: ClassTimes::default(),
        }
    }

    /// Changes slots, start and floor; what was found stays if the slots do.
    pub fn set_slots(&mut self, slots: u32, start_percent: u32, floor_percent: u32) {
        let fresh = Self::new(slots, start_percent, floor_percent);
        if (fresh.slots, fresh.start, fresh.floor) == (self.slots, self.start, self.floor) {
            return;
        }
        let times = std::mem::take(&mut self.times);
        *self = Self { times, trials: self.trials, ..fresh };
    }

    /// Calls that may run at once now.
    pub fn limit(&self) -> u32 {
        self.trial.as_ref().map_or(self.limit, |trial| trial.limit)
    }

    /// The limit without regard to a trial.
    pub fn settled(&self) -> u32 {
        self.limit
    }

    /// Run times by class.
    pub fn times(&self) -> &ClassTimes {
        &self.times
    }

    /// Notes that a call starts; `running` counts it along.
    pub fn note_start(&mut self, running: u32) -> Measure {
        if running != self.limit() {
            return Measure::Nothing;
        }
        match &mut self.trial {
            None => Measure::Base(self.base.number),
            Some(trial) if trial.started < TRIAL_CALLS => {
                trial.started += 1;
                Measure::Trial(trial.number)
            }
            Some(_) => Measure::Nothing,
        }
    }

    /// Learns from a run of `run_us` µs at the target's usual pace; none when the pace changed
    /// meanwhile or the run came to no end.
    pub fn note_end(&mut self, class: CallClass, measure: Measure, run_us: Option<f64>, now_us: u64) {
        let usual_us = self.times.mean_us(class);
        if let Some(run_us) = run_us {
            self.times.note(class, run_us);
        }
        let relative = run_us.zip(usual_us).map(|(run_us, usual_us)| run_us / usual_us.max(1.0));
        match measure {
            Measure::Nothing => {}
            Measure::Base(number) if number == self.base.number => self.note_base(relative, now_us),
            Measure::Base(_) => {}
            Measure::Trial(number) => self.note_trial(number, relative, now_us),
        }
        self.end_trial_if_due(now_us);
        self.start_trial_if_due(now_us);
    }

    /// Learns that the target refused work it was given.
    pub fn note_shed(&mut self) {
        let fallen = (f64::from(self.limit) * SHED_FACTOR) as u32;
        self.take_limit(fallen.max(self.floor));
    }

    fn note_base(&mut self, relative: Option<f64>, now_us: u64) {
        let Some(relative) = relative else { return };
        let base = &mut self.base;
        if now_us.saturating_sub(base.last_us) > BASE_AGE_MAX_US {
            base.calls = 0;
        }
        base.calls = base.calls.saturating_add(1);
        base.last_us = now_us;
        let weight = BASE_WEIGHT.max(1.0 / f64::from(base.calls));
        base.mean += weight * (relative - base.mean);
    }

    fn note_trial(&mut self, number: u32, relative: Option<f64>, _now_us: u64) {
        let Some(trial) = self.trial.as_mut().filter(|trial| trial.number == number) else { return };
        trial.ended += 1;
        if let Some(relative) = relative {
            trial.counted += 1;
            trial.sum += relative;
        }
    }

    fn start_trial_if_due(&mut self, now_us: u64) {
        let is_known = self.base.calls >= BASE_CALLS_MIN && self.base.last_us + BASE_AGE_MAX_US > now_us;
        if self.trial.is_some() || !is_known || now_us < self.not_before_us {
            return;
        }
        for offset in 0..STEPS.len() {
            let step = (self.next_step + offset) % STEPS.len();
            let limit = STEPS[step].from(self.limit).clamp(self.floor, self.slots);
            if limit == self.limit || now_us < self.backoffs[step].not_before_us {
                continue;
            }
            self.next_step = step + 1;
            self.trials += 1;
            self.trial = Some(Trial {
                step,
                limit,
                number: self.trials,
                started: 0,
                ended: 0,
                counted: 0,
                sum: 0.0,
                until_us: now_us + TRIAL_MAX_US,
            });
            return;
        }
    }

    fn end_trial_if_due(&mut self, now_us: u64) {
        let base_worth = worth(self.limit, self.base.mean);
        let is_due = |trial: &mut Trial| {
            let is_hopeless = trial.counted >= HOPELESS_CALLS && trial.worth() < HOPELESS * base_worth;
            trial.ended >= TRIAL_CALLS || now_us >= trial.until_us || is_hopeless
        };
        let Some(trial) = self.trial.take_if(is_due) else { return };
        self.not_before_us = now_us + PAUSE_BETWEEN_US;
        if trial.counted < HOPELESS_CALLS {
            // Too few calls waited for this to say anything; the step is tried again later.
            self.backoffs[trial.step].not_before_us = now_us + PAUSE_FIRST_US;
            return;
        }
        if trial.worth() > GAIN_MIN * base_worth {
            self.note_gain(trial.step, now_us);
            self.take_limit(trial.limit);
            return;
        }
        let backoff = &mut self.backoffs[trial.step];
        let pause_us = (PAUSE_FIRST_US << backoff.failures.min(10)).min(PAUSE_MAX_US);
        backoff.failures += 1;
        backoff.not_before_us = now_us + pause_us;
    }

    /// After a gain, more of the same is tried soon, and the way back later.
    fn note_gain(&mut self, gained: usize, now_us: u64) {
        for (step, backoff) in STEPS.iter().zip(&mut self.backoffs) {
            let is_same_way = step.is_up() == STEPS[gained].is_up();
            let not_before_us = if is_same_way { now_us } else { now_us + PAUSE_FIRST_US };
            *backoff = Backoff { failures: 0, not_before_us };
        }
    }

    fn take_limit(&mut self, limit: u32) {
        if limit == self.limit {
            return;
        }
        self.limit = limit;
        self.trial = None;
        self.base = Base { number: self.base.number.wrapping_add(1), ..Base::default() };
    }
}

/// How good it is that `limit` calls run at once and each takes `mean` of its usual time.
fn worth(limit: u32, mean: f64) -> f64 {
    f64::from(limit).powf(CONCURRENCY_EXPONENT) / mean.max(0.01)
}

fn share(slots: u32, percent: u32) -> u32 {
    (slots * percent / 100).clamp(1, slots)
}
