//! Paces answers to callers on other hosts, which share this node's link.

use crate::{
    call_request::{CallOutcome, CallRequest},
    link_pacer::LinkPacer,
    paced_body::{READ_AHEAD_BYTES, Sending, pace},
    responder::Responder,
    services::ServiceState,
};
use futures_util::future::BoxFuture;
use http::{Request, Response, request::Parts};
use laurelstall_peer::body::BoxedBody;
use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
};

/// Marks a request whose caller is on another host.
#[derive(Debug, Clone, Copy)]
struct RemoteCaller;

/// Marks the requests of a connection whose caller is on another host, and passes them on.
#[derive(Debug)]
struct RemoteCallerResponder(Arc<dyn Responder>);

impl Responder for RemoteCallerResponder {
    fn respond(&self, mut request: Request<BoxedBody>) -> BoxFuture<'_, Response<BoxedBody>> {
        request.extensions_mut().insert(RemoteCaller);
        self.0.respond(request)
    }

    fn may_run_concurrently(&self, head: &Parts) -> bool {
        self.0.may_run_concurrently(head)
    }
}

/// Returns the responder for a connection between these addresses.
pub fn responder_of(
    responder: &Arc<dyn Responder>,
    caller: SocketAddr,
    own: Option<SocketAddr>,
) -> Arc<dyn Responder> {
    match own {
        Some(own) if is_over_link(caller.ip(), own.ip()) => {
            Arc::new(RemoteCallerResponder(responder.clone()))
        }
        _ => responder.clone(),
    }
}

/// Whether a connection between these addresses passes over the link. Connections within a host have the same address at
/// both ends, or loopback addresses.
pub fn is_over_link(caller: IpAddr, own: IpAddr) -> bool {
    let (caller, own) = (caller.to_canonical(), own.to_canonical());
    caller != own && !caller.is_loopback()
}

/// How the answer of a call leaves to its caller.
#[derive(Debug)]
pub(crate) struct CallerLink {
    /// The link and the importance of the answer; `None` if the answer does not pass over it.
    paced: Option<(Arc<LinkPacer>, u8)>,
}

impl CallerLink {
    /// Returns how the answer leaves to a caller that is on another host or not.
    pub(crate) fn new(
        pacer: Option<&Arc<LinkPacer>>,
        is_remote: bool,
        service: &ServiceState,
        request: &CallRequest,
    ) -> Self {
        let is_paced = is_remote && pacer.is_some() && service.balancer().limits().load.link;
        Self { paced: pacer.filter(|_| is_paced).map(|pacer| (pacer.clone(), request.importance)) }
    }

    /// Returns the outcome with a paced body.
    pub(crate) fn pace(&self, outcome: CallOutcome) -> CallOutcome {
        match (&self.paced, outcome) {
            (Some((pacer, importance)), CallOutcome::Answered { status, headers, body }) => {
                let sending = Sending {
                    importance: *importance,
                    read_ahead_bytes: READ_AHEAD_BYTES,
                    learned_class: None,
                };
                let body = pace(pacer, sending, &headers, body);
                CallOutcome::Answered { status, headers, body }
            }
            (_, outcome) => outcome,
        }
    }
}

/// Whether the caller of this request is on another host.
pub(crate) fn is_remote_caller(parts: &Parts) -> bool {
    parts.extensions.get::<RemoteCaller>().is_some()
}
