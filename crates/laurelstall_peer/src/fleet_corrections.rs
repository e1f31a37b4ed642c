//! Corrections that nodes exchange after the platform was restored from an older copy.

use serde::{Deserialize, Serialize};

/// A serialized list without hosts.
const NO_HOSTS: &str = "{}";

/// One start of a target on a host. Corrections for it do not apply to later starts.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HostInstance {
    /// Name of the host.
    pub host: String,
    /// Name of the target that is registered there; empty if there is none.
    pub target: String,
    /// When the target started, in ms of Unix time by its own clock; 0 if unknown.
    pub started_unix_ms: u64,
}

/// How a host went out of service. If two reports differ, the greater one wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Departure {
    /// The host announced that it leaves.
    Leaving,
    /// The host was removed from the list.
    Gone,
}

/// A host that went out of service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DepartedHost {
    /// The start of the host's target that went out of service.
    #[serde(rename = "start")]
    pub instance: HostInstance,
    /// How it went out of service.
    #[serde(rename = "departed")]
    pub departure: Departure,
}

/// Whether operators have evacuated a data centre.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationState {
    /// Name of the data centre.
    pub data_centre: String,
    /// Whether it is evacuated.
    pub is_evacuated: bool,
}

/// Corrections to the list of hosts since a restore of the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetCorrections {
    /// The era that began with the restore.
    pub era: u64,
    /// Time since the first known read of that era, in ms.
    pub age_ms: u64,
    /// Hosts that had gone out of service before the restore.
    pub departed: Vec<DepartedHost>,
    /// Live hosts that the copy lacks, as the text of a fleet document.
    pub unlisted: String,
    /// Data centres that were evacuated, or returned to service, before the restore.
    pub evacuations: Vec<EvacuationState>,
}

impl FleetCorrections {
    /// Returns the corrections without the unlisted hosts, of which there may be more than a request may
    /// hold. A node that lacks them requests them itself.
    pub fn without_unlisted(self) -> Self {
        Self { unlisted: NO_HOSTS.to_owned(), ..self }
    }
}
