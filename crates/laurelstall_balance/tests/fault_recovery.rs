//! What an entry node remembers of a fault, with and without `limits.load.refusal_causes`: each test has a fault, its end,
//! and the time until nothing of it is left.

mod support;

use laurelstall_balance::{
    class_times::ClassTimes,
    least_cost::LeastCost,
    service_balancer::{AttemptResult, ChoiceRequest, ServiceBalancer},
    spillover::Spillover,
    target_view::TargetView,
};
use laurelstall_config::{load_control::LoadControl, team::ServiceLimits};
use support::any_target;

const START_US: u64 = 1_000_000;
const SECOND_US: u64 = 1_000_000;
const TARGETS: usize = 6;
/// A fault is forgotten within this time.
const FORGOTTEN_US: u64 = 2 * SECOND_US;
/// Interval of the calls of an entry node that gets few, in µs.
const FEW_CALLS_US: u64 = 200_000;

fn limits(has_fast_recovery: bool) -> ServiceLimits {
    let load = LoadControl { refusal_causes: has_fast_recovery, ..LoadControl::default() };
    ServiceLimits { load, ..ServiceLimits::default() }
}

fn balancer(has_fast_recovery: bool) -> ServiceBalancer {
    let limits = limits(has_fast_recovery);
    let mut balancer = ServiceBalancer::new(limits, Box::new(LeastCost::default()), 7);
    let view = |n: usize| TargetView::new(&format!("t-{n}"), &format!("h-{n}"), 9, 100, START_US);
    balancer.set_targets(limits, (0..TARGETS).map(view).collect());
    balancer
}

/// Chooses the target for a call that only target 0 may take; whether it gets the call.
fn is_chosen(balancer: &mut ServiceBalancer, now_us: u64) -> bool {
    let others = (1..TARGETS).collect::<Vec<_>>();
    let request = ChoiceRequest { excluded: &others, ..any_target(now_us) };
    balancer.choose(&request).is_some()
}

fn end(balancer: &mut ServiceBalancer, index: usize, result: AttemptResult, now_us: u64) {
    balancer.note_sent(index);
    balancer.note_result(index, &format!("t-{index}"), 0, result, now_us);
}

/// Lets target 0 fail from `from_us` until `until_us`, and returns the times of the calls it got.
fn fail(balancer: &mut ServiceBalancer, from_us: u64, until_us: u64) -> Vec<u64> {
    let mut calls_us = Vec::new();
    for now_us in (from_us..until_us).step_by(10_000) {
        if is_chosen(balancer, now_us) {
            end(balancer, 0, AttemptResult::Failed, now_us);
            calls_us.push(now_us);
        }
    }
    calls_us
}

/// Lets target 0 succeed from `from_us` on, and returns when it gets all calls offered again.
fn recover(balancer: &mut ServiceBalancer, from_us: u64) -> u64 {
    let mut in_row = 0;
    for now_us in (from_us..from_us + 60 * SECOND_US).step_by(10_000) {
        if is_chosen(balancer, now_us) {
            end(balancer, 0, AttemptResult::Succeeded(200_000), now_us);
            in_row += 1;
        } else {
            in_row = 0;
        }
        let ramp = balancer.targets()[0].ejection.ramp(now_us, limits(true).slow_start_ms * 1_000);
        if in_row > 5 && ramp >= 1.0 {
            return now_us;
        }
    }
    u64::MAX
}

/// Guards against a target that is left out or starts slowly long after it has recovered.
#[test]
fn an_ejected_target_is_back_in_full_within_two_seconds_of_a_fault() {
    for fault_s in [1, 4, 8] {
        let mut balancer = balancer(true);
        let end_us = START_US + fault_s * SECOND_US;
        let calls_us = fail(&mut balancer, START_US, end_us);
        assert!(calls_us.len() <= 6 + 2 * fault_s as usize, "{} calls in {fault_s} s", calls_us.len());
        let back_us = recover(&mut balancer, end_us);
        assert!(back_us <= end_us + FORGOTTEN_US, "{} ms after {fault_s} s", (back_us - end_us) / 1_000);
        assert_eq!(balancer.targets()[0].ejection.times(), 0);
    }
}

/// Guards against entry nodes that all keep sending calls to a target that stays bad.
#[test]
fn single_calls_get_rarer_while_they_fail() {
    let mut balancer = balancer(true);
    let calls_us = fail(&mut balancer, START_US, START_US + 120 * SECOND_US);
    let single = &calls_us[5..];
    let pauses_us = single.windows(2).map(|pair| pair[1] - pair[0]).collect::<Vec<_>>();
    assert!(single[0] - calls_us[4] <= SECOND_US + 10_000, "{calls_us:?}");
    assert!(pauses_us.is_sorted_by(|pause, next| *next + 10_000 >= *pause), "{pauses_us:?}");
    assert!(calls_us.len() <= 20, "{calls_us:?}");
}

/// Guards against a second call to an ejected target before the result of the first.
#[test]
fn an_ejected_target_gets_one_call_at_a_time() {
    let mut balancer = balancer(true);
    fail(&mut balancer, START_US, START_US + SECOND_US / 2);
    let later_us = START_US + 2 * SECOND_US;
    assert!(is_chosen(&mut balancer, later_us));
    assert!(!is_chosen(&mut balancer, later_us + 500_000));
    end(&mut balancer, 0, AttemptResult::Succeeded(200_000), later_us + 500_000);
    assert!(is_chosen(&mut balancer, later_us + 500_001));
    assert!(!is_chosen(&mut balancer, later_us + 500_002), "one success may be chance");
    end(&mut balancer, 0, AttemptResult::NotRun, later_us + 500_003);
    assert!(is_chosen(&mut balancer, later_us + 500_003), "a refusal by the guard is no failure");
    end(&mut balancer, 0, AttemptResult::Succeeded(200_000), later_us + 500_004);
    assert!((0..9).all(|step| is_chosen(&mut balancer, later_us + 500_005 + step)));
}

/// Guards against a change of behaviour with the switch off: ejections double, and a slow start follows.
#[test]
fn without_the_switch_ejections_double_and_a_slow_start_follows() {
    let mut balancer = balancer(false);
    let end_us = START_US + 8 * SECOND_US;
    fail(&mut balancer, START_US, end_us);
    assert_eq!(balancer.targets()[0].ejection.times(), 4);
    let back_us = recover(&mut balancer, end_us);
    assert!(back_us > end_us + 7 * SECOND_US, "{} ms", (back_us - end_us) / 1_000);
}

/// Guards against a penalty for errors that ended.
#[test]
fn an_error_penalty_ends_within_two_seconds() {
    for (has_fast_recovery, is_forgotten) in [(true, true), (false, false)] {
        let mut balancer = balancer(has_fast_recovery);
        (0..4).for_each(|_| end(&mut balancer, 0, AttemptResult::Failed, START_US));
        assert!(balancer.targets()[0].error_rate(START_US + SECOND_US) > 0.1);
        let rate = balancer.targets()[0].error_rate(START_US + FORGOTTEN_US);
        assert_eq!(rate == 0.0, is_forgotten, "{rate}");
    }
}

/// Guards against the ejection of a target for latencies that it had during a fault.
#[test]
fn a_target_that_was_slow_is_not_ejected_afterwards() {
    for (has_fast_recovery, ejections) in [(true, 0), (false, 1)] {
        let mut balancer = balancer(has_fast_recovery);
        for index in (0..TARGETS).rev() {
            let latency_us = if index == 0 { 2_000_000 } else { 100_000 };
            (0..6).for_each(|_| end(&mut balancer, index, AttemptResult::Succeeded(latency_us), START_US));
        }
        let later_us = START_US + FORGOTTEN_US;
        end(&mut balancer, 0, AttemptResult::Succeeded(100_000), later_us);
        assert_eq!(balancer.totals().ejections, ejections);
    }
}

/// Guards against retry times that are long because the service was slow.
#[test]
fn retry_times_fall_within_two_seconds() {
    for (has_fast_recovery, is_forgotten) in [(true, true), (false, false)] {
        let mut balancer = balancer(has_fast_recovery);
        let usual_us = 100_000;
        let calls = |balancer: &mut ServiceBalancer, from_us: u64, for_us: u64, latency_us: u64| {
            for now_us in (from_us..from_us + for_us).step_by(FEW_CALLS_US as usize) {
                end(balancer, 1, AttemptResult::Succeeded(latency_us), now_us);
            }
            balancer.retry_after_ms(from_us + for_us)
        };
        let before_ms = calls(&mut balancer, START_US, 60 * SECOND_US, usual_us);
        let fault_us = START_US + 60 * SECOND_US;
        let during_ms = calls(&mut balancer, fault_us, 8 * SECOND_US, 10 * usual_us);
        assert!(during_ms > 2 * before_ms, "{before_ms} {during_ms}");
        let after_ms = calls(&mut balancer, fault_us + 8 * SECOND_US, FORGOTTEN_US, usual_us);
        assert_eq!(after_ms < 2 * before_ms, is_forgotten, "{before_ms} {after_ms}");
    }
}

/// Guards against class times that stay long after a fault made all runs long, so that calls are refused as late.
#[test]
fn class_times_of_a_slow_target_are_replaced_after_six_short_runs() {
    let mut times = ClassTimes::default();
    let mut has_forgotten = |run_us: f64| {
        times.note(3, run_us);
        times.forget_slow_runs(3, run_us)
    };
    assert!((0..100).all(|_| !has_forgotten(1_000_000.0)));
    assert!((0..5).all(|_| !has_forgotten(200_000.0)));
    assert!(has_forgotten(200_000.0));
    assert_eq!(times.mean_us(3), Some(200_000.0));
}

/// Guards against short runs between others that are taken for the end of a fault.
#[test]
fn ordinary_variation_does_not_replace_class_times() {
    let mut times = ClassTimes::default();
    for number in 0..1_000 {
        let run_us = if number % 6 == 5 { 900_000.0 } else { 100_000.0 };
        times.note(3, run_us);
        assert!(!times.forget_slow_runs(3, run_us));
    }
    let mean_us = times.mean_us(3).expect("runs were noted");
    assert!(mean_us > 180_000.0, "{mean_us}");
}

/// Guards against calls that leave a data centre because it was overloaded.
#[test]
fn spillover_ends_within_two_seconds() {
    for (has_fast_recovery, is_forgotten) in [(true, true), (false, false)] {
        let mut spillover = Spillover::default();
        spillover.set_fast_recovery(has_fast_recovery);
        let mut now_us = START_US;
        let mut sample = |spillover: &mut Spillover, local: f64, seconds: u64| {
            for number in 0..seconds * SECOND_US / FEW_CALLS_US {
                now_us += FEW_CALLS_US;
                let is_remote = number % 3 == 0;
                spillover.note(is_remote, if is_remote { 0.4 } else { local }, 20, now_us);
            }
            spillover.share(now_us)
        };
        assert!(sample(&mut spillover, 2.0, 8) > 0.5);
        let share = sample(&mut spillover, 0.6, 2);
        assert_eq!(share < 0.03, is_forgotten, "{share}");
    }
}
