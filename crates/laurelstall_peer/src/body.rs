//! Streams bodies between HTTP and `h2`.

use bytes::Bytes;
use h2::{Reason, RecvStream, SendStream};
use http_body::{Body, Frame};
use http_body_util::combinators::UnsyncBoxBody;
use std::{
    error::Error,
    future::poll_fn,
    pin::Pin,
    task::{Context, Poll, ready},
};

/// Error of a body that ended early.
pub type BodyError = Box<dyn Error + Send + Sync>;

/// Body of a request or an answer from any source.
pub type BoxedBody = UnsyncBoxBody<Bytes, BodyError>;

/// A body that arrives on an `h2` stream, preceded by data that was read already.
///
/// Flow control lets the sender continue only as this body is read, which bounds its memory use.
#[derive(Debug)]
pub struct StreamBody {
    first: Bytes,
    stream: RecvStream,
    is_data_over: bool,
}

impl StreamBody {
    /// Creates a body that starts with `first` and continues with `stream`.
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

/// Sends a whole body, as fast as the receiver accepts it.
///
/// If the body fails, the stream is reset, so that the receiver does not take a part for the whole.
///
/// # Errors
///
/// The error of the body or the stream.
pub async fn send_body(mut body: BoxedBody, stream: &mut SendStream<Bytes>) -> Result<(), BodyError> {
    while let Some(frame) = next_frame(&mut body, stream).await? {
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

/// Waits for the next frame of `body`, or until the receiver resets the stream: a source that sends nothing more would
/// otherwise be held for a receiver that is gone.
async fn next_frame(
    body: &mut BoxedBody,
    stream: &mut SendStream<Bytes>,
) -> Result<Option<Result<Frame<Bytes>, BodyError>>, BodyError> {
    poll_fn(|cx| {
        if let Poll::Ready(frame) = Pin::new(&mut *body).poll_frame(cx) {
            return Poll::Ready(Ok(frame));
        }
        let reason = ready!(stream.poll_reset(cx))?;
        Poll::Ready(Err(format!("the receiver has reset the stream: {reason:?}").into()))
    })
    .await
}

/// Sends data without ending the stream.
///
/// # Errors
///
/// The error of the stream.
pub async fn send_data(data: Bytes, stream: &mut SendStream<Bytes>) -> Result<(), BodyError> {
    let rest = send_all_but_rest(data, stream).await?;
    // `h2` closes a connection after about a hundred empty frames, as a protection against attacks.
    if rest.is_empty() { Ok(()) } else { Ok(stream.send_data(rest, false)?) }
}

/// Sends the last data of a stream, which ends in the same write.
async fn send_last_data(data: Bytes, stream: &mut SendStream<Bytes>) -> Result<(), BodyError> {
    let rest = send_all_but_rest(data, stream).await?;
    Ok(stream.send_data(rest, true)?)
}

/// Sends the part of `data` that exceeds the flow-control window, and returns the rest, for which there is
/// capacity.
///
/// Small data is returned without waiting, so that it is sent in one write with the preceding frames.
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
