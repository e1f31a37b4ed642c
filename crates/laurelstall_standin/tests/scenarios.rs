//! The scenario files, and a short run of everything at once.

use laurelstall_standin::{
    experiment::{Balancer, Tuning, run},
    scenario::Scenario,
    threads::RuntimeThread,
};
use std::{fs, path::PathBuf};

fn folder() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../scenarios")
}

fn read(name: &str) -> Scenario {
    let file = folder().join(name);
    let text = fs::read_to_string(&file).expect("the file is there");
    Scenario::from_text(name, &text).expect("the file is right")
}

#[test]
fn all_scenario_files_are_right_and_named_as_their_file() {
    let mut names = Vec::new();
    for entry in fs::read_dir(folder()).expect("the folder is there").flatten() {
        let name = entry.file_name().into_string().expect("a plain name");
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
        "everything",
    ] {
        assert!(names.contains(&format!("{wanted}.toml")), "{wanted}");
    }
}

#[test]
fn faults_of_all_kinds_together_break_no_promise() {
    let mut scenario = read("everything.toml");
    // The same faults at a fifth of their times and at a load that a busy machine carries.
    scenario.seconds = 4;
    scenario.load_percent = 4;
    scenario.phases.clear();
    for fault in &mut scenario.faults {
        fault.at_ms /= 5;
        fault.for_ms /= 5;
    }
    let thread = RuntimeThread::start("callers");
    let result =
        thread.block_on(async move { run(&scenario, Balancer::Laurelstall, Tuning::default(), 3).await });
    let result = result.expect("the deployment starts");
    let totals = &result.totals;
    assert!(totals.calls > 100 && totals.answered > 0, "{totals:?}");
    assert_eq!((totals.wrong, totals.not_run_but_ran, totals.ran_twice), (0, 0, 0), "{:?}", result.reasons);
    assert!(result.observe_bytes_per_s_max <= result.observe_budget_bytes_per_s);
}
