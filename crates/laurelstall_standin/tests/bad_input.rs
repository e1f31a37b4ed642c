//! Malformed requests and peer messages: the node rejects each one and keeps serving.

mod support;

use bytes::Bytes;
use http::{Method, StatusCode};
use laurelstall_guard::refusal::{Refusal, RefusalReason};
use laurelstall_peer::{frame::decode, message::PeerAnswer};
use laurelstall_standin::harness::Harness;
use std::net::SocketAddr;
use support::{entry, plan, send_request, start};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{Duration, timeout},
};

/// Longest wait for an answer or the end of a connection.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Sends raw bytes and reads until the node closes the connection or has sent one response head.
async fn send_raw(entry: SocketAddr, sent: &[u8]) -> String {
    let mut stream = TcpStream::connect(entry).await.expect("the entry listens");
    stream.write_all(sent).await.expect("the node reads the request");
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
    timeout(WAIT_TIMEOUT, reading).await.expect("an answer or the end of the connection");
    String::from_utf8_lossy(&read).into_owned()
}

async fn assert_still_serves(harness: &Harness) {
    let answer = send_request(entry(harness, 0), Method::GET, "/market-board/x", &[], Bytes::new()).await;
    assert_eq!(answer.expect("an answer").status, StatusCode::OK);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_smuggling_is_rejected() {
    let harness = start(plan(1)).await;
    let address = entry(&harness, 0);
    let attempts: [&[u8]; 6] = [        b"POST /market-board/x HTTP/1.1\r\nhost: standin.example\r\ncontent-length: 5\r\ncontent-length: 6\r\n\r\nhello!",
        b"POST /market-board/x HTTP/1.1\r\nhost: standin.example\r\ntransfer-encoding: xchunked\r\n\r\n0\r\n\r\n",
        b"GET /market-board/x HTTP/1.1\r\nhost: standin.example\r\nhost: other.example\r\n\r\n",
        b"GET /market-board/x HTTP/1.1\r\nhost : standin.example\r\n\r\n",
        b"GET /market-board/x HTTP/1.1\r\nhost: standin.example\r\nx: a\r\n b\r\n\r\n",
        b"POST /market-board/x HTTP/1.1\r\nhost: standin.example\r\ntransfer-encoding: chunked\r\n\r\nffffffffffffffffff\r\n",
    ];
    for attempt in attempts {
        let answer = send_raw(address, attempt).await;
        let is_refused =
            answer.is_empty() || answer.starts_with("HTTP/1.1 4") || answer.starts_with("HTTP/1.1 5");
        assert!(is_refused, "{:?} -> {answer}", String::from_utf8_lossy(attempt));
    }
    assert_eq!(harness.targets.all()[0].requests_received(), 0);
    assert_still_serves(&harness).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn content_length_with_chunked_encoding_is_ignored_and_not_forwarded() {
    let harness = start(plan(1)).await;
    let address = entry(&harness, 0);
    let both = b"POST /market-board/x HTTP/1.1\r\nhost: standin.example\r\ncontent-length: 5\r\n\
        transfer-encoding: chunked\r\n\r\n0\r\n\r\nGET /market-board/smuggled HTTP/1.1\r\n\r\n";
    // RFC 9112, 6.3: transfer-encoding overrides content-length. The rest is a separate request, here without a host.
    assert!(send_raw(address, both).await.starts_with("HTTP/1.1 200"));
    assert_still_serves(&harness).await;
    assert_eq!(harness.targets.all()[0].requests_received(), 2);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_oversized_head_is_rejected() {
    let harness = start(plan(1)).await;
    let address = entry(&harness, 0);
    let head =
        format!("GET /market-board/x HTTP/1.1\r\nhost: standin.example\r\nx: {}\r\n\r\n", "a".repeat(60_000));
    assert!(send_raw(address, head.as_bytes()).await.starts_with("HTTP/1.1 431"));
    let many = (0..150).map(|n| format!("x-{n}: 1\r\n")).collect::<String>();
    let head = format!("GET /market-board/x HTTP/1.1\r\nhost: standin.example\r\n{many}\r\n");
    assert!(send_raw(address, head.as_bytes()).await.starts_with("HTTP/1.1 431"));
    assert_still_serves(&harness).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_incomplete_request_is_closed_and_never_runs() {
    let harness = start(plan(1)).await;
    let address = entry(&harness, 0);
    let mut stream = TcpStream::connect(address).await.expect("the entry listens");
    let half = b"POST /market-board/x HTTP/1.1\r\nhost: standin.example\r\nstandin-key: half\r\ncontent-length: 100\r\n\r\nhalf";
    stream.write_all(half).await.expect("the node reads the request");
    drop(stream);
    // The node closes a connection with an incomplete head after its head timeout.
    let answer = send_raw(address, b"GET /market-board/x HTT").await;
    assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 4"), "{answer}");
    assert_still_serves(&harness).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_node_keeps_serving_after_http2_stream_resets() {
    let harness = start(plan(1)).await;
    let address = entry(&harness, 0);
    let stream = TcpStream::connect(address).await.expect("the entry listens");
    let (mut sender, connection) = h2::client::handshake(stream).await.expect("HTTP/2 without TLS");
    tokio::spawn(connection);
    // The node treats many more resets in a row as an attack and closes the connection.
    for _ in 0..10 {
        sender = sender.ready().await.expect("the connection stays");
        let request = http::Request::post("http://standin.example/market-board/x").body(());
        let (_, mut body) =
            sender.send_request(request.expect("the request is valid"), false).expect("the stream is open");
        body.send_reset(h2::Reason::CANCEL);
    }
    sender = sender.ready().await.expect("the connection stays");
    let request =
        http::Request::get("http://standin.example/market-board/x").body(()).expect("the request is valid");
    let (response, _) = sender.send_request(request, true).expect("the stream is open");
    let response = timeout(WAIT_TIMEOUT, response).await.expect("in time").expect("an answer");
    assert_eq!(response.status(), StatusCode::OK);
    assert_still_serves(&harness).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn malformed_and_unknown_version_peer_messages_are_refused() {
    let harness = start(plan(1)).await;
    let address = harness.nodes()[0].1.peer_address;
    for first in [&[9_u8, 0, 0, 0, 1, 0][..], &[1, 255, 255, 255, 255][..], &[1, 0, 0, 0, 2, 250, 250][..]] {
        let stream = TcpStream::connect(address).await.expect("the node listens");
        let (sender, connection) = h2::client::handshake(stream).await.expect("HTTP/2");
        tokio::spawn(connection);
        let mut sender = sender.ready().await.expect("a stream is free");
        let request = http::Request::post("http://n/").body(()).expect("the request is valid");
        let (response, mut body) = sender.send_request(request, false).expect("the stream is open");
        body.send_data(Bytes::copy_from_slice(first), true).expect("the stream is open");
        let response = timeout(WAIT_TIMEOUT, response).await.expect("in time").expect("an answer");
        let mut stream = response.into_body();
        let answer = timeout(WAIT_TIMEOUT, stream.data())
            .await
            .expect("in time")
            .expect("a message")
            .expect("a complete message");
        let answer = decode::<PeerAnswer>(&answer[5..]);
        let refused = PeerAnswer::Refused(Refusal::new(RefusalReason::Unreadable));
        assert_eq!(answer.expect("the answer can be decoded"), refused);
    }
    let mut stream = TcpStream::connect(address).await.expect("the node listens");
    stream.write_all(b"GET / HTTP/1.1\r\n\r\n").await.expect("the node reads the request");
    let mut rest = Vec::new();
    // The connection may be closed or reset.
    let _ = timeout(WAIT_TIMEOUT, stream.read_to_end(&mut rest)).await.expect("the connection ends");
    assert_still_serves(&harness).await;
}
