//! Bodies as the node passes them on.

use bytes::{Bytes, BytesMut};
use http_body::{Body, Frame, SizeHint};
use http_body_util::{BodyExt, Empty, Full};
use laurelstall_peer::body::{AnswerBody, BodyError};
use std::{
    future::Future,
    pin::Pin,
    task::{Context, Poll},
};
use tokio::time::{Duration, Instant, Sleep, sleep, timeout_at};

/// A body that is known whole.
pub fn whole(bytes: Bytes) -> AnswerBody {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

/// A body without content.
pub fn empty() -> AnswerBody {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// What became of collecting the start of a body.
#[derive(Debug)]
pub enum Collected {
    /// It ended: this is all of it.
    Whole(Bytes),
    /// It is longer, or slower, or has trailers: this much was read, and the rest is to come.
    Partial(AnswerBody),
}

/// Reads a body to its end, but at most `bytes_max` and for at most `patience`.
///
/// # Errors
///
/// What broke the body.
pub async fn collect(
    mut body: AnswerBody,
    bytes_max: usize,
    patience: Duration,
) -> Result<Collected, BodyError> {
    if body.is_end_stream() {
        return Ok(Collected::Whole(Bytes::new()));
    }
    let until = Instant::now() + patience;
    let mut read = BytesMut::new();
    if body.size_hint().lower() > bytes_max as u64 {
        return Ok(Collected::Partial(body));
    }
    loop {
        let Ok(frame) = timeout_at(until, body.frame()).await else { break };
        let Some(frame) = frame else { return Ok(Collected::Whole(read.freeze())) };
        match frame?.into_data() {
            Ok(data) if read.is_empty() && body.is_end_stream() && data.len() <= bytes_max => {
                return Ok(Collected::Whole(data));
            }
            Ok(data) => read.extend_from_slice(&data),
            Err(frame) => {
                let first = [Frame::data(read.freeze()), frame];
                return Ok(Collected::Partial(PrefixedBody::new(first.into(), body).boxed_unsync()));
            }
        }
        if read.len() > bytes_max {
            break;
        }
    }
    let first = if read.is_empty() { Vec::new() } else { vec![Frame::data(read.freeze())] };
    Ok(Collected::Partial(PrefixedBody::new(first, body).boxed_unsync()))
}

/// A body that starts with frames that were read before.
struct PrefixedBody {
    first: Vec<Frame<Bytes>>,
    rest: AnswerBody,
}

impl PrefixedBody {
    fn new(mut first: Vec<Frame<Bytes>>, rest: AnswerBody) -> Self {
        first.reverse();
        Self { first, rest }
    }
}

impl Body for PrefixedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(frame) = self.first.pop() {
            return Poll::Ready(Some(Ok(frame)));
        }
        Pin::new(&mut self.rest).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.first.is_empty() && self.rest.is_end_stream()
    }
}

/// A body that keeps something alive until it has ended, and tells how it ended.
pub struct WatchedBody<F: FnOnce(bool)> {
    inner: AnswerBody,
    at_end: Option<F>,
}

impl<F: FnOnce(bool)> WatchedBody<F> {
    /// Calls `at_end` with whether the body came whole.
    pub fn new(inner: AnswerBody, at_end: F) -> Self {
        Self { inner, at_end: Some(at_end) }
    }

    fn end(&mut self, is_whole: bool) {
        if let Some(at_end) = self.at_end.take() {
            at_end(is_whole);
        }
    }
}

impl<F: FnOnce(bool) + Unpin> Body for WatchedBody<F> {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = Pin::new(&mut self.inner).poll_frame(cx);
        match &polled {
            Poll::Ready(None) => self.end(true),
            Poll::Ready(Some(Err(_))) => self.end(false),
            Poll::Ready(Some(Ok(_))) if self.inner.is_end_stream() => self.end(true),
            _ => {}
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

impl<F: FnOnce(bool)> Drop for WatchedBody<F> {
    fn drop(&mut self) {
        let is_whole = self.inner.is_end_stream();
        self.end(is_whole);
    }
}

/// A body that breaks when nothing of it comes for `limit`.
pub fn idle_body(body: AnswerBody, limit: Duration) -> AnswerBody {
    if body.is_end_stream() {
        return body;
    }
    IdleBody { inner: body, limit, waiting: None }.boxed_unsync()
}

struct IdleBody {
    inner: AnswerBody,
    limit: Duration,
    waiting: Option<Pin<Box<Sleep>>>,
}

impl Body for IdleBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = Pin::new(&mut self.inner).poll_frame(cx);
        if polled.is_ready() {
            self.waiting = None;
            return polled;
        }
        let limit = self.limit;
        let waiting = self.waiting.get_or_insert_with(|| Box::pin(sleep(limit)));
        match waiting.as_mut().poll(cx) {
            Poll::Ready(()) => Poll::Ready(Some(Err("the caller sent nothing for too long".into()))),
            Poll::Pending => Poll::Pending,
        }
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
