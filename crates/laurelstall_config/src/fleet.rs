//! The fleet document: the platform's list of live and leaving hosts.

use crate::{
    problem::{Checker, ConfigError, is_name},
    target_bounds::{COLD_MS_MAX, SLOTS_MAX},
};
use serde::{Deserialize, Serialize};
use std::{
    collections::{HashMap, HashSet},
    net::{IpAddr, SocketAddr},
};

/// Maximum number of evacuated data centres in a fleet document.
pub const EVACUATED_MAX: usize = 256;

/// The state of a host in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// The host is in service.
    Live,
    /// The host is about to leave and gets no new requests.
    Leaving,
}

/// Derives a host's name from its IP address, for platforms that do not name their hosts.
pub fn host_name(ip: IpAddr) -> String {
    ip.to_string().replace(['.', ':'], "-")
}

/// One host of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Host {
    /// The host's name.
    pub name: String,
    /// Address at which the host's node accepts connections from other nodes.
    pub node_address: SocketAddr,
    /// The host's data centre.
    pub data_centre: String,
    /// Whether the host is in service.
    pub state: HostState,
}

/// A target that registered itself with the platform, in addition to those that the teams' documents list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetTarget {
    /// Full name of the target's service, `team/service`.
    pub service: String,
    /// The target's name, which it keeps over restarts.
    pub name: String,
    /// Name of the host that the target runs on.
    pub host: String,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Remaining time of the target's cold start in ms when the list was written; 0 if it is warm.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub cold_ms: u64,
    /// When the target started, in ms of Unix time by its own clock; 0 if unknown. Any other value, also an earlier one,
    /// means that the target was restarted and lost its state: its clock may have been set back.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub started_unix_ms: u64,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes a reference")]
fn is_zero(ms: &u64) -> bool {
    *ms == 0
}

/// The fleet document. It lags behind the actual state of hosts and targets.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Data centres that operators have evacuated: their targets get no new calls, while their nodes continue to accept
    /// callers, to exchange state with other nodes and to read the platform.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub evacuated: Vec<String>,
    /// All hosts, live and leaving.
    #[serde(default, rename = "host")]
    pub hosts: Vec<Host>,
    /// Targets that registered themselves with the platform.
    #[serde(default, rename = "target")]
    pub targets: Vec<FleetTarget>,
}

impl Fleet {
    /// Parses and checks a fleet document; `file` is its name in error messages.
    ///
    /// # Errors
    ///
    /// Returns all problems found in `text`.
    pub fn from_text(file: &str, text: &str) -> Result<Self, ConfigError> {
        let mut check = Checker::new(file, text);
        let fleet: Self = check.parse().unwrap_or_default();
        check.ensure(fleet.evacuated.len() <= EVACUATED_MAX, "evacuated", "too many data centres");
        let mut evacuated = HashSet::new();
        for name in &fleet.evacuated {
            check.ensure(is_name(name), "evacuated", &format!("'{name}' is not 1 to 63 of a-z, 0-9 and '-'"));
            check.ensure(evacuated.insert(name), "evacuated", &format!("'{name}' is listed twice"));
        }
        let mut names = HashSet::new();
        for host in &fleet.hosts {
            check.ensure_with(is_name(&host.name), "name", || {
                format!("'{}' is not 1 to 63 of a-z, 0-9 and '-'", host.name)
            });
            check.ensure(is_name(&host.data_centre), "data_centre", "must be 1 to 63 of a-z, 0-9 and '-'");
            check.ensure_with(names.insert(&host.name), "name", || {
                format!("host '{}' is listed twice", host.name)
            });
        }
        let mut target_hosts = HashSet::new();
        for target in &fleet.targets {
            let is_full_name = target.service.split_once('/').is_some_and(|(t, s)| is_name(t) && is_name(s));
            check.ensure(is_full_name, "target.service", "must be 'team/service'");
            check.ensure_with(is_name(&target.name), "target.name", || {
                format!("'{}' is not 1 to 63 of a-z, 0-9 and '-'", target.name)
            });
            check.range("target.slots", target.slots, 1..=SLOTS_MAX);
            check.range("target.cold_ms", target.cold_ms, 0..=COLD_MS_MAX);
            check.ensure(names.contains(&target.host), "target.host", "is not a host of the fleet");
            check.ensure_with(target_hosts.insert(&target.host), "target.host", || {
                format!("host '{}' has two targets", target.host)
            });
        }
        check.finish().map(|()| fleet)
    }

    /// Returns this fleet with the live hosts that only `before` lists and their targets added; `None` if there are no
    /// such targets.
    ///
    /// A host that this fleet still lists gets none of its earlier targets back.
    pub fn with_missing_targets(&self, before: &Self) -> Option<Self> {
        let mut kept = self.clone();
        let listed = self.hosts.iter().map(|host| host.name.as_str()).collect::<HashSet<_>>();
        let missing = before.hosts.iter().filter(|host| !listed.contains(host.name.as_str()));
        let missing = missing.filter(|host| host.state == HostState::Live);
        let missing = missing.map(|host| (host.name.as_str(), host)).collect::<HashMap<_, _>>();
        for target in &before.targets {
            let Some(host) = missing.get(target.host.as_str()) else { continue };
            kept.hosts.push((*host).clone());
            kept.targets.push(target.clone());
        }
        (kept.targets.len() > self.targets.len()).then_some(kept)
    }

    /// Finds a host by name with a linear search.
    pub fn host(&self, name: &str) -> Option<&Host> {
        self.hosts.iter().find(|host| host.name == name)
    }

    /// Whether targets on `host` get new calls: the host is live and its data centre is not evacuated.
    pub fn accepts_calls(&self, host: &Host) -> bool {
        host.state == HostState::Live && !self.is_evacuated(&host.data_centre)
    }

    /// Whether operators have evacuated this data centre.
    pub fn is_evacuated(&self, data_centre: &str) -> bool {
        self.evacuated.iter().any(|name| name == data_centre)
    }

    /// Whether a host of the fleet has a node at this address.
    pub fn has_node(&self, address: SocketAddr) -> bool {
        self.hosts.iter().any(|host| host.node_address == address)
    }

    /// Whether a host of the fleet has this IP address.
    pub fn has_ip(&self, ip: IpAddr) -> bool {
        self.hosts.iter().any(|host| host.node_address.ip() == ip)
    }
}
