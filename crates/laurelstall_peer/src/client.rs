//! Sends requests to other nodes.

use crate::{
    answer_body::{AnswerResources, SendingTask},
    attempt::{Attempt, AttemptAnswer, AttemptBody, AttemptOutcome, UnknownCause},
    awaited_answer::{AwaitedAnswer, stream_failure},
    body::{BodyError, BoxedBody, send_body, send_data},
    control_kind::ControlKind,
    frame::{ANSWER_BYTES_MAX, FrameError, FrameReader, HEAD_BYTES_MAX, encode},
    message::{AttemptHead, BodyKind, PeerAnswer, PeerRequest, PullItem, Transfer},
    meter::InFlight,
    pool::{ConnectError, PeerSender, Pool},
};
use bytes::Bytes;
use h2::{SendStream, client::ResponseFuture};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Uri};
use laurelstall_guard::refusal::{Refusal, RefusalReason};
use quick_error::quick_error;
use std::{net::SocketAddr, sync::Arc};
use tokio::{
    runtime::Handle,
    time::{Duration, Instant, sleep, timeout},
};

/// Time limit for a control message and its answer.
pub const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);

quick_error! {
    /// A control message that was not answered.
    #[derive(Debug)]
    pub enum PeerError {
        /// No connection could be opened.
        Connect(error: ConnectError) {
            display("{error}")
            source(error)
            from()
        }
        /// The stream failed.
        Stream(error: h2::Error) {
            display("{error}")
            source(error)
            from()
        }
        /// The answer could not be read.
        Frame(error: FrameError) {
            display("{error}")
            source(error)
            from()
        }
        /// No answer arrived in time.
        TimedOut {
            display("no answer in time")
        }
        /// The answer does not match the request.
        Unexpected {
            display("unexpected answer")
        }
    }
}

/// Sends requests to other nodes.
#[derive(Debug, Clone)]
pub struct PeerClient {
    pool: Arc<Pool>,
}

impl PeerClient {
    /// Creates a client that uses the connections of `pool`.
    pub fn new(pool: Arc<Pool>) -> Self {
        Self { pool }
    }

    /// Returns the connection pool.
    pub fn pool(&self) -> &Arc<Pool> {
        &self.pool
    }

    /// Sends a control message and returns its answer.
    ///
    /// # Errors
    ///
    /// [`PeerError`] if there is no valid answer in time.
    pub async fn request(&self, address: SocketAddr, request: &PeerRequest) -> Result<PeerAnswer, PeerError> {
        let answered =
            timeout(CONTROL_TIMEOUT, self.request_untimed(address, request, ANSWER_BYTES_MAX)).await;
        answered.map_err(|_| PeerError::TimedOut)?
    }

    /// Requests documents; the answer has at most `bytes_max` bytes and may lack some of them.
    ///
    /// # Errors
    ///
    /// [`PeerError`] if there is no valid answer in time.
    pub async fn pull(
        &self,
        address: SocketAddr,
        items: &[PullItem],
        bytes_max: usize,
    ) -> Result<Vec<Transfer>, PeerError> {
        let request = PeerRequest::Pull(items.to_vec());
        let answered = timeout(CONTROL_TIMEOUT, self.request_untimed(address, &request, bytes_max)).await;
        match answered.map_err(|_| PeerError::TimedOut)?? {
            PeerAnswer::Documents(transfers) => Ok(transfers),
            _ => Err(PeerError::Unexpected),
        }
    }

    /// Runs an attempt at another node's target.
    ///
    /// Dropping the future, or the body of the answer, cancels the attempt.
    pub async fn attempt(&self, address: SocketAddr, attempt: Attempt) -> AttemptAnswer {
        let Attempt { head, body } = attempt;
        let kind = head.body;
        let deadline = Instant::now() + Duration::from_micros(head.budget_us);
        let sender = match self.pool.sender(address).await {
            Ok(sender) => sender,
            Err(error) => {
                log::debug!("no connection to {address}: {error}");
                return not_sent(body);
            }
        };
        let resources = AnswerResources::new(sender.monitor(), deadline);
        let mut awaited = AwaitedAnswer::new(&head, resources, self.pool.meter().clone());
        let (mut response, mut stream) = match open(sender) {
            Ok(opened) => opened,
            Err(_) => return not_sent(body),
        };
        if kind == BodyKind::BufferedAfterAdmission {
            return attempt_buffered(head, body, response, stream, awaited).await;
        }
        let frame = encode(&PeerRequest::Attempt(head));
        let unsent = match send_head(frame, body, kind, &mut stream).await {
            Ok(unsent) => unsent,
            Err(answer) => return answer,
        };
        let mut reader = match (&mut response).await {
            Ok(response) => FrameReader::new(response.into_body()),
            Err(error) => return stream_failure(&error, unsent),
        };
        let answer = match (unsent, kind) {
            (Some(body), BodyKind::AfterAdmission) => match read_admission(&mut reader, body).await {
                Ok(body) => {
                    awaited.resources.set_sending(SendingTask::start(body, stream));
                    reader.read(HEAD_BYTES_MAX).await
                }
                Err((answer, body)) => {
                    let mut answer = awaited.read(answer, reader);
                    if matches!(answer.outcome, AttemptOutcome::NotRun(_)) {
                        answer.unread = Some(body);
                    }
                    return answer;
                }
            },
            _ => reader.read(HEAD_BYTES_MAX).await,
        };
        awaited.read(answer, reader)
    }

    async fn request_untimed(
        &self,
        address: SocketAddr,
        request: &PeerRequest,
        answer_bytes_max: usize,
    ) -> Result<PeerAnswer, PeerError> {
        let sender = self.pool.sender(address).await?;
        let monitor = RequestMonitor::new(sender.monitor());
        let (response, mut stream) = open(sender)?;
        let kind = ControlKind::of(request);
        let frame = encode(request);
        self.pool.meter().note_control(kind, frame.len());
        stream.send_data(frame, true)?;
        let response = response.await?;
        let mut reader = FrameReader::new(response.into_body());
        let answer = reader.read(answer_bytes_max).await?;
        self.pool.meter().note_control(kind, encoded_length(&answer));
        monitor.end();
        Ok(answer)
    }
}

/// How long a connection stays monitored after a request on it was abandoned: longer than the detection of
/// a dead connection takes.
const ABANDONED_MONITOR_TIME: Duration = Duration::from_secs(1);

/// Monitors a connection while a request waits for its answer, and for a while longer if none arrives.
///
/// A request may time out before the monitor can tell a dead connection from a slow node. Without the
/// additional time the dead connection would be used again.
struct RequestMonitor(Option<InFlight>);

impl RequestMonitor {
    fn new(in_flight: InFlight) -> Self {
        Self(Some(in_flight))
    }

    /// Ends the monitoring, since the answer has arrived.
    fn end(mut self) {
        self.0 = None;
    }
}

impl Drop for RequestMonitor {
    fn drop(&mut self) {
        let (Some(in_flight), Ok(runtime)) = (self.0.take(), Handle::try_current()) else { return };
        runtime.spawn(async move {
            sleep(ABANDONED_MONITOR_TIME).await;
            drop(in_flight);
        });
    }
}

fn encoded_length(answer: &PeerAnswer) -> usize {
    encode(answer).len()
}

fn open(mut sender: PeerSender) -> Result<(ResponseFuture, SendStream<Bytes>), h2::Error> {
    let mut request = Request::new(());
    *request.method_mut() = Method::POST;
    *request.uri_mut() = Uri::from_static("http://n/");
    sender.stream.send_request(request, false)
}

/// Runs an attempt whose guard buffers the body first: until the whole body is sent, nothing can have run.
async fn attempt_buffered(
    head: AttemptHead,
    body: AttemptBody,
    response: ResponseFuture,
    mut stream: SendStream<Bytes>,
    awaited: AwaitedAnswer,
) -> AttemptAnswer {
    let budget = Duration::from_micros(head.budget_us);
    let frame = encode(&PeerRequest::Attempt(head));
    let answered = timeout(budget, request_slot(frame, response, &mut stream)).await;
    let mut reader = match answered {
        Ok(Ok((PeerAnswer::Admitted, reader))) => reader,
        Ok(Ok((answer, reader))) => return awaited.read(Ok(answer), reader),
        Ok(Err(_)) => return not_run(RefusalReason::NoConnection),
        // Dropping the stream cancels the call at the guard, which has not received the body.
        Err(_) => return not_run(RefusalReason::Deadline),
    };
    if send_attempt_body(body, &mut stream).await.is_err() {
        return AttemptAnswer::new(AttemptOutcome::Unknown(UnknownCause::AnswerLost("stream broke")));
    }
    let answer = reader.read(HEAD_BYTES_MAX).await;
    awaited.read(answer, reader)
}

/// Sends the body of an attempt and ends the stream.
async fn send_attempt_body(body: AttemptBody, stream: &mut SendStream<Bytes>) -> Result<(), BodyError> {
    match body {
        AttemptBody::Whole(bytes) => {
            if !bytes.is_empty() {
                send_data(bytes, stream).await?;
            }
            stream.send_data(Bytes::new(), true).map_err(BodyError::from)
        }
        AttemptBody::Stream(body) => send_body(body, stream).await,
    }
}

async fn request_slot(
    frame: Bytes,
    response: ResponseFuture,
    stream: &mut SendStream<Bytes>,
) -> Result<(PeerAnswer, FrameReader), BodyError> {
    send_data(frame, stream).await?;
    let mut reader = FrameReader::new(response.await?.into_body());
    let answer = reader.read(HEAD_BYTES_MAX).await?;
    Ok((answer, reader))
}

fn not_run(reason: RefusalReason) -> AttemptAnswer {
    AttemptAnswer::new(AttemptOutcome::NotRun(Refusal::new(reason)))
}

fn not_sent(body: AttemptBody) -> AttemptAnswer {
    let refusal = Refusal::new(RefusalReason::NoConnection);
    let mut answer = AttemptAnswer::new(AttemptOutcome::NotRun(refusal));
    if let AttemptBody::Stream(body) = body {
        answer.unread = Some(body);
    }
    answer
}

/// Sends the head, and the body unless it must wait for admission; returns a body that waits.
async fn send_head(
    frame: Bytes,
    body: AttemptBody,
    kind: BodyKind,
    stream: &mut SendStream<Bytes>,
) -> Result<Option<BoxedBody>, AttemptAnswer> {
    let lost =
        |_: BodyError| AttemptAnswer::new(AttemptOutcome::Unknown(UnknownCause::AnswerLost("stream broke")));
    match body {
        AttemptBody::Whole(bytes) => {
            if bytes.is_empty() {
                stream.send_data(frame, true).map_err(|error| lost(error.into()))?;
                return Ok(None);
            }
            send_data(frame, stream).await.map_err(lost)?;
            send_attempt_body(AttemptBody::Whole(bytes), stream).await.map_err(lost)?;
            Ok(None)
        }
        // A whole body that is paced.
        AttemptBody::Stream(body) if kind == BodyKind::AtOnce => {
            send_data(frame, stream).await.map_err(lost)?;
            send_body(body, stream).await.map_err(lost)?;
            Ok(None)
        }
        AttemptBody::Stream(body) => {
            debug_assert_eq!(kind, BodyKind::AfterAdmission);
            send_data(frame, stream).await.map_err(lost)?;
            Ok(Some(body))
        }
    }
}

/// Waits for admission; returns the body together with any other answer.
async fn read_admission(
    reader: &mut FrameReader,
    body: BoxedBody,
) -> Result<BoxedBody, (Result<PeerAnswer, FrameError>, BoxedBody)> {
    match reader.read(HEAD_BYTES_MAX).await {
        Ok(PeerAnswer::Admitted) => Ok(body),
        other => Err((other, body)),
    }
}

/// Converts headers to their wire format.
pub fn headers_to_wire(headers: &HeaderMap) -> Vec<(String, Vec<u8>)> {
    let pair =
        |(name, value): (&HeaderName, &HeaderValue)| (name.as_str().to_owned(), value.as_bytes().to_vec());
    headers.iter().map(pair).collect()
}

/// Converts headers from their wire format; `None` if one of them is invalid.
pub fn headers_from_wire(pairs: &[(String, Vec<u8>)]) -> Option<HeaderMap> {
    let mut headers = HeaderMap::with_capacity(pairs.len());
    for (name, value) in pairs {
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_bytes(value).ok()?);
    }
    Some(headers)
}
