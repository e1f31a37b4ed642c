//! What a target states about itself in an answer.

/// The rate limit that a target states for itself in an answer, summed over all callers.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub enum RateLimitNotice {
    /// The answer states no limit.
    #[default]
    Absent,
    /// The answer states a limit that is not a single decimal number of at least 0.
    Invalid,
    /// The target takes this many requests per second.
    PerSecond(f64),
}

/// What a target states about itself in an answer.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct TargetNotice {
    /// Its rate limit.
    pub rate_limit: RateLimitNotice,
    /// Whether it is leaving and takes no new requests.
    pub is_leaving: bool,
}
