//! Settings with which hyper serves a caller's connection.

use hyper_util::{
    rt::{TokioExecutor, TokioTimer},
    server::conn::auto::Builder,
};
use laurelstall_config::settings::CallerLimits;
use tokio::time::Duration;

/// Returns a builder of connections over HTTP/1.1 or HTTP/2 that keeps these limits.
pub(crate) fn builder(limits: &CallerLimits) -> Builder<TokioExecutor> {
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.head_timeout_ms))
        .max_buf_size(limits.head_bytes);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(limits.streams)
        .max_header_list_size(limits.head_bytes as u32)
        .keep_alive_interval(Duration::from_millis(limits.idle_timeout_ms))
        .keep_alive_timeout(Duration::from_millis(limits.idle_timeout_ms));
    builder
}
