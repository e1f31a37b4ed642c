//! Connections on which the answers to pings are delayed by other data.

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
    body::BodyError,
    client::PeerClient,
    link::OpenLink,
    message::{PeerAnswer, PeerRequest},
    meter::Meter,
    pool::Pool,
    server::{PeerHandler, PeerServer},
};
use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
};
use support::attempts::attempt_head;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, copy},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    time::{Duration, sleep},
};

/// Pause between two pieces of an answer: longer than the silence before a ping, and far shorter than its
/// timeout.
const PIECE_PAUSE: Duration = Duration::from_millis(350);
/// Enough pieces for a whole pause to fall between two checks of the connection.
const PIECES: usize = 14;
/// Type of a ping frame, and the flag of its answer (RFC 9113, 6.7).
const PING_FRAME: u8 = 6;
const ACK_FLAG: u8 = 1;
/// Length of a frame header in bytes.
const FRAME_HEADER_BYTES: usize = 9;

/// A guard that sends its answers in small pieces.
#[derive(Debug)]
struct SlowGuard;

impl AttemptHandler for SlowGuard {
    fn attempt(&self, _attempt: Attempt, _admission: Admission) -> BoxFuture<'_, AttemptAnswer> {
        async {
            let pieces = unfold(0, |count| async move {
                sleep(PIECE_PAUSE).await;
                let frame = Ok::<_, BodyError>(Frame::data(Bytes::from_static(b"x")));
                (count < PIECES).then_some((frame, count + 1))
            });
            let body = StreamBody::new(pieces).boxed_unsync();
            let (status, headers) = (StatusCode::OK, HeaderMap::new());
            AttemptAnswer::new(AttemptOutcome::Answered { status, headers, body })
        }
        .boxed()
    }
}

impl PeerHandler for SlowGuard {
    fn attempts(&self) -> &dyn AttemptHandler {
        self
    }

    fn is_member(&self, _ip: IpAddr) -> bool {
        true
    }

    fn answer(&self, _from: IpAddr, _request: PeerRequest) -> BoxFuture<'_, PeerAnswer> {
        async { PeerAnswer::Noted }.boxed()
    }
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback has a free port");
    let address = listener.local_addr().expect("it listens");
    (listener, address)
}

/// Forwards all frames but the answers to pings.
async fn forward_without_pongs(mut from: OwnedReadHalf, mut to: OwnedWriteHalf) -> std::io::Result<()> {
    loop {
        let mut head = [0; FRAME_HEADER_BYTES];
        from.read_exact(&mut head).await?;
        let length = u32::from_be_bytes([0, head[0], head[1], head[2]]) as usize;
        let mut payload = vec![0; length];
        from.read_exact(&mut payload).await?;
        if head[3] == PING_FRAME && head[4] & ACK_FLAG != 0 {
            continue;
        }
        to.write_all(&[&head, payload.as_slice()].concat()).await?;
    }
}

/// Starts a proxy to `node` that drops the answers to pings, and returns its address.
async fn proxy_without_pongs(node: SocketAddr) -> SocketAddr {
    let (listener, address) = listen().await;
    tokio::spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            let server = TcpStream::connect(node).await.expect("it listens");
            let (client_read, client_write) = client.into_split();
            let (server_read, server_write) = server.into_split();
            tokio::spawn(async move {
                let (mut client_read, mut server_write) = (client_read, server_write);
                // Each direction ends with its connection.
                let _ = copy(&mut client_read, &mut server_write).await;
            });
            tokio::spawn(forward_without_pongs(server_read, client_write));
        }
    });
    address
}

fn attempt() -> Attempt {
    let head = attempt_head(Duration::from_secs(20));
    Attempt { head, body: AttemptBody::Whole(Bytes::new()) }
}

#[tokio::test]
async fn an_answer_in_progress_is_not_cut_for_an_unanswered_ping() {
    let (listener, node) = listen().await;
    let server = PeerServer::new(Arc::new(SlowGuard), Arc::new(Meter::default()));
    tokio::spawn(server.serve(listener));
    let proxy = proxy_without_pongs(node).await;
    let pool = Pool::new(Clock::new(), Arc::new(Meter::default()), Arc::new(OpenLink));
    let client = PeerClient::new(Arc::new(pool));
    let answer = client.attempt(proxy, attempt()).await;
    let AttemptOutcome::Answered { body, .. } = answer.outcome else { panic!("{:?}", answer.outcome) };
    let whole = body.collect().await.map(|body| body.to_bytes().len());
    assert_eq!(whole.map_err(|error| error.to_string()), Ok(PIECES));
}
