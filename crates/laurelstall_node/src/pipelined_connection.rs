//! Callers' connections with HTTP/1.1 pipelining.
//!
//! A caller may send further requests before earlier ones are answered, and expects the answers in the order of the
//! requests. Requests without a body that are safe to repeat run concurrently; each answer waits for its turn in a bounded
//! buffer. Anything else (bodies, upgrades, HTTP/2, malformed heads) is passed on unchanged to hyper, which serves the rest
//! of the connection one request at a time after all earlier requests are answered.

use crate::{
    body::WatchedBody,
    caller_limits::ActiveCallerLimits,
    http_builder::builder,
    request_head::{ReadHead, read_head},
    responder::Responder,
    write_timeout_stream::WriteTimeoutStream,
};
use bytes::{Bytes, BytesMut};
use http::{HeaderMap, HeaderValue, Request, header::CONNECTION};
use http_body_util::BodyExt;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use laurelstall_peer::{
    body::BodyError,
    gauge::{Gauge, InProgress},
    lingering_stream::LingeringStream,
};
use std::{
    convert::Infallible,
    io::{self, Cursor},
    pin::pin,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, DuplexStream, ReadHalf, WriteHalf, copy, duplex, join, split},
    sync::{OwnedSemaphorePermit, Semaphore, mpsc, watch},
    task::JoinSet,
    time::{Duration, timeout},
};

/// Maximum number of concurrent requests of a connection. More are read when the first of them is answered.
const REQUESTS_MAX: usize = 16;
/// Buffer of an answer that waits for its turn, in bytes. With [`REQUESTS_MAX`], a connection buffers at most 512 KiB.
const BUFFERED_BYTES_MAX: usize = 32 * 1024;
/// A connection of a caller.
pub type CallerStream = LingeringStream<WriteTimeoutStream>;

/// Options for serving a connection.
#[derive(Debug, Clone)]
pub struct ConnectionOptions {
    /// Answers the requests.
    pub responder: Arc<dyn Responder>,
    /// Limits on callers.
    pub limits: Arc<ActiveCallerLimits>,
    /// Counts the requests that are not answered yet.
    pub unanswered: Arc<Gauge>,
    /// Becomes true when the node stops and no new requests are to be read.
    pub stopping: watch::Receiver<bool>,
}

/// Reason why reading requests ended.
enum ReadEnd {
    /// The caller closed the connection, or was idle for too long.
    CallerGone,
    /// The node stops, or an answer closes the connection.
    Closing,
    /// Hyper serves the rest of the connection, which starts with these bytes.
    HandOver(BytesMut),
}

/// Reason why writing answers ended.
enum WriteEnd {
    /// All answers are written.
    Written,
    /// The last written answer closes the connection.
    Closed,
}

/// An answer that waits to be written.
struct PendingAnswer {
    output: DuplexStream,
    state: Arc<AnswerState>,
    /// One of [`REQUESTS_MAX`] permits, held until the answer is written.
    _permit: OwnedSemaphorePermit,
    _unanswered: InProgress,
}

#[derive(Debug, Default)]
struct AnswerState {
    /// Whether the whole answer was written to the buffer.
    is_complete: AtomicBool,
    /// Whether the answer closes the connection.
    closes: AtomicBool,
}

/// Counts the requests of a connection, and records when an answer closes it.
#[derive(Debug, Default)]
struct RequestTracker {
    state: Mutex<TrackerState>,
}

#[derive(Debug, Default)]
struct TrackerState {
    /// Number of requests read.
    read: u64,
    /// Whether an answer closes the connection, so that no more requests are read.
    is_closing: bool,
}

impl RequestTracker {
    /// Counts a request and returns its number. Returns `None` when an earlier answer closes the connection.
    fn register(&self) -> Option<u64> {
        let mut state = self.lock();
        if state.is_closing {
            return None;
        }
        state.read += 1;
        Some(state.read)
    }

    /// Returns whether the answer to a request may close the connection, which is when no later request was read.
    fn may_close(&self, number: u64) -> bool {
        let mut state = self.lock();
        let is_last = state.read == number;
        state.is_closing |= is_last;
        is_last
    }

    fn lock(&self) -> MutexGuard<'_, TrackerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Serves a caller's connection until it ends.
///
/// # Errors
///
/// Returns the I/O error that ended the connection.
pub async fn serve_pipelined(stream: CallerStream, options: ConnectionOptions) -> io::Result<()> {
    let (mut input, mut output) = split(stream);
    let (answer_sender, answer_receiver) = mpsc::channel(REQUESTS_MAX);
    let mut running = JoinSet::new();
    let requests = Arc::<RequestTracker>::default();
    let remaining = {
        let mut writing = pin!(write_answers(answer_receiver, &mut output));
        let mut reading = pin!(read_requests(&mut input, answer_sender, &mut running, &requests, &options));
        let read = tokio::select! {
            biased;
            written = &mut writing => {
                written?;
                None
            }
            read = &mut reading => Some(read?),
        };
        match read {
            // Dropping the tasks cancels the requests of a caller that closed the connection.
            Some(ReadEnd::CallerGone) => return Ok(()),
            Some(ReadEnd::HandOver(bytes)) => match writing.await? {
                WriteEnd::Written => Some(bytes),
                WriteEnd::Closed => None,
            },
            Some(ReadEnd::Closing) => {
                writing.await?;
                None
            }
            None => None,
        }
    };
    // Requests after an answer that closes the connection are discarded.
    running.abort_all();
    match remaining {
        Some(bytes) => serve_with_hyper(bytes, input, output, options).await,
        None => output.shutdown().await,
    }
}

/// Reads requests and starts them, after all earlier ones where they may not run concurrently.
async fn read_requests(
    input: &mut ReadHalf<CallerStream>,
    answer_sender: mpsc::Sender<PendingAnswer>,
    running: &mut JoinSet<()>,
    requests: &Arc<RequestTracker>,
    options: &ConnectionOptions,
) -> io::Result<ReadEnd> {
    let mut stopping = options.stopping.clone();
    let permits = Arc::new(Semaphore::new(REQUESTS_MAX));
    let mut buffer = BytesMut::new();
    loop {
        while running.try_join_next().is_some() {}
        let limits = options.limits.current();
        let head_timeout = Duration::from_millis(limits.head_timeout_ms);
        let read = tokio::select! {
            biased;
            // A request that was read in part is read to its end.
            () = wait_for_stop(&mut stopping), if buffer.is_empty() => return Ok(ReadEnd::Closing),
            read = timeout(head_timeout, read_head(input, &mut buffer, limits.head_bytes)) => read,
        };
        let head = match read {
            Err(_) if permits.available_permits() == REQUESTS_MAX => return Ok(ReadEnd::CallerGone),
            // The caller may still be reading answers.
            Err(_) => continue,
            Ok(head) => head?,
        };
        let (bytes, parts) = match head {
            ReadHead::Plain { bytes, parts } => (bytes, parts),
            ReadHead::Closed => return Ok(ReadEnd::CallerGone),
            ReadHead::Other => return Ok(ReadEnd::HandOver(buffer)),
        };
        if !options.responder.may_run_concurrently(&parts) {
            // All permits are available once all earlier answers are written.
            let _all_permits = permits.acquire_many(REQUESTS_MAX as u32).await.map_err(io::Error::other)?;
        }
        let permit = permits.clone().acquire_owned().await.map_err(io::Error::other)?;
        let Some(number) = requests.register() else { return Ok(ReadEnd::Closing) };
        let (output, answer_output) = duplex(BUFFERED_BYTES_MAX);
        let state = Arc::<AnswerState>::default();
        let pipelined = PipelinedRequest { bytes, number, requests: requests.clone(), state: state.clone() };
        running.spawn(serve_one(pipelined, answer_output, options.responder.clone(), limits.head_bytes));
        let unanswered = options.unanswered.enter();
        let pending = PendingAnswer { output, state, _permit: permit, _unanswered: unanswered };
        if answer_sender.send(pending).await.is_err() {
            return Ok(ReadEnd::Closing);
        }
    }
}

/// Waits until the node stops.
async fn wait_for_stop(stopping: &mut watch::Receiver<bool>) {
    // An error means that the sender was dropped, and so that the node has ended.
    let _ = stopping.wait_for(|is_stopping| *is_stopping).await;
}

/// A running request.
struct PipelinedRequest {
    bytes: Bytes,
    number: u64,
    requests: Arc<RequestTracker>,
    state: Arc<AnswerState>,
}

/// Lets hyper parse a single request and write its answer.
async fn serve_one(
    pipelined: PipelinedRequest,
    answer_output: DuplexStream,
    responder: Arc<dyn Responder>,
    head_bytes: usize,
) {
    let PipelinedRequest { bytes, number, requests, state } = pipelined;
    let closing = state.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let (responder, requests, closing) = (responder.clone(), requests.clone(), closing.clone());
        async move {
            let request = request.map(|body| body.map_err(BodyError::from).boxed_unsync());
            let mut response = responder.respond(request).await;
            if is_closing(response.headers()) {
                if requests.may_close(number) {
                    closing.closes.store(true, Ordering::Relaxed);
                } else {
                    response.headers_mut().remove(CONNECTION);
                }
            }
            Ok::<_, Infallible>(response)
        }
    });
    let mut builder = http1::Builder::new();
    // The input ends after this request.
    builder.half_close(true).timer(TokioTimer::new()).max_buf_size(head_bytes);
    let io = TokioIo::new(join(Cursor::new(bytes), answer_output));
    match builder.serve_connection(io, service).await {
        Ok(()) => state.is_complete.store(true, Ordering::Relaxed),
        Err(error) => log::debug!("an answer to a caller ended early: {error}"),
    }
}

fn is_closing(headers: &HeaderMap) -> bool {
    let is_close = |value: &HeaderValue| value.as_bytes().eq_ignore_ascii_case(b"close");
    headers.get_all(CONNECTION).iter().any(is_close)
}

/// Writes answers in the order of their requests.
async fn write_answers(
    mut answer_receiver: mpsc::Receiver<PendingAnswer>,
    output: &mut WriteHalf<CallerStream>,
) -> io::Result<WriteEnd> {
    loop {
        let Some(mut pending) = answer_receiver.recv().await else { return Ok(WriteEnd::Written) };
        copy(&mut pending.output, output).await?;
        output.flush().await?;
        if !pending.state.is_complete.load(Ordering::Relaxed) {
            return Err(io::Error::new(io::ErrorKind::UnexpectedEof, "an answer ended early"));
        }
        if pending.state.closes.load(Ordering::Relaxed) {
            return Ok(WriteEnd::Closed);
        }
    }
}

/// Lets hyper serve the rest of a connection.
async fn serve_with_hyper(
    bytes: BytesMut,
    input: ReadHalf<CallerStream>,
    output: WriteHalf<CallerStream>,
    options: ConnectionOptions,
) -> io::Result<()> {
    let ConnectionOptions { responder, limits, unanswered, mut stopping } = options;
    let service = service_fn(move |request: Request<Incoming>| {
        let (responder, unanswered) = (responder.clone(), unanswered.enter());
        async move {
            let request = request.map(|body| body.map_err(BodyError::from).boxed_unsync());
            let response = responder.respond(request).await;
            Ok::<_, Infallible>(response.map(|body| WatchedBody::new(body, move |_| drop(unanswered))))
        }
    });
    let io = TokioIo::new(join(Cursor::new(bytes).chain(input), output));
    let builder = builder(&limits.current());
    let mut connection = pin!(builder.serve_connection(io, service));
    let served = tokio::select! {
        served = connection.as_mut() => Some(served),
        () = wait_for_stop(&mut stopping) => None,
    };
    let served = match served {
        Some(served) => served,
        None => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    served.map_err(io::Error::other)
}
