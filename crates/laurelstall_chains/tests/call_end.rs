//! Tests what the end of a nested call shows about the service that was called.

use laurelstall_chains::call_end::{CallEnd, NestedCallTimes, NestedOutcome};

const STARTED_US: u64 = 5_000_000;
const OBJECTIVE_US: u64 = 150_000;

fn times(left_us: u64) -> NestedCallTimes {
    let deadline_us = STARTED_US + left_us;
    NestedCallTimes {
        started_us: STARTED_US,
        objective_us: Some(OBJECTIVE_US),
        useful_until_us: deadline_us.min(STARTED_US + OBJECTIVE_US),
        deadline_us,
    }
}

/// A run that leaves its call too little time must not make the service look as if it failed.
#[test]
fn a_parent_without_time_is_not_a_failing_service() {
    let short = times(20_000);
    for end in [CallEnd::OutOfTime, CallEnd::Refused, CallEnd::Error, CallEnd::Abandoned] {
        assert_eq!(short.outcome(end, STARTED_US + 20_000), None, "{end:?}");
    }
    assert_eq!(short.outcome(CallEnd::Answered, STARTED_US + 10_000), Some(NestedOutcome::Answered));
    let by_level = short.outcome(CallEnd::RefusedByLevel, STARTED_US + 1_000);
    assert_eq!(by_level, Some(NestedOutcome::RefusedByLevel));
}

/// With time enough, whatever keeps the service from answering in time is its failure.
#[test]
fn a_service_fails_with_its_objective_left() {
    let enough = times(500_000);
    let failed = Some(NestedOutcome::Failed);
    for end in [CallEnd::OutOfTime, CallEnd::Refused, CallEnd::Error] {
        assert_eq!(enough.outcome(end, STARTED_US + 500_000), failed, "{end:?}");
    }
    assert_eq!(enough.outcome(CallEnd::Answered, STARTED_US + 200_000), failed, "late");
    assert_eq!(enough.outcome(CallEnd::Abandoned, STARTED_US + 200_000), failed, "waited long");
    assert_eq!(enough.outcome(CallEnd::Abandoned, STARTED_US + 20_000), None, "left early");
    assert_eq!(enough.outcome(CallEnd::Unrelated, STARTED_US + 20_000), None);
}

/// Without an objective nobody can tell whose time ran out; errors and refusals still count.
#[test]
fn without_an_objective_only_errors_and_refusals_count() {
    let unknown = NestedCallTimes { objective_us: None, ..times(500_000) };
    assert_eq!(unknown.outcome(CallEnd::OutOfTime, STARTED_US + 500_000), None);
    assert_eq!(unknown.outcome(CallEnd::Abandoned, STARTED_US + 500_000), None);
    assert_eq!(unknown.outcome(CallEnd::Error, STARTED_US + 1_000), Some(NestedOutcome::Failed));
}
