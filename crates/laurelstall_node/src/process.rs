//! Runs a node as a process: reads settings, starts the node, handles signals and stops gracefully.

use crate::{
    logging,
    node::{Listeners, Node, NodeOptions},
};
use laurelstall_config::settings::Settings;
use std::{fs, io, process::ExitCode};
use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    time::{Duration, sleep},
};

/// Interval between checks whether the settings file has changed.
const FILE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Exit code for wrong usage or invalid settings.
pub const EXIT_USAGE: u8 = 2;

/// Runs a node with the settings in `file` until SIGTERM or SIGINT.
///
/// `prepare` creates the options of the node from its settings and sockets.
pub fn run_node(file: &str, prepare: fn(Settings, Listeners) -> NodeOptions) -> ExitCode {
    let settings = match read_settings(file) {
        Ok(settings) => settings,
        Err(message) => {
            eprintln!("{message}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if logging::start(&settings.log.level, settings.log.decisions).is_err() {
        eprintln!("a logger is already set");
    }
    // A node needs little processor time, and a single thread avoids synchronization between threads.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let code = match runtime {
        Ok(runtime) => runtime.block_on(serve(file, settings, prepare)),
        Err(error) => {
            eprintln!("cannot start the async runtime: {error}");
            ExitCode::FAILURE
        }
    };
    log::logger().flush();
    code
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// Returns a message with all problems found.
pub fn read_settings(file: &str) -> Result<Settings, String> {
    let text = std::fs::read_to_string(file).map_err(|error| format!("{file}: {error}"))?;
    Settings::from_text(file, &text).map_err(|error| error.to_string())
}

async fn serve(file: &str, settings: Settings, prepare: fn(Settings, Listeners) -> NodeOptions) -> ExitCode {
    let mut signals = match Signals::new() {
        Ok(signals) => signals,
        Err(error) => {
            log::error!("signal handlers cannot be installed: {error}");
            return ExitCode::FAILURE;
        }
    };
    let started = async {
        let listeners = Listeners::bind(&settings)?;
        Node::start(prepare(settings, listeners)).await
    };
    let started = tokio::select! {
        started = started => started,
        // No calls are running yet, so the process can exit immediately.
        () = signals.stop() => {
            log::info!("stopped by a signal before the start was complete");
            return ExitCode::SUCCESS;
        }
    };
    let mut node = match started {
        Ok(node) => node,
        Err(error) => {
            log::error!("the node cannot start: {error}");
            return ExitCode::FAILURE;
        }
    };
    run_until_stop(file, &mut node, signals).await;
    if node.stop().await { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// The signals that a node handles. The handlers are installed before the node starts.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    fn new() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for SIGTERM or SIGINT.
    async fn stop(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Waits for SIGTERM or SIGINT; reloads the settings on SIGHUP and when their file has changed.
async fn run_until_stop(file: &str, node: &mut Node, mut signals: Signals) {
    let mut text = fs::read_to_string(file).unwrap_or_default();
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => return,
            _ = signals.interrupt.recv() => return,
            _ = signals.hangup.recv() => {}
            () = sleep(FILE_CHECK_INTERVAL) => {}
        }
        // A file that is being replaced is read at the next check.
        let Ok(new_text) = fs::read_to_string(file) else { continue };
        if new_text == text {
            continue;
        }
        match Settings::from_text(file, &new_text) {
            Ok(settings) => node.reload(settings),
            Err(error) => {
                log::error!("{file}: changed settings are invalid, keeping the previous ones: {error}")
            }
        }
        text = new_text;
    }
}
