//! Replies to callers: a target's answer, or why there is none.

use super::Entry;
use crate::{
    body::full_body, call_request::CallOutcome, counters::count, decision_log::CallEnd, dialect::FailureInfo,
    headers::host_of,
};
use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use laurelstall_config::document::DocumentName;
use laurelstall_guard::refusal::Refusal;
use laurelstall_peer::body::BoxedBody;

/// Parts of a request that the decision log records.
pub(super) struct LoggedRequest {
    method: Method,
    host: String,
    path: String,
}

impl LoggedRequest {
    pub(super) fn new(request: &Request<BoxedBody>) -> Self {
        Self {
            method: request.method().clone(),
            host: host_of(request.uri(), request.headers()).unwrap_or_default(),
            path: request.uri().path().to_owned(),
        }
    }
}

/// The reply to a caller.
pub(super) enum Reply {
    /// A target's answer, or the node's own to a request for tickets.
    Answered(Response<BoxedBody>),
    /// A call that no target answered.
    Failed(FailedCall),
}

/// How a call without an answer is reported to its caller.
pub(super) struct FailedCall {
    pub(super) status: StatusCode,
    pub(super) outcome: &'static str,
    pub(super) reason: String,
    pub(super) retry_after_ms: Option<u64>,
}

impl FailedCall {
    pub(super) fn not_run(status: StatusCode, reason: &str, retry_after_ms: Option<u64>) -> Self {
        Self { status, outcome: "not-run", reason: reason.to_owned(), retry_after_ms }
    }
}

impl Entry {
    /// Writes the end of a call to the decision log.
    pub(super) fn log_call_end(
        &self,
        call: u64,
        request_id: Option<&str>,
        logged: LoggedRequest,
        reply: &Reply,
        took_us: u64,
    ) {
        let (status, outcome, reason) = match reply {
            Reply::Answered(response) => (response.status(), "answered", ""),
            Reply::Failed(failed) => (failed.status, failed.outcome, failed.reason.as_str()),
        };
        let configuration = &self.active.load().configuration;
        let team = configuration.team_of_caller_host(&logged.host);
        let name = team.map(|team| DocumentName::Team(team.team.clone()));
        self.context.decisions.write_call_end(CallEnd {
            call,
            request_id: request_id.unwrap_or_default().to_owned(),
            method: logged.method.to_string(),
            host: logged.host,
            path: logged.path,
            version: name.map(|name| configuration.version(&name)).unwrap_or_default(),
            status: status.as_u16(),
            outcome,
            reason: reason.to_owned(),
            took_us,
        });
    }

    /// Builds the response of a reply, with the header fields that callers expect.
    pub(super) fn build_response(
        &self,
        reply: Reply,
        id: u64,
        request_id: Option<&str>,
    ) -> Response<BoxedBody> {
        let dialect = &self.context.dialect;
        match reply {
            Reply::Answered(mut response) => {
                dialect.mark_answer(response.headers_mut(), id);
                response
            }
            Reply::Failed(failed) => {
                let FailedCall { status, outcome, reason, retry_after_ms } = failed;
                let mut response = Response::new(full_body(Bytes::from(format!("{outcome}: {reason}\n"))));
                *response.status_mut() = status;
                let headers = response.headers_mut();
                headers.insert(http::header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
                if status == StatusCode::UNAUTHORIZED {
                    headers.insert(http::header::WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
                }
                let failure = FailureInfo { outcome, reason: &reason, retry_after_ms };
                dialect.mark_failure(headers, id, request_id, &failure);
                response
            }
        }
    }

    pub(super) fn reply(&self, outcome: CallOutcome) -> Reply {
        let counters = &self.context.counters;
        let is_late = outcome.is_out_of_time();
        match outcome {
            CallOutcome::Answered { status, headers, body } => {
                count(&counters.answered);
                let mut response = Response::new(body);
                *response.status_mut() = status;
                *response.headers_mut() = headers;
                Reply::Answered(response)
            }
            CallOutcome::NotRun(refusal) => {
                count(&counters.not_run);
                Reply::Failed(refused(&refusal))
            }
            CallOutcome::Unknown(why) => {
                count(&counters.unknown);
                let status = if is_late { StatusCode::GATEWAY_TIMEOUT } else { StatusCode::BAD_GATEWAY };
                let reason = why.to_owned();
                Reply::Failed(FailedCall { status, outcome: "unknown", reason, retry_after_ms: None })
            }
        }
    }
}

/// Reports a refused call: it ran on no target and may be retried after the refusal's delay.
pub(super) fn refused(refusal: &Refusal) -> FailedCall {
    let retry_after_ms = u64::from(refusal.retry_after_ms.max(1));
    FailedCall::not_run(StatusCode::SERVICE_UNAVAILABLE, refusal.reason.name(), Some(retry_after_ms))
}
