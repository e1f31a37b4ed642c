//! Runs a stand-in platform as its own process, which publishes the documents of a folder.

use gumdrop::Options;
use laurelstall_config::document::DocumentName;
use laurelstall_standin::{
    platform::StandinPlatform,
    program::{EXIT_USAGE, listen},
};
use std::{
    collections::HashMap,
    fs,
    path::{Path, PathBuf},
    process::ExitCode,
    sync::Arc,
    time::{Duration, Instant},
};

/// Interval between two scans of the folder.
const SCAN_INTERVAL: Duration = Duration::from_millis(200);

/// Time from a restore until the folder's files are published again.
const REPUBLISH_DELAY: Duration = Duration::from_secs(1);

#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "print the version")]
    version: bool,
    #[options(help = "address to listen on", default = "127.0.0.1:6000", meta = "IP:PORT")]
    listen: String,
    #[options(help = "folder with fleet.toml, system.toml and team-NAME.toml", no_short, meta = "FOLDER")]
    documents: Option<PathBuf>,
    #[options(help = "make a copy of all documents after this many s", no_short, meta = "N")]
    copy_at: Option<u64>,
    #[options(
        help = "restore the platform from that copy after this many s; files are published again 1 s later",
        no_short,
        meta = "N"
    )]
    return_at: Option<u64>,
    #[options(help = "exit after this many s", no_short, default = "3600", meta = "N")]
    seconds: u64,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    if arguments.version {
        println!("laurelstall-standin-platform {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(folder) = arguments.documents else {
        eprintln!("laurelstall-standin-platform: missing --documents FOLDER; see --help");
        return ExitCode::from(EXIT_USAGE);
    };
    let listener = match listen(&arguments.listen) {
        Ok(listener) => listener,
        Err(message) => {
            eprintln!("laurelstall-standin-platform: {message}");
            return ExitCode::FAILURE;
        }
    };
    let Ok(runtime) = tokio::runtime::Builder::new_current_thread().enable_all().build() else {
        return ExitCode::FAILURE;
    };
    runtime.block_on(async {
        let platform = StandinPlatform::new();
        platform.serve(listener);
        let started = Instant::now();
        let end = started + Duration::from_secs(arguments.seconds);
        let copy_at = arguments.copy_at.map(|s| started + Duration::from_secs(s));
        let restore_at = arguments.return_at.map(|s| started + Duration::from_secs(s));
        let (mut copy, mut is_restored) = (None, false);
        let mut published = HashMap::new();
        while Instant::now() < end {
            if copy.is_none() && is_due(copy_at) {
                copy = Some(platform.snapshot());
            }
            if let Some(copy) = copy.as_ref().filter(|_| !is_restored && is_due(restore_at)) {
                println!("restored from the copy");
                platform.restore(copy);
                is_restored = true;
                tokio::time::sleep(REPUBLISH_DELAY).await;
                published.clear();
            }
            publish_changes(&platform, &folder, &mut published);
            tokio::time::sleep(SCAN_INTERVAL).await;
        }
        println!("calls: {}", platform.calls());
    });
    ExitCode::SUCCESS
}

fn is_due(at: Option<Instant>) -> bool {
    at.is_some_and(|at| Instant::now() >= at)
}

/// Publishes each file whose text differs from the latest published one.
fn publish_changes(platform: &Arc<StandinPlatform>, folder: &Path, published: &mut HashMap<PathBuf, String>) {
    let Ok(entries) = fs::read_dir(folder) else { return };
    for path in entries.flatten().map(|entry| entry.path()) {
        let stem = path.file_stem().and_then(|stem| stem.to_str()).unwrap_or_default();
        let name = DocumentName::from_key(&stem.replacen("team-", "team/", 1));
        let (Some(name), Ok(text)) = (name, fs::read_to_string(&path)) else { continue };
        if published.get(&path) != Some(&text) {
            let version = platform.publish(&name, &text);
            println!("{name} version {version}");
            published.insert(path, text);
        }
    }
}
