//! The guard of the target beside this node: admission, tickets, and the way to the target.

use crate::{
    active::{Active, InForce},
    counters::{Counters, count},
    dialect::HeaderDialect,
    metrics::{Latencies, observe_us},
    observer::Observer,
    running_requests::RunningRequests,
    target_http::TargetClient,
    target_pool::UsedConnection,
};
use futures_util::future::{BoxFuture, FutureExt};
use http::{HeaderMap, Response};
use hyper::body::Incoming;
use laurelstall_balance::hint::{Hint, TargetState};
use laurelstall_config::{
    settings::TargetSettings,
    team::{Service, ServiceLimits, Target},
};
use laurelstall_crash::{crash_record::CrashNews, run_watch::RunWatch};
use laurelstall_guard::{
    ask::{Ask, Rank, Sharer},
    clock::Clock,
    guard::{Guard, Permit},
    guard_limits::GuardLimits,
    ledger::Ledger,
    refusal::{Refusal, RefusalReason},
    target_identity::TargetIdentity,
};
use laurelstall_peer::{
    attempt::{Admission, Attempt, AttemptAnswer, AttemptBody, AttemptHandler, AttemptOutcome, UnknownCause},
    crash_registry::CrashRegistry,
    message::{AttemptHead, PeerAnswer, TicketsRequest},
};
use std::sync::{
    Arc, Mutex, MutexGuard, PoisonError,
    atomic::{AtomicBool, Ordering},
};
use tokio::{
    sync::Mutex as AsyncMutex,
    time::{Duration, timeout},
};

mod answers;
mod ends;
mod instance;
mod listing;
mod sending;

use ends::{EndLook, WatchedRun};
use listing::ListedTarget;

/// Queue of a guard that stands in for none at all, behind a plain balancer.
const PLAIN_QUEUE_LENGTH: usize = 100_000;

/// Reasons to take nothing new; any one is enough.
#[derive(Debug, Default)]
struct Drains {
    operator: AtomicBool,
    stopping: AtomicBool,
    /// The platform lists the host as leaving.
    leaving: AtomicBool,
    /// The host's data centre is evacuated.
    evacuated: AtomicBool,
}

#[derive(Debug)]
pub(crate) struct Inner {
    pub(crate) clock: Clock,
    host: String,
    settings: Option<TargetSettings>,
    is_plain: bool,
    incarnation: u64,
    guard: Arc<Guard>,
    ledger: Mutex<Ledger>,
    /// The target that the configuration lists here.
    listed: Mutex<ListedTarget>,
    /// Which instance of it stands here.
    identity: Mutex<TargetIdentity>,
    /// Held by whoever asks the target who it is: the others wait for the answer.
    asking_identity: AsyncMutex<()>,
    /// What is at work at the target.
    watch: Mutex<RunWatch>,
    /// The last look whether the target has ended.
    end_look: AsyncMutex<EndLook>,
    drains: Drains,
    client: Option<TargetClient>,
    dialect: Arc<dyn HeaderDialect>,
    running: Arc<RunningRequests>,
    crashes: Arc<CrashRegistry>,
    active: Arc<Active>,
    observer: Arc<Observer>,
    pub(crate) counters: Arc<Counters>,
    latencies: Arc<Latencies>,
}

/// The only way to the target beside this node.
#[derive(Debug, Clone)]
pub struct TargetGuard {
    inner: Arc<Inner>,
}

/// What a [`TargetGuard`] is made of.
#[derive(Debug)]
pub struct TargetGuardOptions {
    /// The node's clock.
    pub clock: Clock,
    /// The host's name.
    pub host: String,
    /// The target, if there is one.
    pub settings: Option<TargetSettings>,
    /// Whether to queue without limit and never hand back, as behind a plain balancer.
    pub is_plain: bool,
    /// Random at each start.
    pub incarnation: u64,
    /// The configuration in force.
    pub active: Arc<Active>,
    /// The budget for observing.
    pub observer: Arc<Observer>,
    /// Counts.
    pub counters: Arc<Counters>,
    /// How long things take.
    pub latencies: Arc<Latencies>,
    /// The header fields that the target knows.
    pub dialect: Arc<dyn HeaderDialect>,
    /// What runs at the target now.
    pub running: Arc<RunningRequests>,
    /// What is known of requests that ended targets.
    pub crashes: Arc<CrashRegistry>,
}

impl TargetGuard {
    /// A guard that takes nothing until a configuration lists its target.
    pub fn new(options: TargetGuardOptions) -> Self {
        let limits = GuardLimits {
            slots: 1,
            slots_start_percent: 100,
            slots_floor_percent: 100,
            queue_length: 0,
            queue_wait_max_ms: 0,
            cold_calls_per_s: 0,
            cold_start_ms: 0,
            may_hold: false,
        };
        let client = options.settings.as_ref().map(TargetClient::new);
        let address_reuse_s = options.settings.as_ref().map_or(0.0, |settings| settings.address_reuse_s);
        let first_word_until_us = options.clock.now_us() + (address_reuse_s * 1e6) as u64;
        let inner = Inner {
            clock: options.clock,
            host: options.host,
            settings: options.settings,
            is_plain: options.is_plain,
            incarnation: options.incarnation,
            guard: Guard::new(limits, options.clock),
            ledger: Mutex::new(Ledger::new(options.incarnation, 0)),
            listed: Mutex::default(),
            identity: Mutex::new(TargetIdentity::new(first_word_until_us)),
            asking_identity: AsyncMutex::default(),
            watch: Mutex::default(),
            end_look: AsyncMutex::default(),
            drains: Drains::default(),
            client,
            dialect: options.dialect,
            running: options.running,
            crashes: options.crashes,
            active: options.active,
            observer: options.observer,
            counters: options.counters,
            latencies: options.latencies,
        };
        Self { inner: Arc::new(inner) }
    }

    /// Puts the limits of the configuration in force.
    pub fn update(&self) {
        let in_force = self.inner.active.load();
        self.follow_fleet(&in_force);
        let own = self.inner.own_target(&in_force);
        self.note_own_target(own.map(|(_, target)| target.name.as_str()), &in_force);
        let Some((service, target)) = own else { return };
        let limits = &service.limits;
        self.inner.guard.set_can_look(!service.load_path.is_empty() && !self.inner.is_plain);
        self.inner.ledger().set_tickets_max(limits.tickets_max);
        self.inner.guard.set_limits(if self.inner.is_plain {
            GuardLimits {
                slots: target.slots,
                slots_start_percent: 100,
                slots_floor_percent: 100,
                queue_length: PLAIN_QUEUE_LENGTH,
                queue_wait_max_ms: 600_000,
                cold_calls_per_s: limits.cold_calls_per_s,
                cold_start_ms: limits.cold_start_ms,
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
                may_hold: limits.may_hold,
            }
        });
    }

    /// Whether the target gets nothing new since its data centre is evacuated.
    pub fn is_evacuated(&self) -> bool {
        self.inner.drains.evacuated.load(Ordering::Relaxed)
    }

    /// Starts or ends draining at an operator's wish.
    pub fn set_operator_drain(&self, is_draining: bool) {
        self.inner.drains.operator.store(is_draining, Ordering::Relaxed);
        self.apply_drains();
    }

    /// Drains for good, for the planned stop of the node.
    pub fn set_stopping(&self) {
        self.inner.drains.stopping.store(true, Ordering::Relaxed);
        self.apply_drains();
    }

    /// Asks the target how fast it works whenever that helps to give a slot away, until dropped.
    pub async fn watch_pace(&self) {
        let inner = &self.inner;
        loop {
            inner.guard.report_wanted().await;
            inner.look_at_pace().await;
        }
    }

    /// The admission behind this guard.
    pub fn guard(&self) -> &Arc<Guard> {
        &self.inner.guard
    }

    /// The guard's start.
    pub fn incarnation(&self) -> u64 {
        self.inner.incarnation
    }

    /// How the target is now.
    pub fn hint(&self) -> Hint {
        self.inner.hint()
    }

    /// Tickets that are open now.
    pub fn open_tickets(&self) -> usize {
        self.inner.ledger().open()
    }

    /// Gives out tickets for the own target.
    pub fn give_tickets(&self, request: &TicketsRequest) -> PeerAnswer {
        let in_force = self.inner.active.load();
        let own = self.inner.own_target(&in_force);
        let Some((service, _)) = own.filter(|(_, target)| {
            self.inner.is_own_service(&request.service) && target.name == request.target
        }) else {
            return PeerAnswer::Refused(Refusal::new(RefusalReason::OtherTarget));
        };
        if self.inner.guard.is_draining() {
            return PeerAnswer::Refused(Refusal::new(RefusalReason::Draining));
        }
        let lifetime_ms = service.limits.ticket_lifetime_ms;
        let now_us = self.inner.clock.now_us();
        let (first, count) = self.inner.ledger().give(request.count, lifetime_ms * 1_000, now_us);
        self.inner.counters.tickets.fetch_add(u64::from(count), Ordering::Relaxed);
        PeerAnswer::Tickets { incarnation: self.inner.incarnation, first, count, lifetime_ms }
    }

    fn apply_drains(&self) {
        let drains = &self.inner.drains;
        let reasons = [&drains.operator, &drains.stopping, &drains.leaving, &drains.evacuated];
        let is_draining = reasons.iter().any(|reason| reason.load(Ordering::Relaxed));
        if self.inner.guard.is_draining() != is_draining {
            log::info!("guard of {}: {}", self.inner.host, if is_draining { "draining" } else { "serving" });
        }
        self.inner.guard.set_draining(is_draining);
    }
}

impl AttemptHandler for TargetGuard {
    fn attempt(&self, attempt: Attempt, admission: Admission) -> BoxFuture<'_, AttemptAnswer> {
        let inner = self.inner.clone();
        async move {
            count(&inner.counters.guard_attempts);
            let wants_hint = attempt.head.wants_hint;
            let mut answer = inner.run(attempt, admission).await;
            match &answer.outcome {
                AttemptOutcome::NotRun(_) => count(&inner.counters.guard_refused),
                AttemptOutcome::Unknown(_) => count(&inner.counters.guard_unknown),
                AttemptOutcome::Answered { .. } => {}
            }
            if wants_hint && inner.observer.may_carry_hint() {
                answer.hint = Some(inner.hint());
            }
            answer
        }
        .boxed()
    }
}

/// When a node that knows no list yet may be called again, in µs: it gets one within some hundred ms of its start.
/// Without this word entries that start sooner leave its target out for a second.
const LISTLESS_PAUSE_US: u64 = 100_000;

/// One attempt with what was found out about it before it runs.
pub(crate) struct Run {
    head: AttemptHead,
    body: AttemptBody,
    admission: Admission,
    pub(crate) deadline_us: u64,
    useful_until_us: u64,
    useful_us: u64,
    pub(crate) limits: ServiceLimits,
}

impl Inner {
    pub(crate) fn ledger(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn own_target<'a>(&self, in_force: &'a InForce) -> Option<(&'a Service, &'a Target)> {
        let service = in_force.configuration.service(&self.settings.as_ref()?.service)?;
        let target = service.targets.iter().find(|target| target.host == self.host)?;
        Some((service, target))
    }

    fn is_named(&self, target: &Target, head: &AttemptHead) -> bool {
        let is_called = || target.name == head.target || self.identity().is_called(&head.target);
        self.is_own_service(&head.service) && is_called()
    }

    fn is_own_service(&self, service: &str) -> bool {
        self.settings.as_ref().is_some_and(|settings| settings.service == service)
    }

    /// Why a call that waited may not begin any more: by the configuration in force, the target that it was meant for
    /// is not here, or has been leaving for long.
    fn refusal_after_wait(&self, head: &AttemptHead) -> Option<RefusalReason> {
        let in_force = self.active.load();
        let is_named = self.own_target(&in_force).is_some_and(|(_, target)| self.is_named(target, head));
        if !is_named {
            return Some(RefusalReason::OtherTarget);
        }
        self.guard.is_past_drain().then_some(RefusalReason::Draining)
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

    async fn run(self: &Arc<Self>, attempt: Attempt, admission: Admission) -> AttemptAnswer {
        let Attempt { head, body } = attempt;
        let in_force = self.active.load();
        let own = self.own_target(&in_force);
        let Some((service, _)) = own.filter(|(_, target)| self.is_named(target, &head)) else {
            let is_starting = in_force.configuration.fleet.hosts.is_empty();
            let wait_us = if is_starting { LISTLESS_PAUSE_US } else { 0 };
            return not_run(instance::absent(wait_us), Some(body));
        };
        // The entry may not have heard yet that targets end under it.
        if let Some(refusal) = self.held_back(head.digest) {
            return not_run(refusal, Some(body));
        }
        let now_us = self.clock.now_us();
        if let Some(wait_us) = self.identity().refused_for_us(now_us) {
            return not_run(instance::absent(wait_us), Some(body));
        }
        let deadline_us = now_us + head.budget_us;
        let useful_us = head.useful_us.min(head.budget_us);
        let useful_until_us = now_us + useful_us;
        let limits = service.limits;
        let ticket = head.ticket;
        let run = Run { head, body, admission, deadline_us, useful_until_us, useful_us, limits };
        match ticket {
            None => self.run_once(run).await,
            Some((incarnation, number)) => self.run_ticket(run, incarnation, number).await,
        }
    }

    /// Whose call it is; a workspace that is not known here, as while a configuration travels, has the usual weight.
    fn sharer(&self, head: &AttemptHead) -> Sharer {
        if head.workspace.is_empty() {
            return Sharer::NOBODY;
        }
        let team = head.service.split('/').next().unwrap_or_default();
        let in_force = self.active.load();
        let directory = in_force.keys.get(team);
        let workspace = directory.and_then(|directory| directory.named(&head.workspace));
        let weight = workspace.map_or(Sharer::NOBODY.weight, |workspace| workspace.weight);
        Sharer { id: xxhash_rust::xxh3::xxh3_64(head.workspace.as_bytes()), weight }
    }

    pub(crate) async fn run_once(self: &Arc<Self>, run: Run) -> AttemptAnswer {
        let ask = Ask {
            rank: Rank::new(run.head.importance, run.head.is_return),
            sharer: self.sharer(&run.head),
            class: run.head.class,
            deadline_us: run.deadline_us,
            useful_until_us: run.useful_until_us,
            useful_us: run.useful_us,
            may_hand_back: run.head.may_hand_back && !self.is_plain,
            hand_backs: run.head.hand_backs,
            slow_from_percent: run.head.slow_from_percent.filter(|_| !self.is_plain),
        };
        let asked_us = self.clock.now_us();
        match self.guard.admit(ask).await {
            Ok(permit) => {
                if let Some(reason) = self.refusal_after_wait(&run.head) {
                    permit.release_uncounted();
                    return refused(reason, Some(run.body));
                }
                // It may have ended other targets while it waited here.
                if let Some(refusal) = self.held_back(run.head.digest) {
                    permit.release_uncounted();
                    return not_run(refusal, Some(run.body));
                }
                let admitted_us = self.clock.now_us();
                observe_us(&self.latencies.waits, admitted_us - asked_us);
                let answer = self.send(run, permit).await;
                observe_us(&self.latencies.runs, self.clock.now_us() - admitted_us);
                answer
            }
            Err(refusal) => not_run(refusal, Some(run.body)),
        }
    }
}

/// A target's answer with what was held for it.
struct Answered {
    request: HeaderMap,
    /// Name that the request was sent under.
    target: String,
    response: Response<Incoming>,
    connection: Option<UsedConnection>,
    permit: Permit,
    run: WatchedRun,
}

/// The answer to a call whose connection broke, with what is known of its request when the target has ended.
fn lost(why: &'static str, ended: Option<CrashNews>) -> AttemptAnswer {
    let cause = if ended.is_some() { UnknownCause::TargetEnded } else { UnknownCause::Lost(why) };
    AttemptAnswer { ended, ..AttemptAnswer::new(AttemptOutcome::Unknown(cause)) }
}

pub(crate) fn unknown(why: &'static str) -> AttemptAnswer {
    AttemptAnswer::new(AttemptOutcome::Unknown(UnknownCause::Lost(why)))
}

pub(crate) fn refused(reason: RefusalReason, body: Option<AttemptBody>) -> AttemptAnswer {
    not_run(Refusal::new(reason), body)
}

fn not_run(refusal: Refusal, body: Option<AttemptBody>) -> AttemptAnswer {
    let mut answer = AttemptAnswer::new(AttemptOutcome::NotRun(refusal));
    if let Some(AttemptBody::Stream(body)) = body {
        answer.unread = Some(body);
    }
    answer
}

/// Waits for the guard to have nothing left to do, but no longer than `limit`.
pub async fn drained(guard: &TargetGuard, limit: Duration) -> bool {
    timeout(limit, guard.guard().drained()).await.is_ok()
}
