//! Calls that wait at a guard, the most important and most urgent first.

use std::{cmp::Reverse, collections::BTreeMap};
use tokio::sync::oneshot;

/// Place of a waiting call: importance, then deadline, then arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    importance: Reverse<u8>,
    deadline_us: u64,
    number: u64,
}

impl Place {
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
    pub fn push(&mut self, importance: u8, deadline_us: u64) -> (Place, oneshot::Receiver<()>) {
        let (wake, woken) = oneshot::channel();
        let place = Place { importance: Reverse(importance), deadline_us, number: self.next_number };
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

    /// Takes out the call that matters least, if it matters less than `importance`.
    pub fn evict_below(&mut self, importance: u8) -> bool {
        let Some((last, _)) = self.waiting.last_key_value() else { return false };
        let is_lower = last.importance.0 < importance;
        if is_lower {
            self.waiting.pop_last();
        }
        is_lower
    }

    /// Calls ahead of one with this importance and deadline.
    pub fn ahead_of(&self, importance: u8, deadline_us: u64) -> usize {
        let place = Place { importance: Reverse(importance), deadline_us, number: u64::MAX };
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
