//! The cases. Each returns how the rule was broken; nothing if it held.

use super::*;
use client::{Answer, Call, HOST, send};
use nodes::{APPLY_MS, CONTACT_MS, DRAIN_MS, Deployment, GRACE_S, own_ip};
use store::{Proxy, Store};

/// Time in which what one node has read reaches the others, in ms.
const TOLD_MARGIN_MS: u64 = 500;

pub fn play(case: &str, record: &Arc<Record>) -> io::Result<Vec<String>> {
    match case {
        "late-stop" => late_stop(record),
        "silent-drain" => silent_store(record, Change::Draining),
        "silent-gone" => silent_store(record, Change::Gone),
        "silent-config" => silent_store(record, Change::Route),
        _ => Err(io::Error::other(format!("there is no case {case}"))),
    }
}

/// A route of a configuration: name, path prefix, kind, timeout in ms and service.
struct Route(&'static str, &'static str, &'static str, u64, &'static str);

fn config(version: u64, services: &[&str], routes: &[Route]) -> String {
    let services = services.iter().map(|name| {
        format!("{{\"Name\":\"{name}\",\"HealthPath\":\"/health\",\"MaxConns\":260,\"Protocol\":\"h1\",\"Tls\":false}}")
    });
    let routes = routes.iter().map(|Route(name, prefix, kind, timeout_ms, service)| {
        format!(
            "{{\"Name\":\"{name}\",\"PathPrefix\":\"{prefix}\",\"Kind\":\"{kind}\",\"TimeoutMs\":{timeout_ms},\
             \"TargetLatencyMs\":1000,\"Priority\":1,\"Service\":\"{service}\",\"MaxAttempts\":2}}"
        )
    });
    format!(
        "{{\"Version\":{version},\"Services\":[{}],\"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":67108864,\
         \"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}},\"VirtualHosts\":[{{\"Host\":\"{HOST}\",\"PathRules\":[{}]}}]}}",
        services.collect::<Vec<_>>().join(","),
        routes.collect::<Vec<_>>().join(",")
    )
}

fn post(to: SocketAddr, path: &str, id: &str, deadline_ms: u64) -> Call {
    let body = vec![b'x'; 600];
    Call { to, method: "POST", path: path.to_owned(), id: id.to_owned(), deadline_ms, body }
}

/// A node is stopped as planned while the backend beside it runs a request of 2.4 s. A client sends requests 3.1 to 3.5 s
/// after the SIGTERM. The node takes them, passes them on, and ends before the backends have answered.
fn late_stop(record: &Arc<Record>) -> io::Result<Vec<String>> {
    let store = Store::start(own_ip(1), record)?;
    let platform = store.address;
    let places = [("telford-hall", "refunds"), ("walsall-hall", "refunds"), ("derby-hall", "refunds")];
    let deployment = Deployment::prepare(record, store, platform, &places)?;
    let routes = [Route("refund-batch", "/refund/", "non_idempotent", 5_000, "refunds")];
    deployment.start(&config(1, &["refunds"], &routes))?;
    sleep_ms(CONTACT_MS + 500);
    let node = 0;
    let entry = deployment.machines[node].entry;
    let stopped_ms = record.now_ms();
    if has_trouble() {
        deployment.terminate(node)?;
    }
    let send_at = |at_ms: u64, path: &str, id: &str| {
        let call = post(entry, path, id, 5_000);
        let record = record.clone();
        thread::spawn(move || {
            sleep_ms(at_ms);
            send(&call, &record)
        })
    };
    // Enough for each backend to get one.
    let mut sent =
        (0..6).map(|index| send_at(1_300, "/refund/2400", &format!("early-{index}"))).collect::<Vec<_>>();
    for index in 0..5 {
        sent.push(send_at(3_100 + 100 * index, "/refund/2500", &format!("late-{index}")));
    }
    if has_trouble() {
        // The platform kills a process that still runs after the grace period.
        sleep_ms((stopped_ms + GRACE_S * 1_000).saturating_sub(record.now_ms()));
        record.note(format!("the grace period ends; the node has ended: {}", deployment.has_ended(node)));
        deployment.kill(node);
    }
    let answers = sent.into_iter().filter_map(|thread| thread.join().ok()).collect::<Vec<_>>();
    sleep_ms(3_000);
    let mut broken = Vec::new();
    for Answer { id, sent_ms, ended_ms, result } in &answers {
        let runs = deployment.runs_of(id);
        let is_late = *sent_ms > stopped_ms + 3_000 && *ended_ms < stopped_ms + GRACE_S * 1_000 + 1_000;
        if let (Err(error), Some(run), true) = (result, runs.first(), is_late || !has_trouble()) {
            broken.push(format!(
                "LOST: {id}, sent {} ms after the SIGTERM, was passed on to backend {} and its connection ended after \
                 {} ms without an answer ({error}); its run took until {:?} ms",
                sent_ms - stopped_ms,
                run.backend,
                ended_ms - sent_ms,
                run.ended_ms.map(|ended_ms| ended_ms - sent_ms)
            ));
        }
    }
    Ok(broken)
}

/// What changes in the store right after its open connections went silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Change {
    /// A backend states that it is draining.
    Draining,
    /// The entry of a backend that never states it is removed.
    Gone,
    /// A route moves to another service.
    Route,
}

/// The open connections to the store go silent for good, while new ones work, and a change follows at once.
fn silent_store(record: &Arc<Record>, change: Change) -> io::Result<Vec<String>> {
    let store = Store::start(own_ip(1), record)?;
    let proxy = Proxy::start(own_ip(2), store.address)?;
    let places = [
        ("telford-hall", "refunds"),
        ("telford-hall", "tender"),
        ("walsall-hall", "refunds"),
        ("walsall-hall", "tender"),
        ("derby-hall", "refunds"),
        ("derby-hall", "tender"),
    ];
    let deployment = Deployment::prepare(record, store.clone(), proxy.address, &places)?;
    let services = ["refunds", "tender"];
    let version = |version: u64, service: &'static str| {
        let routes = [
            Route("refund-batch", "/refund/", "non_idempotent", 5_000, service),
            Route("card-settle", "/settle/", "non_idempotent", 2_500, "tender"),
        ];
        config(version, &services, &routes)
    };
    deployment.start(&version(1, "refunds"))?;
    sleep_ms(CONTACT_MS + 500);
    // An ordinary change, after which all nodes that read the store wait for the next one.
    store.put("op/config", Some(&version(3, "refunds")));
    sleep_ms(600);
    let silent_ms = record.now_ms();
    if has_trouble() {
        record.note("all open connections to the store go silent");
        proxy.silence();
    }
    sleep_ms(200);
    let leaving = &deployment.machines[2].backend;
    match change {
        Change::Draining => store.put(&leaving.key(), Some(&leaving.entry("draining"))),
        Change::Gone => store.put(&leaving.key(), None),
        Change::Route => store.put("op/config", Some(&version(4, "tender"))),
    }
    let acknowledged_ms = record.now_ms();
    // The backend serves on for `DrainMs` and longer.
    let serves_on_ms = match change {
        Change::Draining => Some(DRAIN_MS + 800),
        Change::Gone => Some(DRAIN_MS + 2_200),
        Change::Route => None,
    };
    let ending = serves_on_ms.map(|serves_on_ms| {
        let leaving = leaving.clone();
        thread::spawn(move || {
            sleep_ms(serves_on_ms);
            leaving.end();
        })
    });
    // Every machine has been in touch for `ContactMs` again.
    sleep_ms((silent_ms + CONTACT_MS + 20).saturating_sub(record.now_ms()));
    let mut sent = Vec::new();
    for round in 0..80 {
        for (index, machine) in deployment.machines.iter().enumerate() {
            let call = post(machine.entry, "/refund/160", &format!("r{round}-{index}"), 5_000);
            let record = record.clone();
            sent.push(thread::spawn(move || send(&call, &record)));
        }
        sleep_ms(30);
    }
    let answers = sent.into_iter().filter_map(|thread| thread.join().ok()).collect::<Vec<_>>();
    let _ = ending.map(thread::JoinHandle::join);
    // For the entry that was removed, only what is sent after the store has told of it.
    let told_ms = store.removal_told_ms(&leaving.key());
    let from_ms = match change {
        Change::Gone if has_trouble() => told_ms.map_or(u64::MAX, |told_ms| told_ms + TOLD_MARGIN_MS),
        _ => 0,
    };
    let mut broken = Vec::new();
    for Answer { id, sent_ms, result, .. } in answers.iter().filter(|answer| answer.sent_ms >= from_ms) {
        let after_silence_ms = sent_ms - silent_ms;
        for run in deployment.runs_of(id) {
            if change == Change::Route {
                let is_old = run.backend.contains("refunds") && *sent_ms > acknowledged_ms + APPLY_MS;
                if is_old {
                    broken.push(format!(
                        "CONFIG: {id}, sent {after_silence_ms} ms after the silence and {} ms after the store took version \
                         4, ran at backend {} of the route's old service",
                        sent_ms - acknowledged_ms,
                        run.backend
                    ));
                }
            } else if run.backend == leaving.id && run.at_ms > acknowledged_ms + DRAIN_MS {
                let end = match (run.ended_ms, result) {
                    (Some(_), _) => "the run ended".to_owned(),
                    (None, Ok((status, _, _))) => format!("the run was lost, the client has {status}"),
                    (None, Err(error)) => format!("the run was lost, the client has no answer: {error}"),
                };
                let told = told_ms.map_or_else(String::new, |told_ms| {
                    format!(" and {} ms after the store told of it", sent_ms.saturating_sub(told_ms))
                });
                broken.push(format!(
                    "DRAIN: {id}, sent {after_silence_ms} ms after the silence{told}, reached backend {} {} ms after the \
                     store took that it leaves; {end}",
                    run.backend,
                    run.at_ms - acknowledged_ms
                ));
            }
        }
    }
    Ok(broken)
}
