//! What the list says of the target beside this node, and what the guard does when that changes.

use super::TargetGuard;
use crate::active::InForce;
use laurelstall_config::{document::DocumentName, fleet::HostState};
use std::sync::{PoisonError, atomic::Ordering};

/// The target beside a node, as it is listed.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) struct ListedTarget {
    /// Its name; empty for none.
    name: String,
    /// How much longer it is cold, in ms, when its entry was written.
    cold_ms: u64,
    /// When it started, in ms of Unix time by its own clock; 0 when it does not say.
    started_unix_ms: u64,
}

impl ListedTarget {
    /// Whether this is another start of the target that was listed before, under the same name.
    fn is_restart_of(&self, before: &Self) -> bool {
        let is_known = self.started_unix_ms != 0 && before.started_unix_ms != 0;
        self.name == before.name && is_known && self.started_unix_ms != before.started_unix_ms
    }
}

impl TargetGuard {
    /// Takes nothing new while the host leaves or its data centre is evacuated: entries may know it later.
    pub(super) fn follow_fleet(&self, in_force: &InForce) {
        let fleet = &in_force.configuration.fleet;
        let host = fleet.host(&self.inner.host);
        let is_leaving = host.is_some_and(|host| host.state == HostState::Leaving);
        let is_evacuated = host.is_some_and(|host| fleet.is_evacuated(&host.data_centre));
        if !self.inner.drains.leaving.swap(is_leaving, Ordering::Relaxed) && is_leaving {
            let version = in_force.configuration.version(&DocumentName::Fleet);
            log::info!("own host: leaving, by version {version} of the fleet");
        }
        let was_evacuated = self.inner.drains.evacuated.swap(is_evacuated, Ordering::Relaxed);
        if was_evacuated != is_evacuated {
            let state = if is_evacuated { "evacuated" } else { "taken back" };
            log::info!("own data centre is {state}");
            // It may have turned cold while it got nothing.
            self.inner.guard.forget_cold();
        }
        self.apply_drains();
    }

    /// Writes down when the list names another target beside this node, or none any more, and learns from it that the
    /// target is cold.
    pub(super) fn note_own_target(&self, name: Option<&str>, in_force: &InForce) {
        let name = name.unwrap_or_default();
        let fleet = &in_force.configuration.fleet;
        let own = fleet.targets.iter().find(|target| target.name == name);
        let cold_ms = own.map_or(0, |target| target.cold_ms);
        let started_unix_ms = own.map_or(0, |target| target.started_unix_ms);
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
        let version = in_force.configuration.version(&DocumentName::Fleet);
        log::info!("own target: '{name}' after '{}', by version {version} of the fleet", before.name);
        self.inner.guard.forget_cold();
        self.inner.identity().follow_list(name);
    }

    /// Learns from the list that the target started again under its name: it knows nothing of before. What its tickets'
    /// calls may have done stays in the ledger, which holds them to one effect.
    fn note_restart(&self, name: &str, started_unix_ms: u64) {
        log::info!("own target: '{name}' started again, at {started_unix_ms} ms of its clock");
        self.inner.guard.forget_cold();
        self.inner.identity().forget_word();
        if let Some(client) = &self.inner.client {
            client.close_idle();
        }
    }
}
