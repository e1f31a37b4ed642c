//! HTTP towards the target beside this node.

use crate::{
    body::{empty, whole},
    headers::{BUDGET, number_value},
};
use http::{Method, Request, Uri, Version};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use laurelstall_config::settings::{TargetHttp, TargetSettings};
use laurelstall_peer::{
    attempt::AttemptBody, body::AnswerBody, client::headers_from_wire, message::AttemptHead,
};
use tokio::time::Duration;

/// Idle connections to the target that are kept.
const TARGET_IDLE_MAX: usize = 64;
/// An idle connection to the target is closed after so long.
const TARGET_IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// A client that keeps some connections to the target open.
pub fn target_client(settings: Option<&TargetSettings>) -> Client<HttpConnector, AnswerBody> {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    let timeout_ms = settings.map_or(1_000, |settings| settings.connect_timeout_ms);
    connector.set_connect_timeout(Some(Duration::from_millis(timeout_ms)));
    let mut builder = Client::builder(TokioExecutor::new());
    builder.pool_timer(TokioTimer::new());
    builder.pool_idle_timeout(TARGET_IDLE_TIMEOUT);
    builder.pool_max_idle_per_host(TARGET_IDLE_MAX);
    builder.set_host(false);
    builder.http2_only(settings.is_some_and(|settings| settings.http == TargetHttp::Http2));
    builder.build(connector)
}

/// The request that the target gets; none when the head is no HTTP.
pub fn target_request(
    settings: &TargetSettings,
    head: AttemptHead,
    body: AttemptBody,
    budget_us: u64,
) -> Option<Request<AnswerBody>> {
    let mut headers = headers_from_wire(&head.headers)?;
    headers.insert(BUDGET, number_value((budget_us / 1_000).max(1)));
    let method = Method::from_bytes(head.method.as_bytes()).ok()?;
    let uri = format!("http://{}{}", settings.address, head.uri);
    let uri: Uri = uri.parse().ok()?;
    let body = match body {
        AttemptBody::Whole(bytes) if bytes.is_empty() => empty(),
        AttemptBody::Whole(bytes) => whole(bytes),
        AttemptBody::Stream(body) => body,
    };
    let mut request = Request::new(body);
    *request.method_mut() = method;
    *request.uri_mut() = uri;
    *request.headers_mut() = headers;
    if settings.http == TargetHttp::Http2 {
        *request.version_mut() = Version::HTTP_2;
    }
    Some(request)
}
