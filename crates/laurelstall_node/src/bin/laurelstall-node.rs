//! The process that runs beside each target.

use gumdrop::Options;
use laurelstall_config::settings::Settings;
use laurelstall_node::{
    logging,
    node::{Listeners, Node, NodeOptions},
};
use std::process::ExitCode;
use tokio::signal::unix::{SignalKind, signal};

/// Exit code for wrong use or bad settings.
const WRONG_USE: u8 = 2;

#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "print the version")]
    version: bool,
    #[options(help = "settings file (TOML)", meta = "FILE")]
    settings: Option<String>,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    if arguments.version {
        println!("laurelstall-node {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(file) = arguments.settings else {
        eprintln!("laurelstall-node: --settings FILE is needed; see --help");
        return ExitCode::from(WRONG_USE);
    };
    let settings = match read_settings(&file) {
        Ok(settings) => settings,
        Err(message) => {
            eprintln!("{message}");
            return ExitCode::from(WRONG_USE);
        }
    };
    if logging::start(&settings.log.level).is_err() {
        eprintln!("laurelstall-node: logging was started before");
    }
    // One thread: a node is small, and calls need no hand-over between threads.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    match runtime {
        Ok(runtime) => runtime.block_on(run(settings)),
        Err(error) => {
            eprintln!("laurelstall-node: {error}");
            ExitCode::FAILURE
        }
    }
}

fn read_settings(file: &str) -> Result<Settings, String> {
    let text = std::fs::read_to_string(file).map_err(|error| format!("{file}: {error}"))?;
    Settings::from_text(file, &text).map_err(|error| error.to_string())
}

async fn run(settings: Settings) -> ExitCode {
    let level = settings.log.level.clone();
    let started =
        async { Node::start(NodeOptions::new(settings.clone(), Listeners::bind(&settings)?)).await };
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
