//! Tests the places that are reserved for the returns of refused callers.

use laurelstall_overload::return_reservations::{
    EARLY_MAX_US, PLACE_LIFETIME_US, RETRY_MAX_US, RETURN_SHARE, RefusedCall, ReturnReservations, ReturnTime,
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

const IMPORTANCE: u8 = 55;
const S_US: u64 = 1_000_000;

/// A first attempt that is refused now, with a caller that waits up to 450 ms.
fn refused(digest: u64, now_us: u64) -> RefusedCall {
    RefusedCall {
        digest,
        importance: IMPORTANCE,
        may_reserve: true,
        earliest_us: now_us + 100_000,
        latest_us: now_us + 450_000,
    }
}

/// Reservations of a service that answered `per_s` calls of this importance each second, for ten seconds.
fn after_answers(importance: u8, per_s: u64) -> (ReturnReservations, u64) {
    let mut reservations = ReturnReservations::default();
    let mut now_us = S_US;
    for _ in 0..10 * per_s {
        now_us += S_US / per_s;
        reservations.note_answer(importance, now_us);
    }
    (reservations, now_us)
}

fn reserved_at(reservations: &mut ReturnReservations, call: &RefusedCall, now_us: u64) -> Option<u64> {
    let time = reservations.reserve(call, now_us).expect("the service has answered");
    time.is_reserved.then_some(time.at_us)
}

#[test]
fn a_return_in_time_claims_its_place_once() {
    let (mut reservations, now_us) = after_answers(IMPORTANCE, 20);
    let at_us = reserved_at(&mut reservations, &refused(7, now_us), now_us).expect("a free place");
    assert_eq!(at_us, now_us + 100_000, "the first place is free");
    assert!(!reservations.claim(8, at_us), "another request");
    assert!(reservations.claim(7, at_us - EARLY_MAX_US));
    assert!(!reservations.claim(7, at_us), "it is claimed");
}

#[test]
fn a_return_that_is_early_or_late_has_no_place() {
    let (mut reservations, now_us) = after_answers(IMPORTANCE, 20);
    let at_us = reserved_at(&mut reservations, &refused(7, now_us), now_us).expect("a free place");
    assert!(!reservations.claim(7, at_us - 20_000), "too early");
    let early_us = at_us - 20_000;
    let again = reservations.reserve(&refused(7, early_us), early_us).expect("the service has answered");
    assert!(!again.is_reserved, "one place for each request, however often it comes");
    assert!(reservations.claim(7, at_us + PLACE_LIFETIME_US), "its place has stayed");
    let late_us = reserved_at(&mut reservations, &refused(9, at_us), at_us).expect("a free place");
    assert!(!reservations.claim(9, late_us + PLACE_LIFETIME_US + 1), "too late");
}

#[test]
fn a_refused_return_gets_no_further_place() {
    let (mut reservations, now_us) = after_answers(IMPORTANCE, 20);
    let call = RefusedCall { may_reserve: false, ..refused(7, now_us) };
    assert_eq!(reserved_at(&mut reservations, &call, now_us), None);
    assert_eq!(reservations.open(now_us), 0);
}

/// Guards against places beyond what the service answers, which would be refused again.
#[test]
fn places_stay_within_a_share_of_the_answers() {
    for per_s in [2, 20, 400] {
        let (mut reservations, mut now_us) = after_answers(IMPORTANCE, per_s);
        let mut rng = SmallRng::seed_from_u64(per_s);
        let mut places_us = Vec::new();
        let begin_us = now_us;
        // Ten times as many calls are refused as answered.
        for digest in 0..100 * per_s {
            now_us += S_US / (10 * per_s);
            if digest % 10 == 0 {
                reservations.note_answer(IMPORTANCE, now_us);
            }
            let call =
                RefusedCall { earliest_us: now_us + rng.random_range(0..300_000), ..refused(digest, now_us) };
            places_us.extend(reserved_at(&mut reservations, &call, now_us));
        }
        let expected = RETURN_SHARE * per_s as f64 * (now_us - begin_us) as f64 / S_US as f64;
        let count = places_us.len() as f64;
        // Gaps between places that are found at random are wider than needed, by at most one interval.
        assert!(count <= 1.1 * expected + 2.0, "{count} places at {per_s}/s, expected {expected}");
        assert!(count >= 0.5 * expected, "only {count} places at {per_s}/s, expected {expected}");
    }
}

#[test]
fn without_a_free_place_the_caller_gets_a_time_beyond_its_wait() {
    let (mut reservations, now_us) = after_answers(IMPORTANCE, 4);
    assert!(reserved_at(&mut reservations, &refused(1, now_us), now_us).is_some());
    let second = reservations.reserve(&refused(2, now_us), now_us).expect("the service has answered");
    assert!(!second.is_reserved && second.at_us > now_us + 450_000, "{second:?}");
    let later = reservations.reserve(&refused(3, now_us), now_us + 3 * S_US).expect("it has answered");
    assert!(later.at_us <= now_us + 3 * S_US + RETRY_MAX_US);
}

/// Guards against calls that are called back although everything that is answered is more important.
#[test]
fn a_call_uses_only_capacity_of_its_importance_and_below() {
    let (mut reservations, now_us) = after_answers(IMPORTANCE, 40);
    let low = |digest| RefusedCall { importance: 11, ..refused(digest, now_us) };
    let places = (0..10).filter_map(|digest| reserved_at(&mut reservations, &low(digest), now_us));
    assert_eq!(places.count(), 1, "one in the longest distance, to notice a change");
    let high = |digest| RefusedCall { importance: 99, ..refused(digest, now_us) };
    let places = (10..20).filter_map(|digest| reserved_at(&mut reservations, &high(digest), now_us));
    assert!(places.count() >= 3, "12 places a second, and the wait is 350 ms");
}

#[test]
fn an_unknown_rate_gives_no_times() {
    let mut reservations = ReturnReservations::default();
    assert_eq!(reservations.reserve(&refused(1, S_US), S_US), None, "nothing is known after a start");
    let (mut reservations, now_us) = after_answers(IMPORTANCE, 4);
    let later_us = now_us + 60 * S_US;
    assert_eq!(reservations.reserve(&refused(1, later_us), later_us), None, "the answers are forgotten");
}

/// Guards against callers that are called back in numbers while nothing is answered, and against a long wait afterwards.
#[test]
fn places_are_few_while_nothing_is_answered_and_come_back_within_two_seconds() {
    let (mut reservations, begin_us) = after_answers(IMPORTANCE, 20);
    let mut count_places = |from_us: u64, to_us: u64, is_answering: bool| {
        let times = (from_us..to_us).step_by(50_000);
        let reserve = |now_us: u64| {
            if is_answering {
                reservations.note_answer(IMPORTANCE, now_us);
            }
            reserved_at(&mut reservations, &refused(now_us, now_us), now_us)
        };
        times.filter_map(reserve).count()
    };
    let fault_end_us = begin_us + 8 * S_US;
    count_places(begin_us, begin_us + 4 * S_US, false);
    let at_the_end = count_places(begin_us + 4 * S_US, fault_end_us, false);
    assert!(at_the_end <= 4, "{at_the_end} places in the last 4 s of the fault");
    count_places(fault_end_us, fault_end_us + 2 * S_US, true);
    let afterwards = count_places(fault_end_us + 2 * S_US, fault_end_us + 4 * S_US, true);
    assert!(afterwards >= 6, "{afterwards} places in 2 s, the share is 12");
}

#[test]
fn the_memory_is_bounded() {
    let (mut reservations, now_us) = after_answers(IMPORTANCE, 10_000);
    let patient = |digest| RefusedCall { latest_us: u64::MAX, ..refused(digest, now_us) };
    let times = (0..6_000).filter_map(|digest| reservations.reserve(&patient(digest), now_us));
    let is_reserved = |time: &ReturnTime| time.is_reserved;
    let reserved = times.filter(is_reserved).count();
    assert!(reserved <= 5_000, "{reserved} places for waits of 5 s at most");
    assert_eq!(reservations.open(now_us), reserved);
    let later_us = now_us + 2 * RETRY_MAX_US + 1;
    reservations.note_answer(IMPORTANCE, later_us);
    reservations.reserve(&refused(30_000, later_us), later_us);
    assert_eq!(reservations.open(later_us), 1);
}
