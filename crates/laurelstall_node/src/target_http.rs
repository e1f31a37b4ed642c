//! HTTP client for the local target. It returns whole, well-framed heads of answers only.

use crate::{
    body::{empty_body, full_body},
    target_pool::{PoolError, TargetPool, UsedConnection},
};
use http::{HeaderMap, Method, Request, Response, Uri, Version};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use laurelstall_answer::{
    answer_error::AnswerError,
    answer_head::{AnswerHead, Framing},
};
use laurelstall_config::settings::{TargetHttp, TargetSettings};
use laurelstall_peer::{attempt::AttemptBody, body::BoxedBody};
use std::sync::Arc;
use tokio::time::Duration;

/// Maximum number of idle HTTP/2 connections to the target.
const TARGET_IDLE_MAX: usize = 4;
/// Time after which an idle HTTP/2 connection to the target is closed.
const TARGET_IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Why the target gave no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TargetError {
    /// No connection could be opened, so the target has not received the request.
    NoConnection,
    /// The connection broke; the target may have run the request.
    Broken,
    /// The target sent bytes that are no answer; it may have run the request.
    Malformed(AnswerError),
}

/// The beginning of a target's answer.
#[derive(Debug)]
pub struct TargetAnswer {
    /// The checked head, and the body.
    pub response: Response<Incoming>,
    /// How the end of the body is told.
    pub framing: Framing,
    /// The HTTP/1.1 connection to give back after the body has been read.
    pub connection: Option<UsedConnection>,
}

/// Client for the target, in the HTTP version that it supports.
#[derive(Debug)]
pub enum TargetClient {
    /// HTTP/1.1.
    Http1(Arc<TargetPool>),
    /// HTTP/2 without TLS (h2c).
    Http2(Box<Client<HttpConnector, BoxedBody>>),
}

impl TargetClient {
    /// Creates a client without connections.
    pub fn new(settings: &TargetSettings) -> Self {
        let connect_timeout = Duration::from_millis(settings.connect_timeout_ms);
        match settings.http {
            TargetHttp::Http1 => Self::Http1(TargetPool::new(settings.address, connect_timeout)),
            TargetHttp::Http2 => Self::Http2(Box::new(http2_client(connect_timeout))),
        }
    }

    /// Closes idle connections, for use after a restart of the target.
    pub fn close_idle(&self) {
        match self {
            Self::Http1(pool) => pool.clear(),
            // The HTTP/2 client detects closed connections before it uses them.
            Self::Http2(_) => {}
        }
    }

    /// Sends a request and returns the beginning of the answer.
    ///
    /// # Errors
    ///
    /// Returns a [`TargetError`]; only [`TargetError::NoConnection`] proves that nothing ran.
    pub async fn send(
        &self,
        request: Request<BoxedBody>,
        may_repeat: bool,
    ) -> Result<TargetAnswer, TargetError> {
        let method = request.method().clone();
        let (response, connection) = match self {
            Self::Http1(pool) => match pool.send(request, may_repeat).await {
                Ok((response, connection)) => (response, Some(connection)),
                Err(PoolError::Connect(_)) => return Err(TargetError::NoConnection),
                Err(PoolError::Broken(error)) => return Err(broken_by(&error)),
            },
            Self::Http2(client) => match client.request(request).await {
                Ok(response) => (response, None),
                Err(error) if error.is_connect() => return Err(TargetError::NoConnection),
                Err(_) => return Err(TargetError::Broken),
            },
        };
        let head = AnswerHead {
            method: &method,
            version: response.version(),
            status: response.status(),
            headers: response.headers(),
        };
        let framing = head.framing().map_err(TargetError::Malformed)?;
        Ok(TargetAnswer { response, framing, connection })
    }
}

fn broken_by(error: &hyper::Error) -> TargetError {
    if error.is_parse() {
        TargetError::Malformed(AnswerError::Head(error.to_string()))
    } else {
        TargetError::Broken
    }
}

fn http2_client(connect_timeout: Duration) -> Client<HttpConnector, BoxedBody> {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(connect_timeout));
    let mut builder = Client::builder(TokioExecutor::new());
    builder.pool_timer(TokioTimer::new());
    builder.pool_idle_timeout(TARGET_IDLE_TIMEOUT);
    builder.pool_max_idle_per_host(TARGET_IDLE_MAX);
    builder.set_host(false);
    builder.http2_only(true);
    builder.build(connector)
}

/// Builds the request for the target; `None` if the method or the path is invalid.
pub fn target_request(
    settings: &TargetSettings,
    method: &str,
    path: &str,
    headers: HeaderMap,
    body: AttemptBody,
) -> Option<Request<BoxedBody>> {
    let method = Method::from_bytes(method.as_bytes()).ok()?;
    let uri: Uri = match settings.http {
        TargetHttp::Http1 => path.parse().ok()?,
        TargetHttp::Http2 => format!("http://{}{path}", settings.address).parse().ok()?,
    };
    let body = match body {
        AttemptBody::Whole(bytes) if bytes.is_empty() => empty_body(),
        AttemptBody::Whole(bytes) => full_body(bytes),
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
