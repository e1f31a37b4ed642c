//! Runs a scenario under several balancers, one after the other, and compares them.

use gumdrop::Options;
use laurelstall_config::team::ServiceLimits;
use laurelstall_standin::{
    experiment::{Balancer, BalancerResult, RunOptions, run},
    program::{EXIT_GUARANTEE_VIOLATED, EXIT_USAGE},
    report,
    runtime_thread::RuntimeThread,
    scenario::Scenario,
};
use serde::Serialize;
use std::{collections::BTreeMap, path::Path, process::ExitCode};

#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "print the version")]
    version: bool,
    #[options(help = "scenario file (TOML)", meta = "FILE")]
    scenario: Option<String>,
    #[options(help = "balancers to run, separated by commas; default: all", meta = "NAMES")]
    balancer: Option<String>,
    #[options(help = "seed of all random choices", default = "1", meta = "N")]
    seed: u64,
    #[options(help = "length in s, overrides the scenario's", no_short, meta = "N")]
    seconds: Option<u64>,
    #[options(help = "write the results as JSON", meta = "FILE")]
    json: Option<String>,
    #[options(help = "draw the results as SVG", no_short, meta = "FILE")]
    svg: Option<String>,
    #[options(help = "observation budget in percent of the default", no_short, default = "100", meta = "N")]
    observe_percent: u64,
    #[options(
        help = "service limits as in a team's document, separated by commas",
        no_short,
        meta = "KEY=VALUE"
    )]
    limits: Option<String>,
    #[options(help = "hedge repeatable calls after this many ms", no_short, meta = "N")]
    hedge_after_ms: Option<u64>,
    #[options(help = "disable the decision log", no_short)]
    no_decision_log: bool,
}

#[derive(Debug, Serialize)]
struct LoadResult {
    scenario: String,
    seed: u64,
    balancers: BTreeMap<String, BalancerResult>,
    /// Laurelstall's figures divided by those of each other balancer.
    ratios: BTreeMap<String, Ratios>,
}

#[derive(Debug, Serialize)]
struct Ratios {
    p99: f64,
    p999: f64,
    goodput: f64,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    if arguments.version {
        println!("laurelstall-load {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let (scenario, balancers) = match parse_arguments(&arguments) {
        Ok(parsed) => parsed,
        Err(message) => {
            eprintln!("{message}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    match measure(&arguments, &scenario, &balancers) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(EXIT_GUARANTEE_VIOLATED),
        Err(message) => {
            eprintln!("laurelstall-load: {message}");
            ExitCode::FAILURE
        }
    }
}

fn parse_arguments(arguments: &Arguments) -> Result<(Scenario, Vec<Balancer>), String> {
    let file = arguments.scenario.as_ref().ok_or("laurelstall-load: missing --scenario FILE; see --help")?;
    let text = std::fs::read_to_string(file).map_err(|error| format!("{file}: {error}"))?;
    let mut scenario = Scenario::from_text(file, &text).map_err(|error| error.to_string())?;
    scenario.seconds = arguments.seconds.unwrap_or(scenario.seconds);
    let Some(names) = &arguments.balancer else { return Ok((scenario, Balancer::ALL.to_vec())) };
    let by_name =
        |name: &str| Balancer::from_name(name).ok_or(format!("laurelstall-load: unknown balancer '{name}'"));
    let balancers = names.split(',').map(by_name).collect::<Result<Vec<_>, _>>()?;
    Ok((scenario, balancers))
}

/// Runs all balancers; returns false if Laurelstall's own violated a guarantee.
fn measure(arguments: &Arguments, scenario: &Scenario, balancers: &[Balancer]) -> Result<bool, String> {
    let limits = arguments.limits.as_deref().unwrap_or_default().replace(',', "\n");
    let limits = toml::from_str::<ServiceLimits>(&limits).map_err(|error| format!("--limits: {error}"))?;
    let options = RunOptions {
        observe_percent: arguments.observe_percent,
        limits,
        hedge_after_ms: arguments.hedge_after_ms,
        has_decision_log: !arguments.no_decision_log,
    };
    let mut results = Vec::new();
    println!("{} at seed {}", scenario.name, arguments.seed);
    println!(
        "{:12} {:>8} {:>8} {:>8} {:>9} {:>8} {:>7} {:>7} {:>6} {:>6} {:>8} {:>8} {:>7}",
        "balancer",
        "p50 ms",
        "p99 ms",
        "p99.9",
        "good/s",
        "not run",
        "unknown",
        "failed",
        "lost",
        "wrong",
        "handback",
        "obs B/s",
        "node us"
    );
    for balancer in balancers {
        let thread = RuntimeThread::start("callers");
        let (owned, balancer, seed) = (scenario.clone(), *balancer, arguments.seed);
        let result = thread.block_on(async move { run(&owned, balancer, options, seed).await })?;
        print_row(balancer.name(), &result);
        results.push((balancer.name().to_owned(), result));
    }
    write_files(arguments, scenario, &results)?;
    let violating =
        results.iter().filter(|(name, result)| name == "laurelstall" && violates_guarantees(result));
    Ok(violating.count() == 0)
}

fn violates_guarantees(result: &BalancerResult) -> bool {
    result.totals.violates_guarantees()
        || result.calls_over_limit + result.calls_after_leaving > 0
        || result.observe_bytes_per_s_max > result.observe_budget_bytes_per_s
}

fn print_row(name: &str, result: &BalancerResult) {
    let totals = &result.totals;
    println!(
        "{name:12} {:8.1} {:8.1} {:8.1} {:9.0} {:8} {:7} {:7} {:6} {:6} {:8} {:8} {:7.0}",
        result.p50_ms,
        result.p99_ms,
        result.p999_ms,
        result.goodput_per_s,
        totals.not_run,
        totals.unknown,
        totals.failed,
        totals.lost,
        totals.wrong + totals.not_run_but_ran + totals.ran_twice,
        result.hand_backs,
        result.observe_bytes_per_s_max,
        result.node_cpu_us_per_call,
    );
    if result.calls_over_limit + result.calls_after_leaving > 0 {
        println!(
            "    {} calls over stated rate limits, {} at leaving targets",
            result.calls_over_limit, result.calls_after_leaving
        );
    }
    for (reason, count) in &result.reasons {
        println!("    {count:6} {reason}");
    }
}

fn write_files(
    arguments: &Arguments,
    scenario: &Scenario,
    results: &[(String, BalancerResult)],
) -> Result<(), String> {
    let laurelstall = results.iter().find(|(name, _)| name == "laurelstall").map(|(_, result)| result);
    let ratio = |other: &BalancerResult| {
        laurelstall.map(|laurelstall| Ratios {
            p99: laurelstall.p99_ms / other.p99_ms.max(0.001),
            p999: laurelstall.p999_ms / other.p999_ms.max(0.001),
            goodput: laurelstall.goodput_per_s / other.goodput_per_s.max(0.001),
        })
    };
    let ratios = results.iter().filter(|(name, _)| name != "laurelstall");
    let ratios = ratios.filter_map(|(name, result)| Some((name.clone(), ratio(result)?))).collect();
    let load_result = LoadResult {
        scenario: scenario.name.clone(),
        seed: arguments.seed,
        balancers: results.iter().cloned().collect(),
        ratios,
    };
    if let Some(file) = &arguments.json {
        let text = serde_json::to_string_pretty(&load_result).map_err(|error| error.to_string())?;
        std::fs::write(file, text).map_err(|error| format!("{file}: {error}"))?;
    }
    if let Some(file) = &arguments.svg {
        report::draw(Path::new(file), &scenario.name, results).map_err(|error| format!("{file}: {error}"))?;
    }
    Ok(())
}
