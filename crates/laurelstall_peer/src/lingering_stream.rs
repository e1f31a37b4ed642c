//! A connection that waits for the other side when it closes.

use std::{
    future::Future,
    io,
    mem::MaybeUninit,
    pin::Pin,
    task::{Context, Poll, ready},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    time::{Duration, Instant, Sleep, sleep_until},
};

/// Longest time for which the other side's end of the connection is awaited while it sends on.
pub const LINGER_MAX: Duration = Duration::from_secs(5);
/// Bytes that are discarded at a time.
const DISCARDED_BYTES: usize = 4 * 1024;

/// A connection whose shutdown completes when the other side has closed it too, or is silent, or after [`LINGER_MAX`].
///
/// If a socket is closed while data arrives, the operating system resets the connection and drops what it has not sent
/// yet: the other side loses the end of an answer that was written completely. What arrives during the shutdown is
/// discarded.
#[derive(Debug)]
pub struct LingeringStream<S> {
    inner: S,
    silence_max: Duration,
    state: State,
}

#[derive(Debug)]
enum State {
    Open,
    /// The end was sent.
    Lingering(Linger),
    Closed,
}

/// The wait for the other side.
#[derive(Debug)]
struct Linger {
    /// The latest end of the wait.
    deadline: Instant,
    /// Ends the wait after a silence.
    timer: Pin<Box<Sleep>>,
}

impl Linger {
    fn new(silence_max: Duration) -> Self {
        let now = Instant::now();
        Self { deadline: now + LINGER_MAX, timer: Box::pin(sleep_until(now + silence_max)) }
    }

    /// Starts a new silence.
    fn note_received(&mut self, silence_max: Duration) {
        let end = (Instant::now() + silence_max).min(self.deadline);
        self.timer.as_mut().reset(end);
    }
}

impl<S> LingeringStream<S> {
    /// Wraps a connection. A shutdown waits for as long as the other side is not silent for `silence_max`.
    pub fn new(inner: S, silence_max: Duration) -> Self {
        Self { inner, silence_max, state: State::Open }
    }
}

impl<S: AsyncRead + Unpin> LingeringStream<S> {
    /// Discards what arrives until the other side closes the connection or is silent.
    fn poll_linger(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let State::Lingering(linger) = &mut self.state else { return Poll::Ready(()) };
        loop {
            // Polled before each read, since a side that sends without a pause never leaves the reads pending.
            if linger.timer.as_mut().poll(cx).is_ready() {
                return Poll::Ready(());
            }
            let mut discarded = [MaybeUninit::uninit(); DISCARDED_BYTES];
            let mut buf = ReadBuf::uninit(&mut discarded);
            match Pin::new(&mut self.inner).poll_read(cx, &mut buf) {
                Poll::Ready(Ok(())) if !buf.filled().is_empty() => linger.note_received(self.silence_max),
                // The other side has closed or reset the connection.
                Poll::Ready(_) => return Poll::Ready(()),
                Poll::Pending => return Poll::Pending,
            }
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for LingeringStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncWrite for LingeringStream<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if matches!(this.state, State::Open) {
            ready!(Pin::new(&mut this.inner).poll_shutdown(cx))?;
            this.state = State::Lingering(Linger::new(this.silence_max));
        }
        ready!(this.poll_linger(cx));
        this.state = State::Closed;
        Poll::Ready(Ok(()))
    }
}
