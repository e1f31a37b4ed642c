//! When a node that starts reached what callers wait for, written down once each.

use std::{
    fmt,
    sync::atomic::{AtomicBool, Ordering},
};

/// A step of a start after the node listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Milestone {
    /// A caller's first call was taken.
    FirstCall,
    /// The first call was answered with success.
    FirstAnswer,
}

impl fmt::Display for Milestone {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::FirstCall => "first call taken",
            Self::FirstAnswer => "first call answered with success",
        })
    }
}

/// The steps reached so far.
#[derive(Debug, Default)]
pub struct Milestones {
    first_call: AtomicBool,
    first_answer: AtomicBool,
}

impl Milestones {
    /// Notes that a step was reached so long after the node's start; says so the first time.
    pub fn note(&self, milestone: Milestone, elapsed_ms: u64) -> bool {
        let reached = match milestone {
            Milestone::FirstCall => &self.first_call,
            Milestone::FirstAnswer => &self.first_answer,
        };
        let is_first = !reached.load(Ordering::Relaxed) && !reached.swap(true, Ordering::Relaxed);
        if is_first {
            log::info!("{milestone}, {elapsed_ms} ms after the start");
        }
        is_first
    }
}
