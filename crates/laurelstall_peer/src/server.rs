//! Answers the requests of other nodes.

use crate::{
    attempt::{Admission, Attempt, AttemptAnswer, AttemptBody, AttemptHandler, AttemptOutcome},
    body::{BodyError, StreamBody, send_body},
    client::headers_to_wire,
    control_kind::ControlKind,
    frame::{FrameError, FrameReader, HEAD_BYTES_MAX, encode},
    lingering_stream::LingeringStream,
    liveness::monitor_while_stopping,
    message::{AttemptHead, BodyKind, PeerAnswer, PeerRequest, WireHint},
    meter::{Meter, MeteredStream},
    pool::{CONNECTION_WINDOW_BYTES, STREAM_WINDOW_BYTES},
};
use bytes::Bytes;
use futures_util::future::BoxFuture;
use h2::{
    RecvStream, SendStream,
    server::{self, SendResponse},
};
use http::{Request, Response};
use http_body_util::BodyExt;
use laurelstall_guard::refusal::{Refusal, RefusalReason};
use std::{
    fmt,
    future::poll_fn,
    net::{IpAddr, SocketAddr},
    pin::pin,
    sync::{Arc, atomic::Ordering},
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Semaphore, oneshot, watch},
    task::JoinSet,
    time::{Duration, timeout},
};

/// Maximum number of connections from other nodes.
pub const CONNECTIONS_MAX: usize = 1_200;
/// Maximum number of concurrent streams per connection.
pub const STREAMS_MAX: u32 = 1_000;
/// Time limit for a handshake, for the head of a stream, and for a body that is sent at once.
pub const RECEIVE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time without a byte from the other node after which its end of a closing connection is no longer awaited. A node that
/// reads the last answers at 1 Mbit/s sends a window update each second.
const CLOSE_SILENCE_MAX: Duration = Duration::from_secs(2);
/// Processes the requests of other nodes.
pub trait PeerHandler: Send + Sync + fmt::Debug {
    /// Returns the guard that runs attempts.
    fn attempts(&self) -> &dyn AttemptHandler;

    /// Whether this IP address belongs to the fleet.
    fn is_member(&self, ip: IpAddr) -> bool;

    /// Answers any request but an attempt.
    fn answer(&self, from: IpAddr, request: PeerRequest) -> BoxFuture<'_, PeerAnswer>;
}

/// Server for the requests of other nodes.
#[derive(Debug)]
pub struct PeerServer {
    handler: Arc<dyn PeerHandler>,
    meter: Arc<Meter>,
    connections: Arc<Semaphore>,
    stopping: watch::Sender<bool>,
}

impl PeerServer {
    /// Creates a server that passes requests to `handler`.
    pub fn new(handler: Arc<dyn PeerHandler>, meter: Arc<Meter>) -> Arc<Self> {
        let (stopping, _) = watch::channel(false);
        Arc::new(Self { handler, meter, connections: Arc::new(Semaphore::new(CONNECTIONS_MAX)), stopping })
    }

    /// Accepts connections until [`stop`](Self::stop) is called, and returns when the last one has ended.
    ///
    /// Dropping the future closes all connections at once.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        let mut stopping = self.stopping.subscribe();
        let mut serving = JoinSet::new();
        loop {
            while serving.try_join_next().is_some() {}
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = stopping.wait_for(|is_stopping| *is_stopping) => break,
            };
            let Ok((stream, from)) = accepted else {
                // Out of file descriptors, or the connection was aborted.
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            };
            if !self.handler.is_member(from.ip()) {
                continue;
            }
            let Ok(permit) = self.connections.clone().try_acquire_owned() else { continue };
            let this = self.clone();
            serving.spawn(async move {
                let _permit = permit;
                if let Err(error) = this.serve_connection(stream, from).await {
                    log::debug!("connection from {from} failed: {error}");
                }
            });
        }
        drop(listener);
        while serving.join_next().await.is_some() {}
    }

    /// Stops accepting connections and streams. Running streams continue, and [`serve`](Self::serve) returns once their
    /// answers are sent.
    pub fn stop(&self) {
        self.stopping.send_replace(true);
    }

    async fn serve_connection(self: Arc<Self>, stream: TcpStream, from: SocketAddr) -> Result<(), h2::Error> {
        // Without this option, small answers wait for acknowledgements.
        let _ = stream.set_nodelay(true);
        let stream = MeteredStream::new(stream, self.meter.clone());
        let activity = stream.activity();
        let mut builder = server::Builder::new();
        builder.initial_window_size(STREAM_WINDOW_BYTES);
        builder.initial_connection_window_size(CONNECTION_WINDOW_BYTES);
        builder.max_concurrent_streams(STREAMS_MAX);
        let Ok(connection) =
            timeout(RECEIVE_TIMEOUT, builder.handshake(LingeringStream::new(stream, CLOSE_SILENCE_MAX)))
                .await
        else {
            return Ok(());
        };
        let mut connection = connection?;
        let mut lost = pin!(monitor_while_stopping(connection.ping_pong(), &activity));
        let mut stopping = self.stopping.subscribe();
        let mut is_stopping = false;
        let mut streams = JoinSet::new();
        loop {
            while streams.try_join_next().is_some() {}
            let accepted = tokio::select! {
                accepted = connection.accept() => accepted,
                () = &mut lost, if is_stopping => {
                    log::info!("node at {from}: lost while this node stops");
                    return Ok(());
                }
                _ = stopping.wait_for(|is_stopping| *is_stopping), if !is_stopping => {
                    is_stopping = true;
                    connection.graceful_shutdown();
                    continue;
                }
            };
            let Some(accepted) = accepted else { return Ok(()) };
            let (request, respond) = accepted?;
            let this = self.clone();
            let unanswered = self.meter.unanswered.enter();
            streams.spawn(async move {
                let _unanswered = unanswered;
                if let Err(error) = this.serve_stream(request, respond, from).await {
                    log::debug!("stream from {from} failed: {error}");
                }
            });
        }
    }

    async fn serve_stream(
        &self,
        request: Request<RecvStream>,
        mut respond: SendResponse<Bytes>,
        from: SocketAddr,
    ) -> Result<(), BodyError> {
        let mut reader = FrameReader::new(request.into_body());
        let head = timeout(RECEIVE_TIMEOUT, reader.read::<PeerRequest>(HEAD_BYTES_MAX)).await;
        let head = match head {
            Ok(Ok(head)) => head,
            Ok(Err(FrameError::Stream(error))) => return Err(error.into()),
            Ok(Err(error)) => {
                log::debug!("unreadable message from {from}: {error}");
                self.meter.unreadable.fetch_add(1, Ordering::Relaxed);
                return refuse(&mut respond, RefusalReason::Unreadable);
            }
            Err(_) => return refuse(&mut respond, RefusalReason::Unreadable),
        };
        match head {
            PeerRequest::Attempt(head) => self.serve_attempt(head, reader, respond).await,
            other => {
                let kind = ControlKind::of(&other);
                self.meter.note_control(kind, encode(&other).len());
                let answer = encode(&self.handler.answer(from.ip(), other).await);
                self.meter.note_control(kind, answer.len());
                let mut stream = respond.send_response(Response::new(()), false)?;
                crate::body::send_data(answer, &mut stream).await?;
                stream.send_data(Bytes::new(), true)?;
                Ok(())
            }
        }
    }

    async fn serve_attempt(
        &self,
        head: AttemptHead,
        reader: FrameReader,
        mut respond: SendResponse<Bytes>,
    ) -> Result<(), BodyError> {
        let call_id = head.call_id;
        let is_streamed = matches!(head.body, BodyKind::AfterAdmission | BodyKind::BufferedAfterAdmission);
        let body = match read_body(head.body, reader).await {
            Ok(body) => body,
            // The body ended early, so the target has received nothing.
            Err(error) => return Err(error),
        };
        let (granted, admitted) = oneshot::channel();
        let admission = if is_streamed { Admission::new(granted) } else { Admission::default() };
        let running = self.handler.attempts().attempt(Attempt { head, body }, admission);
        if is_streamed {
            let mut stream = respond.send_response(Response::new(()), false)?;
            let answer = run_streamed(running, admitted, &mut stream).await?;
            return send_answer(answer, call_id, &mut stream).await;
        }
        let answer = tokio::select! {
            answer = running => answer,
            reason = poll_fn(|cx| respond.poll_reset(cx)) => {
                return Err(format!("cancelled by the entry node: {reason:?}").into());
            }
        };
        let mut stream = respond.send_response(Response::new(()), false)?;
        send_answer(answer, call_id, &mut stream).await
    }
}

async fn run_streamed(
    running: BoxFuture<'_, AttemptAnswer>,
    mut admitted: oneshot::Receiver<()>,
    stream: &mut SendStream<Bytes>,
) -> Result<AttemptAnswer, BodyError> {
    let mut running = running;
    let mut is_waiting = true;
    loop {
        tokio::select! {
            biased;
            granted = &mut admitted, if is_waiting => {
                is_waiting = false;
                if granted.is_ok() {
                    stream.send_data(encode(&PeerAnswer::Admitted), false)?;
                }
            }
            answer = &mut running => return Ok(answer),
            reason = poll_fn(|cx| stream.poll_reset(cx)) => {
                return Err(format!("cancelled by the entry node: {reason:?}").into());
            }
        }
    }
}

async fn read_body(kind: BodyKind, reader: FrameReader) -> Result<AttemptBody, BodyError> {
    let (first, stream) = reader.into_rest();
    match kind {
        BodyKind::Empty => Ok(AttemptBody::Whole(Bytes::new())),
        BodyKind::AtOnce => {
            let body = timeout(RECEIVE_TIMEOUT, StreamBody::new(first, stream).collect()).await;
            Ok(AttemptBody::Whole(body??.to_bytes()))
        }
        BodyKind::AfterAdmission | BodyKind::BufferedAfterAdmission => {
            Ok(AttemptBody::Stream(StreamBody::new(first, stream).boxed_unsync()))
        }
    }
}

async fn send_answer(
    answer: AttemptAnswer,
    call_id: u64,
    stream: &mut SendStream<Bytes>,
) -> Result<(), BodyError> {
    let hint = answer.hint.map(WireHint::from);
    match answer.outcome {
        AttemptOutcome::Answered { status, headers, body } => {
            let headers = headers_to_wire(&headers);
            let head = PeerAnswer::Answered { call_id, status: status.as_u16(), headers, hint };
            crate::body::send_data(encode(&head), stream).await?;
            send_body(body, stream).await
        }
        AttemptOutcome::NotRun(refusal) => {
            let head = PeerAnswer::NotRun { call_id, refusal, hint };
            stream.send_data(encode(&head), true).map_err(BodyError::from)
        }
        AttemptOutcome::Unknown(_) => {
            let head = PeerAnswer::Unknown { call_id, ended: answer.crash_report, hint };
            stream.send_data(encode(&head), true).map_err(BodyError::from)
        }
    }
}

fn refuse(respond: &mut SendResponse<Bytes>, reason: RefusalReason) -> Result<(), BodyError> {
    let mut stream = respond.send_response(Response::new(()), false)?;
    let answer = PeerAnswer::Refused(Refusal::new(reason));
    stream.send_data(encode(&answer), true)?;
    Ok(())
}
