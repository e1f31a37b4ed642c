//! Rows of the answers of the administration API.

use laurelstall_balance::hint::Hint;
use laurelstall_config::document::DocumentName;
use laurelstall_crash::crash_table::{RequestStatus, SuspectState};
use laurelstall_peer::rejection::RejectedVersion;
use serde::Serialize;

/// A workspace, as this node sees it.
#[derive(Debug, Serialize)]
pub(super) struct WorkspaceRow {
    /// Full name, `team/workspace`.
    pub(super) workspace: String,
    /// Quota in calls per second. `None` when calls are unlimited.
    pub(super) calls_per_s: Option<f64>,
    pub(super) burst: Option<f64>,
    /// Calls at this node that got a token since its start.
    pub(super) taken: u64,
    /// Calls at this node that were refused because the quota was exhausted.
    pub(super) spent: u64,
    /// Calls at this node that were refused because no owner of a quota share answered.
    pub(super) unanswered: u64,
    /// Remaining tokens of each quota share that this node owns.
    pub(super) owned_tokens: Vec<f64>,
}

/// A request that was running when targets crashed.
#[derive(Debug, Serialize)]
pub(super) struct SuspectRow {
    pub(super) digest: String,
    pub(super) service: String,
    pub(super) state: &'static str,
    pub(super) ends: usize,
    pub(super) last_end_age_ms: u64,
    /// `None` while the request is not quarantined.
    pub(super) retry_after_ms: Option<u64>,
}

impl From<SuspectState> for SuspectRow {
    fn from(state: SuspectState) -> Self {
        let (state_name, retry_after_ms) = match state.request_status {
            RequestStatus::Harmless => ("harmless", None),
            RequestStatus::Suspected(_) => ("suspected", None),
            RequestStatus::Quarantined { retry_after_ms } => ("held", Some(retry_after_ms)),
            RequestStatus::HalfOpen => ("trial", None),
        };
        Self {
            digest: state.digest.to_string(),
            service: state.service,
            state: state_name,
            ends: state.crashes,
            last_end_age_ms: state.last_crash_age_ms,
            retry_after_ms,
        }
    }
}

#[derive(Debug, Serialize)]
pub(super) struct TargetRow {
    pub(super) service: String,
    pub(super) target: String,
    pub(super) host: String,
    pub(super) is_live: bool,
    /// Whether it has stated to this entry that it is leaving.
    pub(super) is_leaving: bool,
    /// Rate limit that it stated last to this entry; `None` without one.
    pub(super) rate_limit_per_s: Option<f64>,
    pub(super) is_eligible: bool,
    pub(super) in_flight: u32,
    pub(super) error_rate: f64,
    pub(super) latency_us: u64,
    pub(super) ejections: u32,
    pub(super) hint_age_ms: Option<u64>,
    pub(super) hint: Option<HintRow>,
}

#[derive(Debug, Serialize)]
pub(super) struct HintRow {
    pub(super) in_flight: u32,
    pub(super) queued: u32,
    pub(super) limit: u32,
    pub(super) service_us: u32,
    pub(super) state: String,
}

impl From<Hint> for HintRow {
    fn from(hint: Hint) -> Self {
        Self {
            in_flight: hint.in_flight,
            queued: hint.queued,
            limit: hint.limit,
            service_us: hint.service_us,
            state: format!("{:?}", hint.state).to_lowercase(),
        }
    }
}

/// A version of a document that is not active here.
#[derive(Debug, Serialize)]
pub(super) struct RejectionRow {
    document: String,
    version: String,
    reason: String,
    /// Time since which this node lacks the newest version that it knows, in ms.
    age_ms: u64,
}

impl RejectionRow {
    pub(super) fn new(document: &DocumentName, rejected: &RejectedVersion) -> Self {
        Self {
            document: document.to_string(),
            version: rejected.version.to_string(),
            reason: rejected.reason.to_string(),
            age_ms: rejected.age_ms(),
        }
    }
}
