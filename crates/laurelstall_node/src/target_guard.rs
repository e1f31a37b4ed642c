//! The guard of the local target: admission control, tickets and forwarding of requests to the target.

use crate::{
    active_config::{ActiveConfig, ConfigSnapshot},
    chains::Chains,
    counters::{Counters, count},
    dialect::HeaderDialect,
    headers::has_call_level,
    link_pacer::LinkPacer,
    malformed_answers::MalformedAnswers,
    metrics::Latencies,
    observer::Observer,
    running_requests::RunningRequests,
    target_http::{TargetAnswer, TargetClient},
};
use futures_util::future::{BoxFuture, FutureExt};
use http::HeaderMap;
use laurelstall_balance::hint::{Hint, TargetState};
use laurelstall_config::{
    settings::TargetSettings,
    team::{Service, Target},
};
use laurelstall_crash::run_tracker::RunTracker;
use laurelstall_guard::{
    clock::Clock,
    guard::{Guard, Permit},
    guard_limits::GuardLimits,
    ledger::Ledger,
    refusal::{Refusal, RefusalReason},
    target_identity::TargetIdentity,
};
use laurelstall_peer::{
    attempt::{Admission, Attempt, AttemptAnswer, AttemptHandler, AttemptOutcome},
    crash_registry::CrashRegistry,
    message::{AttemptHead, PeerAnswer, TicketsRequest},
};
use std::sync::{
    Arc, Mutex, MutexGuard, PoisonError,
    atomic::{AtomicBool, Ordering},
};
use tokio::{sync::Mutex as AsyncMutex, time::Instant};

mod admission;
mod answers;
mod chains;
mod crash_detection;
mod forwarding;
mod instance;
mod link_admission;
mod listed_target;
mod notices;
mod overload;
mod responses;

pub(crate) use admission::PendingAttempt;
use answers::{connection_lost, not_run};
pub(crate) use answers::{refused, unknown};
use crash_detection::{CrashCheck, WatchedRun};
pub(crate) use forwarding::ADMITTED_BODY_TIMEOUT;
use listed_target::ListedTarget;
use notices::InstanceNotices;

/// Queue length in baseline runs, which compare with a conventional load balancer and without a guard.
const BASELINE_QUEUE_LENGTH: usize = 100_000;

/// Reasons to drain; the guard drains while any of them is set.
#[derive(Debug, Default)]
struct DrainReasons {
    /// An operator requested the drain.
    operator: AtomicBool,
    /// The node is stopping.
    stopping: AtomicBool,
    /// The platform lists the host as leaving.
    leaving: AtomicBool,
    /// The host's data centre is evacuated.
    evacuated: AtomicBool,
    /// The target has stated that it is leaving.
    target_leaving: AtomicBool,
    /// Held while the reasons are applied, so that the last to apply them sees all changes.
    applying: Mutex<()>,
}

#[derive(Debug)]
pub(crate) struct Inner {
    pub(crate) clock: Clock,
    host: String,
    settings: Option<TargetSettings>,
    is_baseline: bool,
    incarnation: u64,
    guard: Arc<Guard>,
    ledger: Mutex<Ledger>,
    /// The target that the fleet document lists for this host.
    listed: Mutex<ListedTarget>,
    /// Which instance of the target is running on this host.
    identity: Mutex<TargetIdentity>,
    /// What the instance has stated about itself.
    notices: Mutex<InstanceNotices>,
    /// Serialises identity checks, so that concurrent calls share one.
    identity_check: AsyncMutex<()>,
    /// Requests that are running at the target, for attributing a crash to them.
    run_tracker: Mutex<RunTracker>,
    /// The last check for a crash of the target.
    crash_check: AsyncMutex<CrashCheck>,
    drains: DrainReasons,
    client: Option<TargetClient>,
    dialect: Arc<dyn HeaderDialect>,
    running: Arc<RunningRequests>,
    chains: Arc<Chains>,
    crashes: Arc<CrashRegistry>,
    active: Arc<ActiveConfig>,
    observer: Arc<Observer>,
    pub(crate) counters: Arc<Counters>,
    /// Records answers of the target that are no answers.
    malformed_answers: MalformedAnswers,
    latencies: Arc<Latencies>,
    link: Option<Arc<LinkPacer>>,
}

/// Handles all attempts at the local target.
#[derive(Debug, Clone)]
pub struct TargetGuard {
    inner: Arc<Inner>,
    /// Whether its answers pass over the node's link, because the attempts come from other hosts.
    is_over_link: bool,
}

/// Parts and settings of a [`TargetGuard`].
#[derive(Debug)]
pub struct TargetGuardOptions {
    /// The node's clock.
    pub clock: Clock,
    /// The host's name.
    pub host: String,
    /// Settings of the target; `None` if this host has none.
    pub settings: Option<TargetSettings>,
    /// Whether this is a baseline run that imitates a conventional load balancer: the queue is nearly unlimited and queued
    /// calls are never handed back to their entry.
    pub is_baseline: bool,
    /// Random number that identifies this start of the guard.
    pub incarnation: u64,
    /// The current configuration.
    pub active: Arc<ActiveConfig>,
    /// Limits the bytes spent on load hints and probes.
    pub observer: Arc<Observer>,
    /// Event counters of the node.
    pub counters: Arc<Counters>,
    /// Latency histograms.
    pub latencies: Arc<Latencies>,
    /// Names and formats of header fields.
    pub dialect: Arc<dyn HeaderDialect>,
    /// Requests that are running at the target.
    pub running: Arc<RunningRequests>,
    /// What was learned about the calls of the target.
    pub chains: Arc<Chains>,
    /// Records of requests that may crash targets.
    pub crashes: Arc<CrashRegistry>,
    /// Paces bodies over this node's link; `None` if its bandwidth is unknown.
    pub link: Option<Arc<LinkPacer>>,
}

impl TargetGuard {
    /// Creates a guard that refuses all attempts until a configuration lists its target.
    pub fn new(options: TargetGuardOptions) -> Self {
        let limits = GuardLimits {
            slots: 1,
            slots_start_percent: 100,
            slots_floor_percent: 100,
            queue_length: 0,
            queue_wait_max_ms: 0,
            cold_calls_per_s: 0,
            cold_start_ms: 0,
            has_refusal_causes: false,
            may_hold: false,
        };
        let client = options.settings.as_ref().map(TargetClient::new);
        let address_reuse_s = options.settings.as_ref().map_or(0.0, |settings| settings.address_reuse_s);
        let address_reserved_until_us = options.clock.now_us() + (address_reuse_s * 1e6) as u64;
        let inner = Inner {
            clock: options.clock,
            host: options.host,
            settings: options.settings,
            is_baseline: options.is_baseline,
            incarnation: options.incarnation,
            guard: Guard::new(limits, options.clock),
            ledger: Mutex::new(Ledger::new(options.incarnation, 0)),
            listed: Mutex::default(),
            identity: Mutex::new(TargetIdentity::new(address_reserved_until_us)),
            notices: Mutex::default(),
            identity_check: AsyncMutex::default(),
            run_tracker: Mutex::default(),
            crash_check: AsyncMutex::default(),
            drains: DrainReasons::default(),
            client,
            dialect: options.dialect,
            running: options.running,
            chains: options.chains,
            crashes: options.crashes,
            active: options.active,
            observer: options.observer,
            malformed_answers: MalformedAnswers::new(options.counters.clone()),
            counters: options.counters,
            latencies: options.latencies,
            link: options.link,
        };
        Self { inner: Arc::new(inner), is_over_link: false }
    }

    /// Applies the current configuration: the state of the host, the listed target and its limits.
    pub fn update(&self) {
        let snapshot = self.inner.active.load();
        self.update_fleet_drains(&snapshot);
        let local = self.inner.local_target(&snapshot);
        self.update_listed_target(local.map(|(_, target)| target.name.as_str()), &snapshot);
        let Some((service, target)) = local else { return };
        let limits = &service.limits;
        self.inner.guard.set_can_query(!service.load_path.is_empty() && !self.inner.is_baseline);
        self.inner.guard.set_prompt_refusal(limits.load.reserved_returns && !self.inner.is_baseline);
        self.inner.ledger().set_tickets_max(limits.tickets_max);
        self.inner.guard.set_overload_control(limits.load.overload && !self.inner.is_baseline);
        self.inner.guard.set_limits(if self.inner.is_baseline {
            GuardLimits {
                slots: target.slots,
                slots_start_percent: 100,
                slots_floor_percent: 100,
                queue_length: BASELINE_QUEUE_LENGTH,
                queue_wait_max_ms: 600_000,
                cold_calls_per_s: limits.cold_calls_per_s,
                cold_start_ms: limits.cold_start_ms,
                has_refusal_causes: false,
                may_hold: false,
            }
        } else {
            GuardLimits {
                slots: target.slots,
                slots_start_percent: limits.slots_start_percent,
                slots_floor_percent: limits.slots_floor_percent,
                queue_length: target.slots as usize * limits.queue_per_slot as usize,
                queue_wait_max_ms: limits.queue_wait_max_ms,
                cold_calls_per_s: limits.cold_calls_per_s,
                cold_start_ms: limits.cold_start_ms,
                has_refusal_causes: limits.load.refusal_causes,
                may_hold: limits.may_hold,
            }
        });
    }

    /// Whether the guard drains because its data centre is evacuated.
    pub fn is_evacuated(&self) -> bool {
        self.inner.drains.evacuated.load(Ordering::Relaxed)
    }

    /// Starts or ends a drain that an operator requested.
    pub fn set_operator_drain(&self, is_draining: bool) {
        self.inner.drains.operator.store(is_draining, Ordering::Relaxed);
        self.inner.apply_drains();
    }

    /// Starts the final drain before the node stops.
    pub fn start_final_drain(&self) {
        self.inner.drains.stopping.store(true, Ordering::Relaxed);
        self.inner.apply_drains();
    }

    /// Queries the load of the target whenever the guard needs a newer value; runs until dropped.
    pub async fn run_load_queries(&self) {
        let inner = &self.inner;
        loop {
            inner.guard.report_needed().await;
            inner.query_load().await;
        }
    }

    /// Returns the admission control of this guard.
    pub fn guard(&self) -> &Arc<Guard> {
        &self.inner.guard
    }

    /// Returns the random number that identifies this start of the guard.
    pub fn incarnation(&self) -> u64 {
        self.inner.incarnation
    }

    /// Returns the registry of requests that were running when targets crashed.
    pub fn crashes(&self) -> &CrashRegistry {
        &self.inner.crashes
    }

    /// Returns the current load of the target.
    pub fn hint(&self) -> Hint {
        self.inner.hint()
    }

    /// Returns the rate limit that the target stated last, in thousandths of a request per second; `None` without one.
    pub fn rate_limit_milli_per_s(&self) -> Option<u64> {
        self.inner.guard.stated_rate().map(|per_s| (per_s * 1_000.0) as u64)
    }

    /// Returns the number of open tickets.
    pub fn open_tickets(&self) -> usize {
        self.inner.ledger().open()
    }

    /// Issues tickets for the local target.
    pub fn issue_tickets(&self, request: &TicketsRequest) -> PeerAnswer {
        let snapshot = self.inner.active.load();
        let local = self.inner.local_target(&snapshot);
        let Some((service, _)) = local.filter(|(_, target)| {
            self.inner.is_own_service(&request.service) && target.name == request.target
        }) else {
            return PeerAnswer::Refused(Refusal::new(RefusalReason::OtherTarget));
        };
        if self.inner.guard.is_draining() {
            return PeerAnswer::Refused(Refusal::new(RefusalReason::Draining));
        }
        let lifetime_ms = service.limits.ticket_lifetime_ms;
        let now_us = self.inner.clock.now_us();
        let (first, count) = self.inner.ledger().issue(request.count, lifetime_ms * 1_000, now_us);
        self.inner.counters.tickets.fetch_add(u64::from(count), Ordering::Relaxed);
        PeerAnswer::Tickets { incarnation: self.inner.incarnation, first, count, lifetime_ms }
    }
}

impl AttemptHandler for TargetGuard {
    fn attempt(&self, attempt: Attempt, admission: Admission) -> BoxFuture<'_, AttemptAnswer> {
        let inner = self.inner.clone();
        let is_over_link = self.is_over_link;
        async move {
            count(&inner.counters.guard_attempts);
            let wants_hint = attempt.head.wants_hint;
            let has_level = has_call_level(&attempt.head.headers);
            let answer_link = inner.answer_link(&attempt.head, is_over_link);
            let answer = inner.handle_attempt(attempt, admission, is_over_link).await;
            let mut answer = answer_link.pace(answer);
            inner.report_overload(&mut answer, has_level);
            match &answer.outcome {
                AttemptOutcome::NotRun(_) => count(&inner.counters.guard_refused),
                AttemptOutcome::Unknown(_) => count(&inner.counters.guard_unknown),
                AttemptOutcome::Answered { .. } => {}
            }
            if wants_hint && inner.observer.try_attach_hint() {
                answer.hint = Some(inner.hint());
            }
            answer
        }
        .boxed()
    }
}

impl Inner {
    /// Drains, or serves again, by the current reasons to drain.
    fn apply_drains(&self) {
        let drains = &self.drains;
        let _applying = drains.applying.lock().unwrap_or_else(PoisonError::into_inner);
        let reasons =
            [&drains.operator, &drains.stopping, &drains.leaving, &drains.evacuated, &drains.target_leaving];
        let is_draining = reasons.iter().any(|reason| reason.load(Ordering::Relaxed));
        if self.guard.is_draining() != is_draining {
            log::info!("guard of host {}: {}", self.host, if is_draining { "draining" } else { "serving" });
        }
        self.guard.set_draining(is_draining);
    }

    pub(crate) fn ledger(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the service and the target that the configuration lists for this host, if any.
    fn local_target<'a>(&self, snapshot: &'a ConfigSnapshot) -> Option<(&'a Service, &'a Target)> {
        let service = snapshot.configuration.service(&self.settings.as_ref()?.service)?;
        let target = service.targets.iter().find(|target| target.host == self.host)?;
        Some((service, target))
    }

    /// Whether the attempt is meant for `target`, by its listed name or the name of the running instance.
    fn is_named(&self, target: &Target, head: &AttemptHead) -> bool {
        let is_same_name = || target.name == head.target || self.identity().is_addressed_as(&head.target);
        self.is_own_service(&head.service) && is_same_name()
    }

    fn is_own_service(&self, service: &str) -> bool {
        self.settings.as_ref().is_some_and(|settings| settings.service == service)
    }

    fn hint(&self) -> Hint {
        let load = self.guard.load();
        Hint {
            incarnation: self.incarnation as u32,
            in_flight: load.in_flight,
            queued: load.queued,
            limit: load.limit,
            service_us: load.service_us,
            slowness_percent: load.slowness_percent,
            state: if load.is_draining { TargetState::Draining } else { TargetState::Serving },
        }
    }
}

/// A target's answer with the resources held for the request.
struct ReceivedResponse {
    request: HeaderMap,
    /// When the request was sent, in µs of the node's clock.
    sent_us: u64,
    /// Name of the target that the request was sent to.
    target: String,
    answer: TargetAnswer,
    permit: Permit,
    watched_run: WatchedRun,
    /// When the time budget of the call ends.
    deadline: Instant,
}
