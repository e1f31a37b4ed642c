//! Requests that break the rules of HTTP, or their own word: each gets a clear end, and the node
//! goes on.

mod support;

use bytes::Bytes;
use http::{Method, StatusCode};
use laurelstall_guard::refusal::{Refusal, RefusalReason};
use laurelstall_peer::{frame::decode, message::PeerAnswer};
use laurelstall_standin::harness::Harness;
use std::net::SocketAddr;
use support::{ask, entry, plan, start};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{Duration, timeout},
};

/// Longest wait for an answer or an end that must come.
const PATIENCE: Duration = Duration::from_secs(30);

/// Sends raw bytes and reads until the node closes or has answered once.
async fn raw(entry: SocketAddr, sent: &[u8]) -> String {
    let mut stream = TcpStream::connect(entry).await.expect("the entry listens");
    stream.write_all(sent).await.expect("it takes what is sent");
    let mut read = Vec::new();
    let mut buffer = [0; 4_096];
    let reading = async {
        while let Ok(count) = stream.read(&mut buffer).await {
            read.extend_from_slice(&buffer[..count]);
            if count == 0 || read.windows(4).any(|window| window == b"\r\n\r\n") {
                break;
            }
        }
    };
    timeout(PATIENCE, reading).await.expect("an answer or an end");
    String::from_utf8_lossy(&read).into_owned()
}

async fn still_serves(harness: &Harness) {
    let answer = ask(entry(harness, 0), Method::GET, "/market-board/x", &[], Bytes::new()).await;
    assert_eq!(answer.expect("an answer").status, StatusCode::OK);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn smuggling_attempts_reach_no_target_as_a_second_request() {
    let harness = start(plan(1)).await;
    let at = entry(&harness, 0);
    let attempts: [&[u8]; 6] = [        b"POST /market-board/x HTTP/1.1\r\nhost: standin.example\r\ncontent-length: 5\r\ncontent-length: 6\r\n\r\nhello!",
        b"POST /market-board/x HTTP/1.1\r\nhost: standin.example\r\ntransfer-encoding: xchunked\r\n\r\n0\r\n\r\n",
        b"GET /market-board/x HTTP/1.1\r\nhost: standin.example\r\nhost: other.example\r\n\r\n",
        b"GET /market-board/x HTTP/1.1\r\nhost : standin.example\r\n\r\n",
        b"GET /market-board/x HTTP/1.1\r\nhost: standin.example\r\nx: a\r\n b\r\n\r\n",
        b"POST /market-board/x HTTP/1.1\r\nhost: standin.example\r\ntransfer-encoding: chunked\r\n\r\nffffffffffffffffff\r\n",
    ];
    for attempt in attempts {
        let answer = raw(at, attempt).await;
        let is_refused =
            answer.is_empty() || answer.starts_with("HTTP/1.1 4") || answer.starts_with("HTTP/1.1 5");
        assert!(is_refused, "{:?} -> {answer}", String::from_utf8_lossy(attempt));
    }
    assert_eq!(harness.targets.all()[0].seen(), 0);
    still_serves(&harness).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_length_beside_chunks_counts_for_nothing_and_is_not_passed_on() {
    let harness = start(plan(1)).await;
    let at = entry(&harness, 0);
    let both = b"POST /market-board/x HTTP/1.1\r\nhost: standin.example\r\ncontent-length: 5\r\n\
        transfer-encoding: chunked\r\n\r\n0\r\n\r\nGET /market-board/smuggled HTTP/1.1\r\n\r\n";
    // RFC 9112, 6.3: the chunks rule. What follows is a request of its own, here without a host.
    assert!(raw(at, both).await.starts_with("HTTP/1.1 200"));
    still_serves(&harness).await;
    assert_eq!(harness.targets.all()[0].seen(), 2);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_oversized_head_is_refused() {
    let harness = start(plan(1)).await;
    let at = entry(&harness, 0);
    let head =
        format!("GET /market-board/x HTTP/1.1\r\nhost: standin.example\r\nx: {}\r\n\r\n", "a".repeat(60_000));
    assert!(raw(at, head.as_bytes()).await.starts_with("HTTP/1.1 431"));
    let many = (0..150).map(|n| format!("x-{n}: 1\r\n")).collect::<String>();
    let head = format!("GET /market-board/x HTTP/1.1\r\nhost: standin.example\r\n{many}\r\n");
    assert!(raw(at, head.as_bytes()).await.starts_with("HTTP/1.1 431"));
    still_serves(&harness).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_half_request_ends_and_a_half_body_never_runs_as_a_whole() {
    let harness = start(plan(1)).await;
    let at = entry(&harness, 0);
    let mut stream = TcpStream::connect(at).await.expect("the entry listens");
    let half = b"POST /market-board/x HTTP/1.1\r\nhost: standin.example\r\nstandin-key: half\r\ncontent-length: 100\r\n\r\nhalf";
    stream.write_all(half).await.expect("it takes what is sent");
    drop(stream);
    // Half a head: closed after the head's time is over, by the settings' limit.
    let answer = raw(at, b"GET /market-board/x HTT").await;
    assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 4"), "{answer}");
    still_serves(&harness).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn http2_streams_that_are_reset_leave_the_node_serving() {
    let harness = start(plan(1)).await;
    let at = entry(&harness, 0);
    let stream = TcpStream::connect(at).await.expect("the entry listens");
    let (mut sender, connection) = h2::client::handshake(stream).await.expect("HTTP/2 without TLS");
    tokio::spawn(connection);
    // More resets than this in a row are an attack, and end the connection.
    for _ in 0..10 {
        sender = sender.ready().await.expect("the connection stays");
        let request = http::Request::post("http://standin.example/market-board/x").body(());
        let (_, mut body) = sender.send_request(request.expect("it is right"), false).expect("it is sent");
        body.send_reset(h2::Reason::CANCEL);
    }
    sender = sender.ready().await.expect("the connection stays");
    let request = http::Request::get("http://standin.example/market-board/x").body(()).expect("it is right");
    let (response, _) = sender.send_request(request, true).expect("it is sent");
    let response = timeout(PATIENCE, response).await.expect("in time").expect("an answer");
    assert_eq!(response.status(), StatusCode::OK);
    still_serves(&harness).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_peer_that_speaks_nonsense_or_another_version_is_refused() {
    let harness = start(plan(1)).await;
    let at = harness.nodes()[0].1.peer_address;
    for first in [&[9_u8, 0, 0, 0, 1, 0][..], &[1, 255, 255, 255, 255][..], &[1, 0, 0, 0, 2, 250, 250][..]] {
        let stream = TcpStream::connect(at).await.expect("the node listens");
        let (sender, connection) = h2::client::handshake(stream).await.expect("HTTP/2");
        tokio::spawn(connection);
        let mut sender = sender.ready().await.expect("a stream is free");
        let request = http::Request::post("http://n/").body(()).expect("it is right");
        let (response, mut body) = sender.send_request(request, false).expect("it is sent");
        body.send_data(Bytes::copy_from_slice(first), true).expect("it is sent");
        let response = timeout(PATIENCE, response).await.expect("in time").expect("an answer");
        let mut stream = response.into_body();
        let answer =
            timeout(PATIENCE, stream.data()).await.expect("in time").expect("a message").expect("whole");
        let answer = decode::<PeerAnswer>(&answer[5..]);
        let refused = PeerAnswer::Refused(Refusal::new(RefusalReason::Unreadable));
        assert_eq!(answer.expect("it is readable"), refused);
    }
    let mut stream = TcpStream::connect(at).await.expect("the node listens");
    stream.write_all(b"GET / HTTP/1.1\r\n\r\n").await.expect("it takes what is sent");
    let mut rest = Vec::new();
    // Whether it is closed or reset, it must end.
    let _ = timeout(PATIENCE, stream.read_to_end(&mut rest)).await.expect("it ends");
    still_serves(&harness).await;
}
