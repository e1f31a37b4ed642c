//! A team's document: host names of its callers, routes, routing program, services, targets and workspaces.

use crate::{
    load_control::LoadControl,
    problem::{Checker, ConfigError, Problem, is_name},
    route::{RouteRule, check_host_name},
    target_bounds::{COLD_MS_MAX, SLOTS_MAX},
    workspace::Workspace,
};
use serde::{Deserialize, Serialize};
use std::collections::HashSet;

/// Maximum number of calls per second that a cold target may get.
pub const COLD_CALLS_PER_S_MAX: u32 = 1_000_000;
/// Maximum length of a routing program in bytes.
pub const PROGRAM_BYTES_MAX: usize = 64 * 1024;

/// Header by which a target marks an answer to a request that it refused before running any of it.
pub const SHED_HEADER: &str = "laurelstall-shed";

/// Limits of a service, for the guards of its targets and for the entry nodes that call it.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServiceLimits {
    /// Maximum length of a guard's queue, per slot of its target.
    pub queue_per_slot: u32,
    /// Maximum time that a call waits in a guard's queue in ms.
    pub queue_wait_max_ms: u64,
    /// Whether a guard may hold calls until its target's slow phase ends, if they are then more likely to be in time.
    pub may_hold: bool,
    /// Maximum number of times that a waiting call is handed back to its entry node; 0 disables handing back.
    pub hand_backs_max: u32,
    /// Initial concurrency limit of a target, in percent of its slots.
    pub slots_start_percent: u32,
    /// Minimum concurrency limit of a target, in percent of its slots.
    pub slots_floor_percent: u32,
    /// Maximum share of the service's targets that may be ejected as outliers, in percent.
    pub ejected_max_percent: u32,
    /// Duration of a target's first ejection in ms.
    pub ejection_ms: u64,
    /// Duration of the slow start of a target that is new or was ejected, in ms.
    pub slow_start_ms: u64,
    /// Maximum number of calls that a cold target may get within any second, above which it fails; 0 for no limit.
    pub cold_calls_per_s: u32,
    /// Duration of a target's cold start in ms; 0 if unknown.
    pub cold_start_ms: u64,
    /// Retry budget in percent of successful calls.
    pub retry_percent: u32,
    /// Number of retries that all nodes together may make in ten seconds on top of `retry_percent`.
    pub retry_reserve: u32,
    /// Hedge budget in percent of calls.
    pub hedge_percent: u32,
    /// Status of answers with [`SHED_HEADER`] to requests that did not run; 0 for none.
    pub shed_status: u16,
    /// Maximum number of open tickets at one guard.
    pub tickets_max: usize,
    /// Lifetime of a ticket in ms.
    pub ticket_lifetime_ms: u64,
    /// Maximum size of an answer that a guard stores for a repeated use of its ticket, in bytes.
    pub kept_answer_bytes: usize,
    /// The parts of load control that the service uses.
    #[serde(skip_serializing_if = "LoadControl::is_off")]
    pub load: LoadControl,
}

impl Default for ServiceLimits {
    fn default() -> Self {
        Self {
            queue_per_slot: 4,
            queue_wait_max_ms: 1_000,
            may_hold: true,
            hand_backs_max: 8,
            slots_start_percent: 100,
            slots_floor_percent: 100,
            ejected_max_percent: 34,
            ejection_ms: 1_000,
            slow_start_ms: 2_000,
            cold_calls_per_s: 0,
            cold_start_ms: 0,
            retry_percent: 10,
            retry_reserve: 40,
            hedge_percent: 3,
            shed_status: 503,
            tickets_max: 20_000,
            ticket_lifetime_ms: 300_000,
            kept_answer_bytes: 16 * 1024,
            load: LoadControl::default(),
        }
    }
}

impl ServiceLimits {
    fn check(&self, check: &mut Checker<'_>) {
        check.range("limits.queue_per_slot", self.queue_per_slot, 0..=1_000);
        check.range("limits.queue_wait_max_ms", self.queue_wait_max_ms, 0..=60_000);
        check.range("limits.hand_backs_max", self.hand_backs_max, 0..=32);
        check.range("limits.slots_start_percent", self.slots_start_percent, 1..=100);
        check.range("limits.slots_floor_percent", self.slots_floor_percent, 1..=100);
        check.range("limits.ejected_max_percent", self.ejected_max_percent, 0..=80);
        check.range("limits.ejection_ms", self.ejection_ms, 10..=600_000);
        check.range("limits.slow_start_ms", self.slow_start_ms, 0..=600_000);
        check.range("limits.cold_calls_per_s", self.cold_calls_per_s, 0..=COLD_CALLS_PER_S_MAX);
        check.range("limits.cold_start_ms", self.cold_start_ms, 0..=COLD_MS_MAX);
        check.range("limits.retry_percent", self.retry_percent, 0..=100);
        check.range("limits.retry_reserve", self.retry_reserve, 0..=1_000_000);
        check.range("limits.hedge_percent", self.hedge_percent, 0..=50);
        let is_status = self.shed_status == 0 || (400..=599).contains(&self.shed_status);
        check.ensure(is_status, "limits.shed_status", "must be 0 or 400 to 599");
        check.range("limits.tickets_max", self.tickets_max, 0..=1_000_000);
        check.range("limits.ticket_lifetime_ms", self.ticket_lifetime_ms, 1_000..=86_400_000);
        check.range("limits.kept_answer_bytes", self.kept_answer_bytes, 0..=1_000_000);
    }
}

/// A target of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// The target's name, unique in its service.
    pub name: String,
    /// Name of the host that the target runs on; the node on this host is the target's guard.
    pub host: String,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Maximum number of concurrent connections.
    #[serde(default = "connections_default")]
    pub connections: u32,
    /// When the target started according to its registration, in ms of Unix time; 0 if unknown.
    #[serde(skip)]
    pub started_unix_ms: u64,
}

fn connections_default() -> u32 {
    200
}

/// A service of a team.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The service's name, unique in its team.
    pub name: String,
    /// Path at which targets report their load; empty if there is none.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub load_path: String,
    /// The service's limits.
    #[serde(default)]
    pub limits: ServiceLimits,
    /// The service's targets.
    #[serde(default, rename = "target")]
    pub targets: Vec<Target>,
}

impl Service {
    fn check(&self, check: &mut Checker<'_>) {
        check.ensure(
            is_name(&self.name),
            "service.name",
            &format!("'{}' is not 1 to 63 of a-z, 0-9 and '-'", self.name),
        );
        let is_path = self.load_path.is_empty() || self.load_path.starts_with('/');
        check.ensure(is_path, "service.load_path", "must start with a slash");
        self.limits.check(check);
        let mut names = HashSet::new();
        let mut hosts = HashSet::new();
        for target in &self.targets {
            let name = &target.name;
            check.ensure(
                is_name(name),
                "target.name",
                &format!("'{name}' is not 1 to 63 of a-z, 0-9 and '-'"),
            );
            check.ensure(names.insert(name), "target.name", &format!("'{name}' is listed twice"));
            let message = format!("host '{}' has two targets of one service", target.host);
            check.ensure(hosts.insert(&target.host), "target.host", &message);
            check.range("target.slots", target.slots, 1..=SLOTS_MAX);
            check.range("target.connections", target.connections, 1..=100_000);
        }
    }
}

/// A team's document.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// The team's name, which must be the one in the document's name.
    pub team: String,
    /// Host names that callers of this team use, without ports, in addition to those of `routes`.
    #[serde(default)]
    pub caller_hosts: Vec<String>,
    /// The routing program for requests that match no route; empty for none.
    #[serde(default)]
    pub program: String,
    /// Whether callers must send the key of a workspace, except on public routes.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub needs_keys: bool,
    /// Routes, which take precedence over the routing program.
    #[serde(default, rename = "route")]
    pub routes: Vec<RouteRule>,
    /// The team's services.
    #[serde(default, rename = "service")]
    pub services: Vec<Service>,
    /// The team's workspaces.
    #[serde(default, rename = "workspace", skip_serializing_if = "Vec::is_empty")]
    pub workspaces: Vec<Workspace>,
    /// Problems of the parts that were withheld; see [`Team::usable_from_text`].
    #[serde(skip)]
    pub withheld: Vec<Problem>,
}

impl Team {
    /// Parses and checks a team's document; `file` is its name in error messages.
    ///
    /// # Errors
    ///
    /// Returns all problems found in `text`.
    pub fn from_text(file: &str, text: &str) -> Result<Self, ConfigError> {
        let team = Self::usable_from_text(file, text)?;
        match team.withheld.is_empty() {
            true => Ok(team),
            false => Err(ConfigError::Invalid(team.withheld)),
        }
    }

    /// Parses a team's document and withholds its invalid parts, so that all others take effect.
    ///
    /// Invalid services are removed. An invalid route keeps its host and path prefix, but no service: its requests are
    /// refused, rather than handled by the route with the next shorter prefix. An invalid workspace makes the whole document
    /// invalid, since it is then unclear whose keys are accepted.
    ///
    /// # Errors
    ///
    /// Returns all problems if the document as a whole is not valid.
    pub fn usable_from_text(file: &str, text: &str) -> Result<Self, ConfigError> {
        let mut check = Checker::new(file, text);
        let Some(mut team) = check.parse::<Self>() else {
            return Err(check.finish().expect_err("parsing added a problem"));
        };
        team.check_whole(&mut check);
        let mut parts = Checker::new(file, text);
        team.withhold_invalid_parts(&mut parts);
        team.withheld = parts.into_problems();
        let mut problems = check.into_problems();
        if problems.is_empty() {
            return Ok(team);
        }
        problems.append(&mut team.withheld);
        Err(ConfigError::Invalid(problems))
    }

    fn check_whole(&self, check: &mut Checker<'_>) {
        check.ensure(
            is_name(&self.team),
            "team",
            &format!("'{}' is not 1 to 63 of a-z, 0-9 and '-'", self.team),
        );
        for host in &self.caller_hosts {
            check_host_name(host, "caller_hosts", check);
        }
        let needs_program = !self.caller_hosts.is_empty() && self.routes.is_empty();
        check.range("program", self.program.len(), usize::from(needs_program)..=PROGRAM_BYTES_MAX);
        Workspace::check_all(&self.workspaces, check);
    }

    fn withhold_invalid_parts(&mut self, check: &mut Checker<'_>) {
        let mut names = HashSet::new();
        self.services.retain(|service| {
            check.is_valid(|check| {
                let message = format!("'{}' is listed twice", service.name);
                check.ensure(names.insert(service.name.clone()), "service.name", &message);
                service.check(check);
            })
        });
        let services = self.services.iter().map(|service| service.name.as_str()).collect();
        self.routes.retain_mut(|route| {
            let can_match = check.is_valid(|check| route.check_match(check));
            let can_run = check.is_valid(|check| route.check_run(check, &services));
            if !can_run {
                route.shares.clear();
            }
            can_match
        });
    }

    /// Finds a service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }
}
