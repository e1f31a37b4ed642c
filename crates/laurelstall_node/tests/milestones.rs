//! Tests that each milestone of a start is logged once.

use laurelstall_node::milestones::{Milestone, Milestones};

#[test]
fn each_milestone_is_recorded_once() {
    let milestones = Milestones::default();
    assert!(milestones.record(Milestone::FirstCall, 5_000));
    assert!(!milestones.record(Milestone::FirstCall, 6_000));
    assert!(milestones.record(Milestone::FirstAnswer, 7_000));
    assert!(!milestones.record(Milestone::FirstAnswer, 8_000));
}
