//! Chooses the target of an attempt and the options sent to its guard.

use super::{Call, Destination};
use laurelstall_balance::service_balancer::ChoiceRequest;

/// Age in µs below which a load hint is not requested again.
const HINT_FRESH_US: u64 = 15_000;
/// Maximum number of targets that may refuse one call because they are slow. After so many, one more would
/// hardly help.
const SLOW_REFUSALS_MAX: usize = 8;

impl Call<'_> {
    /// Chooses a target for the next attempt and counts the attempt as in flight there.
    ///
    /// Returns `None` when no target is eligible.
    pub(super) fn choose(&mut self, now_us: u64) -> Option<Destination> {
        let only = self.request.ticket.as_ref().map(|ticket| ticket.target.as_str());
        let useful_us = self.request.useful_until_us.map(|until_us| until_us.saturating_sub(now_us));
        let class = self.request.class;
        let waives_remote_cost = self.overload_refusals > 0;
        let data_centres = self.request.data_centres.as_deref();
        let choice_request = ChoiceRequest {
            excluded: &self.excluded,
            only,
            data_centres,
            class,
            useful_us,
            waives_remote_cost,
            now_us,
        };
        let mut balancer = self.service.balancer();
        let choice = balancer.choose(&choice_request)?;
        let is_logged = self.context.decisions.is_enabled();
        let views = balancer.targets();
        let view = &views[choice.index];
        let runner_up = choice.runner_up.filter(|_| is_logged);
        let destination = Destination {
            choice,
            name: view.name.clone(),
            host: view.host.clone(),
            choice_reason: if is_logged { choice.reason.to_string() } else { String::new() },
            runner_up: runner_up.map(|(index, score)| (views[index].name.clone(), score as u64)),
            targets: views.len(),
            rate_limit_per_s: view.rate_limit_per_s(),
            hint_age_us: view.hint(now_us).map(|(_, age_us)| age_us),
            sent_at_us: now_us,
        };
        balancer.note_sent(choice.index);
        Some(destination)
    }

    /// Returns the slowness in percent from which the target may refuse the call, or `None` if it may not refuse.
    ///
    /// Each target may refuse a call once, at most [`SLOW_REFUSALS_MAX`] targets may, and never the last one.
    pub(super) fn slow_from_percent(&self, destination: &Destination, now_us: u64) -> Option<u32> {
        let is_first_time = !self.slow_refusers.contains(&destination.choice.index);
        let has_alternative = self.slow_refusers.len() + 1 < destination.targets
            && self.slow_refusers.len() < SLOW_REFUSALS_MAX;
        let may_refuse = self.request.ticket.is_none() && is_first_time && has_alternative;
        may_refuse.then(|| self.service.balancer().slow_from_percent(now_us))
    }

    /// Whether the answer should carry a load hint: the last one is outdated and the observation budget allows it.
    pub(super) fn wants_hint(&self, destination: &Destination, observe_percent: u8, now_us: u64) -> bool {
        let age_us = self.service.balancer().hint_age_us(destination.choice.index, now_us);
        let is_due = age_us.is_none_or(|age_us| age_us >= HINT_FRESH_US);
        is_due && self.context.observer.try_request_hint(observe_percent)
    }
}
