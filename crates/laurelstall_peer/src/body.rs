//! Bodies on their way between HTTP and `h2` streams, a chunk at a time.

use bytes::Bytes;
use h2::{Reason, RecvStream, SendStream};
use http_body::{Body, Frame};
use http_body_util::{BodyExt, combinators::UnsyncBoxBody};
use std::{
    error::Error,
    future::poll_fn,
    pin::Pin,
    task::{Context, Poll, ready},
};

/// Why a body ended early.
pub type BodyError = Box<dyn Error + Send + Sync>;

/// A body whose source is not the receiver's business.
pub type AnswerBody = UnsyncBoxBody<Bytes, BodyError>;

/// A body that arrives on an `h2` stream, with what was read of it already.
///
/// The sender may send on only as this body is read, so its memory is bounded by the window.
#[derive(Debug)]
pub struct StreamBody {
    first: Bytes,
    stream: RecvStream,
    is_data_over: bool,
}

impl StreamBody {
    /// A body that starts with `first` and goes on with `stream`.
    pub fn new(first: Bytes, stream: RecvStream) -> Self {
        Self { first, stream, is_data_over: false }
    }
}

impl Body for StreamBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if !self.first.is_empty() {
            let first = std::mem::take(&mut self.first);
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        if !self.is_data_over {
            match ready!(self.stream.poll_data(cx)) {
                Some(Ok(data)) => {
                    let released = self.stream.flow_control().release_capacity(data.len());
                    let frame = released.map(|()| Frame::data(data)).map_err(BodyError::from);
                    return Poll::Ready(Some(frame));
                }
                Some(Err(error)) => return Poll::Ready(Some(Err(error.into()))),
                None => self.is_data_over = true,
            }
        }
        let trailers = ready!(self.stream.poll_trailers(cx));
        Poll::Ready(match trailers {
            Ok(Some(trailers)) => Some(Ok(Frame::trailers(trailers))),
            Ok(None) => None,
            Err(error) => Some(Err(error.into())),
        })
    }

    fn is_end_stream(&self) -> bool {
        self.first.is_empty() && self.stream.is_end_stream()
    }
}

/// Sends a body to its end, as fast as the receiver takes it.
///
/// A body that breaks off resets the stream: the receiver never takes a part for the whole.
///
/// # Errors
///
/// What broke the body or the stream.
pub async fn send_body(mut body: AnswerBody, stream: &mut SendStream<Bytes>) -> Result<(), BodyError> {
    while let Some(frame) = body.frame().await {
        let frame = frame.inspect_err(|_| stream.send_reset(Reason::INTERNAL_ERROR))?;
        match frame.into_data() {
            Ok(data) if body.is_end_stream() => return send_last_data(data, stream).await,
            Ok(data) => send_data(data, stream).await?,
            Err(frame) => {
                if let Ok(trailers) = frame.into_trailers() {
                    stream.send_trailers(trailers)?;
                    return Ok(());
                }
            }
        }
    }
    stream.send_data(Bytes::new(), true)?;
    Ok(())
}

/// Sends one piece of data without ending the stream.
///
/// # Errors
///
/// What broke the stream.
pub async fn send_data(data: Bytes, stream: &mut SendStream<Bytes>) -> Result<(), BodyError> {
    let rest = send_all_but_rest(data, stream).await?;
    // The receiving library takes a hundred empty frames on a connection for an attack.
    if rest.is_empty() { Ok(()) } else { Ok(stream.send_data(rest, false)?) }
}

/// Sends the last piece of data; the stream ends with it, in the same write.
async fn send_last_data(data: Bytes, stream: &mut SendStream<Bytes>) -> Result<(), BodyError> {
    let rest = send_all_but_rest(data, stream).await?;
    Ok(stream.send_data(rest, true)?)
}

/// Sends what the receiver has no room for at once, and gives back the rest that it has room for.
///
/// A small piece never waits here, so it goes out in one write with what was sent before.
async fn send_all_but_rest(mut data: Bytes, stream: &mut SendStream<Bytes>) -> Result<Bytes, BodyError> {
    loop {
        stream.reserve_capacity(data.len());
        if stream.capacity() >= data.len() {
            return Ok(data);
        }
        let capacity = poll_fn(|cx| stream.poll_capacity(cx)).await;
        let capacity = capacity.ok_or("stream closed")??;
        let piece = data.split_to(capacity.min(data.len()));
        stream.send_data(piece, false)?;
    }
}
