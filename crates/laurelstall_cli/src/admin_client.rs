//! Asking a node's administration API.

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

/// Longest wait for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest answer in bytes.
const ANSWER_BYTES_MAX: usize = 8 * 1024 * 1024;

/// One question to a node.
#[derive(Debug, Clone)]
pub struct Question {
    /// Address of the node, `IP:PORT`.
    pub node: String,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Bearer token.
    pub token: Option<String>,
    /// Host name to ask for, when it is not the address.
    pub host: Option<String>,
    /// Body.
    pub body: String,
}

/// Asks and gives the answer's status and text.
///
/// # Errors
///
/// What kept the node from answering.
pub async fn ask(question: &Question) -> Result<(StatusCode, String), String> {
    let uri = format!("http://{}{}", question.node, question.path);
    let mut request = Request::builder().method(&question.method).uri(uri);
    if let Some(token) = &question.token {
        let value = HeaderValue::from_str(&format!("Bearer {token}")).map_err(|error| error.to_string())?;
        request = request.header(AUTHORIZATION, value);
    }
    if let Some(host) = &question.host {
        request = request.header(HOST, host);
    }
    let request =
        request.body(Full::new(Bytes::from(question.body.clone()))).map_err(|error| error.to_string())?;
    let client: Client<HttpConnector, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
    let answered = timeout(ANSWER_TIMEOUT, async {
        let response = client.request(request).await.map_err(|error| error.to_string())?;
        let status = response.status();
        let body = Limited::new(response.into_body(), ANSWER_BYTES_MAX).collect().await;
        let bytes = body.map_err(|error| error.to_string())?.to_bytes();
        Ok((status, String::from_utf8_lossy(&bytes).into_owned()))
    });
    answered.await.map_err(|_| "no answer in time".to_owned())?
}
