//! Reads an HTTP request and builds the call to make.

use super::{Entry, Rejection, authorization::Caller, bad_number, read_ticket};
use crate::{
    body::{Collected, collect, with_idle_timeout},
    call_request::CallRequest,
    dialect::CallInfo,
    headers::{host_of, read_number, strip_request, text_value},
    running_requests::RunInfo,
};
use http::{StatusCode, request::Parts};
use http_body_util::BodyExt;
use laurelstall_crash::request_digest::{RequestDigest, RequestHead};
use laurelstall_guard::admission_request::call_importance;
use laurelstall_overload::call_level::CallLevel;
use laurelstall_peer::{attempt::AttemptBody, body::BoxedBody, client::headers_to_wire};
use laurelstall_policy::plan::Route;
use std::sync::PoisonError;
use tokio::time::Duration;

/// Time in which a body must arrive completely; after that it is forwarded as a stream.
const COLLECT_TIMEOUT: Duration = Duration::from_millis(20);

/// How much of a body is buffered before the request is sent on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BodyWait {
    /// Waits briefly; a longer or slower body is streamed.
    Short,
    /// Waits as long as data arrives; a body that exceeds the replay buffer is streamed.
    Long,
    /// Waits as long as data arrives; a body that exceeds the replay buffer is refused.
    Whole,
}

/// Returns the digest by which a repeated request is recognised; a streamed body is not part of it.
fn digest_of(head: &RequestHead<'_>, body: &AttemptBody) -> RequestDigest {
    match body {
        AttemptBody::Whole(bytes) => RequestDigest::of_whole(head, bytes),
        AttemptBody::Stream(_) => RequestDigest::of_stream(head),
    }
}

/// What the head of an accepted request determines.
pub(super) struct AcceptedHead {
    /// The route of the request.
    pub(super) route: Route,
    /// Depth in the chain of calls.
    pub(super) depth: u64,
    /// Full name of the service.
    pub(super) service: String,
    /// The authorized caller.
    pub(super) caller: Caller,
}

impl Entry {
    /// Reads the body of an accepted request and builds the call.
    ///
    /// # Errors
    ///
    /// Returns a rejection if a header field is invalid or the body is too large or breaks off.
    pub(super) async fn read_call(
        &self,
        id: u64,
        mut parts: Parts,
        body: BoxedBody,
        accepted: AcceptedHead,
    ) -> Result<CallRequest, Rejection> {
        let AcceptedHead { route, depth, service, caller } = accepted;
        let ticket = read_ticket(&parts, &service)?;
        let request_id = self.context.dialect.request_id(&parts.headers).unwrap_or_default().to_owned();
        let budget_ms = self.budget_ms(&parts, &route)?;
        let now_us = self.context.clock.now_us();
        let parent = self.parent(&parts);
        let parent_deadline_us = parent.as_ref().and_then(|parent| parent.deadline_us);
        let own_deadline_us = (now_us + budget_ms * 1_000).min(self.deadline_max_us());
        let deadline_us = own_deadline_us.min(parent_deadline_us.unwrap_or(u64::MAX));
        let is_nested = depth > 0 || parent.is_some();
        let is_caller_retry = !is_nested && self.is_caller_retry(&parts, &route)?;
        let parent_useful_until_us = parent.as_ref().map_or(0, |parent| parent.useful_until_us);
        let objective_ms = route.latency_objective_ms;
        let useful_until_us =
            objective_ms.map(|ms| (now_us + ms * 1_000).max(parent_useful_until_us).min(deadline_us));
        let host = host_of(&parts.uri, &parts.headers).unwrap_or_default();
        let head = RequestHead {
            method: parts.method.as_str(),
            host: &host,
            path: parts.uri.path_and_query().map_or("/", |path| path.as_str()),
            caller: self.context.dialect.caller(&parts.headers).unwrap_or_default(),
        };
        let wait = self.body_wait(ticket.is_some(), &head);
        let body = self.read_body(&parts, body, wait).await?;
        let digest = digest_of(&head, &body);
        let is_whole = matches!(body, AttemptBody::Whole(_));
        strip_request(&mut parts.headers, is_whole);
        if let Some(authority) = parts.uri.authority() {
            // HTTP/2 carries the host in the `:authority` pseudo-header.
            parts.headers.insert(http::header::HOST, text_value(authority.as_str()));
        }
        if caller.team_has_keys {
            // The key is not passed on to targets.
            parts.headers.remove(http::header::AUTHORIZATION);
        }
        let info = CallInfo {
            call_id: id,
            depth: depth + 1,
            caller_service: &self.own_service,
            workspace: caller.named_by_key(),
        };
        self.context.dialect.write_call(&mut parts.headers, &info);
        let workspace_importance = caller.workspace.as_ref().and_then(|workspace| workspace.importance);
        let importance = call_importance(workspace_importance, route.importance);
        let own_level = CallLevel::new(importance, &id.to_le_bytes());
        let uri = parts.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned();
        Ok(CallRequest {
            id,
            request_id,
            method: parts.method.as_str().to_owned(),
            uri,
            digest,
            headers: headers_to_wire(&parts.headers),
            body,
            class: route.class,
            data_centres: caller.data_centres(&route.data_centres),
            importance,
            is_nested,
            level: parent.as_ref().map_or(own_level, |parent| parent.level),
            chain_run: parent.as_ref().and_then(|parent| parent.chain_run),
            budget_importance: parent.as_ref().map_or(importance, |parent| parent.importance),
            is_parent_retry: parent.is_some_and(|parent| parent.is_repeat),
            workspace: caller.workspace,
            is_caller_retry,
            route,
            deadline_us,
            useful_until_us,
            ticket,
        })
    }

    /// Returns the request running at the local target that makes this call; `None` when there is none.
    pub(super) fn parent(&self, parts: &Parts) -> Option<RunInfo> {
        let parent = self.context.dialect.parent_request_id(&parts.headers)?;
        self.running.get(parent)
    }

    /// Returns the time budget in ms: the caller's, limited by the route's and the configured maximum.
    pub(super) fn budget_ms(&self, parts: &Parts, route: &Route) -> Result<u64, Rejection> {
        let requested = self.context.dialect.budget_ms(&parts.headers).map_err(bad_number)?;
        let limits = self.limits.current();
        let from_route = route.budget_ms.unwrap_or(limits.budget_default_ms);
        Ok(requested.unwrap_or(from_route).min(from_route).min(limits.budget_max_ms))
    }

    /// Whether the time budget, compared with typical ones, shows that the caller is retrying an earlier call.
    fn is_caller_retry(&self, parts: &Parts, route: &Route) -> Result<bool, Rejection> {
        let requested_ms = self.context.dialect.budget_ms(&parts.headers).map_err(bad_number)?;
        let Some(requested_ms) = requested_ms else { return Ok(false) };
        let mut budgets = self.typical_budgets.lock().unwrap_or_else(PoisonError::into_inner);
        Ok(budgets.note(route.class, requested_ms))
    }

    /// Decides how much of the body to buffer; the digest needs the whole body if requests with the same head were
    /// running when a target crashed.
    fn body_wait(&self, has_ticket: bool, head: &RequestHead<'_>) -> BodyWait {
        if has_ticket {
            return BodyWait::Whole;
        }
        if self.context.crashes.knows_head(head.hash()) { BodyWait::Long } else { BodyWait::Short }
    }

    /// Reads the body, buffered as far as `wait` allows.
    async fn read_body(
        &self,
        parts: &Parts,
        body: BoxedBody,
        wait: BodyWait,
    ) -> Result<AttemptBody, Rejection> {
        let length = read_number(&parts.headers, &http::header::CONTENT_LENGTH).map_err(bad_number)?;
        let limits = self.limits.current();
        let max_bytes = limits.body_bytes;
        if max_bytes > 0 && length.is_some_and(|length| length > max_bytes) {
            return Err(Rejection::new(StatusCode::PAYLOAD_TOO_LARGE, "body too large"));
        }
        let body = match max_bytes {
            0 => body,
            max_bytes => http_body_util::Limited::new(body, max_bytes as usize).boxed_unsync(),
        };
        let idle = Duration::from_millis(limits.idle_timeout_ms);
        let body = with_idle_timeout(body, idle);
        let timeout = if wait == BodyWait::Short { COLLECT_TIMEOUT } else { idle };
        let collected = collect(body, limits.replay_bytes, timeout).await;
        match collected {
            Ok(Collected::Complete(bytes)) => Ok(AttemptBody::Whole(bytes)),
            Ok(Collected::Partial(_)) if wait == BodyWait::Whole => {
                Err(Rejection::new(StatusCode::PAYLOAD_TOO_LARGE, "body too large or slow for a ticket"))
            }
            Ok(Collected::Partial(rest)) => Ok(AttemptBody::Stream(rest)),
            Err(error) if error.is::<http_body_util::LengthLimitError>() => {
                Err(Rejection::new(StatusCode::PAYLOAD_TOO_LARGE, "body too large"))
            }
            Err(_) => Err(Rejection::new(StatusCode::BAD_REQUEST, "body broke off")),
        }
    }
}
