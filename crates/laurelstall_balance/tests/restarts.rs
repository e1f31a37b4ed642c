//! A restart of a target under the same name resets what is known of it.

mod support;

use laurelstall_balance::{
    hint::{Hint, TargetState},
    least_cost::LeastCost,
    service_balancer::{AttemptResult, ChoiceRequest, ServiceBalancer},
    target_view::TargetView,
};
use laurelstall_config::team::ServiceLimits;
use support::any_target;

const START_US: u64 = 1_000_000;

fn views(started_unix_ms: u64, now_us: u64) -> Vec<TargetView> {
    let view = |number: u32| {
        let name = format!("t-{number}");
        let mut view = TargetView::new(&name, &format!("h-{number}"), 12, 100, now_us);
        view.started_unix_ms = if number == 0 { started_unix_ms } else { 1 };
        view
    };
    (0..3).map(view).collect()
}

/// A balancer whose first target, which started at `started_unix_ms`, is ejected for errors.
fn balancer_with_ejected_target(started_unix_ms: u64) -> ServiceBalancer {
    let limits = ServiceLimits::default();
    let mut balancer = ServiceBalancer::new(limits, Box::new(LeastCost::default()), 7);
    balancer.set_targets(limits, views(started_unix_ms, START_US));
    let hint = Hint {
        incarnation: 1,
        in_flight: 12,
        queued: 9,
        limit: 12,
        service_us: 10_000,
        slowness_percent: 400,
        state: TargetState::Serving,
    };
    balancer.update_hint(0, "t-0", hint, START_US);
    for _ in 0..40 {
        balancer.note_sent(0);
        balancer.note_result(0, "t-0", 0, AttemptResult::Failed, START_US);
    }
    balancer.note_sent(0);
    assert!(!is_eligible(&balancer));
    balancer
}

fn is_eligible(balancer: &ServiceBalancer) -> bool {
    first_view(balancer).is_eligible(START_US)
}

fn first_view(balancer: &ServiceBalancer) -> &TargetView {
    let view = balancer.targets().iter().find(|view| view.name == "t-0");
    view.expect("the target is listed")
}

#[test]
fn a_restart_resets_the_view_even_if_the_clock_went_back() {
    for (before, now) in [(1_000, 2_000), (2_000, 1_000)] {
        let mut balancer = balancer_with_ejected_target(before);
        balancer.set_targets(ServiceLimits::default(), views(now, START_US));
        assert!(is_eligible(&balancer), "{before} {now}");
        assert_eq!(first_view(&balancer).error_rate(START_US), 0.0);
        assert!(first_view(&balancer).hint(START_US).is_none());
    }
}

#[test]
fn attempts_from_before_a_restart_are_still_counted_down() {
    let mut balancer = balancer_with_ejected_target(1_000);
    balancer.set_targets(ServiceLimits::default(), views(2_000, START_US));
    assert_eq!(first_view(&balancer).in_flight(), 1);
    let index = balancer.targets().iter().position(|view| view.name == "t-0").expect("the target is listed");
    balancer.note_result(index, "t-0", 0, AttemptResult::Cancelled, START_US);
    assert_eq!(first_view(&balancer).in_flight(), 0);
    let request = ChoiceRequest { only: Some("t-0"), ..any_target(START_US) };
    assert!(balancer.choose(&request).is_some());
}

#[test]
fn an_unknown_or_equal_start_time_changes_nothing() {
    for (before, now) in [(0, 2_000), (1_000, 0), (1_000, 1_000)] {
        let mut balancer = balancer_with_ejected_target(before);
        balancer.set_targets(ServiceLimits::default(), views(now, START_US));
        assert!(!is_eligible(&balancer), "{before} {now}");
    }
}
