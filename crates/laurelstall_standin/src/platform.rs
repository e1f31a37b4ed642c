//! A stand-in for the platform's configuration service.

use bytes::Bytes;
use futures_util::future::{BoxFuture, FutureExt};
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::{body::Incoming, service::service_fn};
use hyper_util::{
    rt::{TokioExecutor, TokioIo},
    server::conn::auto::Builder,
};
use laurelstall_config::document::{Document, DocumentName, Version};
use laurelstall_node::platform_http::{ERA_HEADER, VERSION_HEADER, WireListing, WireValue, version_of};
use laurelstall_peer::platform::{Listing, PlatformError, PlatformSource};
use std::{
    collections::BTreeMap,
    convert::Infallible,
    net::TcpListener as StdListener,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};
use tokio::{
    net::TcpListener,
    sync::watch,
    time::{Duration, sleep, timeout},
};

/// Longest wait of a watch in ms.
const WAIT_MS_MAX: u64 = 300_000;

#[derive(Debug, Clone, Default)]
struct Values {
    /// How often the platform came back from an older copy.
    era: u64,
    sequence: u64,
    documents: BTreeMap<String, Document>,
}

/// What the platform had at some instant.
#[derive(Debug, Clone)]
pub struct Snapshot(Values);

/// The platform: values with growing versions, which the system can only read.
#[derive(Debug)]
pub struct StandinPlatform {
    values: Mutex<Values>,
    /// The version that authors gave each document last: they count on, whatever the platform has lost.
    authored: Mutex<BTreeMap<DocumentName, u64>>,
    /// What a stale platform shows instead.
    stale: Mutex<Option<Values>>,
    sequence: watch::Sender<u64>,
    is_away: AtomicBool,
    lag_ms: AtomicU64,
    calls: AtomicU64,
}

impl StandinPlatform {
    /// A platform without values.
    pub fn new() -> Arc<Self> {
        let (sequence, _) = watch::channel(0);
        Arc::new(Self {
            values: Mutex::default(),
            authored: Mutex::default(),
            stale: Mutex::default(),
            sequence,
            is_away: AtomicBool::new(false),
            lag_ms: AtomicU64::new(0),
            calls: AtomicU64::new(0),
        })
    }

    /// Publishes a text under the next version, which is returned.
    pub fn publish(&self, name: &DocumentName, text: &str) -> Version {
        let (version, sequence) = {
            let mut values = self.values();
            values.sequence += 1;
            let key = name.to_string();
            let held = values.documents.get(&key).map_or(0, |document| document.version.number);
            let version = version_of(name, values.era, self.next_number(name, held));
            let document = Document { name: name.clone(), version, text: text.to_owned() };
            values.documents.insert(key, document);
            (version, values.sequence)
        };
        self.sequence.send_replace(sequence);
        version
    }

    /// The number of a document's next version: the platform counts the list of hosts itself, from what it holds.
    fn next_number(&self, name: &DocumentName, held: u64) -> u64 {
        if *name == DocumentName::Fleet {
            return held + 1;
        }
        let mut authored = self.authored.lock().unwrap_or_else(PoisonError::into_inner);
        let number = authored.entry(name.clone()).or_default();
        *number += 1;
        *number
    }

    /// Comes back from an older copy, in the next era: what was published since is lost, and the sequence and the
    /// versions of the list of hosts are given out again.
    pub fn return_from(&self, copy: &Snapshot) {
        let sequence = copy.0.sequence;
        {
            let mut values = self.values();
            let era = values.era + 1;
            *values = Values { era, ..copy.0.clone() };
            for document in values.documents.values_mut() {
                document.version = version_of(&document.name, era, document.version.number);
            }
        }
        // Watches that wait notice.
        self.sequence.send_replace(sequence);
    }

    /// Publishes again what it had when `lost` was taken and has no more, as authors do after it came back from a copy.
    pub fn publish_again(&self, lost: &Snapshot) {
        for document in lost.0.documents.values() {
            if self.text(&document.name).as_ref() != Some(&document.text) {
                self.publish(&document.name, &document.text);
            }
        }
    }

    /// The text published last.
    pub fn text(&self, name: &DocumentName) -> Option<String> {
        self.values().documents.get(&name.to_string()).map(|document| document.text.clone())
    }

    /// Lets the platform show what it has now for as long as it is stale.
    pub fn set_stale(&self, is_stale: bool) {
        let shown = is_stale.then(|| self.values().clone());
        *self.stale.lock().unwrap_or_else(PoisonError::into_inner) = shown;
    }

    /// What the platform has now, to be [shown](Self::show) again later.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot(self.values().clone())
    }

    /// Lets the platform show what it had when `snapshot` was taken.
    pub fn show(&self, snapshot: Snapshot) {
        *self.stale.lock().unwrap_or_else(PoisonError::into_inner) = Some(snapshot.0);
    }

    /// Takes the platform away, or brings it back.
    pub fn set_away(&self, is_away: bool) {
        self.is_away.store(is_away, Ordering::Relaxed);
        // Watches that wait notice.
        self.sequence.send_modify(|_| {});
    }

    /// Lets each answer take so much longer.
    pub fn set_lag_ms(&self, lag_ms: u64) {
        self.lag_ms.store(lag_ms, Ordering::Relaxed);
    }

    /// Calls so far, a watch as one.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Serves HTTP on the current runtime.
    ///
    /// # Panics
    ///
    /// When the listener cannot be used.
    pub fn serve(self: &Arc<Self>, listener: StdListener) {
        listener.set_nonblocking(true).expect("the listener is usable");
        let listener = TcpListener::from_std(listener).expect("the listener is usable");
        let this = self.clone();
        tokio::spawn(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else { continue };
                let this = this.clone();
                let service = service_fn(move |request| {
                    let this = this.clone();
                    async move { Ok::<_, Infallible>(this.answer(&request).await) }
                });
                let builder = Builder::new(TokioExecutor::new());
                let connection = builder.serve_connection(TokioIo::new(stream), service).into_owned();
                tokio::spawn(connection);
            }
        });
    }

    async fn answer(&self, request: &Request<Incoming>) -> Response<Full<Bytes>> {
        let path = request.uri().path();
        if path == "/v1/values" {
            let query = request.uri().query().unwrap_or_default();
            let number = |name: &str| {
                let pair = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
                pair.and_then(|value| value.parse::<u64>().ok())
            };
            let wait_ms = number("wait_ms").unwrap_or(0).min(WAIT_MS_MAX);
            return match self.list(number("after"), number("era"), wait_ms).await {
                Ok(values) => {
                    let list = values.documents.values();
                    let list = list.map(|d| WireValue { key: d.name.to_string(), version: d.version.number });
                    let listing =
                        WireListing { era: values.era, sequence: values.sequence, values: list.collect() };
                    let text = serde_json::to_vec(&listing).unwrap_or_default();
                    Response::new(Full::new(text.into()))
                }
                Err(_) => status(StatusCode::SERVICE_UNAVAILABLE),
            };
        }
        let Some(key) = path.strip_prefix("/v1/values/") else { return status(StatusCode::NOT_FOUND) };
        match self.read_key(key).await {
            Ok(Some(document)) => {
                let mut response = Response::new(Full::new(document.text.into()));
                let headers = response.headers_mut();
                headers.insert(VERSION_HEADER, HeaderValue::from(document.version.number));
                headers.insert(ERA_HEADER, HeaderValue::from(document.version.era));
                response
            }
            Ok(None) => status(StatusCode::NOT_FOUND),
            Err(_) => status(StatusCode::SERVICE_UNAVAILABLE),
        }
    }

    /// What there is, once the sequence has passed `after` or the platform has come back since `era`.
    async fn list(
        &self,
        after: Option<u64>,
        era: Option<u64>,
        wait_ms: u64,
    ) -> Result<Values, PlatformError> {
        self.enter().await?;
        if let Some(after) = after {
            let mut sequence = self.sequence.subscribe();
            let has_returned = || era.is_some_and(|era| era != self.values().era);
            let is_due =
                |sequence: &u64| *sequence > after || has_returned() || self.is_away.load(Ordering::Relaxed);
            // A watch that ends without a change answers with what there is.
            let _ = timeout(Duration::from_millis(wait_ms), sequence.wait_for(is_due)).await;
            self.check_away()?;
        }
        Ok(self.shown())
    }

    async fn read_key(&self, key: &str) -> Result<Option<Document>, PlatformError> {
        self.enter().await?;
        Ok(self.shown().documents.get(key).cloned())
    }

    async fn enter(&self) -> Result<(), PlatformError> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let lag_ms = self.lag_ms.load(Ordering::Relaxed);
        if lag_ms > 0 {
            sleep(Duration::from_millis(lag_ms)).await;
        }
        self.check_away()
    }

    fn check_away(&self) -> Result<(), PlatformError> {
        if self.is_away.load(Ordering::Relaxed) {
            return Err(PlatformError::Unreachable("the platform is away".to_owned()));
        }
        Ok(())
    }

    fn shown(&self) -> Values {
        let stale = self.stale.lock().unwrap_or_else(PoisonError::into_inner).clone();
        stale.unwrap_or_else(|| self.values().clone())
    }

    fn values(&self) -> MutexGuard<'_, Values> {
        self.values.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// One host's way to the platform, which can be cut.
#[derive(Debug)]
pub struct PlatformWay {
    platform: Arc<StandinPlatform>,
    is_cut: Arc<AtomicBool>,
    watch_wait_ms: u64,
    /// The era of the last listing.
    era: AtomicU64,
}

impl PlatformWay {
    /// A way that is cut while `is_cut` is set.
    pub fn new(platform: Arc<StandinPlatform>, is_cut: Arc<AtomicBool>, watch_wait_ms: u64) -> Self {
        Self { platform, is_cut, watch_wait_ms, era: AtomicU64::new(0) }
    }

    fn check(&self) -> Result<(), PlatformError> {
        if self.is_cut.load(Ordering::Relaxed) {
            return Err(PlatformError::Unreachable("the platform cannot be reached".to_owned()));
        }
        Ok(())
    }
}

impl PlatformSource for PlatformWay {
    fn watch(&self, after: Option<u64>) -> BoxFuture<'_, Result<Listing, PlatformError>> {
        async move {
            self.check()?;
            let era = self.era.load(Ordering::Relaxed);
            let values = self.platform.list(after, Some(era), self.watch_wait_ms).await?;
            self.era.store(values.era, Ordering::Relaxed);
            self.check()?;
            let versions = values.documents.into_values().map(|d| (d.name, d.version)).collect();
            Ok(Listing { era: values.era, sequence: values.sequence, versions })
        }
        .boxed()
    }

    fn read(&self, name: DocumentName) -> BoxFuture<'_, Result<Document, PlatformError>> {
        async move {
            self.check()?;
            let document = self.platform.read_key(&name.to_string()).await?;
            document.ok_or_else(|| PlatformError::Unreachable(format!("{name} is not there")))
        }
        .boxed()
    }
}

fn status(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
