//! Choices of a balancer, for its tests.

use laurelstall_balance::service_balancer::{ChoiceRequest, ServiceBalancer};

/// Returns the request of a call that any target may take.
pub fn any_target(now_us: u64) -> ChoiceRequest<'static> {
    ChoiceRequest {
        excluded: &[],
        only: None,
        data_centres: None,
        class: 0,
        useful_us: None,
        waives_remote_cost: false,
        now_us,
    }
}

/// Chooses among all targets and returns the index of the chosen one.
#[allow(dead_code, reason = "no test file uses all helpers")]
pub fn choose(balancer: &mut ServiceBalancer, now_us: u64) -> Option<usize> {
    balancer.choose(&any_target(now_us)).map(|choice| choice.index)
}
