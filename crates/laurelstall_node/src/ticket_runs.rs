//! Runs calls with a ticket at most once and keeps their answers for retries.

use crate::{
    body::{Collected, collect, full_body},
    counters::count,
    target_guard::{Inner, PendingAttempt, refused, unknown},
};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use laurelstall_guard::{
    ledger::{KeptAnswer, RunToken, TicketUse},
    refusal::RefusalReason,
};
use laurelstall_peer::{
    attempt::{AttemptAnswer, AttemptOutcome, UnknownCause},
    body::BoxedBody,
};
use std::sync::Arc;
use tokio::{
    sync::oneshot,
    time::{Duration, timeout_at},
};

impl Inner {
    /// Runs the call of a ticket, or waits for or repeats the answer of its earlier run.
    pub(crate) async fn run_ticket(
        self: &Arc<Self>,
        pending: PendingAttempt,
        incarnation: u64,
        number: u64,
    ) -> AttemptAnswer {
        let deadline = self.clock.instant_of(pending.deadline_us);
        loop {
            let ticket_use = self.ledger().use_ticket(incarnation, number, self.clock.now_us());
            match ticket_use {
                TicketUse::FirstUse(token) => return self.run_detached(pending, token).await,
                TicketUse::Answered(answer) => {
                    count(&self.counters.tickets_kept);
                    return AttemptAnswer::new(kept_outcome(&answer));
                }
                TicketUse::Running(mut done) => {
                    if timeout_at(deadline, done.wait_for(|is_done| *is_done)).await.is_err() {
                        return unknown("ticket still runs");
                    }
                }
                TicketUse::OutcomeUnknown => return unknown("ticket ran, answer not kept"),
                TicketUse::Void => return refused(RefusalReason::TicketVoid, None),
                TicketUse::Invalid => return unknown("ticket not known here any more"),
            }
        }
    }

    /// Runs a ticket's call to its end even if the caller disconnects; a retry then gets the answer.
    async fn run_detached(self: &Arc<Self>, pending: PendingAttempt, token: RunToken) -> AttemptAnswer {
        let this = self.clone();
        let (sender, receiver) = oneshot::channel();
        tokio::spawn(async move {
            let kept_answer_bytes = pending.limits.kept_answer_bytes;
            let answer = this.admit_and_run(pending).await;
            let answer = this.end_ticket(answer, token, kept_answer_bytes).await;
            // The caller may have disconnected; the ledger keeps the outcome.
            let _ = sender.send(answer);
        });
        receiver.await.unwrap_or_else(|_| unknown("ticket's run broke off"))
    }

    /// Records the outcome of a ticket's run in the ledger.
    async fn end_ticket(&self, answer: AttemptAnswer, token: RunToken, kept_bytes: usize) -> AttemptAnswer {
        let AttemptAnswer { outcome, hint, crash_report, unread } = answer;
        let outcome = match outcome {
            AttemptOutcome::NotRun(refusal) => {
                self.ledger().end_not_run(token);
                AttemptOutcome::NotRun(refusal)
            }
            AttemptOutcome::Unknown(cause) => {
                self.ledger().end_unknown(token);
                AttemptOutcome::Unknown(cause)
            }
            AttemptOutcome::Answered { status, headers, body } => {
                self.keep_answer(status, headers, body, token, kept_bytes).await
            }
        };
        AttemptAnswer { outcome, hint, crash_report, unread }
    }

    /// Stores the answer in the ledger, unless its body exceeds `kept_bytes`.
    async fn keep_answer(
        &self,
        status: StatusCode,
        headers: HeaderMap,
        body: BoxedBody,
        token: RunToken,
        kept_bytes: usize,
    ) -> AttemptOutcome {
        // Longest time to read an answer that is to be kept.
        let timeout = Duration::from_secs(30);
        match collect(body, kept_bytes, timeout).await {
            Ok(Collected::Complete(bytes)) => {
                let pairs =
                    headers.iter().map(|(n, v)| (n.as_str().to_owned(), v.as_bytes().to_vec().into()));
                let kept =
                    KeptAnswer { status: status.as_u16(), headers: pairs.collect(), body: bytes.clone() };
                self.ledger().end_answered(token, Some(kept));
                AttemptOutcome::Answered { status, headers, body: full_body(bytes) }
            }
            Ok(Collected::Partial(body)) => {
                self.ledger().end_answered(token, None);
                AttemptOutcome::Answered { status, headers, body }
            }
            Err(_) => {
                self.ledger().end_unknown(token);
                AttemptOutcome::Unknown(UnknownCause::AnswerLost("answer broke off"))
            }
        }
    }
}

/// Rebuilds the outcome of a run from the kept answer.
fn kept_outcome(answer: &KeptAnswer) -> AttemptOutcome {
    let mut headers = HeaderMap::new();
    for (name, value) in &answer.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        let value = HeaderValue::from_bytes(value);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    AttemptOutcome::Answered { status, headers, body: full_body(answer.body.clone()) }
}
