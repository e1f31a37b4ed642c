//! Pool of connections to other nodes: one per node, opened on first use and closed when idle.

use crate::{
    link::Link,
    liveness::monitor,
    meter::{Activity, InFlight, Meter, MeteredStream},
    suspicion::Suspicion,
};
use bytes::Bytes;
use h2::client::{self, SendRequest};
use laurelstall_guard::clock::Clock;
use quick_error::quick_error;
use rand::RngExt;
use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError, atomic::Ordering},
};
use tokio::{
    net::TcpStream,
    sync::Mutex as AsyncMutex,
    time::{Duration, sleep, timeout},
};

/// Time limit for opening a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time after which an unused connection is closed.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum number of connections that this node opens.
pub const CONNECTIONS_MAX: usize = 1_024;
/// First pause after a failed connection in µs; doubles with each failure, with jitter.
const BACKOFF_FIRST_US: u64 = 50_000;
const BACKOFF_MAX_US: u64 = 5_000_000;
/// Flow-control windows of a stream and of a connection in bytes. They bound what one call, and all calls of
/// a connection, may buffer.
pub const STREAM_WINDOW_BYTES: u32 = 128 * 1024;
/// See [`STREAM_WINDOW_BYTES`].
pub const CONNECTION_WINDOW_BYTES: u32 = 1024 * 1024;

quick_error! {
    /// No connection is available; nothing was sent.
    #[derive(Debug)]
    pub enum ConnectError {
        /// The connection failed.
        Io(error: io::Error) {
            display("connect: {error}")
            source(error)
            from()
        }
        /// The HTTP/2 handshake failed.
        Handshake(error: h2::Error) {
            display("handshake: {error}")
            source(error)
            from()
        }
        /// Connecting timed out.
        TimedOut {
            display("connect timed out")
        }
        /// The last attempt failed and the backoff is not over.
        BackingOff {
            display("connect failed, backing off")
        }
        /// This node has reached its maximum number of connections.
        TooMany {
            display("too many connections")
        }
    }
}

/// A connection that can open one more stream.
#[derive(Debug, Clone)]
pub struct PeerSender {
    /// Opens the stream.
    pub stream: SendRequest<Bytes>,
    activity: Arc<Activity>,
}

impl PeerSender {
    /// Has the connection monitored until the result is dropped.
    pub fn monitor(&self) -> InFlight {
        InFlight::new(self.activity.clone())
    }
}

#[derive(Debug, Default)]
struct Slot {
    sender: Option<PeerSender>,
    /// Whether there ever was a connection, so that its loss is logged.
    was_connected: bool,
    failures: u32,
    retry_at_us: u64,
}

#[derive(Debug, Default)]
struct Entry {
    slot: AsyncMutex<Slot>,
    last_used_us: std::sync::atomic::AtomicU64,
}

/// The connections of this node to others.
#[derive(Debug)]
pub struct Pool {
    clock: Clock,
    meter: Arc<Meter>,
    link: Arc<dyn Link>,
    entries: Mutex<HashMap<SocketAddr, Arc<Entry>>>,
    suspicion: Arc<Suspicion>,
}

impl Pool {
    /// Creates an empty pool that counts in `meter` and connects over `link`.
    pub fn new(clock: Clock, meter: Arc<Meter>, link: Arc<dyn Link>) -> Self {
        Self { clock, meter, link, entries: Mutex::default(), suspicion: Arc::default() }
    }

    /// Returns the counters.
    pub fn meter(&self) -> &Arc<Meter> {
        &self.meter
    }

    /// Returns a connection that can open one more stream.
    ///
    /// # Errors
    ///
    /// [`ConnectError`]; nothing was sent.
    pub async fn sender(&self, address: SocketAddr) -> Result<PeerSender, ConnectError> {
        let entry = self.entry(address)?;
        let now_us = self.clock.now_us();
        entry.last_used_us.store(now_us, Ordering::Relaxed);
        let mut slot = entry.slot.lock().await;
        if let Some(sender) = slot.sender.clone() {
            let PeerSender { stream, activity } = sender;
            match timeout(CONNECT_TIMEOUT, stream.ready()).await {
                Ok(Ok(stream)) => return Ok(PeerSender { stream, activity }),
                Ok(Err(_)) => slot.sender = None,
                Err(_) => return Err(ConnectError::TimedOut),
            }
        }
        if now_us < slot.retry_at_us {
            return Err(ConnectError::BackingOff);
        }
        match self.connect(address).await {
            Ok(sender) => {
                if slot.was_connected && slot.failures > 0 {
                    log::info!("node at {address}: reachable again after {} failed connects", slot.failures);
                }
                slot.was_connected = true;
                slot.failures = 0;
                slot.sender = Some(sender.clone());
                Ok(sender)
            }
            Err(error) => {
                let pause_us = (BACKOFF_FIRST_US << slot.failures.min(10)).min(BACKOFF_MAX_US);
                let pause_us = rand::rng().random_range(pause_us / 2..=pause_us);
                if slot.was_connected && slot.failures == 0 {
                    log::info!("node at {address}: unreachable: {error}");
                }
                slot.failures += 1;
                slot.retry_at_us = self.clock.now_us() + pause_us;
                Err(error)
            }
        }
    }

    /// Makes the next request to a node open a new connection if the present one has been silent for `silence_min`, and
    /// returns whether it was.
    ///
    /// To be called after a request got no answer: the connection may have gone silent while new ones work. Its requests may
    /// still be answered.
    pub async fn renew(&self, address: SocketAddr, silence_min: Duration) -> bool {
        let Some(entry) = self.lock().get(&address).cloned() else { return false };
        let mut slot = entry.slot.lock().await;
        let is_silent = slot.sender.as_ref().is_some_and(|sender| sender.activity.silence() >= silence_min);
        if is_silent {
            slot.sender = None;
            self.suspicion.raise();
        }
        is_silent
    }

    /// Closes connections that were unused for [`IDLE_TIMEOUT`]. Their streams may finish.
    pub fn close_idle(&self) {
        let idle_us = IDLE_TIMEOUT.as_micros() as u64;
        let now_us = self.clock.now_us();
        let is_used =
            |entry: &Arc<Entry>| now_us.saturating_sub(entry.last_used_us.load(Ordering::Relaxed)) < idle_us;
        self.lock().retain(|_, entry| is_used(entry));
    }

    /// Whether the pool has an entry for this node.
    pub fn has(&self, address: SocketAddr) -> bool {
        self.lock().contains_key(&address)
    }

    /// Number of nodes with an entry in the pool.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Whether the pool has no entries.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn entry(&self, address: SocketAddr) -> Result<Arc<Entry>, ConnectError> {
        let mut entries = self.lock();
        let is_room = entries.len() < CONNECTIONS_MAX || entries.contains_key(&address);
        if !is_room {
            return Err(ConnectError::TooMany);
        }
        Ok(entries.entry(address).or_default().clone())
    }

    async fn connect(&self, address: SocketAddr) -> Result<PeerSender, ConnectError> {
        if self.link.is_partitioned(address) {
            sleep(CONNECT_TIMEOUT).await;
            return Err(ConnectError::TimedOut);
        }
        let opened = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = opened.map_err(|_| ConnectError::TimedOut)??;
        stream.set_nodelay(true)?;
        self.meter.opened.fetch_add(1, Ordering::Relaxed);
        let stream = MeteredStream::new(stream, self.meter.clone()).with_link(self.link.clone(), address);
        let mut builder = client::Builder::new();
        builder.initial_window_size(STREAM_WINDOW_BYTES);
        builder.initial_connection_window_size(CONNECTION_WINDOW_BYTES);
        builder.enable_push(false);
        let activity = stream.activity();
        let (sender, mut connection) = timeout(CONNECT_TIMEOUT, builder.handshake(stream))
            .await
            .map_err(|_| ConnectError::TimedOut)??;
        let pings = connection.ping_pong();
        let (monitored, suspicion) = (activity.clone(), self.suspicion.clone());
        tokio::spawn(async move {
            tokio::select! {
                ended = connection => {
                    if let Err(error) = ended {
                        log::debug!("connection to {address} failed: {error}");
                    }
                }
                () = monitor(pings, &monitored, &suspicion) => log::info!("node at {address}: unreachable: no answer to a ping"),
            }
        });
        let stream = sender.ready().await?;
        Ok(PeerSender { stream, activity })
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Arc<Entry>>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
