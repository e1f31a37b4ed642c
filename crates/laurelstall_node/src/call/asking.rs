//! Asking a few targets how they are before a call is placed.

use super::CallContext;
use crate::services::ServiceState;
use futures_util::future::join_all;
use laurelstall_balance::service_balancer::AskedTarget;
use tokio::time::{Duration, timeout};

/// Targets that are asked before a call: the second one brings a third of what two bring.
const ASKED: usize = 2;
/// Longest wait for their answers: a small part of the shortest runs, and far above the way to a near node.
const PATIENCE: Duration = Duration::from_millis(10);

/// Asks a few near targets of the service how they are, when that is worth it and the budget for observing covers
/// it. No connection is opened for that.
pub(super) async fn ask_targets(context: &CallContext, service: &ServiceState) {
    let asked = service.balancer().to_ask(ASKED, context.clock.now_us());
    if asked.is_empty() {
        return;
    }
    let questions = asked.iter().map(|target| ask_target(context, service, target));
    // What has not come in time is missed: the call goes by what is known.
    let _ = timeout(PATIENCE, join_all(questions)).await;
}

async fn ask_target(context: &CallContext, service: &ServiceState, target: &AskedTarget) {
    let address = service.address(&target.host).filter(|address| context.client.pool().has(*address));
    let Some(address) = address else { return };
    if let Some(hint) = context.observer.ask(&context.client, address).await {
        service.balancer().take_hint(target.index, &target.name, hint, context.clock.now_us());
    }
}
