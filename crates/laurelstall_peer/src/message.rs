//! The messages between nodes.

use crate::fleet_corrections::FleetCorrections;
use laurelstall_balance::hint::{Hint, TargetState};
use laurelstall_config::document::{DocumentName, Version};
use laurelstall_crash::{
    crash_record::CrashReport, report_batch::CrashReportBatch, request_digest::RequestDigest,
};
use laurelstall_guard::refusal::Refusal;
use laurelstall_workspace::owned_shares::{Grant, ShareKey};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// When the body of a request is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum BodyKind {
    /// There is no body.
    Empty,
    /// The body follows the head immediately.
    AtOnce,
    /// The body follows after [`PeerAnswer::Admitted`], so that a rejected call still has its body for
    /// another attempt.
    AfterAdmission,
    /// The body follows after [`PeerAnswer::Admitted`], and the guard buffers all of it before the target
    /// receives anything. A call that was queued when its node or connection failed has therefore not run.
    #[serde(rename = "OnGo")]
    BufferedAfterAdmission,
}

/// Head of one attempt at a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptHead {
    /// Number of the call, repeated in the answer.
    pub call_id: u64,
    /// Full name of the service.
    pub service: String,
    /// Name of the target that runs the call.
    pub target: String,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub uri: String,
    /// Digest that identifies identical requests.
    pub digest: RequestDigest,
    /// End-to-end headers.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Remaining time budget in µs, counted from when the head is read.
    pub budget_us: u64,
    /// Time in µs within which the answer is fully useful, counted like the budget.
    pub useful_us: u64,
    /// Class of the call; calls of the same route have the same class and similar costs.
    pub class: u32,
    /// Importance; calls of higher importance leave a queue first.
    pub importance: u8,
    /// Name of the workspace within the team of the service; empty for none.
    pub workspace: String,
    /// Whether the caller retries a call after an earlier attempt.
    pub is_return: bool,
    /// Whether a target may have run the call before, or whether the calling request is itself such a
    /// repeat. Calls made by a repeat are repeats as well.
    pub is_repeat: bool,
    /// Whether the call is safe to run more than once.
    pub may_repeat: bool,
    /// Whether the guard may hand back the call while it is queued.
    pub may_hand_back: bool,
    /// Number of times that the call was handed back.
    pub hand_backs: u32,
    /// Slowness of the target, in percent of its normal speed, from which the guard rejects the call;
    /// `None` to run it at any speed.
    pub slow_from_percent: Option<u32>,
    /// Incarnation of the guard and number of the ticket that the call uses.
    pub ticket: Option<(u64, u64)>,
    /// When the body is sent.
    pub body: BodyKind,
    /// Whether the answer may contain a hint.
    pub wants_hint: bool,
}

/// A load hint on a target in wire format.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireHint {
    incarnation: u32,
    in_flight: u16,
    queued: u16,
    limit: u16,
    service_us: u32,
    slowness_percent: u16,
    is_draining: bool,
}

impl From<Hint> for WireHint {
    fn from(hint: Hint) -> Self {
        Self {
            incarnation: hint.incarnation,
            in_flight: saturated(hint.in_flight),
            queued: saturated(hint.queued),
            limit: saturated(hint.limit),
            service_us: hint.service_us,
            slowness_percent: saturated(hint.slowness_percent),
            is_draining: hint.state == TargetState::Draining,
        }
    }
}

impl From<WireHint> for Hint {
    fn from(wire: WireHint) -> Self {
        let state = if wire.is_draining { TargetState::Draining } else { TargetState::Serving };
        Self {
            incarnation: wire.incarnation,
            in_flight: wire.in_flight.into(),
            queued: wire.queued.into(),
            limit: wire.limit.into(),
            service_us: wire.service_us,
            slowness_percent: wire.slowness_percent.into(),
            state,
        }
    }
}

fn saturated(count: u32) -> u16 {
    u16::try_from(count).unwrap_or(u16::MAX)
}

/// Requests tickets from a guard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketsRequest {
    /// Full name of the service.
    pub service: String,
    /// Name of the target for which the tickets are valid.
    pub target: String,
    /// Number of tickets.
    pub count: u32,
}

/// A document to pull, with the version that the requesting node holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PullItem {
    /// Name of the document.
    pub name: DocumentName,
    /// Version that the requesting node holds, or [`Version::NONE`].
    pub known_version: Version,
    /// Checksum of the text of that version.
    pub known_checksum: u64,
}

/// Text of a document in transfer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TransferText {
    /// The whole text, compressed.
    Whole(Vec<u8>),
    /// A compressed delta to the version that the requesting node holds.
    Delta(Vec<u8>),
}

impl TransferText {
    /// Returns the compressed text.
    pub fn packed(&self) -> &[u8] {
        match self {
            Self::Whole(packed) | Self::Delta(packed) => packed,
        }
    }
}

/// A document in transfer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transfer {
    /// Name of the document.
    pub name: DocumentName,
    /// Version of the document.
    pub version: Version,
    /// Checksum of the text.
    pub checksum: u64,
    /// Length of the text in bytes.
    pub text_bytes: u32,
    /// Time since a node read the document from the platform, in ms.
    pub read_age_ms: u64,
    /// The packed text.
    pub text: TransferText,
}

/// Summary of a node's versions and its knowledge of the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Exchange {
    /// Hash of all held versions.
    pub versions_hash: u64,
    /// Time since the last known read of the platform, in ms.
    pub platform_read_age_ms: u64,
    /// Time since the first platform read that no outage separates from the last one, in ms.
    pub platform_reads_from_age_ms: u64,
    /// Time since the last known outage of the platform ended, in ms; `None` if there was none.
    #[serde(rename = "platform_return_age_ms")]
    pub outage_end_age_ms: Option<u64>,
    /// Hash of all crash reports.
    pub crashes_hash: u64,
    /// Hash of the corrections since the last restore of the platform; 0 for none.
    #[serde(rename = "carried_hash")]
    pub corrections_hash: u64,
    /// Upper bound for the age of the held documents, in ms: at that time the platform held nothing newer.
    pub documents_age_ms: u64,
}

/// The differences between the crash records of two nodes, for the node that requested the comparison.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashDifferences {
    /// The reports that the requesting node lacks, or of which it knows other facts.
    pub reports: CrashReportBatch,
    /// The fingerprints of the requesting node that the answering node lacks.
    pub lacking: Vec<u64>,
}

/// A request to another node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Run an attempt at a call.
    Attempt(AttemptHead),
    /// Return the load hint of the node's target.
    Probe,
    /// Issue tickets.
    Tickets(TicketsRequest),
    /// Compare versions.
    Exchange(Exchange),
    /// Offer versions: the address and status of the sender, and the versions.
    Offer(SocketAddr, Exchange, Vec<(DocumentName, Version)>),
    /// Send the newer versions of these documents.
    Pull(Vec<PullItem>),
    /// Return whether the node can read the platform.
    CanRead,
    /// New crash reports of a node of an earlier build.
    #[serde(rename = "CrashNews")]
    CrashReports(Vec<CrashReport>),
    /// All crash reports of a node of an earlier build; the answer contains those of this node.
    CompareCrashes(Vec<CrashReport>),
    /// The corrections of the sender; the answer contains those of the node.
    #[serde(rename = "CompareCarried")]
    CompareCorrections(Option<FleetCorrections>),
    /// Take tokens from a share that the node owns.
    TakeTokens(ShareKey, u32),
    /// Return tokens of calls that did not run.
    ReturnTokens(ShareKey, u32),
    /// New crash reports.
    CrashReportBatch(CrashReportBatch),
    /// Fingerprints of all crash records of the sender; the answer contains the differences.
    CompareCrashFingerprints(Vec<u64>),
}

/// An answer to a [`PeerRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerAnswer {
    /// The call has a slot; its body is to be sent.
    Admitted,
    /// The target answered; the body follows.
    Answered {
        /// Number of the call.
        call_id: u64,
        /// HTTP status.
        status: u16,
        /// End-to-end headers.
        headers: Vec<(String, Vec<u8>)>,
        /// Load hint on the target.
        hint: Option<WireHint>,
    },
    /// The call did not run.
    NotRun {
        /// Number of the call.
        call_id: u64,
        /// Why the call did not run.
        refusal: Refusal,
        /// Load hint on the target.
        hint: Option<WireHint>,
    },
    /// Whether the call ran is unknown.
    Unknown {
        /// Number of the call.
        call_id: u64,
        /// Crash report on the request if the target crashed while running it.
        ended: Option<CrashReport>,
        /// Load hint on the target.
        hint: Option<WireHint>,
    },
    /// The load hint; `None` if the budget for observation is used up.
    Probed(Option<WireHint>),
    /// Issued tickets with consecutive numbers.
    Tickets {
        /// Incarnation of the guard.
        incarnation: u64,
        /// Number of the first ticket.
        first: u64,
        /// Number of tickets.
        count: u32,
        /// Lifetime of the tickets in ms.
        lifetime_ms: u64,
    },
    /// Both nodes hold the same versions.
    Same(Exchange),
    /// The versions differ; these are the ones held here.
    Versions(Exchange, Vec<(DocumentName, Version)>),
    /// The requested documents.
    Documents(Vec<Transfer>),
    /// The message was processed; there is nothing to return.
    Noted,
    /// Whether the last read of the platform, if there was one, succeeded.
    CanRead(bool),
    /// The crash reports for a node of an earlier build.
    Crashes(Vec<CrashReport>),
    /// The corrections since the last restore of the platform.
    #[serde(rename = "Carried")]
    Corrections(Option<FleetCorrections>),
    /// Granted tokens; `None` if another node may own the share.
    Tokens(Option<Grant>),
    /// The request was rejected for this reason.
    Refused(Refusal),
    /// The differences between the crash records of two nodes.
    CrashDifferences(CrashDifferences),
}
