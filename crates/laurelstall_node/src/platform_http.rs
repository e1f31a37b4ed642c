//! Reads documents from the platform over HTTP.
//!
//! `GET /v1/values?after=N&era=E&wait_ms=W` lists keys and versions. It is a long poll: it returns when the sequence
//! passes `N`, or after `W` ms. `GET /v1/values/KEY` returns a text, with its version in the header `version`.
//!
//! A platform that was restored from an older copy increments its `era`, which is in the listing and in the header `era`.
//! Its sequence and the versions of the host list, which it assigns itself, continue from the copy. The versions of other
//! documents are assigned by their authors and never decrease.

use bytes::Bytes;
use futures_util::future::{BoxFuture, FutureExt};
use http::{HeaderMap, HeaderName, Method, Request, Response, Uri};
use http_body_util::{BodyExt, Empty, Limited};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use laurelstall_answer::{answer_error::AnswerError, answer_head::AnswerHead};
use laurelstall_config::{
    document::{Document, DocumentName, Version},
    settings::PlatformSettings,
};
use laurelstall_peer::platform::{Listing, PlatformError, PlatformSource};
use serde::{Deserialize, Serialize};
use std::{
    fmt::Display,
    sync::atomic::{AtomicU64, Ordering},
};
use tokio::time::{Duration, timeout};

/// Header with the version of a value.
pub const VERSION_HEADER: HeaderName = HeaderName::from_static("version");

/// Header with the number of times that the platform was restored from an older copy.
pub const ERA_HEADER: HeaderName = HeaderName::from_static("era");

/// A listing in its wire format.
#[derive(Debug, Serialize, Deserialize)]
pub struct WireListing {
    /// Number of times that the platform was restored from an older copy. Platforms without restores omit it.
    #[serde(default)]
    pub era: u64,
    /// Increases with each change.
    pub sequence: u64,
    /// The newest version of each key.
    pub values: Vec<WireValue>,
}

/// A key of a listing.
#[derive(Debug, Serialize, Deserialize)]
pub struct WireValue {
    /// The key: the name of a document as [`DocumentName`] formats it.
    pub key: String,
    /// Version number of the value.
    pub version: u64,
}

/// Idle time after which TCP keep-alive probes are sent to the platform, and the interval between probes. One second is
/// the shortest time that Linux supports.
///
/// A long poll is idle for seconds. Without probes, a reader would notice a network failure only when the poll is overdue,
/// and until then the standby readers would not take over.
const KEEP_ALIVE: Duration = Duration::from_secs(1);
/// Number of unanswered probes after which the connection is closed.
const KEEP_ALIVE_RETRIES: u32 = 1;

/// Time after its wait time in which a watch is answered, unless the platform's time limit is shorter.
///
/// A connection that went silent without a reset shows only in this: the later a watch is given up, the longer a reader knows
/// of no change.
const WATCH_LATE_MAX: Duration = Duration::from_millis(300);

/// Returns the time limit for the head of an answer that the platform may delay by `wait_ms`.
pub fn head_timeout(settings: &PlatformSettings, wait_ms: u64) -> Duration {
    let read_timeout = Duration::from_millis(settings.read_timeout_ms);
    match wait_ms {
        0 => read_timeout,
        wait_ms => Duration::from_millis(wait_ms) + read_timeout.min(WATCH_LATE_MAX),
    }
}

/// Checks the head of the platform's answer to a GET.
///
/// # Errors
///
/// [`AnswerError`] if it is no head of a whole answer.
pub fn check_head<B>(response: &Response<B>) -> Result<(), AnswerError> {
    let head = AnswerHead {
        method: &Method::GET,
        version: response.version(),
        status: response.status(),
        headers: response.headers(),
    };
    head.framing().map(|_| ())
}

/// Creates a connector whose connections to the platform fail soon after the network does.
pub fn platform_connector(settings: &PlatformSettings) -> HttpConnector {
    let answer_max = Duration::from_millis(settings.read_timeout_ms);
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(answer_max));
    connector.set_keepalive(Some(KEEP_ALIVE));
    connector.set_keepalive_interval(Some(KEEP_ALIVE));
    connector.set_keepalive_retries(Some(KEEP_ALIVE_RETRIES));
    #[cfg(target_os = "linux")]
    connector.set_tcp_user_timeout(Some(answer_max));
    connector
}

/// The configuration service of the platform, accessed over HTTP.
#[derive(Debug)]
pub struct HttpPlatform {
    settings: PlatformSettings,
    client: Client<HttpConnector, Empty<Bytes>>,
    /// The era of the last listing.
    era: AtomicU64,
}

impl HttpPlatform {
    /// Creates a client for the platform in `settings`.
    pub fn new(settings: &PlatformSettings) -> Self {
        let connector = platform_connector(settings);
        let client = Client::builder(TokioExecutor::new()).pool_max_idle_per_host(1).build(connector);
        Self { settings: settings.clone(), client, era: AtomicU64::new(0) }
    }

    async fn get(
        &self,
        path: &str,
        wait_ms: u64,
        bytes_max: usize,
    ) -> Result<(HeaderMap, Bytes), PlatformError> {
        let uri = format!("http://{}{path}", self.settings.address);
        let uri: Uri = uri.parse().map_err(platform_error)?;
        let request = Request::get(uri).body(Empty::new()).map_err(platform_error)?;
        let is_late = |_| platform_error(format!("{path}: timed out"));
        let head = timeout(head_timeout(&self.settings, wait_ms), self.client.request(request));
        let response = head.await.map_err(is_late)?.map_err(platform_error)?;
        check_head(&response).map_err(|error| platform_error(format!("{path}: no answer: {error}")))?;
        if !response.status().is_success() {
            return Err(platform_error(format!("{path}: status {}", response.status())));
        }
        let headers = response.headers().clone();
        let body = Limited::new(response.into_body(), bytes_max).collect();
        let body =
            timeout(Duration::from_millis(self.settings.read_timeout_ms), body).await.map_err(is_late)?;
        Ok((headers, body.map_err(platform_error)?.to_bytes()))
    }
}

/// Builds the version of a document from the platform's era and version number.
pub fn version_of(name: &DocumentName, era: u64, number: u64) -> Version {
    match name {
        DocumentName::Fleet => Version::in_era(era, number),
        DocumentName::System | DocumentName::Team(_) => Version::new(number),
    }
}

fn number_in(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

fn platform_error(error: impl Display) -> PlatformError {
    PlatformError::ReadFailed(error.to_string())
}

impl PlatformSource for HttpPlatform {
    fn watch(&self, after: Option<u64>) -> BoxFuture<'_, Result<Listing, PlatformError>> {
        async move {
            let wait_ms = self.settings.watch_wait_ms;
            let (path, wait_ms) = match after {
                Some(after) => {
                    let era = self.era.load(Ordering::Relaxed);
                    (format!("/v1/values?after={after}&era={era}&wait_ms={wait_ms}"), wait_ms)
                }
                None => ("/v1/values".to_owned(), 0),
            };
            // A list has no limit of its own; it may be as long as the list of hosts.
            let bytes_max = self.settings.document_bytes_max();
            let (_, bytes) = self.get(&path, wait_ms, bytes_max).await?;
            let wire: WireListing = serde_json::from_slice(&bytes).map_err(platform_error)?;
            self.era.store(wire.era, Ordering::Relaxed);
            // Keys that do not name documents belong to other systems and are ignored.
            let parse_value = |value: WireValue| {
                let name = DocumentName::from_key(&value.key)?;
                let version = version_of(&name, wire.era, value.version);
                Some((name, version))
            };
            Ok(Listing {
                era: wire.era,
                sequence: wire.sequence,
                versions: wire.values.into_iter().filter_map(parse_value).collect(),
            })
        }
        .boxed()
    }

    fn read(&self, name: DocumentName) -> BoxFuture<'_, Result<Document, PlatformError>> {
        async move {
            let (headers, bytes) =
                self.get(&format!("/v1/values/{name}"), 0, self.settings.value_bytes_max).await?;
            let number = number_in(&headers, &VERSION_HEADER);
            let number = number.ok_or_else(|| platform_error("the answer has no version header"))?;
            let version = version_of(&name, number_in(&headers, &ERA_HEADER).unwrap_or(0), number);
            let text = String::from_utf8(bytes.to_vec()).map_err(platform_error)?;
            Ok(Document { name, version, text })
        }
        .boxed()
    }
}
