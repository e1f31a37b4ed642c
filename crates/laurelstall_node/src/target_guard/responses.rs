//! Converts the target's response into the answer for the entry.

use super::{
    Inner, ReceivedResponse, connection_lost, crash_detection::WatchedRun, notices::Silence, refused, unknown,
};
use crate::{
    body::{Collected, WatchedBody, collect, full_body},
    counters::count,
    dialect::AnswerKind,
    headers::{insert_leaving_instance, strip_hop_by_hop, take_admission_threshold, take_leaving_instance},
    late_answer_body::limit_late_answer,
    target_http::TargetAnswer,
    target_pool::UsedConnection,
};
use http_body_util::BodyExt;
use laurelstall_answer::{answer_error::AnswerError, answer_head::write_length};
use laurelstall_config::team::ServiceLimits;
use laurelstall_guard::{guard::Permit, refusal::RefusalReason, refusal_causes::RefusalKind};
use laurelstall_peer::{
    attempt::{AttemptAnswer, AttemptOutcome},
    body::{BodyError, BoxedBody},
};
use std::sync::Arc;
use tokio::time::Duration;

/// Size in bytes up to which a response is buffered completely before it is passed on.
const BUFFERED_BYTES_MAX: usize = 64 * 1024;
/// Time in which a buffered response must arrive completely; a slower one is streamed.
const BUFFERING_TIMEOUT: Duration = Duration::from_millis(200);

impl Inner {
    /// Reads the target's response and classifies it.
    ///
    /// A small response is buffered, so that the call can still be retried if it breaks off; a longer one is streamed.
    pub(super) async fn read_response(
        self: &Arc<Self>,
        received: ReceivedResponse,
        limits: &ServiceLimits,
    ) -> AttemptAnswer {
        let ReceivedResponse { request, sent_us, target, answer, permit, watched_run, deadline } = received;
        let TargetAnswer { response, framing, connection } = answer;
        let (parts, body) = response.into_parts();
        let status = parts.status;
        let mut headers = parts.headers;
        // Only guards say which instance is leaving, and from which level they admit calls.
        take_leaving_instance(&mut headers);
        take_admission_threshold(&mut headers);
        let notice = self.dialect.notice(&headers);
        if let Some(load) = self.dialect.load(&headers) {
            self.guard.note_slowness(load.slowness_percent);
        }
        let refusal = match self.dialect.answer_kind(&request, status, &headers, limits.shed_status) {
            AnswerKind::Ran => {
                self.note_ran(&target);
                let silence = match status.is_server_error() {
                    true => Silence::Meaningless,
                    false => Silence::NoLimitSince(sent_us),
                };
                self.note_notice(&target, notice, silence);
                None
            }
            AnswerKind::Shed => {
                self.note_notice(&target, notice, Silence::Meaningless);
                Some(RefusalReason::Shed)
            }
            AnswerKind::Denied => Some(RefusalReason::Replaced),
            AnswerKind::Malformed(what) => {
                permit.release_uncounted();
                watched_run.forget();
                self.malformed_answers.note(&AnswerError::Content(what));
                return unknown("the target sent no answer");
            }
            AnswerKind::WrongRequest => {
                permit.release_uncounted();
                watched_run.forget();
                return unknown("the target answered another request");
            }
        };
        if let Some(reason) = refusal {
            let running = permit.running_at_start();
            permit.release_uncounted();
            watched_run.forget();
            if reason == RefusalReason::Shed {
                count(&self.counters.target_sheds);
                self.note_shed(RefusalKind::Answered, running);
            }
            if reason == RefusalReason::Replaced {
                self.note_denied(&target);
            }
            return refused(reason, None);
        }
        strip_hop_by_hop(&mut headers);
        write_length(&mut headers, framing, status);
        if notice.is_leaving {
            insert_leaving_instance(&mut headers, &target);
        }
        let body = body.map_err(BodyError::from).boxed_unsync();
        let outcome = match collect(body, BUFFERED_BYTES_MAX, BUFFERING_TIMEOUT).await {
            Ok(Collected::Complete(bytes)) => {
                drop(permit);
                watched_run.note_answered();
                if let Some(connection) = connection {
                    connection.give_back();
                }
                AttemptOutcome::Answered { status, headers, body: full_body(bytes) }
            }
            Ok(Collected::Partial(body)) => {
                let body = limit_late_answer(body, deadline, framing.is_length_stated());
                let body = self.watched_body(body, permit, watched_run, connection);
                AttemptOutcome::Answered { status, headers, body }
            }
            Err(_) => {
                count(&self.counters.bodies_broken);
                permit.release_uncounted();
                return connection_lost("answer broke off", watched_run.note_broken(&target).await);
            }
        };
        AttemptAnswer::new(outcome)
    }

    /// Wraps a streamed body so that slot and connection are released when it ends.
    fn watched_body(
        &self,
        body: BoxedBody,
        permit: Permit,
        watched_run: WatchedRun,
        connection: Option<UsedConnection>,
    ) -> BoxedBody {
        let counters = self.counters.clone();
        let body = WatchedBody::new(body, move |is_whole| {
            if is_whole {
                drop(permit);
                watched_run.note_answered();
                if let Some(connection) = connection {
                    connection.give_back();
                }
            } else {
                count(&counters.bodies_broken);
                permit.release_uncounted();
            }
        });
        body.boxed_unsync()
    }
}
