//! Injects the faults of a scenario into a running deployment.

use crate::{
    callers::EntryAddresses,
    fault_plan::{FaultKind, FaultPlan},
    harness::Harness,
    node_thread::NodeThread,
    platform::Snapshot,
    target::StandinTarget,
};
use futures_util::future::{BoxFuture, FutureExt};
use laurelstall_config::fleet::HostState;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::time::{Duration, sleep};

/// Number of steps in which a cold target reaches full speed.
const WARM_UP_STEPS: u64 = 10;

/// How long the platform is unavailable before it is restored from a copy, and how long after the restore the lost
/// documents are published again.
const RESTORE_PAUSE: Duration = Duration::from_millis(500);

/// The parts of a running deployment that faults act on.
#[derive(Debug, Clone)]
pub struct FaultContext {
    /// The running deployment.
    pub harness: Arc<Harness>,
    /// Addresses of the entry nodes that callers use.
    pub entries: Arc<EntryAddresses>,
}

/// A fault that can be injected and removed.
pub trait Fault: Send + Sync {
    /// Injects the fault.
    fn start<'a>(&'a self, context: &'a FaultContext) -> BoxFuture<'a, ()>;

    /// Removes the fault and restores normal operation.
    fn end<'a>(&'a self, context: &'a FaultContext) -> BoxFuture<'a, ()>;
}

/// Creates the fault that `plan` describes.
pub fn create_fault(plan: &FaultPlan) -> Box<dyn Fault> {
    match plan.kind {
        FaultKind::Slow
        | FaultKind::Pause
        | FaultKind::FailFast
        | FaultKind::Shed
        | FaultKind::CutAnswers
        | FaultKind::RateLimit
        | FaultKind::TargetLeaving => Box::new(TargetFault {
            kind: plan.kind,
            target: plan.target,
            factor: plan.factor,
            per_s: plan.per_s,
        }),
        FaultKind::ColdStart => {
            Box::new(ColdStart { target: plan.target, factor: plan.factor, for_ms: plan.for_ms })
        }
        FaultKind::NodePause => Box::new(NodePause { target: plan.target, for_ms: plan.for_ms }),
        FaultKind::NodeKill => {
            Box::new(NodeStop { target: plan.target, is_graceful: false, addresses: Mutex::default() })
        }
        FaultKind::NodeDrain => {
            Box::new(NodeStop { target: plan.target, is_graceful: true, addresses: Mutex::default() })
        }
        FaultKind::HostLeaving => Box::new(HostLeaving { target: plan.target }),
        FaultKind::EvacuateDataCentre => Box::new(EvacuateDataCentre { number: plan.data_centre }),
        FaultKind::CutDataCentre => Box::new(PartitionDataCentre { number: plan.data_centre }),
        FaultKind::PlatformAway => Box::new(PlatformFault { is_stale: false }),
        FaultKind::PlatformStale => Box::new(PlatformFault { is_stale: true }),
        FaultKind::PlatformReturn => Box::new(PlatformRestore { copy: Mutex::default() }),
    }
}

fn find_target(context: &FaultContext, number: usize) -> Option<Arc<StandinTarget>> {
    let host = context.harness.host_name(number)?;
    context.harness.targets.get(host.trim_end_matches("-host"))
}

struct TargetFault {
    kind: FaultKind,
    target: usize,
    factor: f64,
    per_s: f64,
}

impl TargetFault {
    fn apply(&self, context: &FaultContext, is_on: bool) {
        let Some(target) = find_target(context, self.target) else { return };
        target.update_behaviour(|behaviour| match self.kind {
            FaultKind::Slow => behaviour.speed = if is_on { 1.0 / self.factor } else { 1.0 },
            FaultKind::Pause => behaviour.speed = if is_on { 0.0 } else { 1.0 },
            FaultKind::FailFast => behaviour.is_failing_fast = is_on,
            FaultKind::Shed => behaviour.is_shedding = is_on,
            FaultKind::RateLimit => behaviour.rate_limit_per_s = is_on.then_some(self.per_s),
            FaultKind::TargetLeaving => behaviour.is_leaving = is_on,
            _ => behaviour.is_cutting_answers = is_on,
        });
    }
}

impl Fault for TargetFault {
    fn start<'a>(&'a self, context: &'a FaultContext) -> BoxFuture<'a, ()> {
        async { self.apply(context, true) }.boxed()
    }

    fn end<'a>(&'a self, context: &'a FaultContext) -> BoxFuture<'a, ()> {
        async { self.apply(context, false) }.boxed()
    }
}

struct ColdStart {
    target: usize,
    factor: f64,
    for_ms: u64,
}

impl Fault for ColdStart {
    fn start<'a>(&'a self, context: &'a FaultContext) -> BoxFuture<'a, ()> {
        async {
            let Some(target) = find_target(context, self.target) else { return };
            for step in 0..WARM_UP_STEPS {
                let progress = step as f64 / WARM_UP_STEPS as f64;
                let initial_speed = 1.0 / self.factor;
                target.update_behaviour(|behaviour| {
                    behaviour.speed = initial_speed + (1.0 - initial_speed) * progress
                });
                sleep(Duration::from_millis(self.for_ms / WARM_UP_STEPS)).await;
            }
        }
        .boxed()
    }

    fn end<'a>(&'a self, context: &'a FaultContext) -> BoxFuture<'a, ()> {
        async {
            if let Some(target) = find_target(context, self.target) {
                target.update_behaviour(|behaviour| behaviour.speed = 1.0);
            }
        }
        .boxed()
    }
}

struct NodePause {
    target: usize,
    for_ms: u64,
}

impl Fault for NodePause {
    fn start<'a>(&'a self, context: &'a FaultContext) -> BoxFuture<'a, ()> {
        async {
            let host = context.harness.host_name(self.target);
            if let Some(node) = host.and_then(|host| context.harness.node(&host)) {
                node.pause(Duration::from_millis(self.for_ms));
            }
        }
        .boxed()
    }

    fn end<'a>(&'a self, _: &'a FaultContext) -> BoxFuture<'a, ()> {
        async {}.boxed()
    }
}

/// How long callers keep using an entry node after its graceful stop has begun.
const ENTRY_REMOVAL_DELAY: Duration = Duration::from_millis(500);

struct NodeStop {
    target: usize,
    is_graceful: bool,
    addresses: Mutex<Option<Addresses>>,
}

#[derive(Debug, Clone, Copy)]
struct Addresses {
    entry: std::net::SocketAddr,
    peer: std::net::SocketAddr,
    admin: std::net::SocketAddr,
}

impl NodeStop {
    fn remember_addresses(&self, node: &NodeThread) {
        let addresses =
            Addresses { entry: node.entry_address, peer: node.peer_address, admin: node.admin_address };
        *self.addresses.lock().unwrap_or_else(PoisonError::into_inner) = Some(addresses);
    }
}

impl Fault for NodeStop {
    fn start<'a>(&'a self, context: &'a FaultContext) -> BoxFuture<'a, ()> {
        async {
            let host = context.harness.host_name(self.target);
            let Some(node) = host.and_then(|host| context.harness.take_node(&host)) else { return };
            self.remember_addresses(&node);
            if self.is_graceful {
                let entries = context.entries.clone();
                let entry = node.entry_address;
                tokio::spawn(async move {
                    sleep(ENTRY_REMOVAL_DELAY).await;
                    entries.remove(entry);
                });
                if !node.stop().await {
                    log::error!("node {entry}: graceful stop exceeded its time limit");
                }
            } else {
                context.entries.remove(node.entry_address);
                node.kill().await;
            }
        }
        .boxed()
    }

    fn end<'a>(&'a self, context: &'a FaultContext) -> BoxFuture<'a, ()> {
        async {
            let addresses = self.addresses.lock().unwrap_or_else(PoisonError::into_inner).take();
            let host = context.harness.host_name(self.target);
            let (Some(addresses), Some(host)) = (addresses, host) else { return };
            match context.harness.restart_node(&host, addresses.entry, addresses.peer, addresses.admin).await
            {
                Ok(()) => context.entries.add(addresses.entry),
                Err(error) => log::error!("cannot restart the node on host {host}: {error}"),
            }
        }
        .boxed()
    }
}

struct HostLeaving {
    target: usize,
}

impl HostLeaving {
    fn apply(&self, context: &FaultContext, state: HostState) {
        if let Some(host) = context.harness.host_name(self.target) {
            context.harness.set_host_state(&host, state);
        }
    }
}

impl Fault for HostLeaving {
    fn start<'a>(&'a self, context: &'a FaultContext) -> BoxFuture<'a, ()> {
        async { self.apply(context, HostState::Leaving) }.boxed()
    }

    fn end<'a>(&'a self, context: &'a FaultContext) -> BoxFuture<'a, ()> {
        async { self.apply(context, HostState::Live) }.boxed()
    }
}

/// Returns the name of the data centre with this number, counted from 1; `None` if there is no such data centre.
fn data_centre_name(context: &FaultContext, number: usize) -> Option<&str> {
    let index = number.checked_sub(1)?;
    context.harness.plan.data_centres.get(index).map(String::as_str)
}

struct EvacuateDataCentre {
    number: usize,
}

impl EvacuateDataCentre {
    fn apply(&self, context: &FaultContext, is_evacuated: bool) {
        if let Some(name) = data_centre_name(context, self.number) {
            context.harness.set_evacuated(name, is_evacuated);
        }
    }
}

impl Fault for EvacuateDataCentre {
    fn start<'a>(&'a self, context: &'a FaultContext) -> BoxFuture<'a, ()> {
        async { self.apply(context, true) }.boxed()
    }

    fn end<'a>(&'a self, context: &'a FaultContext) -> BoxFuture<'a, ()> {
        async { self.apply(context, false) }.boxed()
    }
}

struct PartitionDataCentre {
    number: usize,
}

impl PartitionDataCentre {
    fn apply(&self, context: &FaultContext, is_partitioned: bool) {
        if let Some(name) = data_centre_name(context, self.number) {
            context.harness.partitions.set_partitioned(name, is_partitioned);
        }
    }
}

impl Fault for PartitionDataCentre {
    fn start<'a>(&'a self, context: &'a FaultContext) -> BoxFuture<'a, ()> {
        async { self.apply(context, true) }.boxed()
    }

    fn end<'a>(&'a self, context: &'a FaultContext) -> BoxFuture<'a, ()> {
        async { self.apply(context, false) }.boxed()
    }
}

struct PlatformFault {
    is_stale: bool,
}

impl PlatformFault {
    fn apply(&self, context: &FaultContext, is_on: bool) {
        if self.is_stale {
            context.harness.platform.set_stale(is_on);
        } else {
            context.harness.platform.set_unavailable(is_on);
        }
    }
}

impl Fault for PlatformFault {
    fn start<'a>(&'a self, context: &'a FaultContext) -> BoxFuture<'a, ()> {
        async { self.apply(context, true) }.boxed()
    }

    fn end<'a>(&'a self, context: &'a FaultContext) -> BoxFuture<'a, ()> {
        async { self.apply(context, false) }.boxed()
    }
}

struct PlatformRestore {
    copy: Mutex<Option<Snapshot>>,
}

impl Fault for PlatformRestore {
    fn start<'a>(&'a self, context: &'a FaultContext) -> BoxFuture<'a, ()> {
        async {
            let copy = context.harness.platform.snapshot();
            *self.copy.lock().unwrap_or_else(PoisonError::into_inner) = Some(copy);
        }
        .boxed()
    }

    fn end<'a>(&'a self, context: &'a FaultContext) -> BoxFuture<'a, ()> {
        async {
            let copy = self.copy.lock().unwrap_or_else(PoisonError::into_inner).take();
            let Some(copy) = copy else { return };
            let platform = &context.harness.platform;
            platform.set_unavailable(true);
            sleep(RESTORE_PAUSE).await;
            let before_restore = platform.snapshot();
            platform.restore(&copy);
            platform.set_unavailable(false);
            sleep(RESTORE_PAUSE).await;
            platform.republish(&before_restore);
        }
        .boxed()
    }
}
