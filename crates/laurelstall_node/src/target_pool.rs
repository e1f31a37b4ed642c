//! Pool of HTTP/1.1 connections to the local target.
//!
//! A request that must not be repeated is lost if its connection turns out to be closed, so it is sent only on a
//! recently used connection or a new one.

use hyper::{
    Request, Response,
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use laurelstall_guard::suspension::suspended_us;
use laurelstall_peer::body::BoxedBody;
use quick_error::quick_error;
use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};
use tokio::{
    net::TcpStream,
    time::{Duration, Instant, timeout},
};

/// Maximum number of idle connections.
const IDLE_MAX: usize = 64;
/// Maximum idle time of a connection for requests that may be repeated.
const IDLE_TIME_MAX: Duration = Duration::from_secs(4);
/// Maximum idle time of a connection for requests that must not be repeated.
const IDLE_TIME_UNREPEATABLE_MAX: Duration = Duration::from_millis(500);

quick_error! {
    /// Why a request got no answer.
    #[derive(Debug)]
    pub enum PoolError {
        /// No connection could be opened, so the target has not received the request.
        Connect(error: io::Error) {
            display("connect: {error}")
            source(error)
        }
        /// The connection broke; the target may have run the request.
        Broken(error: hyper::Error) {
            display("{error}")
            source(error)
        }
    }
}

#[derive(Debug)]
struct IdleConnection {
    sender: SendRequest<BoxedBody>,
    since: Instant,
    /// Total time in µs that the machine had been suspended by then; a later suspension makes the connection unusable.
    suspended_us: u64,
}

/// A connection pool that reuses the most recently used connection first.
#[derive(Debug)]
pub struct TargetPool {
    address: SocketAddr,
    connect_timeout: Duration,
    idle: Mutex<Vec<IdleConnection>>,
}

/// A connection that carries a request; it is given back after the answer has been read completely.
///
/// Dropping it closes the connection.
#[derive(Debug)]
pub struct UsedConnection {
    pool: Arc<TargetPool>,
    sender: SendRequest<BoxedBody>,
}

impl UsedConnection {
    /// Returns the connection to the pool.
    pub fn give_back(self) {
        let mut idle = self.pool.lock();
        if idle.len() >= IDLE_MAX {
            idle.remove(0);
        }
        let since = Instant::now();
        idle.push(IdleConnection { sender: self.sender, since, suspended_us: suspended_us() });
    }
}

impl TargetPool {
    /// Creates a pool without connections.
    pub fn new(address: SocketAddr, connect_timeout: Duration) -> Arc<Self> {
        Arc::new(Self { address, connect_timeout, idle: Mutex::default() })
    }

    /// Sends a request, on a new connection if no idle one is suitable.
    ///
    /// # Errors
    ///
    /// Returns [`PoolError::Connect`] if no connection could be opened, [`PoolError::Broken`] if the connection broke.
    pub async fn send(
        self: &Arc<Self>,
        mut request: Request<BoxedBody>,
        may_repeat: bool,
    ) -> Result<(Response<Incoming>, UsedConnection), PoolError> {
        let idle_time_max = if may_repeat { IDLE_TIME_MAX } else { IDLE_TIME_UNREPEATABLE_MAX };
        while let Some(mut sender) = self.take_idle(idle_time_max) {
            match sender.try_send_request(request).await {
                Ok(response) => return Ok((response, self.used(sender))),
                Err(mut error) => match error.take_message() {
                    // The connection closed before a byte was written.
                    Some(unsent) => request = unsent,
                    None => return Err(PoolError::Broken(error.into_error())),
                },
            }
        }
        let mut sender = self.connect().await?;
        let response = sender.send_request(request).await.map_err(PoolError::Broken)?;
        Ok((response, self.used(sender)))
    }

    /// Closes all idle connections, for use after a restart of the target.
    pub fn clear(&self) {
        self.lock().clear();
    }

    fn used(self: &Arc<Self>, sender: SendRequest<BoxedBody>) -> UsedConnection {
        UsedConnection { pool: self.clone(), sender }
    }

    fn take_idle(&self, idle_time_max: Duration) -> Option<SendRequest<BoxedBody>> {
        let mut idle = self.lock();
        let now = Instant::now();
        let suspended_us = suspended_us();
        idle.retain(|connection| {
            connection.suspended_us == suspended_us && now.duration_since(connection.since) < IDLE_TIME_MAX
        });
        let index = idle.iter().rposition(|connection| {
            connection.sender.is_ready() && now.duration_since(connection.since) < idle_time_max
        })?;
        Some(idle.remove(index).sender)
    }

    async fn connect(&self) -> Result<SendRequest<BoxedBody>, PoolError> {
        let opened = timeout(self.connect_timeout, TcpStream::connect(self.address)).await;
        let opened = opened.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
        let stream = opened.map_err(PoolError::Connect)?;
        // Nagle's algorithm would delay small requests.
        let _ = stream.set_nodelay(true);
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|error| PoolError::Connect(io::Error::other(error)))?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to the target failed: {error}");
            }
        });
        Ok(sender)
    }

    fn lock(&self) -> MutexGuard<'_, Vec<IdleConnection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
