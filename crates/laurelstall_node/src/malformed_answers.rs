//! Counts and logs bytes of the target that are no answer.

use crate::counters::{Counters, count};
use laurelstall_answer::answer_error::AnswerError;
use std::sync::{
    Arc, Mutex, PoisonError,
    atomic::{AtomicU64, Ordering},
};
use tokio::time::{Duration, Instant};

/// Minimum time between two lines of the log.
const LOG_PAUSE: Duration = Duration::from_secs(1);

/// Counts the malformed answers of the local target by reason, and logs one of them a second.
#[derive(Debug)]
pub struct MalformedAnswers {
    counters: Arc<Counters>,
    logged_at: Mutex<Option<Instant>>,
    /// Number of answers since the last line of the log.
    unlogged: AtomicU64,
}

impl MalformedAnswers {
    /// Creates a recorder that counts in `counters`.
    pub fn new(counters: Arc<Counters>) -> Self {
        Self { counters, logged_at: Mutex::default(), unlogged: AtomicU64::new(0) }
    }

    /// Records a malformed answer.
    pub fn note(&self, error: &AnswerError) {
        let counters = &self.counters;
        count(match error {
            AnswerError::Head(_) | AnswerError::ConnectionField => &counters.malformed_heads,
            AnswerError::Status(_) => &counters.malformed_statuses,
            AnswerError::TransferCoding | AnswerError::CodingAndLength => &counters.malformed_codings,
            AnswerError::Length | AnswerError::SpoiltName | AnswerError::BodyLength(..) => {
                &counters.malformed_lengths
            }
            AnswerError::UnexpectedBody(_) => &counters.malformed_bodies,
            AnswerError::Content(_) => &counters.malformed_contents,
        });
        if !self.is_log_due() {
            self.unlogged.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let unlogged = self.unlogged.swap(0, Ordering::Relaxed);
        log::warn!("local target: malformed answer ({}): {error}; {unlogged} more before", error.label());
    }

    fn is_log_due(&self) -> bool {
        let mut logged_at = self.logged_at.lock().unwrap_or_else(PoisonError::into_inner);
        let is_due = logged_at.is_none_or(|logged_at| logged_at.elapsed() >= LOG_PAUSE);
        if is_due {
            *logged_at = Some(Instant::now());
        }
        is_due
    }
}
