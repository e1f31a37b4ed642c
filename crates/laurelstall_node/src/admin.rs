//! The administration API of a node: reports its state and changes a few settings of the running node.

use crate::{
    active_config::{ActiveConfig, check_document},
    background::gauges,
    body::{Collected, collect, full_body},
    counters::Counters,
    decision_log::Decision,
    entry::{Entry, json},
    logging::set_level,
    metrics,
    responder::Responder,
    target_guard::TargetGuard,
};
use arc_swap::ArcSwap;
use futures_util::future::BoxFuture;
use http::{
    HeaderValue, Method, Request, Response, StatusCode,
    header::{AUTHORIZATION, CONTENT_TYPE},
    request::Parts,
};
use laurelstall_config::{
    document::{Document, DocumentName, Version},
    problem::Problem,
    settings::{Role, TokenSettings},
};
use laurelstall_peer::{body::BoxedBody, replicator::Replicator};
use serde::Deserialize;
use serde_json::{Value, json as value};
use std::{
    collections::HashMap,
    sync::{Arc, atomic::Ordering},
};
use subtle::ConstantTimeEq;
use tokio::time::Duration;

mod rows;

use rows::{RejectionRow, SuspectRow, TargetRow, WorkspaceRow};

/// Maximum size of the other fields of an administration request in bytes.
const FIELDS_BYTES_MAX: usize = 64 * 1024;
/// Maximum growth of a document by the escape sequences of a JSON string.
const ESCAPED_GROWTH: usize = 2;
/// Maximum time to read the body of an administration request.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// Content type of the metrics.
const METRICS_CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
/// Maximum number of rows in an answer.
const ROWS_MAX: usize = 1_000;

/// Serves the administration API.
#[derive(Debug)]
pub struct Admin {
    /// The entry that accepts callers' requests.
    pub entry: Arc<Entry>,
    /// The guard of the local target.
    pub guard: TargetGuard,
    /// The current configuration.
    pub active: Arc<ActiveConfig>,
    /// Replicates the configuration between nodes.
    pub replicator: Arc<Replicator>,
    /// Counters of the node.
    pub counters: Arc<Counters>,
    /// Bearer tokens. Without any, only clients on loopback have access, and only to read.
    pub tokens: ArcSwap<Vec<TokenSettings>>,
    /// Maximum size of a document to check in bytes.
    pub checked_bytes_max: usize,
    /// Whether the API listens on a loopback address.
    pub is_loopback: bool,
    /// Name of the host.
    pub host: String,
    /// Name of the host's data centre.
    pub data_centre: String,
}

/// An authenticated client of the API.
#[derive(Debug, Clone)]
struct Client {
    role: Role,
    /// The team whose services the client may see; empty for all teams.
    team: String,
}

impl Client {
    fn may_see(&self, service: &str) -> bool {
        self.team.is_empty() || service.split('/').next() == Some(self.team.as_str())
    }
}

/// Body of `POST /v1/check`: a document to check.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct CheckRequest {
    key: String,
    text: String,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct LevelRequest {
    level: String,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ReleaseRequest {
    /// Digest of the request, as in logs and in the answer of `GET /v1/held`.
    digest: String,
}

type Answer = Response<BoxedBody>;

impl Responder for Admin {
    fn respond(&self, request: Request<BoxedBody>) -> BoxFuture<'_, Answer> {
        Box::pin(self.answer(request))
    }
}

impl Admin {
    async fn answer(&self, request: Request<BoxedBody>) -> Answer {
        let (parts, body) = request.into_parts();
        let path = parts.uri.path().to_owned();
        match (&parts.method, path.as_str()) {
            (&Method::GET, "/v1/health") => return json(StatusCode::OK, &value!({ "healthy": true })),
            (&Method::GET, "/v1/ready") => return self.ready(),
            (&Method::GET, "/v1/metrics") => return self.metrics(),
            _ => {}
        }
        let Some(client) = self.authenticate(&parts) else {
            return problem(StatusCode::UNAUTHORIZED, "a bearer token is needed");
        };
        match (&parts.method, path.as_str()) {
            (&Method::GET, "/v1/status") => json(StatusCode::OK, &self.status()),
            (&Method::GET, "/v1/targets") => json(StatusCode::OK, &self.targets(&client)),
            (&Method::GET, "/v1/members") => json(StatusCode::OK, &self.members()),
            (&Method::GET, "/v1/config") => json(StatusCode::OK, &self.config()),
            (&Method::GET, "/v1/decisions") => json(StatusCode::OK, &self.decisions(&client)),
            (&Method::GET, "/v1/workspaces") => json(StatusCode::OK, &self.workspaces(&client)),
            (&Method::GET, "/v1/held") => json(StatusCode::OK, &self.suspects(&client)),
            (&Method::POST, "/v1/check") => check(body, self.checked_bytes_max).await,
            (&Method::POST, "/v1/drain") => self.drain(&client, true),
            (&Method::POST, "/v1/undrain") => self.drain(&client, false),
            (&Method::POST, "/v1/release") => self.release(&client, body).await,
            (&Method::POST, "/v1/log-level") => change_level(&client, body).await,
            _ => problem(StatusCode::NOT_FOUND, "no such resource"),
        }
    }

    /// Finds the client by its bearer token. Without tokens in the settings, clients on loopback may read.
    fn authenticate(&self, parts: &Parts) -> Option<Client> {
        let tokens = self.tokens.load();
        if tokens.is_empty() {
            return self.is_loopback.then(|| Client { role: Role::Read, team: String::new() });
        }
        let given = parts.headers.get(AUTHORIZATION)?.to_str().ok()?.strip_prefix("Bearer ")?;
        let mut found = None;
        // All tokens are compared in constant time to avoid a timing side channel.
        for token in tokens.iter() {
            if bool::from(token.secret.as_bytes().ct_eq(given.as_bytes())) {
                found = Some(Client { role: token.role, team: token.team.clone() });
            }
        }
        found
    }

    fn metrics(&self) -> Answer {
        let gauges = gauges(&self.guard, &self.entry, &self.replicator);
        let text = metrics::encode_metrics(
            self.counters.clone(),
            &self.entry.context.latencies,
            &self.active.version_delays,
            gauges,
        );
        let mut response = Response::new(full_body(text.into()));
        let content_type = HeaderValue::from_static(METRICS_CONTENT_TYPE);
        response.headers_mut().insert(CONTENT_TYPE, content_type);
        response
    }

    fn ready(&self) -> Answer {
        let is_stopping = self.entry.is_stopping.load(Ordering::Relaxed);
        let is_ready =
            self.replicator.is_joined() && !self.active.load().configuration.teams.is_empty() && !is_stopping;
        let status = if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        json(status, &value!({ "ready": is_ready }))
    }

    fn status(&self) -> Value {
        let load = self.guard.guard().load();
        let overload = self.guard.guard().overload_state();
        let observed = self.entry.context.observer.usage();
        let meter = self.entry.context.client.pool().meter();
        let counters = self.counters.all().into_iter().map(|(name, count)| (name.to_owned(), count.into()));
        value!({
            "host": self.host,
            "data_centre": self.data_centre,
            "version": env!("CARGO_PKG_VERSION"),
            "incarnation": format!("{:x}", self.guard.incarnation()),
            "is_draining": load.is_draining,
            "is_evacuated": self.guard.is_evacuated(),
            "in_flight": load.in_flight,
            "queued": load.queued,
            "limit": load.limit,
            "rate_limit_milli_per_s": self.guard.rate_limit_milli_per_s(),
            "link_mbps": self.guard.link().map(|link| link.link_mbps()),
            "link_waiting_bytes": self.guard.link().map(|link| link.waiting_bytes()),
            "is_overloaded": overload.map(|overload| overload.is_overloaded),
            "admission_threshold": overload.map(|overload| overload.threshold.to_string()),
            "open_tickets": self.guard.open_tickets(),
            "observe_bytes": observed.bytes,
            "observe_messages": observed.messages,
            "observe_refused": observed.refused,
            "control_bytes": meter.control_bytes.load(Ordering::Relaxed),
            "peer_connections": meter.open.load(Ordering::Relaxed),
            "counters": serde_json::Map::from_iter(counters),
        })
    }

    fn targets(&self, client: &Client) -> Vec<TargetRow> {
        let now_us = self.entry.context.clock.now_us();
        let mut rows = Vec::new();
        for service in self.entry.services.all() {
            if !client.may_see(&service.name) {
                continue;
            }
            for view in service.balancer().targets() {
                let hint = view.hint(now_us);
                rows.push(TargetRow {
                    service: service.name.clone(),
                    target: view.name.clone(),
                    host: view.host.clone(),
                    is_live: view.is_live,
                    is_leaving: view.is_leaving,
                    rate_limit_per_s: view.rate_limit_per_s(),
                    is_eligible: view.is_eligible(now_us),
                    in_flight: view.in_flight(),
                    error_rate: view.error_rate(now_us),
                    latency_us: view.latency_us() as u64,
                    ejections: view.ejection.times(),
                    hint_age_ms: hint.map(|(_, age_us)| age_us / 1_000),
                    hint: hint.map(|(hint, _)| hint.into()),
                });
            }
        }
        rows.sort_by(|a, b| (&a.service, &a.target).cmp(&(&b.service, &b.target)));
        rows.truncate(ROWS_MAX);
        rows
    }

    fn members(&self) -> Value {
        let snapshot = self.active.load();
        let now_us = self.entry.context.clock.now_us();
        let partners = self.replicator.partner_states().into_iter().map(|(address, state)| {
            value!({
                "address": address.to_string(),
                "is_reached": state.has_answered,
                "is_in_step": state.has_same_versions,
                "age_ms": now_us.saturating_sub(state.at_us) / 1_000,
            })
        });
        let fleet = &snapshot.configuration.fleet;
        let hosts = fleet.hosts.iter().take(ROWS_MAX);
        value!({
            "partners": partners.collect::<Vec<_>>(),
            "evacuated": fleet.evacuated,
            "hosts": hosts.collect::<Vec<_>>(),
        })
    }

    fn config(&self) -> Value {
        let snapshot = self.active.load();
        let versions = snapshot.configuration.versions.iter();
        let versions = versions.map(|(name, version)| (name.to_string(), version.to_string().into()));
        // Called before `store` is locked, because it locks the store itself.
        let platform_era = self.replicator.platform_era();
        let store = self.replicator.store();
        let refused =
            store.rejected().map(|(name, rejected)| (name.to_string(), rejected.version.to_string().into()));
        let rejections = store.rejected().map(|(name, rejected)| RejectionRow::new(name, rejected));
        let conflicts = snapshot.configuration.caller_host_conflicts();
        let withheld = snapshot.configuration.teams.values().flat_map(|team| &team.withheld);
        value!({
            "versions": serde_json::Map::from_iter(versions),
            "refused": serde_json::Map::from_iter(refused),
            "rejections": rejections.collect::<Vec<_>>(),
            "withheld": withheld.map(Problem::to_string).collect::<Vec<_>>(),
            "version_conflicts": store.conflicts(),
            "caller_host_conflicts": conflicts,
            "is_reader": self.replicator.is_reader(),
            "platform_read_age_ms": self.replicator.platform_read_age_ms(),
            "platform_era": platform_era,
            "platform_returns": self.active.restores.load(Ordering::Relaxed),
        })
    }

    fn decisions(&self, client: &Client) -> Vec<Decision> {
        let recent = self.entry.context.decisions.recent(ROWS_MAX);
        recent.into_iter().filter(|decision| client.may_see(&decision.service)).collect()
    }

    /// Lists workspaces, those with the most refused calls first.
    fn workspaces(&self, client: &Client) -> Vec<WorkspaceRow> {
        let snapshot = self.active.load();
        let counts = self.entry.quotas.counts();
        let mut owned: HashMap<String, Vec<f64>> = HashMap::new();
        for (key, level) in self.entry.quotas.levels() {
            owned.entry(key.workspace).or_default().push(level.floor());
        }
        let mut rows = Vec::new();
        for (team, directory) in &snapshot.keys {
            for workspace in directory.workspaces() {
                let name = format!("{team}/{}", workspace.name);
                if !client.may_see(&name) {
                    continue;
                }
                let counts = counts.get(&name).copied().unwrap_or_default();
                rows.push(WorkspaceRow {
                    calls_per_s: workspace.quota.map(|quota| quota.calls_per_s),
                    burst: workspace.quota.map(|quota| quota.burst),
                    taken: counts.taken,
                    spent: counts.spent,
                    unanswered: counts.unanswered,
                    owned_tokens: owned.remove(&name).unwrap_or_default(),
                    workspace: name,
                });
            }
        }
        rows.sort_by(|a, b| (b.spent, b.taken, &a.workspace).cmp(&(a.spent, a.taken, &b.workspace)));
        rows.truncate(ROWS_MAX);
        rows
    }

    /// Lists requests that were running when targets crashed.
    fn suspects(&self, client: &Client) -> Vec<SuspectRow> {
        let states = self.replicator.crashes().suspects().into_iter();
        states.filter(|state| client.may_see(&state.service)).map(SuspectRow::from).collect()
    }

    /// Releases a quarantined request at all nodes.
    async fn release(&self, client: &Client, body: BoxedBody) -> Answer {
        let request = match read_json::<ReleaseRequest>(body, FIELDS_BYTES_MAX).await {
            Ok(request) => request,
            Err(answer) => return answer,
        };
        let crashes = self.replicator.crashes();
        let state = crashes.suspects().into_iter().find(|state| state.digest.to_string() == request.digest);
        let Some(state) = state.filter(|state| client.may_see(&state.service)) else {
            return problem(StatusCode::NOT_FOUND, "no crash is recorded for a request with this digest");
        };
        if client.role < Role::Operate {
            return problem(StatusCode::FORBIDDEN, "this needs the role 'operate' for the service's team");
        }
        json(StatusCode::OK, &value!({ "is_released": crashes.release(state.digest.whole) }))
    }

    fn drain(&self, client: &Client, is_draining: bool) -> Answer {
        let snapshot = self.active.load();
        let local_service = snapshot
            .configuration
            .services()
            .find(|(_, service)| service.targets.iter().any(|t| t.host == self.host));
        let may_drain = local_service.is_none_or(|(name, _)| client.may_see(&name));
        if client.role < Role::Operate || !may_drain {
            return problem(StatusCode::FORBIDDEN, "this needs the role 'operate' for the target's team");
        }
        self.guard.set_operator_drain(is_draining);
        json(StatusCode::OK, &value!({ "is_draining": self.guard.guard().is_draining() }))
    }
}

async fn change_level(client: &Client, body: BoxedBody) -> Answer {
    if client.role < Role::Operate {
        return problem(StatusCode::FORBIDDEN, "this needs the role 'operate'");
    }
    match read_json::<LevelRequest>(body, FIELDS_BYTES_MAX).await {
        Ok(request) if set_level(&request.level) => json(StatusCode::OK, &value!({ "level": request.level })),
        Ok(_) => problem(StatusCode::BAD_REQUEST, "no such level"),
        Err(answer) => answer,
    }
}

async fn check(body: BoxedBody, document_bytes_max: usize) -> Answer {
    let bytes_max = document_bytes_max * ESCAPED_GROWTH + FIELDS_BYTES_MAX;
    let request = match read_json::<CheckRequest>(body, bytes_max).await {
        Ok(request) => request,
        Err(answer) => return answer,
    };
    let Some(name) = DocumentName::from_key(&request.key) else {
        return problem(StatusCode::BAD_REQUEST, "key must be fleet, system or team/NAME");
    };
    let document = Document { name, version: Version::MAX, text: request.text };
    let problems = match check_document(&document) {
        Ok(_) => Vec::new(),
        Err(error) => error.problems().iter().map(Problem::to_string).collect(),
    };
    json(StatusCode::OK, &value!({ "is_right": problems.is_empty(), "problems": problems }))
}

async fn read_json<T: for<'de> Deserialize<'de>>(body: BoxedBody, bytes_max: usize) -> Result<T, Answer> {
    match collect(body, bytes_max, BODY_TIMEOUT).await {
        Ok(Collected::Complete(bytes)) => serde_json::from_slice(&bytes)
            .map_err(|error| problem(StatusCode::BAD_REQUEST, &error.to_string())),
        Ok(Collected::Partial(_)) => Err(problem(StatusCode::PAYLOAD_TOO_LARGE, "body too large or slow")),
        Err(_) => Err(problem(StatusCode::BAD_REQUEST, "body broke off")),
    }
}

fn problem(status: StatusCode, message: &str) -> Answer {
    json(status, &value!({ "error": message }))
}
