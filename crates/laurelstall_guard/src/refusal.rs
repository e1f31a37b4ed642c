//! Reasons for which an attempt was not run, and what an entry does after each.

use laurelstall_balance::hint::NORMAL_PERCENT;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Reason of a refusal. Each reason proves that the attempt did not run.
///
/// Nodes send a reason as its index, so new reasons are added at the end. All handling that depends on the
/// reason is defined in [`RefusalReason::properties`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RefusalReason {
    /// The target or its node is draining.
    Draining,
    /// The queue is full, the call lost its place in it to a more important one, or its time in the queue is
    /// over.
    QueueFull,
    /// The call cannot be completed within its time budget.
    Deadline,
    /// The call is returned to its entry while it waits, because another target may be faster.
    HandedBack,
    /// The guard is not responsible for the target that was named; nothing was sent to any target.
    OtherTarget,
    /// The version or a field of the attempt's head is not supported by this node.
    Unreadable,
    /// No connection to the target or its node could be opened.
    NoConnection,
    /// The target reported that it shed the request before running it.
    Shed,
    /// The sender is not a host of the fleet.
    #[serde(rename = "Stranger")]
    UnknownSender,
    /// No attempt was sent because no target may take the call now.
    NoTarget,
    /// The ticket is void because its call was refused before.
    TicketVoid,
    /// The target is in a slow phase, and another may be faster.
    Slow,
    /// The call would wait so long that its answer could not be in time.
    Busy,
    /// The target reported that it is another instance than the one that was named; the request reached it.
    Replaced,
    /// A limit on the calls per second of the target has no capacity for the call in time: its cold-start limit, or
    /// the one that it states in its answers.
    #[serde(rename = "Cold")]
    RateLimited,
    /// The request is quarantined because targets crashed while running it.
    #[serde(rename = "Held")]
    Quarantined,
    /// The target is overloaded, and the level of the call is below the admission threshold. Sent only for attempts that
    /// stated their level, because nodes of earlier versions do not know this reason.
    Overloaded,
}

/// The component that refused an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalSource {
    /// The entry, which sent nothing or could not send the attempt.
    Entry,
    /// The guard, before it sent anything to its target.
    Guard,
    /// The target, after it received the request.
    Target,
}

/// What an entry may do with a call after a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Fail the call, because no target would take it.
    GiveUp,
    /// Try another target, or the same one again, as often as the service's limit on hand-backs allows.
    HandBack,
    /// Try another target. If the call comes back to this one, the guard must not refuse it as slow again.
    SkipSlow,
    /// Try another target free of charge, because the request reached no target.
    RetryFree,
    /// Try another target at the expense of a separate budget, or a few times for a nested call: the request
    /// reached no target, but other targets may be as full.
    RetryLimited,
    /// Try another target at the expense of the retry budget, because the request reached a target.
    RetryBudgeted,
}

/// What a refusal indicates about the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetSignal {
    /// Nothing.
    Nothing,
    /// Calls wait in its queue.
    Queueing,
    /// Its queue is full.
    Full,
    /// It is in a slow phase.
    Slow,
    /// It takes no call before the retry time given in the refusal, because of a limit on its calls per second.
    RateLimit,
    /// It is draining.
    Draining,
    /// It cannot be reached under this name for now.
    Unreachable,
    /// The attempt counts as a failure of the target; otherwise one that refuses at once would look idle and
    /// attract calls.
    Failing,
}

/// How a reason is reported and handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RefusalProperties {
    /// The name used in logs, headers and metrics.
    pub name: &'static str,
    /// The component that refused.
    pub source: RefusalSource,
    /// What the entry does next.
    pub next: NextStep,
    /// What the entry learns about the target.
    pub signal: TargetSignal,
    /// Whether the refusal proves that a ticket's call never runs, rather than only that this attempt did
    /// not.
    pub proves_ticket_not_run: bool,
}

impl RefusalProperties {
    /// Returns whether the request reached a target, so that a further attempt is a further arrival.
    pub fn has_reached_target(&self) -> bool {
        self.source == RefusalSource::Target
    }
}

impl RefusalReason {
    /// All reasons, in the order of their index.
    pub const ALL: [Self; 17] = [
        Self::Draining,
        Self::QueueFull,
        Self::Deadline,
        Self::HandedBack,
        Self::OtherTarget,
        Self::Unreadable,
        Self::NoConnection,
        Self::Shed,
        Self::UnknownSender,
        Self::NoTarget,
        Self::TicketVoid,
        Self::Slow,
        Self::Busy,
        Self::Replaced,
        Self::RateLimited,
        Self::Quarantined,
        Self::Overloaded,
    ];

    /// Returns how this reason is reported and handled.
    #[rustfmt::skip]
    pub const fn properties(self) -> RefusalProperties {
        use TargetSignal as T;
        use NextStep as N;
        use RefusalSource as S;
        let (name, source, next, signal, proves_ticket_not_run) = match self {
            Self::Draining      => ("draining",      S::Guard,  N::RetryFree,     T::Draining,    true),
            Self::QueueFull     => ("queue-full",    S::Guard,  N::RetryLimited,  T::Full,        true),
            Self::Deadline      => ("deadline",      S::Guard,  N::GiveUp,        T::Nothing,     true),
            Self::HandedBack    => ("handed-back",   S::Guard,  N::HandBack,      T::Queueing,    true),
            Self::OtherTarget   => ("other-target",  S::Guard,  N::RetryFree,     T::Unreachable, false),
            Self::Unreadable    => ("unreadable",    S::Guard,  N::RetryFree,     T::Nothing,     false),
            Self::NoConnection  => ("no-connection", S::Entry,  N::RetryFree,     T::Failing,     false),
            Self::Shed          => ("shed",          S::Target, N::RetryBudgeted, T::Failing,     true),
            Self::UnknownSender => ("stranger",      S::Guard,  N::RetryLimited,  T::Nothing,     false),
            Self::NoTarget      => ("no-target",     S::Entry,  N::GiveUp,        T::Nothing,     true),
            Self::TicketVoid    => ("ticket-void",   S::Guard,  N::GiveUp,        T::Nothing,     true),
            Self::Slow          => ("slow",          S::Guard,  N::SkipSlow,      T::Slow,        true),
            Self::Busy          => ("busy",          S::Guard,  N::RetryLimited,  T::Full,        true),
            Self::Replaced      => ("replaced",      S::Target, N::RetryBudgeted, T::Failing,     false),
            Self::RateLimited   => ("cold",          S::Guard,  N::RetryLimited,  T::RateLimit,   true),
            Self::Quarantined   => ("held",          S::Guard,  N::GiveUp,        T::Nothing,     true),
            Self::Overloaded    => ("overloaded",    S::Guard,  N::RetryLimited,  T::Full,        true),
        };
        RefusalProperties { name, source, next, signal, proves_ticket_not_run }
    }

    /// Returns the name used in logs, headers and metrics.
    pub const fn name(self) -> &'static str {
        self.properties().name
    }
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// A refusal with details for the entry's next decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Reason of the refusal.
    pub reason: RefusalReason,
    /// Time after which a retry at this guard makes sense, in ms; 0 when it is not known.
    pub retry_after_ms: u32,
    /// How long work takes at the target now, in percent of normal.
    pub slowness_percent: u32,
}

impl Refusal {
    /// Creates a refusal for `reason` without further details.
    pub fn new(reason: RefusalReason) -> Self {
        Self { reason, retry_after_ms: 0, slowness_percent: NORMAL_PERCENT }
    }

    /// Returns the refusal with a reason that entries know which did not state the level of the call.
    pub fn without_level(self) -> Self {
        let reason = match self.reason {
            RefusalReason::Overloaded => RefusalReason::Busy,
            reason => reason,
        };
        Self { reason, ..self }
    }

    /// Returns the refusal with `retry_after_ms` set.
    pub fn with_retry_after_ms(self, retry_after_ms: u32) -> Self {
        Self { retry_after_ms, ..self }
    }
}
