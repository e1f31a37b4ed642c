//! Workspaces: groups of a team's callers, identified by their keys, with an importance, a share and a rate limit.

use crate::{
    data_centre_names::check_data_centres, key_digest::KeyDigest, problem::Checker,
    route::ROUTE_IMPORTANCE_MAX,
};
use serde::{Deserialize, Serialize};
use std::collections::HashSet;

/// Maximum length of a workspace's name in bytes; the name is sent in a header field of each call.
pub const WORKSPACE_NAME_BYTES_MAX: usize = 200;
/// Maximum rate of a quota in calls per second, and maximum burst in calls.
const QUOTA_MAX: f64 = 1e9;
/// Maximum weight of a workspace.
const WEIGHT_MAX: u32 = 1_000;

/// The rate limit of a workspace, summed over all nodes.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Quota {
    /// Sustained rate in calls per second.
    pub calls_per_s: f64,
    /// Burst: number of calls that may come at once on top of the rate.
    #[serde(default)]
    pub burst: f64,
}

/// One workspace of a team.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// The workspace's name, unique in its team; targets receive it in a header field.
    pub name: String,
    /// Digests of the keys of the workspace's callers.
    #[serde(default)]
    pub keys: Vec<KeyDigest>,
    /// Importance of the workspace's calls, 0 to 9, which overrides that of their routes; `None` if the route decides.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub importance: Option<u8>,
    /// The workspace's share of a busy target, relative to the other workspaces that call the target.
    #[serde(default = "weight_default")]
    pub weight: u32,
    /// Data centres in which the workspace's calls may be served; empty for all.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub data_centres: Vec<String>,
    /// The workspace's rate limit; `None` if its calls are not limited.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub quota: Option<Quota>,
}

fn weight_default() -> u32 {
    1
}

impl Workspace {
    /// Creates a workspace without keys and quota, whose calls may be served in all data centres.
    pub fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            keys: Vec::new(),
            importance: None,
            weight: weight_default(),
            data_centres: Vec::new(),
            quota: None,
        }
    }

    /// Reports all problems of a team's workspaces, including keys that two of them share.
    pub fn check_all(workspaces: &[Self], check: &mut Checker<'_>) {
        let mut names = HashSet::new();
        let mut keys = HashSet::new();
        for workspace in workspaces {
            let name = &workspace.name;
            check.ensure_with(names.insert(name), "workspace.name", || format!("'{name}' is listed twice"));
            workspace.check(check);
            workspace.check_keys(&mut keys, check);
        }
    }

    /// Reports the workspace's keys that are among `known`, and adds them to it.
    fn check_keys<'a>(&'a self, known: &mut HashSet<&'a KeyDigest>, check: &mut Checker<'_>) {
        let name = &self.name;
        for key in &self.keys {
            if !known.insert(key) {
                let message =
                    format!("a key of '{name}' is listed twice, in this workspace or in another one");
                check.add_problem_at_text(&key.to_string(), "workspace.keys", &message);
            }
        }
    }

    fn check(&self, check: &mut Checker<'_>) {
        let name = &self.name;
        let is_printable = name.bytes().all(|byte| byte.is_ascii_graphic());
        let is_valid_name = is_printable && (1..=WORKSPACE_NAME_BYTES_MAX).contains(&name.len());
        check.ensure(is_valid_name, "workspace.name", "must be 1 to 200 visible ASCII characters");
        let importance = self.importance.unwrap_or(0);
        check.range("workspace.importance", importance, 0..=ROUTE_IMPORTANCE_MAX);
        check.range("workspace.weight", self.weight, 1..=WEIGHT_MAX);
        check_data_centres(&self.data_centres, "workspace.data_centres", check);
        if let Some(quota) = self.quota {
            check.range("workspace.quota.calls_per_s", quota.calls_per_s, f64::MIN_POSITIVE..=QUOTA_MAX);
            check.range("workspace.quota.burst", quota.burst, 0.0..=QUOTA_MAX);
        }
    }
}
