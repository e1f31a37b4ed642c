//! Targets that stated that they are leaving get no new calls, whatever lists of targets follow.

mod support;

use laurelstall_balance::{
    least_cost::LeastCost, leaving_targets::LeavingTargets, service_balancer::ServiceBalancer,
    target_view::TargetView,
};
use laurelstall_config::team::ServiceLimits;
use support::choose;

const START_US: u64 = 1_000_000;

#[test]
fn a_statement_holds_for_the_instance_and_not_for_its_successor() {
    let mut leaving = LeavingTargets::default();
    assert!(leaving.insert("t-0", 1_000));
    assert!(!leaving.insert("t-0", 1_000), "it is known");
    assert!(leaving.contains("t-0", 1_000));
    assert!(leaving.contains("t-0", 0), "the list does not say when the target started");
    assert!(!leaving.contains("t-0", 2_000), "another start under the same name");
    assert!(!leaving.contains("t-1", 1_000));
}

#[test]
fn the_oldest_statements_are_forgotten_first() {
    let mut leaving = LeavingTargets::default();
    for number in 0..5_000 {
        leaving.insert(&format!("t-{number}"), 0);
    }
    assert!(!leaving.contains("t-0", 0) && leaving.contains("t-1000", 0) && leaving.contains("t-4999", 0));
}

fn views() -> Vec<TargetView> {
    (0..2).map(|n| TargetView::new(&format!("t-{n}"), &format!("h-{n}"), 12, 100, START_US)).collect()
}

#[test]
fn a_leaving_target_is_not_chosen_and_gives_no_retry_time() {
    let limits = ServiceLimits::default();
    let mut balancer = ServiceBalancer::new(limits, Box::new(LeastCost::default()), 7);
    balancer.set_targets(limits, views());
    balancer.note_leaving("t-0");
    assert!((0..50).all(|_| choose(&mut balancer, START_US) == Some(1)));
    balancer.note_absent(1, "t-1", 700, START_US);
    assert_eq!(choose(&mut balancer, START_US), None);
    assert_eq!(balancer.retry_after_ms(START_US), 700, "when the other target may be called again");
}
