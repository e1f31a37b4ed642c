//! The body of an answer from another node.

use crate::{
    body::{BodyError, BoxedBody, StreamBody, send_body},
    meter::InFlight,
};
use bytes::Bytes;
use h2::SendStream;
use http_body::{Body, Frame};
use std::{
    future::Future,
    pin::Pin,
    task::{Context, Poll, ready},
};
use tokio::{
    task::JoinHandle,
    time::{Duration, Instant, Sleep, sleep_until},
};

/// Time without data from the other node after which an answer past its deadline ends. A node that is alive answers a ping
/// within this time, so that neither its pacing nor the slowness of its target ends an answer here.
const LATE_SILENCE_MAX: Duration = Duration::from_millis(400);

/// The task that sends a request body; aborted when dropped.
pub(crate) struct SendingTask(JoinHandle<()>);

impl SendingTask {
    /// Starts to send a body.
    pub(crate) fn start(body: BoxedBody, mut stream: SendStream<Bytes>) -> Self {
        Self(tokio::spawn(async move {
            if let Err(error) = send_body(body, &mut stream).await {
                log::debug!("sending a request body failed: {error}");
            }
        }))
    }
}

impl Drop for SendingTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Resources that live until the answer is complete or abandoned.
pub(crate) struct AnswerResources {
    sending: Option<SendingTask>,
    in_flight: InFlight,
    deadline: Instant,
}

impl AnswerResources {
    /// Creates the resources of the answer to a call with this deadline.
    pub(crate) fn new(in_flight: InFlight, deadline: Instant) -> Self {
        Self { sending: None, in_flight, deadline }
    }

    /// Keeps the task that sends the request's body.
    pub(crate) fn set_sending(&mut self, sending: SendingTask) {
        self.sending = Some(sending);
    }
}

/// Body of an answer that holds its resources until it is read or dropped, and fails when the other node falls silent past
/// the deadline.
pub(crate) struct AnswerBody {
    inner: StreamBody,
    resources: AnswerResources,
    /// Runs while the body waits for data.
    silence_timer: Option<Pin<Box<Sleep>>>,
}

impl AnswerBody {
    /// Creates a body from a stream.
    pub(crate) fn new(inner: StreamBody, resources: AnswerResources) -> Self {
        Self { inner, resources, silence_timer: None }
    }

    /// The time at which the answer fails if the connection stays silent.
    fn silence_end(&self) -> Instant {
        let silence_left = LATE_SILENCE_MAX.saturating_sub(self.resources.in_flight.silence());
        (Instant::now() + silence_left).max(self.resources.deadline)
    }

    /// Becomes ready when the other node has been silent for too long.
    fn poll_silence(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            let silence_end = self.silence_end();
            let timer = self.silence_timer.get_or_insert_with(|| Box::pin(sleep_until(silence_end)));
            ready!(timer.as_mut().poll(cx));
            self.silence_timer = None;
            if self.resources.in_flight.silence() >= LATE_SILENCE_MAX {
                return Poll::Ready(());
            }
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = Pin::new(&mut self.inner).poll_frame(cx);
        if polled.is_ready() {
            self.silence_timer = None;
            return polled;
        }
        ready!(self.poll_silence(cx));
        Poll::Ready(Some(Err("the other node fell silent".into())))
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }
}
