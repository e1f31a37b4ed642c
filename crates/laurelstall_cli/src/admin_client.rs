//! Client for the administration API of a node.

use bytes::Bytes;
use http::{
    HeaderValue, Method, Request, StatusCode,
    header::{AUTHORIZATION, HOST},
};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use tokio::time::{Duration, timeout};

/// Maximum time to wait for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum size of an answer in bytes.
const ANSWER_BYTES_MAX: usize = 8 * 1024 * 1024;

/// A request to the administration API of a node.
#[derive(Debug, Clone)]
pub struct AdminRequest {
    /// Address of the node, `IP:PORT`.
    pub node: String,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Bearer token. `None` sends no token.
    pub token: Option<String>,
    /// Value of the `Host` header. `None` uses the address of the node.
    pub host: Option<String>,
    /// Body of the request.
    pub body: String,
}

/// Sends a request and returns the status and text of the answer.
///
/// # Errors
///
/// Returns a message when the request is invalid, the node cannot be reached, or its answer is late or too long.
pub async fn send_request(admin_request: &AdminRequest) -> Result<(StatusCode, String), String> {
    let uri = format!("http://{}{}", admin_request.node, admin_request.path);
    let mut request = Request::builder().method(&admin_request.method).uri(uri);
    if let Some(token) = &admin_request.token {
        let value = HeaderValue::from_str(&format!("Bearer {token}")).map_err(|error| error.to_string())?;
        request = request.header(AUTHORIZATION, value);
    }
    if let Some(host) = &admin_request.host {
        request = request.header(HOST, host);
    }
    let request = request
        .body(Full::new(Bytes::from(admin_request.body.clone())))
        .map_err(|error| error.to_string())?;
    let client: Client<HttpConnector, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
    let answer = timeout(ANSWER_TIMEOUT, async {
        let response = client.request(request).await.map_err(|error| error.to_string())?;
        let status = response.status();
        let body = Limited::new(response.into_body(), ANSWER_BYTES_MAX).collect().await;
        let bytes = body.map_err(|error| error.to_string())?.to_bytes();
        Ok((status, String::from_utf8_lossy(&bytes).into_owned()))
    });
    answer.await.map_err(|_| "timed out waiting for an answer".to_owned())?
}
