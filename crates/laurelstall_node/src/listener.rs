//! Accepts connections of callers and operators.

use crate::{
    body::full_body,
    caller_limits::ActiveCallerLimits,
    caller_link::responder_of,
    counters::{Counters, count},
    pipelined_connection::{ConnectionOptions, serve_pipelined},
    responder::Responder,
    write_timeout_stream::WriteTimeoutStream,
};
use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header::CONNECTION};
use hyper::{body::Incoming, service::service_fn};
use hyper_util::{
    rt::{TokioExecutor, TokioIo},
    server::conn::auto::Builder,
};
use laurelstall_peer::{gauge::Gauge, lingering_stream::LingeringStream};
use std::{convert::Infallible, sync::Arc};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Semaphore, watch},
    task::JoinSet,
    time::{Duration, timeout},
};

/// Maximum number of connections above the limit that are answered with a refusal at the same time.
const REFUSED_CONNECTIONS_MAX: usize = 64;
/// Maximum time to answer a connection with a refusal.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);

/// Time without a byte from a caller after which its end of a closing connection is no longer awaited. Idle callers that do
/// not close their connections would hold up a stop for longer.
const CLOSE_SILENCE_MAX: Duration = Duration::from_millis(500);

/// Serves HTTP/1.1 and HTTP/2 on an address.
#[derive(Debug)]
pub struct HttpListener {
    responder: Arc<dyn Responder>,
    limits: Arc<ActiveCallerLimits>,
    counters: Arc<Counters>,
    unanswered: Arc<Gauge>,
    stopping: watch::Receiver<bool>,
}

impl HttpListener {
    /// Passes requests to `responder` until `stopping` becomes true. Those that are not answered yet are counted in
    /// `unanswered`.
    pub fn new(
        responder: Arc<dyn Responder>,
        limits: Arc<ActiveCallerLimits>,
        counters: Arc<Counters>,
        unanswered: Arc<Gauge>,
        stopping: watch::Receiver<bool>,
    ) -> Self {
        Self { responder, limits, counters, unanswered, stopping }
    }

    /// Accepts connections until the node stops. Returns when the last connection has ended.
    ///
    /// Dropping the future aborts all connections, as a crash would.
    pub async fn serve(mut self, listener: TcpListener) {
        let permits = Arc::new(Semaphore::new(self.limits.current().connections));
        let refusal_permits = Arc::new(Semaphore::new(REFUSED_CONNECTIONS_MAX));
        let mut connections = JoinSet::new();
        loop {
            while connections.try_join_next().is_some() {}
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = self.stopping.wait_for(|is_stopping| *is_stopping) => break,
            };
            let Ok((stream, caller)) = accepted else {
                // The process is out of file descriptors, or the connection was reset before it was accepted.
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            };
            let Ok(permit) = permits.clone().try_acquire_owned() else {
                count(&self.counters.connections_refused);
                if let Ok(permit) = refusal_permits.clone().try_acquire_owned() {
                    connections.spawn(async move {
                        let _permit = permit;
                        refuse_connection(stream).await;
                    });
                }
                continue;
            };
            // Nagle's algorithm would delay small answers until the caller acknowledges earlier ones.
            let _ = stream.set_nodelay(true);
            let idle = Duration::from_millis(self.limits.current().idle_timeout_ms);
            let options = ConnectionOptions {
                responder: responder_of(&self.responder, caller, stream.local_addr().ok()),
                limits: self.limits.clone(),
                unanswered: self.unanswered.clone(),
                stopping: self.stopping.clone(),
            };
            connections.spawn(async move {
                let _permit = permit;
                let stream = LingeringStream::new(WriteTimeoutStream::new(stream, idle), CLOSE_SILENCE_MAX);
                if let Err(error) = serve_pipelined(stream, options).await {
                    log::debug!("client connection ended: {error}");
                }
            });
        }
        drop(listener);
        // Each connection ends after it has answered the requests that it has read.
        while connections.join_next().await.is_some() {}
    }
}

async fn refuse_connection(stream: TcpStream) {
    let service = service_fn(|_: Request<Incoming>| async {
        let mut response = Response::new(full_body(Bytes::from_static(b"not-run: too many connections\n")));
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        let headers = response.headers_mut();
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
        headers.insert(crate::headers::OUTCOME, HeaderValue::from_static("not-run"));
        headers.insert(http::header::RETRY_AFTER, HeaderValue::from_static("1"));
        Ok::<_, Infallible>(response)
    });
    let builder = Builder::new(TokioExecutor::new());
    let served = builder.serve_connection(TokioIo::new(stream), service);
    // A connection without a request within this time is closed without an answer.
    let _ = timeout(REFUSAL_TIMEOUT, served).await;
}
