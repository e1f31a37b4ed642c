//! The messages between nodes.

use crate::carried_news::CarriedNews;
use laurelstall_balance::hint::{Hint, TargetState};
use laurelstall_config::document::{DocumentName, Version};
use laurelstall_crash::{crash_record::CrashNews, request_digest::RequestDigest};
use laurelstall_guard::refusal::Refusal;
use laurelstall_workspace::owned_shares::{Grant, ShareKey};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// How a request body comes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum BodyKind {
    /// There is none.
    Empty,
    /// It follows the head at once.
    AtOnce,
    /// It follows once the guard said [`PeerAnswer::Admitted`], so that a refused call still
    /// has its body and can go elsewhere.
    AfterAdmission,
    /// It follows once the guard said [`PeerAnswer::Admitted`], and the target sees nothing before all of
    /// it has come: a call that only waits when its node or the way to it dies has not run.
    OnGo,
}

/// The head of one attempt at a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptHead {
    /// The call's number, the same in the answer.
    pub call_id: u64,
    /// Full name of the service.
    pub service: String,
    /// The target that must run it.
    pub target: String,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub uri: String,
    /// What makes it the same request as another one.
    pub digest: RequestDigest,
    /// End-to-end headers.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Time left in µs, counted from when the head is read.
    pub budget_us: u64,
    /// Time in which the answer has its full worth in µs, counted like the budget.
    pub useful_us: u64,
    /// The class of the call: calls of one route do about the same work.
    pub class: u32,
    /// Importance; higher leaves a queue first.
    pub importance: u8,
    /// Name of its workspace within the team of the service; empty for none.
    pub workspace: String,
    /// Whether the call comes back after an earlier attempt of its caller.
    pub is_return: bool,
    /// Whether a target may have run it before, or a run that makes it is such a repeat: the calls that this run makes
    /// are repeats as well.
    pub is_repeat: bool,
    /// Whether the call may run more than once.
    pub may_repeat: bool,
    /// Whether the guard may hand the call back while it waits.
    pub may_hand_back: bool,
    /// Times it was handed back before.
    pub hand_backs: u32,
    /// Slowness of its target from which the guard refuses the call, in percent of the usual; none when
    /// it is to run however slow the target is.
    pub slow_from_percent: Option<u32>,
    /// Incarnation and number of the ticket it brings.
    pub ticket: Option<(u64, u64)>,
    /// How its body comes.
    pub body: BodyKind,
    /// Whether the answer may carry a hint.
    pub wants_hint: bool,
}

/// A guard's word on its target, as it travels.
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

/// Asks a guard for tickets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketsRequest {
    /// Full name of the service.
    pub service: String,
    /// The target they are for.
    pub target: String,
    /// How many.
    pub count: u32,
}

/// A document and what the asker has of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PullItem {
    /// Which document.
    pub name: DocumentName,
    /// The version the asker has; [`Version::NONE`] for none.
    pub known_version: Version,
    /// Checksum of that version's text.
    pub known_checksum: u64,
}

/// A document's text on its way.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TransferText {
    /// All of it, compressed.
    Whole(Vec<u8>),
    /// Compressed against the version the asker has.
    Delta(Vec<u8>),
}

/// A document on its way.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transfer {
    /// Which document.
    pub name: DocumentName,
    /// Its version.
    pub version: Version,
    /// Checksum of its text.
    pub checksum: u64,
    /// Bytes of its text.
    pub text_bytes: u32,
    /// Since a node read it from the platform, in ms.
    pub read_age_ms: u64,
    /// Its text.
    pub text: TransferText,
}

/// Which versions a node has, and how old its news from the platform is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Exchange {
    /// Hash of all versions.
    pub versions_hash: u64,
    /// Since a platform read that the node heard of, in ms.
    pub platform_read_age_ms: u64,
    /// Since the first of the platform reads that the node heard of without an outage between them, in ms.
    pub platform_reads_from_age_ms: u64,
    /// Since the platform came back after it was away, as far as the node heard, in ms; none when
    /// it never was.
    pub platform_return_age_ms: Option<u64>,
    /// Hash of what is known of requests that ended targets.
    pub crashes_hash: u64,
    /// Hash of what is carried over the last return of the platform; 0 for nothing.
    pub carried_hash: u64,
    /// The documents held are at least as new as the platform's were so long ago, in ms.
    pub documents_age_ms: u64,
}

/// What a node asks of another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Run a call.
    Attempt(AttemptHead),
    /// Say how your target is.
    Probe,
    /// Give tickets.
    Tickets(TicketsRequest),
    /// Compare versions.
    Exchange(Exchange),
    /// The sender, at this address, has these versions, and this news from the platform.
    Offer(SocketAddr, Exchange, Vec<(DocumentName, Version)>),
    /// Send documents newer than these.
    Pull(Vec<PullItem>),
    /// Say whether you can read the platform.
    CanRead,
    /// The sender has just heard this of requests that ended targets.
    CrashNews(Vec<CrashNews>),
    /// The sender knows this of requests that ended targets, and nothing else: say what you know besides.
    CompareCrashes(Vec<CrashNews>),
    /// The sender carries this over the last return of the platform: say what you do.
    CompareCarried(Option<CarriedNews>),
    /// Give so many tokens of a share that you own.
    TakeTokens(ShareKey, u32),
    /// The calls of so many tokens did not run.
    ReturnTokens(ShareKey, u32),
}

/// What a node answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerAnswer {
    /// The call has a slot: send its body.
    Admitted,
    /// The target answered; the body follows.
    Answered {
        /// The call's number.
        call_id: u64,
        /// HTTP status.
        status: u16,
        /// End-to-end headers.
        headers: Vec<(String, Vec<u8>)>,
        /// How the target is.
        hint: Option<WireHint>,
    },
    /// The call did not run.
    NotRun {
        /// The call's number.
        call_id: u64,
        /// Why.
        refusal: Refusal,
        /// How the target is.
        hint: Option<WireHint>,
    },
    /// The call may have run.
    Unknown {
        /// The call's number.
        call_id: u64,
        /// What is known of the call's request, when the target ended while it was at work there.
        ended: Option<CrashNews>,
        /// How the target is.
        hint: Option<WireHint>,
    },
    /// How the target is; none when the budget for observing is spent.
    Probed(Option<WireHint>),
    /// Tickets with consecutive numbers.
    Tickets {
        /// The guard's start.
        incarnation: u64,
        /// The first number.
        first: u64,
        /// How many.
        count: u32,
        /// Lifetime in ms.
        lifetime_ms: u64,
    },
    /// Versions are the same on both sides.
    Same(Exchange),
    /// Versions differ; these are here.
    Versions(Exchange, Vec<(DocumentName, Version)>),
    /// Documents that were asked for.
    Documents(Vec<Transfer>),
    /// Taken note of.
    Noted,
    /// Whether the last read of the platform, if there was one, succeeded.
    CanRead(bool),
    /// What is known here of requests that ended targets.
    Crashes(Vec<CrashNews>),
    /// What is carried here over the last return of the platform.
    Carried(Option<CarriedNews>),
    /// Tokens; none when another node may own the share.
    Tokens(Option<Grant>),
    /// Not done, for this reason.
    Refused(Refusal),
}
