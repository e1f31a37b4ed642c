//! A stand-in platform as a process of its own: publishes the documents of a folder.

use gumdrop::Options;
use laurelstall_config::document::DocumentName;
use laurelstall_standin::platform::StandinPlatform;
use std::{
    collections::HashMap,
    fs,
    net::TcpListener,
    path::{Path, PathBuf},
    process::ExitCode,
    sync::Arc,
    time::{Duration, Instant},
};

/// Pause between two looks at the folder.
const LOOK_INTERVAL: Duration = Duration::from_millis(200);

#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "print the version")]
    version: bool,
    #[options(help = "where to listen", default = "127.0.0.1:6000", meta = "IP:PORT")]
    listen: String,
    #[options(help = "folder with fleet.toml, system.toml and team-NAME.toml", no_short, meta = "FOLDER")]
    documents: Option<PathBuf>,
    #[options(help = "end by itself after so many s", no_short, default = "3600", meta = "N")]
    seconds: u64,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    if arguments.version {
        println!("laurelstall-standin-platform {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(folder) = arguments.documents else {
        eprintln!("laurelstall-standin-platform: --documents FOLDER is needed; see --help");
        return ExitCode::from(2);
    };
    let listener = match TcpListener::bind(&arguments.listen) {
        Ok(listener) => listener,
        Err(error) => {
            eprintln!("laurelstall-standin-platform: {}: {error}", arguments.listen);
            return ExitCode::FAILURE;
        }
    };
    let Ok(runtime) = tokio::runtime::Builder::new_current_thread().enable_all().build() else {
        return ExitCode::FAILURE;
    };
    runtime.block_on(async {
        let platform = StandinPlatform::new();
        platform.serve(listener);
        let end = Instant::now() + Duration::from_secs(arguments.seconds);
        let mut published = HashMap::new();
        while Instant::now() < end {
            publish_changes(&platform, &folder, &mut published);
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
        println!("calls: {}", platform.calls());
    });
    ExitCode::SUCCESS
}

/// Publishes each file whose text is not the one published last.
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
