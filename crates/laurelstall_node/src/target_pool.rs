//! HTTP/1.1 connections to the target beside this node.
//!
//! A request that may not be repeated is lost when its connection turns out to be closed, so it
//! is sent on a connection that was used a moment ago, or on a new one.

use hyper::{
    Request, Response,
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use laurelstall_guard::suspension::suspended_us;
use laurelstall_peer::body::AnswerBody;
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

/// Idle connections that are kept.
const IDLE_MAX: usize = 64;
/// Longest rest of a connection that a repeatable request is sent on.
const REST_MAX: Duration = Duration::from_secs(4);
/// Longest rest of a connection that any other request is sent on.
const REST_UNREPEATABLE_MAX: Duration = Duration::from_millis(500);

quick_error! {
    /// A request that got no answer.
    #[derive(Debug)]
    pub enum PoolError {
        /// No connection could be opened: the target has seen nothing.
        Connect(error: io::Error) {
            display("connect: {error}")
            source(error)
        }
        /// The connection broke: the target may have run the request.
        Broken(error: hyper::Error) {
            display("{error}")
            source(error)
        }
    }
}

#[derive(Debug)]
struct IdleConnection {
    sender: SendRequest<AnswerBody>,
    since: Instant,
    /// How long the machine had been suspended by then, in µs: the target closes what rests for long meanwhile.
    suspended_us: u64,
}

/// A pool that hands out the connection used last first.
#[derive(Debug)]
pub struct TargetPool {
    address: SocketAddr,
    connect_timeout: Duration,
    idle: Mutex<Vec<IdleConnection>>,
}

/// A connection that carried a request; give it back once the answer was read whole.
///
/// Dropping it closes the connection.
#[derive(Debug)]
pub struct UsedConnection {
    pool: Arc<TargetPool>,
    sender: SendRequest<AnswerBody>,
}

impl UsedConnection {
    /// Keeps the connection for a later request.
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
    /// A pool without connections.
    pub fn new(address: SocketAddr, connect_timeout: Duration) -> Arc<Self> {
        Arc::new(Self { address, connect_timeout, idle: Mutex::default() })
    }

    /// Sends a request, on a new connection if no kept one is fit for it.
    ///
    /// # Errors
    ///
    /// [`PoolError::Connect`] when the target has seen nothing of it.
    pub async fn send(
        self: &Arc<Self>,
        mut request: Request<AnswerBody>,
        may_repeat: bool,
    ) -> Result<(Response<Incoming>, UsedConnection), PoolError> {
        let rest_max = if may_repeat { REST_MAX } else { REST_UNREPEATABLE_MAX };
        while let Some(mut sender) = self.take_idle(rest_max) {
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

    /// Closes all idle connections, for a target that is another one now.
    pub fn clear(&self) {
        self.lock().clear();
    }

    fn used(self: &Arc<Self>, sender: SendRequest<AnswerBody>) -> UsedConnection {
        UsedConnection { pool: self.clone(), sender }
    }

    fn take_idle(&self, rest_max: Duration) -> Option<SendRequest<AnswerBody>> {
        let mut idle = self.lock();
        let now = Instant::now();
        let suspended_us = suspended_us();
        idle.retain(|connection| {
            connection.suspended_us == suspended_us && now.duration_since(connection.since) < REST_MAX
        });
        let place = idle.iter().rposition(|connection| {
            connection.sender.is_ready() && now.duration_since(connection.since) < rest_max
        })?;
        Some(idle.remove(place).sender)
    }

    async fn connect(&self) -> Result<SendRequest<AnswerBody>, PoolError> {
        let opened = timeout(self.connect_timeout, TcpStream::connect(self.address)).await;
        let opened = opened.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
        let stream = opened.map_err(PoolError::Connect)?;
        // Without it, small requests wait for the target's acknowledgement.
        let _ = stream.set_nodelay(true);
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|error| PoolError::Connect(io::Error::other(error)))?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to the target ended: {error}");
            }
        });
        Ok(sender)
    }

    fn lock(&self) -> MutexGuard<'_, Vec<IdleConnection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
