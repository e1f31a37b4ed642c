//! Connections that a stopping server closes while answers are on their way.

mod support;

use bytes::Bytes;
use futures_util::future::{BoxFuture, FutureExt, join_all};
use http::{HeaderMap, StatusCode};
use http_body_util::{BodyExt, Full};
use laurelstall_guard::clock::Clock;
use laurelstall_peer::{
    attempt::{Admission, Attempt, AttemptAnswer, AttemptBody, AttemptHandler, AttemptOutcome},
    body::BoxedBody,
    client::PeerClient,
    lingering_stream::{LINGER_MAX, LingeringStream},
    link::OpenLink,
    message::{AttemptHead, PeerAnswer, PeerRequest},
    pool::Pool,
    server::{PeerHandler, PeerServer},
};
use std::{
    future::pending,
    net::{IpAddr, SocketAddr},
    sync::Arc,
};
use support::attempts::attempt_head;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, copy},
    net::{
        TcpListener, TcpSocket, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    task::{JoinHandle, JoinSet},
    time::{Duration, sleep, timeout},
};

/// Receive buffer of the relay in bytes, so that answers wait at the server.
const RELAY_BUFFER_BYTES: u32 = 8 * 1024;
/// Maximum time to wait for an event.
const WAIT_MAX: Duration = Duration::from_secs(20);

/// How the relay passes on what the server sends.
#[derive(Debug, Clone, Copy)]
struct RelaySpeed {
    mbps: f64,
    /// Bytes after which nothing passes any more, in either direction.
    freezes_after_bytes: usize,
}

impl RelaySpeed {
    fn of_mbps(mbps: f64) -> Self {
        Self { mbps, freezes_after_bytes: usize::MAX }
    }
}

/// A guard that answers at once, with answers of this size.
#[derive(Debug)]
struct AnsweringGuard {
    answer_bytes: usize,
}

impl AttemptHandler for AnsweringGuard {
    fn attempt(&self, _: Attempt, _: Admission) -> BoxFuture<'_, AttemptAnswer> {
        let body = Full::new(Bytes::from(vec![7; self.answer_bytes])).map_err(|never| match never {});
        let (status, headers) = (StatusCode::OK, HeaderMap::new());
        let outcome = AttemptOutcome::Answered { status, headers, body: body.boxed_unsync() };
        async { AttemptAnswer::new(outcome) }.boxed()
    }
}

impl PeerHandler for AnsweringGuard {
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

/// A server, and a client that reaches it over a relay. The relay ends when this is dropped.
struct Fixture {
    server: Arc<PeerServer>,
    serving: JoinHandle<()>,
    client: PeerClient,
    relay_address: SocketAddr,
    _relay: JoinSet<()>,
}

impl Fixture {
    async fn start(answer_bytes: usize, speed: RelaySpeed) -> Self {
        let (listener, server_address) = listen().await;
        let (relay_listener, relay_address) = listen().await;
        let server = PeerServer::new(Arc::new(AnsweringGuard { answer_bytes }), Arc::default());
        let serving = tokio::spawn(server.clone().serve(listener));
        let mut relay = JoinSet::new();
        relay.spawn(relay_connections(relay_listener, server_address, speed));
        let client = PeerClient::new(Arc::new(Pool::new(Clock::new(), Arc::default(), Arc::new(OpenLink))));
        Self { server, serving, client, relay_address, _relay: relay }
    }

    /// Makes a call and returns the body of its answer, of which only the head has arrived.
    async fn call(&self) -> BoxedBody {
        let attempt = Attempt { head: head(), body: AttemptBody::Whole(Bytes::new()) };
        match self.client.attempt(self.relay_address, attempt).await.outcome {
            AttemptOutcome::Answered { body, .. } => body,
            other => panic!("no answer: {other:?}"),
        }
    }
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback has a free port");
    let address = listener.local_addr().expect("it listens");
    (listener, address)
}

/// Passes connections on to `server`, slowly from the server to the client.
async fn relay_connections(listener: TcpListener, server: SocketAddr, speed: RelaySpeed) {
    let mut directions = JoinSet::new();
    while let Ok((client, _)) = listener.accept().await {
        let socket = TcpSocket::new_v4().expect("a free file descriptor");
        socket.set_recv_buffer_size(RELAY_BUFFER_BYTES).expect("the socket is open");
        let server = socket.connect(server).await.expect("the server listens");
        let (mut from_client, to_client) = client.into_split();
        let (from_server, mut to_server) = server.into_split();
        directions.spawn(async move {
            let (answers, requests) =
                (relay_slowly(from_server, to_client, speed), copy(&mut from_client, &mut to_server));
            tokio::select! {
                () = answers => {}
                // What the client sends passes until the relay freezes or the server closes the connection.
                _ = requests => {}
            }
        });
    }
}

/// Returns when the server closes the connection. Does not return once the relay is frozen.
async fn relay_slowly(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, speed: RelaySpeed) {
    let mut buffer = [0; 1_400];
    let mut relayed_bytes = 0;
    while let Ok(bytes) = from.read(&mut buffer).await
        && bytes > 0
        && to.write_all(&buffer[..bytes]).await.is_ok()
    {
        relayed_bytes += bytes;
        if relayed_bytes > speed.freezes_after_bytes {
            return pending().await;
        }
        sleep(Duration::from_secs_f64(bytes as f64 * 8.0 / (speed.mbps * 1e6))).await;
    }
}

fn head() -> AttemptHead {
    attempt_head(WAIT_MAX)
}

/// Guards against answers that are lost because the socket is closed while bytes of the other node still arrive, or because
/// nothing passes for a while although the other node reads on.
#[tokio::test]
async fn answers_on_a_slow_connection_arrive_whole_when_the_server_stops() {
    for (mbps, answers, answer_bytes) in [(14.0, 8, 300_000), (1.0, 4, 100_000)] {
        let fixture = Fixture::start(answer_bytes, RelaySpeed::of_mbps(mbps)).await;
        let bodies = join_all((0..answers).map(|_| fixture.call())).await;
        fixture.server.stop();
        let reading = join_all(bodies.into_iter().map(BodyExt::collect));
        let read = timeout(WAIT_MAX, reading).await.expect("the connection ends");
        let sizes = read.into_iter().map(|body| body.ok().map(|body| body.to_bytes().len()));
        assert_eq!(sizes.collect::<Vec<_>>(), vec![Some(answer_bytes); answers], "at {mbps} Mbit/s");
        timeout(WAIT_MAX, fixture.serving).await.expect("the server ends").expect("no panic");
    }
}

/// Guards against stops that wait until their time limit for a node that is paused while it reads an answer.
#[tokio::test]
async fn a_stopping_server_does_not_wait_for_a_node_that_is_paused_in_an_answer() {
    let speed = RelaySpeed { freezes_after_bytes: 60_000, ..RelaySpeed::of_mbps(1_000.0) };
    let fixture = Fixture::start(300_000, speed).await;
    let _body = fixture.call().await;
    fixture.server.stop();
    timeout(Duration::from_secs(6), fixture.serving).await.expect("the server ends").expect("no panic");
}

/// Guards against connections that never end because the other side sends without a pause.
#[tokio::test]
async fn a_shutdown_ends_although_the_other_side_sends_on() {
    let (listener, address) = listen().await;
    let sending = tokio::spawn(async move {
        let mut other = TcpStream::connect(address).await.expect("it listens");
        while other.write_all(&[7; 16 * 1024]).await.is_ok() {}
    });
    let (connection, _) = listener.accept().await.expect("a connection");
    let mut connection = LingeringStream::new(connection, Duration::from_millis(500));
    let shutdown = timeout(2 * LINGER_MAX, connection.shutdown()).await;
    assert!(shutdown.is_ok(), "the shutdown takes longer than {:?}", 2 * LINGER_MAX);
    drop(connection);
    sending.await.expect("no panic");
}

/// Guards against stops that wait for the confirmation of a node that is lost, whose connection stays open.
#[tokio::test]
async fn a_stopping_server_does_not_wait_for_a_silent_node() {
    let (listener, address) = listen().await;
    let server = PeerServer::new(Arc::new(AnsweringGuard { answer_bytes: 0 }), Arc::default());
    let serving = tokio::spawn(server.clone().serve(listener));
    let stream = TcpStream::connect(address).await.expect("the server listens");
    let (_sender, mut connection) = h2::client::handshake(stream).await.expect("a handshake");
    // The node answers nothing after this.
    assert!(timeout(Duration::from_millis(200), &mut connection).await.is_err(), "the connection stays open");
    server.stop();
    timeout(Duration::from_secs(5), serving).await.expect("the server ends").expect("no panic");
}
