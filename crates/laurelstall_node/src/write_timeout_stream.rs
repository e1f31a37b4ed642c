//! A caller's connection that fails when the caller reads nothing for too long.

use std::{
    future::Future,
    io,
    pin::Pin,
    task::{Context, Poll},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Duration, Instant, Sleep, sleep_until},
};

/// A TCP connection with a write timeout.
#[derive(Debug)]
pub struct WriteTimeoutStream {
    inner: TcpStream,
    limit: Duration,
    write_timer: Option<Pin<Box<Sleep>>>,
}

impl WriteTimeoutStream {
    /// Wraps `inner` so that a write fails with [`io::ErrorKind::TimedOut`] after it was blocked for `limit`.
    pub fn new(inner: TcpStream, limit: Duration) -> Self {
        Self { inner, limit, write_timer: None }
    }

    fn check_timeout<T>(&mut self, cx: &mut Context<'_>, polled: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        if polled.is_ready() {
            self.write_timer = None;
            return polled;
        }
        let limit = self.limit;
        let write_timer =
            self.write_timer.get_or_insert_with(|| Box::pin(sleep_until(Instant::now() + limit)));
        match write_timer.as_mut().poll(cx) {
            Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl AsyncRead for WriteTimeoutStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl AsyncWrite for WriteTimeoutStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.check_timeout(cx, polled)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write_vectored(cx, bufs);
        self.check_timeout(cx, polled)
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
