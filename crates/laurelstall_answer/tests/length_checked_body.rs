//! Bodies whose length differs from the one that their head states never look whole.

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use laurelstall_answer::{answer_head::Framing, length_checked_body::LengthCheckedBody};
use std::{
    collections::VecDeque,
    error::Error,
    pin::Pin,
    task::{Context, Poll},
};

/// A body of these frames, which may tell that it is over with its last frame.
struct Frames {
    frames: VecDeque<&'static [u8]>,
    tells_end: bool,
}

impl Body for Frames {
    type Data = Bytes;
    type Error = Box<dyn Error + Send + Sync>;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        Poll::Ready(self.frames.pop_front().map(|data| Ok(Frame::data(Bytes::from_static(data)))))
    }

    fn is_end_stream(&self) -> bool {
        self.tells_end && self.frames.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::default()
    }
}

/// Returns the bytes that are passed on, and whether they look whole.
async fn passed_on(frames: &[&'static [u8]], tells_end: bool, framing: Framing) -> (Vec<u8>, bool) {
    let frames = Frames { frames: frames.iter().copied().collect(), tells_end };
    let mut body = LengthCheckedBody::new(frames, framing);
    let mut bytes = Vec::new();
    while !body.is_end_stream() {
        match body.frame().await {
            Some(Ok(frame)) => bytes.extend_from_slice(frame.data_ref().expect("no trailers")),
            Some(Err(_)) => return (bytes, false),
            None => break,
        }
    }
    (bytes, true)
}

#[tokio::test]
async fn only_a_body_of_the_stated_length_looks_whole() {
    for tells_end in [false, true] {
        let whole = passed_on(&[b"hello ", b"world"], tells_end, Framing::Length(11)).await;
        assert_eq!(whole, (b"hello world".to_vec(), true));
        let (bytes, is_whole) = passed_on(&[b"hello ", b"world"], tells_end, Framing::Length(8)).await;
        assert_eq!((bytes.as_slice(), is_whole), (&b"hello "[..], false), "no byte too many is passed on");
        let (_, is_whole) = passed_on(&[b"hello ", b"world"], tells_end, Framing::Length(12)).await;
        assert!(!is_whole, "a body that is too short looks whole");
        let (_, is_whole) = passed_on(&[], tells_end, Framing::Length(1)).await;
        assert!(!is_whole, "an empty body looks whole");
        let (bytes, is_whole) = passed_on(&[b"x"], tells_end, Framing::NoBody).await;
        assert!(bytes.is_empty() && !is_whole, "an answer without a body has one");
        assert_eq!(passed_on(&[], tells_end, Framing::NoBody).await, (Vec::new(), true));
        assert_eq!(passed_on(&[b"any"], tells_end, Framing::Delimited).await, (b"any".to_vec(), true));
    }
}
