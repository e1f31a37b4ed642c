//! Reads the answer to an attempt at another node's target.

use crate::{
    answer_body::{AnswerBody, AnswerResources},
    attempt::{AttemptAnswer, AttemptOutcome, UnknownCause},
    body::{BoxedBody, StreamBody},
    client::headers_from_wire,
    frame::{FrameError, FrameReader},
    message::{AttemptHead, PeerAnswer},
    meter::Meter,
};
use h2::Reason;
use http::{Method, StatusCode, Version};
use http_body_util::BodyExt;
use laurelstall_answer::{answer_head::AnswerHead, length_checked_body::LengthCheckedBody};
use laurelstall_balance::hint::Hint;
use laurelstall_guard::refusal::{Refusal, RefusalReason};
use std::sync::{Arc, atomic::Ordering};

/// An answer of a target, as its node passes it on.
struct PassedAnswer {
    status: u16,
    headers: Vec<(String, Vec<u8>)>,
}

/// What is known of an attempt whose answer is awaited.
pub(crate) struct AwaitedAnswer {
    call_id: u64,
    method: Method,
    pub(crate) resources: AnswerResources,
    meter: Arc<Meter>,
}

impl AwaitedAnswer {
    /// Prepares for the answer to an attempt with this head; one that is no answer is counted in `meter`.
    pub(crate) fn new(head: &AttemptHead, resources: AnswerResources, meter: Arc<Meter>) -> Self {
        let method = Method::from_bytes(head.method.as_bytes()).unwrap_or_default();
        Self { call_id: head.call_id, method, resources, meter }
    }

    /// Returns what an answer says of the attempt. The rest of `reader` is the body.
    pub(crate) fn read(self, answer: Result<PeerAnswer, FrameError>, reader: FrameReader) -> AttemptAnswer {
        let answer = match answer {
            Ok(answer) => answer,
            Err(FrameError::Stream(error)) => return stream_failure(&error, None),
            Err(_) => return AttemptAnswer::new(lost("unreadable answer")),
        };
        let (outcome, hint) = match answer {
            PeerAnswer::Answered { call_id, .. } | PeerAnswer::NotRun { call_id, .. }
                if call_id != self.call_id =>
            {
                (lost("an answer to another call"), None)
            }
            PeerAnswer::Answered { status, headers, hint, .. } => {
                (self.read_passed(PassedAnswer { status, headers }, reader), hint)
            }
            PeerAnswer::NotRun { refusal, hint, .. } => (AttemptOutcome::NotRun(refusal), hint),
            PeerAnswer::Refused(refusal) => (AttemptOutcome::NotRun(refusal), None),
            PeerAnswer::Unknown { ended: Some(report), hint, .. } => {
                let outcome = AttemptOutcome::Unknown(UnknownCause::TargetCrashed);
                let hint = hint.map(Hint::from);
                return AttemptAnswer { outcome, hint, crash_report: Some(report), unread: None };
            }
            PeerAnswer::Unknown { hint, .. } => (lost("lost at the target"), hint),
            _ => (lost("unexpected answer"), None),
        };
        AttemptAnswer { outcome, hint: hint.map(Hint::from), crash_report: None, unread: None }
    }

    /// Checks an answer of the target and returns it with its body.
    fn read_passed(self, passed: PassedAnswer, reader: FrameReader) -> AttemptOutcome {
        let PassedAnswer { status, headers } = passed;
        let (Ok(status), Some(headers)) = (StatusCode::from_u16(status), headers_from_wire(&headers)) else {
            return lost("unreadable answer");
        };
        let head = AnswerHead { method: &self.method, version: Version::HTTP_2, status, headers: &headers };
        let framing = match head.framing() {
            Ok(framing) => framing,
            Err(error) => {
                log::debug!("malformed answer from another node ({}): {error}", error.label());
                self.meter.unreadable.fetch_add(1, Ordering::Relaxed);
                return lost("the other node sent no answer");
            }
        };
        let (first, stream) = reader.into_rest();
        let body = AnswerBody::new(StreamBody::new(first, stream), self.resources);
        let body = LengthCheckedBody::new(body, framing).boxed_unsync();
        AttemptOutcome::Answered { status, headers, body }
    }
}

fn lost(why: &'static str) -> AttemptOutcome {
    AttemptOutcome::Unknown(UnknownCause::AnswerLost(why))
}

/// Result of a failed stream. Only `REFUSED_STREAM` proves that the call has not run.
pub(crate) fn stream_failure(error: &h2::Error, unread: Option<BoxedBody>) -> AttemptAnswer {
    let is_refused = error.is_remote() && error.reason() == Some(Reason::REFUSED_STREAM);
    if !is_refused {
        return AttemptAnswer::new(lost("stream broke"));
    }
    let refusal = Refusal::new(RefusalReason::Draining);
    let mut answer = AttemptAnswer::new(AttemptOutcome::NotRun(refusal));
    answer.unread = unread;
    answer
}
