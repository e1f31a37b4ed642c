//! An answer's body that ends when its target does not finish it soon after the deadline of its call.
//!
//! Only the target is limited. Time in which nobody reads the body does not count, so that a slow caller, a slow link and
//! paced sending are no reason to end an answer.

use crate::body::LAST_POLL_TIME;
use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use laurelstall_peer::body::{BodyError, BoxedBody};
use std::{
    future::Future,
    pin::Pin,
    task::{Context, Poll, ready},
};
use tokio::time::{Duration, Instant, Sleep, sleep, sleep_until};

/// Time for which an answer past its deadline may wait for its target. Callers are told within half a second of the
/// deadline, also over two nodes.
pub const TARGET_WAIT_MAX: Duration = Duration::from_millis(200);
/// Pace in bytes per second at which an answer of a stated length may advance past its deadline. A slow caller leaves the
/// target's bytes in buffers, from which they come faster than this.
const PACE_MIN_BYTES_PER_S: u64 = 4 * 1024 * 1024;
/// Maximum size in bytes of an answer past its deadline that states no length, and so may have no end.
pub const UNSTATED_BYTES_MAX: u64 = 16 * 1024 * 1024;
/// Maximum number of bytes that an answer of a stated length may have left at its deadline. The length may be one that a
/// target in trouble never reaches.
pub const LATE_BYTES_MAX: u64 = 64 * 1024 * 1024;

/// A body whose source has [`TARGET_WAIT_MAX`] after the deadline.
struct LateAnswerBody {
    inner: BoxedBody,
    deadline: Instant,
    is_length_stated: bool,
    /// Bytes received so far.
    received_bytes: u64,
    /// Bytes received past the deadline.
    late_bytes: u64,
    /// What is left of [`TARGET_WAIT_MAX`].
    wait_left: Duration,
    /// Whether that was over once, and [`LAST_POLL_TIME`] was added.
    is_extended: bool,
    /// The wait for the next frame; `None` while there is none.
    wait: Option<Wait>,
}

/// A wait for the target.
struct Wait {
    since: Instant,
    timer: Pin<Box<Sleep>>,
}

/// Wraps an answer's body so that it fails when its target does not finish it soon after `deadline`.
///
/// `is_length_stated` tells whether the answer's head states the length of the body.
pub fn limit_late_answer(body: BoxedBody, deadline: Instant, is_length_stated: bool) -> BoxedBody {
    if body.is_end_stream() {
        return body;
    }
    let body = LateAnswerBody {
        inner: body,
        deadline,
        is_length_stated,
        received_bytes: 0,
        late_bytes: 0,
        wait_left: TARGET_WAIT_MAX,
        is_extended: false,
        wait: None,
    };
    body.boxed_unsync()
}

impl LateAnswerBody {
    /// Ends the wait for the target, and subtracts its part after the deadline.
    fn end_wait(&mut self, now: Instant) {
        let Some(wait) = self.wait.take() else { return };
        let late = now.saturating_duration_since(wait.since.max(self.deadline));
        self.wait_left = self.wait_left.saturating_sub(late);
    }

    /// Counts received bytes. Those of an answer with an end in sight allow further waits.
    fn note_received(&mut self, bytes: u64, now: Instant) {
        self.received_bytes += bytes;
        if now >= self.deadline {
            self.late_bytes += bytes;
        }
        if self.is_length_stated {
            let earned = Duration::from_micros(bytes * 1_000_000 / PACE_MIN_BYTES_PER_S);
            self.wait_left = (self.wait_left + earned).min(TARGET_WAIT_MAX);
        }
    }

    /// Whether the answer is past its deadline and longer than one may be then.
    fn is_endless(&self, now: Instant) -> bool {
        let is_too_long = match self.is_length_stated {
            true => self.late_bytes > LATE_BYTES_MAX,
            false => self.received_bytes > UNSTATED_BYTES_MAX,
        };
        now >= self.deadline && is_too_long
    }

    /// Becomes ready when the target has been waited for long enough.
    fn poll_wait_end(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let Self { deadline, wait_left, .. } = *self;
        let wait = self.wait.get_or_insert_with(|| {
            let since = Instant::now();
            Wait { since, timer: Box::pin(sleep_until(since.max(deadline) + wait_left)) }
        });
        ready!(wait.timer.as_mut().poll(cx));
        if self.is_extended {
            return Poll::Ready(());
        }
        self.is_extended = true;
        wait.timer = Box::pin(sleep(LAST_POLL_TIME));
        // Registers the waker; the timer has just started.
        let _ = wait.timer.as_mut().poll(cx);
        Poll::Pending
    }
}

impl Body for LateAnswerBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let Poll::Ready(polled) = Pin::new(&mut self.inner).poll_frame(cx) else {
            ready!(self.poll_wait_end(cx));
            return Poll::Ready(Some(Err("the target did not finish the answer in time".into())));
        };
        let now = Instant::now();
        self.end_wait(now);
        if let Some(Ok(frame)) = &polled {
            self.note_received(frame.data_ref().map_or(0, |data| data.len() as u64), now);
            if self.is_endless(now) {
                return Poll::Ready(Some(Err("the answer has no end in sight".into())));
            }
        }
        Poll::Ready(polled)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
