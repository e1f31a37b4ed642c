//! Which instance a guard takes its target for.

use laurelstall_guard::target_identity::{Claim, TargetIdentity};

const START_US: u64 = 1_000_000;
const FIRST_WORD_US: u64 = 2_000_000;
const LATE_US: u64 = START_US + 60_000_000;

fn send_as(name: &str) -> Claim {
    Claim::SendAs(name.to_owned())
}

/// Takes a word of the instance; how the call that asked for it may be sent.
fn word(identity: &mut TargetIdentity, name: Option<&str>, now_us: u64) -> Claim {
    identity.note_word(name, now_us);
    identity.claim_after_word(now_us)
}

fn started() -> TargetIdentity {
    let mut identity = TargetIdentity::new(START_US + FIRST_WORD_US);
    identity.follow_list("old");
    identity
}

/// A guard that has run something for the listed instance.
fn running() -> TargetIdentity {
    let mut identity = started();
    identity.note_ran("old");
    identity
}

#[test]
fn the_first_word_after_a_start_names_the_target_until_the_list_does() {
    let mut identity = started();
    assert_eq!(identity.claim(true, START_US), Claim::Ask);
    assert_eq!(word(&mut identity, Some("new"), START_US), send_as("new"));
    assert_eq!(identity.claim(true, LATE_US), send_as("new"));
    assert!(identity.is_called("old") && identity.is_called("new") && !identity.is_called("other"));
    identity.follow_list("new");
    assert_eq!(identity.claim(true, LATE_US), send_as("new"));
    assert!(!identity.is_called("old"), "the list has caught up");
    identity.follow_list("newest");
    assert_eq!(identity.claim(true, LATE_US), send_as("newest"), "the list is newer than the word");
}

#[test]
fn a_word_that_comes_late_does_not_name_the_target() {
    let mut identity = started();
    assert_eq!(identity.claim(true, LATE_US), send_as("old"));
    let mut identity = running();
    identity.note_denied("old", LATE_US);
    assert_eq!(identity.claim(true, LATE_US), Claim::Ask);
    let refused = word(&mut identity, Some("new"), LATE_US);
    assert!(matches!(refused, Claim::Refuse { wait_us } if wait_us > 0), "its service is not known");
    assert_eq!(identity.name(), "old");
}

#[test]
fn without_a_time_for_it_no_first_word_is_asked_for() {
    let mut identity = TargetIdentity::new(0);
    identity.follow_list("old");
    assert_eq!(identity.claim(true, START_US), send_as("old"));
}

#[test]
fn nothing_is_sent_to_an_instance_that_is_another_until_the_list_names_it() {
    let mut identity = running();
    identity.note_denied("old", LATE_US);
    let mut now_us = LATE_US;
    let mut asked = 0;
    while now_us < LATE_US + 10_000_000 {
        match identity.claim(true, now_us) {
            Claim::Ask => {
                asked += 1;
                let claim = word(&mut identity, Some("new"), now_us);
                assert!(matches!(claim, Claim::Refuse { .. }));
            }
            Claim::Refuse { .. } => {}
            Claim::SendAs(name) => panic!("sent as {name}"),
        }
        now_us += 1_000;
    }
    assert!((5..=8).contains(&asked), "asked {asked} times in ten seconds: the pause doubles");
    identity.follow_list("new");
    assert_eq!(identity.claim(true, now_us), send_as("new"), "the list's word counts at once");
}

#[test]
fn an_instance_that_denies_its_own_name_is_tried_by_single_calls_ever_more_seldom() {
    for can_ask in [true, false] {
        let mut identity = running();
        identity.note_denied("old", LATE_US);
        let mut sent = 0;
        for now_us in (LATE_US..LATE_US + 10_000_000).step_by(1_000) {
            let mut claim = identity.claim(can_ask, now_us);
            if claim == Claim::Ask {
                claim = word(&mut identity, Some("old"), now_us);
            }
            if let Claim::SendAs(name) = claim {
                sent += 1;
                identity.note_denied(&name, now_us + 500);
            }
        }
        assert!((4..=8).contains(&sent), "{sent} calls in ten seconds, can_ask {can_ask}");
        identity.note_ran("old");
        assert_eq!(identity.claim(can_ask, LATE_US), send_as("old"), "it has shown who it is");
    }
}

#[test]
fn a_wrong_word_at_the_load_path_shuts_nothing_out() {
    // It gives another name than it runs requests under, from the start on or later.
    let mut identity = started();
    assert_eq!(word(&mut identity, Some("wrong"), START_US), send_as("wrong"));
    identity.note_denied("wrong", START_US);
    assert_eq!(identity.claim(true, START_US), Claim::Ask);
    assert_eq!(
        word(&mut identity, Some("wrong"), START_US),
        send_as("old"),
        "the list's word was not denied"
    );
    assert!(matches!(identity.claim(true, START_US), Claim::Refuse { .. }), "one call finds out");
    identity.note_ran("old");
    identity.note_word(Some("wrong"), LATE_US);
    assert_eq!(identity.claim(true, LATE_US), send_as("old"));

    let mut identity = running();
    identity.note_word(Some("wrong"), LATE_US);
    assert_eq!(identity.claim(true, LATE_US), Claim::Ask);
    assert_eq!(word(&mut identity, Some("wrong"), LATE_US), send_as("old"));
    identity.note_ran("old");
    identity.note_word(Some("wrong"), LATE_US);
    assert!(!identity.is_in_doubt(), "its word is known to be wrong");
}

#[test]
fn a_word_of_another_name_costs_one_call_before_nothing_is_sent_any_more() {
    let mut identity = running();
    identity.note_word(Some("new"), LATE_US);
    assert_eq!(word(&mut identity, Some("new"), LATE_US), send_as("old"));
    identity.note_denied("old", LATE_US + 1_000);
    let mut sent = 0;
    for now_us in (LATE_US + 1_000..LATE_US + 10_000_000).step_by(1_000) {
        let mut claim = identity.claim(true, now_us);
        if claim == Claim::Ask {
            claim = word(&mut identity, Some("new"), now_us);
        }
        sent += u32::from(matches!(claim, Claim::SendAs(_)));
    }
    assert_eq!(sent, 0);
}

#[test]
fn many_denials_of_calls_that_were_under_way_count_as_one() {
    let mut identity = running();
    for _ in 0..12 {
        identity.note_denied("old", LATE_US);
    }
    assert_eq!(identity.claim(true, LATE_US), Claim::Ask);
    assert_eq!(word(&mut identity, Some("old"), LATE_US), send_as("old"));
    identity.note_ran("old");
    assert!(!identity.is_in_doubt());
}

#[test]
fn an_instance_that_does_not_say_its_name_is_called_by_the_listed_one() {
    let mut identity = started();
    assert_eq!(identity.claim(true, START_US), Claim::Ask);
    assert_eq!(word(&mut identity, None, START_US), send_as("old"));
    assert_eq!(identity.claim(true, START_US), send_as("old"), "it is not asked again");
    let mut unable = started();
    assert_eq!(unable.claim(false, START_US), send_as("old"));
}

#[test]
fn an_instance_that_is_not_up_yet_is_asked_again() {
    let mut identity = started();
    let refused = TargetIdentity::claim_unreached();
    assert!(matches!(refused, Claim::Refuse { .. }));
    assert_eq!(identity.claim(true, START_US), Claim::Ask);
    assert_eq!(word(&mut identity, Some("new"), START_US), send_as("new"));
}

#[test]
fn a_denial_of_another_name_says_nothing() {
    let mut identity = started();
    word(&mut identity, Some("new"), START_US);
    identity.note_denied("old", START_US);
    assert!(!identity.is_in_doubt());
    identity.follow_list("newest");
    identity.note_denied("new", START_US);
    assert!(!identity.is_in_doubt());
}

#[test]
fn an_instance_that_does_not_answer_has_its_first_word_yet_and_is_asked_once_a_second() {
    let mut identity = started();
    assert_eq!(identity.claim(true, START_US), Claim::Ask);
    identity.note_silence(START_US);
    assert_eq!(identity.claim_after_word(START_US), send_as("old"));
    assert_eq!(identity.claim(true, START_US + 900_000), send_as("old"), "calls do not wait for it");
    assert_eq!(identity.claim(true, START_US + 1_100_000), Claim::Ask);
    identity.note_silence(START_US + 1_100_000);
    identity.note_denied("old", START_US + 1_200_000);
    assert_eq!(identity.claim(true, START_US + 1_200_000), Claim::Ask, "it is another one");
    identity.note_word(Some("new"), START_US + 1_200_000);
    assert_eq!(identity.claim_after_word(START_US + 1_200_000), send_as("new"));
    identity.note_ran("new");
    assert_eq!(identity.claim(true, LATE_US), send_as("new"));
}
