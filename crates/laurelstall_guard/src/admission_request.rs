//! What a guard needs to know about a call to admit it.

use laurelstall_balance::class_times::CallClass;
use laurelstall_config::route::ROUTE_IMPORTANCE_MAX;
use laurelstall_overload::call_level::CallLevel;

/// Number of importance levels of a route or a workspace.
const IMPORTANCE_STEPS: u8 = ROUTE_IMPORTANCE_MAX + 1;

/// Importance of a nested call, which a running call waits for. It is above that of all other calls, because
/// the work already done for the running call is lost if the nested one fails.
pub const NESTED_CALL_IMPORTANCE: u8 = IMPORTANCE_STEPS * IMPORTANCE_STEPS;

/// Combines the importance of a workspace and of a route, each 0 to 9, into that of a call; the workspace's
/// decides first. A call whose workspace sets none uses the importance of its route for both.
pub fn call_importance(workspace: Option<u8>, route: u8) -> u8 {
    let route = route.min(ROUTE_IMPORTANCE_MAX);
    let workspace = workspace.map_or(route, |importance| importance.min(ROUTE_IMPORTANCE_MAX));
    workspace * IMPORTANCE_STEPS + route
}

/// The workspace that a call counts for when a busy target is shared fairly between workspaces.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkspaceShare {
    /// Hash of the workspace's name; 0 for calls without a workspace.
    pub id: u64,
    /// Weight of the workspace's share of the target, relative to other workspaces.
    pub weight: u32,
}

impl WorkspaceShare {
    /// The share of all calls without a workspace.
    pub const NO_WORKSPACE: Self = Self { id: 0, weight: 1 };
}

/// What a guard needs to know about a call to admit it.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionRequest {
    /// Priority of the call in the queue.
    pub rank: Rank,
    /// The workspace that the call counts for.
    pub workspace_share: WorkspaceShare,
    /// Class of the call; calls of one class take about the same time.
    pub class: CallClass,
    /// Deadline of the call, in µs of the guard's clock.
    pub deadline_us: u64,
    /// End of the time in which an answer meets the latency objective, in µs of the guard's clock; at most
    /// the deadline.
    pub useful_until_us: u64,
    /// Time from the call's arrival to `useful_until_us`, in µs.
    pub useful_us: u64,
    /// Whether the call may be handed back to its entry while it waits, so that the entry can try another
    /// target.
    pub may_hand_back: bool,
    /// How often the call was handed back before; each time doubles the delay before the next hand-back.
    pub hand_backs: u32,
    /// Slowness of the target, in percent of normal, from which the call is refused because another target
    /// may be faster; `None` when there is no other target.
    pub slow_from_percent: Option<u32>,
}

/// Priority of a call. [`QueueKey`](crate::wait_queue::QueueKey) compares importance, importance of the first caller,
/// `is_over_share`, `is_reserved` and `is_caller_retry` in this order.
///
/// Among calls of the same importance, those of workspaces within their share go first. Among these, returns with a
/// reserved place go before first attempts, because their callers have waited as told; first attempts go before other
/// retries, because a first attempt has its whole latency objective left.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rank {
    /// Importance; calls with a higher one go first.
    pub importance: u8,
    /// Whether the workspace has more calls at this guard than its share; set by the guard on admission.
    pub is_over_share: bool,
    /// Whether the caller returned at a time for which the entry reserved a place.
    pub is_reserved: bool,
    /// Whether the caller appears to be retrying an earlier call, judged by its time budget.
    pub is_caller_retry: bool,
    /// Level of the request that the call is made for, by which calls are admitted during overload.
    pub level: CallLevel,
    /// Whether nested calls go by the importance of the first request of their chain.
    pub is_ordered_by_first_caller: bool,
}

impl Rank {
    /// Creates the rank of a call whose workspace is within its share.
    pub const fn new(importance: u8, is_caller_retry: bool) -> Self {
        let level = CallLevel { importance, bucket: 0 };
        Self {
            importance,
            is_over_share: false,
            is_reserved: false,
            is_caller_retry,
            level,
            is_ordered_by_first_caller: false,
        }
    }

    /// Returns the rank with the level that the attempt states.
    pub fn with_level(self, level: CallLevel) -> Self {
        Self { level, ..self }
    }

    /// Returns the rank of a call for which a place may be reserved.
    pub const fn with_reservation(self, is_reserved: bool) -> Self {
        Self { is_reserved, ..self }
    }

    /// Returns the rank with nested calls ordered by the importance of the first request of their chain, if `is_on`.
    pub fn by_first_caller(self, is_on: bool) -> Self {
        Self { is_ordered_by_first_caller: is_on, ..self }
    }

    /// Returns the importance of the first request of the chain, by which nested calls go; 0 if they do not.
    pub fn first_caller_importance(&self) -> u8 {
        if self.is_ordered_by_first_caller && self.is_nested() { self.level.importance } else { 0 }
    }

    /// Whether this is a nested call, which a running call waits for.
    pub fn is_nested(&self) -> bool {
        self.importance >= NESTED_CALL_IMPORTANCE
    }
}
