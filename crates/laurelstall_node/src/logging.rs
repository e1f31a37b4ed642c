//! Where log lines go: through a bounded queue to a thread that writes them.
//!
//! A full queue drops lines and counts them; whoever logs never waits. As JSON, all lines go to
//! standard output; for people, decisions go to standard output and all others to standard error.

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

/// Lines that may wait to be written.
const LINES_WAITING_MAX: usize = 8_192;
/// Pause between two writings of what has come.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);
/// Longest wait at the end of the process for the last lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Lines dropped because the queue was full.
static LINES_DROPPED: AtomicU64 = AtomicU64::new(0);
/// Lines handed to the writer, and written by it.
static LINES_SENT: AtomicU64 = AtomicU64::new(0);
static LINES_WRITTEN: AtomicU64 = AtomicU64::new(0);

/// Where a line is written.
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

    /// Waits a short while for the last lines, so that the reason of an end is not lost.
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

/// A line that is no decision, as JSON.
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

/// Lines dropped since the start because the queue was full.
pub fn lines_dropped() -> u64 {
    LINES_DROPPED.load(Ordering::Relaxed)
}

/// Starts logging; the level can be changed later with [`set_level`].
///
/// # Errors
///
/// When logging was started before.
pub fn start(level: &str, format: DecisionFormat) -> Result<(), log::SetLoggerError> {
    let (sender, receiver) = sync_channel(LINES_WAITING_MAX);
    let is_json = format == DecisionFormat::Json;
    let queue: Box<dyn Log> = Box::new(LineQueue { sender: Mutex::new(sender), is_json });
    Dispatch::new().level(LevelFilter::Trace).chain(queue).apply()?;
    let writer = thread::Builder::new().name("log".to_owned());
    writer.spawn(move || write_lines(&receiver)).expect("the system has room for one more thread");
    set_level(level);
    Ok(())
}

/// Changes the level; false when there is no such level.
pub fn set_level(level: &str) -> bool {
    let Ok(level) = level.parse::<LevelFilter>() else { return false };
    log::set_max_level(level);
    true
}

fn write_lines(receiver: &Receiver<(Output, String)>) {
    loop {
        // Waiting in the channel would make each sender wake this thread.
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
        // Whoever reads the lines may have gone; the node goes on without.
        let _ = io::stdout().lock().write_all(standard.as_bytes()).and_then(|()| io::stdout().flush());
        let _ = io::stderr().lock().write_all(error.as_bytes());
        LINES_WRITTEN.fetch_add(lines, Ordering::Relaxed);
    }
}
