//! What the listeners pass requests to.

use futures_util::future::BoxFuture;
use http::{Request, Response, request::Parts};
use laurelstall_peer::body::BoxedBody;
use std::fmt;

/// Answers HTTP requests.
pub trait Responder: Send + Sync + fmt::Debug {
    /// Answers a request.
    fn respond(&self, request: Request<BoxedBody>) -> BoxFuture<'_, Response<BoxedBody>>;

    /// Returns whether a pipelined request may run before earlier requests of its connection are answered. It must be safe to
    /// repeat: when an earlier answer closes the connection, the caller sends it again.
    fn may_run_concurrently(&self, _head: &Parts) -> bool {
        false
    }
}
