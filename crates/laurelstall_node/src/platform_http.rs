//! Reading the platform over HTTP.
//!
//! `GET /v1/values?after=N&wait_ms=W` lists keys and versions, at once or when the sequence
//! passes `N`; `GET /v1/values/KEY` gives a text, its version in the header `version`.

use bytes::Bytes;
use futures_util::future::{BoxFuture, FutureExt};
use http::{HeaderName, Request, Uri};
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
use std::fmt::Display;
use tokio::time::{Duration, timeout};

/// Header with a value's version.
pub const VERSION_HEADER: HeaderName = HeaderName::from_static("version");

/// A listing as it travels.
#[derive(Debug, Serialize, Deserialize)]
pub struct WireListing {
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
    /// Its version.
    pub version: Version,
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
}

impl HttpPlatform {
    /// Reads as `settings` say.
    pub fn new(settings: &PlatformSettings) -> Self {
        let connector = platform_connector(settings);
        let client = Client::builder(TokioExecutor::new()).pool_max_idle_per_host(1).build(connector);
        Self { settings: settings.clone(), client }
    }

    async fn get(&self, path: &str, wait_ms: u64) -> Result<(Option<Version>, Bytes), PlatformError> {
        let uri = format!("http://{}{path}", self.settings.address);
        let uri: Uri = uri.parse().map_err(unreachable_platform)?;
        let request = Request::get(uri).body(Empty::new()).map_err(unreachable_platform)?;
        let limit = Duration::from_millis(self.settings.read_timeout_ms + wait_ms);
        let read = async {
            let response = self.client.request(request).await.map_err(unreachable_platform)?;
            if !response.status().is_success() {
                return Err(unreachable_platform(format!("{path}: status {}", response.status())));
            }
            let version = response.headers().get(VERSION_HEADER);
            let version = version.and_then(|value| value.to_str().ok()?.parse().ok());
            let body = Limited::new(response.into_body(), DOCUMENT_BYTES_MAX);
            let bytes = body.collect().await.map_err(unreachable_platform)?.to_bytes();
            Ok((version, bytes))
        };
        timeout(limit, read).await.map_err(|_| unreachable_platform(format!("{path}: no answer in time")))?
    }
}

fn unreachable_platform(error: impl Display) -> PlatformError {
    PlatformError::Unreachable(error.to_string())
}

impl PlatformSource for HttpPlatform {
    fn watch(&self, after: Option<u64>) -> BoxFuture<'_, Result<Listing, PlatformError>> {
        async move {
            let wait_ms = self.settings.watch_wait_ms;
            let (path, wait_ms) = match after {
                Some(after) => (format!("/v1/values?after={after}&wait_ms={wait_ms}"), wait_ms),
                None => ("/v1/values".to_owned(), 0),
            };
            let (_, bytes) = self.get(&path, wait_ms).await?;
            let wire: WireListing = serde_json::from_slice(&bytes).map_err(unreachable_platform)?;
            // Keys that are no documents of this system are somebody else's.
            let known = |value: WireValue| Some((DocumentName::from_key(&value.key)?, value.version));
            Ok(Listing {
                sequence: wire.sequence,
                versions: wire.values.into_iter().filter_map(known).collect(),
            })
        }
        .boxed()
    }

    fn read(&self, name: DocumentName) -> BoxFuture<'_, Result<Document, PlatformError>> {
        async move {
            let (version, bytes) = self.get(&format!("/v1/values/{name}"), 0).await?;
            let version = version.ok_or_else(|| unreachable_platform("a value without version"))?;
            let text = String::from_utf8(bytes.to_vec()).map_err(unreachable_platform)?;
            Ok(Document { name, version, text })
        }
        .boxed()
    }
}
