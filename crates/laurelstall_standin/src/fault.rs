//! Faults of a scenario, each behind the same trait.

use crate::{
    callers::Entries,
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

/// Steps in which a cold target gets up to speed.
const COLD_STEPS: u64 = 10;

/// How long a platform is away before it comes back from a copy, and then until what it lost is published again.
const RETURN_PAUSE: Duration = Duration::from_millis(500);

/// Where a fault acts.
#[derive(Debug, Clone)]
pub struct FaultContext {
    /// The deployment.
    pub harness: Arc<Harness>,
    /// What callers use.
    pub entries: Arc<Entries>,
}

/// A fault that starts and ends.
pub trait Fault: Send + Sync {
    /// Starts it.
    fn start<'a>(&'a self, context: &'a FaultContext) -> BoxFuture<'a, ()>;

    /// Ends it.
    fn end<'a>(&'a self, context: &'a FaultContext) -> BoxFuture<'a, ()>;
}

/// The fault that a plan describes.
pub fn fault_of(plan: &FaultPlan) -> Box<dyn Fault> {
    match plan.kind {
        FaultKind::Slow
        | FaultKind::Pause
        | FaultKind::FailFast
        | FaultKind::Shed
        | FaultKind::CutAnswers => {
            Box::new(TargetFault { kind: plan.kind, target: plan.target, factor: plan.factor })
        }
        FaultKind::ColdStart => {
            Box::new(ColdStart { target: plan.target, factor: plan.factor, for_ms: plan.for_ms })
        }
        FaultKind::NodePause => Box::new(NodePause { target: plan.target, for_ms: plan.for_ms }),
        FaultKind::NodeKill => {
            Box::new(NodeStop { target: plan.target, is_planned: false, old: Mutex::default() })
        }
        FaultKind::NodeDrain => {
            Box::new(NodeStop { target: plan.target, is_planned: true, old: Mutex::default() })
        }
        FaultKind::HostLeaving => Box::new(HostLeaving { target: plan.target }),
        FaultKind::EvacuateDataCentre => Box::new(EvacuateDataCentre { number: plan.data_centre }),
        FaultKind::CutDataCentre => Box::new(CutDataCentre { number: plan.data_centre }),
        FaultKind::PlatformAway => Box::new(PlatformFault { is_stale: false }),
        FaultKind::PlatformStale => Box::new(PlatformFault { is_stale: true }),
        FaultKind::PlatformReturn => Box::new(PlatformReturn { copy: Mutex::default() }),
    }
}

fn target_of(context: &FaultContext, number: usize) -> Option<Arc<StandinTarget>> {
    let host = context.harness.host_name(number)?;
    context.harness.targets.get(host.trim_end_matches("-host"))
}

struct TargetFault {
    kind: FaultKind,
    target: usize,
    factor: f64,
}

impl TargetFault {
    fn set(&self, context: &FaultContext, is_on: bool) {
        let Some(target) = target_of(context, self.target) else { return };
        target.change(|behaviour| match self.kind {
            FaultKind::Slow => behaviour.speed = if is_on { 1.0 / self.factor } else { 1.0 },
            FaultKind::Pause => behaviour.speed = if is_on { 0.0 } else { 1.0 },
            FaultKind::FailFast => behaviour.is_failing_fast = is_on,
            FaultKind::Shed => behaviour.is_shedding = is_on,
            _ => behaviour.is_cutting_answers = is_on,
        });
    }
}

impl Fault for TargetFault {
    fn start<'a>(&'a self, context: &'a FaultContext) -> BoxFuture<'a, ()> {
        async { self.set(context, true) }.boxed()
    }

    fn end<'a>(&'a self, context: &'a FaultContext) -> BoxFuture<'a, ()> {
        async { self.set(context, false) }.boxed()
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
            let Some(target) = target_of(context, self.target) else { return };
            for step in 0..COLD_STEPS {
                let warm = step as f64 / COLD_STEPS as f64;
                let cold = 1.0 / self.factor;
                target.change(|behaviour| behaviour.speed = cold + (1.0 - cold) * warm);
                sleep(Duration::from_millis(self.for_ms / COLD_STEPS)).await;
            }
        }
        .boxed()
    }

    fn end<'a>(&'a self, context: &'a FaultContext) -> BoxFuture<'a, ()> {
        async {
            if let Some(target) = target_of(context, self.target) {
                target.change(|behaviour| behaviour.speed = 1.0);
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

/// How long callers go on using the entry of a node that stops as planned.
const CALLERS_LAG: Duration = Duration::from_millis(500);

struct NodeStop {
    target: usize,
    is_planned: bool,
    old: Mutex<Option<Addresses>>,
}

#[derive(Debug, Clone, Copy)]
struct Addresses {
    entry: std::net::SocketAddr,
    peer: std::net::SocketAddr,
    admin: std::net::SocketAddr,
}

impl NodeStop {
    fn keep(&self, node: &NodeThread) {
        let addresses =
            Addresses { entry: node.entry_address, peer: node.peer_address, admin: node.admin_address };
        *self.old.lock().unwrap_or_else(PoisonError::into_inner) = Some(addresses);
    }
}

impl Fault for NodeStop {
    fn start<'a>(&'a self, context: &'a FaultContext) -> BoxFuture<'a, ()> {
        async {
            let host = context.harness.host_name(self.target);
            let Some(node) = host.and_then(|host| context.harness.take_node(&host)) else { return };
            self.keep(&node);
            if self.is_planned {
                let entries = context.entries.clone();
                let entry = node.entry_address;
                tokio::spawn(async move {
                    sleep(CALLERS_LAG).await;
                    entries.close(entry);
                });
                if !node.stop().await {
                    log::error!("a planned stop did not end in time");
                }
            } else {
                context.entries.close(node.entry_address);
                node.kill().await;
            }
        }
        .boxed()
    }

    fn end<'a>(&'a self, context: &'a FaultContext) -> BoxFuture<'a, ()> {
        async {
            let old = self.old.lock().unwrap_or_else(PoisonError::into_inner).take();
            let host = context.harness.host_name(self.target);
            let (Some(old), Some(host)) = (old, host) else { return };
            match context.harness.restart_node(&host, old.entry, old.peer, old.admin).await {
                Ok(()) => context.entries.open(old.entry),
                Err(error) => log::error!("restart of {host}: {error}"),
            }
        }
        .boxed()
    }
}

struct HostLeaving {
    target: usize,
}

impl HostLeaving {
    fn set(&self, context: &FaultContext, state: HostState) {
        if let Some(host) = context.harness.host_name(self.target) {
            context.harness.set_host_state(&host, state);
        }
    }
}

impl Fault for HostLeaving {
    fn start<'a>(&'a self, context: &'a FaultContext) -> BoxFuture<'a, ()> {
        async { self.set(context, HostState::Leaving) }.boxed()
    }

    fn end<'a>(&'a self, context: &'a FaultContext) -> BoxFuture<'a, ()> {
        async { self.set(context, HostState::Live) }.boxed()
    }
}

/// The data centre of this number, from 1.
fn data_centre_of(context: &FaultContext, number: usize) -> Option<&str> {
    let index = number.checked_sub(1)?;
    context.harness.plan.data_centres.get(index).map(String::as_str)
}

struct EvacuateDataCentre {
    number: usize,
}

impl EvacuateDataCentre {
    fn set(&self, context: &FaultContext, is_evacuated: bool) {
        if let Some(name) = data_centre_of(context, self.number) {
            context.harness.set_evacuated(name, is_evacuated);
        }
    }
}

impl Fault for EvacuateDataCentre {
    fn start<'a>(&'a self, context: &'a FaultContext) -> BoxFuture<'a, ()> {
        async { self.set(context, true) }.boxed()
    }

    fn end<'a>(&'a self, context: &'a FaultContext) -> BoxFuture<'a, ()> {
        async { self.set(context, false) }.boxed()
    }
}

struct CutDataCentre {
    number: usize,
}

impl CutDataCentre {
    fn set(&self, context: &FaultContext, is_cut: bool) {
        if let Some(name) = data_centre_of(context, self.number) {
            context.harness.cuts.set_cut(name, is_cut);
        }
    }
}

impl Fault for CutDataCentre {
    fn start<'a>(&'a self, context: &'a FaultContext) -> BoxFuture<'a, ()> {
        async { self.set(context, true) }.boxed()
    }

    fn end<'a>(&'a self, context: &'a FaultContext) -> BoxFuture<'a, ()> {
        async { self.set(context, false) }.boxed()
    }
}

struct PlatformFault {
    is_stale: bool,
}

impl PlatformFault {
    fn set(&self, context: &FaultContext, is_on: bool) {
        if self.is_stale {
            context.harness.platform.set_stale(is_on);
        } else {
            context.harness.platform.set_away(is_on);
        }
    }
}

impl Fault for PlatformFault {
    fn start<'a>(&'a self, context: &'a FaultContext) -> BoxFuture<'a, ()> {
        async { self.set(context, true) }.boxed()
    }

    fn end<'a>(&'a self, context: &'a FaultContext) -> BoxFuture<'a, ()> {
        async { self.set(context, false) }.boxed()
    }
}

struct PlatformReturn {
    copy: Mutex<Option<Snapshot>>,
}

impl Fault for PlatformReturn {
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
            platform.set_away(true);
            sleep(RETURN_PAUSE).await;
            let lost = platform.snapshot();
            platform.return_from(&copy);
            platform.set_away(false);
            sleep(RETURN_PAUSE).await;
            platform.publish_again(&lost);
        }
        .boxed()
    }
}
