//! Bytes on connections between nodes.

use crate::link::Link;
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
    time::{Duration, Sleep, sleep},
};

/// Counts of what passed between this node and others.
#[derive(Debug, Default)]
pub struct Meter {
    /// Bytes received, of everything.
    pub received_bytes: AtomicU64,
    /// Bytes sent, of everything.
    pub sent_bytes: AtomicU64,
    /// Bytes of control messages, both directions: exchanges, offers, pulls, probes, hints.
    pub control_bytes: AtomicU64,
    /// Control messages, both directions.
    pub control_messages: AtomicU64,
    /// Connections opened.
    pub opened: AtomicU64,
    /// Connections open now, both ways.
    pub open: AtomicU64,
    /// Messages that were refused as unreadable.
    pub unreadable: AtomicU64,
}

/// What a control message costs besides its payload: two `h2` frames, header fields in their
/// indexed form, and a TCP/IP header. Checked against counted connections in a test.
pub const MESSAGE_OVERHEAD_BYTES: u64 = 90;

impl Meter {
    /// Counts one control message.
    pub fn note_control(&self, payload_bytes: usize) {
        self.control_bytes.fetch_add(payload_bytes as u64 + MESSAGE_OVERHEAD_BYTES, Ordering::Relaxed);
        self.control_messages.fetch_add(1, Ordering::Relaxed);
    }
}

/// What goes on on one connection, for whoever watches over it.
#[derive(Debug, Default)]
pub struct Activity {
    /// Bytes received on it.
    pub received_bytes: AtomicU64,
    /// Attempts that wait for something on it.
    pub in_flight: AtomicU64,
}

/// One attempt that waits for something on a connection.
#[derive(Debug)]
pub struct InFlight(Arc<Activity>);

impl InFlight {
    /// Counts one more until it is dropped.
    pub fn new(activity: Arc<Activity>) -> Self {
        activity.in_flight.fetch_add(1, Ordering::Relaxed);
        Self(activity)
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Pause between two looks whether a cut link is back.
const CUT_LOOK_INTERVAL: Duration = Duration::from_millis(20);

/// A connection whose bytes are counted.
#[derive(Debug)]
pub struct MeteredStream {
    inner: TcpStream,
    meter: Arc<Meter>,
    activity: Arc<Activity>,
    link: Option<(Arc<dyn Link>, SocketAddr)>,
    was_cut: bool,
    look: Option<Pin<Box<Sleep>>>,
}

impl MeteredStream {
    /// Counts the bytes of `inner` in `meter`.
    pub fn new(inner: TcpStream, meter: Arc<Meter>) -> Self {
        meter.open.fetch_add(1, Ordering::Relaxed);
        Self { inner, meter, activity: Arc::default(), link: None, was_cut: false, look: None }
    }

    /// Lets the connection fail as `link` to `other` does.
    pub fn with_link(mut self, link: Arc<dyn Link>, other: SocketAddr) -> Self {
        self.link = Some((link, other));
        self
    }

    /// What goes on on it.
    pub fn activity(&self) -> Arc<Activity> {
        self.activity.clone()
    }

    fn is_cut(&mut self) -> io::Result<bool> {
        let is_cut = self.link.as_ref().is_some_and(|(link, other)| link.is_cut(*other));
        if self.was_cut && !is_cut {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        self.was_cut |= is_cut;
        Ok(is_cut)
    }

    fn look_later(&mut self, cx: &mut Context<'_>) {
        loop {
            let look = self.look.get_or_insert_with(|| Box::pin(sleep(CUT_LOOK_INTERVAL)));
            if look.as_mut().poll(cx).is_pending() {
                return;
            }
            self.look = None;
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
        if self.is_cut()? {
            self.look_later(cx);
            return Poll::Pending;
        }
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.inner).poll_read(cx, buf);
        let read = buf.filled().len() - before;
        self.meter.received_bytes.fetch_add(read as u64, Ordering::Relaxed);
        self.activity.received_bytes.fetch_add(read as u64, Ordering::Relaxed);
        polled
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        if self.is_cut()? {
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
        if self.is_cut()? {
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
