//! Why a guard did not run a call.

use laurelstall_balance::hint::USUAL_PERCENT;
use serde::{Deserialize, Serialize};
use std::fmt;

/// The reason of a refusal. Each is proof that this attempt did not run.
///
/// It travels between nodes by its place in this list: new ones go to the end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RefusalReason {
    /// The target or its node is leaving.
    Draining,
    /// As many calls wait as may.
    QueueFull,
    /// The call cannot be done within its time budget.
    Deadline,
    /// The call waited a usual service time and another target may be quicker.
    HandedBack,
    /// This guard does not guard the target that was named: nothing was sent to any target.
    OtherTarget,
    /// The head's version or a field of it is not known here.
    Unreadable,
    /// The target took no connection.
    NoConnection,
    /// The target said that it shed the call before running it.
    Shed,
    /// The sender is no host of the fleet.
    Stranger,
    /// No attempt was sent: no target may take the call now.
    NoTarget,
    /// The ticket was refused before and is void: its call never runs.
    TicketVoid,
    /// The target works slowly now and another may be quicker.
    Slow,
    /// The call would wait so long that its answer had no full worth any more.
    Busy,
    /// The target itself said that it is another than the one that was named: the request has reached it.
    Replaced,
}

impl RefusalReason {
    /// Whether another target may well take the call.
    pub fn may_go_elsewhere(self) -> bool {
        !matches!(self, Self::Deadline | Self::TicketVoid)
    }

    /// Whether trying elsewhere costs no target anything, so that no retry budget is needed.
    pub fn is_free_to_retry(self) -> bool {
        matches!(
            self,
            Self::Draining | Self::NoConnection | Self::OtherTarget | Self::Unreadable | Self::Replaced
        )
    }

    /// The word used in logs, headers and metrics.
    pub fn word(self) -> &'static str {
        match self {
            Self::Draining => "draining",
            Self::QueueFull => "queue-full",
            Self::Deadline => "deadline",
            Self::HandedBack => "handed-back",
            Self::OtherTarget => "other-target",
            Self::Unreadable => "unreadable",
            Self::NoConnection => "no-connection",
            Self::Shed => "shed",
            Self::Stranger => "stranger",
            Self::NoTarget => "no-target",
            Self::TicketVoid => "ticket-void",
            Self::Slow => "slow",
            Self::Busy => "busy",
            Self::Replaced => "replaced",
        }
    }
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.word())
    }
}

/// A refusal with what helps the entry decide what is next.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// When a further try here makes sense, in ms; 0 when the guard cannot tell.
    pub retry_after_ms: u32,
    /// How long work takes at the target now, in percent of the usual.
    pub slowness_percent: u32,
}

impl Refusal {
    /// A refusal for `reason`.
    pub fn new(reason: RefusalReason) -> Self {
        Self { reason, retry_after_ms: 0, slowness_percent: USUAL_PERCENT }
    }
}
