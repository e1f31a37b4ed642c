//! Bodies that are sent over a link in pieces keep their content and end.

use bytes::Bytes;
use http::{HeaderMap, HeaderValue};
use http_body::{Body, Frame, SizeHint};
use http_body_util::{BodyExt, StreamBody};
use laurelstall_guard::clock::Clock;
use laurelstall_link::held_bytes::HELD_BYTES_MAX;
use laurelstall_node::{
    body::{Collected, collect, full_body},
    counters::Counters,
    link_pacer::LinkPacer,
    metrics::Latencies,
    paced_body::{READ_AHEAD_BYTES, Sending, pace},
};
use laurelstall_peer::body::{BodyError, BoxedBody};
use std::{
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll},
};
use tokio::{
    task::JoinHandle,
    time::{Duration, Instant, timeout},
};

const MBPS: f64 = 14.0;
const SENDING: Sending = Sending { importance: 3, read_ahead_bytes: READ_AHEAD_BYTES, learned_class: None };

/// A pacer that runs until it is dropped.
struct TestLink {
    pacer: Arc<LinkPacer>,
    running: JoinHandle<()>,
}

impl TestLink {
    fn start() -> Self {
        let (counters, latencies) = (Arc::<Counters>::default(), Arc::<Latencies>::default());
        let pacer = LinkPacer::new(MBPS, Clock::new(), counters, latencies).expect("a known bandwidth");
        let driven = pacer.clone();
        Self { pacer, running: tokio::spawn(async move { driven.run().await }) }
    }

    fn pace(&self, body: BoxedBody) -> BoxedBody {
        pace(&self.pacer, SENDING, &HeaderMap::new(), body)
    }

    fn assert_is_idle(&self) {
        assert_eq!((self.pacer.waiting_bytes(), self.pacer.held_bytes()), (0, 0));
    }
}

impl Drop for TestLink {
    fn drop(&mut self) {
        self.running.abort();
    }
}

fn content(bytes: usize) -> Bytes {
    (0..bytes).map(|at| (at % 251) as u8).collect::<Vec<_>>().into()
}

fn frames_body(frames: Vec<Result<Frame<Bytes>, BodyError>>) -> BoxedBody {
    StreamBody::new(futures_util::stream::iter(frames)).boxed_unsync()
}

/// Guards against bytes that are lost, repeated or reordered, and against a lost size hint.
#[tokio::test(start_paused = true)]
async fn bytes_and_size_hint_are_unchanged() {
    let link = TestLink::start();
    let mut body = link.pace(full_body(content(100_000)));
    let mut read = Vec::new();
    while let Some(frame) = body.frame().await {
        read.extend_from_slice(&frame.expect("no error").into_data().expect("no trailers"));
        assert_eq!(body.size_hint().exact(), Some(100_000 - read.len() as u64));
    }
    assert_eq!(read, content(100_000));
    assert!(body.is_end_stream());
    drop(body);
    link.assert_is_idle();
}

/// Guards against trailers that overtake data or are lost.
#[tokio::test(start_paused = true)]
async fn trailers_follow_the_data() {
    let link = TestLink::start();
    let trailers = HeaderMap::from_iter([(http::header::ETAG, HeaderValue::from_static("x"))]);
    let frames = [Frame::data(content(30_000)), Frame::data(Bytes::new()), Frame::trailers(trailers.clone())];
    let body = link.pace(frames_body(frames.map(Ok).into()));
    let read = body.collect().await.expect("no error");
    assert_eq!(read.trailers(), Some(&trailers));
    assert_eq!(read.to_bytes(), content(30_000));
    link.assert_is_idle();
}

/// Guards against a broken body that looks whole, or whose data before the error is lost.
#[tokio::test(start_paused = true)]
async fn an_error_follows_the_data_read_before_it() {
    let link = TestLink::start();
    let mut body = link.pace(frames_body(vec![Ok(Frame::data(content(30_000))), Err("broke off".into())]));
    let mut read = 0;
    let error = loop {
        assert!(!body.is_end_stream(), "the body looks whole");
        match body.frame().await.expect("an error before the end") {
            Ok(frame) => read += frame.data_ref().map_or(0, Bytes::len),
            Err(error) => break error,
        }
    };
    assert_eq!((read, error.to_string()), (30_000, "broke off".to_owned()));
    assert!(body.frame().await.is_none());
    drop(body);
    link.assert_is_idle();
}

/// Guards against cancelled bodies that keep link time or memory, and against a lost cancellation.
#[tokio::test(start_paused = true)]
async fn a_cancelled_body_leaves_nothing_behind() {
    let link = TestLink::start();
    let dropped = Arc::new(());
    let owned = dropped.clone();
    let stream = futures_util::stream::unfold(owned, |owned| async move {
        Some((Ok::<_, BodyError>(Frame::data(content(5_000))), owned))
    });
    let mut body = link.pace(StreamBody::new(Box::pin(stream)).boxed_unsync());
    for _ in 0..10 {
        body.frame().await.expect("an endless body").expect("no error");
    }
    assert!(link.pacer.held_bytes() > 0);
    drop(body);
    assert_eq!(Arc::strong_count(&dropped), 1, "the inner body still exists");
    link.assert_is_idle();
}

/// Guards against a queue below the node: bodies must leave at the rate of the link. Small ones must not wait.
#[tokio::test(start_paused = true)]
async fn large_bodies_keep_the_rate_and_small_ones_do_not_wait() {
    let link = TestLink::start();
    let started = Instant::now();
    let sending = [(); 4].map(|()| tokio::spawn(link.pace(full_body(content(100_000))).collect()));
    tokio::time::sleep(Duration::from_millis(20)).await;
    let small = timeout(Duration::ZERO, link.pace(full_body(content(4_000))).collect()).await;
    assert!(small.is_ok(), "a small body waited");
    for sent in sending {
        let read = sent.await.expect("no panic").expect("no error").to_bytes();
        assert_eq!(read, content(100_000));
    }
    // 404,000 bytes take 231 ms at the bandwidth and 243 ms at 95 % of it.
    let took_ms = started.elapsed().as_millis();
    assert!((231..=260).contains(&took_ms), "{took_ms} ms");
    link.assert_is_idle();
}

/// Guards against target slots that are held while an answer waits for the link.
#[tokio::test(start_paused = true)]
async fn an_answer_is_read_before_it_may_be_sent() {
    let link = TestLink::start();
    let read = Arc::new(AtomicUsize::new(0));
    let counted = read.clone();
    let stream = futures_util::stream::iter((0..9).map(move |_| {
        counted.fetch_add(1, Ordering::Relaxed);
        Ok::<_, BodyError>(Frame::data(content(10_000)))
    }));
    let headers = HeaderMap::from_iter([(http::header::CONTENT_LENGTH, HeaderValue::from(90_000))]);
    let mut body = pace(&link.pacer, SENDING, &headers, StreamBody::new(stream).boxed_unsync());
    body.frame().await.expect("a piece").expect("no error");
    assert_eq!(read.load(Ordering::Relaxed), 9);
}

/// Guards against memory that grows with the number of readers that stop.
#[tokio::test(start_paused = true)]
async fn readers_that_stop_hold_bounded_memory() {
    const BODIES: u64 = 300;
    const FRAME_BYTES: u64 = 10_000;
    let link = TestLink::start();
    let data = content(FRAME_BYTES as usize);
    let endless = || {
        futures_util::stream::repeat_with({
            let data = data.clone();
            move || Ok::<_, BodyError>(Frame::data(data.clone()))
        })
    };
    let mut bodies = Vec::new();
    for _ in 0..BODIES {
        let mut body = link.pace(StreamBody::new(endless()).boxed_unsync());
        body.frame().await.expect("an endless body").expect("no error");
        bodies.push(body);
    }
    let held = link.pacer.held_bytes();
    assert!((HELD_BYTES_MAX..=HELD_BYTES_MAX + BODIES * FRAME_BYTES).contains(&held), "{held} bytes");
    // All continue when their readers do.
    for body in &mut bodies {
        body.frame().await.expect("an endless body").expect("no error");
    }
    drop(bodies);
    link.assert_is_idle();
}

/// Guards against slow uploads whose size is lost when they are read in part, so that they are taken for small ones.
#[tokio::test(start_paused = true)]
async fn a_body_that_was_read_in_part_keeps_its_size_hint() {
    let collected =
        collect(SlowBody(Some(content(10_000))).boxed_unsync(), 64 * 1024, Duration::from_millis(20));
    let Ok(Collected::Partial(body)) = collected.await else { panic!("the body is too slow") };
    assert_eq!(body.size_hint().exact(), Some(60_000));
}

/// A body of 60,000 bytes that sends some of them and then no more.
struct SlowBody(Option<Bytes>);

impl Body for SlowBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.0.take().map_or(Poll::Pending, |data| Poll::Ready(Some(Ok(Frame::data(data)))))
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(if self.0.is_some() { 60_000 } else { 50_000 })
    }
}
