//! A stand-in for the configuration service of the platform.

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

/// Longest time in ms that a watch request may wait.
const WATCH_WAIT_MAX_MS: u64 = 300_000;

/// The documents of the platform, with the numbers that order its changes.
#[derive(Debug, Clone, Default)]
struct PlatformState {
    /// Number of restores from an older copy.
    era: u64,
    /// Number of the latest change; a restore sets it back to that of the copy.
    sequence: u64,
    documents: BTreeMap<String, Document>,
}

/// A copy of all documents that the platform had at some time.
#[derive(Debug, Clone)]
pub struct Snapshot(PlatformState);

/// The stand-in platform, which stores documents under growing version numbers. Nodes only read from it.
#[derive(Debug)]
pub struct StandinPlatform {
    state: Mutex<PlatformState>,
    /// The latest version number that operators gave each document; restores of the platform do not reset it.
    operator_versions: Mutex<BTreeMap<DocumentName, u64>>,
    /// Documents that the platform serves instead of the current ones while it is stale.
    stale: Mutex<Option<PlatformState>>,
    sequence: watch::Sender<u64>,
    is_unavailable: AtomicBool,
    delay_ms: AtomicU64,
    calls: AtomicU64,
}

impl StandinPlatform {
    /// Creates a platform without documents.
    pub fn new() -> Arc<Self> {
        let (sequence, _) = watch::channel(0);
        Arc::new(Self {
            state: Mutex::default(),
            operator_versions: Mutex::default(),
            stale: Mutex::default(),
            sequence,
            is_unavailable: AtomicBool::new(false),
            delay_ms: AtomicU64::new(0),
            calls: AtomicU64::new(0),
        })
    }

    /// Publishes a text under the next version of the document, and returns that version.
    pub fn publish(&self, name: &DocumentName, text: &str) -> Version {
        let (version, sequence) = {
            let mut state = self.state();
            state.sequence += 1;
            let key = name.to_string();
            let current = state.documents.get(&key).map_or(0, |document| document.version.number);
            let version = version_of(name, state.era, self.next_number(name, current));
            let document = Document { name: name.clone(), version, text: text.to_owned() };
            state.documents.insert(key, document);
            (version, state.sequence)
        };
        self.sequence.send_replace(sequence);
        version
    }

    /// Returns the next version number of a document. The platform itself numbers the host list, starting from
    /// `current`.
    fn next_number(&self, name: &DocumentName, current: u64) -> u64 {
        if *name == DocumentName::Fleet {
            return current + 1;
        }
        let mut operator_versions = self.operator_versions.lock().unwrap_or_else(PoisonError::into_inner);
        let number = operator_versions.entry(name.clone()).or_default();
        *number += 1;
        *number
    }

    /// Restores the platform from an older copy and starts a new era. Documents published since the copy are lost, and
    /// sequence numbers and versions of the host list are assigned again.
    pub fn restore(&self, copy: &Snapshot) {
        let sequence = copy.0.sequence;
        {
            let mut state = self.state();
            let era = state.era + 1;
            *state = PlatformState { era, ..copy.0.clone() };
            for document in state.documents.values_mut() {
                document.version = version_of(&document.name, era, document.version.number);
            }
        }
        // Wakes waiting watches.
        self.sequence.send_replace(sequence);
    }

    /// Publishes the documents of `snapshot` that the platform no longer has, as operators do after a restore.
    pub fn republish(&self, snapshot: &Snapshot) {
        for document in snapshot.0.documents.values() {
            if self.text(&document.name).as_ref() != Some(&document.text) {
                self.publish(&document.name, &document.text);
            }
        }
    }

    /// Returns the latest published text of a document.
    pub fn text(&self, name: &DocumentName) -> Option<String> {
        self.state().documents.get(&name.to_string()).map(|document| document.text.clone())
    }

    /// Makes the platform serve its present documents until this is called with `false`.
    pub fn set_stale(&self, is_stale: bool) {
        let stale_state = is_stale.then(|| self.state().clone());
        *self.stale.lock().unwrap_or_else(PoisonError::into_inner) = stale_state;
    }

    /// Copies all documents, for a later [`serve_snapshot`](Self::serve_snapshot) or [`restore`](Self::restore).
    pub fn snapshot(&self) -> Snapshot {
        Snapshot(self.state().clone())
    }

    /// Makes the platform serve the documents of `snapshot`, as a stale platform does.
    pub fn serve_snapshot(&self, snapshot: Snapshot) {
        *self.stale.lock().unwrap_or_else(PoisonError::into_inner) = Some(snapshot.0);
    }

    /// Starts or ends an outage of the platform.
    pub fn set_unavailable(&self, is_unavailable: bool) {
        self.is_unavailable.store(is_unavailable, Ordering::Relaxed);
        // Wakes waiting watches.
        self.sequence.send_modify(|_| {});
    }

    /// Delays each answer by `delay_ms`.
    pub fn set_delay_ms(&self, delay_ms: u64) {
        self.delay_ms.store(delay_ms, Ordering::Relaxed);
    }

    /// Returns the number of requests so far; a watch counts as one.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Serves HTTP on the current runtime.
    ///
    /// # Panics
    ///
    /// Panics if the listener cannot be registered with the runtime.
    pub fn serve(self: &Arc<Self>, listener: StdListener) {
        listener.set_nonblocking(true).expect("the listener can be registered with the runtime");
        let listener =
            TcpListener::from_std(listener).expect("the listener can be registered with the runtime");
        let this = self.clone();
        tokio::spawn(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else { continue };
                let this = this.clone();
                let service = service_fn(move |request| {
                    let this = this.clone();
                    async move { Ok::<_, Infallible>(this.handle(&request).await) }
                });
                let builder = Builder::new(TokioExecutor::new());
                let connection = builder.serve_connection(TokioIo::new(stream), service).into_owned();
                tokio::spawn(connection);
            }
        });
    }

    async fn handle(&self, request: &Request<Incoming>) -> Response<Full<Bytes>> {
        let path = request.uri().path();
        if path == "/v1/values" {
            let query = request.uri().query().unwrap_or_default();
            let number = |name: &str| {
                let pair = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
                pair.and_then(|value| value.parse::<u64>().ok())
            };
            let wait_ms = number("wait_ms").unwrap_or(0).min(WATCH_WAIT_MAX_MS);
            return match self.list(number("after"), number("era"), wait_ms).await {
                Ok(state) => {
                    let list = state.documents.values();
                    let list = list.map(|d| WireValue { key: d.name.to_string(), version: d.version.number });
                    let listing =
                        WireListing { era: state.era, sequence: state.sequence, values: list.collect() };
                    let text = serde_json::to_vec(&listing).unwrap_or_default();
                    Response::new(Full::new(text.into()))
                }
                Err(_) => status_response(StatusCode::SERVICE_UNAVAILABLE),
            };
        }
        let Some(key) = path.strip_prefix("/v1/values/") else {
            return status_response(StatusCode::NOT_FOUND);
        };
        match self.read_key(key).await {
            Ok(Some(document)) => {
                let mut response = Response::new(Full::new(document.text.into()));
                let headers = response.headers_mut();
                headers.insert(VERSION_HEADER, HeaderValue::from(document.version.number));
                headers.insert(ERA_HEADER, HeaderValue::from(document.version.era));
                response
            }
            Ok(None) => status_response(StatusCode::NOT_FOUND),
            Err(_) => status_response(StatusCode::SERVICE_UNAVAILABLE),
        }
    }

    /// Returns all documents once the sequence exceeds `after` or the platform has been restored since `era`, or when
    /// `wait_ms` is over.
    async fn list(
        &self,
        after: Option<u64>,
        era: Option<u64>,
        wait_ms: u64,
    ) -> Result<PlatformState, PlatformError> {
        self.begin_request().await?;
        if let Some(after) = after {
            let mut sequence = self.sequence.subscribe();
            let was_restored = || era.is_some_and(|era| era != self.state().era);
            let is_due = |sequence: &u64| {
                *sequence > after || was_restored() || self.is_unavailable.load(Ordering::Relaxed)
            };
            // A watch that times out answers with the present documents.
            let _ = timeout(Duration::from_millis(wait_ms), sequence.wait_for(is_due)).await;
            self.check_available()?;
        }
        Ok(self.visible_state())
    }

    async fn read_key(&self, key: &str) -> Result<Option<Document>, PlatformError> {
        self.begin_request().await?;
        Ok(self.visible_state().documents.get(key).cloned())
    }

    async fn begin_request(&self) -> Result<(), PlatformError> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let delay_ms = self.delay_ms.load(Ordering::Relaxed);
        if delay_ms > 0 {
            sleep(Duration::from_millis(delay_ms)).await;
        }
        self.check_available()
    }

    fn check_available(&self) -> Result<(), PlatformError> {
        if self.is_unavailable.load(Ordering::Relaxed) {
            return Err(PlatformError::ReadFailed("the platform is unavailable".to_owned()));
        }
        Ok(())
    }

    fn visible_state(&self) -> PlatformState {
        let stale = self.stale.lock().unwrap_or_else(PoisonError::into_inner).clone();
        stale.unwrap_or_else(|| self.state().clone())
    }

    fn state(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Connection of one host to the platform, which a network partition can interrupt.
#[derive(Debug)]
pub struct PlatformConnection {
    platform: Arc<StandinPlatform>,
    is_partitioned: Arc<AtomicBool>,
    watch_wait_ms: u64,
    /// Era of the latest listing.
    era: AtomicU64,
}

impl PlatformConnection {
    /// Creates a connection that fails while `is_partitioned` is set.
    pub fn new(platform: Arc<StandinPlatform>, is_partitioned: Arc<AtomicBool>, watch_wait_ms: u64) -> Self {
        Self { platform, is_partitioned, watch_wait_ms, era: AtomicU64::new(0) }
    }

    fn check_partition(&self) -> Result<(), PlatformError> {
        if self.is_partitioned.load(Ordering::Relaxed) {
            return Err(PlatformError::ReadFailed(
                "the data centre is partitioned from the platform".to_owned(),
            ));
        }
        Ok(())
    }
}

impl PlatformSource for PlatformConnection {
    fn watch(&self, after: Option<u64>) -> BoxFuture<'_, Result<Listing, PlatformError>> {
        async move {
            self.check_partition()?;
            let era = self.era.load(Ordering::Relaxed);
            let state = self.platform.list(after, Some(era), self.watch_wait_ms).await?;
            self.era.store(state.era, Ordering::Relaxed);
            self.check_partition()?;
            let versions = state.documents.into_values().map(|d| (d.name, d.version)).collect();
            Ok(Listing { era: state.era, sequence: state.sequence, versions })
        }
        .boxed()
    }

    fn read(&self, name: DocumentName) -> BoxFuture<'_, Result<Document, PlatformError>> {
        async move {
            self.check_partition()?;
            let document = self.platform.read_key(&name.to_string()).await?;
            document.ok_or_else(|| PlatformError::ReadFailed(format!("the platform has no document {name}")))
        }
        .boxed()
    }
}

fn status_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
