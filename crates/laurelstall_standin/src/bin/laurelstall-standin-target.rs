//! Runs a stand-in target as its own process.

use gumdrop::Options;
use laurelstall_standin::{
    program::listen,
    run_records::RunRecords,
    target::{StandinTarget, TargetPlan},
};
use std::{process::ExitCode, sync::Arc, time::Duration};

#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "print the version")]
    version: bool,
    #[options(help = "address to listen on", default = "127.0.0.1:9000", meta = "IP:PORT")]
    listen: String,
    #[options(help = "name of the target", default = "target", no_short, meta = "NAME")]
    name: String,
    #[options(help = "number of requests that run concurrently", default = "12", no_short, meta = "N")]
    slots: u32,
    #[options(help = "mean service time in ms", default = "10", meta = "N")]
    mean_ms: f64,
    #[options(help = "delay in ms before an accepted connection is served", default = "1", meta = "N")]
    open_ms: u64,
    #[options(help = "seed of the random service times", no_short, default = "1", meta = "N")]
    seed: u64,
    #[options(help = "exit after this many s", no_short, default = "3600", meta = "N")]
    seconds: u64,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    if arguments.version {
        println!("laurelstall-standin-target {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let listener = match listen(&arguments.listen) {
        Ok(listener) => listener,
        Err(message) => {
            eprintln!("laurelstall-standin-target: {message}");
            return ExitCode::FAILURE;
        }
    };
    let plan = TargetPlan {
        name: arguments.name,
        slots: arguments.slots,
        service_mean_ms: arguments.mean_ms,
        accept_delay_ms: arguments.open_ms,
        seed: arguments.seed,
    };
    let Ok(runtime) = tokio::runtime::Builder::new_current_thread().enable_all().build() else {
        return ExitCode::FAILURE;
    };
    runtime.block_on(async {
        let records = Arc::new(RunRecords::default());
        let target = StandinTarget::start(plan, records.clone(), listener);
        tokio::time::sleep(Duration::from_secs(arguments.seconds)).await;
        println!("served {}, recorded {}", target.served(), records.len());
    });
    ExitCode::SUCCESS
}
