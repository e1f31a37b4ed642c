//! A body that must have the length that its head states.

use crate::{answer_error::AnswerError, answer_head::Framing};
use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use std::{
    error::Error,
    pin::Pin,
    task::{Context, Poll, ready},
};

/// A body that fails where it is longer or shorter than its head states, before a byte too many is passed on.
///
/// It is for bodies that are not framed by HTTP/1.1, whose library would otherwise do this.
#[derive(Debug)]
pub struct LengthCheckedBody<B> {
    inner: B,
    framing: Framing,
    received_bytes: u64,
}

impl<B: Body> LengthCheckedBody<B> {
    /// Wraps the body of an answer with this framing.
    pub fn new(inner: B, framing: Framing) -> Self {
        Self { inner, framing, received_bytes: 0 }
    }

    /// Returns the error of a body that is longer than stated, or that has ended and is shorter.
    fn check(&self, is_over: bool) -> Result<(), AnswerError> {
        let stated_bytes = match self.framing {
            Framing::NoBody => 0,
            Framing::Length(bytes) => bytes,
            Framing::Delimited | Framing::UntilClose => return Ok(()),
        };
        let is_wrong = self.received_bytes > stated_bytes || is_over && self.received_bytes < stated_bytes;
        if is_wrong { Err(AnswerError::BodyLength(stated_bytes, self.received_bytes)) } else { Ok(()) }
    }
}

impl<B> Body for LengthCheckedBody<B>
where
    B: Body<Data = Bytes, Error = Box<dyn Error + Send + Sync>> + Unpin,
{
    type Data = Bytes;
    type Error = Box<dyn Error + Send + Sync>;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let frame = match ready!(Pin::new(&mut self.inner).poll_frame(cx)) {
            Some(Ok(frame)) => frame,
            Some(Err(error)) => return Poll::Ready(Some(Err(error))),
            None => return Poll::Ready(self.check(true).err().map(|error| Err(error.into()))),
        };
        self.received_bytes += frame.data_ref().map_or(0, |data| data.len() as u64);
        let is_over = frame.is_trailers() || self.inner.is_end_stream();
        Poll::Ready(Some(self.check(is_over).map(|()| frame).map_err(Into::into)))
    }

    /// A body that ends too early still yields its error.
    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream() && self.check(true).is_ok()
    }

    /// The size of no body is left open: its head may state the length that one would have.
    fn size_hint(&self) -> SizeHint {
        match self.framing {
            Framing::Length(bytes) => SizeHint::with_exact(bytes.saturating_sub(self.received_bytes)),
            _ => self.inner.size_hint(),
        }
    }
}
