//! Overload control on a running deployment.

mod support;

use bytes::Bytes;
use http::{Method, StatusCode};
use laurelstall_standin::harness::Harness;
use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicU64, Ordering},
};
use support::{Answer, entry, plan, send_request, start};
use tokio::{
    task::JoinSet,
    time::{Duration, sleep, timeout},
};

/// Longest wait for an expected event.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Callers that always have a call open; the slots run four at once.
const CALLERS: usize = 60;

/// A service with few slots whose guards control overload if `is_on`.
async fn start_small(is_on: bool) -> Arc<Harness> {
    let mut plan = plan(2);
    plan.services[0].slots = 2;
    plan.services[0].service_mean_ms = 40.0;
    plan.services[0].limits.load.overload = is_on;
    Arc::new(start(plan).await)
}

fn check_answer(answer: &Answer, overloaded: &AtomicU64) {
    assert!(!answer.headers.contains_key("laurelstall-admission-threshold"), "{answer:?}");
    if answer.header("laurelstall-reason") != "overloaded" {
        return;
    }
    overloaded.fetch_add(1, Ordering::Relaxed);
    assert_eq!(
        (answer.status, answer.header("laurelstall-outcome")),
        (StatusCode::SERVICE_UNAVAILABLE, "not-run")
    );
    let retry_ms = answer.header("laurelstall-retry-after-ms").parse::<u64>().expect("a retry time");
    assert!((1..=5_000).contains(&retry_ms), "{retry_ms}");
}

/// Calls the service without a pause until `is_over`; returns how many calls were refused as overloaded.
async fn overload(harness: &Arc<Harness>, is_over: impl Fn() -> bool) -> u64 {
    let (is_ending, overloaded) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    let mut callers = JoinSet::new();
    for caller in 0..CALLERS {
        let (harness, is_ending, overloaded) = (harness.clone(), is_ending.clone(), overloaded.clone());
        callers.spawn(async move {
            let entry = entry(&harness, caller % 2);
            let headers = [("standin-key", "k"), ("laurelstall-budget-ms", "300")];
            while !is_ending.load(Ordering::Relaxed) {
                let answer =
                    send_request(entry, Method::GET, "/market-board/x", &headers, Bytes::new()).await;
                if let Some(answer) = answer {
                    check_answer(&answer, &overloaded);
                }
                sleep(Duration::from_millis(10)).await;
            }
        });
    }
    let waited = timeout(WAIT_TIMEOUT, async {
        while !is_over() {
            sleep(Duration::from_millis(20)).await;
        }
    });
    let waited = waited.await;
    is_ending.store(true, Ordering::Relaxed);
    callers.join_all().await;
    waited.expect("the overload is noticed");
    overloaded.load(Ordering::Relaxed)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn guards_refuse_by_level_and_entries_learn_it_from_them() {
    let harness = start_small(true).await;
    let is_known =
        || ["guard_overloaded", "entry_overloaded"].iter().all(|name| harness.counter_total(name) > 0);
    assert!(overload(&harness, is_known).await > 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn without_overload_control_no_call_is_refused_as_overloaded() {
    let harness = start_small(false).await;
    let has_refused_many = || harness.counter_total("not_run") > 200;
    assert_eq!(overload(&harness, has_refused_many).await, 0);
    assert_eq!(harness.counter_total("guard_overloaded") + harness.counter_total("entry_overloaded"), 0);
}
