//! What nodes tell each other of hosts and data centres after the platform came back from an older copy.

use serde::{Deserialize, Serialize};

/// A list of no hosts.
const NO_HOSTS: &str = "{}";

/// One start of a target on a host: what was said of it says nothing of the next start.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HostStart {
    /// The host's name.
    pub host: String,
    /// The name of the target that registered itself there; empty where none does.
    pub target: String,
    /// When the target started, in ms of Unix time by its own clock; 0 when it does not say.
    pub started_unix_ms: u64,
}

/// How a host went out of service; of two words on one host the greater one counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Departed {
    /// It said that it leaves.
    Leaving,
    /// It was taken from the list.
    Gone,
}

/// A host that went out of service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DepartedHost {
    /// Which one.
    pub start: HostStart,
    /// How.
    pub departed: Departed,
}

/// What operators said last of a data centre.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationWord {
    /// Its name.
    pub data_centre: String,
    /// Whether it is evacuated.
    pub is_evacuated: bool,
}

/// What a node carries over a return of the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CarriedNews {
    /// The era that began with the return.
    pub era: u64,
    /// Since the first read of that era that the node heard of, in ms.
    pub age_ms: u64,
    /// Hosts that had gone out of service before.
    pub departed: Vec<DepartedHost>,
    /// A list of the hosts in service that the copy lacks, as a document.
    pub unlisted: String,
    /// Data centres of which operators had spoken before.
    pub evacuations: Vec<EvacuationWord>,
}

impl CarriedNews {
    /// These news as they are told in a question, without the hosts that the copy lacks: of these there may be hundreds,
    /// more than a question holds, and whoever lacks them asks itself.
    pub fn in_question(self) -> Self {
        Self { unlisted: NO_HOSTS.to_owned(), ..self }
    }
}
