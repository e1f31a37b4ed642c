//! Queries the load of a few targets before a target is chosen for a call.

use super::CallContext;
use crate::services::ServiceState;
use futures_util::future::join_all;
use laurelstall_balance::service_balancer::ProbeTarget;
use tokio::time::{Duration, timeout};

/// Maximum number of targets queried for one call.
const QUERIED_TARGETS_MAX: usize = 2;
/// Longest time that a call waits for the queried targets.
const QUERY_TIMEOUT: Duration = Duration::from_millis(10);

/// Requests load hints from a few nearby targets of the service, if the balancer wants them and the observation
/// budget allows it. Uses only connections that are already open.
pub(super) async fn query_targets(context: &CallContext, service: &ServiceState) {
    let queried = service.balancer().targets_to_probe(QUERIED_TARGETS_MAX, context.clock.now_us());
    if queried.is_empty() {
        return;
    }
    let queries = queried.iter().map(|target| query_target(context, service, target));
    // Hints that arrive after the timeout are not used; the call is placed by the load known so far.
    let _ = timeout(QUERY_TIMEOUT, join_all(queries)).await;
}

async fn query_target(context: &CallContext, service: &ServiceState, target: &ProbeTarget) {
    let address = service.address(&target.host).filter(|address| context.client.pool().has(*address));
    let Some(address) = address else { return };
    if let Some(hint) = context.observer.probe(&context.client, address).await {
        service.balancer().update_hint(target.index, &target.name, hint, context.clock.now_us());
    }
}
