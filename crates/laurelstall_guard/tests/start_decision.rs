//! Whether a call begins, is held or is worth a look, on figures of known cases.

use laurelstall_guard::{
    pace::{Pace, PaceOutlook},
    phase_times::PhaseTimes,
    start_decision::{SlotDemand, StartDecision, StartOutlook, Starter},
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

const MS: f64 = 1_000.0;
const MS_US: u64 = 1_000;

/// A target that is five times slower now, as it is for `slow_left_ms` on average.
fn slow(slow_left_ms: f64) -> PaceOutlook {
    PaceOutlook { quick_factor: 1.0, slow_ratio: 5.0, slow_chance: 1.0, slow_left_us: slow_left_ms * MS }
}

fn starter(run_ms: f64, useful_ms: f64, budget_ms: f64) -> Starter {
    Starter { run_us: run_ms * MS, useful_us: useful_ms * MS, budget_us: budget_ms * MS }
}

fn idle(run_ms: f64) -> SlotDemand {
    SlotDemand { load: 0.0, run_us: run_ms * MS }
}

fn full(run_ms: f64) -> SlotDemand {
    SlotDemand { load: 1.0, run_us: run_ms * MS }
}

fn decision(starter: &Starter, pace: &PaceOutlook, demand: &SlotDemand) -> StartDecision {
    StartOutlook::of(starter, pace, demand).decision
}

#[test]
fn a_long_run_is_held_through_a_short_slow_phase() {
    let call = starter(220.0, 600.0, 1_200.0);
    assert_eq!(decision(&call, &slow(200.0), &idle(220.0)), StartDecision::Hold);
    assert_eq!(decision(&call, &slow(200.0), &full(220.0)), StartDecision::Hold);
}

#[test]
fn a_short_run_begins_in_a_long_slow_phase() {
    let call = starter(20.0, 200.0, 800.0);
    assert_eq!(decision(&call, &slow(460.0), &idle(20.0)), StartDecision::Begin);
    assert_eq!(decision(&call, &slow(460.0), &full(20.0)), StartDecision::Begin);
}

#[test]
fn a_run_that_is_in_time_at_any_pace_begins_on_an_idle_target() {
    let call = starter(50.0, 1_000.0, 2_000.0);
    assert_eq!(decision(&call, &slow(200.0), &idle(50.0)), StartDecision::Begin);
}

#[test]
fn nothing_is_held_at_a_quick_target() {
    let mut rng = SmallRng::seed_from_u64(1);
    for _ in 0..2_000 {
        let useful_ms = rng.random_range(1.0..2_000.0);
        let call = starter(rng.random_range(1.0..500.0), useful_ms, useful_ms * rng.random_range(1.0..4.0));
        let pace = PaceOutlook { slow_chance: 0.0, ..slow(rng.random_range(10.0..3_000.0)) };
        let demand = SlotDemand { load: rng.random(), run_us: rng.random_range(1.0..500.0) * MS };
        assert_eq!(decision(&call, &pace, &demand), StartDecision::Begin, "{call:?} {pace:?} {demand:?}");
    }
}

#[test]
fn what_is_expected_is_a_number_for_any_figures() {
    let mut rng = SmallRng::seed_from_u64(2);
    let mut any = || if rng.random_bool(0.2) { 0.0 } else { 10f64.powf(rng.random_range(-2.0..9.0)) };
    for _ in 0..10_000 {
        let call = Starter { run_us: any(), useful_us: any(), budget_us: any() };
        let slow_chance = any().min(1.0);
        let pace =
            PaceOutlook { quick_factor: any(), slow_ratio: 1.0 + any(), slow_chance, slow_left_us: any() };
        let demand = SlotDemand { load: any().min(1.0), run_us: any() };
        let outlook = StartOutlook::of(&call, &pace, &demand);
        assert!(outlook.worth.is_finite() && outlook.done_us >= 0.0, "{call:?} {pace:?} {demand:?}");
        let gain = StartOutlook::report_gain(&call, &pace, &demand, any() > 1.0);
        assert!(gain >= 0.0 && gain.is_finite(), "{gain} for {call:?} {pace:?} {demand:?}");
    }
}

#[test]
fn a_report_is_worth_nothing_where_it_changes_nothing() {
    let call = starter(20.0, 2_000.0, 4_000.0);
    let quick = PaceOutlook { slow_chance: 0.3, ..slow(460.0) };
    assert!(StartOutlook::report_gain(&call, &quick, &idle(20.0), false) < 1e-9);
    let long = starter(220.0, 600.0, 1_200.0);
    let surely_quick = PaceOutlook { slow_chance: 0.0, ..slow(200.0) };
    assert!(StartOutlook::report_gain(&long, &surely_quick, &idle(220.0), true) < 1e-9);
    assert!(StartOutlook::report_gain(&long, &quick, &idle(220.0), true) > 0.1);
}

/// Reports every `gap_ms` of a target whose phases last `slow_ms` and `quick_ms` on average.
fn learnt(slow_ms: f64, quick_ms: f64, gap_ms: f64, reports: usize) -> PhaseTimes {
    let mut rng = SmallRng::seed_from_u64(3);
    let mut times = PhaseTimes::default();
    let mut is_slow = false;
    for _ in 0..reports {
        let mean_ms = if is_slow { slow_ms } else { quick_ms };
        let ends = rng.random_bool((1.0 - (-gap_ms / mean_ms).exp()).min(1.0));
        times.note(is_slow, is_slow != ends, (gap_ms * MS) as u64);
        is_slow = is_slow != ends;
    }
    times
}

#[test]
fn lengths_of_phases_are_learnt_from_reports() {
    for (slow_ms, quick_ms) in [(200.0, 600.0), (460.0, 860.0), (30.0, 90.0), (2_000.0, 1_000.0)] {
        let times = learnt(slow_ms, quick_ms, 8.0, 20_000);
        let (slow, quick) = (times.slow_us() / MS, times.quick_us() / MS);
        assert!((0.7..1.4).contains(&(slow / slow_ms)), "{slow} for {slow_ms} ms");
        assert!((0.7..1.4).contains(&(quick / quick_ms)), "{quick} for {quick_ms} ms");
    }
}

#[test]
fn reports_far_apart_say_nothing_of_phases() {
    let mut times = PhaseTimes::default();
    let before_us = times.slow_us();
    for _ in 0..100 {
        times.note(true, false, 300 * MS_US);
    }
    assert!((times.slow_us() - before_us).abs() < 1.0);
}

#[test]
fn an_old_report_is_believed_less() {
    let times = learnt(200.0, 600.0, 8.0, 20_000);
    assert!(times.slow_chance(0) < 0.001 && times.still_slow_chance(0) > 0.999);
    let (young, old) = (times.slow_chance(10 * MS_US), times.slow_chance(400 * MS_US));
    assert!(young < 0.03 && old > 0.15, "{young} and {old}");
    assert!(times.still_slow_chance(3_000 * MS_US) < 0.4, "the share of slow phases, in the end");
}

#[test]
fn a_lasting_slow_pace_becomes_the_usual_one() {
    let mut pace = Pace::default();
    let mut now_us = 1_000 * MS_US;
    pace.note(100, now_us);
    pace.note(300, now_us + MS_US);
    assert!(pace.outlook(now_us + MS_US).slow_chance > 0.9);
    for _ in 0..300 {
        now_us += 10 * MS_US;
        pace.note(300, now_us);
    }
    let outlook = pace.outlook(now_us);
    assert!(outlook.slow_chance < 0.05, "{outlook:?}");
    assert!((outlook.quick_factor - 3.0).abs() < 0.01, "{outlook:?}");
}

#[test]
fn a_slow_phase_that_outlasts_all_others_is_expected_to_go_on() {
    let mut pace = Pace::default();
    let mut now_us = 1_000 * MS_US;
    for turn in 0..400 {
        now_us += 10 * MS_US;
        pace.note(if turn % 8 < 2 { 400 } else { 100 }, now_us);
    }
    let short_us = pace.outlook(now_us).slow_left_us;
    for _ in 0..90 {
        now_us += 10 * MS_US;
        pace.note(400, now_us);
    }
    let long_us = pace.outlook(now_us).slow_left_us;
    assert!(short_us < 80.0 * MS && long_us > 500.0 * MS, "{short_us} and {long_us} us");
}
