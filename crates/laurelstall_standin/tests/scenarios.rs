//! Validates the scenario files and runs a short scenario with all kinds of faults.

use laurelstall_standin::{
    experiment::{Balancer, RunOptions, run},
    runtime_thread::RuntimeThread,
    scenario::Scenario,
};
use std::{fs, path::PathBuf};

fn folder() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../scenarios")
}

fn read(name: &str) -> Scenario {
    let file = folder().join(name);
    let text = fs::read_to_string(&file).expect("the file exists");
    Scenario::from_text(name, &text).expect("the file is valid")
}

#[test]
fn all_scenario_files_are_valid_and_named_after_their_file() {
    let mut names = Vec::new();
    for entry in fs::read_dir(folder()).expect("the folder exists").flatten() {
        let name = entry.file_name().into_string().expect("file names are UTF-8");
        assert_eq!(format!("{}.toml", read(&name).name), name);
        names.push(name);
    }
    for wanted in [
        "calm",
        "noisy",
        "surge",
        "fast_failure",
        "slow_target",
        "drain",
        "deep_calls",
        "evacuation",
        "partition",
        "paused",
        "night",
        "returned_platform",
        "limited",
        "everything",
    ] {
        assert!(names.contains(&format!("{wanted}.toml")), "{wanted}");
    }
}

#[test]
fn faults_of_all_kinds_together_violate_no_guarantee() {
    let mut scenario = read("everything.toml");
    // Runs the faults at a fifth of their times, with a load that a busy machine can serve.
    scenario.seconds = 4;
    scenario.load_percent = 4;
    scenario.phases.clear();
    for fault in &mut scenario.faults {
        fault.at_ms /= 5;
        fault.for_ms /= 5;
    }
    let thread = RuntimeThread::start("callers");
    let result =
        thread.block_on(async move { run(&scenario, Balancer::Laurelstall, RunOptions::default(), 3).await });
    let result = result.expect("the deployment starts");
    let totals = &result.totals;
    assert!(totals.calls > 100 && totals.answered > 0, "{totals:?}");
    assert_eq!((totals.wrong, totals.not_run_but_ran, totals.ran_twice), (0, 0, 0), "{:?}", result.reasons);
    assert!(result.observe_bytes_per_s_max <= result.observe_budget_bytes_per_s);
}

#[test]
fn targets_with_stated_limits_and_leaving_ones_are_spared_while_their_nodes_fail() {
    let scenario = read("limited.toml");
    let thread = RuntimeThread::start("callers");
    let result =
        thread.block_on(async move { run(&scenario, Balancer::Laurelstall, RunOptions::default(), 3).await });
    let result = result.expect("the deployment starts");
    let totals = &result.totals;
    assert!(totals.calls > 100 && totals.answered > 0, "{totals:?}");
    assert_eq!((totals.wrong, totals.not_run_but_ran, totals.ran_twice), (0, 0, 0), "{:?}", result.reasons);
    assert_eq!((result.calls_over_limit, result.calls_after_leaving), (0, 0), "{totals:?}");
}
