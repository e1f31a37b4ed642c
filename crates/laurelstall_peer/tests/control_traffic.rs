//! Control messages are counted by kind, and their sum is the total.
//!
//! Without the kinds, an excess of messages of one kind cannot be told from the others.

use laurelstall_peer::{control_kind::ControlKind, message::PeerRequest, meter::Meter};
use std::sync::atomic::Ordering;

#[test]
fn each_kind_has_its_own_place_and_names() {
    for (index, kind) in ControlKind::ALL.into_iter().enumerate() {
        assert_eq!(kind.index(), index, "{kind:?}");
    }
    let names = ControlKind::ALL.map(ControlKind::gauge_names);
    for (index, (bytes, messages)) in names.into_iter().enumerate() {
        assert!(bytes.ends_with("_bytes") && messages.ends_with("_messages"));
        assert!(!names[..index].contains(&(bytes, messages)), "{bytes} is used twice");
    }
}

#[test]
fn a_message_counts_for_its_kind_and_in_the_total() {
    let meter = Meter::default();
    meter.note_control(ControlKind::of(&PeerRequest::CrashReports(Vec::new())), 10);
    meter.note_control(ControlKind::of(&PeerRequest::CompareCrashes(Vec::new())), 20);
    meter.note_control(ControlKind::of(&PeerRequest::Probe), 30);
    let messages = |kind: ControlKind| meter.by_kind[kind.index()].messages.load(Ordering::Relaxed);
    for kind in [ControlKind::CrashReports, ControlKind::CrashComparison, ControlKind::Probe] {
        assert_eq!(messages(kind), 1, "{kind:?}");
    }
    assert_eq!(messages(ControlKind::Exchange), 0);
    let bytes = meter.by_kind.iter().map(|traffic| traffic.bytes.load(Ordering::Relaxed)).sum::<u64>();
    assert_eq!(bytes, meter.control_bytes.load(Ordering::Relaxed));
}
