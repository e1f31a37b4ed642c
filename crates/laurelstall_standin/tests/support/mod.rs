//! Helpers that the integration tests share.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use laurelstall_config::settings::DecisionFormat;
use laurelstall_standin::{call_uri::CALLER_HOST, harness::Harness, harness_plan::HarnessPlan};
use std::net::SocketAddr;

/// Returns a deployment of one service with `targets` targets and a mean service time of 1 ms.
pub fn plan(targets: usize) -> HarnessPlan {
    let mut plan = HarnessPlan::deployment("faltgard", 1, 1.0).expect("the deployment is known");
    plan.services[0].targets = targets;
    plan.decisions = DecisionFormat::Off;
    plan
}

/// Starts a deployment on the loopback interface.
pub async fn start(plan: HarnessPlan) -> Harness {
    Harness::start(plan).await.expect("the deployment starts")
}

/// A complete answer.
#[derive(Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Answer {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }
}

/// Sends a request with these headers to an entry node; returns `None` if the answer is incomplete.
pub async fn send_request(
    entry: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: Bytes,
) -> Option<Answer> {
    let client: Client<HttpConnector, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
    let mut request = Request::builder().method(method).uri(format!("http://{entry}{path}"));
    request = request.header("host", CALLER_HOST);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(body)).expect("the request is valid");
    let response = client.request(request).await.ok()?;
    let (parts, body) = response.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    Some(Answer { status: parts.status, headers: parts.headers, body })
}

/// Returns the entry address of the node with this number, counted from 0.
pub fn entry(harness: &Harness, number: usize) -> SocketAddr {
    harness.nodes()[number].1.entry_address
}
