//! One attempt at a call, independent of whether entry and guard are on the same node.

use crate::{body::BoxedBody, message::AttemptHead};
use bytes::Bytes;
use futures_util::future::BoxFuture;
use http::{HeaderMap, StatusCode};
use laurelstall_balance::hint::Hint;
use laurelstall_crash::crash_record::CrashReport;
use laurelstall_guard::refusal::Refusal;
use std::fmt;
use tokio::sync::oneshot;

/// Body of a request.
#[derive(Debug)]
pub enum AttemptBody {
    /// The whole body, which can be sent again.
    Whole(Bytes),
    /// A stream that is read only after admission.
    Stream(BoxedBody),
}

/// Notifies the entry that the guard has admitted the call, so that it sends the body.
#[derive(Debug, Default)]
pub struct Admission(Option<oneshot::Sender<()>>);

impl Admission {
    /// Creates an admission that notifies `admitted`.
    pub fn new(admitted: oneshot::Sender<()>) -> Self {
        Self(Some(admitted))
    }

    /// Reports that the call has a slot.
    pub fn grant(&mut self) {
        if let Some(admitted) = self.0.take() {
            // The receiver is gone if the entry gave up; the call is then cancelled.
            let _ = admitted.send(());
        }
    }
}

/// One attempt at a call.
#[derive(Debug)]
pub struct Attempt {
    /// Head of the attempt.
    pub head: AttemptHead,
    /// Body of the request.
    pub body: AttemptBody,
}

/// Why it is unknown whether an attempt ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnknownCause {
    /// The answer was lost; contains the text for the caller.
    AnswerLost(&'static str),
    /// The target crashed while running the call.
    TargetCrashed,
}

impl UnknownCause {
    /// Returns the text for callers.
    pub fn text(self) -> &'static str {
        match self {
            Self::AnswerLost(text) => text,
            Self::TargetCrashed => "the target ended",
        }
    }

    /// Returns the label for logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::AnswerLost(_) => "unknown",
            Self::TargetCrashed => "target-ended",
        }
    }
}

/// Result of an attempt.
#[derive(Debug)]
pub enum AttemptOutcome {
    /// The target answered.
    Answered {
        /// HTTP status.
        status: StatusCode,
        /// End-to-end headers.
        headers: HeaderMap,
        /// Body of the answer, which may still fail.
        body: BoxedBody,
    },
    /// Proof that no target received a byte of the call, or that the target reported not having run it.
    NotRun(Refusal),
    /// The target may have run the call.
    Unknown(UnknownCause),
}

/// Result of an attempt with the state of the target.
#[derive(Debug)]
pub struct AttemptAnswer {
    /// Result of the attempt.
    pub outcome: AttemptOutcome,
    /// Load hint on the target, if the budget for observation allowed one.
    pub hint: Option<Hint>,
    /// Crash report on the request; `None` unless the target crashed while running it.
    pub crash_report: Option<CrashReport>,
    /// Unread body of a request that did not run.
    pub unread: Option<BoxedBody>,
}

impl AttemptAnswer {
    /// Creates an answer without a hint.
    pub fn new(outcome: AttemptOutcome) -> Self {
        Self { outcome, hint: None, crash_report: None, unread: None }
    }
}

/// Runs attempts; implemented by the guard of this node's target.
pub trait AttemptHandler: Send + Sync + fmt::Debug {
    /// Runs an attempt. Dropping the future cancels it.
    fn attempt(&self, attempt: Attempt, admission: Admission) -> BoxFuture<'_, AttemptAnswer>;
}
