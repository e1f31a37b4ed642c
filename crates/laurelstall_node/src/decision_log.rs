//! One line for each routing decision, written beside the request's way.

use crate::counters::{Counters, count};
use laurelstall_config::{document::Version, settings::DecisionFormat};
use serde::Serialize;
use std::{
    collections::VecDeque,
    fmt,
    sync::{
        Arc, Mutex, PoisonError,
        mpsc::{Receiver, SyncSender, TryRecvError, sync_channel},
    },
    thread,
    time::Duration,
};

/// Log target of decisions; lines on it go where the settings say, apart from other logs.
pub const DECISION_TARGET: &str = "laurelstall::decision";
/// Pause between two writings of what has come.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);
/// Decisions kept for the administration API.
pub const RECENT_MAX: usize = 256;

/// One decision: an attempt of a call went to a target, or the call was refused.
#[derive(Debug, Clone, Serialize)]
pub struct Decision {
    /// The call.
    pub call: u64,
    /// Which attempt of it, from 1.
    pub attempt: u32,
    /// Full name of the service.
    pub service: String,
    /// Version of the team's document that was followed.
    pub version: Version,
    /// The target chosen; empty when none was.
    pub target: String,
    /// Why.
    pub why: String,
    /// Its expected time in µs.
    pub expected_us: u64,
    /// The next best and its expected time in µs.
    pub runner_up: Option<(String, u64)>,
    /// Targets that could have been chosen.
    pub targets: usize,
    /// How the attempt ended.
    pub outcome: String,
    /// After how many µs.
    pub took_us: u64,
}

impl fmt::Display for Decision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "call={:016x} attempt={} service={} ", self.call, self.attempt, self.service)?;
        write!(f, "version={} target={} why=\"{}\" ", self.version, self.target, self.why)?;
        write!(f, "expected_us={} ", self.expected_us)?;
        if let Some((name, expected_us)) = &self.runner_up {
            write!(f, "runner_up={name}:{expected_us} ")?;
        }
        write!(f, "targets={} outcome={} took_us={}", self.targets, self.outcome, self.took_us)
    }
}

/// The bounded way of decisions to their log.
///
/// A full channel drops the line and counts it; a request never waits for a log.
#[derive(Debug)]
pub struct DecisionLog {
    sender: Option<SyncSender<Decision>>,
    recent: Arc<Mutex<VecDeque<Decision>>>,
    counters: Arc<Counters>,
}

impl DecisionLog {
    /// Starts the writer; with [`DecisionFormat::Off`] there is none.
    pub fn new(format: DecisionFormat, waiting_max: usize, counters: Arc<Counters>) -> Self {
        let recent = Arc::new(Mutex::new(VecDeque::with_capacity(RECENT_MAX)));
        let sender = (format != DecisionFormat::Off).then(|| {
            let (sender, receiver) = sync_channel(waiting_max);
            let recent = recent.clone();
            let writer = thread::Builder::new().name("decisions".to_owned());
            let started = writer.spawn(move || write_decisions(&receiver, format, &recent));
            started.expect("the system has room for one more thread");
            sender
        });
        Self { sender, recent, counters }
    }

    /// Whether decisions are written at all.
    pub fn is_on(&self) -> bool {
        self.sender.is_some()
    }

    /// Hands a decision to the writer, or drops and counts it.
    pub fn write(&self, decision: Decision) {
        let Some(sender) = &self.sender else { return };
        if sender.try_send(decision).is_err() {
            count(&self.counters.decisions_dropped);
        }
    }

    /// The latest decisions, oldest first.
    pub fn recent(&self, most: usize) -> Vec<Decision> {
        let recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        let skip = recent.len().saturating_sub(most);
        recent.iter().skip(skip).cloned().collect()
    }
}

fn write_decisions(
    receiver: &Receiver<Decision>,
    format: DecisionFormat,
    recent: &Mutex<VecDeque<Decision>>,
) {
    loop {
        // Waiting in the channel would make each sender wake this thread.
        thread::sleep(WRITE_INTERVAL);
        for decision in receiver.try_iter() {
            write_decision(decision, format, recent);
        }
        if is_closed(receiver, format, recent) {
            return;
        }
    }
}

/// Whether the log is gone; what was still waiting is written.
fn is_closed(
    receiver: &Receiver<Decision>,
    format: DecisionFormat,
    recent: &Mutex<VecDeque<Decision>>,
) -> bool {
    match receiver.try_recv() {
        Ok(decision) => {
            write_decision(decision, format, recent);
            false
        }
        Err(TryRecvError::Empty) => false,
        Err(TryRecvError::Disconnected) => true,
    }
}

fn write_decision(decision: Decision, format: DecisionFormat, recent: &Mutex<VecDeque<Decision>>) {
    match format {
        DecisionFormat::Json => {
            let line = serde_json::to_string(&decision).unwrap_or_default();
            log::info!(target: DECISION_TARGET, "{line}");
        }
        _ => log::info!(target: DECISION_TARGET, "{decision}"),
    }
    let mut recent = recent.lock().unwrap_or_else(PoisonError::into_inner);
    if recent.len() == RECENT_MAX {
        recent.pop_front();
    }
    recent.push_back(decision);
}
