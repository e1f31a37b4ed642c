//! Calls that wait at a guard, the most important and most urgent first.

use std::{cmp::Reverse, collections::BTreeMap};
use tokio::sync::oneshot;

/// How much a call matters beside others.
///
/// Of two calls of the same importance the one that its caller tries for the first time goes first:
/// its answer still has its full worth, and a caller that was refused once has seen worse already.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rank {
    /// Importance; more goes first.
    pub importance: u8,
    /// Whether the call comes back after an earlier attempt of its caller.
    pub is_return: bool,
}

/// Place of a waiting call: importance, then first attempts, then deadline, then arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    importance: Reverse<u8>,
    is_return: bool,
    deadline_us: u64,
    number: u64,
}

impl Place {
    fn new(rank: Rank, deadline_us: u64, number: u64) -> Self {
        Self { importance: Reverse(rank.importance), is_return: rank.is_return, deadline_us, number }
    }

    /// When the call must be done, in µs of the guard's clock.
    pub fn deadline_us(&self) -> u64 {
        self.deadline_us
    }
}

/// A bounded queue of calls, each with the way to wake it.
#[derive(Debug, Default)]
pub struct WaitQueue {
    waiting: BTreeMap<Place, oneshot::Sender<()>>,
    next_number: u64,
}

impl WaitQueue {
    /// Puts a call in the queue.
    pub fn push(&mut self, rank: Rank, deadline_us: u64) -> (Place, oneshot::Receiver<()>) {
        let (wake, woken) = oneshot::channel();
        let place = Place::new(rank, deadline_us, self.next_number);
        self.next_number += 1;
        self.waiting.insert(place, wake);
        (place, woken)
    }

    /// Takes the first call out and wakes it; false when nobody waits any more.
    pub fn wake_first(&mut self) -> bool {
        while let Some((_, wake)) = self.waiting.pop_first() {
            if wake.send(()).is_ok() {
                return true;
            }
        }
        false
    }

    /// Takes a call out that gave up waiting; false when it was woken already.
    pub fn remove(&mut self, place: &Place) -> bool {
        self.waiting.remove(place).is_some()
    }

    /// Takes out the call that matters least, if it matters less than `rank`.
    pub fn evict_below(&mut self, rank: Rank) -> bool {
        let Some((last, _)) = self.waiting.last_key_value() else { return false };
        let is_lower = (last.importance, last.is_return) > (Reverse(rank.importance), rank.is_return);
        if is_lower {
            self.waiting.pop_last();
        }
        is_lower
    }

    /// Calls ahead of one with this rank and deadline.
    pub fn ahead_of(&self, rank: Rank, deadline_us: u64) -> usize {
        let place = Place::new(rank, deadline_us, u64::MAX);
        self.waiting.range(..place).count()
    }

    /// Calls that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
