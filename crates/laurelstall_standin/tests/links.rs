//! Bodies between hosts whose nodes know the bandwidth of their links.

mod support;

use bytes::Bytes;
use futures_util::future::join_all;
use http::{Method, Request, StatusCode};
use http_body_util::BodyExt;
use laurelstall_node::{body::empty_body, caller_link::responder_of, responder::Responder};
use laurelstall_standin::{call_uri::CALLER_HOST, harness::Harness, target::pattern_byte};
use serde_json::Value;
use std::{
    pin::pin,
    sync::Arc,
    time::{Duration, Instant},
};
use support::{Answer, entry, plan, send_request, start};
use tokio::time::timeout;

/// Bandwidth of the links in Mbit/s.
const LINK_MBPS: f64 = 14.0;
const DOWNLOAD_BYTES: u64 = 90_000;

async fn start_with_link(link_mbps: f64, is_on: bool) -> Harness {
    let mut plan = plan(2);
    plan.link_mbps = link_mbps;
    plan.services[0].limits.load.link = is_on;
    // Only the second host has a target for calls through the first one, so that each call passes a link.
    let harness = start(plan).await;
    let host = harness.host_name(1).expect("a first host");
    let node = harness.node(&host).expect("a running node");
    node.guard.set_operator_drain(true);
    harness
}

/// Returns the bytes that all nodes have read but not yet sent.
fn held_bytes(harness: &Harness) -> u64 {
    let nodes = harness.nodes();
    nodes.iter().map(|(_, node)| node.guard.link().map_or(0, |link| link.held_bytes())).sum()
}

async fn download(harness: &Harness, headers: &[(&str, &str)]) -> Answer {
    let bytes = DOWNLOAD_BYTES.to_string();
    let mut headers = headers.to_vec();
    headers.push(("standin-answer-bytes", &bytes));
    let answer =
        send_request(entry(harness, 0), Method::GET, "/market-board/x", &headers, Bytes::new()).await;
    answer.expect("a complete answer")
}

/// Guards against changed bytes in either direction, and against bodies that are not counted.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn uploads_and_downloads_pass_unchanged_at_the_rate_of_the_link() {
    let harness = start_with_link(LINK_MBPS, true).await;
    let body = (0..200_000).map(pattern_byte).collect::<Bytes>();
    for method in [Method::POST, Method::GET] {
        let started = Instant::now();
        let sent = send_request(entry(&harness, 0), method, "/market-board/x", &[], body.clone()).await;
        let answer = sent.expect("a complete answer");
        assert_eq!((answer.status, answer.body), (StatusCode::OK, body.clone()));
        // The upload and its echo take 114 ms each, and overlap when the body is streamed.
        assert!(started.elapsed() >= Duration::from_millis(114), "{:?}", started.elapsed());
    }
    let answer = download(&harness, &[]).await;
    assert_eq!(answer.body, (0..DOWNLOAD_BYTES).map(pattern_byte).collect::<Bytes>());
    assert!(harness.counter_total("link_bytes") >= 4 * 200_000 + DOWNLOAD_BYTES);
}

/// Guards against streams that stop, lose bytes or are held in memory as a whole. On a fast link, pieces are larger.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn long_streams_pass_a_fast_link_unchanged() {
    const STREAM_BYTES: u64 = 20_000_000;
    let harness = start_with_link(1_000.0, true).await;
    let body = (0..STREAM_BYTES).map(pattern_byte).collect::<Bytes>();
    let headers = [("laurelstall-budget-ms", "60000")];
    let sending = send_request(entry(&harness, 0), Method::POST, "/market-board/x", &headers, body.clone());
    let mut sending = pin!(sending);
    let mut most_held_bytes = 0;
    let answer = loop {
        match timeout(Duration::from_millis(5), &mut sending).await {
            Ok(answer) => break answer.expect("a complete answer"),
            Err(_) => most_held_bytes = most_held_bytes.max(held_bytes(&harness)),
        }
    };
    assert_eq!(answer.status, StatusCode::OK);
    assert!(most_held_bytes < 2_000_000, "{most_held_bytes} bytes held");
    assert!(answer.body == body, "changed bytes");
}

/// Guards against downloads that take slots although the link cannot send them in time, and against late refusals.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn downloads_beyond_the_link_are_refused_early_with_a_retry_time() {
    let harness = start_with_link(LINK_MBPS, true).await;
    for _ in 0..5 {
        assert_eq!(download(&harness, &[]).await.status, StatusCode::OK);
    }
    let budget = [("laurelstall-budget-ms", "1000")];
    let call = || async {
        let started = Instant::now();
        (download(&harness, &budget).await, started.elapsed())
    };
    // 40 downloads need 2.2 s of the link.
    let answers = join_all((0..40).map(|_| call())).await;
    let (answered, refused) =
        answers.iter().partition::<Vec<_>, _>(|(answer, _)| answer.status == StatusCode::OK);
    assert!(answered.len() >= 15, "{} answered", answered.len());
    assert!(refused.len() >= 20, "{} refused", refused.len());
    for (answer, took) in &answered {
        assert_eq!(answer.body.len() as u64, DOWNLOAD_BYTES);
        assert!(*took < Duration::from_millis(1_100), "{took:?}");
    }
    for (answer, took) in &refused {
        assert_eq!(answer.header("laurelstall-reason"), "busy");
        assert!(answer.header("laurelstall-retry-after-ms").parse::<u64>().is_ok_and(|ms| ms > 0));
        assert!(*took < Duration::from_millis(250), "{took:?}");
    }
    assert!(harness.counter_total("link_refusals") >= refused.len() as u64);
}

/// Guards against uploads that wait for the link until their slot or their deadline is lost. Calls that must not be repeated
/// send their body after a slot is reserved for them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn uploads_beyond_the_link_are_refused_early() {
    let harness = start_with_link(LINK_MBPS, true).await;
    let body = (0..60_000).map(pattern_byte).collect::<Bytes>();
    let call = || async {
        let started = Instant::now();
        let headers = [("laurelstall-budget-ms", "1000")];
        let sent =
            send_request(entry(&harness, 0), Method::POST, "/market-board/x", &headers, body.clone()).await;
        (sent.expect("a complete answer"), started.elapsed())
    };
    assert_eq!(call().await.0.status, StatusCode::OK);
    // 60 uploads need 2.2 s of the link.
    let answers = join_all((0..60).map(|_| call())).await;
    let (answered, refused) =
        answers.iter().partition::<Vec<_>, _>(|(answer, _)| answer.status == StatusCode::OK);
    assert!(answered.len() >= 10, "{} answered", answered.len());
    assert!(answered.iter().all(|(answer, _)| answer.body == body));
    for (answer, took) in &refused {
        assert_eq!(answer.header("laurelstall-reason"), "busy");
        assert!(*took < Duration::from_millis(250), "{took:?}");
    }
}

/// Guards against effects of the bandwidth while the service does not use it, and of the service without a bandwidth.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn without_bandwidth_or_switch_nothing_is_paced_or_counted() {
    for (link_mbps, is_on) in [(0.1, false), (0.0, true)] {
        let harness = start_with_link(link_mbps, is_on).await;
        assert_eq!(download(&harness, &[]).await.status, StatusCode::OK);
        assert_eq!(harness.counter_total("link_bytes"), 0);
    }
}

/// Guards against a status that hides the bandwidth from operators.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_status_shows_the_bandwidth() {
    for (link_mbps, shown) in [(LINK_MBPS, Value::from(LINK_MBPS)), (0.0, Value::Null)] {
        let harness = start_with_link(link_mbps, true).await;
        let admin = harness.nodes()[0].1.admin_address;
        let status = send_request(admin, Method::GET, "/v1/status", &[], Bytes::new()).await;
        let status = serde_json::from_slice::<Value>(&status.expect("an answer").body).expect("JSON");
        assert_eq!(status["link_mbps"], shown);
    }
}

/// Guards against answers to callers behind the link that are sent without regard to it, and against counted answers to
/// callers on the same host.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn only_answers_to_callers_on_other_hosts_are_paced() {
    let harness = start_with_link(LINK_MBPS, true).await;
    let entry: Arc<dyn Responder> = harness.nodes()[1].1.entry.clone();
    let own = "10.0.0.1:80".parse().expect("an address");
    for (caller, is_remote) in [("10.0.0.1:9000", false), ("10.0.0.2:9000", true)] {
        let responder = responder_of(&entry, caller.parse().expect("an address"), Some(own));
        let request = Request::get("/market-board/x")
            .header("host", CALLER_HOST)
            .header("standin-answer-bytes", DOWNLOAD_BYTES)
            .body(empty_body())
            .expect("the request is valid");
        let response = responder.respond(request).await;
        assert_eq!(response.status(), StatusCode::OK);
        let body = response.into_body().collect().await.expect("a complete body").to_bytes();
        assert_eq!(body, (0..DOWNLOAD_BYTES).map(pattern_byte).collect::<Bytes>());
        assert_eq!(harness.counter_total("link_bytes") >= DOWNLOAD_BYTES, is_remote, "caller {caller}");
    }
}
