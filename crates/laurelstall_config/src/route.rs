//! Routes: which service handles a request, and with which limits.

use crate::{data_centre_names::check_data_centres, problem::Checker};
use serde::{Deserialize, Serialize};
use std::{
    collections::{HashMap, HashSet},
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
};

/// Maximum importance of a route.
pub const ROUTE_IMPORTANCE_MAX: u8 = 9;
/// Maximum time limit and latency objective of a route in ms.
pub const ROUTE_TIME_MAX_MS: u64 = 3_600_000;
/// Maximum number of targets to which one request is sent.
pub const ROUTE_TRIES_MAX: u32 = 10;
/// Maximum length of a host name in bytes, from the domain name system (RFC 1035).
pub const HOST_NAME_BYTES_MAX: usize = 253;
/// Maximum length of a route's name in bytes.
const ROUTE_NAME_BYTES_MAX: usize = 255;
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
    /// The services that handle the requests, with their weights. Requests of a route without services are refused.
    #[serde(rename = "share")]
    pub shares: Vec<RouteShare>,
}

impl RouteRule {
    /// Reports the problems of the route's name, limits and services; `services` are the names of the team's services.
    pub fn check_run(&self, check: &mut Checker<'_>, services: &HashSet<&str>) {
        let is_name = (1..=ROUTE_NAME_BYTES_MAX).contains(&self.name.len());
        check.ensure(is_name, "route.name", "must be 1 to 255 bytes");
        check.range("route.timeout_ms", self.timeout_ms, 1..=ROUTE_TIME_MAX_MS);
        check.range("route.latency_objective_ms", self.latency_objective_ms, 1..=ROUTE_TIME_MAX_MS);
        check.range("route.tries", self.tries, 1..=ROUTE_TRIES_MAX);
        check.range("route.importance", self.importance, 0..=ROUTE_IMPORTANCE_MAX);
        check_data_centres(&self.data_centres, "route.data_centres", check);
        let total_weight = self.shares.iter().map(|share| u64::from(share.weight)).sum::<u64>();
        check.range("route.share", total_weight, 1..=u64::from(u32::MAX));
        for share in &self.shares {
            let is_known = services.contains(share.service.as_str());
            check.ensure_with(is_known, "route.share", || {
                format!("'{}' is not a service of the team", share.service)
            });
        }
    }

    /// Reports the problems of host and path prefix, without which no request matches the route.
    pub fn check_match(&self, check: &mut Checker<'_>) {
        check_host_name(&self.host, "route.host", check);
        let prefix = &self.path_prefix;
        let is_prefix = prefix.starts_with('/') && prefix.ends_with('/');
        check.ensure_with(is_prefix, "route.path_prefix", || {
            format!("'{prefix}' must start and end with '/'")
        });
    }
}

/// Reports a host name of callers that is not valid.
pub(crate) fn check_host_name(host: &str, field: &str, check: &mut Checker<'_>) {
    let is_host = (1..=HOST_NAME_BYTES_MAX).contains(&host.len()) && !host.contains([':', '/', ' ']);
    check.ensure_with(is_host, field, || format!("'{host}' must be a host name without a port"));
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

    /// Finds the route of a request and chooses the service that handles it; `None` if no route matches. The service is
    /// `None` if the route has none, and its requests are refused.
    ///
    /// The time depends on the number of slashes in the path, not on the number of routes.
    pub fn find(&self, host: &str, path: &str) -> Option<(&Arc<RouteRule>, Option<&str>)> {
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
    fn next_service(&self) -> Option<&str> {
        let shares = &self.rule.shares;
        if let [only] = shares.as_slice() {
            return Some(&only.service);
        }
        let point = self.next.fetch_add(SPLIT_STEP, Ordering::Relaxed);
        let mut remainder = (u64::from(point) * self.total_weight) >> u32::BITS;
        for share in shares {
            let weight = u64::from(share.weight);
            if remainder < weight {
                return Some(&share.service);
            }
            remainder -= weight;
        }
        None
    }
}
