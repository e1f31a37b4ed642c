//! The node process, which runs next to each target.

use gumdrop::Options;
use laurelstall_node::{
    node::NodeOptions,
    process::{EXIT_USAGE, run_node},
};
use std::process::ExitCode;

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
        eprintln!("laurelstall-node: --settings FILE is required; see --help");
        return ExitCode::from(EXIT_USAGE);
    };
    run_node(&file, NodeOptions::new)
}
