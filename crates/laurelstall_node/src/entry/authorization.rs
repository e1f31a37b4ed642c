//! Authenticates calls by their workspace's key and charges them to its quota.

use super::{Entry, FailedCall, Rejection};
use crate::{
    active_config::ConfigSnapshot,
    counters::count,
    headers::bearer_key,
    quotas::{QuotaRefusal, QuotaToken},
};
use http::{StatusCode, request::Parts};
use laurelstall_config::{team::Team, workspace::Workspace};
use laurelstall_policy::plan::Route;
use laurelstall_workspace::key_directory::{KeyDirectory, KeyLookup};
use std::sync::Arc;

/// Retry delay in ms for calls that cannot be authorized yet because keys or hosts are not up to date.
/// Updates of both arrive within about a second.
const UNAVAILABLE_RETRY_MS: u64 = 500;

/// Identity of the caller.
#[derive(Debug, Clone, Default)]
pub(super) struct Caller {
    /// The workspace that the call belongs to, if any.
    pub(super) workspace: Option<Arc<Workspace>>,
    /// Whether the caller sent the workspace's key; otherwise the workspace is that of the parent call.
    pub(super) has_key: bool,
    /// Whether the team has workspaces with keys.
    pub(super) team_has_keys: bool,
}

/// Result of authorizing a call.
pub(super) enum Authorization {
    /// The call is allowed.
    Granted(Caller),
    /// The call cannot be authorized now; it fails with a retry delay.
    Unavailable(FailedCall),
}

impl Caller {
    /// Returns the name of the workspace whose key the caller sent.
    pub(super) fn named_by_key(&self) -> Option<&str> {
        self.workspace.as_ref().filter(|_| self.has_key).map(|workspace| workspace.name.as_str())
    }

    /// Returns the data centres that both the route and the workspace allow; `None` for all.
    pub(super) fn data_centres(&self, route_data_centres: &[String]) -> Option<Vec<String>> {
        let workspace_data_centres =
            self.workspace.as_ref().map_or(&[][..], |workspace| &workspace.data_centres);
        match (route_data_centres, workspace_data_centres) {
            ([], []) => None,
            ([], only) | (only, []) => Some(only.to_vec()),
            (route, workspace) => {
                Some(route.iter().filter(|name| workspace.contains(name)).cloned().collect())
            }
        }
    }
}

impl Entry {
    /// Determines the caller of a request.
    ///
    /// A nested call from the local target carries no key and belongs to the workspace of its parent call.
    ///
    /// # Errors
    ///
    /// Returns a rejection if the call needs a key and carries none, or an unknown one.
    pub(super) fn authorize(
        &self,
        snapshot: &ConfigSnapshot,
        team: &Team,
        parts: &Parts,
        route: &Route,
    ) -> Result<Authorization, Rejection> {
        let Some(directory) = snapshot.keys.get(&team.team).filter(|directory| directory.uses_keys()) else {
            return Ok(Authorization::Granted(Caller::default()));
        };
        let key = bearer_key(&parts.headers);
        if key.is_none()
            && let Some(authorization) = self.authorize_nested(directory, parts, route)
        {
            return Ok(authorization);
        }
        if !route.is_public && !self.are_keys_fresh() {
            count(&self.context.counters.keys_stale);
            return Ok(Authorization::Unavailable(unavailable("keys are not known to be up to date")));
        }
        let counters = &self.context.counters;
        match directory.look_up(key, route.is_public) {
            KeyLookup::Workspace(workspace) => Ok(Authorization::Granted(Caller {
                workspace: Some(workspace),
                has_key: true,
                team_has_keys: true,
            })),
            KeyLookup::NoWorkspace => {
                Ok(Authorization::Granted(Caller { team_has_keys: true, ..Caller::default() }))
            }
            KeyLookup::Missing => {
                count(&counters.keys_missing);
                Err(Rejection::new(StatusCode::UNAUTHORIZED, "a key is needed"))
            }
            KeyLookup::Unknown => {
                count(&counters.keys_unknown);
                Err(Rejection::new(StatusCode::UNAUTHORIZED, "no workspace has this key"))
            }
        }
    }

    /// Authorizes a nested call without a key; `None` when the request names no parent call.
    ///
    /// A parent that is not running here may have been started before this node was, so the caller is asked to retry.
    fn authorize_nested(
        &self,
        directory: &KeyDirectory,
        parts: &Parts,
        route: &Route,
    ) -> Option<Authorization> {
        self.context.dialect.parent_request_id(&parts.headers)?;
        let caller = Caller { team_has_keys: true, ..Caller::default() };
        match self.parent(parts) {
            Some(parent) => {
                let workspace = directory.named(&parent.workspace).cloned();
                Some(Authorization::Granted(Caller { workspace, ..caller }))
            }
            None if route.is_public => Some(Authorization::Granted(caller)),
            None => Some(Authorization::Unavailable(unavailable(
                "the request that the call is made for does not run here",
            ))),
        }
    }

    /// Whether the known keys are at most as old as the settings allow.
    fn are_keys_fresh(&self) -> bool {
        if self.keys_age_max_ms == 0 {
            return true;
        }
        self.quotas.replicator().documents_age_ms() <= self.keys_age_max_ms
    }

    /// Takes a token from the quota of the caller's workspace; `None` when it has no quota or the call is nested.
    ///
    /// # Errors
    ///
    /// Returns a not-run failure if the quota is spent or no node that counts it answers.
    pub(super) async fn take_token(
        &self,
        snapshot: &ConfigSnapshot,
        team: &Team,
        caller: &Caller,
    ) -> Result<Option<QuotaToken>, FailedCall> {
        let workspace = caller.workspace.as_ref().filter(|_| caller.has_key);
        let bounded = workspace.and_then(|workspace| Some((workspace, workspace.quota?)));
        let Some((workspace, quota)) = bounded else { return Ok(None) };
        let full_name = format!("{}/{}", team.team, workspace.name);
        let fleet = &snapshot.configuration.fleet;
        match self.quotas.take(fleet, &full_name, &quota).await {
            Ok(token) => Ok(Some(token)),
            Err(QuotaRefusal::Spent { retry_after_ms }) => {
                let status = StatusCode::TOO_MANY_REQUESTS;
                Err(FailedCall::not_run(status, "the workspace's quota is spent", Some(retry_after_ms)))
            }
            Err(QuotaRefusal::NoOwner) => {
                Err(unavailable("no node that counts the workspace's calls answers"))
            }
        }
    }
}

/// Builds the failure of a call that cannot be authorized yet.
fn unavailable(reason: &str) -> FailedCall {
    FailedCall::not_run(StatusCode::SERVICE_UNAVAILABLE, reason, Some(UNAVAILABLE_RETRY_MS))
}
