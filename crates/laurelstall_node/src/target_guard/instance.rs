//! Tracks which instance of the target is running, from load queries and answers, and the name to send requests under.

use super::{Inner, notices::Silence};
use crate::{
    counters::count,
    load_query::{LoadQuery, LoadReport},
    target_http::TargetError,
};
use laurelstall_guard::{
    refusal::{Refusal, RefusalReason},
    target_identity::{SendDecision, TargetIdentity},
};
use std::sync::{MutexGuard, PoisonError};

/// Builds the refusal of a call that no instance on this host may receive for `wait_us` more.
pub(super) fn other_target_refusal(wait_us: u64) -> Refusal {
    let retry_after_ms = wait_us.div_ceil(1_000).try_into().unwrap_or(u32::MAX);
    Refusal::new(RefusalReason::OtherTarget).with_retry_after_ms(retry_after_ms)
}

impl Inner {
    pub(super) fn identity(&self) -> MutexGuard<'_, TargetIdentity> {
        self.identity.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the target name to send one request under, querying the target for it if it is not known.
    ///
    /// # Errors
    ///
    /// Returns a refusal if no request may be sent now.
    pub(super) async fn name_to_send_under(&self) -> Result<String, Refusal> {
        let can_query = self.guard.can_query();
        let mut decision = self.identity().decide_send(can_query, self.clock.now_us());
        if decision == SendDecision::QueryFirst {
            let _check = self.identity_check.lock().await;
            // Another call may have learned the name while this one waited for the lock.
            decision = self.identity().decide_send(can_query, self.clock.now_us());
            if decision == SendDecision::QueryFirst {
                decision = self.check_identity().await;
            }
        }
        match decision {
            SendDecision::SendAs(name) => Ok(name),
            SendDecision::Refuse { wait_us } => Err(other_target_refusal(wait_us)),
            SendDecision::QueryFirst => unreachable!("an identity check never asks for another one"),
        }
    }

    /// Queries the target for its name.
    async fn check_identity(&self) -> SendDecision {
        count(&self.counters.identity_looks);
        if self.query().await.is_err_and(|error| error == TargetError::NoConnection) {
            return TargetIdentity::refuse_unreachable();
        }
        self.identity().decide_send_after_report(self.clock.now_us())
    }

    /// Queries the target once for its load.
    pub(super) async fn query_load(&self) {
        count(&self.counters.pace_looks);
        if self.query().await.is_err() {
            self.guard.note_query_result(None);
        }
    }

    /// Queries the target and updates what the guard knows of its load and name.
    async fn query(&self) -> Result<(), TargetError> {
        let started_us = self.clock.now_us();
        let report = match self.report().await {
            Err(TargetError::Broken) => LoadReport::default(),
            Err(TargetError::Malformed(error)) => {
                self.malformed_answers.note(&error);
                LoadReport::default()
            }
            report => report?,
        };
        self.guard.note_query_result(report.load.map(|load| load.slowness_percent));
        if let Some(cold_ms) = report.cold_ms {
            self.guard.note_cold(cold_ms, started_us);
        }
        // A timeout does not mean that the target has no name.
        if report.is_answered {
            self.note_reported_name(report.instance.as_deref());
            let instance = self.identity().name().to_owned();
            if report.instance.as_ref().is_none_or(|reported| *reported == instance) {
                self.note_instance(&instance);
                self.note_notice(&instance, report.notice, Silence::Meaningless);
            }
        } else {
            self.identity().note_no_reply(self.clock.now_us());
        }
        Ok(())
    }

    /// Requests a report from the target at the load path of its service.
    pub(super) async fn report(&self) -> Result<LoadReport, TargetError> {
        let (Some(settings), Some(client)) = (&self.settings, &self.client) else {
            return Err(TargetError::NoConnection);
        };
        let snapshot = self.active.load();
        let path = self.local_target(&snapshot).map_or("", |(service, _)| &service.load_path);
        let query = LoadQuery { settings, client, dialect: &*self.dialect };
        query.report(path).await
    }

    /// Records the name that the target reported; `None` if it reported none.
    fn note_reported_name(&self, name: Option<&str>) {
        let mut identity = self.identity();
        let before = identity.name().to_owned();
        let was_in_doubt = identity.is_in_doubt();
        identity.note_reported_name(name, self.clock.now_us());
        let after = identity.name().to_owned();
        let is_in_doubt = identity.is_in_doubt();
        drop(identity);
        if before != after {
            log::info!("local target '{after}': not in the fleet document yet, replaces '{before}'");
        }
        if is_in_doubt && !was_in_doubt {
            let reported = name.unwrap_or_default();
            log::warn!(
                "local target '{after}': reports the name '{reported}'; the next call is sent as a test"
            );
        }
    }

    /// Records that the target ran a request sent under `name`.
    pub(super) fn note_ran(&self, name: &str) {
        let mut identity = self.identity();
        let was_in_doubt = identity.is_in_doubt();
        identity.note_ran(name);
        if was_in_doubt && !identity.is_in_doubt() {
            log::info!("local target '{name}': runs requests under this name again");
        }
    }

    /// Records that the target refused a request sent under `name` because it is another instance.
    pub(super) fn note_denied(&self, name: &str) {
        count(&self.counters.target_denials);
        self.guard.discard_cold_report();
        let mut identity = self.identity();
        let was_in_doubt = identity.is_in_doubt();
        identity.note_denied(name, self.clock.now_us());
        if !was_in_doubt && identity.is_in_doubt() {
            log::warn!(
                "local target '{name}': refused a request as another target; its name is checked before the next request"
            );
        }
    }
}
