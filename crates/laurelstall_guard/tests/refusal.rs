//! How refusals are reported and handled, by reason.

use laurelstall_guard::refusal::{NextStep, Refusal, RefusalReason, RefusalSource, TargetSignal};
use std::collections::HashSet;

#[test]
fn requests_that_reached_a_target_are_never_retried_free_of_charge() {
    for reason in RefusalReason::ALL {
        let properties = reason.properties();
        let is_paid = matches!(properties.next, NextStep::RetryBudgeted | NextStep::GiveUp);
        assert!(!properties.has_reached_target() || is_paid, "{reason}");
    }
}

#[test]
fn a_refusal_by_the_target_counts_as_a_failure() {
    for reason in RefusalReason::ALL {
        let properties = reason.properties();
        assert!(!properties.has_reached_target() || properties.signal == TargetSignal::Failing, "{reason}");
    }
}

#[test]
fn only_requests_that_reached_a_target_use_the_retry_budget() {
    for reason in RefusalReason::ALL {
        let properties = reason.properties();
        assert!(properties.next != NextStep::RetryBudgeted || properties.has_reached_target(), "{reason}");
    }
}

#[test]
fn free_retries_tell_the_entry_something_about_the_target() {
    for reason in RefusalReason::ALL {
        let properties = reason.properties();
        let is_free = properties.next == NextStep::RetryFree;
        let is_known = properties.signal != TargetSignal::Nothing || reason == RefusalReason::Unreadable;
        assert!(!is_free || is_known, "{reason}: the next call would go to the same target");
    }
}

#[test]
fn names_and_indices_of_reasons_are_unique() {
    let names = RefusalReason::ALL.map(RefusalReason::name);
    assert_eq!(names.iter().collect::<HashSet<_>>().len(), RefusalReason::ALL.len());
    for (index, reason) in RefusalReason::ALL.into_iter().enumerate() {
        assert_eq!(reason as usize, index, "{reason}");
    }
}

/// Nodes of earlier versions cannot decode the message with this reason.
#[test]
fn overloaded_is_not_said_to_entries_that_do_not_know_it() {
    for reason in RefusalReason::ALL {
        let refusal = Refusal::new(reason).with_retry_after_ms(120).without_level();
        let is_known = reason != RefusalReason::Overloaded;
        assert_eq!(refusal.reason, if is_known { reason } else { RefusalReason::Busy });
        assert_eq!(refusal.retry_after_ms, 120);
    }
}

#[test]
fn the_page_on_refusals_matches_the_code() {
    let page = include_str!("../../../docs/REFUSALS.md");
    for reason in RefusalReason::ALL {
        let properties = reason.properties();
        let yes_or_no = |is_true: bool| if is_true { "yes" } else { "no" };
        let source = match properties.source {
            RefusalSource::Entry => "entry",
            RefusalSource::Guard => "guard",
            RefusalSource::Target => "target",
        };
        let next = match properties.next {
            NextStep::GiveUp => "give up",
            NextStep::HandBack => "hand back",
            NextStep::SkipSlow => "pass over",
            NextStep::RetryFree => "elsewhere, free",
            NextStep::RetryLimited => "elsewhere, few",
            NextStep::RetryBudgeted => "elsewhere, paid",
        };
        let signal = match properties.signal {
            TargetSignal::Nothing => "nothing",
            TargetSignal::Queueing => "some wait",
            TargetSignal::Full => "it is full",
            TargetSignal::Slow => "it is slow",
            TargetSignal::RateLimit => "it has no place",
            TargetSignal::Draining => "it drains",
            TargetSignal::Unreachable => "it is absent",
            TargetSignal::Failing => "it fails",
        };
        let row = format!(
            "| `{}` | {source} | {} | {next} | {signal} | {} |",
            properties.name,
            yes_or_no(properties.has_reached_target()),
            yes_or_no(properties.proves_ticket_not_run),
        );
        assert!(page.contains(&row), "{row}");
    }
}
