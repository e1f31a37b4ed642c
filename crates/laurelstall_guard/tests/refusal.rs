//! What follows from the reasons of refusals.

use laurelstall_guard::refusal::{Lesson, NextStep, RefusalReason, RefusalSource};
use std::collections::HashSet;

#[test]
fn what_has_reached_a_target_is_never_tried_elsewhere_for_nothing() {
    for reason in RefusalReason::ALL {
        let facts = reason.facts();
        let is_paid = matches!(facts.next, NextStep::ElsewherePaid | NextStep::GiveUp);
        assert!(!facts.has_arrived() || is_paid, "{reason}");
    }
}

#[test]
fn a_target_that_refuses_what_has_reached_it_does_not_look_idle() {
    for reason in RefusalReason::ALL {
        let facts = reason.facts();
        assert!(!facts.has_arrived() || facts.lesson == Lesson::Fails, "{reason}");
    }
}

#[test]
fn only_what_has_reached_a_target_is_paid_for() {
    for reason in RefusalReason::ALL {
        let facts = reason.facts();
        assert!(facts.next != NextStep::ElsewherePaid || facts.has_arrived(), "{reason}");
    }
}

#[test]
fn whoever_may_be_asked_again_for_nothing_is_bounded_or_left_alone() {
    for reason in RefusalReason::ALL {
        let facts = reason.facts();
        let is_free = facts.next == NextStep::ElsewhereFree;
        let is_known = facts.lesson != Lesson::Nothing || reason == RefusalReason::Unreadable;
        assert!(!is_free || is_known, "{reason}: the next call would go there as well");
    }
}

#[test]
fn words_and_places_tell_reasons_apart() {
    let words = RefusalReason::ALL.map(RefusalReason::word);
    assert_eq!(words.iter().collect::<HashSet<_>>().len(), RefusalReason::ALL.len());
    for (place, reason) in RefusalReason::ALL.into_iter().enumerate() {
        assert_eq!(reason as usize, place, "{reason}");
    }
}

#[test]
fn the_page_says_what_the_code_does() {
    let page = include_str!("../../../docs/REFUSALS.md");
    for reason in RefusalReason::ALL {
        let facts = reason.facts();
        let yes_or_no = |is_true: bool| if is_true { "yes" } else { "no" };
        let source = match facts.source {
            RefusalSource::Entry => "entry",
            RefusalSource::Guard => "guard",
            RefusalSource::Target => "target",
        };
        let next = match facts.next {
            NextStep::GiveUp => "give up",
            NextStep::HandBack => "hand back",
            NextStep::PassOver => "pass over",
            NextStep::ElsewhereFree => "elsewhere, free",
            NextStep::ElsewhereFew => "elsewhere, few",
            NextStep::ElsewherePaid => "elsewhere, paid",
        };
        let lesson = match facts.lesson {
            Lesson::Nothing => "nothing",
            Lesson::SomeWait => "some wait",
            Lesson::IsFull => "it is full",
            Lesson::IsSlow => "it is slow",
            Lesson::HasNoPlace => "it has no place",
            Lesson::Drains => "it drains",
            Lesson::IsAbsent => "it is absent",
            Lesson::Fails => "it fails",
        };
        let row = format!(
            "| `{}` | {source} | {} | {next} | {lesson} | {} |",
            facts.word,
            yes_or_no(facts.has_arrived()),
            yes_or_no(facts.proves_ticket),
        );
        assert!(page.contains(&row), "{row}");
    }
}
