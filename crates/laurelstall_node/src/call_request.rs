//! A call as received from its caller, and its outcome.

use crate::chain_run::ChainRun;
use http::{HeaderMap, StatusCode};
use laurelstall_balance::class_times::CallClass;
use laurelstall_config::workspace::Workspace;
use laurelstall_crash::request_digest::RequestDigest;
use laurelstall_guard::{refusal::Refusal, ticket::Ticket};
use laurelstall_overload::call_level::CallLevel;
use laurelstall_peer::{attempt::AttemptBody, body::BoxedBody};
use laurelstall_policy::plan::Route;
use std::sync::Arc;

/// A call as received from its caller, with what its route and workspace decide.
#[derive(Debug)]
pub struct CallRequest {
    /// Random number that identifies the call.
    pub id: u64,
    /// The caller's own request ID; empty if it sent none.
    pub request_id: String,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub uri: String,
    /// Digest by which repeated arrivals of the same request are recognised.
    pub digest: RequestDigest,
    /// End-to-end headers.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The body, either buffered or as a stream.
    pub body: AttemptBody,
    /// The route chosen by the route table or the routing program.
    pub route: Route,
    /// The workspace that the call belongs to, if any.
    pub workspace: Option<Arc<Workspace>>,
    /// Data centres that may serve the call; `None` for all.
    pub data_centres: Option<Vec<String>>,
    /// Importance relative to other callers' calls.
    pub importance: u8,
    /// Whether the run of another call makes this call and waits for it.
    pub is_nested: bool,
    /// Importance that the retry budget uses: the parent call's for a nested call, else the call's own.
    pub budget_importance: u8,
    /// Level by which the call is admitted during overload: that of the first request of the chain.
    pub level: CallLevel,
    /// The run of the local target that makes this call, if the node learns from its calls.
    pub chain_run: Option<ChainRun>,
    /// Whether the parent call's run is a retry, so that the service may have received this call before.
    pub is_parent_retry: bool,
    /// Whether the caller appears to be retrying an earlier call.
    pub is_caller_retry: bool,
    /// Class of calls with similar run times.
    pub class: CallClass,
    /// Deadline of the call, in µs of the node's clock.
    pub deadline_us: u64,
    /// When the latency objective expires, in µs of the node's clock; `None` without an objective.
    pub useful_until_us: Option<u64>,
    /// The ticket sent with the call, which limits it to one run.
    pub ticket: Option<Ticket>,
}

/// How a call ended, as reported to its caller.
#[derive(Debug)]
pub enum CallOutcome {
    /// A target's answer.
    Answered {
        /// HTTP status.
        status: StatusCode,
        /// End-to-end headers.
        headers: HeaderMap,
        /// Response body.
        body: BoxedBody,
    },
    /// The call certainly ran on no target.
    NotRun(Refusal),
    /// The call may have run; the text says why its outcome is unknown.
    Unknown(&'static str),
}

impl CallOutcome {
    /// Whether the call may have run and ended because its time was spent.
    pub fn is_out_of_time(&self) -> bool {
        // The texts of all causes that ran out of time contain "time budget".
        matches!(self, Self::Unknown(why) if why.contains("time budget"))
    }
}
