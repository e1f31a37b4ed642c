//! The decision log at the end of a process.

use laurelstall_config::{document::Version, settings::DecisionFormat};
use laurelstall_node::decision_log::{Decision, DecisionLog};
use std::sync::Arc;
use tokio::time::{Duration, sleep};

fn decision() -> Decision {
    Decision {
        call: 1,
        request_id: "a".to_owned(),
        digest: String::new(),
        attempt: 1,
        importance: 5,
        is_return: false,
        left_us: 1_000,
        service: "t/s".to_owned(),
        version: Version::default(),
        fleet_version: Version::default(),
        target: "a".to_owned(),
        why: "least expected time".to_owned(),
        expected_us: 1,
        hint_age_us: None,
        runner_up: None,
        targets: 1,
        rate_limit_per_s: None,
        is_leaving: false,
        outcome: "answered".to_owned(),
        took_us: 1,
    }
}

/// Guards against decisions that are lost because the process ends before the writer thread has seen them.
#[tokio::test]
async fn decisions_are_written_when_the_log_is_flushed() {
    for phase_ms in (0..100).step_by(10) {
        let log = DecisionLog::new(DecisionFormat::Json, 16, Arc::default());
        sleep(Duration::from_millis(phase_ms)).await;
        log.write(decision());
        log.flush().await;
        assert_eq!(log.recent(2).len(), 1, "written {phase_ms} ms after the start");
    }
}
