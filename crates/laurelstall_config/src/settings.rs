//! A node's settings file, read once at start.

use crate::{
    fleet::host_name,
    problem::{Checker, ConfigError, is_name},
};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, net::SocketAddr};

/// The node's identity, addresses and shutdown.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// The host's name in the platform's list; derived from `peer_address` if empty.
    #[serde(default)]
    pub host: String,
    /// The host's data centre.
    pub data_centre: String,
    /// Address to which callers connect.
    pub entry_address: SocketAddr,
    /// Address to which other nodes connect.
    pub peer_address: SocketAddr,
    /// Address of the administration API.
    pub admin_address: SocketAddr,
    /// Whether to accept connections of nodes that the fleet document does not list. Needed where targets register
    /// themselves: a node whose target has not registered yet already calls other nodes.
    #[serde(default)]
    pub takes_unlisted_peers: bool,
    /// Time in ms for which a stopping node still serves callers while it asks them to close their connections.
    #[serde(default = "stop_linger_ms_default")]
    pub stop_linger_ms: u64,
    /// Maximum duration of a graceful shutdown in ms.
    #[serde(default = "stop_max_ms_default")]
    pub stop_max_ms: u64,
    /// Time in s after which the process is killed once it was asked to stop; 0 if unknown. A graceful shutdown is
    /// limited to nine tenths of it, even if `stop_max_ms` is longer.
    #[serde(default)]
    pub stop_grace_s: f64,
    /// Bandwidth of the host's link in Mbit/s, in each direction; 0 if unknown.
    #[serde(default)]
    pub link_mbps: f64,
}

/// Share of `stop_grace_s` that a graceful shutdown may use; the rest is a reserve for the exit of the process.
const STOP_GRACE_SHARE: f64 = 0.9;

impl NodeSettings {
    /// Returns the maximum duration of a graceful shutdown in ms: the lower of the limits that `stop_max_ms` and
    /// `stop_grace_s` set.
    pub fn effective_stop_max_ms(&self) -> u64 {
        if self.stop_grace_s <= 0.0 {
            return self.stop_max_ms;
        }
        self.stop_max_ms.min((self.stop_grace_s * 1_000.0 * STOP_GRACE_SHARE) as u64)
    }
}

fn stop_linger_ms_default() -> u64 {
    1_000
}

fn stop_max_ms_default() -> u64 {
    30_000
}

/// The HTTP version that a target supports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetHttp {
    /// HTTP/1.1.
    Http1,
    /// HTTP/2 without TLS.
    Http2,
}

/// The target on this node's host, for which the node is the guard.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetSettings {
    /// Full name of the target's service, `team/service`.
    pub service: String,
    /// Address at which the target listens.
    pub address: SocketAddr,
    /// HTTP version of requests to the target.
    #[serde(default = "target_http_default")]
    pub http: TargetHttp,
    /// Time limit for opening a connection in ms.
    #[serde(default = "connect_timeout_ms_default")]
    pub connect_timeout_ms: u64,
    /// Minimum time in s after a target's exit before the platform assigns its address to another service; 0 if
    /// unknown.
    ///
    /// For this time after the node's start, any target that answers at the address belongs to `service`.
    #[serde(default)]
    pub address_reuse_s: f64,
}

/// Maximum of `link_mbps`.
const LINK_MBPS_MAX: f64 = 1_000_000.0;

/// Maximum of `address_reuse_s`.
const ADDRESS_REUSE_MAX_S: f64 = 3_600.0;

fn target_http_default() -> TargetHttp {
    TargetHttp::Http1
}

fn connect_timeout_ms_default() -> u64 {
    1_000
}

/// The platform's configuration service and the platform's limits on nodes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address at which the configuration service listens.
    pub address: SocketAddr,
    /// Time limit of a read in ms. A watch may take `watch_wait_ms`, and then at most a part of this time.
    #[serde(default = "read_timeout_ms_default")]
    pub read_timeout_ms: u64,
    /// Time in ms for which a watch waits for a change.
    #[serde(default = "watch_wait_ms_default")]
    pub watch_wait_ms: u64,
    /// Maximum size of one of the platform's values in bytes.
    #[serde(default = "value_bytes_max_default")]
    pub value_bytes_max: usize,
    /// Limit on retries, hedges and other repeated requests, summed over all nodes.
    #[serde(default)]
    pub repeats: RepeatLimits,
    /// Limit on the calls that a cold target gets, summed over all nodes.
    #[serde(default)]
    pub cold: ColdLimits,
    /// Limit on the calls of a workspace above its quota, summed over all nodes.
    #[serde(default)]
    pub quota: QuotaLimits,
    /// Maximum age in ms of a node's list of keys; with an older list the node refuses calls that need a key. 0 for no
    /// limit.
    #[serde(default)]
    pub keys_age_max_ms: u64,
    /// The region of each data centre, by the name of the data centre; needed if routes or workspaces are restricted to
    /// regions.
    #[serde(default)]
    pub regions: BTreeMap<String, String>,
}

/// Maximum of `repeats.reserve`, in repeated requests.
const RETRY_RESERVE_MAX: f64 = 1_000_000.0;

/// Maximum of `value_bytes_max`.
const VALUE_BYTES_LIMIT: usize = 16 * 1024 * 1024;

/// Maximum size of a document's text, in values of the maximum size.
pub const VALUES_PER_DOCUMENT_MAX: usize = 16;

/// Maximum size of a document's text in bytes, for any valid settings.
pub const DOCUMENT_BYTES_LIMIT: usize = VALUE_BYTES_LIMIT * VALUES_PER_DOCUMENT_MAX;

/// Number of watches within `keys_age_max_ms`. A node's keys may be as old as the time for which a watch waits.
const WATCHES_PER_KEYS_AGE: u64 = 5;

impl PlatformSettings {
    /// Creates settings of a platform at `address` with the default of each other field.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            read_timeout_ms: read_timeout_ms_default(),
            watch_wait_ms: watch_wait_ms_default(),
            value_bytes_max: value_bytes_max_default(),
            repeats: RepeatLimits::default(),
            cold: ColdLimits::default(),
            quota: QuotaLimits::default(),
            keys_age_max_ms: 0,
            regions: BTreeMap::new(),
        }
    }

    /// Returns the maximum size of a document's text in bytes.
    ///
    /// A document may be larger than a value: an adapter translates a value into a longer text, and the list of hosts may
    /// consist of many values.
    pub fn document_bytes_max(&self) -> usize {
        self.value_bytes_max.saturating_mul(VALUES_PER_DOCUMENT_MAX)
    }

    /// Returns the time in ms for which a watch waits for a change: `watch_wait_ms`, or less if `keys_age_max_ms` needs it.
    pub fn effective_watch_wait_ms(&self) -> u64 {
        match self.keys_age_max_ms {
            0 => self.watch_wait_ms,
            age_ms => self.watch_wait_ms.min(age_ms / WATCHES_PER_KEYS_AGE),
        }
    }

    /// Returns the limits on repeated requests and on the calls of cold targets.
    pub fn target_limits(&self) -> TargetLimits {
        TargetLimits { repeats: self.repeats, cold: self.cold }
    }
}

/// The platform's limits on repeated requests and on the calls of cold targets, summed over all nodes.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TargetLimits {
    /// Limit on repeated requests.
    pub repeats: RepeatLimits,
    /// Limit on the calls of a cold target.
    pub cold: ColdLimits,
}

/// The platform's limit on the calls that a cold target gets within any second, relative to the rate that its service
/// declares.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ColdLimits {
    /// Multiple of the declared rate; 0 for no limit.
    pub overrun: f64,
    /// Number of calls on top of that; may be a fraction.
    pub slack: f64,
}

impl ColdLimits {
    /// Returns the maximum number of calls that a cold target may get within any second, where `per_s` is the sustained
    /// rate per second that its service declares; 0 for no limit.
    pub fn calls_per_s(&self, per_s: f64) -> u32 {
        if self.overrun <= 0.0 {
            return 0;
        }
        ((per_s * self.overrun + self.slack) as u32).max(1)
    }
}

/// The platform's limit on the calls of a workspace that run above its quota, within any window.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct QuotaLimits {
    /// Length of the window in s.
    pub window_s: f64,
    /// Number of calls above the quota, as a share of the calls that the quota allows in a window.
    pub overrun: f64,
    /// Number of calls on top of that.
    pub slack: f64,
}

impl Default for QuotaLimits {
    /// No calls above the quota, within windows of five seconds.
    fn default() -> Self {
        Self { window_s: 5.0, overrun: 0.0, slack: 0.0 }
    }
}

/// The platform's limit on repeated requests to the targets of a service, summed over all nodes.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RepeatLimits {
    /// Maximum number of repeated requests in any ten seconds, as a share of the calls.
    pub share: f64,
    /// Number of repeated requests in any ten seconds on top of that; may be a fraction.
    pub reserve: f64,
}

impl Default for RepeatLimits {
    fn default() -> Self {
        Self { share: 0.2, reserve: 54.0 }
    }
}

fn read_timeout_ms_default() -> u64 {
    2_000
}

fn watch_wait_ms_default() -> u64 {
    30_000
}

fn value_bytes_max_default() -> usize {
    1024 * 1024
}

/// Limits on callers.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CallerLimits {
    /// Maximum number of concurrent connections of callers.
    pub connections: usize,
    /// Maximum number of concurrent streams on one HTTP/2 connection.
    pub streams: u32,
    /// Maximum size of a request head in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body in bytes; 0 for no limit.
    pub body_bytes: u64,
    /// Time limit for receiving a request head in ms.
    pub head_timeout_ms: u64,
    /// Maximum time without data within a body in ms.
    pub idle_timeout_ms: u64,
    /// Time budget in ms of a call for which the caller sets none.
    pub budget_default_ms: u64,
    /// Maximum time budget that a caller may request, in ms.
    pub budget_max_ms: u64,
    /// Maximum depth of nested calls.
    pub depth_max: u32,
    /// Number of bytes of a request that are buffered, so that a refused call can be retried at another target.
    pub replay_bytes: usize,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            connections: 1_000,
            streams: 200,
            head_bytes: 32 * 1024,
            body_bytes: 0,
            head_timeout_ms: 5_000,
            idle_timeout_ms: 30_000,
            budget_default_ms: 5_000,
            budget_max_ms: 120_000,
            depth_max: 16,
            replay_bytes: 64 * 1024,
        }
    }
}

/// The permissions of a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Read the state of the node.
    Read,
    /// Also drain the node and change its log level.
    Operate,
}

/// A bearer token for the administration API.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TokenSettings {
    /// The team whose services the token gives access to; empty for all teams.
    #[serde(default)]
    pub team: String,
    /// What the token permits.
    pub role: Role,
    /// The secret, of at least [`SECRET_LENGTH_MIN`] characters.
    pub secret: String,
}

/// The format of the decision log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DecisionFormat {
    /// One readable line per decision.
    Human,
    /// One JSON object per line.
    Json,
    /// No decision log.
    Off,
}

/// Logs and metrics.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Log level: `error`, `warn`, `info`, `debug` or `trace`.
    pub level: String,
    /// Format of the decision log.
    pub decisions: DecisionFormat,
    /// Maximum number of decisions that are queued to be written; further ones are dropped and counted.
    pub decisions_waiting_max: usize,
    /// Address to which metrics are sent over UDP; `None` to send none.
    pub statsd_address: Option<SocketAddr>,
    /// Interval at which metrics are sent in ms.
    pub metrics_interval_ms: u64,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: "info".to_owned(),
            decisions: DecisionFormat::Human,
            decisions_waiting_max: 4_096,
            statsd_address: None,
            metrics_interval_ms: 10_000,
        }
    }
}

/// The settings of a node.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The node itself.
    pub node: NodeSettings,
    /// The target on the node's host; `None` for a node that is only an entry for callers.
    pub target: Option<TargetSettings>,
    /// The platform.
    pub platform: PlatformSettings,
    /// Addresses of nodes from which a node without a fleet document requests it.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Limits on callers.
    #[serde(default)]
    pub callers: CallerLimits,
    /// Tokens of the administration API.
    #[serde(default, rename = "token")]
    pub tokens: Vec<TokenSettings>,
    /// Logs and metrics.
    #[serde(default)]
    pub log: LogSettings,
}

/// Minimum number of characters of a token's secret.
pub const SECRET_LENGTH_MIN: usize = 16;

impl Settings {
    /// Parses and checks a settings file; `file` is its name in error messages.
    ///
    /// # Errors
    ///
    /// Returns all problems found in `text`, with file, line and field.
    pub fn from_text(file: &str, text: &str) -> Result<Self, ConfigError> {
        let mut check = Checker::new(file, text);
        let Some(mut settings) = check.parse::<Self>() else {
            return Err(check.finish().expect_err("parsing added a problem"));
        };
        if settings.node.host.is_empty() {
            settings.node.host = host_name(settings.node.peer_address.ip());
        }
        settings.check_node(&mut check);
        settings.check_callers(&mut check);
        settings.check_log(&mut check);
        check.finish().map(|()| settings)
    }

    fn check_node(&self, check: &mut Checker<'_>) {
        check.ensure(is_name(&self.node.host), "node.host", "must be 1 to 63 of a-z, 0-9 and '-'");
        check.ensure(
            is_name(&self.node.data_centre),
            "node.data_centre",
            "must be 1 to 63 of a-z, 0-9 and '-'",
        );
        check.range("node.stop_linger_ms", self.node.stop_linger_ms, 0..=self.node.stop_max_ms);
        check.range("node.stop_max_ms", self.node.stop_max_ms, 0..=600_000);
        check.range("node.stop_grace_s", self.node.stop_grace_s, 0.0..=600.0);
        check.range("node.link_mbps", self.node.link_mbps, 0.0..=LINK_MBPS_MAX);
        if let Some(target) = &self.target {
            let is_full_name = target.service.split_once('/').is_some_and(|(t, s)| is_name(t) && is_name(s));
            check.ensure(is_full_name, "target.service", "must be 'team/service'");
            check.range("target.connect_timeout_ms", target.connect_timeout_ms, 1..=60_000);
            check.range("target.address_reuse_s", target.address_reuse_s, 0.0..=ADDRESS_REUSE_MAX_S);
        }
        check.range("platform.read_timeout_ms", self.platform.read_timeout_ms, 10..=60_000);
        check.range("platform.watch_wait_ms", self.platform.watch_wait_ms, 100..=300_000);
        check.range("platform.value_bytes_max", self.platform.value_bytes_max, 1_024..=VALUE_BYTES_LIMIT);
        check.range("platform.repeats.share", self.platform.repeats.share, 0.0..=2.0);
        check.range("platform.repeats.reserve", self.platform.repeats.reserve, 0.0..=RETRY_RESERVE_MAX);
        check.range("platform.cold.overrun", self.platform.cold.overrun, 0.0..=100.0);
        check.range("platform.cold.slack", self.platform.cold.slack, 0.0..=10_000.0);
        check.range("platform.quota.window_s", self.platform.quota.window_s, 0.1..=3_600.0);
        check.range("platform.quota.overrun", self.platform.quota.overrun, 0.0..=100.0);
        check.range("platform.quota.slack", self.platform.quota.slack, 0.0..=1_000_000.0);
        check.range("platform.keys_age_max_ms", self.platform.keys_age_max_ms, 0..=86_400_000);
        for token in &self.tokens {
            let is_long_enough = token.secret.len() >= SECRET_LENGTH_MIN;
            check.ensure(is_long_enough, "token.secret", "must have at least 16 characters");
            check.ensure(
                token.team.is_empty() || is_name(&token.team),
                "token.team",
                "must be 1 to 63 of a-z, 0-9 and '-'",
            );
        }
    }

    fn check_callers(&self, check: &mut Checker<'_>) {
        let callers = &self.callers;
        check.range("callers.connections", callers.connections, 1..=100_000);
        check.range("callers.streams", callers.streams, 1..=10_000);
        check.range("callers.head_bytes", callers.head_bytes, 8_192..=1_048_576);
        check.range("callers.head_timeout_ms", callers.head_timeout_ms, 10..=600_000);
        check.range("callers.idle_timeout_ms", callers.idle_timeout_ms, 10..=3_600_000);
        check.range("callers.budget_default_ms", callers.budget_default_ms, 1..=3_600_000);
        check.range("callers.budget_max_ms", callers.budget_max_ms, 1..=3_600_000);
        let is_ordered = callers.budget_default_ms <= callers.budget_max_ms;
        check.ensure(is_ordered, "callers.budget_default_ms", "must not be above budget_max_ms");
        check.range("callers.depth_max", callers.depth_max, 1..=64);
        check.range("callers.replay_bytes", callers.replay_bytes, 0..=1_048_576);
    }

    fn check_log(&self, check: &mut Checker<'_>) {
        let levels = ["error", "warn", "info", "debug", "trace"];
        let is_level = levels.contains(&self.log.level.as_str());
        check.ensure(is_level, "log.level", "must be error, warn, info, debug or trace");
        check.range("log.decisions_waiting_max", self.log.decisions_waiting_max, 1..=1_000_000);
        check.range("log.metrics_interval_ms", self.log.metrics_interval_ms, 100..=600_000);
    }
}
