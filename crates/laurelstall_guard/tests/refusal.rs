//! How refusals are reported and handled, by reason.

use laurelstall_guard::refusal::{Lesson, NextStep, RefusalReason, RefusalSource};
use std::collections::HashSet;

#[test]
fn requests_that_reached_a_target_are_never_retried_free_of_charge() {
    for reason in RefusalReason::ALL {
        let facts = reason.facts();
        let is_paid = matches!(facts.next, NextStep::ElsewherePaid | NextStep::GiveUp);
        assert!(!facts.has_arrived() || is_paid, "{reason}");
    }
}

#[test]
fn a_refusal_by_the_target_counts_as_a_failure() {
    for reason in RefusalReason::ALL {
        let facts = reason.facts();
        assert!(!facts.has_arrived() || facts.lesson == Lesson::Fails, "{reason}");
    }
}

#[test]
fn only_requests_that_reached_a_target_use_the_retry_budget() {
    for reason in RefusalReason::ALL {
        let facts = reason.facts();
        assert!(facts.next != NextStep::ElsewherePaid || facts.has_arrived(), "{reason}");
    }
}

#[test]
fn free_retries_tell_the_entry_something_about_the_target() {
    for reason in RefusalReason::ALL {
        let facts = reason.facts();
        let is_free = facts.next == NextStep::ElsewhereFree;
        let is_known = facts.lesson != Lesson::Nothing || reason == RefusalReason::Unreadable;
        assert!(!is_free || is_known, "{reason}: the next call would go to the same target");
    }
}

#[test]
fn names_and_indices_of_reasons_are_unique() {
    let names = RefusalReason::ALL.map(RefusalReason::word);
    assert_eq!(names.iter().collect::<HashSet<_>>().len(), RefusalReason::ALL.len());
    for (index, reason) in RefusalReason::ALL.into_iter().enumerate() {
        assert_eq!(reason as usize, index, "{reason}");
    }
}

#[test]
fn the_page_on_refusals_matches_the_code() {
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
