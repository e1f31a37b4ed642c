//! Names, versions and texts of the documents that the platform publishes.

use crate::problem::is_name;
use serde::{Deserialize, Serialize};
use std::fmt;
use xxhash_rust::xxh3::xxh3_64;

/// Maximum number of documents that a node stores; it rejects further ones.
pub const DOCUMENTS_MAX: usize = 256;

/// A document's version; each change of the document gets a higher one.
///
/// A platform that is restored from an older copy assigns its numbers again, in the next era: a version of a later era
/// is newer, regardless of its number.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    /// Number of times that the platform was restored from an older copy; 0 for numbers that a restore does not reset.
    pub era: u64,
    /// The number within the era.
    pub number: u64,
}

impl Version {
    /// No version; lower than all published versions.
    pub const NONE: Self = Self { era: 0, number: 0 };
    /// Higher than all published versions.
    pub const MAX: Self = Self { era: u64::MAX, number: u64::MAX };

    /// Creates a version whose number is never reset.
    pub fn new(number: u64) -> Self {
        Self { era: 0, number }
    }

    /// Creates a version with this number in an era of the platform.
    pub fn in_era(era: u64, number: u64) -> Self {
        Self { era, number }
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era {
            0 => write!(f, "{}", self.number),
            era => write!(f, "{era}/{}", self.number),
        }
    }
}

/// The name of a document.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum DocumentName {
    /// The list of live and leaving hosts.
    Fleet,
    /// The limits of the whole system.
    System,
    /// The services, targets and routing program of the team with this name.
    Team(String),
}

impl DocumentName {
    /// Parses a name as the platform writes it: `fleet`, `system` or `team/NAME`; `None` for any other text.
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

/// A published document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// The document's name.
    pub name: DocumentName,
    /// The document's version.
    pub version: Version,
    /// The document's TOML or JSON text.
    pub text: String,
}

impl Document {
    /// Computes a checksum of the text, by which a receiver checks that it applied a delta to the right base.
    pub fn checksum(&self) -> u64 {
        xxh3_64(self.text.as_bytes())
    }
}
