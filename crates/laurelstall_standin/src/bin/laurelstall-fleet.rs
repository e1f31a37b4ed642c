//! Measures configuration propagation over many nodes and the cost of control traffic per node.

use gumdrop::Options;
use laurelstall_standin::{
    fleet_bench::{Disturbance, FleetPlan, FleetResult, run},
    program::{EXIT_GUARANTEE_VIOLATED, EXIT_USAGE, write_json},
    runtime_thread::RuntimeThread,
};
use std::process::ExitCode;

/// Largest number of nodes in one process, which keeps listeners and connections within the descriptor limit.
const NODES_MAX: usize = 1_000;

#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "print the version")]
    version: bool,
    #[options(help = "number of nodes, 2 to 1000", default = "50", meta = "N")]
    nodes: usize,
    #[options(help = "length of the run in s", default = "20", meta = "N")]
    seconds: u64,
    #[options(
        help = "interval between two changes in ms, 0 for no changes",
        no_short,
        default = "1000",
        meta = "N"
    )]
    change_interval_ms: u64,
    #[options(
        help = "none, restarts, cut (partition), stale, away (platform outage) or returned (platform restore)",
        default = "none",
        meta = "NAME"
    )]
    disturbance: String,
    #[options(help = "seed of all random choices", no_short, default = "1", meta = "N")]
    seed: u64,
    #[options(help = "write the result as JSON", meta = "FILE")]
    json: Option<String>,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    if arguments.version {
        println!("laurelstall-fleet {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let disturbance = Disturbance::from_name(&arguments.disturbance);
    let Some(disturbance) = disturbance.filter(|_| (2..=NODES_MAX).contains(&arguments.nodes)) else {
        eprintln!("laurelstall-fleet: invalid --nodes or --disturbance; see --help");
        return ExitCode::from(EXIT_USAGE);
    };
    let plan = FleetPlan {
        nodes: arguments.nodes,
        seconds: arguments.seconds,
        change_interval_ms: arguments.change_interval_ms,
        disturbance,
        seed: arguments.seed,
    };
    let thread = RuntimeThread::start("monitor");
    let result = match thread.block_on(run(plan)) {
        Ok(result) => result,
        Err(message) => {
            eprintln!("laurelstall-fleet: {message}");
            return ExitCode::FAILURE;
        }
    };
    print_result(&result);
    if let Some(file) = arguments.json
        && let Err(message) = write_json(&file, &result)
    {
        eprintln!("laurelstall-fleet: {message}");
        return ExitCode::FAILURE;
    }
    if result.fell_back > 0 { ExitCode::from(EXIT_GUARANTEE_VIOLATED) } else { ExitCode::SUCCESS }
}

fn print_result(result: &FleetResult) {
    println!("nodes                       {:>10}", result.nodes);
    println!("all joined after ms         {:>10.0}", result.joined_ms);
    println!("changes, overdue            {:>10} {}", result.changes, result.overdue);
    println!(
        "active after p50/p99/max ms {:>10.0} {:.0} {:.0}",
        result.in_force_p50_ms, result.in_force_p99_ms, result.in_force_max_ms
    );
    println!("version rollbacks           {:>10}", result.fell_back);
    println!("control bytes/s a node      {:>10.0}", result.control_bytes_per_s_per_node);
    println!("  at the busiest node       {:>10.0}", result.control_bytes_per_s_max_node);
    println!("control messages/s a node   {:>10.2}", result.control_messages_per_s_per_node);
    println!("platform calls/s            {:>10.2}", result.platform_calls_per_s);
    println!("share of a core a node      {:>10.5}", result.cpu_share_per_node);
    println!("memory a node bytes         {:>10.0}", result.memory_bytes_per_node);
    println!("connections a node          {:>10.1}", result.connections_per_node);
    println!("configuration bytes         {:>10}", result.configuration_bytes);
}
