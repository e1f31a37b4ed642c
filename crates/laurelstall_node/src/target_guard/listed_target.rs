//! Applies changes in the fleet document that concern this host and the local target.

use super::TargetGuard;
use crate::active_config::ConfigSnapshot;
use laurelstall_config::{document::DocumentName, fleet::HostState};
use std::sync::{PoisonError, atomic::Ordering};

/// The local target as listed in the fleet document.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) struct ListedTarget {
    /// Name of the target; empty if none is listed.
    name: String,
    /// Remaining cold start in ms at the time when the entry was written.
    cold_ms: u64,
    /// Start of the target in ms of Unix time by its own clock; 0 if unknown.
    started_unix_ms: u64,
}

impl ListedTarget {
    /// Whether this is a restart of the target `before`, under the same name.
    fn is_restart_of(&self, before: &Self) -> bool {
        let is_known = self.started_unix_ms != 0 && before.started_unix_ms != 0;
        self.name == before.name && is_known && self.started_unix_ms != before.started_unix_ms
    }
}

impl TargetGuard {
    /// Drains while the host is leaving or its data centre is evacuated; entries may learn of it later.
    pub(super) fn update_fleet_drains(&self, snapshot: &ConfigSnapshot) {
        let fleet = &snapshot.configuration.fleet;
        let host = fleet.host(&self.inner.host);
        let is_leaving = host.is_some_and(|host| host.state == HostState::Leaving);
        let is_evacuated = host.is_some_and(|host| fleet.is_evacuated(&host.data_centre));
        if !self.inner.drains.leaving.swap(is_leaving, Ordering::Relaxed) && is_leaving {
            let version = snapshot.configuration.version(&DocumentName::Fleet);
            log::info!("this host is leaving according to version {version} of the fleet document");
        }
        let was_evacuated = self.inner.drains.evacuated.swap(is_evacuated, Ordering::Relaxed);
        if was_evacuated != is_evacuated {
            let state = if is_evacuated { "evacuated" } else { "no longer evacuated" };
            log::info!("this host's data centre is {state}");
            // The target may have become cold while it received no calls.
            self.inner.guard.discard_cold_report();
        }
        self.inner.apply_drains();
    }

    /// Updates the listed target of this host, and with it the cold start and the expected instance name.
    pub(super) fn update_listed_target(&self, name: Option<&str>, snapshot: &ConfigSnapshot) {
        let name = name.unwrap_or_default();
        let fleet = &snapshot.configuration.fleet;
        let local = fleet.targets.iter().find(|target| target.name == name);
        let cold_ms = local.map_or(0, |target| target.cold_ms);
        let started_unix_ms = local.map_or(0, |target| target.started_unix_ms);
        let now_listed = ListedTarget { name: name.to_owned(), cold_ms, started_unix_ms };
        let mut listed = self.inner.listed.lock().unwrap_or_else(PoisonError::into_inner);
        if *listed == now_listed {
            return;
        }
        let is_restart = now_listed.is_restart_of(&listed);
        let before = std::mem::replace(&mut *listed, now_listed);
        drop(listed);
        if is_restart {
            self.note_restart(name, started_unix_ms);
        }
        self.inner.guard.note_listed_cold(cold_ms);
        if before.name == name {
            return;
        }
        let version = snapshot.configuration.version(&DocumentName::Fleet);
        log::info!(
            "local target '{name}': replaces '{}' in version {version} of the fleet document",
            before.name
        );
        self.inner.guard.discard_cold_report();
        let instance = {
            let mut identity = self.inner.identity();
            identity.set_listed_name(name);
            identity.name().to_owned()
        };
        self.inner.note_instance(&instance);
    }

    /// Resets what is known of the target after a restart under the same name. The ticket ledger is kept, so that the
    /// calls of its tickets still run at most once.
    fn note_restart(&self, name: &str, started_unix_ms: u64) {
        log::info!("local target '{name}': restarted at Unix time {started_unix_ms} ms of its own clock");
        self.inner.guard.discard_cold_report();
        self.inner.identity().reset_to_listed_name();
        self.inner.forget_notices();
        if let Some(client) = &self.inner.client {
            client.close_idle();
        }
    }
}
