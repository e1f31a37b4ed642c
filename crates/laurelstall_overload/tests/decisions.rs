//! The single decisions of overload control.

use laurelstall_overload::{
    admission_threshold::AdmissionThreshold,
    call_level::{BUCKETS, CallLevel},
    overload_control::{OfferedCall, OverloadControl},
    overload_detector::{INTERVAL_US, Interval, OverloadDetector},
    retry_schedule::RetrySchedule,
    run_times::RunTimes,
    service_pressure::ServicePressure,
};

const START_US: u64 = 1_000_000;
const OVERLOADED: Interval = Interval { is_overloaded: true, is_saturated: true };
const CALM: Interval = Interval { is_overloaded: false, is_saturated: false };

fn level(importance: u8, bucket: u8) -> CallLevel {
    CallLevel { importance, bucket }
}

#[test]
fn levels_are_read_as_written_and_have_a_successor() {
    for importance in [0, 9, u8::MAX] {
        for bucket in 0..BUCKETS {
            let level = level(importance, bucket);
            assert_eq!(CallLevel::parse(&level.to_string()), Some(level));
            assert!(level.next_above() > level || level == self::level(u8::MAX, BUCKETS - 1));
        }
    }
    for invalid in ["", "9", "9.", "9.64", "256.1", "-1.1", "9.1.1"] {
        assert_eq!(CallLevel::parse(invalid), None, "{invalid}");
    }
}

#[test]
fn only_a_standing_queue_is_an_overload() {
    let mut detector = OverloadDetector::default();
    assert_eq!(detector.end_interval(START_US), None);
    // The queue was long in the interval, but it emptied once.
    [0.9, 0.0, 0.9].into_iter().for_each(|share| detector.note_delay(share));
    let now_us = START_US + INTERVAL_US;
    assert_eq!(detector.end_interval(now_us), Some(CALM));
    [0.9, 0.5].into_iter().for_each(|share| detector.note_delay(share));
    assert_eq!(detector.end_interval(now_us + INTERVAL_US), Some(OVERLOADED));
    // Nothing happened, so the queue still stands.
    assert_eq!(detector.end_interval(now_us + 2 * INTERVAL_US), Some(OVERLOADED));
    detector.note_delay(0.1);
    let busy = Interval { is_overloaded: false, is_saturated: true };
    assert_eq!(detector.end_interval(now_us + 3 * INTERVAL_US), Some(busy));
}

/// Offers work on four levels for `intervals` intervals at a target that does half of it.
fn overload(threshold: &mut AdmissionThreshold, intervals: u32) {
    for _ in 0..intervals {
        for bucket in 0..4 {
            threshold.note_arrival(level(5, bucket), 100_000.0);
        }
        threshold.note_completed(200_000.0);
        threshold.end_interval(OVERLOADED, 200_000.0);
    }
}

#[test]
fn the_threshold_admits_what_the_target_completes_and_opens_in_steps() {
    let mut threshold = AdmissionThreshold::default();
    overload(&mut threshold, 20);
    assert_eq!(threshold.threshold(), level(5, 2));
    let mut opened_after = None;
    for interval in 1..=20 {
        let before = threshold.threshold();
        (0..4).for_each(|bucket| threshold.note_arrival(level(5, bucket), 25_000.0));
        threshold.end_interval(CALM, 200_000.0);
        assert!(threshold.threshold() <= before);
        if threshold.threshold() == CallLevel::LOWEST {
            opened_after.get_or_insert(interval);
        }
    }
    let opened_after = opened_after.expect("it opens within 2 s");
    assert!(opened_after > 2, "it opened at once, which admits the next burst");
}

/// More work for a target that is busy all the time would be the next overload.
#[test]
fn the_threshold_does_not_open_while_calls_wait_all_the_time() {
    let mut threshold = AdmissionThreshold::default();
    overload(&mut threshold, 20);
    for _ in 0..50 {
        (2..4).for_each(|bucket| threshold.note_arrival(level(5, bucket), 100_000.0));
        threshold.note_completed(200_000.0);
        threshold.end_interval(Interval { is_overloaded: false, is_saturated: true }, 200_000.0);
    }
    assert_eq!(threshold.threshold(), level(5, 2));
}

#[test]
fn the_highest_level_is_admitted_at_a_target_that_completes_nothing() {
    let mut threshold = AdmissionThreshold::default();
    for _ in 0..50 {
        threshold.note_arrival(level(3, 7), 900_000.0);
        threshold.note_arrival(level(3, 9), 900_000.0);
        threshold.end_interval(OVERLOADED, 200_000.0);
    }
    assert_eq!(threshold.threshold(), level(3, 9));
}

/// Entry nodes stop sending what is refused, which must not look like the end of the overload.
#[test]
fn levels_that_entry_nodes_hold_back_stay_refused() {
    let mut threshold = AdmissionThreshold::default();
    overload(&mut threshold, 20);
    for _ in 0..50 {
        (2..4).for_each(|bucket| threshold.note_arrival(level(5, bucket), 100_000.0));
        threshold.note_completed(200_000.0);
        threshold.end_interval(OVERLOADED, 200_000.0);
    }
    assert_eq!(threshold.threshold(), level(5, 2));
}

#[test]
fn a_call_starts_with_the_time_of_a_high_quantile() {
    let mut times = RunTimes::default();
    assert!(times.is_in_time(1, 10.0), "an unknown class is not judged");
    for run in 0..200 {
        times.note_run(1, if run % 10 < 8 { 100_000.0 } else { 200_000.0 });
    }
    times.note_useful(1, 500_000.0);
    // The mean is 120 ms; with this much left, a fifth of the calls would be late.
    assert!(!times.is_in_time(1, 150_000.0));
    assert!(times.is_in_time(1, 250_000.0));
    assert!(!times.is_in_time(1, 0.0));
}

/// A quarter of the runs is late however early they start; then no call would start by a plain quantile.
#[test]
fn calls_start_although_some_are_late_however_early_they_start() {
    let mut times = RunTimes::default();
    for run in 0..400 {
        times.note_run(1, if run % 4 == 0 { 900_000.0 } else { 150_000.0 });
    }
    times.note_useful(1, 500_000.0);
    assert!(times.is_in_time(1, 450_000.0));
    assert!(!times.is_in_time(1, 100_000.0));
}

#[test]
fn retry_times_follow_each_other_and_are_bounded() {
    let mut retries = RetrySchedule::default();
    let times = (0..100).map(|_| retries.next_us(50.0, START_US)).collect::<Vec<_>>();
    assert_eq!(times[0], 100_000);
    assert!(times.windows(2).all(|pair| pair[1] == pair[0] + 20_000), "one in 20 ms: {times:?}");
    assert_eq!(retries.next_us(50.0, START_US + 60_000_000), 100_000, "a new overload starts anew");
    for admitted_per_s in [0.0, 0.3, 50.0, 1e9] {
        let time_us = retries.next_us(admitted_per_s, START_US);
        assert!((100_000..=5_000_000).contains(&time_us), "{time_us}");
    }
}

/// With the latest time for all callers beyond it, these would return in one burst.
#[test]
fn more_refusals_than_can_be_absorbed_are_spread_evenly() {
    let mut retries = RetrySchedule::default();
    let mut in_half_second = [0; 10];
    for _ in 0..2_450 {
        let time_us = retries.next_us(50.0, START_US);
        in_half_second[(time_us.min(4_999_999) / 500_000) as usize] += 1;
    }
    assert!(in_half_second[1..].iter().all(|count| (225..=275).contains(count)), "{in_half_second:?}");
}

#[test]
fn an_entry_refuses_what_most_known_targets_refuse() {
    let mut pressure = ServicePressure::default();
    assert!(!pressure.refuses(level(5, 3), 4, START_US), "nothing is known");
    pressure.note_answer("a", level(5, 10), START_US);
    assert!(!pressure.refuses(level(5, 3), 4, START_US), "one of four targets is known");
    pressure.note_refused("b", level(5, 8), START_US);
    assert!(!pressure.refuses(level(5, 3), 4, START_US), "the first call asks");
    assert!(pressure.refuses(level(5, 3), 4, START_US));
    assert!(!pressure.refuses(level(5, 9), 4, START_US), "one of two known targets takes it");
    assert!(!pressure.refuses(level(5, 3), 4, START_US + 100_000), "one call in 100 ms asks");
    pressure.note_answer("c", CallLevel::LOWEST, START_US + 100_000);
    assert!(!pressure.refuses(level(5, 3), 4, START_US + 110_000), "a third of the known targets takes it");
    assert!(!pressure.refuses(level(5, 3), 4, START_US + 500_000), "what was known is forgotten");
}

#[test]
fn an_answer_replaces_what_a_refusal_told() {
    let mut pressure = ServicePressure::default();
    pressure.note_refused("a", level(5, 8), START_US);
    pressure.note_refused("a", level(5, 3), START_US);
    assert!(!pressure.refuses(level(5, 8), 1, START_US), "the first call asks");
    assert!(pressure.refuses(level(5, 8), 1, START_US), "the lower refusal tells less");
    pressure.note_answer("a", level(5, 2), START_US);
    assert!(!pressure.refuses(level(5, 8), 1, START_US));
}

#[test]
fn a_target_without_an_overload_admits_and_starts_every_call() {
    let mut control = OverloadControl::default();
    for call in 0..200_u64 {
        let now_us = START_US + call * 10_000;
        control.advance(2, now_us);
        let offered =
            OfferedCall { level: CallLevel::LOWEST, class: 1, work_us: 50_000.0, useful_us: 90_000.0 };
        assert!(control.offer(&offered) && control.may_start(1, 1.0));
        control.note_run(1, 80_000.0, 50_000.0);
        // A queue that is as long as a burst makes it.
        control.note_delay(if call % 4 == 0 { 0.0 } else { 0.9 });
    }
    assert_eq!((control.threshold(), control.wait_factor()), (CallLevel::LOWEST, 1.0));
}
