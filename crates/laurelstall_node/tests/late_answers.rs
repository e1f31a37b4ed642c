//! Answers past the deadline of their calls end, unless it is their reader that takes the time.

use bytes::Bytes;
use futures_util::stream;
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use laurelstall_node::late_answer_body::{
    LATE_BYTES_MAX, TARGET_WAIT_MAX, UNSTATED_BYTES_MAX, limit_late_answer,
};
use laurelstall_peer::body::{BodyError, BoxedBody};
use tokio::time::{Duration, Instant, sleep, sleep_until};

/// Time limit of the calls.
const TIME_LIMIT: Duration = Duration::from_millis(1_000);
/// Time after the limit in which callers must know the end of their calls, on two nodes and a slow machine.
const END_KNOWN_MAX: Duration = Duration::from_millis(500);
/// Time of [`END_KNOWN_MAX`] that is left to the nodes and the links.
const FORWARDING_TIME: Duration = Duration::from_millis(250);
const PIECE_BYTES: usize = 64 * 1024;

/// A target that sends `count` pieces, each after a pause.
fn pieces(count: usize, bytes: usize, pause: Duration) -> BoxedBody {
    let frames = stream::unfold(0, move |sent| async move {
        if sent == count {
            return None;
        }
        if !pause.is_zero() {
            sleep(pause).await;
        }
        Some((Ok::<_, BodyError>(Frame::data(Bytes::from(vec![b'x'; bytes]))), sent + 1))
    });
    StreamBody::new(frames).boxed_unsync()
}

/// A target that sends one byte and falls silent at this time.
fn silent_from(at: Instant) -> BoxedBody {
    let frames = stream::unfold(false, move |is_sent| async move {
        if is_sent {
            std::future::pending::<()>().await;
        }
        sleep_until(at).await;
        Some((Ok::<_, BodyError>(Frame::data(Bytes::from_static(b"x"))), true))
    });
    StreamBody::new(frames).boxed_unsync()
}

/// Reads a body with a pause after each frame. Returns its length, or `None` if it failed.
async fn read(mut body: BoxedBody, pause: Duration) -> Option<usize> {
    let mut bytes = 0;
    while let Some(frame) = body.frame().await {
        bytes += frame.ok()?.into_data().map_or(0, |data| data.len());
        if !pause.is_zero() {
            sleep(pause).await;
        }
    }
    Some(bytes)
}

/// Guards against answers without a final word half a second after the time limit (CONFIG): a target that fell silent
/// shortly before the limit had 400 ms from its last byte on.
#[tokio::test(start_paused = true)]
async fn an_answer_ends_in_time_whenever_its_target_falls_silent() {
    for silent_at_ms in (0..=1_150).step_by(25) {
        let deadline = Instant::now() + TIME_LIMIT;
        let silent_at = Instant::now() + Duration::from_millis(silent_at_ms);
        let body = limit_late_answer(silent_from(silent_at), deadline, true);
        assert_eq!(read(body, Duration::ZERO).await, None, "silent from {silent_at_ms} ms on");
        assert!(Instant::now() >= deadline, "silence does not end an answer before its deadline");
        let late = Instant::now() - deadline;
        assert!(
            late <= END_KNOWN_MAX - FORWARDING_TIME,
            "silent from {silent_at_ms} ms on: ends {late:?} late"
        );
    }
}

/// Guards against a target that holds its slot as long as it likes by sending a byte now and then.
#[tokio::test(start_paused = true)]
async fn an_answer_that_trickles_ends_in_time() {
    for pause_ms in [1, 10, 150, 350] {
        for is_length_stated in [false, true] {
            let deadline = Instant::now() + TIME_LIMIT;
            let body = pieces(usize::MAX, 1, Duration::from_millis(pause_ms));
            let body = limit_late_answer(body, deadline, is_length_stated);
            assert_eq!(read(body, Duration::ZERO).await, None, "a byte each {pause_ms} ms");
            let late = Instant::now() - deadline;
            assert!(late <= END_KNOWN_MAX - FORWARDING_TIME, "a byte each {pause_ms} ms: ends {late:?} late");
        }
    }
}

/// Guards against an answer without end whose target never keeps its reader waiting.
#[tokio::test(start_paused = true)]
async fn an_answer_without_end_is_bounded_past_its_deadline() {
    // A piece each millisecond.
    let in_time = TIME_LIMIT.as_millis() as u64 * PIECE_BYTES as u64;
    for (is_length_stated, bytes_max) in
        [(false, in_time.max(UNSTATED_BYTES_MAX)), (true, in_time + LATE_BYTES_MAX)]
    {
        let deadline = Instant::now() + TIME_LIMIT;
        let body = pieces(usize::MAX, PIECE_BYTES, Duration::ZERO);
        let mut body = limit_late_answer(body, deadline, is_length_stated);
        let mut bytes = 0;
        while let Some(Ok(frame)) = body.frame().await {
            bytes += frame.into_data().map_or(0, |data| data.len() as u64);
            sleep(Duration::from_millis(1)).await;
        }
        assert!(Instant::now() >= deadline, "it is not ended before its deadline");
        assert!(bytes <= bytes_max + PIECE_BYTES as u64, "{bytes} bytes, length stated: {is_length_stated}");
    }
}

/// Guards against answers that are cut off for the time that their callers, the link or its pacing take.
#[tokio::test(start_paused = true)]
async fn an_answer_is_whole_however_slowly_it_is_read() {
    for is_length_stated in [false, true] {
        let deadline = Instant::now() + TIME_LIMIT;
        let body = pieces(200, PIECE_BYTES, Duration::ZERO);
        let body = limit_late_answer(body, deadline, is_length_stated);
        assert_eq!(read(body, Duration::from_millis(500)).await, Some(200 * PIECE_BYTES));
    }
}

/// Guards against a large answer that is cut off after its reader's pause, while its target refills the buffers.
#[tokio::test(start_paused = true)]
async fn a_large_answer_of_a_stated_length_may_advance_past_its_deadline() {
    let deadline = Instant::now() + TIME_LIMIT;
    let body = pieces(1_000, PIECE_BYTES, Duration::from_millis(10));
    let body = limit_late_answer(body, deadline, true);
    assert_eq!(read(body, Duration::ZERO).await, Some(1_000 * PIECE_BYTES));
}

/// Guards against answers that are cut off although their targets finish within the time that is allowed for.
#[tokio::test(start_paused = true)]
async fn an_answer_that_is_finished_shortly_after_its_deadline_is_whole() {
    let deadline = Instant::now() + TIME_LIMIT;
    let pause = (TIME_LIMIT + TARGET_WAIT_MAX / 2) / 10;
    let body = limit_late_answer(pieces(10, 100, pause), deadline, false);
    assert_eq!(read(body, Duration::ZERO).await, Some(1_000));
}
