//! The rise of a limit that was lowered for refusals, without a guard.

use laurelstall_guard::{
    adaptive_limit::AdaptiveLimit,
    refusal_causes::{RefusalCause, RefusalCauses},
    target_speed::TargetSpeed,
};
use std::collections::BTreeMap;

const SECOND_US: u64 = 1_000_000;

/// Refuses attempts with more than `refused_above` running calls for `seconds`, 20 attempts of each number a second,
/// and returns the causes found with `running` calls.
fn causes(refused_above: u32, every_nth_refused: u64, running: u32, seconds: u64) -> Vec<RefusalCause> {
    let mut causes = RefusalCauses::default();
    let mut found = Vec::new();
    for number in 0..seconds * 20 {
        for count in 1..=9 {
            let now_us = number * SECOND_US / 20 + u64::from(count);
            causes.note_attempt(count, now_us);
            let is_random = every_nth_refused > 0 && (number + u64::from(count)) % every_nth_refused == 0;
            if count > refused_above || is_random {
                let cause = causes.note_refusal(count, now_us);
                found.extend((count == running).then_some(cause));
            }
        }
    }
    found
}

/// Guards against a limit that falls although fewer calls would be refused as often.
#[test]
fn refusals_as_frequent_at_any_number_of_running_calls_have_another_cause() {
    for running in 2..=9 {
        let found = causes(9, 2, running, 4);
        assert!(found.len() >= 39);
        assert!(found.iter().skip(2).all(|cause| *cause == RefusalCause::Other), "{running}: {found:?}");
    }
}

/// Guards against a limit that stays above what the target takes.
#[test]
fn refusals_above_a_number_of_running_calls_are_recognised_within_a_second() {
    let found = causes(5, 0, 6, 4);
    assert!(found[20..].iter().all(|cause| *cause == RefusalCause::Concurrency), "{found:?}");
}

/// Guards against a limit that falls below what the target takes when refusals at random are added.
#[test]
fn with_both_kinds_only_those_of_many_running_calls_count() {
    let many = causes(5, 2, 7, 4);
    assert!(many[20..].iter().all(|cause| *cause == RefusalCause::Concurrency), "{many:?}");
    let few = causes(5, 2, 4, 4);
    assert!(few.iter().skip(2).all(|cause| *cause == RefusalCause::Other), "{few:?}");
}

/// Guards against counts from a calm period that make refusals at random look like ones by a full target.
#[test]
fn attempts_before_the_first_refusal_are_not_compared_with_it() {
    let mut causes = RefusalCauses::default();
    (0..200).for_each(|number| causes.note_attempt(1 + number % 3, u64::from(number) * 10_000));
    for number in 0..6 {
        causes.note_attempt(8, 2 * SECOND_US + number);
        let cause = causes.note_refusal(8, 2 * SECOND_US + number);
        assert!(matches!(cause, RefusalCause::Unknown { .. }), "{cause:?}");
    }
}

/// Guards against a target that ends with all its connections and is taken for a full one.
#[test]
fn the_loss_of_all_running_calls_does_not_depend_on_their_number() {
    for crashes in 1..=5 {
        let mut causes = RefusalCauses::default();
        for now_us in (0..crashes).map(|number| SECOND_US + number * 300_000) {
            (1..=9).for_each(|running| causes.note_attempt(running, now_us));
            let mut found = (1..=9).rev().map(|running| causes.note_refusal(running, now_us + 50_000));
            assert!(found.all(|cause| cause != RefusalCause::Concurrency));
        }
    }
}

/// Guards against counts that outlast a fault.
#[test]
fn a_fault_that_ended_two_seconds_ago_says_nothing() {
    let mut causes = RefusalCauses::default();
    for number in 0..20 {
        for running in 1..=9 {
            causes.note_attempt(running, number * 10_000);
        }
        causes.note_refusal(8, number * 10_000);
    }
    for number in 0..40 {
        let now_us = SECOND_US / 5 + 5 * SECOND_US + number * 50_000;
        (1..=9).for_each(|running| causes.note_attempt(running, now_us));
        if number % 3 == 0 {
            assert_ne!(causes.note_refusal(8 - number as u32 % 7, now_us), RefusalCause::Concurrency);
        }
    }
}

fn limit_lowered_at(times_us: &[u64]) -> AdaptiveLimit {
    let mut limit = AdaptiveLimit::new(12, 75, 25);
    for at_us in times_us {
        limit.recover(true, *at_us);
        limit.lower_temporarily(limit.limit(), *at_us);
        limit.recover(true, *at_us);
    }
    limit
}

/// Guards against a limit that stays low after a fault.
#[test]
fn a_limit_lowered_for_refusals_is_back_within_two_seconds_of_a_fault() {
    for fault_s in [1, 4, 8] {
        let times_us = (0..fault_s * 50).map(|number| SECOND_US + number * 20_000).collect::<Vec<_>>();
        let mut limit = limit_lowered_at(&times_us);
        let end_us = *times_us.last().expect("not empty");
        assert!(limit.limit() < 9);
        limit.recover(true, end_us + 2 * SECOND_US);
        assert_eq!(limit.limit(), 9, "after {fault_s} s");
        assert!(!limit.is_recovering());
    }
}

/// Guards against a target that refuses for minutes and is tried as often as at first.
#[test]
fn each_recurrence_delays_the_rise() {
    let mut limit = AdaptiveLimit::new(12, 75, 25);
    let mut refused_us = Vec::new();
    for now_us in (SECOND_US..300 * SECOND_US).step_by(10_000) {
        limit.recover(true, now_us);
        if limit.limit() > 7 {
            limit.lower_temporarily(limit.limit(), now_us);
            refused_us.push(now_us);
        }
    }
    let gaps_us = refused_us.windows(2).map(|pair| pair[1] - pair[0]).collect::<Vec<_>>();
    assert!(gaps_us.is_sorted(), "{gaps_us:?}");
    assert!(gaps_us.last().is_some_and(|gap_us| *gap_us > 10 * SECOND_US), "{gaps_us:?}");
    assert!(refused_us.len() < 50, "{gaps_us:?}");
}

/// Guards against a rise while the target does not answer at all.
#[test]
fn without_an_answer_the_limit_stays() {
    let mut limit = limit_lowered_at(&[SECOND_US]);
    limit.lower_temporarily(limit.limit(), 2 * SECOND_US);
    let lowered = limit.limit();
    limit.recover(false, 20 * SECOND_US);
    assert_eq!(limit.limit(), lowered);
    limit.recover(true, 20 * SECOND_US);
    assert_eq!(limit.limit(), 9);
}

/// Guards against a low limit that is taken for the usual one after a long time without answers.
#[test]
fn the_previous_limit_outlasts_a_time_without_answers() {
    let mut limit = limit_lowered_at(&[SECOND_US, SECOND_US + 1, SECOND_US + 2]);
    limit.lower_temporarily(limit.limit(), 60 * SECOND_US);
    limit.recover(true, 62 * SECOND_US);
    assert_eq!(limit.limit(), 9);
}

/// Guards against refusals of calls from before a step that lower the limit again.
#[test]
fn refusals_of_calls_that_began_above_the_limit_do_not_count_twice() {
    let mut limit = AdaptiveLimit::new(12, 75, 25);
    (0..5).for_each(|number| limit.lower_temporarily(9, SECOND_US + number));
    assert_eq!(limit.limit(), 8);
}

/// Guards against a change of behaviour with the switch off: the limit falls by a tenth for each refusal and stays.
#[test]
fn a_limit_lowered_without_causes_does_not_rise_with_time() {
    let mut limit = AdaptiveLimit::new(12, 75, 25);
    (0..20).for_each(|_| limit.note_shed());
    assert_eq!(limit.limit(), 3);
    limit.recover(true, 60 * SECOND_US);
    assert_eq!(limit.limit(), 3);
}

/// Returns when a limit that is saturated from 10 s on, after a pause since 2 s, is first replaced by that of a trial.
fn first_trial_us(has_fast_recovery: bool, offset_us: u64) -> u64 {
    let mut limit = AdaptiveLimit::new(12, 75, 25);
    limit.set_fast_recovery(has_fast_recovery);
    let times_us =
        (SECOND_US..2 * SECOND_US).step_by(200_000).chain((10 * SECOND_US..30 * SECOND_US).step_by(10_000));
    for now_us in times_us.map(|now_us| now_us + offset_us) {
        let sample = limit.note_start(limit.limit());
        limit.note_end(1, sample, Some(100_000.0), now_us);
        if limit.limit() != limit.settled() {
            return now_us - offset_us;
        }
    }
    u64::MAX
}

/// Guards against guards that all try a lower limit in the second in which a fault ends and calls come back.
#[test]
fn the_first_trials_after_a_fault_are_spread() {
    let starts_us = (0..40).map(|number| first_trial_us(true, number * 137)).collect::<Vec<_>>();
    let in_first_second = starts_us.iter().filter(|start_us| **start_us < 11 * SECOND_US).count();
    assert!(in_first_second <= 12, "{starts_us:?}");
    assert!(starts_us.iter().all(|start_us| *start_us <= 19 * SECOND_US), "{starts_us:?}");
    assert!((0..40).all(|number| first_trial_us(false, number * 137) < 11 * SECOND_US));
}

/// Keeps a target saturated from `from_us` until `until_us`, whose runs take `run_us` µs with that many running calls.
fn saturate(limit: &mut AdaptiveLimit, from_us: u64, until_us: u64, run_us: impl Fn(u32) -> u64) {
    let mut running = BTreeMap::new();
    let mut number = 0;
    let mut now_us = from_us;
    while now_us < until_us {
        while running.len() < limit.limit() as usize {
            let sample = limit.note_start(running.len() as u32 + 1);
            number += 1;
            let run_us = run_us(limit.limit()) * (80 + number * 7 % 41) / 100;
            running.insert((now_us + run_us, number), (sample, run_us));
        }
        let ((end_us, _), (sample, run_us)) = running.pop_first().expect("something runs");
        now_us = end_us;
        limit.note_end(1, sample, Some(run_us as f64), now_us);
    }
}

/// Guards against a limit that trials lowered while the target was slow, and that stays low afterwards.
#[test]
fn a_limit_lowered_by_trials_in_a_slow_time_is_back_within_two_seconds() {
    for (has_fast_recovery, is_back) in [(true, true), (false, false)] {
        let mut limit = AdaptiveLimit::new(12, 75, 25);
        limit.set_fast_recovery(has_fast_recovery);
        let usual = |_| 100_000;
        let slow = |running: u32| if running > 9 { 700_000 } else { 250_000 };
        saturate(&mut limit, SECOND_US, 20 * SECOND_US, usual);
        let before = limit.settled();
        let mut now_us = 20 * SECOND_US;
        while limit.settled() >= before && now_us < 80 * SECOND_US {
            saturate(&mut limit, now_us, now_us + 4 * SECOND_US, slow);
            now_us += 4 * SECOND_US;
        }
        assert!(limit.settled() < before, "{} of {before}", limit.settled());
        saturate(&mut limit, now_us, now_us + 2 * SECOND_US, usual);
        assert_eq!(limit.settled() >= before, is_back, "{} of {before}", limit.settled());
    }
}

/// Reports a slow phase of 150 ms in each 600 ms for `seconds`, and returns the usual length of a slow phase in µs.
fn report_phases(speed: &mut TargetSpeed, from_us: u64, seconds: u64) -> f64 {
    for at_us in (0..seconds * SECOND_US).step_by(20_000) {
        let is_slow = at_us % 600_000 < 150_000;
        speed.note(if is_slow { 500 } else { 100 }, from_us + at_us);
    }
    speed.forecast(from_us + seconds * SECOND_US).slow_left_us
}

/// Guards against calls that are not held, or are refused as slow, because slow phases were long during a fault.
#[test]
fn a_long_slow_phase_does_not_change_the_usual_length() {
    for (has_fast_recovery, is_forgotten) in [(true, true), (false, false)] {
        let mut speed = TargetSpeed::default();
        speed.set_fast_recovery(has_fast_recovery);
        let before_us = report_phases(&mut speed, SECOND_US, 6);
        let fault_us = 7 * SECOND_US;
        (0..400).for_each(|number| speed.note(500, fault_us + number * 20_000));
        let after_us = report_phases(&mut speed, fault_us + 8 * SECOND_US, 2);
        assert_eq!(after_us < 1.25 * before_us, is_forgotten, "{before_us} {after_us}");
    }
}
