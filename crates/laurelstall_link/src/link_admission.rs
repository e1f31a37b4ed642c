//! Admits calls by the time that the link needs for their bodies.

use crate::{
    answer_sizes::AnswerSizes,
    link_scheduler::{LinkScheduler, SMALL_BODY_BYTES},
};
use std::collections::BTreeMap;

/// Longest retry time in µs. Callers wait up to a third of their remaining time, and bursts last seconds.
const RETRY_MAX_US: u64 = 5_000_000;
/// Share of a call's useful time that may pass until its body is sent, in percent. Answers differ in size and in the
/// time until they begin, and callers need them within their objective.
const USEFUL_PERCENT: u64 = 90;
/// Retry time in µs while the memory for slow readers is used up, which the link cannot predict.
const HELD_RETRY_US: u64 = 1_000_000;

/// A call whose body would be sent over the link.
#[derive(Debug, Clone, Copy)]
pub struct LinkCall {
    /// Class of the call.
    pub class: u32,
    /// Importance of its pieces.
    pub importance: u8,
    /// Whether a running call waits for it.
    pub is_nested: bool,
    /// Time left in which its answer is useful, in µs.
    pub useful_us: u64,
}

/// Bytes that the answer of an admitted call is expected to have.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExpectedAnswer {
    /// Importance of the call.
    pub importance: u8,
    /// Expected size of the answer; 0 for a small one.
    pub bytes: u64,
}

/// A call whose body could not be sent in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LinkRefusal {
    /// Time until the link has room for it, in µs.
    pub retry_after_us: u64,
}

/// Admits calls by the time that the link needs for their bodies.
///
/// *Load pattern*: calls with large answers or uploads that need more than the bandwidth for seconds. Without admission
/// all of them are sent and most are late. A call counts from its admission, because a guard runs several calls at once
/// whose answers are not yet waiting. Nested and small calls are always admitted.
#[derive(Debug, Default)]
pub struct LinkAdmission {
    sizes: AnswerSizes,
    /// Bytes expected of admitted calls that are not answered yet, by importance.
    expected: BTreeMap<u8, u64>,
    /// When the link has room for the caller that was refused last.
    room_us: u64,
}

impl LinkAdmission {
    /// Learns the size of an answer.
    pub fn note_answer(&mut self, class: u32, bytes: u64) {
        self.sizes.note(class, bytes);
    }

    /// The expected size of the answers of a class in bytes; `None` before its first answer.
    pub fn answer_bytes(&self, class: u32) -> Option<u64> {
        self.sizes.mean_bytes(class)
    }

    /// Admits a call by the size of its answer. What it returns counts until [`end`](Self::end).
    ///
    /// # Errors
    ///
    /// Returns [`LinkRefusal`] if the answer could not be sent in time, or `is_memory_full` and the answer is large.
    pub fn admit_answer(
        &mut self,
        call: &LinkCall,
        link: &LinkScheduler,
        is_memory_full: bool,
        now_us: u64,
    ) -> Result<ExpectedAnswer, LinkRefusal> {
        let bytes = self.sizes.mean_bytes(call.class).filter(|bytes| *bytes > SMALL_BODY_BYTES).unwrap_or(0);
        self.admit(call, bytes, link, is_memory_full, now_us)?;
        if bytes > 0 {
            *self.expected.entry(call.importance).or_default() += bytes;
        }
        Ok(ExpectedAnswer { importance: call.importance, bytes })
    }

    /// Admits the upload of a body of known size.
    ///
    /// # Errors
    ///
    /// Returns [`LinkRefusal`] if the body could not be sent in time, or `is_memory_full`.
    pub fn admit_upload(
        &mut self,
        call: &LinkCall,
        bytes: u64,
        link: &LinkScheduler,
        is_memory_full: bool,
        now_us: u64,
    ) -> Result<(), LinkRefusal> {
        self.admit(call, bytes, link, is_memory_full, now_us)
    }

    /// Ends the count of an admitted call: its answer has begun, or it will have none.
    pub fn end(&mut self, answer: ExpectedAnswer) {
        let Some(bytes) = self.expected.get_mut(&answer.importance) else { return };
        *bytes = bytes.saturating_sub(answer.bytes);
        if *bytes == 0 {
            self.expected.remove(&answer.importance);
        }
    }

    fn admit(
        &mut self,
        call: &LinkCall,
        bytes: u64,
        link: &LinkScheduler,
        is_memory_full: bool,
        now_us: u64,
    ) -> Result<(), LinkRefusal> {
        if call.is_nested || bytes <= SMALL_BODY_BYTES {
            return Ok(());
        }
        if is_memory_full {
            return Err(LinkRefusal { retry_after_us: HELD_RETRY_US });
        }
        let expected = self.expected.range(call.importance..).map(|(_, bytes)| bytes).sum::<u64>();
        let ahead = link.bytes_ahead(call.importance, bytes, now_us).saturating_add(expected);
        let own_us = link.send_us(bytes);
        let sent_us = link.send_us(ahead).saturating_add(own_us);
        // On an idle link, a late answer delays nobody.
        let limit_us = call.useful_us.saturating_mul(USEFUL_PERCENT) / 100;
        if ahead == 0 || sent_us <= limit_us {
            return Ok(());
        }
        let wait_us = (sent_us - limit_us).min(RETRY_MAX_US);
        Err(LinkRefusal { retry_after_us: self.next_room_us(now_us, wait_us, own_us) - now_us })
    }

    /// Returns when the link has room for a refused call. Successive calls get successive times, so that they do not
    /// all return at once.
    fn next_room_us(&mut self, now_us: u64, wait_us: u64, own_us: u64) -> u64 {
        let room_us = (now_us + wait_us).max(self.room_us.saturating_add(own_us));
        self.room_us = room_us.min(now_us + RETRY_MAX_US);
        self.room_us
    }
}
