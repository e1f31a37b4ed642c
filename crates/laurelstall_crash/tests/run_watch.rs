//! Which requests are told to have been at work when a target ended.

use laurelstall_crash::{
    request_digest::{RequestDigest, RequestHead},
    run_watch::RunWatch,
};

fn digest(number: u64) -> RequestDigest {
    RequestDigest { whole: number, head: number }
}

#[test]
fn all_that_had_begun_when_the_first_connection_broke_were_at_work() {
    let mut watch = RunWatch::default();
    let broken = watch.start(digest(1), 100);
    watch.start(digest(2), 200);
    let answered = watch.start(digest(3), 300);
    watch.note_answered(answered);
    watch.note_broken(broken, 1_000);
    watch.start(digest(4), 1_000);
    let ended = watch.note_ended(1_000);
    assert!(ended.is_first);
    assert_eq!(ended.end, 1);
    assert_eq!(ended.digests, vec![digest(2), digest(1)]);
    assert_eq!(watch.len(), 1, "what began later is not at work there");
}

#[test]
fn a_second_word_of_an_end_has_its_number_until_the_target_is_seen_alive() {
    let mut watch = RunWatch::default();
    watch.start(digest(1), 1);
    assert_eq!(watch.note_ended(10).end, 1);
    let late = watch.start(digest(2), 20);
    watch.note_broken(late, 25);
    let again = watch.note_ended(15);
    assert_eq!((again.end, again.is_first), (1, false));
    assert_eq!(again.digests, vec![digest(2)]);
    let served = watch.start(digest(3), 30);
    watch.note_answered(served);
    watch.start(digest(1), 40);
    assert_eq!(watch.note_ended(50).end, 2);
}

#[test]
fn a_run_that_was_given_up_counts_for_half_a_second() {
    let mut watch = RunWatch::default();
    let run = watch.start(digest(1), 0);
    watch.note_given_up(run, 100_000);
    let other = watch.start(digest(2), 0);
    watch.note_given_up(other, 900_000);
    assert_eq!(watch.note_ended(1_000_000).digests, vec![digest(2)]);
}

#[test]
fn connections_that_break_beside_a_living_target_say_nothing() {
    let mut watch = RunWatch::default();
    let broken = watch.start(digest(1), 0);
    watch.start(digest(2), 0);
    watch.note_broken(broken, 5);
    watch.note_survived();
    assert_eq!(watch.note_ended(10).digests, vec![digest(2)]);
}

#[test]
fn a_digest_tells_path_caller_and_body_apart_and_nothing_else() {
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
fn what_was_lost_while_nobody_could_tell_counts_when_the_target_proves_to_have_ended() {
    let mut watch = RunWatch::default();
    let lost = watch.start(digest(1), 0);
    watch.note_broken(lost, 500);
    watch.note_unclear(1_000);
    assert!(watch.has_lost_runs(100_000));
    assert_eq!(watch.note_ended(100_000).digests, vec![digest(1)]);
    let lost = watch.start(digest(2), 200_000);
    watch.note_broken(lost, 290_000);
    watch.note_unclear(300_000);
    assert!(!watch.has_lost_runs(900_000), "too long ago");
    assert!(watch.note_ended(900_000).digests.is_empty());
}

#[test]
fn a_broken_run_whose_look_nobody_waited_for_is_forgotten() {
    let mut watch = RunWatch::default();
    let broken = watch.start(digest(1), 0);
    watch.note_broken(broken, 1_000);
    watch.start(digest(2), 2_000_000);
    assert_eq!(watch.len(), 1);
    assert_eq!(watch.note_ended(3_000_000).digests, vec![digest(2)]);
}
