//! Reading the platform over HTTP.
//!
//! `GET /v1/values?after=N&era=E&wait_ms=W` lists keys and versions, at once or when the sequence
//! passes `N`; `GET /v1/values/KEY` gives a text, its version in the header `version`.
//!
//! A platform that comes back from an older copy counts its `era` up, which stands in the listing and in the header `era`.
//! Its sequence and the versions of the list of hosts, which it counts itself, go on from the copy; the versions of
//! other documents are their authors' and never go back.

use bytes::Bytes;
use futures_util::future::{BoxFuture, FutureExt};
use http::{HeaderMap, HeaderName, Request, Uri};
use http_body_util::{BodyExt, Empty, Limited};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use laurelstall_config::{
    document::{DOCUMENT_BYTES_MAX, Document, DocumentName, Version},
    settings::PlatformSettings,
};
use laurelstall_peer::platform::{Listing, PlatformError, PlatformSource};
use serde::{Deserialize, Serialize};
use std::{
    fmt::Display,
    sync::atomic::{AtomicU64, Ordering},
};
use tokio::time::{Duration, timeout};

/// Header with a value's version.
pub const VERSION_HEADER: HeaderName = HeaderName::from_static("version");

/// Header with how often the platform had come back from an older copy.
pub const ERA_HEADER: HeaderName = HeaderName::from_static("era");

/// A listing as it travels.
#[derive(Debug, Serialize, Deserialize)]
pub struct WireListing {
    /// How often the platform had come back from an older copy; absent on platforms that never do.
    #[serde(default)]
    pub era: u64,
    /// Grows with each change.
    pub sequence: u64,
    /// The newest version of each key.
    pub values: Vec<WireValue>,
}

/// One key of a listing.
#[derive(Debug, Serialize, Deserialize)]
pub struct WireValue {
    /// The key, as [`DocumentName`] writes it.
    pub key: String,
    /// Number of its version.
    pub version: u64,
}

/// Rest of a connection to the platform after which it is probed, and pause to the next probe: the shortest that
/// the system's TCP knows.
///
/// A watch rests for seconds, and a way that was cut says nothing: without probes the reader would find out when
/// the watch is overdue, 3.5 s later on the users' platform, and those that stand by would take it for able.
const KEEP_ALIVE: Duration = Duration::from_secs(1);
/// Probes without an answer after which the connection is given up.
const KEEP_ALIVE_RETRIES: u32 = 1;

/// Opens connections to the platform that end when the way to it is cut.
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

/// The platform's configuration service over HTTP.
#[derive(Debug)]
pub struct HttpPlatform {
    settings: PlatformSettings,
    client: Client<HttpConnector, Empty<Bytes>>,
    /// The era of the last listing.
    era: AtomicU64,
}

impl HttpPlatform {
    /// Reads as `settings` say.
    pub fn new(settings: &PlatformSettings) -> Self {
        let connector = platform_connector(settings);
        let client = Client::builder(TokioExecutor::new()).pool_max_idle_per_host(1).build(connector);
        Self { settings: settings.clone(), client, era: AtomicU64::new(0) }
    }

    async fn get(&self, path: &str, wait_ms: u64) -> Result<(HeaderMap, Bytes), PlatformError> {
        let uri = format!("http://{}{path}", self.settings.address);
        let uri: Uri = uri.parse().map_err(unreachable_platform)?;
        let request = Request::get(uri).body(Empty::new()).map_err(unreachable_platform)?;
        let limit = Duration::from_millis(self.settings.read_timeout_ms + wait_ms);
        let read = async {
            let response = self.client.request(request).await.map_err(unreachable_platform)?;
            if !response.status().is_success() {
                return Err(unreachable_platform(format!("{path}: status {}", response.status())));
            }
            let headers = response.headers().clone();
            let body = Limited::new(response.into_body(), DOCUMENT_BYTES_MAX);
            let bytes = body.collect().await.map_err(unreachable_platform)?.to_bytes();
            Ok((headers, bytes))
        };
        timeout(limit, read).await.map_err(|_| unreachable_platform(format!("{path}: no answer in time")))?
    }
}

/// The version of a document that the platform gives a number in an era.
pub fn version_of(name: &DocumentName, era: u64, number: u64) -> Version {
    match name {
        DocumentName::Fleet => Version::in_era(era, number),
        DocumentName::System | DocumentName::Team(_) => Version::new(number),
    }
}

fn number_in(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

fn unreachable_platform(error: impl Display) -> PlatformError {
    PlatformError::Unreachable(error.to_string())
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
            let (_, bytes) = self.get(&path, wait_ms).await?;
            let wire: WireListing = serde_json::from_slice(&bytes).map_err(unreachable_platform)?;
            self.era.store(wire.era, Ordering::Relaxed);
            // Keys that are no documents of this system are somebody else's.
            let known = |value: WireValue| {
                let name = DocumentName::from_key(&value.key)?;
                let version = version_of(&name, wire.era, value.version);
                Some((name, version))
            };
            Ok(Listing {
                era: wire.era,
                sequence: wire.sequence,
                versions: wire.values.into_iter().filter_map(known).collect(),
            })
        }
        .boxed()
    }

    fn read(&self, name: DocumentName) -> BoxFuture<'_, Result<Document, PlatformError>> {
        async move {
            let (headers, bytes) = self.get(&format!("/v1/values/{name}"), 0).await?;
            let number = number_in(&headers, &VERSION_HEADER);
            let number = number.ok_or_else(|| unreachable_platform("a value without version"))?;
            let version = version_of(&name, number_in(&headers, &ERA_HEADER).unwrap_or(0), number);
            let text = String::from_utf8(bytes.to_vec()).map_err(unreachable_platform)?;
            Ok(Document { name, version, text })
        }
        .boxed()
    }
}
