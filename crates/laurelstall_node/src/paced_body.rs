//! A body that is sent over the node's link in pieces.

use crate::{body::grown_hint, link_pacer::LinkPacer};
use bytes::Bytes;
use http::{HeaderMap, header::CONTENT_LENGTH};
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use laurelstall_link::link_scheduler::{FlowId, SMALL_BODY_BYTES};
use laurelstall_peer::body::{BodyError, BoxedBody};
use std::{
    collections::VecDeque,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};
use tokio::time::Instant;

/// Bytes of an answer that are read before they may be sent, so that the target's slot is free while the answer waits
/// for the link.
pub const READ_AHEAD_BYTES: u64 = 256 * 1024;
/// Bytes of a header field beyond its name and value.
const FIELD_OVERHEAD_BYTES: u64 = 4;

/// How a body is sent over the link.
#[derive(Debug, Clone, Copy)]
pub struct Sending {
    /// Importance of the body's pieces.
    pub importance: u8,
    /// Bytes that are read before they may be sent.
    pub read_ahead_bytes: u64,
    /// Class of the call whose answer this is, to learn the sizes of its answers.
    pub learned_class: Option<u32>,
}

/// Wraps a body that leaves over the link so that it is sent in pieces; a small one passes unchanged and is counted.
pub fn pace(pacer: &Arc<LinkPacer>, sending: Sending, headers: &HeaderMap, body: BoxedBody) -> BoxedBody {
    pacer.count_unpaced(head_bytes(headers));
    let size_bytes = known_size_bytes(headers, &body);
    if let (Some(class), Some(bytes)) = (sending.learned_class, size_bytes) {
        pacer.note_answer(class, bytes);
    }
    match size_bytes {
        Some(bytes) if bytes <= SMALL_BODY_BYTES => {
            pacer.count_unpaced(bytes);
            body
        }
        _ => PacedBody::new(pacer.clone(), sending, size_bytes, body).boxed_unsync(),
    }
}

/// Returns the approximate size of a message's head.
fn head_bytes(headers: &HeaderMap) -> u64 {
    let field = |(name, value): (&http::HeaderName, &http::HeaderValue)| {
        (name.as_str().len() + value.len()) as u64 + FIELD_OVERHEAD_BYTES
    };
    headers.iter().map(field).sum()
}

/// Returns the size of a body if it is known before the body is read.
fn known_size_bytes(headers: &HeaderMap, body: &BoxedBody) -> Option<u64> {
    // Answers without a body may state the length that it would have.
    if body.is_end_stream() {
        return Some(0);
    }
    let stated = headers.get(CONTENT_LENGTH).and_then(|value| value.to_str().ok()?.parse().ok());
    body.size_hint().exact().or(stated)
}

/// What is left of the inner body.
enum Rest {
    /// It has more frames.
    Open,
    /// It has ended.
    Ended,
    /// It failed; the error follows the frames that were read before.
    Failed(BodyError),
}

/// A body that asks the [`LinkPacer`] for each piece before it yields the piece.
///
/// Frames, trailers and errors keep their order, and the bytes are not copied. Dropping it cancels the inner body.
struct PacedBody {
    inner: BoxedBody,
    rest: Rest,
    /// Frames that were read but not yet yielded.
    frames: VecDeque<Frame<Bytes>>,
    /// Bytes of data in `frames`.
    held_bytes: u64,
    /// Bytes yielded so far.
    sent_bytes: u64,
    /// Size of the requested piece and when it was requested; `None` when no piece is requested.
    requested: Option<(u64, Instant)>,
    /// Bytes that pass without waiting at the start of a body of unknown size, which may be small.
    unpaced_bytes: u64,
    is_size_known: bool,
    sending: Sending,
    piece_bytes: u64,
    flow: FlowId,
    pacer: Arc<LinkPacer>,
}

impl PacedBody {
    fn new(pacer: Arc<LinkPacer>, sending: Sending, size_bytes: Option<u64>, inner: BoxedBody) -> Self {
        Self {
            inner,
            rest: Rest::Open,
            frames: VecDeque::new(),
            held_bytes: 0,
            sent_bytes: 0,
            requested: None,
            unpaced_bytes: if size_bytes.is_some() { 0 } else { SMALL_BODY_BYTES },
            is_size_known: size_bytes.is_some(),
            sending,
            piece_bytes: pacer.piece_bytes(),
            flow: pacer.open(sending.importance, size_bytes),
            pacer,
        }
    }

    /// Reads frames until one is held, and then further ones as far as memory allows.
    fn read_ahead(&mut self, cx: &mut Context<'_>) {
        while matches!(self.rest, Rest::Open) && self.may_read() {
            match Pin::new(&mut self.inner).poll_frame(cx) {
                Poll::Pending => return,
                Poll::Ready(None) => self.rest = Rest::Ended,
                Poll::Ready(Some(Err(error))) => self.rest = Rest::Failed(error),
                Poll::Ready(Some(Ok(frame))) => self.hold(frame),
            }
        }
    }

    fn may_read(&self) -> bool {
        let is_within = self.held_bytes < self.sending.read_ahead_bytes;
        self.frames.is_empty() || is_within && !self.pacer.is_memory_full()
    }

    fn hold(&mut self, frame: Frame<Bytes>) {
        let bytes = frame.data_ref().map_or(0, Bytes::len) as u64;
        self.held_bytes += bytes;
        self.pacer.hold(bytes);
        self.frames.push_back(frame);
        if self.inner.is_end_stream() {
            self.rest = Rest::Ended;
        }
    }

    /// Waits until the next piece of the first frame's data may be sent, and returns its size.
    fn poll_piece(&mut self, data_bytes: u64, cx: &Context<'_>) -> Poll<u64> {
        let unpaced = data_bytes.min(self.unpaced_bytes);
        if unpaced > 0 || data_bytes == 0 {
            self.unpaced_bytes -= unpaced;
            self.pacer.count_unpaced(unpaced);
            return Poll::Ready(unpaced);
        }
        let now = Instant::now();
        let is_first_poll = self.requested.is_none();
        let (bytes, since) = *self.requested.get_or_insert((data_bytes.min(self.piece_bytes), now));
        if self.pacer.poll_piece(self.flow, bytes, cx).is_pending() {
            return Poll::Pending;
        }
        self.requested = None;
        if !is_first_poll {
            self.pacer.note_wait((now - since).as_micros() as u64);
        }
        Poll::Ready(bytes)
    }

    /// Takes a piece of the first frame.
    fn take_piece(&mut self, bytes: u64) -> Option<Frame<Bytes>> {
        self.held_bytes -= bytes;
        self.pacer.release(bytes);
        self.sent_bytes += bytes;
        let data = self.frames.front_mut()?.data_mut()?;
        if bytes < data.len() as u64 {
            return Some(Frame::data(data.split_to(bytes as usize)));
        }
        self.frames.pop_front()
    }

    /// Returns the end of the body: its error, if it failed.
    fn take_end(&mut self) -> Option<Result<Frame<Bytes>, BodyError>> {
        match std::mem::replace(&mut self.rest, Rest::Ended) {
            Rest::Failed(error) => {
                self.sending.learned_class = None;
                Some(Err(error))
            }
            Rest::Open | Rest::Ended => None,
        }
    }
}

impl Body for PacedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let this = &mut *self;
        this.read_ahead(cx);
        let Some(frame) = this.frames.front() else {
            return if matches!(this.rest, Rest::Open) {
                Poll::Pending
            } else {
                Poll::Ready(this.take_end())
            };
        };
        let Some(data) = frame.data_ref() else {
            return Poll::Ready(this.frames.pop_front().map(Ok));
        };
        let data_bytes = data.len() as u64;
        match this.poll_piece(data_bytes, cx) {
            Poll::Ready(bytes) => Poll::Ready(this.take_piece(bytes).map(Ok)),
            Poll::Pending => Poll::Pending,
        }
    }

    fn is_end_stream(&self) -> bool {
        let is_over = match &self.rest {
            Rest::Open => self.inner.is_end_stream(),
            Rest::Ended => true,
            Rest::Failed(_) => false,
        };
        self.frames.is_empty() && is_over
    }

    fn size_hint(&self) -> SizeHint {
        grown_hint(&self.inner.size_hint(), self.held_bytes)
    }
}

impl Drop for PacedBody {
    fn drop(&mut self) {
        self.pacer.close(self.flow);
        self.pacer.release(self.held_bytes);
        let is_whole = matches!(self.rest, Rest::Ended) && self.frames.is_empty();
        if let Some(class) = self.sending.learned_class.filter(|_| is_whole && !self.is_size_known) {
            self.pacer.note_answer(class, self.sent_bytes);
        }
    }
}
