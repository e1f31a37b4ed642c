//! HTTP towards the target beside this node.

use crate::{
    body::{empty, whole},
    target_pool::{PoolError, TargetPool, UsedConnection},
};
use http::{HeaderMap, Method, Request, Response, Uri, Version};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use laurelstall_config::settings::{TargetHttp, TargetSettings};
use laurelstall_peer::{attempt::AttemptBody, body::AnswerBody};
use std::sync::Arc;
use tokio::time::Duration;

/// Idle HTTP/2 connections to the target that are kept.
const TARGET_IDLE_MAX: usize = 4;
/// An idle HTTP/2 connection to the target is closed after so long.
const TARGET_IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Why the target gave no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetError {
    /// No connection: it has seen nothing.
    NoConnection,
    /// The connection broke: it may have run the request.
    Broken,
}

/// The way to the target, in the HTTP version that it speaks.
#[derive(Debug)]
pub enum TargetClient {
    /// HTTP/1.1.
    Http1(Arc<TargetPool>),
    /// HTTP/2 without TLS.
    Http2(Box<Client<HttpConnector, AnswerBody>>),
}

impl TargetClient {
    /// A client without connections.
    pub fn new(settings: &TargetSettings) -> Self {
        let connect_timeout = Duration::from_millis(settings.connect_timeout_ms);
        match settings.http {
            TargetHttp::Http1 => Self::Http1(TargetPool::new(settings.address, connect_timeout)),
            TargetHttp::Http2 => Self::Http2(Box::new(http2_client(connect_timeout))),
        }
    }

    /// Closes connections that rest, to a target that has started again.
    pub fn close_idle(&self) {
        match self {
            Self::Http1(pool) => pool.clear(),
            // Its library finds closed ones out before it uses them.
            Self::Http2(_) => {}
        }
    }

    /// Sends a request; with HTTP/1.1, also the connection to give back once the answer was read.
    ///
    /// # Errors
    ///
    /// [`TargetError`]; only one of its values proves that nothing ran.
    pub async fn send(
        &self,
        request: Request<AnswerBody>,
        may_repeat: bool,
    ) -> Result<(Response<Incoming>, Option<UsedConnection>), TargetError> {
        match self {
            Self::Http1(pool) => match pool.send(request, may_repeat).await {
                Ok((response, connection)) => Ok((response, Some(connection))),
                Err(PoolError::Connect(_)) => Err(TargetError::NoConnection),
                Err(PoolError::Broken(_)) => Err(TargetError::Broken),
            },
            Self::Http2(client) => match client.request(request).await {
                Ok(response) => Ok((response, None)),
                Err(error) if error.is_connect() => Err(TargetError::NoConnection),
                Err(_) => Err(TargetError::Broken),
            },
        }
    }
}

fn http2_client(connect_timeout: Duration) -> Client<HttpConnector, AnswerBody> {
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

/// The request that the target gets; none when method or path are no HTTP.
pub fn target_request(
    settings: &TargetSettings,
    method: &str,
    path: &str,
    headers: HeaderMap,
    body: AttemptBody,
) -> Option<Request<AnswerBody>> {
    let method = Method::from_bytes(method.as_bytes()).ok()?;
    let uri: Uri = match settings.http {
        TargetHttp::Http1 => path.parse().ok()?,
        TargetHttp::Http2 => format!("http://{}{path}", settings.address).parse().ok()?,
    };
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
