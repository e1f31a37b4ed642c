//! Routes: which service handles a request, and with which limits.

use crate::{
    problem::{Checker, is_name},
    workspace::check_data_centres,
};
use serde::{Deserialize, Serialize};
use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
};

/// Maximum number of routes of one team.
pub const ROUTES_MAX: usize = 10_000;
/// Maximum importance of a route.
pub const ROUTE_IMPORTANCE_MAX: u8 = 9;
/// Step of the low-discrepancy sequence that splits requests among services: 2^32 divided by the golden ratio.
///
/// Its multiples modulo 2^32 are spread evenly, so that each service gets its share after few requests.
const SPLIT_STEP: u32 = 2_654_435_769;

/// A service's share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteShare {
    /// The service's name within the team.
    pub service: String,
    /// The service's share, relative to the weights of the route's other services.
    pub weight: u32,
}

/// A route of a team's document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteRule {
    /// The route's name, which appears in logs.
    pub name: String,
    /// Host name that callers use, without a port.
    pub host: String,
    /// Prefix of the path; starts and ends with a slash. The route with the longest matching prefix applies.
    pub path_prefix: String,
    /// Whether requests may run more than once.
    #[serde(default)]
    pub may_repeat: bool,
    /// Whether callers need no key although the team's other routes need one.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_public: bool,
    /// Data centres in which the route's requests may be served; empty for all.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub data_centres: Vec<String>,
    /// Time limit of a request in ms.
    pub timeout_ms: u64,
    /// Latency objective in ms: an answer within it is in time.
    pub latency_objective_ms: u64,
    /// Maximum number of targets to which one request is sent.
    pub tries: u32,
    /// Importance, 0 to 9; calls of higher importance leave a queue first.
    pub importance: u8,
    /// The services that handle the requests, with their weights.
    #[serde(rename = "share")]
    pub shares: Vec<RouteShare>,
}

impl RouteRule {
    /// Reports all problems of the route; `services` are the names of the team's services.
    pub fn check(&self, check: &mut Checker<'_>, services: &[&str]) {
        let name = &self.name;
        check.ensure(is_name(name), "route.name", &format!("'{name}' is not 1 to 63 of a-z, 0-9 and '-'"));
        let is_host = !self.host.is_empty() && !self.host.contains([':', '/', ' ']);
        check.ensure(is_host, "route.host", &format!("'{}' must be a host name without a port", self.host));
        let prefix = &self.path_prefix;
        let is_prefix = prefix.starts_with('/') && prefix.ends_with('/');
        check.ensure(is_prefix, "route.path_prefix", &format!("'{prefix}' must start and end with '/'"));
        check.range("route.timeout_ms", self.timeout_ms, 1..=3_600_000);
        check.range("route.latency_objective_ms", self.latency_objective_ms, 1..=3_600_000);
        check.range("route.tries", self.tries, 1..=10);
        check.range("route.importance", self.importance, 0..=ROUTE_IMPORTANCE_MAX);
        check_data_centres(&self.data_centres, "route.data_centres", check);
        let total_weight = self.shares.iter().map(|share| u64::from(share.weight)).sum::<u64>();
        check.range("route.share", total_weight, 1..=1_000_000);
        for share in &self.shares {
            let is_known = services.contains(&share.service.as_str());
            check.ensure(
                is_known,
                "route.share",
                &format!("'{}' is not a service of the team", share.service),
            );
        }
    }
}

/// A route with the state of its split.
#[derive(Debug)]
struct RouteEntry {
    rule: Arc<RouteRule>,
    /// Sum of the weights of the route's services.
    total_weight: u64,
    /// Next value of the sequence that splits requests.
    next: AtomicU32,
}

/// A team's routes, indexed by host name and path prefix.
#[derive(Debug, Default)]
pub struct RouteTable {
    by_host: HashMap<String, HashMap<String, RouteEntry>>,
}

impl RouteTable {
    /// Creates a table of these routes. Of two routes with the same host and prefix the first one applies.
    ///
    /// `seed` sets where each route's split starts, so that nodes do not all choose the same service at once.
    pub fn new(rules: &[RouteRule], seed: u32) -> Self {
        let mut by_host: HashMap<String, HashMap<String, RouteEntry>> = HashMap::new();
        for (index, rule) in rules.iter().enumerate() {
            let total_weight = rule.shares.iter().map(|share| u64::from(share.weight)).sum();
            let next = AtomicU32::new(seed.wrapping_add(index as u32).wrapping_mul(SPLIT_STEP));
            let entry = RouteEntry { rule: Arc::new(rule.clone()), total_weight, next };
            let host_routes = by_host.entry(rule.host.to_ascii_lowercase()).or_default();
            host_routes.entry(rule.path_prefix.clone()).or_insert(entry);
        }
        Self { by_host }
    }

    /// Whether the table has no routes.
    pub fn is_empty(&self) -> bool {
        self.by_host.is_empty()
    }

    /// Finds the route of a request and chooses the service that handles it; `None` if no route matches.
    ///
    /// The time depends on the number of slashes in the path, not on the number of routes.
    pub fn find(&self, host: &str, path: &str) -> Option<(&Arc<RouteRule>, &str)> {
        let entry = self.entries(host, path).next()?;
        Some((&entry.rule, entry.next_service()))
    }

    /// Returns all routes whose host and prefix match a request, the one that applies first.
    pub fn matching_rules(&self, host: &str, path: &str) -> Vec<&Arc<RouteRule>> {
        self.entries(host, path).map(|entry| &entry.rule).collect()
    }

    /// Iterates over the matching entries, the longest prefix first.
    fn entries<'a, 'p>(
        &'a self,
        host: &str,
        path: &'p str,
    ) -> impl Iterator<Item = &'a RouteEntry> + use<'a, 'p> {
        let host_routes = self.by_host.get(host);
        let ends = path.rmatch_indices('/').map(|(index, _)| index + 1);
        ends.filter_map(move |end| host_routes?.get(&path[..end]))
    }
}

impl RouteEntry {
    /// Chooses the service of the next request, by weight.
    fn next_service(&self) -> &str {
        let shares = &self.rule.shares;
        if let [only] = shares.as_slice() {
            return &only.service;
        }
        let point = self.next.fetch_add(SPLIT_STEP, Ordering::Relaxed);
        let mut remainder = (u64::from(point) * self.total_weight) >> u32::BITS;
        for share in shares {
            let weight = u64::from(share.weight);
            if remainder < weight {
                return &share.service;
            }
            remainder -= weight;
        }
        unreachable!("the point is below the sum of all weights")
    }
}
