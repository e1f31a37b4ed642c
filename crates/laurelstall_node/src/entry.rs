//! The entry: accepts callers' HTTP requests, routes them to targets and returns the answers.

use crate::{
    active_config::{ActiveConfig, ConfigSnapshot},
    body::full_body,
    call::{Call, CallContext},
    call_request::CallOutcome,
    caller_limits::ActiveCallerLimits,
    caller_link::{CallerLink, is_remote_caller},
    chains::Chains,
    counters::count,
    decision_log::Decision,
    headers::{TICKET, host_of},
    metrics::record_us,
    milestones::{Milestone, Milestones},
    quotas::Quotas,
    responder::Responder,
    running_requests::RunningRequests,
    services::Services,
};
use bytes::Bytes;
use futures_util::future::BoxFuture;
use http::{HeaderValue, Method, Request, Response, StatusCode, request::Parts};
use laurelstall_balance::{service_balancer::ChoiceRequest, typical_budgets::TypicalBudgets};
use laurelstall_config::{document::DocumentName, route::RouteRule, team::Team};
use laurelstall_guard::{
    refusal::{Refusal, RefusalReason},
    ticket::Ticket,
};
use laurelstall_peer::{
    body::BoxedBody,
    gauge::Gauge,
    message::{PeerAnswer, PeerRequest, TicketsRequest},
};
use laurelstall_policy::{
    plan::{Plan, Route},
    program::RequestView,
};
use serde::Serialize;
use std::sync::{
    Arc, Mutex,
    atomic::{AtomicBool, AtomicU64, Ordering},
};

mod authorization;
mod replies;
mod request_reader;
mod stopping;

use authorization::Authorization;
use replies::{FailedCall, LoggedRequest, Reply, refused};
use request_reader::AcceptedHead;

/// Path at which callers request tickets: `POST /laurelstall/tickets?service=NAME&count=N`.
pub const TICKETS_PATH: &str = "/laurelstall/tickets";
/// Maximum number of tickets issued for one request.
const TICKETS_MAX: u64 = 1_000;
/// Retry delay in ms for callers of a node that has no configuration yet.
const NO_CONFIGURATION_RETRY_MS: u64 = 200;
/// Retry delay in ms for calls refused by a routing program.
const PROGRAM_REFUSAL_RETRY_MS: u64 = 1_000;
/// Maximum number of header fields of a request.
const HEADER_COUNT_MAX: usize = 100;

/// The part of a node that serves callers.
#[derive(Debug)]
pub struct Entry {
    /// State shared by all calls.
    pub context: CallContext,
    /// The current configuration.
    pub active: Arc<ActiveConfig>,
    /// The services called through this entry.
    pub services: Arc<Services>,
    /// Name of the local target's service, without its team; empty when there is none.
    pub own_service: String,
    /// Requests that are running at the local target.
    pub running: Arc<RunningRequests>,
    /// What was learned about the calls of the local target.
    pub chains: Arc<Chains>,
    /// Limits on callers.
    pub limits: Arc<ActiveCallerLimits>,
    /// Typical time budgets by class of call, used to recognise callers' retries.
    pub typical_budgets: Mutex<TypicalBudgets>,
    /// Whether the node is stopping; responses over HTTP/1 then carry `connection: close`.
    pub is_stopping: AtomicBool,
    /// Time at which a stop ends at the latest, in µs of the node's clock: calls that may end later are refused. 0 while
    /// all calls are accepted.
    pub ends_at_us: AtomicU64,
    /// Latest deadline of a call that is accepted while the node stops, in µs of the node's clock; 0 while it does not stop.
    pub deadline_max_us: AtomicU64,
    /// Callers' requests whose answers are not sent yet.
    pub unanswered: Arc<Gauge>,
    /// Times of the first call and the first answer.
    pub milestones: Milestones,
    /// Quotas of workspaces.
    pub quotas: Arc<Quotas>,
    /// Maximum age in ms of the known keys at which calls that need a key are still served; 0 for no limit.
    pub keys_age_max_ms: u64,
}

/// A request that is invalid or that the configuration does not allow.
struct Rejection {
    status: StatusCode,
    reason: String,
}

impl Rejection {
    fn new(status: StatusCode, reason: impl Into<String>) -> Self {
        Self { status, reason: reason.into() }
    }
}

/// JSON body of the answer to a request for tickets.
#[derive(Debug, Serialize)]
struct TicketsAnswer {
    tickets: Vec<String>,
    lifetime_ms: u64,
}

impl Entry {
    /// Answers one request of a caller.
    pub async fn handle(&self, request: Request<BoxedBody>) -> Response<BoxedBody> {
        let id = rand::random::<u64>();
        count(&self.context.counters.calls);
        let is_http1 = request.version() < http::Version::HTTP_2;
        let started_us = self.context.clock.now_us();
        let request_id = self.context.dialect.request_id(request.headers()).map(str::to_owned);
        let logged = self.context.decisions.is_enabled().then(|| LoggedRequest::new(&request));
        self.milestones.record(Milestone::FirstCall, self.context.clock.elapsed_ms());
        let reply = match self.serve(id, request).await {
            Ok(reply) => reply,
            Err(rejection) => {
                count(&self.context.counters.rejected);
                Reply::Failed(FailedCall::not_run(rejection.status, &rejection.reason, None))
            }
        };
        let took_us = self.context.clock.now_us() - started_us;
        record_us(&self.context.latencies.calls, took_us);
        if matches!(&reply, Reply::Answered(response) if response.status().is_success()) {
            self.milestones.record(Milestone::FirstAnswer, self.context.clock.elapsed_ms());
        }
        if let Some(logged) = logged {
            self.log_call_end(id, request_id.as_deref(), logged, &reply, took_us);
        }
        let mut response = self.build_response(reply, id, request_id.as_deref());
        if is_http1 && self.is_stopping.load(Ordering::Relaxed) {
            response.headers_mut().insert(http::header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    async fn serve(&self, id: u64, request: Request<BoxedBody>) -> Result<Reply, Rejection> {
        let (parts, body) = request.into_parts();
        let snapshot = self.active.load();
        let depth = self.validate_head(&parts)?;
        let host = host_of(&parts.uri, &parts.headers)
            .ok_or_else(|| Rejection::new(StatusCode::BAD_REQUEST, "no host, or more than one"))?;
        if snapshot.configuration.teams.is_empty() {
            return Ok(Reply::Failed(FailedCall::not_run(
                StatusCode::SERVICE_UNAVAILABLE,
                "no configuration yet",
                Some(NO_CONFIGURATION_RETRY_MS),
            )));
        }
        let team = snapshot.configuration.team_of_caller_host(&host);
        let team = team.ok_or_else(|| Rejection::new(StatusCode::NOT_FOUND, "no team has this host"))?;
        if parts.uri.path() == TICKETS_PATH {
            return self.issue_tickets(&snapshot, team, &parts).await;
        }
        let route = match self.find_route(&snapshot, team, &parts, &host)? {
            Plan::Route(route) => route,
            Plan::Refuse(reason) => return Ok(self.refused_by_program(id, &snapshot, team, &reason)),
        };
        let full_name = format!("{}/{}", team.team, route.service);
        let service = self.services.get(&snapshot, &full_name);
        let service = service.ok_or_else(|| {
            Rejection::new(StatusCode::SERVICE_UNAVAILABLE, format!("no service {full_name}"))
        })?;
        let caller = match self.authorize(&snapshot, team, &parts, &route)? {
            Authorization::Granted(caller) => caller,
            Authorization::Unavailable(failed) => return Ok(Reply::Failed(failed)),
        };
        if let Some(failed) = self.refuse_while_stopping(&parts, &route, depth)? {
            return Ok(Reply::Failed(failed));
        }
        let token = match self.take_token(&snapshot, team, &caller).await {
            Ok(token) => token,
            Err(failed) => return Ok(Reply::Failed(failed)),
        };
        let accepted = AcceptedHead { route, depth, service: full_name, caller };
        let is_remote = is_remote_caller(&parts);
        let read = self.read_call(id, parts, body, accepted).await;
        let request = read.inspect_err(|_| self.quotas.give_back(token.as_ref()))?;
        let open_call = self.chains.begin_call(&service.name, &request);
        let caller_link = CallerLink::new(self.context.link.as_ref(), is_remote, &service, &request);
        let outcome = Call::new(&self.context, &snapshot, service, request).run().await;
        if let Some(open_call) = open_call {
            open_call.end(&outcome);
        }
        if matches!(outcome, CallOutcome::NotRun(_)) {
            self.quotas.give_back(token.as_ref());
        }
        Ok(self.reply(caller_link.pace(outcome)))
    }

    /// Checks the request head and returns its depth in the chain of calls.
    fn validate_head(&self, parts: &Parts) -> Result<u64, Rejection> {
        if parts.method == Method::CONNECT {
            return Err(Rejection::new(StatusCode::METHOD_NOT_ALLOWED, "CONNECT is not served"));
        }
        if parts.headers.len() > HEADER_COUNT_MAX {
            return Err(Rejection::new(
                StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
                "too many header fields",
            ));
        }
        let depth = self.context.dialect.depth(&parts.headers).map_err(bad_number)?;
        if depth >= u64::from(self.limits.current().depth_max) {
            return Err(Rejection::new(StatusCode::LOOP_DETECTED, "calls too deep"));
        }
        Ok(depth)
    }

    /// Finds the route of a request in the route table, or by the team's routing program.
    fn find_route(
        &self,
        snapshot: &ConfigSnapshot,
        team: &Team,
        parts: &Parts,
        host: &str,
    ) -> Result<Plan, Rejection> {
        let found = snapshot.configuration.routes(&team.team);
        if let Some((rule, service)) = found.and_then(|table| table.find(host, parts.uri.path())) {
            return match service {
                Some(service) => Ok(Plan::Route(route_of(rule, service))),
                None => Err(Rejection::new(StatusCode::SERVICE_UNAVAILABLE, "the route is invalid")),
            };
        }
        let program = snapshot.programs.get(&team.team);
        let program = program.ok_or_else(|| Rejection::new(StatusCode::NOT_FOUND, "no such route"))?;
        let view = RequestView {
            method: parts.method.as_str(),
            host,
            path: parts.uri.path(),
            headers: &parts.headers,
        };
        program.decide(&view).map_err(|error| {
            count(&self.context.counters.program_errors);
            log::debug!("routing program of team {} failed: {error}", team.team);
            Rejection::new(StatusCode::SERVICE_UNAVAILABLE, "the routing program failed")
        })
    }

    /// Whether the request matches a route of the route table that lets it run more than once.
    pub fn may_repeat(&self, head: &Parts) -> bool {
        let snapshot = self.active.load();
        let configuration = &snapshot.configuration;
        let Some(host) = host_of(&head.uri, &head.headers) else { return false };
        let team = configuration.team_of_caller_host(&host);
        let table = team.and_then(|team| configuration.routes(&team.team));
        let rule = table.and_then(|table| table.matching_rules(&host, head.uri.path()).first().copied());
        rule.is_some_and(|rule| rule.may_repeat)
    }

    /// Reports a call that the routing program refused and writes it to the decision log.
    fn refused_by_program(&self, id: u64, snapshot: &ConfigSnapshot, team: &Team, reason: &str) -> Reply {
        count(&self.context.counters.not_run);
        let name = DocumentName::Team(team.team.clone());
        self.context.decisions.write(Decision {
            call: id,
            request_id: String::new(),
            digest: String::new(),
            attempt: 0,
            importance: 0,
            is_return: false,
            left_us: 0,
            service: team.team.clone(),
            version: snapshot.configuration.version(&name),
            fleet_version: snapshot.configuration.version(&DocumentName::Fleet),
            target: String::new(),
            why: "refused by the program".to_owned(),
            expected_us: 0,
            hint_age_us: None,
            runner_up: None,
            targets: 0,
            rate_limit_per_s: None,
            is_leaving: false,
            outcome: "not-run".to_owned(),
            took_us: 0,
        });
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Reply::Failed(FailedCall::not_run(status, reason, Some(PROGRAM_REFUSAL_RETRY_MS)))
    }

    /// Answers a request for tickets with those of one target of the service.
    async fn issue_tickets(
        &self,
        snapshot: &ConfigSnapshot,
        team: &Team,
        parts: &Parts,
    ) -> Result<Reply, Rejection> {
        if parts.method != Method::POST {
            return Err(Rejection::new(StatusCode::METHOD_NOT_ALLOWED, "tickets are taken with POST"));
        }
        let (service_name, wanted) = read_tickets_query(parts.uri.query().unwrap_or_default())?;
        let full_name = format!("{}/{service_name}", team.team);
        let service = self.services.get(snapshot, &full_name);
        let service = service.ok_or_else(|| Rejection::new(StatusCode::NOT_FOUND, "no such service"))?;
        let mut excluded = Vec::new();
        loop {
            let now_us = self.context.clock.now_us();
            let choice_request = ChoiceRequest {
                excluded: &excluded,
                only: None,
                data_centres: None,
                class: 0,
                useful_us: None,
                waives_remote_cost: false,
                now_us,
            };
            let chosen = {
                let mut balancer = service.balancer();
                let choice = balancer.choose(&choice_request);
                choice.map(|choice| {
                    let view = &balancer.targets()[choice.index];
                    (choice.index, view.name.clone(), view.host.clone())
                })
            };
            let Some((index, target, host)) = chosen else {
                return Ok(Reply::Failed(refused(&Refusal::new(RefusalReason::NoTarget))));
            };
            excluded.push(index);
            let request =
                TicketsRequest { service: full_name.clone(), target: target.clone(), count: wanted as u32 };
            let Some(address) = service.address(&host) else { continue };
            let answer = self.context.client.request(address, &PeerRequest::Tickets(request)).await;
            if let Ok(PeerAnswer::Tickets { incarnation, first, count, lifetime_ms }) = answer
                && count > 0
            {
                let ticket = |number| Ticket {
                    service: full_name.clone(),
                    target: target.clone(),
                    incarnation,
                    number,
                };
                let tickets = (first..first + u64::from(count)).map(|number| ticket(number).to_string());
                let answer = TicketsAnswer { tickets: tickets.collect(), lifetime_ms };
                return Ok(Reply::Answered(json(StatusCode::OK, &answer)));
            }
        }
    }
}

fn read_tickets_query(query: &str) -> Result<(String, u64), Rejection> {
    let bad_query = || Rejection::new(StatusCode::BAD_REQUEST, "wanted: service=NAME&count=1 to 1000");
    let mut service = None;
    let mut wanted = 1;
    for pair in query.split('&') {
        match pair.split_once('=') {
            Some(("service", name)) => service = Some(name.to_owned()),
            Some(("count", number)) => wanted = number.parse().map_err(|_| bad_query())?,
            _ => return Err(bad_query()),
        }
    }
    if !(1..=TICKETS_MAX).contains(&wanted) {
        return Err(bad_query());
    }
    Ok((service.ok_or_else(bad_query)?, wanted))
}

fn read_ticket(parts: &Parts, full_name: &str) -> Result<Option<Ticket>, Rejection> {
    let mut values = parts.headers.get_all(TICKET).iter();
    let Some(value) = values.next() else { return Ok(None) };
    let bad_ticket = |message: &str| Rejection::new(StatusCode::BAD_REQUEST, message.to_owned());
    if values.next().is_some() {
        return Err(bad_ticket("more than one ticket"));
    }
    let ticket = Ticket::from_text(value.to_str().unwrap_or_default());
    let ticket = ticket.map_err(|error| bad_ticket(&error.to_string()))?;
    if ticket.service != full_name {
        return Err(bad_ticket("the ticket is for another service"));
    }
    Ok(Some(ticket))
}

fn bad_number(name: http::HeaderName) -> Rejection {
    Rejection::new(StatusCode::BAD_REQUEST, format!("{name} is not one number"))
}

impl Responder for Entry {
    fn may_run_concurrently(&self, head: &Parts) -> bool {
        self.may_repeat(head)
    }

    fn respond(&self, request: Request<BoxedBody>) -> BoxFuture<'_, Response<BoxedBody>> {
        Box::pin(self.handle(request))
    }
}

/// Converts a rule of the route table into the route of a request to `service`.
pub fn route_of(rule: &RouteRule, service: &str) -> Route {
    Route {
        may_repeat: rule.may_repeat,
        budget_ms: Some(rule.timeout_ms),
        latency_objective_ms: Some(rule.latency_objective_ms),
        tries: rule.tries,
        importance: rule.importance,
        is_public: rule.is_public,
        data_centres: rule.data_centres.clone(),
        class: xxhash_rust::xxh3::xxh3_64(rule.name.as_bytes()) as u32,
        ..Route::new(service)
    }
}

/// Builds a JSON response.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<BoxedBody> {
    let text = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(full_body(Bytes::from(text)));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(http::header::CONTENT_TYPE, content_type);
    response
}
