//! A log with one line for each attempt and for the end of each call.
//!
//! Requests never wait for the log: a thread reads lines from a bounded queue, formats and writes them. Lines of
//! successful calls are rate limited; dropped lines are counted.

use crate::{
    counters::{Counters, count},
    wall_clock::unix_ms,
};
use laurelstall_config::{document::Version, settings::DecisionFormat};
use laurelstall_peer::gauge::{Gauge, InProgress};
use serde::{Serialize, Serializer};
use std::{
    collections::VecDeque,
    fmt,
    sync::{
        Arc, Mutex, PoisonError,
        mpsc::{Receiver, SyncSender, TryRecvError, sync_channel},
    },
    thread,
};
use tokio::time::{Duration, Instant, sleep};

/// Log target of decisions, which are written separately from other log lines.
pub const DECISION_TARGET: &str = "laurelstall::decision";
/// Interval between writes of queued lines.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum time to wait at a stop until the last lines are written, twice the interval of writes.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// Interval between checks whether all lines are written.
const FLUSH_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Maximum number of recent decisions kept for the administration API.
pub const RECENT_MAX: usize = 256;
/// Maximum number of lines per second of successful calls. Lines of failed calls are not limited.
const SUCCESS_LINES_PER_S: u32 = 400;
/// Milliseconds per second.
const SECOND_MS: u64 = 1_000;

/// An attempt of a call: the chosen target, the reason for the choice and the outcome.
#[derive(Debug, Clone, Serialize)]
pub struct Decision {
    /// Id of the call.
    pub call: u64,
    /// Request id from the caller; empty when there is none.
    pub request_id: String,
    /// Digest that identifies equal requests, in hexadecimal digits; empty when it was not computed.
    pub digest: String,
    /// Number of the attempt within the call, from 1.
    pub attempt: u32,
    /// Importance of the call. A nested call, which the local target makes for a request it runs, has a higher one than
    /// any route.
    pub importance: u8,
    /// Whether the caller appears to be retrying an earlier call, by its time budget.
    pub is_return: bool,
    /// Remaining time budget of the call when the attempt was sent, in µs.
    pub left_us: u64,
    /// Full name of the service.
    pub service: String,
    /// Version of the team's document that was used.
    #[serde(serialize_with = "as_text")]
    pub version: Version,
    /// Version of the host list that was used.
    #[serde(serialize_with = "as_text")]
    pub fleet_version: Version,
    /// The chosen target; empty when there was none.
    pub target: String,
    /// Reason for the choice.
    pub why: String,
    /// Expected cost of the chosen target, in µs.
    pub expected_us: u64,
    /// Age of the target's hint when it was chosen, in µs. `None` when there was no hint.
    pub hint_age_us: Option<u64>,
    /// Name and expected cost in µs of the second-best target. `None` when there was none.
    pub runner_up: Option<(String, u64)>,
    /// Number of targets of the service.
    pub targets: usize,
    /// Rate limit in the answer, in requests per second. `None` when there was none.
    pub rate_limit_per_s: Option<f64>,
    /// Whether the answer states that the target is leaving.
    pub is_leaving: bool,
    /// Outcome of the attempt.
    pub outcome: String,
    /// Duration of the attempt in µs.
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
        if let Some(per_s) = self.rate_limit_per_s {
            write!(f, "rate_limit_per_s={per_s} ")?;
        }
        if self.is_leaving {
            write!(f, "is_leaving=true ")?;
        }
        write!(f, "targets={} outcome={} took_us={}", self.targets, self.outcome, self.took_us)
    }
}

fn as_text<S: Serializer>(version: &Version, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(version)
}

/// The end of a call, with the answer to its caller.
#[derive(Debug, Clone, Serialize)]
pub struct CallEnd {
    /// Id of the call.
    pub call: u64,
    /// Request id from the caller; empty when there is none.
    pub request_id: String,
    /// Method of the request.
    pub method: String,
    /// Host name in the request.
    pub host: String,
    /// Path of the request.
    pub path: String,
    /// Version of the team's document when the call ended; 0 when there was none.
    #[serde(serialize_with = "as_text")]
    pub version: Version,
    /// HTTP status of the answer.
    pub status: u16,
    /// `answered`, `not-run` or `unknown`.
    pub outcome: &'static str,
    /// Reason why the call was not answered.
    pub reason: String,
    /// Duration of the call in µs.
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

/// A line of the decision log.
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

/// A line with its wall-clock time.
#[derive(Debug, Serialize)]
struct TimedLine {
    unix_ms: u64,
    #[serde(flatten)]
    line: Line,
    #[serde(skip)]
    _waiting: InProgress,
}

/// Rate limit for lines of successful calls: the number of lines in the current second.
#[derive(Debug, Default)]
struct RateLimit {
    second: u64,
    used: u32,
}

/// Queues decisions for the thread that writes them, and keeps the most recent ones.
#[derive(Debug)]
pub struct DecisionLog {
    sender: Option<SyncSender<TimedLine>>,
    recent: Arc<Mutex<VecDeque<Decision>>>,
    rate_limit: Mutex<RateLimit>,
    /// Lines that are queued or being written.
    waiting: Arc<Gauge>,
    counters: Arc<Counters>,
}

impl DecisionLog {
    /// Starts the writer thread, unless the format is [`DecisionFormat::Off`]. The queue holds `waiting_max` lines.
    pub fn new(format: DecisionFormat, waiting_max: usize, counters: Arc<Counters>) -> Self {
        let recent = Arc::new(Mutex::new(VecDeque::with_capacity(RECENT_MAX)));
        let sender = (format != DecisionFormat::Off).then(|| {
            let (sender, receiver) = sync_channel(waiting_max);
            let recent = recent.clone();
            let writer = thread::Builder::new().name("decisions".to_owned());
            let started = writer.spawn(move || write_decisions(&receiver, format, &recent));
            started.expect("the decision log thread starts");
            sender
        });
        Self { sender, recent, rate_limit: Mutex::default(), waiting: Arc::default(), counters }
    }

    /// Returns whether decisions are logged.
    pub fn is_enabled(&self) -> bool {
        self.sender.is_some()
    }

    /// Queues a decision, or drops and counts it when the queue is full or the rate limit is reached.
    pub fn write(&self, decision: Decision) {
        let is_success = decision.outcome == "answered";
        self.send(Line::Attempt(decision), is_success);
    }

    /// Queues the end of a call, or drops and counts it when the queue is full or the rate limit is reached.
    pub fn write_call_end(&self, end: CallEnd) {
        let is_success = end.status < 400;
        self.send(Line::Call(end), is_success);
    }

    /// Waits for up to [`FLUSH_TIMEOUT`] until all queued lines are handed to the logger.
    pub async fn flush(&self) {
        let deadline = Instant::now() + FLUSH_TIMEOUT;
        while self.waiting.value() > 0 && Instant::now() < deadline {
            sleep(FLUSH_CHECK_INTERVAL).await;
        }
    }

    /// Returns up to `limit` recent decisions, oldest first.
    pub fn recent(&self, limit: usize) -> Vec<Decision> {
        let recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        let skip = recent.len().saturating_sub(limit);
        recent.iter().skip(skip).cloned().collect()
    }

    fn send(&self, line: Line, is_success: bool) {
        let Some(sender) = &self.sender else { return };
        let unix_ms = unix_ms();
        let is_allowed = !is_success || self.take_line(unix_ms / SECOND_MS);
        if !is_allowed
            || sender.try_send(TimedLine { unix_ms, line, _waiting: self.waiting.enter() }).is_err()
        {
            count(&self.counters.decisions_dropped);
        }
    }

    fn take_line(&self, second: u64) -> bool {
        let mut rate_limit = self.rate_limit.lock().unwrap_or_else(PoisonError::into_inner);
        if rate_limit.second != second {
            *rate_limit = RateLimit { second, used: 0 };
        }
        rate_limit.used += 1;
        rate_limit.used <= SUCCESS_LINES_PER_S
    }
}

fn write_decisions(
    receiver: &Receiver<TimedLine>,
    format: DecisionFormat,
    recent: &Mutex<VecDeque<Decision>>,
) {
    loop {
        // Sleeping instead of blocking on the channel keeps senders from waking this thread for each line.
        thread::sleep(WRITE_INTERVAL);
        for line in receiver.try_iter() {
            write_line(line, format, recent);
        }
        if is_closed(receiver, format, recent) {
            return;
        }
    }
}

/// Returns whether the log was dropped. Writes a line that is still queued.
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
