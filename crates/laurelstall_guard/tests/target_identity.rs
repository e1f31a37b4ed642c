//! The name under which a guard addresses its target instance.

use laurelstall_guard::target_identity::{SendDecision, TargetIdentity};

const START_US: u64 = 1_000_000;
const FIRST_REPORT_US: u64 = 2_000_000;
const LATE_US: u64 = START_US + 60_000_000;

fn send_as(name: &str) -> SendDecision {
    SendDecision::SendAs(name.to_owned())
}

/// Records the reported name; returns how the call that queried the instance may be sent.
fn report(identity: &mut TargetIdentity, name: Option<&str>, now_us: u64) -> SendDecision {
    identity.note_reported_name(name, now_us);
    identity.decide_send_after_report(now_us)
}

fn started() -> TargetIdentity {
    let mut identity = TargetIdentity::new(START_US + FIRST_REPORT_US);
    identity.set_listed_name("old");
    identity
}

/// An identity whose instance has run a request under the listed name.
fn confirmed() -> TargetIdentity {
    let mut identity = started();
    identity.note_ran("old");
    identity
}

#[test]
fn the_first_report_after_a_start_names_the_target_until_the_list_does() {
    let mut identity = started();
    assert_eq!(identity.decide_send(true, START_US), SendDecision::QueryFirst);
    assert_eq!(report(&mut identity, Some("new"), START_US), send_as("new"));
    assert_eq!(identity.decide_send(true, LATE_US), send_as("new"));
    assert!(
        identity.is_addressed_as("old")
            && identity.is_addressed_as("new")
            && !identity.is_addressed_as("other")
    );
    identity.set_listed_name("new");
    assert_eq!(identity.decide_send(true, LATE_US), send_as("new"));
    assert!(!identity.is_addressed_as("old"), "the list has caught up");
    identity.set_listed_name("newest");
    assert_eq!(identity.decide_send(true, LATE_US), send_as("newest"), "the list is newer than the report");
}

#[test]
fn a_late_report_does_not_name_the_target() {
    let mut identity = started();
    assert_eq!(identity.decide_send(true, LATE_US), send_as("old"));
    let mut identity = confirmed();
    identity.note_denied("old", LATE_US);
    assert_eq!(identity.decide_send(true, LATE_US), SendDecision::QueryFirst);
    let refused = report(&mut identity, Some("new"), LATE_US);
    assert!(matches!(refused, SendDecision::Refuse { wait_us } if wait_us > 0), "its service is not known");
    assert_eq!(identity.name(), "old");
}

#[test]
fn without_a_first_report_period_the_instance_is_not_queried() {
    let mut identity = TargetIdentity::new(0);
    identity.set_listed_name("old");
    assert_eq!(identity.decide_send(true, START_US), send_as("old"));
}

#[test]
fn no_call_is_sent_to_another_instance_until_the_list_names_it() {
    let mut identity = confirmed();
    identity.note_denied("old", LATE_US);
    let mut now_us = LATE_US;
    let mut queries = 0;
    while now_us < LATE_US + 10_000_000 {
        match identity.decide_send(true, now_us) {
            SendDecision::QueryFirst => {
                queries += 1;
                let decision = report(&mut identity, Some("new"), now_us);
                assert!(matches!(decision, SendDecision::Refuse { .. }));
            }
            SendDecision::Refuse { .. } => {}
            SendDecision::SendAs(name) => panic!("sent as {name}"),
        }
        now_us += 1_000;
    }
    assert!((5..=8).contains(&queries), "{queries} queries in ten seconds");
    identity.set_listed_name("new");
    assert_eq!(identity.decide_send(true, now_us), send_as("new"), "the new listed name applies at once");
}

#[test]
fn an_instance_that_denies_its_own_name_gets_single_calls_with_backoff() {
    for can_query in [true, false] {
        let mut identity = confirmed();
        identity.note_denied("old", LATE_US);
        let mut sent = 0;
        for now_us in (LATE_US..LATE_US + 10_000_000).step_by(1_000) {
            let mut decision = identity.decide_send(can_query, now_us);
            if decision == SendDecision::QueryFirst {
                decision = report(&mut identity, Some("old"), now_us);
            }
            if let SendDecision::SendAs(name) = decision {
                sent += 1;
                identity.note_denied(&name, now_us + 500);
            }
        }
        assert!((4..=8).contains(&sent), "{sent} calls in ten seconds, can_query {can_query}");
        identity.note_ran("old");
        assert_eq!(
            identity.decide_send(can_query, LATE_US),
            send_as("old"),
            "it has run a request under its name"
        );
    }
}

#[test]
fn a_wrong_name_at_the_load_path_blocks_no_calls() {
    // The instance reports another name than it runs requests under, from the start or later.
    let mut identity = started();
    assert_eq!(report(&mut identity, Some("wrong"), START_US), send_as("wrong"));
    identity.note_denied("wrong", START_US);
    assert_eq!(identity.decide_send(true, START_US), SendDecision::QueryFirst);
    assert_eq!(
        report(&mut identity, Some("wrong"), START_US),
        send_as("old"),
        "the listed name was not denied"
    );
    assert!(
        matches!(identity.decide_send(true, START_US), SendDecision::Refuse { .. }),
        "one call is sent to find out"
    );
    identity.note_ran("old");
    identity.note_reported_name(Some("wrong"), LATE_US);
    assert_eq!(identity.decide_send(true, LATE_US), send_as("old"));

    let mut identity = confirmed();
    identity.note_reported_name(Some("wrong"), LATE_US);
    assert_eq!(identity.decide_send(true, LATE_US), SendDecision::QueryFirst);
    assert_eq!(report(&mut identity, Some("wrong"), LATE_US), send_as("old"));
    identity.note_ran("old");
    identity.note_reported_name(Some("wrong"), LATE_US);
    assert!(!identity.is_in_doubt(), "its report is known to be wrong");
}

#[test]
fn after_a_report_of_another_name_one_denied_call_blocks_the_others() {
    let mut identity = confirmed();
    identity.note_reported_name(Some("new"), LATE_US);
    assert_eq!(report(&mut identity, Some("new"), LATE_US), send_as("old"));
    identity.note_denied("old", LATE_US + 1_000);
    let mut sent = 0;
    for now_us in (LATE_US + 1_000..LATE_US + 10_000_000).step_by(1_000) {
        let mut decision = identity.decide_send(true, now_us);
        if decision == SendDecision::QueryFirst {
            decision = report(&mut identity, Some("new"), now_us);
        }
        sent += u32::from(matches!(decision, SendDecision::SendAs(_)));
    }
    assert_eq!(sent, 0);
}

#[test]
fn denials_of_calls_in_flight_count_as_one() {
    let mut identity = confirmed();
    for _ in 0..12 {
        identity.note_denied("old", LATE_US);
    }
    assert_eq!(identity.decide_send(true, LATE_US), SendDecision::QueryFirst);
    assert_eq!(report(&mut identity, Some("old"), LATE_US), send_as("old"));
    identity.note_ran("old");
    assert!(!identity.is_in_doubt());
}

#[test]
fn an_instance_without_a_reported_name_is_addressed_by_the_listed_one() {
    let mut identity = started();
    assert_eq!(identity.decide_send(true, START_US), SendDecision::QueryFirst);
    assert_eq!(report(&mut identity, None, START_US), send_as("old"));
    assert_eq!(identity.decide_send(true, START_US), send_as("old"), "it is not queried again");
    let mut unqueryable = started();
    assert_eq!(unqueryable.decide_send(false, START_US), send_as("old"));
}

#[test]
fn an_unreachable_instance_is_queried_again() {
    let mut identity = started();
    let refused = TargetIdentity::refuse_unreachable();
    assert!(matches!(refused, SendDecision::Refuse { .. }));
    assert_eq!(identity.decide_send(true, START_US), SendDecision::QueryFirst);
    assert_eq!(report(&mut identity, Some("new"), START_US), send_as("new"));
}

#[test]
fn a_denial_of_a_former_name_is_ignored() {
    let mut identity = started();
    report(&mut identity, Some("new"), START_US);
    identity.note_denied("old", START_US);
    assert!(!identity.is_in_doubt());
    identity.set_listed_name("newest");
    identity.note_denied("new", START_US);
    assert!(!identity.is_in_doubt());
}

#[test]
fn an_instance_without_a_reply_is_queried_once_a_second() {
    let mut identity = started();
    assert_eq!(identity.decide_send(true, START_US), SendDecision::QueryFirst);
    identity.note_no_reply(START_US);
    assert_eq!(identity.decide_send_after_report(START_US), send_as("old"));
    assert_eq!(identity.decide_send(true, START_US + 900_000), send_as("old"), "calls do not wait for it");
    assert_eq!(identity.decide_send(true, START_US + 1_100_000), SendDecision::QueryFirst);
    identity.note_no_reply(START_US + 1_100_000);
    identity.note_denied("old", START_US + 1_200_000);
    assert_eq!(
        identity.decide_send(true, START_US + 1_200_000),
        SendDecision::QueryFirst,
        "it may be another instance"
    );
    identity.note_reported_name(Some("new"), START_US + 1_200_000);
    assert_eq!(identity.decide_send_after_report(START_US + 1_200_000), send_as("new"));
    identity.note_ran("new");
    assert_eq!(identity.decide_send(true, LATE_US), send_as("new"));
}
