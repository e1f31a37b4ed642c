//! Documents as the platform publishes them.

use crate::problem::is_name;
use serde::{Deserialize, Serialize};
use std::fmt;
use xxhash_rust::xxh3::xxh3_64;

/// Longest text of a document in bytes: the platform holds no larger value.
pub const DOCUMENT_BYTES_MAX: usize = 1_000_000;

/// Most documents a node holds; more are refused.
pub const DOCUMENTS_MAX: usize = 256;

/// A document's version; it only grows.
pub type Version = u64;

/// Which document.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum DocumentName {
    /// The live and leaving hosts.
    Fleet,
    /// Limits that hold for the whole system.
    System,
    /// One team's services, targets and program.
    Team(String),
}

impl DocumentName {
    /// Reads a name as the platform writes it: `fleet`, `system` or `team/NAME`.
    pub fn from_key(key: &str) -> Option<Self> {
        match key {
            "fleet" => Some(Self::Fleet),
            "system" => Some(Self::System),
            _ => {
                let team = key.strip_prefix("team/")?;
                is_name(team).then(|| Self::Team(team.to_owned()))
            }
        }
    }
}

impl fmt::Display for DocumentName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Fleet => f.write_str("fleet"),
            Self::System => f.write_str("system"),
            Self::Team(team) => write!(f, "team/{team}"),
        }
    }
}

/// One published text with its version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Which document this is.
    pub name: DocumentName,
    /// Its version.
    pub version: Version,
    /// Its TOML text.
    pub text: String,
}

impl Document {
    /// A checksum of the text, to tell whether a delta met the text it was made against.
    pub fn checksum(&self) -> u64 {
        xxh3_64(self.text.as_bytes())
    }
}
