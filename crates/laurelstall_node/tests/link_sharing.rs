//! Large and small answers that share a link, over loopback sockets and a relay with the bandwidth of the link.

use bytes::Bytes;
use futures_util::future::{BoxFuture, FutureExt, join_all};
use http::{HeaderMap, StatusCode};
use http_body_util::BodyExt;
use laurelstall_crash::request_digest::RequestDigest;
use laurelstall_guard::clock::Clock;
use laurelstall_node::{
    body::full_body,
    counters::Counters,
    link_pacer::LinkPacer,
    metrics::Latencies,
    paced_body::{READ_AHEAD_BYTES, Sending, pace},
};
use laurelstall_peer::{
    attempt::{Admission, Attempt, AttemptAnswer, AttemptBody, AttemptHandler, AttemptOutcome},
    body::BoxedBody,
    client::PeerClient,
    link::OpenLink,
    message::{AttemptHead, BodyKind, PeerAnswer, PeerRequest},
    meter::Meter,
    pool::Pool,
    server::{PeerHandler, PeerServer},
};
use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, copy},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    task::JoinSet,
    time::{Duration, Instant, sleep, sleep_until},
};

const MBPS: f64 = 14.0;
const LARGE_BYTES: usize = 90_000;
/// Time that a small call takes at its target.
const SMALL_WORK: Duration = Duration::from_millis(40);
const SMALL_CALLS: u32 = 150;
/// Longest time by which timers are expected to be late.
const TIMER_ERROR_MAX: Duration = Duration::from_millis(5);

/// A guard whose answers pass over a link. The path of a call is the size of its answer.
#[derive(Debug)]
struct SizedGuard(Option<Arc<LinkPacer>>);

impl AttemptHandler for SizedGuard {
    fn attempt(&self, attempt: Attempt, _: Admission) -> BoxFuture<'_, AttemptAnswer> {
        async move {
            let bytes = attempt.head.uri.parse().expect("a size");
            sleep(SMALL_WORK).await;
            let sending =
                Sending { importance: 3, read_ahead_bytes: READ_AHEAD_BYTES, learned_class: Some(1) };
            let (status, headers) = (StatusCode::OK, HeaderMap::new());
            let body = full_body(vec![7; bytes].into());
            let body = match &self.0 {
                Some(pacer) => pace(pacer, sending, &headers, body),
                None => body,
            };
            AttemptAnswer::new(AttemptOutcome::Answered { status, headers, body })
        }
        .boxed()
    }
}

impl PeerHandler for SizedGuard {
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

/// Two nodes and the link between them. Its tasks end when it is dropped.
struct TestLink {
    pacer: Arc<LinkPacer>,
    client: PeerClient,
    address: SocketAddr,
    _tasks: JoinSet<()>,
}

impl TestLink {
    async fn start(is_paced: bool) -> Self {
        let clock = Clock::new();
        let (counters, latencies) = (Arc::<Counters>::default(), Arc::<Latencies>::default());
        let pacer = LinkPacer::new(MBPS, clock, counters, latencies).expect("a known bandwidth");
        let guard = Arc::new(SizedGuard(is_paced.then(|| pacer.clone())));
        let (listener, server_address) = listen().await;
        let (relay, address) = listen().await;
        let mut tasks = JoinSet::new();
        let driven = pacer.clone();
        tasks.spawn(async move { driven.run().await });
        tasks.spawn(PeerServer::new(guard, Arc::new(Meter::default())).serve(listener));
        tasks.spawn(relay_connections(relay, server_address));
        let client = PeerClient::new(Arc::new(Pool::new(clock, Arc::default(), Arc::new(OpenLink))));
        Self { pacer, client, address, _tasks: tasks }
    }

    /// Makes a call whose answer has this size, and returns the answer's body.
    async fn call(&self, bytes: usize) -> BoxedBody {
        let attempt = Attempt { head: head(bytes), body: AttemptBody::Whole(Bytes::new()) };
        match self.client.attempt(self.address, attempt).await.outcome {
            AttemptOutcome::Answered { body, .. } => body,
            other => panic!("no answer: {other:?}"),
        }
    }

    /// Makes a call, reads its answer and returns the time that this took.
    async fn timed_call(&self, bytes: usize) -> Duration {
        let started = Instant::now();
        let body = self.call(bytes).await.collect().await.expect("a complete body").to_bytes();
        assert_eq!(body.len(), bytes);
        started.elapsed()
    }

    /// Makes calls at this interval, each with an answer of this size, and returns their times in order.
    async fn calls(&self, count: u32, every: Duration, bytes: usize) -> Vec<Duration> {
        let calls = (0..count).map(|number| async move {
            sleep(every * number).await;
            self.timed_call(bytes).await
        });
        let mut times = join_all(calls).await;
        times.sort();
        times
    }

    /// Returns the p99 of the times of small calls.
    async fn small_p99(&self) -> Duration {
        let times = self.calls(SMALL_CALLS, Duration::from_millis(10), 300).await;
        times[times.len() * 99 / 100]
    }
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback has a free port");
    let address = listener.local_addr().expect("it listens");
    (listener, address)
}

/// Passes connections on to `server`, with the bandwidth of the link from the server to the client.
async fn relay_connections(listener: TcpListener, server: SocketAddr) {
    let mut directions = JoinSet::new();
    while let Ok((client, _)) = listener.accept().await {
        let server = TcpStream::connect(server).await.expect("the server listens");
        let _ = (client.set_nodelay(true), server.set_nodelay(true));
        let (mut from_client, to_client) = client.into_split();
        let (from_server, mut to_server) = server.into_split();
        directions.spawn(relay_slowly(from_server, to_client));
        directions.spawn(async move {
            let _ = copy(&mut from_client, &mut to_server).await;
        });
    }
}

async fn relay_slowly(mut from: OwnedReadHalf, mut to: OwnedWriteHalf) {
    let mut buffer = [0; 1_400];
    let mut free_at = Instant::now();
    while let Ok(bytes) = from.read(&mut buffer).await
        && bytes > 0
        && to.write_all(&buffer[..bytes]).await.is_ok()
    {
        // A late timer does not lower the bandwidth.
        free_at = free_at.max(Instant::now() - TIMER_ERROR_MAX) + send_time(bytes);
        if free_at > Instant::now() {
            sleep_until(free_at).await;
        }
    }
}

fn send_time(bytes: usize) -> Duration {
    Duration::from_secs_f64(bytes as f64 * 8.0 / (MBPS * 1e6))
}

fn head(answer_bytes: usize) -> AttemptHead {
    AttemptHead {
        call_id: 1,
        service: "t/s".to_owned(),
        target: "a".to_owned(),
        method: "GET".to_owned(),
        uri: answer_bytes.to_string(),
        digest: RequestDigest { whole: 1, head: 2 },
        headers: Vec::new(),
        budget_us: 10_000_000,
        useful_us: 10_000_000,
        class: 1,
        importance: 3,
        workspace: String::new(),
        is_return: false,
        is_repeat: false,
        may_repeat: true,
        may_hand_back: false,
        hand_backs: 0,
        slow_from_percent: None,
        ticket: None,
        body: BodyKind::Empty,
        wants_hint: false,
    }
}

/// Guards against small answers that queue behind large ones. The same load without pacing shows that the relay is a link
/// on which they do.
#[tokio::test(start_paused = true)]
async fn small_calls_take_at_most_twice_as_long_beside_a_burst_of_large_ones() {
    let mut p99s = Vec::new();
    for is_paced in [true, false] {
        let link = TestLink::start(is_paced).await;
        let alone = link.small_p99().await;
        // 2.6 times the bandwidth while the small calls are made.
        let large_calls = link.calls(76, Duration::from_millis(20), LARGE_BYTES);
        let (_, beside) = tokio::join!(large_calls, link.small_p99());
        p99s.push((alone, beside));
    }
    let [(alone, beside), (_, unpaced)] = p99s[..] else { panic!("two runs") };
    assert!(beside <= alone * 2, "{beside:?} beside large calls, {alone:?} alone");
    assert!(unpaced > alone * 2, "{unpaced:?} without pacing, {alone:?} alone");
}

/// Guards against readers that stop and hold the link or memory.
#[tokio::test]
async fn a_reader_that_stops_delays_no_other() {
    const STALLED: usize = 5;
    let link = TestLink::start(true).await;
    let alone = link.timed_call(LARGE_BYTES).await;
    let stalled = join_all((0..STALLED).map(|_| link.call(2_000_000))).await;
    // The windows of these streams fill within 0.4 s.
    sleep(Duration::from_millis(800)).await;
    let beside = link.calls(5, Duration::from_millis(200), LARGE_BYTES).await;
    let slowest = beside.last().copied().unwrap_or_default();
    assert!(slowest <= alone * 2, "{slowest:?} beside stalled readers, {alone:?} alone");
    drop(stalled);
    sleep(Duration::from_millis(100)).await;
    assert_eq!((link.pacer.waiting_bytes(), link.pacer.held_bytes()), (0, 0));
}
