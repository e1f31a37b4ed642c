//! Benchmarks of the decisions for each call: `cargo bench -p laurelstall_node`.

use criterion::{Criterion, criterion_group, criterion_main};
use http::HeaderMap;
use laurelstall_balance::{
    hint::{Hint, TargetState},
    least_cost::LeastCost,
    service_balancer::{ChoiceRequest, ServiceBalancer},
    target_view::TargetView,
};
use laurelstall_config::{document::Version, settings::DecisionFormat, team::ServiceLimits};
use laurelstall_crash::request_digest::{RequestDigest, RequestHead};
use laurelstall_guard::{
    clock::Clock,
    ledger::{Ledger, TicketUse},
};
use laurelstall_node::{
    counters::Counters,
    decision_log::{Decision, DecisionLog},
};
use laurelstall_peer::crash_registry::CrashRegistry;
use laurelstall_policy::program::{Program, RequestView};
use std::{hint::black_box, sync::Arc};

const PROGRAM: &str = r#"
if path.starts_with("/sell") { return #{ service: "trade", importance: 8 }; }
if path.starts_with("/plant") { return #{ service: "fields", importance: 8 }; }
#{ service: "market", repeat: method == "GET", tries: 3, budget_ms: 2000 }
"#;

fn policy(criterion: &mut Criterion) {
    let program = Program::compile(PROGRAM).expect("it compiles");
    let headers = HeaderMap::new();
    let request = RequestView { method: "GET", host: "a", path: "/market/1", headers: &headers };
    criterion.bench_function("policy of three rules", |b| b.iter(|| program.decide(black_box(&request))));
}

fn balancer(targets: usize) -> ServiceBalancer {
    let limits = ServiceLimits::default();
    let mut balancer = ServiceBalancer::new(limits, Box::new(LeastCost::default()), 1);
    let view = |n: usize| TargetView::new(&format!("target-{n}"), &format!("host-{n}"), 12, 100, 0);
    balancer.set_targets(limits, (0..targets).map(view).collect());
    balancer
}

fn hint(load: u32) -> Hint {
    Hint {
        incarnation: 1,
        in_flight: load,
        queued: 0,
        limit: 12,
        service_us: 10_000,
        slowness_percent: 400,
        state: TargetState::Serving,
    }
}

fn choice(criterion: &mut Criterion) {
    for targets in [4, 18, 550] {
        let mut balancer = balancer(targets);
        for index in 0..targets {
            balancer.update_hint(index, &format!("target-{index}"), hint(index as u32 % 12), 1_000_000);
        }
        let choice_request = ChoiceRequest {
            excluded: &[],
            only: None,
            data_centres: None,
            class: 0,
            useful_us: None,
            waives_remote_cost: false,
            now_us: 1_001_000,
        };
        criterion.bench_function(&format!("choice among {targets}"), |b| {
            b.iter(|| balancer.choose(black_box(&choice_request)))
        });
    }
}

fn hint_update(criterion: &mut Criterion) {
    let mut balancer = balancer(550);
    criterion.bench_function("hint update", |b| {
        b.iter(|| balancer.update_hint(77, "target-77", black_box(hint(3)), 1_000_000))
    });
}

fn ledger(criterion: &mut Criterion) {
    let mut ledger = Ledger::new(1, 1_000_000);
    let mut now_us = 0;
    criterion.bench_function("ticket given, begun and ended", |b| {
        b.iter(|| {
            now_us += 10;
            let (first, _) = ledger.issue(1, 1_000, now_us);
            if let TicketUse::FirstUse(token) = ledger.use_ticket(1, first, now_us) {
                ledger.end_unknown(token);
            }
        });
    });
}

fn decision_log(criterion: &mut Criterion) {
    let log = DecisionLog::new(DecisionFormat::Human, 4_096, Arc::new(Counters::default()));
    let decision = Decision {
        call: 1,
        request_id: String::new(),
        digest: String::new(),
        fleet_version: Version::new(1),
        hint_age_us: Some(1),
        attempt: 1,
        importance: 0,
        is_return: false,
        left_us: 0,
        service: "team/service".to_owned(),
        version: Version::new(1),
        target: "target-1".to_owned(),
        why: "least expected time".to_owned(),
        expected_us: 100,
        runner_up: Some(("target-2".to_owned(), 200)),
        targets: 18,
        rate_limit_per_s: None,
        is_leaving: false,
        outcome: "answered".to_owned(),
        took_us: 300,
    };
    criterion.bench_function("decision handed to the log", |b| b.iter(|| log.write(decision.clone())));
}

/// Cost per call of recognizing requests that crash targets.
fn crashes(criterion: &mut Criterion) {
    let head = RequestHead { method: "POST", host: "shop.example", path: "/sell/wheat/c6df04", caller: "" };
    let body = vec![7; 1_200];
    criterion.bench_function("digest of a request of 1,200 bytes", |b| {
        b.iter(|| RequestDigest::of_whole(black_box(&head), black_box(&body)));
    });
    let registry = CrashRegistry::new(Clock::new());
    let digest = RequestDigest::of_whole(&head, &body);
    criterion.bench_function("verdict, while nothing is held back", |b| {
        b.iter(|| registry.request_status(black_box(digest)));
    });
    criterion.bench_function("good run noted", |b| b.iter(|| registry.note_success(black_box(digest))));
    for end in 0..40 {
        let digests = (0..12).map(|number| RequestDigest { whole: 100 * end + number, head: 1 });
        registry.note_crash(end, "team/service", &digests.collect::<Vec<_>>());
    }
    criterion.bench_function("verdict, with 256 requests known", |b| {
        b.iter(|| registry.request_status(black_box(digest)));
    });
}

fn clock(criterion: &mut Criterion) {
    let clock = Clock::new();
    criterion.bench_function("clock read", |b| b.iter(|| clock.now_us()));
    let steady = tokio::time::Instant::now();
    criterion.bench_function("steady clock read", |b| b.iter(|| steady.elapsed().as_micros() as u64));
}

criterion_group!(benches, policy, choice, hint_update, ledger, decision_log, crashes, clock);
criterion_main!(benches);
