//! Tests when a guard refuses calls because of the services that their runs call.

use laurelstall_chains::{
    call_end::NestedOutcome,
    chain_table::{CLASSES_MAX, ChainTable, SERVICES_MAX, TRIAL_INTERVAL_US, Verdict},
};
use laurelstall_overload::call_level::{BUCKETS, CallLevel};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

const CLASS: u32 = 7;
const SERVICE: &str = "shop/stock";
const IMPORTANCE: u8 = 50;
const RUN_US: u64 = 100_000;
const START_US: u64 = 1_000_000;

/// The runs of one class that call one service.
struct Runs {
    table: ChainTable,
    rng: SmallRng,
    now_us: u64,
    /// Mean interval of the calls.
    interval_us: u64,
    /// Whether calls come at random instead of at regular intervals.
    is_random: bool,
    /// Share of the runs that make the call.
    calling: f64,
    /// Whether a run succeeds although its call fails.
    is_tolerant: bool,
    class: u32,
    importance: u8,
    /// End of each run in progress: time, run, level, and whether it calls.
    ends: Vec<(u64, u64, CallLevel, bool)>,
}

/// Verdicts of a time, and the calls that succeeded.
#[derive(Debug, Default)]
struct Totals {
    calls: usize,
    refused: usize,
    highest_refused: CallLevel,
    answered: usize,
    failed: usize,
}

impl Runs {
    fn new(interval_us: u64, calling: f64, seed: u64) -> Self {
        Self {
            table: ChainTable::default(),
            rng: SmallRng::seed_from_u64(seed),
            now_us: START_US,
            interval_us,
            is_random: false,
            calling,
            is_tolerant: false,
            class: CLASS,
            importance: IMPORTANCE,
            ends: Vec::new(),
        }
    }

    /// Runs calls for some time; `outcome` is that of a nested call of some level.
    fn run(&mut self, time_us: u64, outcome: &mut dyn FnMut(CallLevel, f64) -> NestedOutcome) -> Totals {
        let mut totals = Totals::default();
        let until_us = self.now_us + time_us;
        while self.now_us < until_us {
            self.end_runs(outcome, &mut totals);
            let bucket = self.rng.random_range(0..BUCKETS);
            let level = CallLevel { importance: self.importance, bucket };
            totals.calls += 1;
            match self.table.decide(self.class, level, self.now_us).verdict {
                Verdict::Refuse { retry_after_ms } => {
                    assert!((1_000..=5_000).contains(&retry_after_ms));
                    totals.refused += 1;
                    totals.highest_refused = totals.highest_refused.max(level);
                }
                Verdict::Admit | Verdict::Trial => {
                    let run = self.table.begin_run(self.class, self.now_us).expect("few runs");
                    let is_calling = self.rng.random_bool(self.calling);
                    self.ends.push((self.now_us + RUN_US, run, level, is_calling));
                }
            }
            self.now_us += self.next_interval_us();
        }
        totals
    }

    fn next_interval_us(&mut self) -> u64 {
        let factor = if self.is_random { -(1.0 - self.rng.random::<f64>()).ln() } else { 1.0 };
        (self.interval_us as f64 * factor) as u64
    }

    fn end_runs(&mut self, outcome: &mut dyn FnMut(CallLevel, f64) -> NestedOutcome, totals: &mut Totals) {
        let now_us = self.now_us;
        for (_, run, level, is_calling) in self.ends.extract_if(.., |end| end.0 <= now_us) {
            let mut has_failed = false;
            if is_calling {
                let outcome = outcome(level, self.rng.random());
                self.table.note_call(run, SERVICE, now_us);
                self.table.note_outcome((self.class, run), SERVICE, level, outcome, now_us);
                has_failed = outcome != NestedOutcome::Answered;
            }
            let has_succeeded = !has_failed || self.is_tolerant;
            self.table.end_run(run, has_succeeded);
            totals.answered += usize::from(has_succeeded);
            totals.failed += usize::from(has_failed);
        }
    }
}

fn answered(_: CallLevel, _: f64) -> NestedOutcome {
    NestedOutcome::Answered
}

fn failed(_: CallLevel, _: f64) -> NestedOutcome {
    NestedOutcome::Failed
}

/// Runs for which the service answered all calls so far.
fn settled(interval_us: u64, calling: f64, seed: u64) -> Runs {
    let mut runs = Runs::new(interval_us, calling, seed);
    let totals = runs.run(30 * 100_000 + 100 * interval_us, &mut answered);
    assert_eq!(totals.refused, 0, "nothing failed");
    runs
}

/// Runs are not to take slots for a service that answers nothing, and are served again soon after it answers.
#[test]
fn calls_are_refused_while_the_service_answers_none() {
    for seed in 0..20 {
        let mut runs = settled(10_000, 0.7, seed);
        runs.run(1_000_000, &mut failed);
        let during = runs.run(4_000_000, &mut failed);
        // Of 400 calls 40 are to find out about the recovery.
        assert!(during.refused >= 300, "{during:?} with seed {seed}");
        assert!(during.calls - during.refused >= 40, "at least one in 100 ms: {during:?} with seed {seed}");
        runs.run(1_000_000, &mut answered);
        let after = runs.run(2_000_000, &mut answered);
        assert_eq!(after.refused, 0, "recovery was not noticed with seed {seed}");
    }
}

/// At the few calls a second of a node of a large fleet, all calls but those that are let through once in 100 ms must be
/// refused too.
#[test]
fn few_calls_a_second_suffice() {
    for (per_s, calling) in [(7, 0.7), (7, 1.0), (11, 0.7), (25, 0.7), (100, 0.7)] {
        let (mut calls, mut refused) = (0, 0);
        for seed in 0..40 {
            let mut runs = settled(1_000_000 / per_s, calling, seed);
            runs.is_random = true;
            runs.run(2_000_000, &mut failed);
            let during = runs.run(8_000_000, &mut failed);
            calls += during.calls;
            refused += during.refused;
            runs.run(1_000_000, &mut answered);
            assert_eq!(runs.run(5_000_000, &mut answered).refused, 0, "{per_s} a second, seed {seed}");
        }
        let share = refused as f64 / calls as f64;
        let per_interval = per_s as f64 * TRIAL_INTERVAL_US as f64 / 1e6;
        let share_max = per_interval / (1.0 + per_interval);
        println!("{per_s} a second, {calling} call: {share:.2} refused, at most {share_max:.2} possible");
        assert!(share >= 0.9 * share_max, "{per_s} a second: {share:.2} of at most {share_max:.2}");
    }
}

/// A service that answers a part of the calls whatever their level still lets runs succeed.
#[test]
fn calls_run_while_the_service_answers_40_percent_at_random() {
    let mut at_random = |_: CallLevel, draw: f64| {
        if draw < 0.4 { NestedOutcome::Answered } else { NestedOutcome::Failed }
    };
    for per_s in [7, 11, 25, 100] {
        let (mut calls, mut refused) = (0, 0);
        for seed in 0..40 {
            let mut runs = settled(1_000_000 / per_s, 1.0, seed);
            runs.is_random = true;
            let during = runs.run(20_000_000, &mut at_random);
            refused += during.refused;
            calls += during.calls;
        }
        println!("{per_s} a second: {refused} of {calls} refused");
        assert!(refused * 20 < calls, "{refused} of {calls} refused");
    }
}

/// A service that serves the upper 40 % of the levels gets only their runs, so that no others take slots.
#[test]
fn calls_below_the_level_of_the_service_are_refused() {
    const SERVED_FROM: u8 = 38;
    let mut by_level = |level: CallLevel, _: f64| {
        if level.bucket >= SERVED_FROM { NestedOutcome::Answered } else { NestedOutcome::RefusedByLevel }
    };
    for seed in 0..20 {
        let mut runs = settled(10_000, 0.9, seed);
        runs.run(1_000_000, &mut by_level);
        let during = runs.run(4_000_000, &mut by_level);
        assert!(during.refused * 10 >= during.calls * 4, "{during:?} with seed {seed}");
        assert!(during.highest_refused.bucket < SERVED_FROM, "{during:?} with seed {seed}");
        // Besides one trial in 100 ms only a few of the levels next to the served ones.
        assert!(during.failed <= 40 + 40, "{during:?} with seed {seed}");
        let required = runs.table.required_level(CLASS, runs.now_us).expect("levels are refused");
        // Above it, a level that the service serves would be refused.
        assert!((1..=SERVED_FROM).contains(&required.bucket), "{required} with seed {seed}");
        runs.run(1_000_000, &mut answered);
        assert_eq!(runs.run(1_000_000, &mut answered).refused, 0, "with seed {seed}");
        assert_eq!(runs.table.required_level(CLASS, runs.now_us), None);
    }
}

/// Runs that seldom make the call, or do without its answer, must not be refused for it.
#[test]
fn calls_run_if_most_of_them_do_without_the_answer() {
    for seed in 0..20 {
        let mut seldom = settled(10_000, 0.3, seed);
        assert_eq!(seldom.run(5_000_000, &mut failed).refused, 0, "with seed {seed}");
        let mut tolerant = settled(10_000, 1.0, seed);
        tolerant.is_tolerant = true;
        tolerant.run(2_000_000, &mut failed);
        assert_eq!(tolerant.run(5_000_000, &mut failed).refused, 0, "with seed {seed}");
    }
}

/// Before anything is known, as after a restart, all calls run.
#[test]
fn an_unknown_class_runs() {
    let mut table = ChainTable::default();
    let level = CallLevel { importance: 0, bucket: 0 };
    assert_eq!(table.decide(CLASS, level, START_US).verdict, Verdict::Admit);
    assert_eq!(table.required_level(CLASS, START_US), None);
    assert!(table.is_empty());
}

/// A service that serves only important callers must not make runs for these be refused.
#[test]
fn failures_of_less_important_calls_do_not_count_for_more_important_ones() {
    let mut table = ChainTable::default();
    let (low, high) = (CallLevel { importance: 10, bucket: 60 }, CallLevel { importance: 90, bucket: 3 });
    let mut now_us = START_US;
    for n in 0..40 {
        now_us += 10_000;
        let is_high = n % 2 == 0;
        let level = if is_high { high } else { low };
        let outcome = if is_high { NestedOutcome::Answered } else { NestedOutcome::Failed };
        let run = table.begin_run(CLASS, now_us).expect("few runs");
        table.note_call(run, SERVICE, now_us);
        table.note_outcome((CLASS, run), SERVICE, level, outcome, now_us);
        table.end_run(run, is_high);
    }
    assert_eq!(table.decide(CLASS, low, now_us).verdict, Verdict::Trial);
    assert!(matches!(table.decide(CLASS, low, now_us).verdict, Verdict::Refuse { .. }));
    assert_eq!(table.decide(CLASS, high, now_us).verdict, Verdict::Admit);
}

/// Runs of a class with a failing call end early, which must not look as if they did without their other calls.
#[test]
fn runs_that_fail_early_leave_the_other_services_as_they_were() {
    const OTHER: &str = "shop/prices";
    let mut table = ChainTable::default();
    let level = CallLevel { importance: IMPORTANCE, bucket: 9 };
    let mut now_us = START_US;
    let mut run = |table: &mut ChainTable, calls: &[(&str, NestedOutcome)]| {
        now_us += 10_000;
        let run = table.begin_run(CLASS, now_us).expect("few runs");
        for (service, outcome) in calls {
            table.note_call(run, service, now_us);
            table.note_outcome((CLASS, run), service, level, *outcome, now_us);
        }
        let has_succeeded = calls.iter().all(|call| call.1 == NestedOutcome::Answered);
        table.end_run(run, has_succeeded);
        now_us
    };
    for _ in 0..50 {
        run(&mut table, &[(SERVICE, NestedOutcome::Answered), (OTHER, NestedOutcome::Answered)]);
    }
    for _ in 0..200 {
        run(&mut table, &[(SERVICE, NestedOutcome::Failed)]);
    }
    for _ in 0..200 {
        run(&mut table, &[]);
        // Without this, runs without any call would be counted for both services.
        run(&mut table, &[(SERVICE, NestedOutcome::Answered), (OTHER, NestedOutcome::Answered)]);
        run(&mut table, &[(SERVICE, NestedOutcome::Answered), (OTHER, NestedOutcome::Answered)]);
    }
    let mut last_us = 0;
    for _ in 0..40 {
        last_us = run(&mut table, &[(SERVICE, NestedOutcome::Answered), (OTHER, NestedOutcome::Failed)]);
    }
    table.decide(CLASS, level, last_us);
    assert!(matches!(table.decide(CLASS, level, last_us).verdict, Verdict::Refuse { .. }));
}

/// The start and the end of the refusals are told once each, for the log.
#[test]
fn changes_are_told_once() {
    let mut table = ChainTable::default();
    let level = CallLevel { importance: IMPORTANCE, bucket: 9 };
    let mut changes = Vec::new();
    for step in 0..600 {
        let now_us = START_US + step * 10_000;
        let decision = table.decide(CLASS, level, now_us);
        changes.extend(decision.change.map(|change| (step / 100, change.begins)));
        if let Verdict::Refuse { .. } = decision.verdict {
            continue;
        }
        let outcome = if step < 300 { NestedOutcome::Failed } else { NestedOutcome::Answered };
        let run = table.begin_run(CLASS, now_us).expect("few runs");
        table.note_call(run, SERVICE, now_us);
        table.note_outcome((CLASS, run), SERVICE, level, outcome, now_us);
        table.end_run(run, outcome == NestedOutcome::Answered);
    }
    assert_eq!(changes, [(0, true), (4, false)], "by second");
}

/// A loop of calls, or many classes and services, must not make the state grow.
#[test]
fn state_is_bounded() {
    let mut table = ChainTable::default();
    let level = CallLevel { importance: IMPORTANCE, bucket: 0 };
    for n in 0..20_000_u32 {
        let now_us = START_US + u64::from(n) * 1_000;
        let class = n % 300;
        let run = table.begin_run(class, now_us);
        if let Some(run) = run {
            let service = format!("team/{}", n / 300);
            table.note_call(run, &service, now_us);
            table.note_outcome((class, run), &service, level, NestedOutcome::Answered, now_us);
            // A part of the runs never ends.
            if n % 3 != 0 {
                table.end_run(run, true);
            }
        }
    }
    assert!(table.len() <= CLASSES_MAX * SERVICES_MAX, "{} pairs", table.len());
}

/// A chain of runs of one class that call their own service, as in a loop, is one pair.
#[test]
fn a_loop_is_one_pair() {
    let mut table = ChainTable::default();
    let level = CallLevel { importance: IMPORTANCE, bucket: 0 };
    for round in 0..100 {
        let now_us = START_US + round * 10_000;
        let runs = (0..16).filter_map(|_| table.begin_run(CLASS, now_us)).collect::<Vec<_>>();
        for run in &runs {
            table.note_call(*run, SERVICE, now_us);
        }
        for run in runs {
            table.note_outcome((CLASS, run), SERVICE, level, NestedOutcome::Failed, now_us);
            table.end_run(run, false);
        }
    }
    assert_eq!(table.len(), 1);
}
