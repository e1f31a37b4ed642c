//! Sends an admitted request to the target.

use super::{Inner, PendingAttempt, ReceivedResponse, connection_lost, not_run, refused, unknown};
use crate::{
    body::{Collected, collect},
    counters::count,
    dialect::AttemptInfo,
    running_requests::RunInfo,
    target_http::{TargetError, target_request},
};
use bytes::Bytes;
use http::{HeaderMap, Request};
use laurelstall_config::team::ServiceLimits;
use laurelstall_crash::request_digest::RequestDigest;
use laurelstall_guard::{guard::Permit, refusal::RefusalReason, refusal_causes::RefusalKind};
use laurelstall_peer::{
    attempt::{AttemptAnswer, AttemptBody},
    body::BoxedBody,
    client::headers_from_wire,
    message::BodyKind,
};
use std::sync::Arc;
use tokio::time::{Duration, timeout_at};

/// Maximum size in bytes of a body sent after admission; matches the replay buffer of an entry.
const ADMITTED_BODY_BYTES_MAX: usize = 1024 * 1024;
/// Longest time that a reserved slot waits for the body.
pub(crate) const ADMITTED_BODY_TIMEOUT: Duration = Duration::from_millis(500);

/// A request ready for the target, with the resources held for it.
pub(super) struct PreparedRequest {
    request: Request<BoxedBody>,
    pub(super) headers: HeaderMap,
    /// Name of the target that the request is sent to.
    target: String,
    digest: RequestDigest,
    may_repeat: bool,
    deadline_us: u64,
    pub(super) run_info: RunInfo,
    pub(super) limits: ServiceLimits,
    permit: Permit,
}

impl Inner {
    /// Prepares an admitted attempt and runs it at the target.
    pub(super) async fn prepare_and_run(
        self: &Arc<Self>,
        pending: PendingAttempt,
        permit: Permit,
    ) -> AttemptAnswer {
        let level = pending.level();
        let PendingAttempt { head, body, mut admission, deadline_us, useful_until_us, limits, .. } = pending;
        let now_us = self.clock.now_us();
        if now_us >= deadline_us {
            permit.release_uncounted();
            return refused(RefusalReason::Deadline, Some(body));
        }
        let budget_ms = ((deadline_us - now_us) / 1_000).max(1);
        let target = match self.name_to_send_under().await {
            Ok(target) => target,
            Err(refusal) => {
                permit.release_uncounted();
                return not_run(refusal, Some(body));
            }
        };
        self.note_instance(&target);
        let Some(settings) = &self.settings else {
            permit.release_uncounted();
            return refused(RefusalReason::OtherTarget, Some(body));
        };
        let Some(mut headers) = headers_from_wire(&head.headers) else {
            permit.release_uncounted();
            return refused(RefusalReason::Unreadable, None);
        };
        self.dialect.write_attempt(&mut headers, &AttemptInfo { budget_ms, target: &target });
        admission.grant();
        let body = match body {
            AttemptBody::Stream(body) if head.body == BodyKind::BufferedAfterAdmission => {
                match receive_body(body).await {
                    Some(bytes) => AttemptBody::Whole(bytes),
                    None => {
                        permit.release_uncounted();
                        return refused(RefusalReason::NoConnection, None);
                    }
                }
            }
            body => body,
        };
        // The target may have left while the call waited for the target's name or the body.
        if let Some(reason) = self.refusal_after_wait(&head) {
            permit.release_uncounted();
            return refused(reason, Some(body));
        }
        let request = target_request(settings, &head.method, &head.uri, headers.clone(), body);
        let Some(request) = request else {
            permit.release_uncounted();
            return refused(RefusalReason::Unreadable, None);
        };
        let run_info = RunInfo {
            useful_until_us,
            importance: head.importance,
            level,
            class: head.class,
            chain_run: None,
            is_repeat: head.is_repeat,
            deadline_us: Some(deadline_us),
            workspace: head.workspace,
        };
        let prepared = PreparedRequest {
            request,
            headers,
            target,
            digest: head.digest,
            may_repeat: head.may_repeat,
            deadline_us,
            run_info,
            limits,
            permit,
        };
        self.run_at_target(prepared).await
    }

    /// Runs a request at the target. One that must not be repeated runs to its end even if its caller leaves, since
    /// cancelling it would leave its effect unknown.
    async fn run_at_target(self: &Arc<Self>, prepared: PreparedRequest) -> AttemptAnswer {
        if prepared.may_repeat {
            return self.run_and_learn(prepared).await;
        }
        let this = self.clone();
        let running = tokio::spawn(async move { this.run_and_learn(prepared).await });
        running.await.unwrap_or_else(|_| unknown("the run broke off"))
    }

    /// Sends the request, reads the response and releases what was held.
    pub(super) async fn send_and_read(self: &Arc<Self>, prepared: PreparedRequest) -> AttemptAnswer {
        let PreparedRequest {
            request,
            headers,
            target,
            digest,
            may_repeat,
            deadline_us,
            run_info,
            limits,
            mut permit,
        } = prepared;
        let Some(client) = &self.client else {
            permit.release_uncounted();
            return refused(RefusalReason::OtherTarget, None);
        };
        let _running = self.running.register(self.dialect.request_id(&headers), run_info);
        let deadline = self.clock.instant_of(deadline_us);
        let watched_run = self.watch_run(digest);
        if let Some(draining_us) = self.guard.draining_for_us() {
            count(&self.counters.late_starts);
            log::info!(
                "local target: a call starts {} ms after the guard began to drain",
                draining_us / 1_000
            );
        }
        permit.note_sent();
        let sent_us = self.clock.now_us();
        let sent = timeout_at(deadline, client.send(request, may_repeat)).await;
        if !matches!(sent, Ok(Err(TargetError::NoConnection))) {
            count(&self.counters.target_arrivals);
        }
        match sent {
            Err(_) => unknown("time budget spent at the target"),
            Ok(Ok(answer)) => {
                let received = ReceivedResponse {
                    request: headers,
                    sent_us,
                    target,
                    answer,
                    permit,
                    watched_run,
                    deadline,
                };
                let read = timeout_at(deadline, self.read_response(received, &limits)).await;
                read.unwrap_or_else(|_| unknown("time budget spent at the target"))
            }
            Ok(Err(TargetError::NoConnection)) => {
                let running = permit.running_at_start();
                permit.release_uncounted();
                watched_run.forget();
                self.note_no_connection(&target).await;
                self.note_shed(RefusalKind::NoConnection, running);
                // The next instance to accept connections has just started.
                self.guard.discard_cold_report();
                refused(RefusalReason::NoConnection, None)
            }
            Ok(Err(TargetError::Malformed(error))) => {
                permit.release_uncounted();
                watched_run.forget();
                self.malformed_answers.note(&error);
                unknown("the target sent no answer")
            }
            Ok(Err(TargetError::Broken)) => {
                let running = permit.running_at_start();
                permit.release_uncounted();
                self.note_shed(RefusalKind::Reset, running);
                self.guard.discard_cold_report();
                connection_lost("connection to the target broke", watched_run.note_broken(&target).await)
            }
        }
    }
}

impl Inner {
    /// Records that the target refused a request that began with `running` calls.
    pub(super) fn note_shed(&self, kind: RefusalKind, running: u32) {
        if self.guard.note_shed(kind, running) {
            count(&self.counters.limit_reductions);
        }
    }
}

/// Receives the body that the entry sends after admission; `None` when the entry or the connection to it is gone.
async fn receive_body(body: BoxedBody) -> Option<Bytes> {
    match collect(body, ADMITTED_BODY_BYTES_MAX, ADMITTED_BODY_TIMEOUT).await {
        Ok(Collected::Complete(bytes)) => Some(bytes),
        Ok(Collected::Partial(_)) | Err(_) => None,
    }
}
