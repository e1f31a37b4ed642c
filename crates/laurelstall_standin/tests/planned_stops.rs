//! Planned stops of nodes that still owe answers.

mod support;

use bytes::Bytes;
use futures_util::future::join_all;
use http::{Method, StatusCode};
use laurelstall_standin::{
    call_uri::CALLER_HOST, harness::Harness, harness_plan::HarnessPlan, node_thread::NodeThread,
    target::pattern_byte,
};
use std::{
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};
use support::{Answer, entry, plan, send_request, start};
use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    time::{sleep, timeout},
};

/// Bandwidth of the links in Mbit/s.
const LINK_MBPS: f64 = 14.0;
/// Size of a download, which is read ahead of the link as a whole.
const DOWNLOAD_BYTES: u64 = 240_000;
/// Number of downloads, which take 2.2 s of the link: longer than the nodes work on after they are told to stop.
const DOWNLOADS: usize = 16;

/// Time for which a stopping node works on, as the harness sets it.
const LINGER: Duration = Duration::from_secs(1);
/// Maximum time to wait for an event.
const WAIT_MAX: Duration = Duration::from_secs(20);

/// Starts two hosts. Calls through the first one run at the target of the second one, so that their answers pass a link.
async fn start_hosts(link_mbps: f64) -> Harness {
    let mut plan = plan(2);
    plan.link_mbps = link_mbps;
    plan.services[0].limits.load.link = true;
    let harness = start(plan).await;
    harness.nodes()[0].1.guard.set_operator_drain(true);
    harness
}

/// Stops the node of the second host. Returns whether the stop was graceful, and how long it took.
async fn timed_stop(harness: &Harness) -> (bool, Duration) {
    let node = harness.nodes()[1].1.clone();
    let started = Instant::now();
    (node.stop().await, started.elapsed())
}

async fn download(harness: &Harness) -> Option<Answer> {
    let bytes = DOWNLOAD_BYTES.to_string();
    let headers = [("standin-answer-bytes", bytes.as_str()), ("laurelstall-budget-ms", "10000")];
    send_request(entry(harness, 0), Method::GET, "/market-board/x", &headers, Bytes::new()).await
}

/// Waits until the node's target has run a call, and stops the node.
async fn stop_after_first_run(node: &Arc<NodeThread>) -> bool {
    while node.counters.target_arrivals.load(Ordering::Relaxed) == 0 {
        sleep(Duration::from_millis(1)).await;
    }
    node.stop().await
}

/// Guards against a node that ends while answers of its target wait for the link, although no call runs any more.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_planned_stop_sends_the_answers_that_wait_for_the_link() {
    let harness = start_hosts(LINK_MBPS).await;
    let node = harness.nodes()[1].1.clone();
    let downloads = join_all((0..DOWNLOADS).map(|_| download(&harness)));
    let (answers, is_graceful) = tokio::join!(downloads, stop_after_first_run(&node));
    assert!(is_graceful);
    let expected = (0..DOWNLOAD_BYTES).map(pattern_byte).collect::<Bytes>();
    let is_whole = |answer: &&Option<Answer>| {
        answer.as_ref().is_some_and(|answer| answer.status == StatusCode::OK && answer.body == expected)
    };
    let statuses =
        answers.iter().map(|answer| answer.as_ref().map(|answer| answer.status)).collect::<Vec<_>>();
    assert_eq!(answers.iter().filter(is_whole).count(), DOWNLOADS, "whole answers: {statuses:?}");
}

/// Guards against stops that take a fixed time although no answer is owed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_planned_stop_ends_at_once_when_no_answer_is_owed() {
    let harness = start_hosts(LINK_MBPS).await;
    assert!(download(&harness).await.is_some());
    let (is_graceful, took) = timed_stop(&harness).await;
    println!("a stop without owed answers: {took:?}");
    assert!(is_graceful);
    assert!(took < LINGER + Duration::from_secs(1), "{took:?}");
}

/// Guards against stops that wait until their time limit for nodes that cannot be reached any more.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_planned_stop_does_not_wait_for_lost_nodes() {
    let harness = start_hosts(LINK_MBPS).await;
    assert!(download(&harness).await.is_some());
    let data_centre = harness.plan.data_centres[0].clone();
    harness.partitions.set_partitioned(&data_centre, true);
    let (is_graceful, took) = timed_stop(&harness).await;
    println!("a stop beside a lost node: {took:?}");
    assert!(is_graceful);
    assert!(took < LINGER + Duration::from_secs(3), "{took:?}");
}

/// Guards against stops that never end because a caller does not read its answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_that_reads_nothing_delays_a_stop_to_its_time_limit_at_most() {
    const STOP_MAX: Duration = Duration::from_secs(3);
    let mut plan = plan(1);
    plan.stop_max_ms = STOP_MAX.as_millis() as u64;
    let harness = start(plan).await;
    let node = harness.nodes()[0].1.clone();
    let mut caller = TcpStream::connect(entry(&harness, 0)).await.expect("the node listens");
    let request = format!(
        "GET /market-board/x HTTP/1.1\r\nhost: {CALLER_HOST}\r\nstandin-answer-bytes: 50000000\r\n\r\n"
    );
    caller.write_all(request.as_bytes()).await.expect("the node reads");
    while node.counters.target_arrivals.load(Ordering::Relaxed) == 0 {
        sleep(Duration::from_millis(1)).await;
    }
    let started = Instant::now();
    let is_graceful = node.stop().await;
    let took = started.elapsed();
    println!("a stop beside a caller that reads nothing: {took:?}");
    assert!(!is_graceful, "the answer was cut off");
    assert!(took < STOP_MAX + Duration::from_secs(1), "{took:?}");
}

/// Guards against other nodes that are cut off at the time limit because one caller holds up the stop. The caller opens an
/// HTTP/2 connection and answers nothing on it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_silent_caller_does_not_keep_connections_of_other_nodes_open() {
    const SILENT_HTTP2_CALLER: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0";
    let mut plan = plan(2);
    plan.stop_max_ms = 6_000;
    let harness = start(plan).await;
    harness.nodes()[0].1.guard.set_operator_drain(true);
    assert!(download(&harness).await.is_some());
    let mut caller = TcpStream::connect(entry(&harness, 1)).await.expect("the node listens");
    caller.write_all(SILENT_HTTP2_CALLER).await.expect("the node reads");
    let node = harness.nodes()[1].1.clone();
    let other = harness.nodes()[0].1.clone();
    let open = || other.meter().open.load(Ordering::Relaxed);
    let stop = tokio::spawn(async move { node.stop().await });
    sleep(LINGER + Duration::from_millis(2_500)).await;
    assert!(!stop.is_finished(), "the caller holds up the stop");
    // The stopping node has closed the connection from the other node; its own one may be open.
    assert!(open() <= 1, "{} open connections", open());
    stop.await.expect("no panic");
}

/// Guards against runs that fail because the stopping node beside their target takes none of the calls that they make.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_run_beside_a_stopping_node_can_make_its_calls() {
    let mut plan = HarnessPlan::deployment("faltgard", 1, 20.0).expect("the deployment is known");
    plan.services[0].targets = 2;
    let harness = start(plan).await;
    harness.nodes()[0].1.guard.set_operator_drain(true);
    let set_speed = |speed: f64| {
        harness
            .targets
            .all()
            .iter()
            .for_each(|target| target.update_behaviour(|change| change.speed = speed));
    };
    set_speed(0.0);
    let entry = entry(&harness, 0);
    let call = tokio::spawn(async move {
        let headers = [("standin-chain", "market-board"), ("laurelstall-budget-ms", "10000")];
        send_request(entry, Method::GET, "/market-board/x", &headers, Bytes::new()).await
    });
    sleep(Duration::from_millis(300)).await;
    let node = harness.nodes()[1].1.clone();
    let stop = tokio::spawn(async move { node.stop().await });
    // The nested call runs at the target of the first host.
    sleep(LINGER + Duration::from_millis(500)).await;
    harness.nodes()[0].1.guard.set_operator_drain(false);
    sleep(Duration::from_millis(1_500)).await;
    set_speed(1.0);
    let answer = timeout(WAIT_MAX, call).await.expect("an answer in time").expect("no panic");
    let answer = answer.expect("a complete answer");
    assert_eq!(answer.status, StatusCode::OK, "{:?}", answer.body);
    assert!(timeout(WAIT_MAX, stop).await.expect("the stop ends").expect("no panic"), "a graceful stop");
}

/// Guards against calls that a stopping node accepts late, while a run at its target ends, and cuts off at its time limit although
/// their targets work on them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stopping_node_refuses_calls_that_it_would_cut_off() {
    let mut plan = HarnessPlan::deployment("faltgard", 1, 20.0).expect("the deployment is known");
    plan.services[0].targets = 2;
    // The time budget of the route is 5 s.
    plan.stop_max_ms = 4_000;
    let harness = start(plan).await;
    let targets = harness.targets.all();
    targets.iter().for_each(|target| target.update_behaviour(|change| change.speed = 0.0));
    let entry = entry(&harness, 1);
    let call = move |budget_ms: &'static str| async move {
        let headers = [("laurelstall-budget-ms", budget_ms)];
        send_request(entry, Method::POST, "/market-board/x", &headers, Bytes::new()).await
    };
    // A run at the target beside the node keeps its entry open.
    harness.nodes()[0].1.guard.set_operator_drain(true);
    let early = tokio::spawn(call("5000"));
    let node = harness.nodes()[1].1.clone();
    while node.guard.guard().load().in_flight == 0 {
        sleep(Duration::from_millis(1)).await;
    }
    let stop = tokio::spawn(async move { node.stop().await });
    harness.nodes()[0].1.guard.set_operator_drain(false);
    sleep(LINGER + Duration::from_millis(500)).await;
    let (late, short) = tokio::join!(call("5000"), call("300"));
    let late = late.expect("a call that the stop would cut off is refused");
    assert_eq!(late.status, StatusCode::SERVICE_UNAVAILABLE, "{:?}", late.body);
    assert_eq!(late.body, "not-run: the node is stopping\n");
    let short = short.expect("a call that ends in time is answered");
    assert_ne!(short.body, late.body, "it is not refused");
    assert!(
        !timeout(WAIT_MAX, stop).await.expect("the stop ends").expect("no panic"),
        "the early call is cut off"
    );
    early.abort();
}

/// Guards against calls that enter before the linger time is over, outlast the stop and end with a closed connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_call_that_outlasts_a_stop_gets_an_answer_before_its_end() {
    let mut plan = HarnessPlan::deployment("faltgard", 1, 20.0).expect("the deployment is known");
    plan.services[0].targets = 2;
    // The time budget of the route is 5 s.
    plan.stop_max_ms = 3_000;
    let harness = start(plan).await;
    let targets = harness.targets.all();
    targets.iter().for_each(|target| target.update_behaviour(|change| change.speed = 0.0));
    let entry = entry(&harness, 1);
    let node = harness.nodes()[1].1.clone();
    let stop = tokio::spawn(async move { node.stop().await });
    // Both targets get one; the others wait in queues.
    let calls = (0..40).map(|_| async move {
        let headers = [("laurelstall-budget-ms", "5000")];
        send_request(entry, Method::POST, "/market-board/x", &headers, Bytes::new()).await
    });
    for answer in join_all(calls).await {
        let answer = answer.expect("a complete answer");
        let status = answer.status;
        assert!(
            matches!(status, StatusCode::GATEWAY_TIMEOUT | StatusCode::SERVICE_UNAVAILABLE),
            "{status} {:?}",
            answer.body
        );
    }
    let is_graceful = timeout(WAIT_MAX, stop).await.expect("the stop ends").expect("no panic");
    assert!(is_graceful, "the end of the stop cuts calls off");
}
