//! The life of a node's process: settings, start, signals, planned stop.

use crate::{
    logging,
    node::{Listeners, Node, NodeOptions},
};
use laurelstall_config::settings::Settings;
use std::process::ExitCode;
use tokio::signal::unix::{SignalKind, signal};

/// Exit code for wrong use or bad settings.
pub const WRONG_USE: u8 = 2;

/// Runs a node with the settings in `file` until it is told to stop.
///
/// `prepare` makes what the node is started with, as the environment it runs in wants it.
pub fn run_node(file: &str, prepare: fn(Settings, Listeners) -> NodeOptions) -> ExitCode {
    let settings = match read_settings(file) {
        Ok(settings) => settings,
        Err(message) => {
            eprintln!("{message}");
            return ExitCode::from(WRONG_USE);
        }
    };
    if logging::start(&settings.log.level).is_err() {
        eprintln!("logging was started before");
    }
    // One thread: a node is small, and calls need no hand-over between threads.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    match runtime {
        Ok(runtime) => runtime.block_on(serve(settings, prepare)),
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// A message with all faults found.
pub fn read_settings(file: &str) -> Result<Settings, String> {
    let text = std::fs::read_to_string(file).map_err(|error| format!("{file}: {error}"))?;
    Settings::from_text(file, &text).map_err(|error| error.to_string())
}

async fn serve(settings: Settings, prepare: fn(Settings, Listeners) -> NodeOptions) -> ExitCode {
    let level = settings.log.level.clone();
    let started = async {
        let listeners = Listeners::bind(&settings)?;
        Node::start(prepare(settings, listeners)).await
    };
    let node = match started.await {
        Ok(node) => node,
        Err(error) => {
            log::error!("{error}");
            return ExitCode::FAILURE;
        }
    };
    wait_for_stop(&level).await;
    if node.stop().await { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Waits for SIGTERM or SIGINT; SIGHUP turns debug lines on, and off again.
async fn wait_for_stop(level: &str) {
    let signals =
        (signal(SignalKind::terminate()), signal(SignalKind::interrupt()), signal(SignalKind::hangup()));
    let (Ok(mut terminate), Ok(mut interrupt), Ok(mut hangup)) = signals else {
        log::error!("signals cannot be watched");
        return;
    };
    let mut is_debug = false;
    loop {
        tokio::select! {
            _ = terminate.recv() => return,
            _ = interrupt.recv() => return,
            _ = hangup.recv() => {
                is_debug = !is_debug;
                logging::set_level(if is_debug { "debug" } else { level });
            }
        }
    }
}
