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
///
/// A platform that comes back from an older copy of itself gives its numbers out again, in the next era: a version of a
/// later era is newer, whatever its number.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    /// How often the platform that counts the number had come back from an older copy; 0 for numbers that go on all the
    /// same.
    pub era: u64,
    /// The number within the era.
    pub number: u64,
}

impl Version {
    /// No version: below all that are published.
    pub const NONE: Self = Self { era: 0, number: 0 };
    /// Above all versions that are published.
    pub const MAX: Self = Self { era: u64::MAX, number: u64::MAX };

    /// The version with this number where numbers never go back.
    pub fn new(number: u64) -> Self {
        Self { era: 0, number }
    }

    /// The version with this number in an era of the platform.
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
