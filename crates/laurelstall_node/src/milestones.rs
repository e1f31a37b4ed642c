//! Milestones of a node's start, each logged once.

use std::{
    fmt,
    sync::atomic::{AtomicBool, Ordering},
};

/// A milestone of the start, after the node listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Milestone {
    /// The first call was accepted.
    FirstCall,
    /// The first call was answered with success.
    FirstAnswer,
}

impl fmt::Display for Milestone {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::FirstCall => "first call accepted",
            Self::FirstAnswer => "first call answered with success",
        })
    }
}

/// The milestones reached so far.
#[derive(Debug, Default)]
pub struct Milestones {
    first_call: AtomicBool,
    first_answer: AtomicBool,
}

impl Milestones {
    /// Records that a milestone was reached `elapsed_ms` after the start of the node. Logs it and returns true the first time.
    pub fn record(&self, milestone: Milestone, elapsed_ms: u64) -> bool {
        let is_reached = match milestone {
            Milestone::FirstCall => &self.first_call,
            Milestone::FirstAnswer => &self.first_answer,
        };
        let is_first = !is_reached.load(Ordering::Relaxed) && !is_reached.swap(true, Ordering::Relaxed);
        if is_first {
            log::info!("{milestone}, {elapsed_ms} ms after the start");
        }
        is_first
    }
}
