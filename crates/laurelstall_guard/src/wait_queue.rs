//! Priority queue of the calls that wait at a guard.

use crate::{
    admission_request::{AdmissionRequest, Rank},
    refusal::RefusalReason,
};
use std::{cmp::Reverse, collections::BTreeMap};
use tokio::sync::oneshot;

/// Sort key of a queued call: importance, then that of the first caller of a chain, then workspaces within their
/// share, then returns with a reserved place, then first attempts, then deadline, then arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueKey {
    importance: Reverse<u8>,
    first_caller_importance: Reverse<u8>,
    is_over_share: bool,
    is_reserved: Reverse<bool>,
    is_caller_retry: bool,
    deadline_us: u64,
    number: u64,
}

impl QueueKey {
    fn new(rank: Rank, deadline_us: u64, number: u64) -> Self {
        Self {
            importance: Reverse(rank.importance),
            first_caller_importance: Reverse(rank.first_caller_importance()),
            is_over_share: rank.is_over_share,
            is_reserved: Reverse(rank.is_reserved),
            is_caller_retry: rank.is_caller_retry,
            deadline_us,
            number,
        }
    }

    /// Returns the part of the key that decides which call loses its place in a full queue.
    fn precedence(&self) -> impl Ord + use<> {
        let Self { importance, first_caller_importance, is_over_share, is_reserved, is_caller_retry, .. } =
            *self;
        (importance, first_caller_importance, is_over_share, is_reserved, is_caller_retry)
    }

    /// Returns the deadline of the call, in µs of the guard's clock.
    pub fn deadline_us(&self) -> u64 {
        self.deadline_us
    }
}

/// Why a queued call is woken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Wake {
    /// A slot is reserved for the call.
    Start,
    /// The call is refused for this reason.
    Refused(RefusalReason),
}

/// A queued call and the channel that wakes it.
#[derive(Debug)]
struct Waiter {
    request: AdmissionRequest,
    /// Whether the call was accepted into the queue and is not refused because of the target's speed any
    /// more.
    is_accepted: bool,
    wake: oneshot::Sender<Wake>,
}

/// A queue of calls ordered by [`QueueKey`]; its owner enforces the length limit.
#[derive(Debug, Default)]
pub struct WaitQueue {
    waiting: BTreeMap<QueueKey, Waiter>,
    next_number: u64,
}

impl WaitQueue {
    /// Adds a call to the queue; a call that is not `is_accepted` may still be refused by the next report of
    /// the target.
    pub fn push(
        &mut self,
        request: &AdmissionRequest,
        is_accepted: bool,
    ) -> (QueueKey, oneshot::Receiver<Wake>) {
        let (wake, woken) = oneshot::channel();
        let key = QueueKey::new(request.rank, request.deadline_us, self.next_number);
        self.next_number += 1;
        self.waiting.insert(key, Waiter { request: *request, is_accepted, wake });
        (key, woken)
    }

    /// Returns the request of the first call.
    pub fn first(&self) -> Option<&AdmissionRequest> {
        self.waiting.first_key_value().map(|(_, waiter)| &waiter.request)
    }

    /// Iterates over key, request and acceptance of each call, in queue order.
    pub fn iter(&self) -> impl Iterator<Item = (&QueueKey, &AdmissionRequest, bool)> {
        self.waiting.iter().map(|(key, waiter)| (key, &waiter.request, waiter.is_accepted))
    }

    /// Marks all queued calls as accepted.
    pub fn accept_all(&mut self) {
        self.waiting.values_mut().for_each(|waiter| waiter.is_accepted = true);
    }

    /// Removes a call and wakes it; returns false when it does not wait any more.
    pub fn wake(&mut self, key: &QueueKey, wake: Wake) -> bool {
        let waiter = self.waiting.remove(key);
        waiter.is_some_and(|waiter| waiter.wake.send(wake).is_ok())
    }

    /// Removes a call that stopped waiting; returns false when it was woken already.
    pub fn remove(&mut self, key: &QueueKey) -> bool {
        self.waiting.remove(key).is_some()
    }

    /// Removes the call with the lowest priority if that is below `rank`; returns whether a call was removed.
    pub fn evict_below(&mut self, rank: Rank) -> bool {
        let Some((last, _)) = self.waiting.last_key_value() else { return false };
        let is_lower = last.precedence() > QueueKey::new(rank, 0, 0).precedence();
        if is_lower {
            self.waiting.pop_last();
        }
        is_lower
    }

    /// Returns how many calls are ahead of one with this rank and deadline.
    pub fn ahead_of(&self, rank: Rank, deadline_us: u64) -> usize {
        let key = QueueKey::new(rank, deadline_us, u64::MAX);
        self.waiting.range(..key).count()
    }

    /// Returns the number of queued calls.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
