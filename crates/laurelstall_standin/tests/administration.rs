//! Tests of the administration API on a running deployment.

mod support;

use bytes::Bytes;
use http::{Method, StatusCode};
use laurelstall_config::settings::{Role, TokenSettings};
use laurelstall_crash::{crash_table::RequestStatus, request_digest::RequestDigest};
use serde_json::Value;
use support::{Answer, entry, plan, send_request, start};

const READ: &str = "Bearer read-secret-0123456789";
const OPERATE: &str = "Bearer operate-secret-0123456789";
const OTHER_TEAM: &str = "Bearer other-team-secret-0123456789";

fn tokens() -> Vec<TokenSettings> {
    let token = |team: &str, role, bearer: &str| TokenSettings {
        team: team.to_owned(),
        role,
        secret: bearer.trim_start_matches("Bearer ").to_owned(),
    };
    vec![
        token("", Role::Read, READ),
        token("standin", Role::Operate, OPERATE),
        token("other", Role::Operate, OTHER_TEAM),
    ]
}

fn json(answer: &Answer) -> Value {
    serde_json::from_slice(&answer.body).expect("JSON")
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn loopback_without_tokens_allows_reads_and_forbids_changes() {
    let harness = start(plan(2)).await;
    let answer = send_request(entry(&harness, 0), Method::GET, "/market-board/x", &[], Bytes::new()).await;
    assert_eq!(answer.expect("an answer").status, StatusCode::OK);
    let admin = harness.nodes()[0].1.admin_address;
    for path in ["health", "ready", "status", "targets", "members", "config", "decisions", "held"] {
        let answer = send_request(admin, Method::GET, &format!("/v1/{path}"), &[], Bytes::new())
            .await
            .expect("an answer");
        assert_eq!(answer.status, StatusCode::OK, "{path}");
        json(&answer);
    }
    let targets =
        json(&send_request(admin, Method::GET, "/v1/targets", &[], Bytes::new()).await.expect("an answer"));
    assert_eq!(targets.as_array().map(Vec::len), Some(2));
    let config =
        json(&send_request(admin, Method::GET, "/v1/config", &[], Bytes::new()).await.expect("an answer"));
    assert_eq!((&config["platform_era"], &config["platform_returns"]), (&0.into(), &0.into()));
    let status =
        json(&send_request(admin, Method::GET, "/v1/status", &[], Bytes::new()).await.expect("an answer"));
    assert_eq!(status["counters"]["calls"], 1);
    let drained = send_request(admin, Method::POST, "/v1/drain", &[], Bytes::new()).await.expect("an answer");
    assert_eq!(drained.status, StatusCode::FORBIDDEN);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tokens_restrict_reads_and_changes() {
    let mut plan = plan(2);
    plan.tokens = tokens();
    let harness = start(plan).await;
    let admin = harness.nodes()[0].1.admin_address;
    let status = async |method: Method, path: &str, token: &str| {
        let headers = [("authorization", token)];
        let headers = if token.is_empty() { &headers[..0] } else { &headers[..] };
        send_request(admin, method, path, headers, Bytes::new()).await.expect("an answer").status
    };
    assert_eq!(status(Method::GET, "/v1/ready", "").await, StatusCode::OK);
    assert_eq!(status(Method::GET, "/v1/status", "").await, StatusCode::UNAUTHORIZED);
    assert_eq!(status(Method::GET, "/v1/status", "Bearer wrong").await, StatusCode::UNAUTHORIZED);
    assert_eq!(status(Method::GET, "/v1/status", READ).await, StatusCode::OK);
    assert_eq!(status(Method::POST, "/v1/drain", READ).await, StatusCode::FORBIDDEN);
    assert_eq!(status(Method::POST, "/v1/drain", OTHER_TEAM).await, StatusCode::FORBIDDEN);
    assert_eq!(status(Method::POST, "/v1/drain", OPERATE).await, StatusCode::OK);
    assert!(harness.nodes()[0].1.guard.guard().is_draining());
    for number in 0..2 {
        let answer =
            send_request(entry(&harness, number), Method::GET, "/market-board/x", &[], Bytes::new()).await;
        assert_eq!(answer.expect("an answer").status, StatusCode::OK);
    }
    assert_eq!(harness.targets.get("market-board-1").expect("it runs").requests_received(), 0);
    assert_eq!(status(Method::POST, "/v1/undrain", OPERATE).await, StatusCode::OK);
    assert!(!harness.nodes()[0].1.guard.guard().is_draining());
    let headers = [("authorization", OTHER_TEAM)];
    let targets =
        send_request(admin, Method::GET, "/v1/targets", &headers, Bytes::new()).await.expect("an answer");
    assert_eq!(json(&targets).as_array().map(Vec::len), Some(0));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_document_is_checked_without_being_published() {
    let harness = start(plan(1)).await;
    let admin = harness.nodes()[0].1.admin_address;
    let check = async |text: &str| {
        let body = serde_json::json!({ "key": "system", "text": text }).to_string();
        json(&send_request(admin, Method::POST, "/v1/check", &[], body.into()).await.expect("an answer"))
    };
    assert_eq!(check("").await["is_right"], true);
    let wrong = check("[spread]\npartners = 99\nexchange_interval_ms = 1\n").await;
    assert_eq!(wrong["problems"].as_array().map(Vec::len), Some(2));
    let answer = send_request(admin, Method::POST, "/v1/check", &[], Bytes::from_static(b"{"))
        .await
        .expect("an answer");
    assert_eq!(answer.status, StatusCode::BAD_REQUEST);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_quarantined_request_is_listed_and_released_on_all_nodes() {
    let mut plan = plan(2);
    plan.tokens = tokens();
    let harness = start(plan).await;
    let digest = RequestDigest { whole: 0xab, head: 1 };
    let crashes = |node: usize| harness.nodes()[node].1.replicator.crashes().clone();
    for end in 1..=2 {
        crashes(0).note_crash(end, "standin/market-board", &[digest]);
    }
    let admin = harness.nodes()[0].1.admin_address;
    let held = async |token: &str| {
        let headers = [("authorization", token)];
        json(&send_request(admin, Method::GET, "/v1/held", &headers, Bytes::new()).await.expect("an answer"))
    };
    let rows = held(READ).await;
    assert_eq!(rows[0]["digest"], "00000000000000ab");
    assert_eq!(rows[0]["state"], "held");
    assert_eq!(rows[0]["ends"], 2);
    assert_eq!(held(OTHER_TEAM).await.as_array().map(Vec::len), Some(0));
    let release = async |token: &str, digest: &str| {
        let body = serde_json::json!({ "digest": digest }).to_string();
        let headers = [("authorization", token)];
        send_request(admin, Method::POST, "/v1/release", &headers, body.into())
            .await
            .expect("an answer")
            .status
    };
    assert_eq!(release(READ, "00000000000000ab").await, StatusCode::FORBIDDEN);
    assert_eq!(release(OTHER_TEAM, "00000000000000ab").await, StatusCode::NOT_FOUND);
    assert_eq!(release(OPERATE, "ab").await, StatusCode::NOT_FOUND);
    assert_eq!(release(OPERATE, "00000000000000ab").await, StatusCode::OK);
    for node in 0..2 {
        while crashes(node).request_status(digest) != RequestStatus::Harmless {
            tokio::time::sleep(tokio::time::Duration::from_millis(10)).await;
        }
    }
}
