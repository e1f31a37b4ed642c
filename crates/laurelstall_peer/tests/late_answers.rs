//! Answers from other nodes that are past the deadline of their calls.

mod support;

use bytes::Bytes;
use futures_util::{
    future::{BoxFuture, FutureExt},
    stream::unfold,
};
use http::{HeaderMap, StatusCode};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use laurelstall_guard::clock::Clock;
use laurelstall_peer::{
    attempt::{Admission, Attempt, AttemptAnswer, AttemptBody, AttemptHandler, AttemptOutcome},
    body::{BodyError, BoxedBody},
    client::PeerClient,
    message::{PeerAnswer, PeerRequest},
    pool::Pool,
    server::{PeerHandler, PeerServer},
};
use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
};
use support::{
    attempts::attempt_head,
    mesh::{HostLink, Silence},
};
use tokio::{
    net::TcpListener,
    time::{Duration, Instant, sleep, sleep_until},
};

/// Time limit of the calls.
const TIME_LIMIT: Duration = Duration::from_millis(1_000);
/// Time after the limit in which the entry knows the end of a call; callers must know it after 500 ms.
const END_KNOWN_MAX: Duration = Duration::from_millis(450);
const PIECES: usize = 4;

/// A guard that sends its answers in pieces with this pause.
#[derive(Debug)]
struct PausingGuard {
    pause: Duration,
}

impl AttemptHandler for PausingGuard {
    fn attempt(&self, _: Attempt, _: Admission) -> BoxFuture<'_, AttemptAnswer> {
        let pause = self.pause;
        let pieces = unfold(0, move |sent| async move {
            if sent > 0 {
                sleep(pause).await;
            }
            let frame = Ok::<_, BodyError>(Frame::data(Bytes::from_static(b"x")));
            (sent < PIECES).then_some((frame, sent + 1))
        });
        let body = StreamBody::new(pieces).boxed_unsync();
        let outcome = AttemptOutcome::Answered { status: StatusCode::OK, headers: HeaderMap::new(), body };
        async { AttemptAnswer::new(outcome) }.boxed()
    }
}

impl PeerHandler for PausingGuard {
    fn attempts(&self) -> &dyn AttemptHandler {
        self
    }

    fn is_member(&self, _: IpAddr) -> bool {
        true
    }

    fn answer(&self, _: IpAddr, _: PeerRequest) -> BoxFuture<'_, PeerAnswer> {
        async { PeerAnswer::Noted }.boxed()
    }
}

fn attempt() -> Attempt {
    let head = attempt_head(TIME_LIMIT);
    Attempt { head, body: AttemptBody::Whole(Bytes::new()) }
}

/// Makes a call to a guard, and returns the body of its answer with what silences the connection.
async fn begun_answer(pause: Duration) -> (BoxedBody, Arc<Silence>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback has a free port");
    let address: SocketAddr = listener.local_addr().expect("it listens");
    tokio::spawn(PeerServer::new(Arc::new(PausingGuard { pause }), Arc::default()).serve(listener));
    let silence = Arc::<Silence>::default();
    let link = HostLink::new(address, Arc::default()).with_silence(silence.clone());
    let client = PeerClient::new(Arc::new(Pool::new(Clock::new(), Arc::default(), Arc::new(link))));
    match client.attempt(address, attempt()).await.outcome {
        AttemptOutcome::Answered { body, .. } => (body, silence),
        other => panic!("no answer: {other:?}"),
    }
}

/// Guards against answers without a final word half a second after the time limit (CONFIG) when the guard's node freezes: a
/// ping noticed that up to 1.1 s after the node's last byte.
#[tokio::test(start_paused = true)]
async fn an_answer_whose_node_is_lost_ends_soon_after_its_deadline() {
    for lost_at_ms in (50..=1_000).step_by(50) {
        let started = Instant::now();
        let (body, silence) = begun_answer(Duration::from_millis(20_000)).await;
        let reading = tokio::spawn(body.collect());
        sleep_until(started + Duration::from_millis(lost_at_ms)).await;
        silence.begin();
        let read = reading.await.expect("no panic");
        assert!(read.is_err(), "an answer that is cut short looks whole");
        let took = started.elapsed();
        assert!(took <= TIME_LIMIT + END_KNOWN_MAX, "lost after {lost_at_ms} ms: ended after {took:?}");
    }
}

/// Guards against answers that are cut off because their guard paces them.
#[tokio::test(start_paused = true)]
async fn an_answer_whose_node_sends_nothing_for_long_is_whole() {
    let (body, _silence) = begun_answer(Duration::from_millis(3_000)).await;
    let read = body.collect().await.map(|body| body.to_bytes().len());
    assert_eq!(read.map_err(|error| error.to_string()), Ok(PIECES));
}
