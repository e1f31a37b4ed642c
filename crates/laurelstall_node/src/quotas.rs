//! Rate limits of workspaces: requests quota tokens from the nodes that own shares, and grants tokens of own shares.

use crate::{
    active_config::ActiveConfig,
    counters::{Counters, count},
};
use laurelstall_config::{fleet::Fleet, settings::QuotaLimits, workspace::Quota};
use laurelstall_guard::clock::Clock;
use laurelstall_peer::{
    client::PeerClient,
    message::{PeerAnswer, PeerRequest},
    replicator::Replicator,
};
use laurelstall_workspace::{
    owned_shares::{Grant, OwnedShares, ShareKey},
    quota_split::QuotaSplit,
    share_owner_list::{ShareOwner, ShareOwnerList},
};
use rand::seq::IndexedRandom;
use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};
use tokio::{
    task::JoinSet,
    time::{Duration, sleep, timeout},
};

/// How long to wait for the owner of a share before requesting a token from the next owner. It is far above
/// the round trip to any node and the time that a node with a tenth of a core needs to answer, and a small
/// part of what callers wait for.
const OWNER_TIMEOUT: Duration = Duration::from_millis(60);
/// Maximum age in µs of a token that is returned; an older one may belong to an earlier rate-limit window.
const GIVE_BACK_MAX_US: u64 = 500_000;
/// Minimum retry delay in ms for refused callers; an empty share is not queried again sooner.
const RETRY_MIN_MS: u64 = 100;

/// Age in ms of the newest platform data up to which a node counts as connected.
///
/// A node without newer data may have been removed from the fleet, and another node may own its shares by then.
const PLATFORM_DATA_AGE_MAX_MS: u64 = 3_000;
/// Interval between two connectivity checks.
const CONNECTIVITY_INTERVAL: Duration = Duration::from_millis(500);
/// How long a successful connectivity check is valid, in µs.
const CONNECTIVITY_VALID_US: u64 = 1_200_000;
/// Number of nodes contacted by a connectivity check; half of them must answer.
const CONNECTIVITY_NODES: usize = 6;
/// Timeout of a connectivity check.
const CONNECTIVITY_TIMEOUT: Duration = Duration::from_millis(400);

/// Why no quota token was granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaRefusal {
    /// The quota is spent.
    Spent {
        /// Retry delay in ms.
        retry_after_ms: u64,
    },
    /// No owner of a share answers, so it is unknown whether the quota is spent.
    NoOwner,
}

/// A quota token, which allows one call.
#[derive(Debug)]
pub struct QuotaToken {
    key: ShareKey,
    /// The node that granted the token; `None` for this one.
    owner: Option<SocketAddr>,
    taken_at_us: u64,
}

/// Calls of one workspace at this node.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WorkspaceCounts {
    /// Calls that got a token.
    pub taken: u64,
    /// Calls refused because the quota was spent.
    pub spent: u64,
    /// Calls refused because no owner answered.
    pub unanswered: u64,
}

/// Settings and collaborators of [`Quotas`].
#[derive(Debug, Clone)]
pub struct QuotaOptions {
    /// The node's clock.
    pub clock: Clock,
    /// The host's name.
    pub host: String,
    /// The data centre.
    pub data_centre: String,
    /// Limits on how far quotas may be exceeded.
    pub limits: QuotaLimits,
    /// Client for requests to other nodes.
    pub client: PeerClient,
    /// Replicates the configuration between nodes; knows the age of the platform data.
    pub replicator: Arc<Replicator>,
    /// The current configuration.
    pub active: Arc<ActiveConfig>,
    /// Event counters of the node.
    pub counters: Arc<Counters>,
}

/// The workspace quotas at a node: shares that it owns and tokens that it requests from other owners.
#[derive(Debug)]
pub struct Quotas {
    options: QuotaOptions,
    owned: Mutex<OwnedShares>,
    workspaces: Mutex<HashMap<String, WorkspaceState>>,
    /// Time of the last successful connectivity check in µs; 0 for none.
    connected_us: AtomicU64,
}

/// State of a workspace whose callers use this node.
#[derive(Debug, Default)]
struct WorkspaceState {
    owners: ShareOwnerList,
    counts: WorkspaceCounts,
}

impl Quotas {
    /// Creates the quotas of a node that has granted no tokens yet.
    pub fn new(options: QuotaOptions) -> Arc<Self> {
        let owned = OwnedShares::new(&options.host, options.clock.now_us());
        Arc::new(Self {
            options,
            owned: Mutex::new(owned),
            workspaces: Mutex::default(),
            connected_us: AtomicU64::new(0),
        })
    }

    /// Returns the replicator of the configuration.
    pub fn replicator(&self) -> &Replicator {
        &self.options.replicator
    }

    /// Takes a token for one call of a workspace.
    ///
    /// # Errors
    ///
    /// Returns a [`QuotaRefusal`] if no token was granted.
    pub async fn take(
        &self,
        fleet: &Arc<Fleet>,
        workspace: &str,
        quota: &Quota,
    ) -> Result<QuotaToken, QuotaRefusal> {
        let split = QuotaSplit::new(quota, &self.options.limits);
        let result = self.take_from_owners(fleet, workspace, &split).await;
        let mut workspaces = self.workspaces();
        let counts = &mut workspaces.entry(workspace.to_owned()).or_default().counts;
        let counters = &self.options.counters;
        match &result {
            Ok(_) => counts.taken += 1,
            Err(QuotaRefusal::Spent { .. }) => {
                counts.spent += 1;
                count(&counters.quota_spent);
            }
            Err(QuotaRefusal::NoOwner) => {
                counts.unanswered += 1;
                count(&counters.quota_unanswered);
            }
        }
        result
    }

    /// Requests a token from the owners of the workspace's shares, one after the other.
    async fn take_from_owners(
        &self,
        fleet: &Arc<Fleet>,
        workspace: &str,
        split: &QuotaSplit,
    ) -> Result<QuotaToken, QuotaRefusal> {
        let owners = self.owners_in_order(fleet, workspace, split);
        let mut retry_after_us = None;
        for state in &owners {
            let key = ShareKey { workspace: workspace.to_owned(), share: state.share };
            let grant = self.request_token(state, &key).await;
            let now_us = self.options.clock.now_us();
            let Some(grant) = grant else {
                self.with_owners(workspace, |owners| owners.note_unreachable(state.share, now_us));
                continue;
            };
            if grant.tokens > 0 {
                let is_local = state.host == self.options.host;
                let owner = (!is_local).then_some(state.address);
                return Ok(QuotaToken { key, owner, taken_at_us: now_us });
            }
            self.with_owners(workspace, |owners| {
                owners.note_empty(state.share, grant.retry_after_us, now_us)
            });
            let earliest_us = retry_after_us.unwrap_or(u64::MAX);
            retry_after_us = Some(grant.retry_after_us.min(earliest_us));
        }
        let now_us = self.options.clock.now_us();
        let known_us = self.with_owners(workspace, |owners| owners.empty_for_us(now_us));
        match retry_after_us.or(known_us) {
            Some(us) => Err(QuotaRefusal::Spent { retry_after_ms: us.div_ceil(1_000).max(RETRY_MIN_MS) }),
            None => Err(QuotaRefusal::NoOwner),
        }
    }

    /// Returns the token of a call that did not run.
    pub fn give_back(&self, token: Option<&QuotaToken>) {
        let Some(token) = token else { return };
        let now_us = self.options.clock.now_us();
        if now_us.saturating_sub(token.taken_at_us) > GIVE_BACK_MAX_US {
            return;
        }
        let Some(owner) = token.owner else {
            self.owned().give_back(&token.key, 1, now_us);
            return;
        };
        let client = self.options.client.clone();
        let request = PeerRequest::ReturnTokens(token.key.clone(), 1);
        // A return that gets lost costs the workspace one call.
        tokio::spawn(async move { drop(timeout(OWNER_TIMEOUT, client.request(owner, &request)).await) });
    }

    /// Answers another node's request for tokens.
    pub fn answer_take_tokens(&self, key: &ShareKey, wanted: u32) -> PeerAnswer {
        PeerAnswer::Tokens(self.grant(key, wanted))
    }

    /// Accepts tokens returned by another node.
    pub fn answer_return_tokens(&self, key: &ShareKey, tokens: u32) -> PeerAnswer {
        self.owned().give_back(key, tokens, self.options.clock.now_us());
        PeerAnswer::Noted
    }

    /// Returns the calls at this node of each workspace that has a quota, by full name.
    pub fn counts(&self) -> BTreeMap<String, WorkspaceCounts> {
        self.workspaces().iter().map(|(name, state)| (name.clone(), state.counts)).collect()
    }

    /// Returns the shares from which this node has granted tokens, with the tokens left.
    pub fn levels(&self) -> Vec<(ShareKey, f64)> {
        let now_us = self.options.clock.now_us();
        self.owned().levels(now_us).map(|(key, level)| (key.clone(), level)).collect()
    }

    /// Updates the ownership of shares from the current fleet document.
    pub fn update_share_ownership(&self) {
        let snapshot = self.options.active.load();
        self.owned().set_fleet(&snapshot.configuration.fleet, self.options.clock.now_us());
    }

    /// Checks, while the platform data is outdated, that this node can reach other nodes; runs until dropped.
    pub async fn monitor_connectivity(&self) {
        loop {
            sleep(CONNECTIVITY_INTERVAL).await;
            // The time only affects the levels, which are not used.
            let owns_any = self.owned().levels(0).next().is_some();
            if owns_any && !self.has_fresh_platform_data() && self.reaches_others().await {
                self.connected_us.store(self.options.clock.now_us(), Ordering::Relaxed);
            }
        }
    }

    /// Grants tokens of a share that this node owns; `None` if another node may own it.
    fn grant(&self, key: &ShareKey, wanted: u32) -> Option<Grant> {
        if !self.is_connected() {
            return None;
        }
        let snapshot = self.options.active.load();
        let (team, name) = key.workspace.split_once('/')?;
        let quota = snapshot.keys.get(team)?.named(name)?.quota?;
        let split = QuotaSplit::new(&quota, &self.options.limits);
        if key.share >= split.shares {
            return None;
        }
        let now_us = self.options.clock.now_us();
        let mut owned = self.owned();
        owned.set_fleet(&snapshot.configuration.fleet, now_us);
        owned.take(key, &split, wanted, now_us)
    }

    /// Requests one token of a share from its owner; `None` if it does not answer or does not own the share.
    async fn request_token(&self, state: &ShareOwner, key: &ShareKey) -> Option<Grant> {
        if state.host == self.options.host {
            return self.grant(key, 1);
        }
        let request = PeerRequest::TakeTokens(key.clone(), 1);
        let answer = self.options.client.request(state.address, &request);
        match timeout(OWNER_TIMEOUT, answer).await {
            Ok(Ok(PeerAnswer::Tokens(grant))) => grant,
            Ok(Ok(_)) => None,
            Ok(Err(error)) => {
                log::debug!(
                    "quota of workspace {}, share {}: request for a token failed: {error}",
                    key.workspace,
                    key.share
                );
                None
            }
            Err(_) => None,
        }
    }

    /// Returns the share owners to request a token from, in order.
    fn owners_in_order(&self, fleet: &Arc<Fleet>, workspace: &str, split: &QuotaSplit) -> Vec<ShareOwner> {
        let now_us = self.options.clock.now_us();
        let data_centre = &self.options.data_centre;
        self.with_owners(workspace, |owners| {
            owners.set_fleet(fleet, workspace, split.shares, data_centre);
            owners.owners_in_order(now_us)
        })
    }

    fn with_owners<T>(&self, workspace: &str, change: impl FnOnce(&mut ShareOwnerList) -> T) -> T {
        let mut workspaces = self.workspaces();
        change(&mut workspaces.entry(workspace.to_owned()).or_default().owners)
    }

    /// Whether the platform data is fresh or the last connectivity check succeeded recently.
    fn is_connected(&self) -> bool {
        let connected_us = self.connected_us.load(Ordering::Relaxed);
        self.has_fresh_platform_data() || connected_us + CONNECTIVITY_VALID_US > self.options.clock.now_us()
    }

    fn has_fresh_platform_data(&self) -> bool {
        self.options.replicator.platform_read_age_ms() <= PLATFORM_DATA_AGE_MAX_MS
    }

    /// Whether half of a sample of other nodes answer. The sample is taken from other data centres if there are any,
    /// since a data centre loses its connection as a whole.
    async fn reaches_others(&self) -> bool {
        let fleet = self.options.active.load().configuration.fleet.clone();
        let others = fleet.hosts.iter().filter(|host| host.name != self.options.host);
        let (same_data_centre, elsewhere): (Vec<_>, Vec<_>) =
            others.partition(|host| host.data_centre == self.options.data_centre);
        let others = if elsewhere.is_empty() { same_data_centre } else { elsewhere };
        let sampled = others.sample(&mut rand::rng(), CONNECTIVITY_NODES).map(|host| host.node_address);
        let sampled = sampled.collect::<Vec<_>>();
        let mut requests = JoinSet::new();
        for address in &sampled {
            let (client, address) = (self.options.client.clone(), *address);
            requests.spawn(async move {
                timeout(CONNECTIVITY_TIMEOUT, client.request(address, &PeerRequest::CanRead))
                    .await
                    .is_ok_and(|a| a.is_ok())
            });
        }
        let answered = requests.join_all().await.into_iter().filter(|is_answered| *is_answered).count();
        2 * answered >= sampled.len()
    }

    fn owned(&self) -> MutexGuard<'_, OwnedShares> {
        self.owned.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn workspaces(&self) -> MutexGuard<'_, HashMap<String, WorkspaceState>> {
        self.workspaces.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
