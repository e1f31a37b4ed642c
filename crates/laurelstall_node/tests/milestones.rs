//! The steps of a start are written down once each.

use laurelstall_node::milestones::{Milestone, Milestones};

#[test]
fn each_step_is_told_once() {
    let milestones = Milestones::default();
    assert!(milestones.note(Milestone::FirstCall, 5_000));
    assert!(!milestones.note(Milestone::FirstCall, 6_000));
    assert!(milestones.note(Milestone::FirstAnswer, 7_000));
    assert!(!milestones.note(Milestone::FirstAnswer, 8_000));
}
