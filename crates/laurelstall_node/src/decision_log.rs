//! One line for each decision that touches a request: each attempt, and how each call ended.
//!
//! A request never waits for its lines: they are rendered by a thread that reads a bounded queue.
//! Calls that ended well have a bounded number of lines a second; what was left out is counted.

use crate::{
    counters::{Counters, count},
    wall_clock::unix_ms,
};
use laurelstall_config::{document::Version, settings::DecisionFormat};
use serde::{Serialize, Serializer};
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
/// Lines a second of calls that went well; those of calls that did not are written besides.
const GOOD_LINES_PER_S: u32 = 400;
/// Length of a second of the time of day in ms.
const SECOND_MS: u64 = 1_000;

/// One attempt of a call: where it went, why, and how it ended.
#[derive(Debug, Clone, Serialize)]
pub struct Decision {
    /// The call.
    pub call: u64,
    /// The caller's own id of the request; empty when it has none.
    pub request_id: String,
    /// What makes it the same request as another one, in hexadecimal digits; empty when it was not read.
    pub digest: String,
    /// Which attempt of it, from 1.
    pub attempt: u32,
    /// Its importance; above that of any route when the own target makes it for a request it runs.
    pub importance: u8,
    /// Whether its caller tried before.
    pub is_return: bool,
    /// Time that the call had left when the attempt was sent, in µs.
    pub left_us: u64,
    /// Full name of the service.
    pub service: String,
    /// Version of the team's document that was followed.
    #[serde(serialize_with = "as_text")]
    pub version: Version,
    /// Version of the list of hosts that was chosen from.
    #[serde(serialize_with = "as_text")]
    pub fleet_version: Version,
    /// The target chosen; empty when none was.
    pub target: String,
    /// Why.
    pub why: String,
    /// Its expected loss in µs.
    pub expected_us: u64,
    /// Age in µs of the hint that this rests on; none when there was none.
    pub hint_age_us: Option<u64>,
    /// The next best and its expected loss in µs.
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
        write!(f, "call={:016x} request_id={} ", self.call, self.request_id)?;
        write!(f, "digest={} attempt={} ", self.digest, self.attempt)?;
        write!(f, "importance={} is_return={} ", self.importance, self.is_return)?;
        write!(f, "left_us={} ", self.left_us)?;
        write!(f, "service={} version={} ", self.service, self.version)?;
        write!(f, "fleet_version={} target={} why=\"{}\" ", self.fleet_version, self.target, self.why)?;
        write!(f, "expected_us={} ", self.expected_us)?;
        if let Some((name, expected_us)) = &self.runner_up {
            write!(f, "runner_up={name}:{expected_us} ")?;
        }
        write!(f, "targets={} outcome={} took_us={}", self.targets, self.outcome, self.took_us)
    }
}

fn as_text<S: Serializer>(version: &Version, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(version)
}

/// How a call ended: what its caller was told.
#[derive(Debug, Clone, Serialize)]
pub struct CallEnd {
    /// The call.
    pub call: u64,
    /// The caller's own id of the request; empty when it has none.
    pub request_id: String,
    /// Method of the request.
    pub method: String,
    /// Host name that it was for.
    pub host: String,
    /// Its path.
    pub path: String,
    /// Version of the team's document in force; 0 when there was none.
    #[serde(serialize_with = "as_text")]
    pub version: Version,
    /// Status of the answer.
    pub status: u16,
    /// `answered`, `not-run` or `unknown`.
    pub outcome: &'static str,
    /// Why it was not answered.
    pub reason: String,
    /// After how many µs.
    pub took_us: u64,
}

impl fmt::Display for CallEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "call={:016x} request_id={} method={} ", self.call, self.request_id, self.method)?;
        write!(f, "host={} path={} version={} ", self.host, self.path, self.version)?;
        write!(f, "status={} outcome={} reason=\"{}\" ", self.status, self.outcome, self.reason)?;
        write!(f, "took_us={}", self.took_us)
    }
}

/// A line to be written.
#[derive(Debug, Clone, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
enum Line {
    Attempt(Decision),
    Call(CallEnd),
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Attempt(decision) => write!(f, "attempt {decision}"),
            Self::Call(end) => write!(f, "end {end}"),
        }
    }
}

/// A line with its time of day.
#[derive(Debug, Serialize)]
struct TimedLine {
    unix_ms: u64,
    #[serde(flatten)]
    line: Line,
}

/// Lines of calls that went well in the present second.
#[derive(Debug, Default)]
struct Allowance {
    second: u64,
    used: u32,
}

/// The bounded way of decisions to their log.
#[derive(Debug)]
pub struct DecisionLog {
    sender: Option<SyncSender<TimedLine>>,
    recent: Arc<Mutex<VecDeque<Decision>>>,
    allowance: Mutex<Allowance>,
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
        Self { sender, recent, allowance: Mutex::default(), counters }
    }

    /// Whether decisions are written at all.
    pub fn is_on(&self) -> bool {
        self.sender.is_some()
    }

    /// Hands a decision to the writer, or drops and counts it.
    pub fn write(&self, decision: Decision) {
        let is_good = decision.outcome == "answered";
        self.send(Line::Attempt(decision), is_good);
    }

    /// Hands the end of a call to the writer, or drops and counts it.
    pub fn write_end(&self, end: CallEnd) {
        let is_good = end.status < 400;
        self.send(Line::Call(end), is_good);
    }

    /// The latest decisions, oldest first.
    pub fn recent(&self, most: usize) -> Vec<Decision> {
        let recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        let skip = recent.len().saturating_sub(most);
        recent.iter().skip(skip).cloned().collect()
    }

    fn send(&self, line: Line, is_good: bool) {
        let Some(sender) = &self.sender else { return };
        let unix_ms = unix_ms();
        let is_allowed = !is_good || self.take_allowance(unix_ms / SECOND_MS);
        if !is_allowed || sender.try_send(TimedLine { unix_ms, line }).is_err() {
            count(&self.counters.decisions_dropped);
        }
    }

    fn take_allowance(&self, second: u64) -> bool {
        let mut allowance = self.allowance.lock().unwrap_or_else(PoisonError::into_inner);
        if allowance.second != second {
            *allowance = Allowance { second, used: 0 };
        }
        allowance.used += 1;
        allowance.used <= GOOD_LINES_PER_S
    }
}

fn write_decisions(
    receiver: &Receiver<TimedLine>,
    format: DecisionFormat,
    recent: &Mutex<VecDeque<Decision>>,
) {
    loop {
        // Waiting in the channel would make each sender wake this thread.
        thread::sleep(WRITE_INTERVAL);
        for line in receiver.try_iter() {
            write_line(line, format, recent);
        }
        if is_closed(receiver, format, recent) {
            return;
        }
    }
}

/// Whether the log is gone; what was still waiting is written.
fn is_closed(
    receiver: &Receiver<TimedLine>,
    format: DecisionFormat,
    recent: &Mutex<VecDeque<Decision>>,
) -> bool {
    match receiver.try_recv() {
        Ok(line) => {
            write_line(line, format, recent);
            false
        }
        Err(TryRecvError::Empty) => false,
        Err(TryRecvError::Disconnected) => true,
    }
}

fn write_line(line: TimedLine, format: DecisionFormat, recent: &Mutex<VecDeque<Decision>>) {
    match format {
        DecisionFormat::Json => {
            let text = serde_json::to_string(&line).unwrap_or_default();
            log::info!(target: DECISION_TARGET, "{text}");
        }
        _ => log::info!(target: DECISION_TARGET, "{}", line.line),
    }
    let Line::Attempt(decision) = line.line else { return };
    let mut recent = recent.lock().unwrap_or_else(PoisonError::into_inner);
    if recent.len() == RECENT_MAX {
        recent.pop_front();
    }
    recent.push_back(decision);
}
