//! Abstraction over the names and formats of header fields.
//!
//! Environments differ in the fields that callers and targets use for the same information; each node uses the dialect
//! of its environment.

use crate::{
    headers::{
        BUDGET, CALL, CALLER, DEPTH, LEAVING, OUTCOME, RATE_LIMIT, REASON, RETRY_AFTER_MS, TICKET, WORKSPACE,
        number_value, read_number, read_rate_limit, text_value, write_workspace,
    },
    target_notice::TargetNotice,
};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header::RETRY_AFTER};
use laurelstall_config::team::SHED_HEADER;
use std::fmt;

/// Information about a call that the entry writes into the request head.
#[derive(Debug, Clone, Copy)]
pub struct CallInfo<'a> {
    /// Number that identifies the call.
    pub call_id: u64,
    /// Depth in the chain of calls for the calls that the target makes.
    pub depth: u64,
    /// Name of the entry host's own service; empty if there is none.
    pub caller_service: &'a str,
    /// Name of the workspace whose key the caller sent, if any.
    pub workspace: Option<&'a str>,
}

/// Information about an attempt that the guard writes into the request head.
#[derive(Debug, Clone, Copy)]
pub struct AttemptInfo<'a> {
    /// Time left in ms.
    pub budget_ms: u64,
    /// Name of the target that must run the request.
    pub target: &'a str,
}

/// What a target's answer shows about the attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerKind {
    /// The target ran the request.
    Ran,
    /// The target shed the request without running it, because of overload.
    Shed,
    /// The target refused the request without running it, denying that it is the target named in the request.
    Denied,
    /// The answer belongs to another request.
    WrongRequest,
    /// The head lacks what each answer of a target has; contains what is wrong.
    Malformed(&'static str),
}

/// Load that a target reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetLoad {
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Current run time in percent of the normal run time.
    pub slowness_percent: u32,
}

/// How a call without an answer is reported to its caller.
#[derive(Debug, Clone, Copy)]
pub struct FailureInfo<'a> {
    /// `not-run` or `unknown`.
    pub outcome: &'static str,
    /// Short reason.
    pub reason: &'a str,
    /// Retry delay in ms; `None` if it is unknown.
    pub retry_after_ms: Option<u64>,
}

/// Names and formats of header fields exchanged with callers and targets.
pub trait HeaderDialect: Send + Sync + fmt::Debug {
    /// Returns the caller's own request ID.
    fn request_id<'a>(&self, headers: &'a HeaderMap) -> Option<&'a str>;

    /// Returns the ID of the parent request for which this one was made, if the request names one. The parent
    /// need not be running on this host.
    fn parent_request_id<'a>(&self, headers: &'a HeaderMap) -> Option<&'a str>;

    /// Returns the caller's name for itself, if the request contains one that stays the same in retries.
    fn caller<'a>(&self, headers: &'a HeaderMap) -> Option<&'a str>;

    /// Returns the time in ms that the caller waits.
    ///
    /// # Errors
    ///
    /// Returns the name of the field if its value is not a number.
    fn budget_ms(&self, headers: &HeaderMap) -> Result<Option<u64>, HeaderName>;

    /// Returns the depth in the chain of calls.
    ///
    /// # Errors
    ///
    /// Returns the name of the field if its value is not a number.
    fn depth(&self, headers: &HeaderMap) -> Result<u64, HeaderName>;

    /// Replaces the system's own fields in the head of a request to a target.
    fn write_call(&self, headers: &mut HeaderMap, info: &CallInfo<'_>);

    /// Adds the fields about one attempt.
    fn write_attempt(&self, headers: &mut HeaderMap, info: &AttemptInfo<'_>);

    /// Classifies the answer to a request with these headers.
    ///
    /// `shed_status` is the status that, together with a marker field, means that the target shed the request.
    fn answer_kind(
        &self,
        request: &HeaderMap,
        status: StatusCode,
        answer: &HeaderMap,
        shed_status: u16,
    ) -> AnswerKind;

    /// Returns the name that a target reports for itself along with its load.
    fn instance<'a>(&self, answer: &'a HeaderMap) -> Option<&'a str>;

    /// Returns the load that the target reports.
    fn load(&self, answer: &HeaderMap) -> Option<TargetLoad>;

    /// Returns the remaining cold start in ms that the target reports along with its load: 0 when it is warm, `None` if
    /// the answer does not contain it.
    fn cold_ms(&self, answer: &HeaderMap) -> Option<u64>;

    /// Returns what the target states about itself.
    fn notice(&self, answer: &HeaderMap) -> TargetNotice;

    /// Adds the system's fields to a target's answer for the caller.
    fn mark_answer(&self, headers: &mut HeaderMap, call_id: u64);

    /// Adds the system's fields to the answer for a failed call; `request_id` is the caller's own.
    fn mark_failure(
        &self,
        headers: &mut HeaderMap,
        call_id: u64,
        request_id: Option<&str>,
        failure: &FailureInfo<'_>,
    );
}

/// The default dialect, with the `laurelstall-*` fields.
#[derive(Debug, Clone, Copy, Default)]
pub struct DefaultDialect;

impl HeaderDialect for DefaultDialect {
    fn request_id<'a>(&self, _headers: &'a HeaderMap) -> Option<&'a str> {
        None
    }

    fn parent_request_id<'a>(&self, _headers: &'a HeaderMap) -> Option<&'a str> {
        None
    }

    fn caller<'a>(&self, headers: &'a HeaderMap) -> Option<&'a str> {
        headers.get(CALLER)?.to_str().ok()
    }

    fn budget_ms(&self, headers: &HeaderMap) -> Result<Option<u64>, HeaderName> {
        read_number(headers, &BUDGET)
    }

    fn depth(&self, headers: &HeaderMap) -> Result<u64, HeaderName> {
        Ok(read_number(headers, &DEPTH)?.unwrap_or(0))
    }

    fn write_call(&self, headers: &mut HeaderMap, info: &CallInfo<'_>) {
        for name in [BUDGET, DEPTH, CALL, TICKET, OUTCOME] {
            headers.remove(name);
        }
        headers.insert(DEPTH, number_value(info.depth));
        headers.insert(CALL, call_value(info.call_id));
        write_workspace(headers, &WORKSPACE, info.workspace);
    }

    fn write_attempt(&self, headers: &mut HeaderMap, info: &AttemptInfo<'_>) {
        headers.insert(BUDGET, number_value(info.budget_ms));
    }

    fn answer_kind(
        &self,
        _request: &HeaderMap,
        status: StatusCode,
        answer: &HeaderMap,
        shed_status: u16,
    ) -> AnswerKind {
        let is_shed = status.as_u16() == shed_status && answer.contains_key(SHED_HEADER);
        if is_shed { AnswerKind::Shed } else { AnswerKind::Ran }
    }

    fn instance<'a>(&self, _answer: &'a HeaderMap) -> Option<&'a str> {
        None
    }

    fn load(&self, _answer: &HeaderMap) -> Option<TargetLoad> {
        None
    }

    fn cold_ms(&self, _answer: &HeaderMap) -> Option<u64> {
        None
    }

    fn notice(&self, answer: &HeaderMap) -> TargetNotice {
        let is_leaving = answer.get(LEAVING).is_some_and(|value| value == "1");
        TargetNotice { rate_limit: read_rate_limit(answer, &RATE_LIMIT), is_leaving }
    }

    fn mark_answer(&self, headers: &mut HeaderMap, call_id: u64) {
        headers.insert(OUTCOME, HeaderValue::from_static("answered"));
        headers.insert(CALL, call_value(call_id));
    }

    fn mark_failure(
        &self,
        headers: &mut HeaderMap,
        call_id: u64,
        _request_id: Option<&str>,
        failure: &FailureInfo<'_>,
    ) {
        headers.insert(OUTCOME, HeaderValue::from_static(failure.outcome));
        headers.insert(REASON, text_value(failure.reason));
        headers.insert(CALL, call_value(call_id));
        if let Some(retry_after_ms) = failure.retry_after_ms {
            headers.insert(RETRY_AFTER, number_value(retry_after_ms.div_ceil(1_000)));
            headers.insert(RETRY_AFTER_MS, number_value(retry_after_ms));
        }
    }
}

fn call_value(call_id: u64) -> HeaderValue {
    text_value(&format!("{call_id:016x}"))
}
