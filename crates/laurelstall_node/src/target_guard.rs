//! The guard of the target beside this node: admission, tickets, and the way to the target.

use crate::{
    active::{Active, InForce},
    body::{Collected, WatchedBody, collect, whole},
    counters::{Counters, count},
    headers::strip_hop_by_hop,
    observer::Observer,
    target_http::{target_client, target_request},
};
use futures_util::future::{BoxFuture, FutureExt};
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper_util::client::legacy::{Client, connect::HttpConnector};
use laurelstall_balance::hint::{Hint, TargetState};
use laurelstall_config::{
    fleet::HostState,
    settings::TargetSettings,
    team::{SHED_HEADER, Service, ServiceLimits, Target},
};
use laurelstall_guard::{
    clock::Clock,
    guard::{Ask, Guard, GuardLimits, Permit},
    ledger::{Begin, KeptAnswer, Ledger, RunToken},
    refusal::{Refusal, RefusalReason},
};
use laurelstall_peer::{
    attempt::{Admission, Attempt, AttemptAnswer, AttemptBody, AttemptHandler, AttemptOutcome},
    body::{AnswerBody, BodyError},
    message::{AttemptHead, PeerAnswer, TicketsRequest},
};
use std::sync::{
    Arc, Mutex, MutexGuard, PoisonError,
    atomic::{AtomicBool, Ordering},
};
use tokio::{
    sync::oneshot,
    time::{Duration, timeout, timeout_at},
};

/// Queue of a guard that stands in for none at all, behind a plain balancer.
const PLAIN_QUEUE_LENGTH: usize = 100_000;

/// Reasons to take nothing new; any one is enough.
#[derive(Debug, Default)]
struct Drains {
    operator: AtomicBool,
    stopping: AtomicBool,
    platform: AtomicBool,
}

#[derive(Debug)]
struct Inner {
    clock: Clock,
    host: String,
    settings: Option<TargetSettings>,
    is_plain: bool,
    incarnation: u64,
    guard: Arc<Guard>,
    ledger: Mutex<Ledger>,
    drains: Drains,
    client: Client<HttpConnector, AnswerBody>,
    active: Arc<Active>,
    observer: Arc<Observer>,
    counters: Arc<Counters>,
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
}

impl TargetGuard {
    /// A guard that takes nothing until a configuration lists its target.
    pub fn new(options: TargetGuardOptions) -> Self {
        let limits =
            GuardLimits { slots: 1, slots_floor_percent: 100, queue_length: 0, queue_wait_max_ms: 0 };
        let client = target_client(options.settings.as_ref());
        let inner = Inner {
            clock: options.clock,
            host: options.host,
            settings: options.settings,
            is_plain: options.is_plain,
            incarnation: options.incarnation,
            guard: Guard::new(limits, options.clock),
            ledger: Mutex::new(Ledger::new(options.incarnation, 0)),
            drains: Drains::default(),
            client,
            active: options.active,
            observer: options.observer,
            counters: options.counters,
        };
        Self { inner: Arc::new(inner) }
    }

    /// Puts the limits of the configuration in force.
    pub fn update(&self) {
        let in_force = self.inner.active.load();
        let host = in_force.configuration.fleet.host(&self.inner.host);
        let is_leaving = host.is_some_and(|host| host.state == HostState::Leaving);
        self.inner.drains.platform.store(is_leaving, Ordering::Relaxed);
        self.apply_drains();
        let Some((service, target)) = self.inner.own_target(&in_force) else { return };
        let limits = &service.limits;
        self.inner.ledger().set_tickets_max(limits.tickets_max);
        self.inner.guard.set_limits(if self.inner.is_plain {
            GuardLimits {
                slots: target.slots,
                slots_floor_percent: 100,
                queue_length: PLAIN_QUEUE_LENGTH,
                queue_wait_max_ms: 600_000,
            }
        } else {
            GuardLimits {
                slots: target.slots,
                slots_floor_percent: limits.slots_floor_percent,
                queue_length: target.slots as usize * limits.queue_per_slot as usize,
                queue_wait_max_ms: limits.queue_wait_max_ms,
            }
        });
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
        let Some((service, _)) = own.filter(|(_, target)| self.inner.is_named(target, request)) else {
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
        let is_draining =
            [&drains.operator, &drains.stopping, &drains.platform].iter().any(|d| d.load(Ordering::Relaxed));
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

/// One attempt with what was found out about it before it runs.
struct Run {
    head: AttemptHead,
    body: AttemptBody,
    admission: Admission,
    deadline_us: u64,
    limits: ServiceLimits,
}

impl Inner {
    fn ledger(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn own_target<'a>(&self, in_force: &'a InForce) -> Option<(&'a Service, &'a Target)> {
        let service = in_force.configuration.service(&self.settings.as_ref()?.service)?;
        let target = service.targets.iter().find(|target| target.host == self.host)?;
        Some((service, target))
    }

    fn is_named(&self, target: &Target, request: &TicketsRequest) -> bool {
        let service = self.settings.as_ref().map_or("", |settings| &settings.service);
        service == request.service && target.name == request.target
    }

    fn hint(&self) -> Hint {
        let load = self.guard.load();
        Hint {
            incarnation: self.incarnation as u32,
            in_flight: load.in_flight,
            queued: load.queued,
            limit: load.limit,
            service_us: load.service_us,
            state: if load.is_draining { TargetState::Draining } else { TargetState::Serving },
        }
    }

    async fn run(self: &Arc<Self>, attempt: Attempt, admission: Admission) -> AttemptAnswer {
        let Attempt { head, body } = attempt;
        let in_force = self.active.load();
        let own = self.own_target(&in_force);
        let is_own = |(_, target): &(&Service, &Target)| {
            let request =
                TicketsRequest { service: head.service.clone(), target: head.target.clone(), count: 0 };
            self.is_named(target, &request)
        };
        let Some((service, _)) = own.filter(is_own) else {
            return refused(RefusalReason::OtherTarget, Some(body));
        };
        let deadline_us = self.clock.now_us() + head.budget_us;
        let limits = service.limits;
        let ticket = head.ticket;
        let run = Run { head, body, admission, deadline_us, limits };
        match ticket {
            None => self.run_once(run).await,
            Some((incarnation, number)) => self.run_ticket(run, incarnation, number).await,
        }
    }

    async fn run_once(self: &Arc<Self>, run: Run) -> AttemptAnswer {
        let ask = Ask {
            importance: run.head.importance,
            deadline_us: run.deadline_us,
            may_hand_back: run.head.may_hand_back && !self.is_plain,
            hand_backs: run.head.hand_backs,
        };
        match self.guard.admit(ask).await {
            Ok(permit) => self.send(run, permit).await,
            Err(refusal) => not_run(refusal, Some(run.body)),
        }
    }

    async fn run_ticket(self: &Arc<Self>, run: Run, incarnation: u64, number: u64) -> AttemptAnswer {
        let deadline = self.clock.instant_of(run.deadline_us);
        loop {
            let begin = self.ledger().begin(incarnation, number, self.clock.now_us());
            match begin {
                Begin::Run(token) => return self.run_detached(run, token).await,
                Begin::Kept(answer) => {
                    count(&self.counters.tickets_kept);
                    return AttemptAnswer::new(kept_outcome(&answer));
                }
                Begin::Wait(mut done) => {
                    if timeout_at(deadline, done.wait_for(|is_done| *is_done)).await.is_err() {
                        return unknown("ticket still runs");
                    }
                }
                Begin::Unknown => return unknown("ticket ran, answer not kept"),
                Begin::NotRun => return refused(RefusalReason::TicketVoid, None),
                Begin::Foreign => return unknown("ticket not known here any more"),
            }
        }
    }

    /// Runs a ticket's call to its end even if nobody waits for it: a repeat gets the answer.
    async fn run_detached(self: &Arc<Self>, run: Run, token: RunToken) -> AttemptAnswer {
        let this = self.clone();
        let (tell, told) = oneshot::channel();
        tokio::spawn(async move {
            let kept_answer_bytes = run.limits.kept_answer_bytes;
            let answer = this.run_once(run).await;
            let answer = this.end_ticket(answer, token, kept_answer_bytes).await;
            // The caller may have gone; the ledger knows the outcome.
            let _ = tell.send(answer);
        });
        told.await.unwrap_or_else(|_| unknown("ticket's run broke off"))
    }

    async fn end_ticket(&self, answer: AttemptAnswer, token: RunToken, kept_bytes: usize) -> AttemptAnswer {
        let AttemptAnswer { outcome, hint, unread } = answer;
        let outcome = match outcome {
            AttemptOutcome::NotRun(refusal) => {
                self.ledger().end_not_run(token);
                AttemptOutcome::NotRun(refusal)
            }
            AttemptOutcome::Unknown(why) => {
                self.ledger().end_unknown(token);
                AttemptOutcome::Unknown(why)
            }
            AttemptOutcome::Answered { status, headers, body } => {
                self.keep_answer(status, headers, body, token, kept_bytes).await
            }
        };
        AttemptAnswer { outcome, hint, unread }
    }

    async fn keep_answer(
        &self,
        status: StatusCode,
        headers: HeaderMap,
        body: AnswerBody,
        token: RunToken,
        kept_bytes: usize,
    ) -> AttemptOutcome {
        let patience = Duration::from_secs(30);
        match collect(body, kept_bytes, patience).await {
            Ok(Collected::Whole(bytes)) => {
                let pairs =
                    headers.iter().map(|(n, v)| (n.as_str().to_owned(), v.as_bytes().to_vec().into()));
                let kept =
                    KeptAnswer { status: status.as_u16(), headers: pairs.collect(), body: bytes.clone() };
                self.ledger().end_answered(token, Some(kept));
                AttemptOutcome::Answered { status, headers, body: whole(bytes) }
            }
            Ok(Collected::Partial(body)) => {
                self.ledger().end_answered(token, None);
                AttemptOutcome::Answered { status, headers, body }
            }
            Err(_) => {
                self.ledger().end_unknown(token);
                AttemptOutcome::Unknown("answer broke off")
            }
        }
    }

    async fn send(self: &Arc<Self>, run: Run, permit: Permit) -> AttemptAnswer {
        let Run { head, body, mut admission, deadline_us, limits } = run;
        let now_us = self.clock.now_us();
        if now_us >= deadline_us {
            permit.release_uncounted();
            return refused(RefusalReason::Deadline, Some(body));
        }
        admission.grant();
        let budget_us = deadline_us - now_us;
        let settings = self.settings.as_ref();
        let request = settings.and_then(|settings| target_request(settings, head, body, budget_us));
        let Some(request) = request else {
            permit.release_uncounted();
            return refused(RefusalReason::Unreadable, None);
        };
        let sent = timeout_at(self.clock.instant_of(deadline_us), self.client.request(request)).await;
        match sent {
            Err(_) => unknown("time budget spent at the target"),
            Ok(Ok(response)) => self.read_response(response, permit, &limits),
            Ok(Err(error)) => {
                permit.release_uncounted();
                if error.is_connect() {
                    self.guard.note_shed();
                    return refused(RefusalReason::NoConnection, None);
                }
                unknown("connection to the target broke")
            }
        }
    }

    fn read_response(
        self: &Arc<Self>,
        response: Response<Incoming>,
        permit: Permit,
        limits: &ServiceLimits,
    ) -> AttemptAnswer {
        let (parts, body) = response.into_parts();
        let mut headers = parts.headers;
        let is_shed = parts.status.as_u16() == limits.shed_status && headers.contains_key(SHED_HEADER);
        if is_shed {
            permit.release_uncounted();
            self.guard.note_shed();
            return refused(RefusalReason::Shed, None);
        }
        strip_hop_by_hop(&mut headers);
        let counters = self.counters.clone();
        let body = body.map_err(BodyError::from).boxed_unsync();
        let body = WatchedBody::new(body, move |is_whole| {
            if is_whole {
                drop(permit);
            } else {
                count(&counters.bodies_broken);
                permit.release_uncounted();
            }
        });
        let body = body.boxed_unsync();
        AttemptAnswer::new(AttemptOutcome::Answered { status: parts.status, headers, body })
    }
}

fn kept_outcome(answer: &KeptAnswer) -> AttemptOutcome {
    let mut headers = HeaderMap::new();
    for (name, value) in &answer.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        let value = HeaderValue::from_bytes(value);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    AttemptOutcome::Answered { status, headers, body: whole(answer.body.clone()) }
}

fn unknown(why: &'static str) -> AttemptAnswer {
    AttemptAnswer::new(AttemptOutcome::Unknown(why))
}

fn refused(reason: RefusalReason, body: Option<AttemptBody>) -> AttemptAnswer {
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
