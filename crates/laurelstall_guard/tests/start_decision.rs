//! Decisions to start or hold a call, and the gain of a report, on known cases.

use laurelstall_guard::{
    phase_times::PhaseTimes,
    start_decision::{SlotDemand, StartCandidate, StartDecision, StartForecast},
    target_speed::{SpeedForecast, TargetSpeed},
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

const MS: f64 = 1_000.0;
const MS_US: u64 = 1_000;

/// A target that is five times slower now, for `slow_left_ms` more on average.
fn slow(slow_left_ms: f64) -> SpeedForecast {
    SpeedForecast {
        quick_factor: 1.0,
        slow_ratio: 5.0,
        slow_probability: 1.0,
        slow_left_us: slow_left_ms * MS,
    }
}

fn candidate(run_ms: f64, useful_ms: f64, budget_ms: f64) -> StartCandidate {
    StartCandidate { run_us: run_ms * MS, useful_us: useful_ms * MS, budget_us: budget_ms * MS }
}

fn idle(run_ms: f64) -> SlotDemand {
    SlotDemand { load: 0.0, run_us: run_ms * MS }
}

fn full(run_ms: f64) -> SlotDemand {
    SlotDemand { load: 1.0, run_us: run_ms * MS }
}

fn decision(candidate: &StartCandidate, speed: &SpeedForecast, demand: &SlotDemand) -> StartDecision {
    StartForecast::of(candidate, speed, demand).decision
}

#[test]
fn a_long_run_is_held_through_a_short_slow_phase() {
    let call = candidate(220.0, 600.0, 1_200.0);
    assert_eq!(decision(&call, &slow(200.0), &idle(220.0)), StartDecision::Hold);
    assert_eq!(decision(&call, &slow(200.0), &full(220.0)), StartDecision::Hold);
}

#[test]
fn a_short_run_starts_in_a_long_slow_phase() {
    let call = candidate(20.0, 200.0, 800.0);
    assert_eq!(decision(&call, &slow(460.0), &idle(20.0)), StartDecision::Start);
    assert_eq!(decision(&call, &slow(460.0), &full(20.0)), StartDecision::Start);
}

#[test]
fn a_run_that_is_in_time_at_any_speed_starts_on_an_idle_target() {
    let call = candidate(50.0, 1_000.0, 2_000.0);
    assert_eq!(decision(&call, &slow(200.0), &idle(50.0)), StartDecision::Start);
}

#[test]
fn no_call_is_held_at_a_quick_target() {
    let mut rng = SmallRng::seed_from_u64(1);
    for _ in 0..2_000 {
        let useful_ms = rng.random_range(1.0..2_000.0);
        let call = candidate(rng.random_range(1.0..500.0), useful_ms, useful_ms * rng.random_range(1.0..4.0));
        let speed = SpeedForecast { slow_probability: 0.0, ..slow(rng.random_range(10.0..3_000.0)) };
        let demand = SlotDemand { load: rng.random(), run_us: rng.random_range(1.0..500.0) * MS };
        assert_eq!(decision(&call, &speed, &demand), StartDecision::Start, "{call:?} {speed:?} {demand:?}");
    }
}

#[test]
fn forecasts_are_finite_for_any_input() {
    let mut rng = SmallRng::seed_from_u64(2);
    let mut random_value =
        || if rng.random_bool(0.2) { 0.0 } else { 10f64.powf(rng.random_range(-2.0..9.0)) };
    for _ in 0..10_000 {
        let call =
            StartCandidate { run_us: random_value(), useful_us: random_value(), budget_us: random_value() };
        let slow_probability = random_value().min(1.0);
        let speed = SpeedForecast {
            quick_factor: random_value(),
            slow_ratio: 1.0 + random_value(),
            slow_probability,
            slow_left_us: random_value(),
        };
        let demand = SlotDemand { load: random_value().min(1.0), run_us: random_value() };
        let forecast = StartForecast::of(&call, &speed, &demand);
        assert!(forecast.utility.is_finite() && forecast.done_us >= 0.0, "{call:?} {speed:?} {demand:?}");
        let gain = StartForecast::report_gain(&call, &speed, &demand, random_value() > 1.0);
        assert!(gain >= 0.0 && gain.is_finite(), "{gain} for {call:?} {speed:?} {demand:?}");
    }
}

#[test]
fn a_report_that_cannot_change_the_decision_gains_nothing() {
    let call = candidate(20.0, 2_000.0, 4_000.0);
    let quick = SpeedForecast { slow_probability: 0.3, ..slow(460.0) };
    assert!(StartForecast::report_gain(&call, &quick, &idle(20.0), false) < 1e-9);
    let long = candidate(220.0, 600.0, 1_200.0);
    let surely_quick = SpeedForecast { slow_probability: 0.0, ..slow(200.0) };
    assert!(StartForecast::report_gain(&long, &surely_quick, &idle(220.0), true) < 1e-9);
    assert!(StartForecast::report_gain(&long, &quick, &idle(220.0), true) > 0.1);
}

/// Learns from reports every `gap_ms` of a target whose phases last `slow_ms` and `quick_ms` on average.
fn learned_times(slow_ms: f64, quick_ms: f64, gap_ms: f64, reports: usize) -> PhaseTimes {
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
fn phase_durations_are_learned_from_reports() {
    for (slow_ms, quick_ms) in [(200.0, 600.0), (460.0, 860.0), (30.0, 90.0), (2_000.0, 1_000.0)] {
        let times = learned_times(slow_ms, quick_ms, 8.0, 20_000);
        let (slow, quick) = (times.slow_us() / MS, times.quick_us() / MS);
        assert!((0.7..1.4).contains(&(slow / slow_ms)), "{slow} for {slow_ms} ms");
        assert!((0.7..1.4).contains(&(quick / quick_ms)), "{quick} for {quick_ms} ms");
    }
}

#[test]
fn reports_far_apart_are_ignored_for_phase_durations() {
    let mut times = PhaseTimes::default();
    let before_us = times.slow_us();
    for _ in 0..100 {
        times.note(true, false, 300 * MS_US);
    }
    assert!((times.slow_us() - before_us).abs() < 1.0);
}

#[test]
fn an_old_report_is_less_certain() {
    let times = learned_times(200.0, 600.0, 8.0, 20_000);
    assert!(times.slow_probability(0) < 0.001 && times.still_slow_probability(0) > 0.999);
    let (young, old) = (times.slow_probability(10 * MS_US), times.slow_probability(400 * MS_US));
    assert!(young < 0.03 && old > 0.15, "{young} and {old}");
    assert!(times.still_slow_probability(3_000 * MS_US) < 0.4, "it approaches the share of slow phases");
}

#[test]
fn lasting_slowness_becomes_the_normal_speed() {
    let mut speed = TargetSpeed::default();
    let mut now_us = 1_000 * MS_US;
    speed.note(100, now_us);
    speed.note(300, now_us + MS_US);
    assert!(speed.forecast(now_us + MS_US).slow_probability > 0.9);
    for _ in 0..300 {
        now_us += 10 * MS_US;
        speed.note(300, now_us);
    }
    let forecast = speed.forecast(now_us);
    assert!(forecast.slow_probability < 0.05, "{forecast:?}");
    assert!((forecast.quick_factor - 3.0).abs() < 0.01, "{forecast:?}");
}

#[test]
fn an_unusually_long_slow_phase_is_expected_to_last() {
    let mut speed = TargetSpeed::default();
    let mut now_us = 1_000 * MS_US;
    for turn in 0..400 {
        now_us += 10 * MS_US;
        speed.note(if turn % 8 < 2 { 400 } else { 100 }, now_us);
    }
    let short_us = speed.forecast(now_us).slow_left_us;
    for _ in 0..90 {
        now_us += 10 * MS_US;
        speed.note(400, now_us);
    }
    let long_us = speed.forecast(now_us).slow_left_us;
    assert!(short_us < 80.0 * MS && long_us > 500.0 * MS, "{short_us} and {long_us} us");
}
