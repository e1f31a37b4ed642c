//! Admission of calls by the time that the link needs for their answers.

use laurelstall_link::{
    held_bytes::{HELD_BYTES_MAX, HeldBytes},
    link_admission::{LinkAdmission, LinkCall, LinkRefusal},
    link_scheduler::LinkScheduler,
};

/// Importance above that of the calls, so that a body of any size counts in full.
const MORE_IMPORTANT: u8 = 4;
const LARGE: u32 = 1;
const SMALL: u32 = 2;
const UNKNOWN: u32 = 3;
const LARGE_BYTES: u64 = 90_000;

fn link() -> LinkScheduler {
    LinkScheduler::new(14.0)
}

fn admission() -> LinkAdmission {
    let mut admission = LinkAdmission::default();
    for _ in 0..20 {
        admission.note_answer(LARGE, LARGE_BYTES);
        admission.note_answer(SMALL, 300);
    }
    admission
}

fn call(class: u32) -> LinkCall {
    LinkCall { class, importance: 3, is_nested: false, useful_us: 1_000_000 }
}

/// Returns the retry time of the refusal that follows after as many calls as the link bears.
fn fill(admission: &mut LinkAdmission, link: &LinkScheduler) -> (u64, LinkRefusal) {
    let mut admitted = 0;
    loop {
        match admission.admit_answer(&call(LARGE), link, false, 0) {
            Ok(_) => admitted += 1,
            Err(refusal) => return (admitted, refusal),
        }
    }
}

/// Guards against slots that are spent on answers which the link cannot send in time.
#[test]
fn as_many_large_answers_are_admitted_as_the_link_sends_in_time() {
    let (mut admission, link) = (admission(), link());
    let (admitted, refusal) = fill(&mut admission, &link);
    // A tenth of the objective is left for answers that begin late or are larger than the mean.
    assert_eq!(admitted, 900_000 / link.send_us(LARGE_BYTES));
    let own_us = link.send_us(LARGE_BYTES);
    assert!((1..=own_us).contains(&refusal.retry_after_us), "{refusal:?}");
}

/// Guards against small, nested and unknown calls that are refused because of large answers of others.
#[test]
fn small_nested_and_more_important_calls_are_not_refused() {
    let (mut admission, link) = (admission(), link());
    fill(&mut admission, &link);
    let others = [
        call(SMALL),
        call(UNKNOWN),
        LinkCall { is_nested: true, ..call(LARGE) },
        LinkCall { importance: 4, ..call(LARGE) },
    ];
    for other in others {
        assert!(admission.admit_answer(&other, &link, false, 0).is_ok(), "{other:?}");
    }
}

/// Guards against callers that return at the same instant and are refused again.
#[test]
fn refused_callers_get_successive_times_within_the_maximum() {
    let (mut admission, link) = (admission(), link());
    let (_, first) = fill(&mut admission, &link);
    let retry_us = |_| {
        let refused = admission.admit_answer(&call(LARGE), &link, false, 0);
        refused.expect_err("the link is full").retry_after_us
    };
    let times = (0..200).map(retry_us).collect::<Vec<_>>();
    assert_eq!(times[0], first.retry_after_us + link.send_us(LARGE_BYTES));
    assert!(times.is_sorted() && times[199] == 5_000_000, "{times:?}");
}

/// Guards against a link that stays closed after its load has ended.
#[test]
fn room_returns_when_calls_end_and_bodies_are_sent() {
    let (mut admission, mut link) = (admission(), link());
    let admitted = admission.admit_answer(&call(LARGE), &link, false, 0).expect("an idle link");
    fill(&mut admission, &link);
    admission.end(admitted);
    let again = admission.admit_answer(&call(LARGE), &link, false, 0).expect("the room of the ended call");
    admission.end(again);
    let body = link.open(3, Some(LARGE_BYTES), 0);
    assert!(admission.admit_answer(&call(LARGE), &link, false, 0).is_err());
    link.close(body);
    assert!(admission.admit_answer(&call(LARGE), &link, false, 0).is_ok());
}

/// Guards against readers that stop and keep the link closed for others.
#[test]
fn stalled_bodies_do_not_count() {
    let (mut admission, mut link) = (admission(), link());
    let body = link.open(MORE_IMPORTANT, Some(2_000_000), 0);
    assert!(admission.admit_answer(&call(LARGE), &link, false, 1_000_000).is_err(), "not yet begun");
    link.request(body, 4_096, 1_000_000);
    link.grant_next(1_000_000).expect("an idle link");
    assert!(admission.admit_answer(&call(LARGE), &link, false, 1_000_000).is_err(), "sending");
    assert!(admission.admit_answer(&call(LARGE), &link, false, 2_000_000).is_ok(), "stalled");
    link.request(body, 4_096, 2_000_000);
    assert!(admission.admit_answer(&call(LARGE), &link, false, 2_000_000).is_err(), "sending again");
}

/// Guards against refusals on an idle link, where a late answer delays nobody.
#[test]
fn an_idle_link_takes_calls_whose_answers_are_late() {
    let (mut admission, link) = (admission(), link());
    let late = LinkCall { useful_us: 0, ..call(LARGE) };
    let admitted = admission.admit_answer(&late, &link, false, 0).expect("an idle link");
    assert!(admission.admit_answer(&late, &link, false, 0).is_err());
    admission.end(admitted);
    assert!(admission.admit_answer(&late, &link, false, 0).is_ok());
}

/// Guards against uploads that are sent although they cannot arrive in time.
#[test]
fn uploads_are_admitted_by_their_size() {
    let (mut admission, mut link) = (LinkAdmission::default(), link());
    link.open(MORE_IMPORTANT, Some(2_000_000), 0);
    assert!(admission.admit_upload(&call(UNKNOWN), 60_000, &link, false, 0).is_err());
    assert!(admission.admit_upload(&call(UNKNOWN), 4_000, &link, false, 0).is_ok());
}

/// Guards against memory that grows with the number of slow readers.
#[test]
fn large_calls_are_refused_while_slow_readers_hold_the_memory() {
    let (mut admission, link) = (admission(), link());
    let mut held = HeldBytes::default();
    held.add(HELD_BYTES_MAX);
    assert!(admission.admit_answer(&call(LARGE), &link, held.is_full(), 0).is_err());
    assert!(admission.admit_answer(&call(SMALL), &link, held.is_full(), 0).is_ok());
    held.remove(1);
    assert!(admission.admit_answer(&call(LARGE), &link, held.is_full(), 0).is_ok());
}

/// Guards against one very large body that makes the link refuse all others for as long as it is sent.
#[test]
fn a_larger_body_that_is_being_sent_refuses_no_smaller_ones() {
    let mut link = LinkScheduler::new(14.0);
    let large = link.open(77, Some(2_000_000_000), 0);
    link.request(large, 4_096, 0);
    assert_eq!(link.grant_next(0), Some(large));
    assert_eq!(link.bytes_ahead(77, 90_000, 1_000), 360_000);
    assert!(link.bytes_ahead(77, 2_000_000_000, 1_000) > 1_000_000_000);
    assert!(link.bytes_ahead(66, 90_000, 1_000) > 1_000_000_000, "a less important body waits for it");
}

/// Guards against sums of stated sizes that overflow.
#[test]
fn stated_sizes_near_the_largest_number_are_summed() {
    let mut link = LinkScheduler::new(14.0);
    for _ in 0..3 {
        link.open(77, Some(u64::MAX), 0);
    }
    assert_eq!(link.remaining_bytes(), u64::MAX);
    assert_eq!(link.bytes_ahead(77, u64::MAX, 0), u64::MAX);
}
