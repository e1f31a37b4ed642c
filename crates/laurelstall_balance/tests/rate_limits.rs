//! Entry nodes and targets that state rate limits: which targets are left out, and when callers come back.

mod support;

use laurelstall_balance::{
    least_cost::LeastCost, service_balancer::ServiceBalancer, target_view::TargetView,
};
use laurelstall_config::team::ServiceLimits;
use support::choose;

const START_US: u64 = 1_000_000;
const SECOND_US: u64 = 1_000_000;
const TARGETS: usize = 4;

fn balancer() -> ServiceBalancer {
    let limits = ServiceLimits::default();
    let mut balancer = ServiceBalancer::new(limits, Box::new(LeastCost::default()), 7);
    let views = (0..TARGETS).map(|n| TargetView::new(&name(n), &format!("h-{n}"), 12, 100, START_US));
    balancer.set_targets(limits, views.collect());
    balancer
}

fn name(index: usize) -> String {
    format!("t-{index}")
}

#[test]
fn a_target_with_a_limit_is_left_out_until_its_guard_has_room() {
    let mut balancer = balancer();
    balancer.note_rate_limit(0, &name(0), 2.0, START_US);
    balancer.note_no_capacity(0, &name(0), 500, START_US);
    let before_us = START_US + SECOND_US / 4;
    assert!((0..50).all(|_| choose(&mut balancer, before_us) != Some(0)));
    let after_us = START_US + SECOND_US / 2;
    assert!((0..50).any(|_| choose(&mut balancer, after_us) == Some(0)));
}

#[test]
fn a_cold_target_without_a_stated_limit_is_left_out_for_a_short_time_only() {
    let mut balancer = balancer();
    balancer.note_no_capacity(0, &name(0), 500, START_US);
    let after_us = START_US + 70_000;
    assert!((0..50).any(|_| choose(&mut balancer, after_us) == Some(0)));
}

#[test]
fn targets_without_a_limit_take_what_the_others_refuse() {
    let mut balancer = balancer();
    for index in 0..3 {
        balancer.note_rate_limit(index, &name(index), 2.0, START_US);
    }
    assert!(balancer.has_unlimited_alternative(0, &[0], START_US));
    assert!(!balancer.has_unlimited_alternative(0, &[0, 3], START_US));
    balancer.note_no_rate_limit(1, &name(1), START_US + 1);
    assert!(balancer.has_unlimited_alternative(0, &[0, 3], START_US));
}

// Calls went round among cold targets without the budget that keeps an overload from multiplying traffic.
#[test]
fn a_refusal_by_a_cold_target_without_a_stated_limit_is_charged_as_before() {
    let balancer = balancer();
    assert!(!balancer.has_unlimited_alternative(0, &[0], START_US));
}

#[test]
fn an_answer_to_a_call_sent_before_the_statement_does_not_end_the_limit() {
    let mut balancer = balancer();
    balancer.note_rate_limit(0, &name(0), 2.0, START_US);
    balancer.note_no_rate_limit(0, &name(0), START_US - 1);
    assert_eq!(balancer.targets()[0].rate_limit_per_s(), Some(2.0));
}

#[test]
fn callers_refused_while_all_targets_are_limited_come_back_as_fast_as_the_limits_allow() {
    let mut balancer = balancer();
    balancer.set_entries(10);
    for index in 0..TARGETS {
        balancer.note_rate_limit(index, &name(index), 5.0, START_US);
        balancer.note_no_capacity(index, &name(index), 300, START_US);
    }
    let times = (0..20).map(|_| balancer.retry_after_ms(START_US)).collect::<Vec<_>>();
    assert_eq!(times[0], 300, "the first target that has room");
    assert_eq!(times[1], 800, "20 calls per second, of which this entry node has a tenth");
    assert!(times.is_sorted() && times[19] == 5_000, "{times:?}");
}
