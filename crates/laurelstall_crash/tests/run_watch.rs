//! Which requests are reported to have been running when a target crashed.

use laurelstall_crash::{
    request_digest::{RequestDigest, RequestHead},
    run_tracker::RunTracker,
};

fn digest(number: u64) -> RequestDigest {
    RequestDigest { whole: number, head: number }
}

#[test]
fn a_crash_reports_all_runs_that_started_before_the_first_broken_connection() {
    let mut tracker = RunTracker::default();
    let broken = tracker.start(digest(1), 100);
    tracker.start(digest(2), 200);
    let answered = tracker.start(digest(3), 300);
    tracker.note_answered(answered);
    tracker.note_broken(broken, 1_000);
    tracker.start(digest(4), 1_000);
    let ended = tracker.note_crash(1_000);
    assert!(ended.is_first);
    assert_eq!(ended.number, 1);
    assert_eq!(ended.digests, vec![digest(2), digest(1)]);
    assert_eq!(tracker.len(), 1, "a later run is not part of the crash");
}

#[test]
fn reports_belong_to_the_same_crash_until_the_target_is_seen_alive() {
    let mut tracker = RunTracker::default();
    tracker.start(digest(1), 1);
    assert_eq!(tracker.note_crash(10).number, 1);
    let late = tracker.start(digest(2), 20);
    tracker.note_broken(late, 25);
    let again = tracker.note_crash(15);
    assert_eq!((again.number, again.is_first), (1, false));
    assert_eq!(again.digests, vec![digest(2)]);
    let served = tracker.start(digest(3), 30);
    tracker.note_answered(served);
    tracker.start(digest(1), 40);
    assert_eq!(tracker.note_crash(50).number, 2);
}

#[test]
fn an_abandoned_run_counts_for_half_a_second() {
    let mut tracker = RunTracker::default();
    let run = tracker.start(digest(1), 0);
    tracker.note_abandoned(run, 100_000);
    let other = tracker.start(digest(2), 0);
    tracker.note_abandoned(other, 900_000);
    assert_eq!(tracker.note_crash(1_000_000).digests, vec![digest(2)]);
}

#[test]
fn broken_connections_to_a_live_target_do_not_count() {
    let mut tracker = RunTracker::default();
    let broken = tracker.start(digest(1), 0);
    tracker.start(digest(2), 0);
    tracker.note_broken(broken, 5);
    tracker.note_alive_after_break();
    assert_eq!(tracker.note_crash(10).digests, vec![digest(2)]);
}

#[test]
fn a_digest_depends_on_all_parts_of_the_head_and_on_the_body() {
    let head = RequestHead { method: "GET", host: "a.example", path: "/x?y=1", caller: "c" };
    let one = RequestDigest::of_whole(&head, b"body");
    assert_eq!(one, RequestDigest::of_whole(&head, b"body"));
    for other in [
        RequestHead { path: "/x?y=2", ..head },
        RequestHead { caller: "d", ..head },
        RequestHead { method: "POST", ..head },
        RequestHead { host: "a.exampl", path: "e/x?y=1", ..head },
    ] {
        assert_ne!(one.head, RequestDigest::of_whole(&other, b"body").head);
        assert_ne!(one.whole, RequestDigest::of_whole(&other, b"body").whole);
    }
    assert_ne!(one.whole, RequestDigest::of_whole(&head, b"body2").whole);
    assert_eq!(one.head, RequestDigest::of_stream(&head).head);
    assert_ne!(one.whole, RequestDigest::of_stream(&head).whole);
}

#[test]
fn runs_of_an_unknown_result_count_for_a_crash_that_is_detected_shortly_after() {
    let mut tracker = RunTracker::default();
    let lost = tracker.start(digest(1), 0);
    tracker.note_broken(lost, 500);
    tracker.note_check_inconclusive(1_000);
    assert!(tracker.has_lost_runs(100_000));
    assert_eq!(tracker.note_crash(100_000).digests, vec![digest(1)]);
    let lost = tracker.start(digest(2), 200_000);
    tracker.note_broken(lost, 290_000);
    tracker.note_check_inconclusive(300_000);
    assert!(!tracker.has_lost_runs(900_000), "the run was lost too long ago");
    assert!(tracker.note_crash(900_000).digests.is_empty());
}

#[test]
fn a_broken_run_without_a_check_of_its_target_expires() {
    let mut tracker = RunTracker::default();
    let broken = tracker.start(digest(1), 0);
    tracker.note_broken(broken, 1_000);
    tracker.start(digest(2), 2_000_000);
    assert_eq!(tracker.len(), 1);
    assert_eq!(tracker.note_crash(3_000_000).digests, vec![digest(2)]);
}
