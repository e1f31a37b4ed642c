//! Bodies of requests and answers that pass through the node.

use bytes::{Bytes, BytesMut};
use http_body::{Body, Frame, SizeHint};
use http_body_util::{BodyExt, Empty, Full};
use laurelstall_peer::body::{BodyError, BoxedBody};
use std::{
    future::Future,
    pin::Pin,
    task::{Context, Poll, ready},
};
use tokio::time::{Duration, Instant, Sleep, sleep, timeout_at};

/// Creates a body from bytes that are complete.
pub fn full_body(bytes: Bytes) -> BoxedBody {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

/// Creates a body without content.
pub fn empty_body() -> BoxedBody {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// Result of [`collect`].
#[derive(Debug)]
pub enum Collected {
    /// The complete body.
    Complete(Bytes),
    /// The body is longer or slower than the limits, or has trailers. It starts with the frames read so far.
    Partial(BoxedBody),
}

/// Reads a body to its end, but stops after `bytes_max` bytes or `time_limit`.
///
/// # Errors
///
/// Returns the error that ended the body early.
pub async fn collect(
    mut body: BoxedBody,
    bytes_max: usize,
    time_limit: Duration,
) -> Result<Collected, BodyError> {
    if body.is_end_stream() {
        return Ok(Collected::Complete(Bytes::new()));
    }
    let deadline = Instant::now() + time_limit;
    let mut read = BytesMut::new();
    if body.size_hint().lower() > bytes_max as u64 {
        return Ok(Collected::Partial(body));
    }
    loop {
        let Ok(frame) = timeout_at(deadline, body.frame()).await else { break };
        let Some(frame) = frame else { return Ok(Collected::Complete(read.freeze())) };
        match frame?.into_data() {
            Ok(data) if read.is_empty() && body.is_end_stream() && data.len() <= bytes_max => {
                return Ok(Collected::Complete(data));
            }
            Ok(data) => read.extend_from_slice(&data),
            Err(frame) => {
                let prefix = [Frame::data(read.freeze()), frame];
                return Ok(Collected::Partial(PrefixedBody::new(prefix.into(), body).boxed_unsync()));
            }
        }
        if read.len() > bytes_max {
            break;
        }
    }
    let prefix = if read.is_empty() { Vec::new() } else { vec![Frame::data(read.freeze())] };
    Ok(Collected::Partial(PrefixedBody::new(prefix, body).boxed_unsync()))
}

/// A body that yields frames that were read before, and then the rest.
struct PrefixedBody {
    prefix: Vec<Frame<Bytes>>,
    rest: BoxedBody,
}

impl PrefixedBody {
    fn new(mut prefix: Vec<Frame<Bytes>>, rest: BoxedBody) -> Self {
        prefix.reverse();
        Self { prefix, rest }
    }
}

impl Body for PrefixedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(frame) = self.prefix.pop() {
            return Poll::Ready(Some(Ok(frame)));
        }
        Pin::new(&mut self.rest).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.prefix.is_empty() && self.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let prefix_bytes = self.prefix.iter().filter_map(Frame::data_ref).map(Bytes::len).sum::<usize>();
        grown_hint(&self.rest.size_hint(), prefix_bytes as u64)
    }
}

/// Returns the size hint of a body that yields this number of bytes before the rest, to which `rest` applies.
pub(crate) fn grown_hint(rest: &SizeHint, bytes: u64) -> SizeHint {
    let mut hint = SizeHint::new();
    hint.set_lower(rest.lower().saturating_add(bytes));
    if let Some(upper) = rest.upper().and_then(|upper| upper.checked_add(bytes)) {
        hint.set_upper(upper);
    }
    hint
}

/// A body that calls a closure when it ends, with whether it was complete. What the closure owns lives until then.
pub struct WatchedBody<F: FnOnce(bool)> {
    inner: BoxedBody,
    on_end: Option<F>,
}

impl<F: FnOnce(bool)> WatchedBody<F> {
    /// Calls `on_end` once at the end of `inner` or on drop, with whether the body was complete.
    pub fn new(inner: BoxedBody, on_end: F) -> Self {
        Self { inner, on_end: Some(on_end) }
    }

    fn end(&mut self, is_complete: bool) {
        if let Some(on_end) = self.on_end.take() {
            on_end(is_complete);
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
        let is_complete = self.inner.is_end_stream();
        self.end(is_complete);
    }
}

/// Time for which a body is polled again after its idle timeout. What arrived while this process was suspended is then read.
pub(crate) const LAST_POLL_TIME: Duration = Duration::from_millis(20);

/// Wraps a body so that it fails when no frame arrives for `limit`.
///
/// Time in which nobody reads the body does not count, so that a slow reader is no reason to end it.
pub fn with_idle_timeout(body: BoxedBody, limit: Duration) -> BoxedBody {
    if body.is_end_stream() {
        return body;
    }
    IdleBody { inner: body, limit, idle_timer: None, is_last_poll: false }.boxed_unsync()
}

struct IdleBody {
    inner: BoxedBody,
    limit: Duration,
    idle_timer: Option<Pin<Box<Sleep>>>,
    /// Whether the idle timeout has passed, and the body is polled for the last time.
    is_last_poll: bool,
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
            self.idle_timer = None;
            self.is_last_poll = false;
            return polled;
        }
        let limit = self.limit;
        let idle_timer = self.idle_timer.get_or_insert_with(|| Box::pin(sleep(limit)));
        ready!(idle_timer.as_mut().poll(cx));
        if self.is_last_poll {
            return Poll::Ready(Some(Err("nothing was sent for too long".into())));
        }
        self.is_last_poll = true;
        let mut last_timer = Box::pin(sleep(LAST_POLL_TIME));
        // Registers the waker; the timer has just started.
        let _ = last_timer.as_mut().poll(cx);
        self.idle_timer = Some(last_timer);
        Poll::Pending
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
