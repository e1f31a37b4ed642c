//! Adaptive concurrency limit: finds how many calls may run at the target at once for the best throughput.
//!
//! Many targets work slower for all calls above some share of their slots. The limit at which this starts is
//! found by trials: while calls wait, another limit applies for a few dozen calls, and stays if the result is
//! better. The baseline that a trial is compared with is measured in the same seconds, so that other causes
//! of longer run times affect both.
//!
//! Here a trial is a test of another limit and the baseline its control measurement; neither has to do with
//! the load balancer's baseline algorithms or with trial requests of a quarantine.

use crate::shed_recovery::{FAULT_MAX_US, ShedRecovery};
use laurelstall_balance::class_times::{CallClass, ClassTimes};

/// Number of calls that a trial measures.
const TRIAL_CALLS: u32 = 32;
/// Number of measured calls after which a trial that does much worse than the present limit is aborted.
const ABORT_CALLS: u32 = 10;
/// A trial is aborted below this share of the baseline's utility.
const ABORT_SHARE: f64 = 0.9;
/// Number of calls that must have been measured at the present limit before a trial starts.
const BASELINE_CALLS_MIN: u32 = 24;
/// Time without a new call after which the baseline is discarded, in µs.
const BASELINE_AGE_MAX_US: u64 = 2_000_000;
/// Weight of a new call in the moving average of the baseline.
const BASELINE_WEIGHT: f64 = 0.04;
/// Maximum duration of a trial, in µs.
const TRIAL_MAX_US: u64 = 3_000_000;
/// Utility relative to the baseline's above which the limit of a trial is adopted.
const GAIN_MIN: f64 = 1.06;
/// Exponent of concurrency in the utility of a limit: 1 rates throughput only, 0 latency only.
const CONCURRENCY_EXPONENT: f64 = 0.75;
/// Pause after the first failed trial of a step, in µs; it doubles with each further failure.
const PAUSE_FIRST_US: u64 = 10_000_000;
/// Longest pause after failed trials of a step, in µs.
const PAUSE_MAX_US: u64 = 64_000_000;
/// Pause after any trial, in µs.
const PAUSE_BETWEEN_US: u64 = 500_000;
/// Largest run time in a trial of the limit before a lower one, relative to the baseline, at which that limit is
/// restored: the lower one has made runs no shorter.
const RECHECK_SLOWDOWN_MAX: f64 = 1.1;
/// Run time in a trial of a higher limit, relative to the baseline, below which its result is discarded where what is
/// learned during a fault expires: runs get shorter because the fault has ended, not because more calls run.
const PLAUSIBLE_SLOWDOWN_MIN: f64 = 0.8;
/// Time over which the first trials after a time without saturation are spread, in µs, where what is learned during a
/// fault expires. After a fault all guards are saturated again at once, and trials of lower limits at many targets in
/// the same second make answers late.
const TRIAL_SPREAD_US: u64 = 8_000_000;
/// Time over which later trials are spread in addition to the pause, in µs, for the same reason.
const PAUSE_SPREAD_US: u64 = 2_000_000;
/// Factor by which the limit falls when the target sheds a request.
const SHED_FACTOR: f64 = 0.9;

/// Changes of the limit that are tried.
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

    fn apply_to(self, limit: u32) -> u32 {
        match self {
            Self::Up => limit + 1,
            Self::QuarterUp => limit + (limit / 4).max(1),
            Self::Down => limit.saturating_sub(1),
            Self::HalfDown => limit / 2,
            Self::QuarterDown => limit - limit.div_ceil(4).min(limit),
        }
    }
}

/// What the run time of a call is a sample of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SampleKind {
    /// Nothing, because the call started while slots were free.
    Unused,
    /// The baseline of this number.
    Baseline(u32),
    /// The trial of this number.
    Trial(u32),
}

#[derive(Debug)]
struct Trial {
    /// Index of the step; `None` for a return to the limit before a lower one was adopted.
    step: Option<usize>,
    limit: u32,
    number: u32,
    started: u32,
    ended: u32,
    counted: u32,
    slowdown_sum: f64,
    until_us: u64,
}

impl Trial {
    fn mean_slowdown(&self) -> f64 {
        self.slowdown_sum / f64::from(self.counted.max(1))
    }

    fn utility(&self) -> f64 {
        utility(self.limit, self.mean_slowdown())
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct Backoff {
    failures: u32,
    not_before_us: u64,
}

/// Mean of run times divided by the mean of their class, measured at the settled limit.
#[derive(Debug, Clone, Copy, Default)]
struct Baseline {
    number: u32,
    mean_slowdown: f64,
    calls: u32,
    last_us: u64,
}

/// The limit before trials lowered it.
#[derive(Debug, Clone, Copy)]
struct LimitBeforeTrials {
    limit: u32,
    /// When the first of them did, in µs.
    lowered_us: u64,
}

/// A concurrency limit that adapts between a floor and the target's slots.
#[derive(Debug)]
pub struct AdaptiveLimit {
    slots: u32,
    floor: u32,
    start: u32,
    limit: u32,
    baseline: Baseline,
    trial: Option<Trial>,
    trials: u32,
    backoffs: [Backoff; STEPS.len()],
    next_step: usize,
    not_before_us: u64,
    recovery: ShedRecovery,
    has_fast_recovery: bool,
    before_trials: Option<LimitBeforeTrials>,
    /// Limit before the last trial that lowered it. It is tried once more, because runs may have become shorter only
    /// because a fault ended.
    limit_to_recheck: Option<u32>,
    times: ClassTimes,
}

impl AdaptiveLimit {
    /// Creates a limit that starts at `start_percent` of `slots` and never falls below `floor_percent`.
    pub fn new(slots: u32, start_percent: u32, floor_percent: u32) -> Self {
        let slots = slots.max(1);
        let floor = percent_of(slots, floor_percent);
        let start = percent_of(slots, start_percent).max(floor);
        Self {
            slots,
            floor,
            start,
            limit: start,
            baseline: Baseline::default(),
            trial: None,
            trials: 0,
            backoffs: Default::default(),
            next_step: 0,
            not_before_us: 0,
            recovery: ShedRecovery::default(),
            has_fast_recovery: false,
            before_trials: None,
            limit_to_recheck: None,
            times: ClassTimes::default(),
        }
    }

    /// Sets slots, start and floor; the limit is reset only if one of them changes.
    pub fn set_slots(&mut self, slots: u32, start_percent: u32, floor_percent: u32) {
        let fresh = Self::new(slots, start_percent, floor_percent);
        if (fresh.slots, fresh.start, fresh.floor) == (self.slots, self.start, self.floor) {
            return;
        }
        let times = std::mem::take(&mut self.times);
        *self = Self { times, trials: self.trials, ..fresh };
    }

    /// Sets whether what was learned during a fault expires soon after it.
    pub fn set_fast_recovery(&mut self, has_fast_recovery: bool) {
        self.has_fast_recovery = has_fast_recovery;
    }

    /// Returns how many calls may run at once now.
    pub fn limit(&self) -> u32 {
        self.trial.as_ref().map_or(self.limit, |trial| trial.limit)
    }

    /// Returns the limit that applies outside of trials.
    pub fn settled(&self) -> u32 {
        self.limit
    }

    /// Returns the run times by class of call.
    pub fn times(&self) -> &ClassTimes {
        &self.times
    }

    /// Records the start of a call; `running` includes it.
    pub fn note_start(&mut self, running: u32) -> SampleKind {
        if running != self.limit() {
            return SampleKind::Unused;
        }
        match &mut self.trial {
            None => SampleKind::Baseline(self.baseline.number),
            Some(trial) if trial.started < TRIAL_CALLS => {
                trial.started += 1;
                SampleKind::Trial(trial.number)
            }
            Some(_) => SampleKind::Unused,
        }
    }

    /// Records the end of a call that ran `run_us` µs at the target's normal speed; `None` when the speed
    /// changed meanwhile or the run was not completed.
    pub fn note_end(&mut self, class: CallClass, sample: SampleKind, run_us: Option<f64>, now_us: u64) {
        let mean_us = self.times.mean_us(class);
        if let Some(run_us) = run_us {
            self.times.note(class, run_us);
            // Runs are also shorter while a trial limits them to fewer at once.
            let has_lower_trial = self.trial.as_ref().is_some_and(|trial| trial.limit < self.limit);
            let may_forget = self.has_fast_recovery && !has_lower_trial;
            if may_forget && self.times.forget_slow_runs(class, run_us) {
                self.forget_trials(now_us);
            }
        }
        let slowdown = run_us.zip(mean_us).map(|(run_us, mean_us)| run_us / mean_us.max(1.0));
        match sample {
            SampleKind::Unused => {}
            SampleKind::Baseline(number) if number == self.baseline.number => {
                self.note_baseline(slowdown, now_us)
            }
            SampleKind::Baseline(_) => {}
            SampleKind::Trial(number) => self.note_trial(number, slowdown, now_us),
        }
        self.end_trial_if_due(now_us);
        self.start_trial_if_due(now_us);
    }

    /// Lowers the limit because the target shed a request.
    pub fn note_shed(&mut self) {
        let lowered = (f64::from(self.limit) * SHED_FACTOR) as u32;
        self.replace_limit(lowered.max(self.floor));
    }

    /// Lowers the limit for a refusal that depends on concurrency, until [`AdaptiveLimit::recover`] raises it again. The
    /// refused call began with `running` calls.
    pub fn lower_temporarily(&mut self, running: u32, now_us: u64) {
        if let Some(trial) = self.trial.take_if(|trial| trial.limit > self.limit && running > self.limit) {
            self.delay_step(trial.step, now_us);
            return;
        }
        // It began before the limit was lowered for others.
        if running > self.limit {
            return;
        }
        self.limit_to_recheck = None;
        let before = self.limit;
        self.note_shed();
        self.recovery.note_lowered(before, self.limit, now_us);
    }

    /// Returns whether the limit was lowered for refusals and has not risen to its previous value yet.
    pub fn is_recovering(&self) -> bool {
        self.recovery.is_pending(self.limit)
    }

    /// Raises a limit that was lowered for refusals, by the time since and because the target answered.
    pub fn recover(&mut self, has_answered: bool, now_us: u64) {
        if has_answered {
            self.recovery.note_answer();
        }
        if self.trial.is_none()
            && let Some(raised) = self.recovery.raised(self.limit, now_us)
        {
            self.replace_limit(raised);
            self.not_before_us = self.not_before_us.max(now_us + spread_us(TRIAL_SPREAD_US, now_us));
        }
    }

    fn note_baseline(&mut self, slowdown: Option<f64>, now_us: u64) {
        let Some(slowdown) = slowdown else { return };
        let baseline = &mut self.baseline;
        let has_earlier_calls = baseline.last_us > 0;
        if now_us.saturating_sub(baseline.last_us) > BASELINE_AGE_MAX_US {
            baseline.calls = 0;
            if self.has_fast_recovery && has_earlier_calls {
                self.not_before_us = self.not_before_us.max(now_us + spread_us(TRIAL_SPREAD_US, now_us));
            }
        }
        baseline.calls = baseline.calls.saturating_add(1);
        baseline.last_us = now_us;
        let weight = BASELINE_WEIGHT.max(1.0 / f64::from(baseline.calls));
        baseline.mean_slowdown += weight * (slowdown - baseline.mean_slowdown);
    }

    fn note_trial(&mut self, number: u32, slowdown: Option<f64>, _now_us: u64) {
        let Some(trial) = self.trial.as_mut().filter(|trial| trial.number == number) else { return };
        trial.ended += 1;
        if let Some(slowdown) = slowdown {
            trial.counted += 1;
            trial.slowdown_sum += slowdown;
        }
    }

    fn start_trial_if_due(&mut self, now_us: u64) {
        let is_known =
            self.baseline.calls >= BASELINE_CALLS_MIN && self.baseline.last_us + BASELINE_AGE_MAX_US > now_us;
        let has_to_wait = now_us < self.not_before_us || self.recovery.is_rising_soon(self.limit);
        if self.trial.is_some() || !is_known || has_to_wait {
            return;
        }
        if let Some(limit) = self.limit_to_recheck.take().filter(|limit| *limit > self.limit) {
            self.start_trial(None, limit, now_us);
            return;
        }
        for offset in 0..STEPS.len() {
            let step = (self.next_step + offset) % STEPS.len();
            let limit = STEPS[step].apply_to(self.limit).clamp(self.floor, self.slots);
            if limit == self.limit || now_us < self.backoffs[step].not_before_us {
                continue;
            }
            self.next_step = step + 1;
            self.start_trial(Some(step), limit, now_us);
            return;
        }
    }

    fn start_trial(&mut self, step: Option<usize>, limit: u32, now_us: u64) {
        self.trials += 1;
        self.trial = Some(Trial {
            step,
            limit,
            number: self.trials,
            started: 0,
            ended: 0,
            counted: 0,
            slowdown_sum: 0.0,
            until_us: now_us + TRIAL_MAX_US,
        });
    }

    fn delay_step(&mut self, step: Option<usize>, now_us: u64) {
        if let Some(step) = step {
            self.backoffs[step].not_before_us = now_us + PAUSE_FIRST_US;
        }
    }

    fn end_trial_if_due(&mut self, now_us: u64) {
        let baseline_utility = utility(self.limit, self.baseline.mean_slowdown);
        let is_due = |trial: &mut Trial| {
            let is_much_worse =
                trial.counted >= ABORT_CALLS && trial.utility() < ABORT_SHARE * baseline_utility;
            trial.ended >= TRIAL_CALLS || now_us >= trial.until_us || is_much_worse
        };
        let Some(trial) = self.trial.take_if(is_due) else { return };
        self.not_before_us = now_us + PAUSE_BETWEEN_US;
        if self.has_fast_recovery {
            self.not_before_us += spread_us(PAUSE_SPREAD_US, now_us);
        }
        let slowdown_ratio = trial.mean_slowdown() / self.baseline.mean_slowdown.max(0.01);
        let is_implausible = self.has_fast_recovery
            && trial.step.is_some()
            && trial.limit > self.limit
            && slowdown_ratio < PLAUSIBLE_SLOWDOWN_MIN;
        if trial.counted < ABORT_CALLS || is_implausible {
            // Too few calls were measured for a result; the step is tried again later.
            self.delay_step(trial.step, now_us);
            return;
        }
        let is_better = match trial.step {
            Some(_) => trial.utility() > GAIN_MIN * baseline_utility,
            None => slowdown_ratio < RECHECK_SLOWDOWN_MAX,
        };
        if is_better {
            if let Some(step) = trial.step {
                self.note_gain(step, now_us);
            }
            self.recovery.forget();
            if self.has_fast_recovery && trial.limit < self.limit {
                self.limit_to_recheck = Some(self.limit);
                self.note_lowered_by_trial(now_us);
                // Else the shorter runs at the lower limit would look like the end of a slow time.
                self.times.scale(slowdown_ratio);
            }
            self.replace_limit(trial.limit);
            return;
        }
        let Some(step) = trial.step else { return };
        let backoff = &mut self.backoffs[step];
        let pause_us = (PAUSE_FIRST_US << backoff.failures.min(10)).min(PAUSE_MAX_US);
        backoff.failures += 1;
        backoff.not_before_us = now_us + pause_us;
    }

    /// After a gain, steps in the same direction may follow at once, and steps back only after a pause.
    fn note_gain(&mut self, gained: usize, now_us: u64) {
        for (step, backoff) in STEPS.iter().zip(&mut self.backoffs) {
            let is_same_direction = step.is_up() == STEPS[gained].is_up();
            let not_before_us = if is_same_direction { now_us } else { now_us + PAUSE_FIRST_US };
            *backoff = Backoff { failures: 0, not_before_us };
        }
    }

    /// Remembers the limit that trials lower, in case they do so only because of a fault.
    fn note_lowered_by_trial(&mut self, now_us: u64) {
        let is_recent = |before: &LimitBeforeTrials| now_us < before.lowered_us + FAULT_MAX_US;
        let now = LimitBeforeTrials { limit: self.limit, lowered_us: now_us };
        self.before_trials = self.before_trials.filter(is_recent).or(Some(now));
    }

    /// Returns to the limit from before a time in which the target was slow, and discards the results of its trials.
    fn forget_trials(&mut self, now_us: u64) {
        self.backoffs = Default::default();
        self.limit_to_recheck = None;
        let before = self.before_trials.take();
        if let Some(before) = before.filter(|before| now_us < before.lowered_us + FAULT_MAX_US) {
            self.replace_limit(before.limit.max(self.limit));
        }
    }

    fn replace_limit(&mut self, limit: u32) {
        if limit == self.limit {
            return;
        }
        self.limit = limit;
        self.trial = None;
        self.baseline = Baseline { number: self.baseline.number.wrapping_add(1), ..Baseline::default() };
    }
}

/// Returns the utility of running `limit` calls at once when each takes `mean_slowdown` times the mean run
/// time of its class.
fn utility(limit: u32, mean_slowdown: f64) -> f64 {
    f64::from(limit).powf(CONCURRENCY_EXPONENT) / mean_slowdown.max(0.01)
}

/// Returns a time below `range_us`, evenly distributed over the µs of `now_us`, in which guards differ.
fn spread_us(range_us: u64, now_us: u64) -> u64 {
    let mixed = now_us.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (mixed ^ (mixed >> 31)) % range_us
}

fn percent_of(slots: u32, percent: u32) -> u32 {
    (slots * percent / 100).clamp(1, slots)
}
