//! Sending a request that has its slot to the target.

use super::{Answered, Inner, Run, lost, not_run, refused, unknown};
use crate::{
    body::{Collected, collect},
    counters::count,
    dialect::AttemptFacts,
    running_requests::RunFacts,
    target_http::{TargetError, target_request},
};
use bytes::Bytes;
use http::{HeaderMap, Request};
use laurelstall_config::team::ServiceLimits;
use laurelstall_crash::request_digest::RequestDigest;
use laurelstall_guard::{guard::Permit, refusal::RefusalReason};
use laurelstall_peer::{
    attempt::{AttemptAnswer, AttemptBody},
    body::AnswerBody,
    client::headers_from_wire,
    message::BodyKind,
};
use std::sync::Arc;
use tokio::time::{Duration, timeout_at};

/// Longest body that comes with the word to go, in bytes: as much as an entry may keep of one.
const GO_BYTES_MAX: usize = 1024 * 1024;
/// Longest that a reserved slot waits for the word to go.
const GO_TIMEOUT: Duration = Duration::from_millis(500);

/// A request on its way to the target, with what is held for it.
struct HandOver {
    request: Request<AnswerBody>,
    headers: HeaderMap,
    /// Name that the request is sent under.
    target: String,
    digest: RequestDigest,
    may_repeat: bool,
    deadline_us: u64,
    facts: RunFacts,
    limits: ServiceLimits,
    permit: Permit,
}

impl Inner {
    pub(super) async fn send(self: &Arc<Self>, run: Run, permit: Permit) -> AttemptAnswer {
        let Run { head, body, mut admission, deadline_us, useful_until_us, limits, .. } = run;
        let now_us = self.clock.now_us();
        if now_us >= deadline_us {
            permit.release_uncounted();
            return refused(RefusalReason::Deadline, Some(body));
        }
        let budget_ms = ((deadline_us - now_us) / 1_000).max(1);
        let target = match self.claim_instance().await {
            Ok(target) => target,
            Err(refusal) => {
                permit.release_uncounted();
                return not_run(refusal, Some(body));
            }
        };
        let Some(settings) = &self.settings else {
            permit.release_uncounted();
            return refused(RefusalReason::OtherTarget, Some(body));
        };
        let Some(mut headers) = headers_from_wire(&head.headers) else {
            permit.release_uncounted();
            return refused(RefusalReason::Unreadable, None);
        };
        self.dialect.write_attempt(&mut headers, &AttemptFacts { budget_ms, target: &target });
        admission.grant();
        let body = match body {
            AttemptBody::Stream(body) if head.body == BodyKind::OnGo => match wait_for_go(body).await {
                Some(bytes) => AttemptBody::Whole(bytes),
                None => {
                    permit.release_uncounted();
                    return refused(RefusalReason::NoConnection, None);
                }
            },
            body => body,
        };
        // It may have left while the call waited for its name and for the body.
        if let Some(reason) = self.refusal_after_wait(&head) {
            permit.release_uncounted();
            return refused(reason, Some(body));
        }
        let request = target_request(settings, &head.method, &head.uri, headers.clone(), body);
        let Some(request) = request else {
            permit.release_uncounted();
            return refused(RefusalReason::Unreadable, None);
        };
        let facts = RunFacts {
            useful_until_us,
            importance: head.importance,
            is_repeat: head.is_repeat,
            deadline_us: Some(deadline_us),
            workspace: head.workspace,
        };
        let handed = HandOver {
            request,
            headers,
            target,
            digest: head.digest,
            may_repeat: head.may_repeat,
            deadline_us,
            facts,
            limits,
            permit,
        };
        self.run_at_target(handed).await
    }

    /// Runs a request at the target. One that may not be repeated runs to its end though its caller leaves:
    /// broken off half-way, its effect would be neither there nor surely not there.
    async fn run_at_target(self: &Arc<Self>, handed: HandOver) -> AttemptAnswer {
        if handed.may_repeat {
            return self.hand_over(handed).await;
        }
        let this = self.clone();
        let running = tokio::spawn(async move { this.hand_over(handed).await });
        running.await.unwrap_or_else(|_| unknown("the run broke off"))
    }

    async fn hand_over(self: &Arc<Self>, handed: HandOver) -> AttemptAnswer {
        let HandOver { request, headers, target, digest, may_repeat, deadline_us, facts, limits, mut permit } =
            handed;
        let Some(client) = &self.client else {
            permit.release_uncounted();
            return refused(RefusalReason::OtherTarget, None);
        };
        let _running = self.running.enter(self.dialect.request_id(&headers), facts);
        let deadline = self.clock.instant_of(deadline_us);
        let run = self.watch_run(digest);
        if let Some(draining_us) = self.guard.draining_for_us() {
            count(&self.counters.late_starts);
            log::info!("own target: a call begins {} ms after the guard began to drain", draining_us / 1_000);
        }
        permit.note_sent();
        let sent = timeout_at(deadline, client.send(request, may_repeat)).await;
        if !matches!(sent, Ok(Err(TargetError::NoConnection))) {
            count(&self.counters.target_arrivals);
        }
        match sent {
            Err(_) => unknown("time budget spent at the target"),
            Ok(Ok((response, connection))) => {
                let answered = Answered { request: headers, target, response, connection, permit, run };
                let read = timeout_at(deadline, self.read_response(answered, &limits)).await;
                read.unwrap_or_else(|_| unknown("time budget spent at the target"))
            }
            Ok(Err(TargetError::NoConnection)) => {
                permit.release_uncounted();
                run.forget();
                self.note_no_connection(&target).await;
                self.guard.note_shed();
                // Whoever takes connections there next has just started.
                self.guard.forget_cold();
                refused(RefusalReason::NoConnection, None)
            }
            Ok(Err(TargetError::Broken)) => {
                permit.release_uncounted();
                self.guard.forget_cold();
                lost("connection to the target broke", run.note_broken(&target).await)
            }
        }
    }
}

/// The body that is the entry's word to go; none when the entry is gone, or the way to it.
async fn wait_for_go(body: AnswerBody) -> Option<Bytes> {
    match collect(body, GO_BYTES_MAX, GO_TIMEOUT).await {
        Ok(Collected::Whole(bytes)) => Some(bytes),
        Ok(Collected::Partial(_)) | Err(_) => None,
    }
}
