//! Runs platform, targets, nodes and callers in one process for some seconds and prints a table of results.

use gumdrop::Options;
use laurelstall_standin::{
    callers::{CallPlan, Callers, EntryAddresses, Totals, answered_latency},
    harness::Harness,
    harness_plan::HarnessPlan,
    program::{EXIT_GUARANTEE_VIOLATED, EXIT_USAGE, write_json},
    runtime_thread::RuntimeThread,
};
use serde::Serialize;
use std::{process::ExitCode, sync::atomic::Ordering, time::Duration};

/// Pause before each pair of pings.
const PING_PAUSE: Duration = Duration::from_millis(3);

#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "print the version")]
    version: bool,
    #[options(help = "how long callers make calls, in s", default = "8", meta = "N")]
    seconds: u64,
    #[options(help = "calls per second", default = "400", meta = "N")]
    rate: u64,
    #[options(help = "deployment to run: faltgard or kuantan", default = "faltgard", meta = "NAME")]
    deployment: String,
    #[options(help = "seed of all random choices", default = "1", meta = "N")]
    seed: u64,
    #[options(help = "write the result as JSON", meta = "FILE")]
    json: Option<String>,
}

#[derive(Debug, Serialize)]
struct TryResult {
    #[serde(flatten)]
    totals: Totals,
    p50_ms: f64,
    p99_ms: f64,
    p999_ms: f64,
    added_p50_ms: f64,
    added_p99_ms: f64,
    added_p999_ms: f64,
    direct_p50_ms: f64,
    direct_p99_ms: f64,
    pings: u64,
    control_bytes_per_s_per_node: f64,
    observe_bytes_per_s_per_node: f64,
    nodes: usize,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    if arguments.version {
        println!("laurelstall-try {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(mut plan) = HarnessPlan::deployment(&arguments.deployment, 4, 8.0) else {
        eprintln!("laurelstall-try: --deployment must be faltgard or kuantan");
        return ExitCode::from(EXIT_USAGE);
    };
    plan.seed = arguments.seed;
    for service in &mut plan.services {
        service.targets = 3;
    }
    let thread = RuntimeThread::start("callers");
    let result = thread.block_on(run(plan, arguments.seconds, arguments.rate as f64));
    let result = match result {
        Ok(result) => result,
        Err(message) => {
            eprintln!("laurelstall-try: {message}");
            return ExitCode::FAILURE;
        }
    };
    print_table(&result);
    if let Some(file) = arguments.json
        && let Err(message) = write_json(&file, &result)
    {
        eprintln!("laurelstall-try: {message}");
        return ExitCode::FAILURE;
    }
    if result.totals.violates_guarantees() {
        ExitCode::from(EXIT_GUARANTEE_VIOLATED)
    } else {
        ExitCode::SUCCESS
    }
}

async fn run(plan: HarnessPlan, seconds: u64, rate_per_s: f64) -> Result<TryResult, String> {
    eprintln!("starting the platform and the targets and nodes of {} services", plan.services.len());
    let services = plan.services.iter().map(|service| service.name.clone()).collect::<Vec<_>>();
    let seed = plan.seed;
    let harness = Harness::start(plan).await.map_err(|error| error.to_string())?;
    let nodes = harness.nodes();
    let entries = EntryAddresses::new(nodes.iter().map(|(_, node)| node.entry_address).collect());
    let callers = Callers::new(entries.clone());
    let length = Duration::from_secs(seconds);
    let calls = CallPlan {
        services: services.clone(),
        rate_per_s,
        start: Duration::ZERO,
        length,
        write_share: 0.3,
        seed,
        chain: Vec::new(),
    };
    let before = control_bytes(&harness);
    let ping_targets = harness.target_addresses(&services[0]);
    let (calling, progress) = (callers.clone(), callers.clone());
    let progress_task = tokio::spawn(async move {
        for second in 1..seconds {
            tokio::time::sleep(Duration::from_secs(1)).await;
            eprintln!("{second}/{seconds} s, {} calls ended", progress.finished().len());
        }
    });
    // Pings run on their own thread, so that the other callers do not delay them.
    let pinger = RuntimeThread::start("pinger");
    let ping_callers = Callers::new(entries);
    let load_callers = callers.clone();
    let ping_task = pinger.handle().spawn(async move {
        ping_callers.ping(&services[0], &ping_targets, PING_PAUSE, seed, &load_callers).await
    });
    calling.run(&calls).await;
    let (via_entry, direct) = ping_task.await.map_err(|error| error.to_string())?;
    progress_task.abort();
    let after = control_bytes(&harness);
    let finished = callers.finished().clone();
    let totals = Totals::count(&finished, &harness.records);
    let latency = answered_latency(&finished);
    let added = |percent: f64| via_entry.percentile_ms(percent) - direct.percentile_ms(percent);
    let per_node = seconds as f64 * nodes.len() as f64;
    let observation_bytes: u64 =
        nodes.iter().map(|(_, node)| node.entry.context.observer.usage().bytes).sum();
    Ok(TryResult {
        totals,
        p50_ms: latency.percentile_ms(50.0),
        p99_ms: latency.percentile_ms(99.0),
        p999_ms: latency.percentile_ms(99.9),
        added_p50_ms: added(50.0),
        added_p99_ms: added(99.0),
        added_p999_ms: added(99.9),
        direct_p50_ms: direct.percentile_ms(50.0),
        direct_p99_ms: direct.percentile_ms(99.0),
        pings: via_entry.count(),
        control_bytes_per_s_per_node: (after - before) as f64 / per_node,
        observe_bytes_per_s_per_node: observation_bytes as f64 / per_node,
        nodes: nodes.len(),
    })
}

fn control_bytes(harness: &Harness) -> u64 {
    let bytes = |node: &laurelstall_standin::node_thread::NodeThread| {
        node.meter().control_bytes.load(Ordering::Relaxed)
    };
    harness.nodes().iter().map(|(_, node)| bytes(node)).sum()
}

fn print_table(result: &TryResult) {
    let totals = &result.totals;
    println!("nodes                        {:>10}", result.nodes);
    println!("calls                        {:>10}", totals.calls);
    println!("  answered                   {:>10}", totals.answered);
    println!("  failed at the target       {:>10}", totals.failed);
    println!("  not run                    {:>10}", totals.not_run);
    println!("  unknown                    {:>10}", totals.unknown);
    println!("  lost                       {:>10}", totals.lost);
    println!("  wrong                      {:>10}", totals.wrong);
    println!("reported not run, but ran    {:>10}", totals.not_run_but_ran);
    println!("not repeatable, ran twice    {:>10}", totals.ran_twice);
    println!(
        "latency p50/p99/p99.9 ms     {:>10.2} {:.2} {:.2}",
        result.p50_ms, result.p99_ms, result.p999_ms
    );
    println!("direct  p50/p99 ms           {:>10.2} {:.2}", result.direct_p50_ms, result.direct_p99_ms);
    let added = (result.added_p50_ms, result.added_p99_ms, result.added_p999_ms);
    println!("added   p50/p99/p99.9 ms     {:>10.2} {:.2} {:.2}", added.0, added.1, added.2);
    println!("control bytes/s a node       {:>10.0}", result.control_bytes_per_s_per_node);
    println!("observing bytes/s a node     {:>10.0}", result.observe_bytes_per_s_per_node);
}
