//! Splits the quota of a workspace into shares.

use laurelstall_config::{settings::QuotaLimits, workspace::Quota};

/// Largest number of shares of a quota. When the owner of one is lost, the others still have two thirds of the quota.
/// Quotas are usually half as much again as what services use.
pub const SHARES_MAX: u8 = 3;
/// Smallest number of calls of a share in its burst and one second together. Smaller shares are empty too often, so
/// a tenth of the callers below their quota would be refused.
const SHARE_CALLS_MIN: f64 = 4.0;
/// Part of the allowed overrun that enlarges the burst, so that a workspace below its quota over a window is not
/// refused for uneven arrivals.
const BURST_PART: f64 = 0.5;
/// Number of restarts of one owner in a window that the rest of the allowed overrun covers.
const RESTARTS: f64 = 3.0;

/// The parameters of a quota's shares, which are all equal.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaSplit {
    /// Number of shares.
    pub shares: u8,
    /// Refill rate of each share in tokens per second.
    pub per_s: f64,
    /// Bucket size of each share in tokens.
    pub size: f64,
    /// Number of tokens in the bucket of a share when its owner starts.
    pub initial_tokens: f64,
}

impl QuotaSplit {
    /// Splits a quota; `limits` set by how much it may be exceeded.
    ///
    /// The allowed overrun is divided: `BURST_PART` enlarges the burst; the rest is the initial tokens of an owner that
    /// may restart `RESTARTS` times in a window without knowing which tokens were granted. It also covers shares with
    /// two owners while a new list of hosts spreads.
    pub fn new(quota: &Quota, limits: &QuotaLimits) -> Self {
        let calls = quota.calls_per_s + quota.burst;
        let shares = (calls / SHARE_CALLS_MIN).clamp(1.0, f64::from(SHARES_MAX)) as u8;
        let parts = f64::from(shares);
        let window_calls = quota.calls_per_s * limits.window_s + quota.burst;
        let overrun = window_calls * limits.overrun + limits.slack;
        // A bucket smaller than one token would never grant one.
        let size = ((quota.burst + overrun * BURST_PART) / parts).max(1.0);
        let initial_tokens = (overrun * (1.0 - BURST_PART) / RESTARTS / parts).min(size);
        Self { shares, per_s: quota.calls_per_s / parts, size, initial_tokens }
    }
}
