//! Reports the outcome of an attempt to the balancer and the decision log.

use super::{Call, Destination};
use crate::{
    decision_log::Decision,
    metrics::record_us,
    target_notice::{RateLimitNotice, TargetNotice},
};
use http::StatusCode;
use laurelstall_balance::service_balancer::AttemptResult;
use laurelstall_config::document::{DocumentName, Version};
use laurelstall_guard::refusal::{Refusal, TargetSignal};
use laurelstall_peer::attempt::{AttemptAnswer, AttemptOutcome};

impl Call<'_> {
    /// Records the outcome of an attempt in the balancer, the latency histograms and the decision log.
    pub(super) fn record_outcome(&mut self, destination: &Destination, answer: &AttemptAnswer) {
        let now_us = self.context.clock.now_us();
        let took_us = now_us.saturating_sub(destination.sent_at_us);
        if let Some(hint) = answer.hint {
            let index = destination.choice.index;
            self.service.balancer().update_hint(index, &destination.name, hint, now_us);
        }
        if let AttemptOutcome::NotRun(refusal) = &answer.outcome {
            self.record_refusal(destination, refusal, now_us);
        }
        let (result, outcome_name) = match &answer.outcome {
            AttemptOutcome::Answered { status, .. } if status.is_server_error() => {
                (AttemptResult::Failed, "error")
            }
            AttemptOutcome::Answered { .. } => (AttemptResult::Succeeded(took_us), "answered"),
            AttemptOutcome::NotRun(refusal) => {
                let properties = refusal.reason.properties();
                let is_failure = properties.signal == TargetSignal::Failing;
                (if is_failure { AttemptResult::Failed } else { AttemptResult::NotRun }, properties.name)
            }
            AttemptOutcome::Unknown(cause) => (AttemptResult::Failed, cause.label()),
        };
        record_us(&self.context.latencies.attempts, took_us);
        self.record_result(destination, result);
        let notice = match &answer.outcome {
            AttemptOutcome::Answered { status, headers, .. } => {
                let notice = self.context.dialect.notice(headers);
                self.record_notice(destination, *status, notice, now_us);
                notice
            }
            AttemptOutcome::NotRun(_) | AttemptOutcome::Unknown(_) => TargetNotice::default(),
        };
        self.write_decision(destination, outcome_name, notice, took_us);
    }

    /// Updates the balancer's view of the target from a refusal. This is not charged to the observation budget.
    fn record_refusal(&self, destination: &Destination, refusal: &Refusal, now_us: u64) {
        let index = destination.choice.index;
        let name = &destination.name;
        let properties = refusal.reason.properties();
        let mut balancer = self.service.balancer();
        if properties.has_reached_target() && self.attempts == 1 {
            balancer.note_refused_by_target(now_us);
        }
        match properties.signal {
            TargetSignal::Full => balancer.note_queueing(index, name, true, now_us),
            TargetSignal::Queueing => balancer.note_queueing(index, name, false, now_us),
            TargetSignal::Slow => balancer.note_slow_refusal(index, name, refusal.slowness_percent, now_us),
            TargetSignal::RateLimit => balancer.note_no_capacity(index, name, refusal.retry_after_ms, now_us),
            TargetSignal::Draining => balancer.note_draining(index, name, now_us),
            TargetSignal::Unreachable => balancer.note_absent(index, name, refusal.retry_after_ms, now_us),
            // A failure is recorded with the result of the attempt.
            TargetSignal::Failing | TargetSignal::Nothing => {}
        }
    }

    /// Records what the target stated about itself in an answer.
    fn record_notice(
        &self,
        destination: &Destination,
        status: StatusCode,
        notice: TargetNotice,
        now_us: u64,
    ) {
        let index = destination.choice.index;
        let name = &destination.name;
        if notice.is_leaving {
            self.service.note_leaving(name);
        }
        let mut balancer = self.service.balancer();
        match notice.rate_limit {
            RateLimitNotice::PerSecond(per_s) => balancer.note_rate_limit(index, name, per_s, now_us),
            // Errors may leave the limit out.
            RateLimitNotice::Absent if !status.is_server_error() => {
                balancer.note_no_rate_limit(index, name, destination.sent_at_us);
            }
            RateLimitNotice::Absent | RateLimitNotice::Invalid => {}
        }
    }

    /// Records the result of an attempt in the balancer, which may eject the target.
    pub(super) fn record_result(&self, destination: &Destination, result: AttemptResult) {
        let now_us = self.context.clock.now_us();
        let class = self.request.class;
        let ejected = {
            let mut balancer = self.service.balancer();
            balancer.note_result(destination.choice.index, &destination.name, class, result, now_us)
        };
        if let Some(ejected) = ejected {
            log::info!(
                "target {} of service {} ejected ({} ejections in a row): error rate {:.2}, latency {} us",
                ejected.target,
                self.service.name,
                ejected.times,
                ejected.error_rate,
                ejected.latency_us,
            );
        }
    }

    /// Writes an attempt to the decision log, if it is enabled.
    pub(super) fn write_decision(
        &self,
        destination: &Destination,
        outcome: &str,
        notice: TargetNotice,
        took_us: u64,
    ) {
        if !self.context.decisions.is_enabled() {
            return;
        }
        let rate_limit_per_s = match notice.rate_limit {
            RateLimitNotice::PerSecond(per_s) => Some(per_s),
            RateLimitNotice::Absent | RateLimitNotice::Invalid => None,
        };
        self.context.decisions.write(Decision {
            call: self.request.id,
            request_id: self.request.request_id.clone(),
            digest: self.request.digest.to_string(),
            attempt: self.attempts,
            importance: self.importance(),
            is_return: self.request.is_caller_retry,
            left_us: self.request.deadline_us.saturating_sub(destination.sent_at_us),
            service: self.service.name.clone(),
            version: self.team_version(),
            fleet_version: self.snapshot.configuration.version(&DocumentName::Fleet),
            target: destination.name.clone(),
            why: destination.choice_reason.clone(),
            expected_us: destination.choice.cost_us as u64,
            hint_age_us: destination.hint_age_us,
            runner_up: destination.runner_up.clone(),
            targets: destination.targets,
            rate_limit_per_s,
            is_leaving: notice.is_leaving,
            outcome: outcome.to_owned(),
            took_us,
        });
    }

    fn team_version(&self) -> Version {
        let team = self.service.name.split('/').next().unwrap_or_default();
        self.snapshot.configuration.version(&DocumentName::Team(team.to_owned()))
    }
}
