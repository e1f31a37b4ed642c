//! Probes the load of a few targets before a target is chosen for a call.

use super::CallContext;
use crate::services::ServiceState;
use futures_util::future::join_all;
use laurelstall_balance::service_balancer::ProbeTarget;
use tokio::time::{Duration, timeout};

/// Maximum number of targets probed for one call. The second one brings a third of the gain of both.
const PROBED_TARGETS_MAX: usize = 2;
/// Longest time that a call waits for the probed targets. It is a small part of the shortest runs, and far
/// above the round trip to a nearby node.
const PROBE_TIMEOUT: Duration = Duration::from_millis(10);

/// Probes the load of a few nearby targets of the service, if the balancer requests it and the observation budget
/// allows it. Uses only connections that are already open.
pub(super) async fn probe_targets(context: &CallContext, service: &ServiceState) {
    let probed = service.balancer().targets_to_probe(PROBED_TARGETS_MAX, context.clock.now_us());
    if probed.is_empty() {
        return;
    }
    let probes = probed.iter().map(|target| probe_target(context, service, target));
    // Hints that arrive after the timeout are not used; the call is placed by the load known so far.
    let _ = timeout(PROBE_TIMEOUT, join_all(probes)).await;
}

async fn probe_target(context: &CallContext, service: &ServiceState, target: &ProbeTarget) {
    let address = service.address(&target.host).filter(|address| context.client.pool().has(*address));
    let Some(address) = address else { return };
    if let Some(hint) = context.observer.probe(&context.client, address).await {
        service.balancer().update_hint(target.index, &target.name, hint, context.clock.now_us());
    }
}
