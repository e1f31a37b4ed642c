//! Answers of other nodes that are no answers of targets, or that stop midway.

mod support;

use bytes::Bytes;
use h2::server;
use http::{Response, StatusCode};
use http_body_util::BodyExt;
use laurelstall_guard::clock::Clock;
use laurelstall_peer::{
    attempt::{Attempt, AttemptAnswer, AttemptBody, AttemptOutcome},
    client::PeerClient,
    frame::encode,
    link::OpenLink,
    message::{AttemptHead, PeerAnswer},
    pool::Pool,
};
use std::{net::SocketAddr, sync::Arc};
use support::attempts::attempt_head;
use tokio::{net::TcpListener, task::JoinSet, time::Duration};

const CALL_ID: u64 = 7;

/// A node that answers each stream with the same bytes and ends it.
struct StandinNode {
    address: SocketAddr,
    _serving: JoinSet<()>,
}

impl StandinNode {
    async fn start(answer: Bytes) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback has a free port");
        let address = listener.local_addr().expect("it listens");
        let mut serving = JoinSet::new();
        serving.spawn(async move {
            let (stream, _) = listener.accept().await.expect("the client connects");
            let mut connection = server::handshake(stream).await.expect("the client speaks HTTP/2");
            while let Some(Ok((_, mut respond))) = connection.accept().await {
                let mut stream = respond.send_response(Response::new(()), false).expect("the stream is open");
                stream.send_data(answer.clone(), true).expect("the stream is open");
            }
        });
        Self { address, _serving: serving }
    }

    async fn attempt(&self, method: &str) -> AttemptAnswer {
        let pool = Pool::new(Clock::new(), Arc::default(), Arc::new(OpenLink));
        let attempt = Attempt { head: head(method), body: AttemptBody::Whole(Bytes::new()) };
        PeerClient::new(Arc::new(pool)).attempt(self.address, attempt).await
    }
}

fn head(method: &str) -> AttemptHead {
    AttemptHead { call_id: CALL_ID, method: method.to_owned(), ..attempt_head(Duration::from_secs(20)) }
}

fn answer(call_id: u64, status: u16, fields: &[(&str, &str)], body: &str) -> Bytes {
    let field = |(name, value): &(&str, &str)| ((*name).to_owned(), value.as_bytes().to_vec());
    let headers = fields.iter().map(field).collect();
    let head = encode(&PeerAnswer::Answered { call_id, status, headers, hint: None });
    [head, Bytes::from(body.to_owned())].concat().into()
}

/// Returns the status and body of the answer that comes of these bytes; `None` if there is no whole one.
async fn taken(method: &str, bytes: Bytes) -> Option<(StatusCode, Bytes)> {
    let node = StandinNode::start(bytes).await;
    match node.attempt(method).await.outcome {
        AttemptOutcome::Answered { status, body, .. } => {
            body.collect().await.ok().map(|body| (status, body.to_bytes()))
        }
        AttemptOutcome::Unknown(_) => None,
        AttemptOutcome::NotRun(refusal) => panic!("it may have run: {refusal:?}"),
    }
}

// Guards against bodies of another length than their heads state, which callers got as whole ones.
#[tokio::test]
async fn a_body_of_another_length_than_its_head_states_is_no_whole_answer() {
    let length: &[(&str, &str)] = &[("content-length", "3")];
    let whole = taken("GET", answer(CALL_ID, 200, length, "abc")).await;
    assert_eq!(whole, Some((StatusCode::OK, Bytes::from_static(b"abc"))));
    assert_eq!(taken("GET", answer(CALL_ID, 200, length, "hello world")).await, None);
    assert_eq!(taken("GET", answer(CALL_ID, 200, length, "ab")).await, None);
    assert_eq!(taken("GET", answer(CALL_ID, 204, &[], "abc")).await, None);
    assert_eq!(taken("HEAD", answer(CALL_ID, 200, length, "abc")).await, None);
    let to_head = taken("HEAD", answer(CALL_ID, 200, length, "")).await;
    assert_eq!(to_head, Some((StatusCode::OK, Bytes::new())));
    let without_length = taken("GET", answer(CALL_ID, 200, &[], "abc")).await;
    assert_eq!(without_length, Some((StatusCode::OK, Bytes::from_static(b"abc"))));
}

#[tokio::test]
async fn a_head_that_is_none_of_a_final_answer_is_refused() {
    for status in [0, 99, 100, 101, 600, 999, 1_000] {
        assert_eq!(taken("GET", answer(CALL_ID, status, &[], "abc")).await, None, "{status}");
    }
    for field in [
        ("transfer-encoding", "chunked"),
        ("connection", "close"),
        ("content-length", "3x"),
        ("a b", "c"),
        ("a", "b\nc"),
    ] {
        assert_eq!(taken("GET", answer(CALL_ID, 200, &[field], "abc")).await, None, "{field:?}");
    }
    assert_eq!(taken("GET", answer(CALL_ID + 1, 200, &[], "abc")).await, None, "of another call");
}

#[tokio::test]
async fn a_head_that_stops_midway_is_no_answer() {
    let whole = answer(CALL_ID, 200, &[("content-length", "0"), ("a", "b")], "");
    for end in 0..whole.len() {
        assert_eq!(taken("GET", whole.slice(..end)).await, None, "the first {end} bytes");
    }
    assert_eq!(taken("GET", whole).await, Some((StatusCode::OK, Bytes::new())));
}
