//! Builds the answers of attempts that no target answered.

use laurelstall_crash::crash_record::CrashReport;
use laurelstall_guard::refusal::{Refusal, RefusalReason};
use laurelstall_peer::attempt::{AttemptAnswer, AttemptBody, AttemptOutcome, UnknownCause};

/// Builds the answer for a broken connection, with the crash report on the request if the target has crashed.
pub(super) fn connection_lost(reason: &'static str, crash_report: Option<CrashReport>) -> AttemptAnswer {
    let cause =
        if crash_report.is_some() { UnknownCause::TargetCrashed } else { UnknownCause::AnswerLost(reason) };
    AttemptAnswer { crash_report, ..AttemptAnswer::new(AttemptOutcome::Unknown(cause)) }
}

/// Builds the answer of an attempt that may have run.
pub(crate) fn unknown(reason: &'static str) -> AttemptAnswer {
    AttemptAnswer::new(AttemptOutcome::Unknown(UnknownCause::AnswerLost(reason)))
}

/// Builds the answer of an attempt that did not run, returning an unread body stream to the entry.
pub(crate) fn refused(reason: RefusalReason, body: Option<AttemptBody>) -> AttemptAnswer {
    not_run(Refusal::new(reason), body)
}

/// Builds the answer of a refused attempt, returning an unread body stream to the entry.
pub(super) fn not_run(refusal: Refusal, body: Option<AttemptBody>) -> AttemptAnswer {
    let mut answer = AttemptAnswer::new(AttemptOutcome::NotRun(refusal));
    if let Some(AttemptBody::Stream(body)) = body {
        answer.unread = Some(body);
    }
    answer
}
