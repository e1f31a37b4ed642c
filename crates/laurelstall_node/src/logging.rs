//! Logging through a bounded queue to a writer thread.
//!
//! Logging never blocks: when the queue is full, lines are dropped and counted. In JSON format, all lines go to
//! standard output. In human-readable format, decisions go to standard output and all other lines to standard error.

use crate::{decision_log::DECISION_TARGET, wall_clock::unix_ms};
use fern::Dispatch;
use laurelstall_config::settings::DecisionFormat;
use log::{LevelFilter, Log, Metadata, Record};
use serde::Serialize;
use std::{
    io::{self, Write},
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
    time::Duration,
};

/// Capacity of the queue in lines.
const QUEUED_LINES_MAX: usize = 8_192;
/// Interval between writes of queued lines.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum time to wait at process exit until the last lines are written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Lines dropped because the queue was full.
static LINES_DROPPED: AtomicU64 = AtomicU64::new(0);
/// Lines queued for the writer thread, and lines written by it.
static LINES_SENT: AtomicU64 = AtomicU64::new(0);
static LINES_WRITTEN: AtomicU64 = AtomicU64::new(0);

/// The stream that a line is written to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Output {
    Standard,
    Error,
}

/// The sending end of the bounded queue.
struct LineQueue {
    sender: Mutex<SyncSender<(Output, String)>>,
    is_json: bool,
}

impl Log for LineQueue {
    fn enabled(&self, _metadata: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let is_decision = record.target() == DECISION_TARGET;
        let output = if self.is_json || is_decision { Output::Standard } else { Output::Error };
        let line = match (is_decision, self.is_json) {
            (true, _) => format!("{}\n", record.args()),
            (false, true) => json_line(record),
            (false, false) => format!("{} {}: {}\n", record.level(), record.target(), record.args()),
        };
        let sender = self.sender.lock().unwrap_or_else(PoisonError::into_inner);
        if sender.try_send((output, line)).is_ok() {
            LINES_SENT.fetch_add(1, Ordering::Relaxed);
        } else {
            LINES_DROPPED.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits for up to [`FLUSH_TIMEOUT`] until all queued lines are written, so that the last messages are not lost.
    fn flush(&self) {
        let step = Duration::from_millis(10);
        for _ in 0..FLUSH_TIMEOUT.as_millis() / step.as_millis() {
            if LINES_WRITTEN.load(Ordering::Relaxed) >= LINES_SENT.load(Ordering::Relaxed) {
                return;
            }
            thread::sleep(step);
        }
    }
}

/// A log line other than a decision, as JSON.
#[derive(Debug, Serialize)]
struct JsonLine<'a> {
    event: &'static str,
    unix_ms: u64,
    level: &'a str,
    module: &'a str,
    message: String,
}

fn json_line(record: &Record<'_>) -> String {
    let line = JsonLine {
        event: "log",
        unix_ms: unix_ms(),
        level: record.level().as_str(),
        module: record.target(),
        message: record.args().to_string(),
    };
    let mut text = serde_json::to_string(&line).unwrap_or_default();
    text.push('\n');
    text
}

/// Returns the number of lines dropped since the start because the queue was full.
pub fn lines_dropped() -> u64 {
    LINES_DROPPED.load(Ordering::Relaxed)
}

/// Starts logging. [`set_level`] changes the level later.
///
/// # Errors
///
/// Returns an error when a logger is already set.
pub fn start(level: &str, format: DecisionFormat) -> Result<(), log::SetLoggerError> {
    let (sender, receiver) = sync_channel(QUEUED_LINES_MAX);
    let is_json = format == DecisionFormat::Json;
    let queue: Box<dyn Log> = Box::new(LineQueue { sender: Mutex::new(sender), is_json });
    Dispatch::new().level(LevelFilter::Trace).chain(queue).apply()?;
    let writer = thread::Builder::new().name("log".to_owned());
    writer.spawn(move || write_lines(&receiver)).expect("the log thread starts");
    set_level(level);
    Ok(())
}

/// Changes the level. Returns false when there is no such level.
pub fn set_level(level: &str) -> bool {
    let Ok(level) = level.parse::<LevelFilter>() else { return false };
    log::set_max_level(level);
    true
}

fn write_lines(receiver: &Receiver<(Output, String)>) {
    loop {
        // Sleeping instead of blocking on the channel keeps senders from waking this thread for each line.
        thread::sleep(WRITE_INTERVAL);
        let (mut standard, mut error, mut lines) = (String::new(), String::new(), 0);
        for (output, line) in receiver.try_iter() {
            let text = if output == Output::Standard { &mut standard } else { &mut error };
            text.push_str(&line);
            lines += 1;
        }
        if lines == 0 {
            continue;
        }
        // The reader of the output may have exited. The node continues without it.
        let _ = io::stdout().lock().write_all(standard.as_bytes()).and_then(|()| io::stdout().flush());
        let _ = io::stderr().lock().write_all(error.as_bytes());
        LINES_WRITTEN.fetch_add(lines, Ordering::Relaxed);
    }
}
