//! Connections to other nodes: one for each, opened on first use, closed when idle.

use crate::{
    link::Link,
    meter::{Meter, MeteredStream},
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

/// Longest time to open a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// A connection unused for so long is closed.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Most connections that this node opens.
pub const CONNECTIONS_MAX: usize = 1_024;
/// First pause after a failed connection in µs; doubles with each, with jitter.
const BACKOFF_FIRST_US: u64 = 50_000;
const BACKOFF_MAX_US: u64 = 5_000_000;
/// Window of one stream and of a connection in bytes: what one call, and all, may buffer.
pub const STREAM_WINDOW_BYTES: u32 = 128 * 1024;
/// See [`STREAM_WINDOW_BYTES`].
pub const CONNECTION_WINDOW_BYTES: u32 = 1024 * 1024;

quick_error! {
    /// No connection: proof that nothing was sent.
    #[derive(Debug)]
    pub enum ConnectError {
        /// The other side did not take the connection.
        Io(error: io::Error) {
            display("connect: {error}")
            source(error)
            from()
        }
        /// The connection broke before a stream could be opened.
        Handshake(error: h2::Error) {
            display("handshake: {error}")
            source(error)
            from()
        }
        /// It took too long.
        TimedOut {
            display("connect timed out")
        }
        /// It failed a moment ago and is not tried again yet.
        BackingOff {
            display("connect failed a moment ago")
        }
        /// This node has as many connections as it may.
        TooMany {
            display("too many connections")
        }
    }
}

#[derive(Debug, Default)]
struct Slot {
    sender: Option<SendRequest<Bytes>>,
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
}

impl Pool {
    /// An empty pool that counts in `meter` and connects over `link`.
    pub fn new(clock: Clock, meter: Arc<Meter>, link: Arc<dyn Link>) -> Self {
        Self { clock, meter, link, entries: Mutex::default() }
    }

    /// The counts.
    pub fn meter(&self) -> &Arc<Meter> {
        &self.meter
    }

    /// A connection that can take one more stream.
    ///
    /// # Errors
    ///
    /// [`ConnectError`]; nothing was sent then.
    pub async fn sender(&self, address: SocketAddr) -> Result<SendRequest<Bytes>, ConnectError> {
        let entry = self.entry(address)?;
        let now_us = self.clock.now_us();
        entry.last_used_us.store(now_us, Ordering::Relaxed);
        let mut slot = entry.slot.lock().await;
        if let Some(sender) = slot.sender.clone() {
            match timeout(CONNECT_TIMEOUT, sender.ready()).await {
                Ok(Ok(ready)) => return Ok(ready),
                Ok(Err(_)) => slot.sender = None,
                Err(_) => return Err(ConnectError::TimedOut),
            }
        }
        if now_us < slot.retry_at_us {
            return Err(ConnectError::BackingOff);
        }
        match self.connect(address).await {
            Ok(sender) => {
                slot.failures = 0;
                slot.sender = Some(sender.clone());
                Ok(sender)
            }
            Err(error) => {
                let pause_us = (BACKOFF_FIRST_US << slot.failures.min(10)).min(BACKOFF_MAX_US);
                let pause_us = rand::rng().random_range(pause_us / 2..=pause_us);
                slot.failures += 1;
                slot.retry_at_us = self.clock.now_us() + pause_us;
                Err(error)
            }
        }
    }

    /// Closes connections that were not used for [`IDLE_TIMEOUT`]; streams on them end first.
    pub fn close_idle(&self) {
        let idle_us = IDLE_TIMEOUT.as_micros() as u64;
        let now_us = self.clock.now_us();
        let is_used =
            |entry: &Arc<Entry>| now_us.saturating_sub(entry.last_used_us.load(Ordering::Relaxed)) < idle_us;
        self.lock().retain(|_, entry| is_used(entry));
    }

    /// Whether there is, or lately was, a connection to this node.
    pub fn has(&self, address: SocketAddr) -> bool {
        self.lock().contains_key(&address)
    }

    /// Nodes this one holds, or lately held, a connection to.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Whether there is none.
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

    async fn connect(&self, address: SocketAddr) -> Result<SendRequest<Bytes>, ConnectError> {
        if self.link.is_cut(address) {
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
        let (sender, connection) = timeout(CONNECT_TIMEOUT, builder.handshake(stream))
            .await
            .map_err(|_| ConnectError::TimedOut)??;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to {address} ended: {error}");
            }
        });
        Ok(sender.ready().await?)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Arc<Entry>>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
