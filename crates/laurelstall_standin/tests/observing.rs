//! Compares the actual cost of observation on real connections with the charge to its budget.

mod support;

use laurelstall_node::observer::PROBE_BYTES;
use laurelstall_peer::{
    message::{PeerAnswer, PeerRequest},
    meter::Meter,
};
use std::sync::atomic::Ordering;
use support::{plan, start};

const PROBES: u64 = 200;
/// Size of a packet's IP and TCP headers with common options.
const PACKET_HEADER_BYTES: u64 = 52;

fn bytes(meter: &Meter) -> u64 {
    meter.received_bytes.load(Ordering::Relaxed) + meter.sent_bytes.load(Ordering::Relaxed)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_probe_costs_at_most_its_charge() {
    let mut plan = plan(2);
    plan.observe.bytes_per_s = 10_000_000;
    plan.observe.probes_per_s = 10_000;
    let harness = start(plan).await;
    let nodes = harness.nodes();
    let client = nodes[0].1.entry.context.client.clone();
    let (address, meter) = (nodes[1].1.peer_address, nodes[0].1.meter().clone());
    client.request(address, &PeerRequest::Probe).await.expect("an answer");
    let before = bytes(&meter);
    let mut answered = 0;
    for _ in 0..PROBES {
        let answer = client.request(address, &PeerRequest::Probe).await.expect("an answer");
        answered += u64::from(matches!(answer, PeerAnswer::Probed(Some(_))));
    }
    let spent = bytes(&meter) - before;
    assert!(answered > 0);
    let each = spent / PROBES + 2 * PACKET_HEADER_BYTES;
    assert!(each <= PROBE_BYTES, "{each} bytes a probe, charged {PROBE_BYTES}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn without_a_budget_no_bytes_are_spent_and_calls_are_answered() {
    let mut plan = plan(2);
    plan.observe.bytes_per_s = 0;
    plan.observe.probes_per_s = 0;
    let harness = start(plan).await;
    for call in 0..50 {
        let entry = support::entry(&harness, call % 2);
        let answer =
            support::send_request(entry, http::Method::GET, "/market-board/x", &[], bytes::Bytes::new())
                .await;
        assert_eq!(answer.expect("an answer").status, 200);
    }
    for (name, node) in harness.nodes() {
        assert_eq!(node.entry.context.observer.usage().bytes, 0, "{name}");
    }
}
