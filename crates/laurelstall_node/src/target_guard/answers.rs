//! From the target's answer to what the entry is told.

use super::{Answered, Inner, ends::WatchedRun, lost, refused, unknown};
use crate::{
    body::{Collected, WatchedBody, collect, whole},
    counters::count,
    dialect::AnswerKind,
    headers::strip_hop_by_hop,
    target_pool::UsedConnection,
};
use http_body_util::BodyExt;
use laurelstall_config::team::ServiceLimits;
use laurelstall_guard::{guard::Permit, refusal::RefusalReason};
use laurelstall_peer::{
    attempt::{AttemptAnswer, AttemptOutcome},
    body::{AnswerBody, BodyError},
};
use std::sync::Arc;
use tokio::time::Duration;

/// Longest answer that is read whole before it is passed on, in bytes.
const WHOLE_ANSWER_BYTES_MAX: usize = 64 * 1024;
/// Longest wait for the whole of a short answer; a slower one is passed on as it comes.
const WHOLE_ANSWER_PATIENCE: Duration = Duration::from_millis(200);

impl Inner {
    /// Reads an answer whole if it is small, so that one that breaks off costs the caller nothing
    /// but time; a longer one is passed on as it comes.
    pub(super) async fn read_response(
        self: &Arc<Self>,
        answered: Answered,
        limits: &ServiceLimits,
    ) -> AttemptAnswer {
        let Answered { request, target, response, connection, permit, run } = answered;
        let (parts, body) = response.into_parts();
        let status = parts.status;
        let mut headers = parts.headers;
        if let Some(load) = self.dialect.load(&headers) {
            self.guard.note_slowness(load.slowness_percent);
        }
        let refusal = match self.dialect.answer_kind(&request, status, &headers, limits.shed_status) {
            AnswerKind::Ran => {
                self.note_ran(&target);
                None
            }
            AnswerKind::Shed => Some(RefusalReason::Shed),
            AnswerKind::OtherTarget => Some(RefusalReason::Replaced),
            AnswerKind::Foreign => {
                permit.release_uncounted();
                run.forget();
                return unknown("the target answered another request");
            }
        };
        if let Some(reason) = refusal {
            permit.release_uncounted();
            run.forget();
            if reason == RefusalReason::Shed {
                count(&self.counters.target_sheds);
                self.guard.note_shed();
            }
            if reason == RefusalReason::Replaced {
                self.note_denied(&target);
            }
            return refused(reason, None);
        }
        strip_hop_by_hop(&mut headers);
        let body = body.map_err(BodyError::from).boxed_unsync();
        let outcome = match collect(body, WHOLE_ANSWER_BYTES_MAX, WHOLE_ANSWER_PATIENCE).await {
            Ok(Collected::Whole(bytes)) => {
                drop(permit);
                run.note_answered();
                if let Some(connection) = connection {
                    connection.give_back();
                }
                AttemptOutcome::Answered { status, headers, body: whole(bytes) }
            }
            Ok(Collected::Partial(body)) => {
                let body = self.watched_body(body, permit, run, connection);
                AttemptOutcome::Answered { status, headers, body }
            }
            Err(_) => {
                count(&self.counters.bodies_broken);
                permit.release_uncounted();
                return lost("answer broke off", run.note_broken(&target).await);
            }
        };
        AttemptAnswer::new(outcome)
    }

    /// An answer's body that frees slot and connection when it ends.
    fn watched_body(
        &self,
        body: AnswerBody,
        permit: Permit,
        run: WatchedRun,
        connection: Option<UsedConnection>,
    ) -> AnswerBody {
        let counters = self.counters.clone();
        let body = WatchedBody::new(body, move |is_whole| {
            if is_whole {
                drop(permit);
                run.note_answered();
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
