//! End-to-end calls through real nodes to stand-in targets over the loopback interface.

mod support;

use bytes::Bytes;
use http::{Method, StatusCode};
use laurelstall_config::{
    document::{DocumentName, Version},
    fleet::HostState,
};
use laurelstall_standin::{
    harness::{Harness, TEAM},
    node_thread::NodeThread,
};
use support::{entry, plan, send_request, start};
use tokio::time::{Duration, sleep, timeout};

/// Longest wait for an expected event.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn small_bodies_of_all_sizes_are_echoed_intact() {
    let harness = start(plan(3)).await;
    for bytes in [0, 1, 65_536, 65_537, 300_000] {
        let body = Bytes::from((0..bytes).map(|n| (n % 249) as u8).collect::<Vec<_>>());
        for number in 0..3 {
            let path = "/market-board/x";
            let answer = send_request(
                entry(&harness, number),
                Method::POST,
                path,
                &[("standin-key", "k")],
                body.clone(),
            )
            .await;
            let answer = answer.expect("an answer");
            assert_eq!((answer.status, answer.header("laurelstall-outcome")), (StatusCode::OK, "answered"));
            assert_eq!(answer.body, body);
            assert_eq!(answer.header("laurelstall-call").len(), 16);
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn hundreds_of_calls_with_empty_bodies_pass_over_one_connection() {
    let harness = start(plan(2)).await;
    let address = entry(&harness, 0);
    for call in 0..400 {
        let method = if call % 2 == 0 { Method::GET } else { Method::POST };
        let answer =
            send_request(address, method, "/market-board/x", &[("standin-key", "k")], Bytes::new()).await;
        let answer = answer.expect("an answer");
        assert_eq!(
            (answer.status, answer.header("laurelstall-outcome")),
            (StatusCode::OK, "answered"),
            "call {call}"
        );
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_truncated_answer_never_looks_complete() {
    let harness = start(plan(2)).await;
    for target in harness.targets.all() {
        target.update_behaviour(|behaviour| behaviour.is_cutting_answers = true);
    }
    for number in 0..2 {
        let headers = [("standin-answer-bytes", "200000"), ("standin-key", "k")];
        let answer =
            send_request(entry(&harness, number), Method::GET, "/market-board/x", &headers, Bytes::new())
                .await;
        // Either the body is aborted, or the node notices before it forwards the head and answers *unknown*.
        assert!(answer.is_none_or(|answer| answer.header("laurelstall-outcome") == "unknown"));
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_shed_call_is_retried_on_another_target_and_runs_once() {
    let harness = start(plan(2)).await;
    harness
        .targets
        .get("market-board-1")
        .expect("it runs")
        .update_behaviour(|behaviour| behaviour.is_shedding = true);
    for call in 0..20 {
        let key = format!("k-{call}");
        let headers = [("standin-key", key.as_str())];
        let answer =
            send_request(entry(&harness, call % 2), Method::POST, "/market-board/x", &headers, Bytes::new())
                .await;
        assert_eq!(answer.expect("an answer").status, StatusCode::OK);
        assert_eq!(harness.records.runs(&key), 1);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_call_that_no_target_accepts_is_not_run_with_retry_after() {
    let harness = start(plan(2)).await;
    for target in harness.targets.all() {
        target.update_behaviour(|behaviour| behaviour.is_shedding = true);
    }
    let headers = [("standin-key", "k")];
    let answer =
        send_request(entry(&harness, 0), Method::POST, "/market-board/x", &headers, Bytes::new()).await;
    let answer = answer.expect("an answer");
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(answer.header("laurelstall-outcome"), "not-run");
    assert!(!answer.header("retry-after").is_empty());
    assert_eq!(harness.records.runs("k"), 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_call_on_a_paused_target_is_unknown_and_not_retried() {
    let harness = start(plan(2)).await;
    for target in harness.targets.all() {
        target.update_behaviour(|behaviour| behaviour.speed = 0.0);
    }
    let headers = [("standin-key", "k"), ("laurelstall-budget-ms", "300")];
    let answer =
        send_request(entry(&harness, 0), Method::POST, "/market-board/x", &headers, Bytes::new()).await;
    let answer = answer.expect("an answer");
    assert_eq!(answer.status, StatusCode::GATEWAY_TIMEOUT);
    assert_eq!(answer.header("laurelstall-outcome"), "unknown");
    assert_eq!(harness.records.runs("k"), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_that_cannot_be_routed_get_an_explicit_error() {
    let harness = start(plan(1)).await;
    let address = entry(&harness, 0);
    let status = async |path: &str, headers: &[(&str, &str)]| {
        let answer =
            send_request(address, Method::GET, path, headers, Bytes::new()).await.expect("an answer");
        assert_eq!(answer.header("laurelstall-outcome"), "not-run");
        answer.status
    };
    assert_eq!(status("/no-such-service/x", &[]).await, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(status("/market-board/x", &[("laurelstall-depth", "16")]).await, StatusCode::LOOP_DETECTED);
    assert_eq!(
        status("/market-board/x", &[("laurelstall-budget-ms", "soon")]).await,
        StatusCode::BAD_REQUEST
    );
    assert_eq!(
        status("/market-board/x", &[("laurelstall-ticket", "nonsense")]).await,
        StatusCode::BAD_REQUEST
    );
    assert_eq!(status("/", &[]).await, StatusCode::SERVICE_UNAVAILABLE);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_repeated_ticket_runs_once_and_gets_the_kept_answer() {
    let harness = start(plan(3)).await;
    let path = "/laurelstall/tickets?service=market-board&count=3";
    let answer =
        send_request(entry(&harness, 0), Method::POST, path, &[], Bytes::new()).await.expect("an answer");
    assert_eq!(answer.status, StatusCode::OK);
    let tickets: serde_json::Value = serde_json::from_slice(&answer.body).expect("JSON");
    let ticket = tickets["tickets"][0].as_str().expect("a ticket").to_owned();
    assert_eq!(tickets["tickets"].as_array().map(Vec::len), Some(3));
    let body = Bytes::from_static(b"sell the wheat");
    for call in 0..6 {
        let headers = [("standin-key", "sale"), ("laurelstall-ticket", ticket.as_str())];
        let answer =
            send_request(entry(&harness, call % 3), Method::POST, "/market-board/x", &headers, body.clone())
                .await;
        let answer = answer.expect("an answer");
        assert_eq!((answer.status, &answer.body), (StatusCode::OK, &body));
    }
    assert_eq!(harness.records.runs("sale"), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn repeats_of_a_ticket_at_the_same_instant_run_once() {
    let harness = start(plan(2)).await;
    let path = "/laurelstall/tickets?service=market-board&count=1";
    let answer =
        send_request(entry(&harness, 0), Method::POST, path, &[], Bytes::new()).await.expect("an answer");
    let tickets: serde_json::Value = serde_json::from_slice(&answer.body).expect("JSON");
    let ticket = tickets["tickets"][0].as_str().expect("a ticket").to_owned();
    let headers = [("standin-key", "sale"), ("laurelstall-ticket", ticket.as_str())];
    let calls = (0..8).map(|call| {
        send_request(
            entry(&harness, call % 2),
            Method::POST,
            "/market-board/x",
            &headers,
            Bytes::from_static(b"b"),
        )
    });
    let answers = futures_util::future::join_all(calls).await;
    assert!(
        answers.iter().all(|answer| answer.as_ref().is_some_and(|answer| answer.status == StatusCode::OK))
    );
    assert_eq!(harness.records.runs("sale"), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_ticket_of_an_earlier_node_instance_is_unknown_and_never_runs() {
    let harness = start(plan(1)).await;
    let address = entry(&harness, 0);
    let path = "/laurelstall/tickets?service=market-board&count=1";
    let answer = send_request(address, Method::POST, path, &[], Bytes::new()).await.expect("an answer");
    let tickets: serde_json::Value = serde_json::from_slice(&answer.body).expect("JSON");
    let ticket = tickets["tickets"][0].as_str().expect("a ticket").to_owned();
    let other = ticket.rsplitn(3, '~').collect::<Vec<_>>();
    let other = format!("{}~1~{}", other[2], other[0]);
    let headers = [("standin-key", "sale"), ("laurelstall-ticket", other.as_str())];
    let answer = send_request(address, Method::POST, "/market-board/x", &headers, Bytes::new())
        .await
        .expect("an answer");
    assert_eq!(answer.header("laurelstall-outcome"), "unknown");
    assert_eq!(harness.records.runs("sale"), 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_planned_stop_aborts_no_call_and_its_target_gets_no_new_calls() {
    let mut plan = plan(2);
    plan.services[0].service_mean_ms = 200.0;
    let harness = start(plan).await;
    let (stopping, staying) = (harness.nodes()[0].1.clone(), entry(&harness, 1));
    let address = stopping.entry_address;
    let mut calls = tokio::task::JoinSet::new();
    for call in 0..20 {
        let target = if call % 2 == 0 { address } else { staying };
        calls.spawn(async move {
            let key = format!("k-{call}");
            send_request(target, Method::POST, "/market-board/x", &[("standin-key", &key)], Bytes::new())
                .await
        });
    }
    let is_busy = async {
        while stopping.guard.guard().load().in_flight == 0 {
            sleep(Duration::from_millis(1)).await;
        }
    };
    timeout(WAIT_TIMEOUT, is_busy).await.expect("calls reach the guard");
    let stopped = tokio::spawn(async move { stopping.stop().await });
    while let Some(answer) = calls.join_next().await {
        assert_eq!(answer.expect("no panic").expect("an answer").status, StatusCode::OK);
    }
    assert!(timeout(WAIT_TIMEOUT, stopped).await.expect("it stops").expect("no panic"));
    let target = harness.targets.get("market-board-1").expect("it runs");
    let seen = target.requests_received();
    for _ in 0..5 {
        let answer =
            send_request(staying, Method::GET, "/market-board/x", &[("standin-key", "late")], Bytes::new())
                .await;
        assert_eq!(answer.expect("an answer").status, StatusCode::OK);
    }
    assert_eq!(target.requests_received(), seen);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leaving_host_gets_no_new_calls() {
    let harness = start(plan(2)).await;
    harness.set_host_state("market-board-1-host", HostState::Leaving);
    let nodes = harness.nodes();
    let is_known = async {
        while !nodes.iter().all(|(_, node)| {
            node.active.load().configuration.version(&DocumentName::Fleet) == Version::new(2)
        }) {
            sleep(Duration::from_millis(5)).await;
        }
        while !nodes[0].1.guard.guard().is_draining() {
            sleep(Duration::from_millis(1)).await;
        }
    };
    timeout(WAIT_TIMEOUT, is_known).await.expect("the list reaches all nodes");
    for call in 0..10 {
        let answer =
            send_request(entry(&harness, call % 2), Method::GET, "/market-board/x", &[], Bytes::new()).await;
        assert_eq!(answer.expect("an answer").status, StatusCode::OK);
    }
    assert_eq!(harness.targets.get("market-board-1").expect("it runs").requests_received(), 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_invalid_document_is_rejected_and_the_last_valid_one_stays() {
    let harness = start(plan(2)).await;
    let name = DocumentName::Team(TEAM.to_owned());
    let good = harness.platform.text(&name).expect("it was published");
    harness.platform.publish(&name, "team = \"standin\"\nprogram = 1\n");
    let newest = harness.platform.publish(&name, &good.replace("tries: 3", "tries: 2"));
    let nodes = harness.nodes();
    let has_newest = async {
        while !nodes.iter().all(|(_, node)| node.active.load().configuration.version(&name) == newest) {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(WAIT_TIMEOUT, has_newest).await.expect("the valid document takes effect");
    let answer = send_request(entry(&harness, 0), Method::GET, "/market-board/x", &[], Bytes::new()).await;
    assert_eq!(answer.expect("an answer").status, StatusCode::OK);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stale_platform_rolls_back_no_document_even_on_a_restarted_node() {
    let harness = start(plan(3)).await;
    let name = DocumentName::Team(TEAM.to_owned());
    let text = harness.platform.text(&name).expect("it was published");
    // The platform serves version 1 again after all nodes have received version 2.
    let old = harness.platform.snapshot();
    let newest = harness.platform.publish(&name, &text.replace("tries: 3", "tries: 2"));
    let wait_for_newest = async |harness: &Harness| {
        let nodes = harness.nodes();
        let all_received = async {
            while !nodes.iter().all(|(_, node)| node.active.load().configuration.version(&name) == newest) {
                sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(WAIT_TIMEOUT, all_received).await.expect("the newest version reaches all nodes");
    };
    wait_for_newest(&harness).await;
    harness.platform.serve_snapshot(old);
    let host = harness.host_name(1).expect("the host exists");
    let node = harness.take_node(&host).expect("it runs");
    let addresses = (node.entry_address, node.peer_address, node.admin_address);
    drop(node);
    sleep(Duration::from_millis(50)).await;
    let started = async {
        while harness.restart_node(&host, addresses.0, addresses.1, addresses.2).await.is_err() {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(WAIT_TIMEOUT, started).await.expect("its addresses are free again");
    let node = harness.node(&host).expect("it runs again");
    assert_eq!(node.active.load().configuration.version(&name), newest);
    wait_for_newest(&harness).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_platform_restored_from_an_older_copy_rolls_back_nothing() {
    let harness = start(plan(2)).await;
    let name = DocumentName::Team(TEAM.to_owned());
    let text = harness.platform.text(&name).expect("it was published");
    let copy = harness.platform.snapshot();
    let newest = harness.platform.publish(&name, &text.replace("tries: 3", "tries: 2"));
    harness.set_host_state("market-board-1-host", HostState::Leaving);
    let nodes = harness.nodes();
    let is_leaving = |node: &NodeThread| {
        let snapshot = node.active.load();
        let host = snapshot.configuration.host("market-board-1-host").map(|host| host.state);
        host == Some(HostState::Leaving) && snapshot.configuration.version(&name) == newest
    };
    let all_updated = async {
        while !nodes.iter().all(|(_, node)| is_leaving(node)) {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(WAIT_TIMEOUT, all_updated).await.expect("both changes reach all nodes");
    harness.platform.restore(&copy);
    let list_read_again = async {
        let era = |node: &NodeThread| node.active.load().configuration.version(&DocumentName::Fleet).era;
        while !nodes.iter().all(|(_, node)| era(node) == 1) {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(WAIT_TIMEOUT, list_read_again).await.expect("the copy's list reaches all nodes");
    assert!(
        nodes.iter().all(|(_, node)| is_leaving(node)),
        "a node rolled back a change that the copy lacks"
    );
    for call in 0..10 {
        let answer =
            send_request(entry(&harness, call % 2), Method::GET, "/market-board/x", &[], Bytes::new()).await;
        assert_eq!(answer.expect("an answer").status, StatusCode::OK);
    }
    assert_eq!(harness.targets.get("market-board-1").expect("it runs").requests_received(), 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_node_starts_while_the_platform_is_unavailable() {
    let harness = start(plan(3)).await;
    harness.platform.set_unavailable(true);
    let host = harness.host_name(2).expect("the host exists");
    let node = harness.take_node(&host).expect("it runs");
    let addresses = (node.entry_address, node.peer_address, node.admin_address);
    drop(node);
    let started = async {
        while harness.restart_node(&host, addresses.0, addresses.1, addresses.2).await.is_err() {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(WAIT_TIMEOUT, started).await.expect("its addresses are free again");
    let is_ready = async {
        while harness.node(&host).expect("it runs").active.load().configuration.teams.is_empty() {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(WAIT_TIMEOUT, is_ready).await.expect("peers send the configuration");
    let answer = send_request(addresses.0, Method::GET, "/market-board/x", &[], Bytes::new()).await;
    assert_eq!(answer.expect("an answer").status, StatusCode::OK);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn targets_of_an_evacuated_data_centre_get_no_new_calls() {
    let harness = start(plan(2)).await;
    let nodes = harness.nodes();
    let hosts = nodes[0].1.active.load().configuration.fleet.hosts.clone();
    let evacuated =
        &hosts.iter().find(|host| host.name == "market-board-1-host").expect("listed").data_centre;
    harness.set_evacuated(evacuated, true);
    let is_known = async {
        while !nodes.iter().all(|(_, node)| node.active.load().configuration.fleet.is_evacuated(evacuated)) {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(WAIT_TIMEOUT, is_known).await.expect("the list reaches all nodes");
    for call in 0..10 {
        let answer =
            send_request(entry(&harness, call % 2), Method::GET, "/market-board/x", &[], Bytes::new()).await;
        assert_eq!(answer.expect("an answer").status, StatusCode::OK);
    }
    assert_eq!(harness.targets.get("market-board-1").expect("it runs").requests_received(), 0);
}
