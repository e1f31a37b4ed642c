//! Streams bodies of 100 MB in both directions; memory must not grow with the size of the body.

mod support;

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use laurelstall_standin::{call_uri::CALLER_HOST, process::memory_bytes};
use std::convert::Infallible;
use support::{entry, plan, start};

const BODY_BYTES: u64 = 100_000_000;
const CHUNK_BYTES: usize = 50_000;
/// Largest memory growth while 100 MB pass through the caller, two nodes and the target.
const MEMORY_GROWTH_MAX: u64 = 40_000_000;

fn chunk(number: u64) -> Bytes {
    let start = number * CHUNK_BYTES as u64;
    (start..start + CHUNK_BYTES as u64).map(|at| (at % 241) as u8).collect::<Vec<_>>().into()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_hundred_megabytes_are_echoed_in_bounded_memory() {
    let harness = start(plan(2)).await;
    let client: Client<HttpConnector, _> = Client::builder(TokioExecutor::new()).build_http();
    for number in 0..2 {
        let before = memory_bytes();
        let chunks = (0..BODY_BYTES / CHUNK_BYTES as u64).map(|n| Ok::<_, Infallible>(Frame::data(chunk(n))));
        let body = StreamBody::new(futures_util::stream::iter(chunks));
        let uri = format!("http://{}/market-board/x", entry(&harness, number));
        let request = Request::post(uri)
            .header("host", CALLER_HOST)
            .header("standin-key", "large")
            .header("laurelstall-budget-ms", "60000")
            .body(body)
            .expect("the request is valid");
        let response = client.request(request).await.expect("an answer");
        assert_eq!(response.status(), 200);
        let mut answer = response.into_body();
        let (mut read, mut peak_growth) = (0_u64, 0);
        while let Some(frame) = answer.frame().await {
            let data = frame.expect("the body is complete").into_data().unwrap_or_default();
            let is_right = data.iter().zip(read..).all(|(byte, at)| *byte == (at % 241) as u8);
            assert!(is_right, "wrong byte after {read}");
            read += data.len() as u64;
            peak_growth = peak_growth.max(memory_bytes().saturating_sub(before));
        }
        assert_eq!(read, BODY_BYTES);
        assert!(peak_growth < MEMORY_GROWTH_MAX, "memory grew by {peak_growth} bytes");
    }
}
