//! The level of a call, by which calls are admitted during overload.

use xxhash_rust::xxh3::xxh3_64;

/// Number of buckets into which the calls of one importance are divided.
pub const BUCKETS: u8 = 64;

/// The level of a call: its importance first, then a bucket drawn from the identity of the caller's request.
///
/// Calls with a higher level are admitted first. All nested calls that are made for a request have the level of this
/// request, so that guards of different services admit or refuse the same requests. Without this, a request whose calls
/// are admitted independently at each service would often be refused after a part of its work is done.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallLevel {
    /// Importance of the caller's request.
    pub importance: u8,
    /// Bucket within the importance, 0 to [`BUCKETS`] - 1.
    pub bucket: u8,
}

impl CallLevel {
    /// The lowest level; a guard with this threshold admits all calls.
    pub const LOWEST: Self = Self { importance: 0, bucket: 0 };

    /// Creates the level of the request `root_id` that a caller sent with this importance.
    pub fn new(importance: u8, root_id: &[u8]) -> Self {
        let bucket = (xxh3_64(root_id) % u64::from(BUCKETS)) as u8;
        Self { importance, bucket }
    }

    /// Returns the next higher level; the highest level is its own.
    pub fn next_above(self) -> Self {
        if self.bucket + 1 < BUCKETS {
            return Self { bucket: self.bucket + 1, ..self };
        }
        self.importance.checked_add(1).map_or(self, |importance| Self { importance, bucket: 0 })
    }

    /// Returns the highest level of the same importance.
    pub fn highest_of_importance(self) -> Self {
        Self { bucket: BUCKETS - 1, ..self }
    }

    /// Returns the lowest level of the same importance.
    pub fn lowest_of_importance(self) -> Self {
        Self { bucket: 0, ..self }
    }

    /// Returns the position among all levels, for metrics: the importance times [`BUCKETS`], plus the bucket.
    pub fn ordinal(self) -> u64 {
        u64::from(self.importance) * u64::from(BUCKETS) + u64::from(self.bucket)
    }

    /// Parses the form that [`Display`](std::fmt::Display) writes; `None` if it is invalid.
    pub fn parse(text: &str) -> Option<Self> {
        let (importance, bucket) = text.split_once('.')?;
        let level = Self { importance: importance.parse().ok()?, bucket: bucket.parse().ok()? };
        (level.bucket < BUCKETS).then_some(level)
    }
}

impl std::fmt::Display for CallLevel {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{}", self.importance, self.bucket)
    }
}
