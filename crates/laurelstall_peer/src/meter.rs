//! Counts traffic on connections between nodes.

use crate::{
    control_kind::{CONTROL_KINDS, ControlKind},
    gauge::Gauge,
    link::Link,
};
use std::{
    future::Future,
    io,
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Duration, Instant, Sleep, sleep},
};

/// Traffic counters of a node.
#[derive(Debug, Default)]
pub struct Meter {
    /// Total bytes received.
    pub received_bytes: AtomicU64,
    /// Total bytes sent.
    pub sent_bytes: AtomicU64,
    /// Bytes of control messages in both directions: exchanges, offers, pulls, probes, hints.
    pub control_bytes: AtomicU64,
    /// Number of control messages in both directions.
    pub control_messages: AtomicU64,
    /// Traffic of control messages by kind, in the order of [`ControlKind::ALL`].
    pub by_kind: [KindTraffic; CONTROL_KINDS],
    /// Number of connections that this node opened.
    pub opened: AtomicU64,
    /// Number of open connections in both directions.
    pub open: AtomicU64,
    /// Number of messages that were rejected as unreadable.
    pub unreadable: AtomicU64,
    /// Requests of other nodes whose answers are not sent yet.
    pub unanswered: Arc<Gauge>,
}

/// Traffic of control messages of one kind in both directions.
#[derive(Debug, Default)]
pub struct KindTraffic {
    /// Total bytes.
    pub bytes: AtomicU64,
    /// Number of messages; a request and its answer are two.
    pub messages: AtomicU64,
}

/// Overhead of a control message beyond its payload: two `h2` frames with indexed header fields, and a
/// TCP/IP header.
pub const MESSAGE_OVERHEAD_BYTES: u64 = 90;

impl Meter {
    /// Counts one control message.
    pub fn note_control(&self, kind: ControlKind, payload_bytes: usize) {
        let bytes = payload_bytes as u64 + MESSAGE_OVERHEAD_BYTES;
        let of_kind = &self.by_kind[kind.index()];
        of_kind.bytes.fetch_add(bytes, Ordering::Relaxed);
        of_kind.messages.fetch_add(1, Ordering::Relaxed);
        self.control_bytes.fetch_add(bytes, Ordering::Relaxed);
        self.control_messages.fetch_add(1, Ordering::Relaxed);
    }
}

/// Activity of one connection, read by its monitor.
#[derive(Debug)]
pub struct Activity {
    opened: Instant,
    /// When data arrived last, in µs after the connection was opened.
    received_at_us: AtomicU64,
    /// Bytes received on the connection.
    pub received_bytes: AtomicU64,
    /// Number of requests that wait for data on the connection.
    pub in_flight: AtomicU64,
}

impl Activity {
    fn new(opened: Instant) -> Self {
        Self {
            opened,
            received_at_us: AtomicU64::new(0),
            received_bytes: AtomicU64::new(0),
            in_flight: AtomicU64::new(0),
        }
    }

    fn note_received(&self, bytes: usize) {
        self.received_at_us.store(self.opened.elapsed().as_micros() as u64, Ordering::Relaxed);
        self.received_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Time since data arrived last.
    pub fn silence(&self) -> Duration {
        let received_at = Duration::from_micros(self.received_at_us.load(Ordering::Relaxed));
        self.opened.elapsed().saturating_sub(received_at)
    }
}

/// Counts as a request that waits on a connection, until it is dropped.
#[derive(Debug)]
pub struct InFlight(Arc<Activity>);

impl InFlight {
    /// Counts one more waiting request.
    pub fn new(activity: Arc<Activity>) -> Self {
        activity.in_flight.fetch_add(1, Ordering::Relaxed);
        Self(activity)
    }

    /// Time since data arrived on the connection.
    pub fn silence(&self) -> Duration {
        self.0.silence()
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Interval at which a connection over a partitioned link checks whether the link works again.
const PARTITION_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// A TCP stream that counts its bytes.
#[derive(Debug)]
pub struct MeteredStream {
    inner: TcpStream,
    meter: Arc<Meter>,
    activity: Arc<Activity>,
    link: Option<(Arc<dyn Link>, SocketAddr)>,
    was_partitioned: bool,
    partition_check: Option<Pin<Box<Sleep>>>,
}

impl MeteredStream {
    /// Wraps `inner` and counts its bytes in `meter`.
    pub fn new(inner: TcpStream, meter: Arc<Meter>) -> Self {
        meter.open.fetch_add(1, Ordering::Relaxed);
        Self {
            inner,
            meter,
            activity: Arc::new(Activity::new(Instant::now())),
            link: None,
            was_partitioned: false,
            partition_check: None,
        }
    }

    /// Makes the connection fail whenever `link` to `other` is partitioned.
    pub fn with_link(mut self, link: Arc<dyn Link>, other: SocketAddr) -> Self {
        self.link = Some((link, other));
        self
    }

    /// Returns the activity of the connection.
    pub fn activity(&self) -> Arc<Activity> {
        self.activity.clone()
    }

    /// Whether nothing passes on the connection; an error if it is reset.
    fn is_blocked(&mut self) -> io::Result<bool> {
        let Some((link, other)) = &self.link else { return Ok(false) };
        if link.is_silent(*other, self.activity.opened) {
            return Ok(true);
        }
        let is_partitioned = link.is_partitioned(*other);
        if self.was_partitioned && !is_partitioned {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        self.was_partitioned |= is_partitioned;
        Ok(is_partitioned)
    }

    fn poll_partition_check(&mut self, cx: &mut Context<'_>) {
        loop {
            let partition_check =
                self.partition_check.get_or_insert_with(|| Box::pin(sleep(PARTITION_CHECK_INTERVAL)));
            if partition_check.as_mut().poll(cx).is_pending() {
                return;
            }
            self.partition_check = None;
        }
    }
}

impl Drop for MeteredStream {
    fn drop(&mut self) {
        self.meter.open.fetch_sub(1, Ordering::Relaxed);
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.is_blocked()? {
            self.poll_partition_check(cx);
            return Poll::Pending;
        }
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.inner).poll_read(cx, buf);
        let read = buf.filled().len() - before;
        self.meter.received_bytes.fetch_add(read as u64, Ordering::Relaxed);
        if read > 0 {
            self.activity.note_received(read);
        }
        polled
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        if self.is_blocked()? {
            return Poll::Ready(Ok(buf.len()));
        }
        let polled = Pin::new(&mut self.inner).poll_write(cx, buf);
        if let Poll::Ready(Ok(written)) = &polled {
            self.meter.sent_bytes.fetch_add(*written as u64, Ordering::Relaxed);
        }
        polled
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        if self.is_blocked()? {
            return Poll::Ready(Ok(bufs.iter().map(|buf| buf.len()).sum()));
        }
        let polled = Pin::new(&mut self.inner).poll_write_vectored(cx, bufs);
        if let Poll::Ready(Ok(written)) = &polled {
            self.meter.sent_bytes.fetch_add(*written as u64, Ordering::Relaxed);
        }
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
