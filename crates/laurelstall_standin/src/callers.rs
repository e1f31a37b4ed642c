//! Stand-in callers: they make calls at planned instants, verify each answer, and compare each outcome with the
//! targets' run records.

use crate::{
    call_uri::{CALLER_HOST, uri},
    latency::LatencyHistogram,
    run_records::RunRecords,
    target::{ANSWER_BYTES_HEADER, CHAIN_HEADER, KEY_HEADER, NO_WORK_HEADER, pattern_byte},
};
use bytes::Bytes;
use http::{HeaderValue, Method, Request, StatusCode, Uri, header::HOST};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use laurelstall_node::headers::{OUTCOME, REASON};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError, RwLock,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration as StdDuration, Instant as StdInstant},
};
use tokio::{
    task::{JoinSet, yield_now},
    time::{Duration, Instant, sleep, timeout},
};

/// Time after which a caller gives up on a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);
/// How long before a planned instant the caller stops sleeping and polls, because timers are too coarse.
const SPIN_WINDOW: Duration = Duration::from_millis(2);

/// Kind of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// A `GET` call that may be repeated.
    Read,
    /// A `POST` call that must not be repeated.
    Write,
    /// A call without work at the target, which measures the network path.
    Ping,
}

/// The calls that a population of callers makes.
#[derive(Debug, Clone)]
pub struct CallPlan {
    /// Services to call; each call chooses one at random.
    pub services: Vec<String>,
    /// Mean number of calls per second.
    pub rate_per_s: f64,
    /// Start of this plan, relative to the start of the run.
    pub start: StdDuration,
    /// How long calls are made.
    pub length: StdDuration,
    /// Share of calls that must not be repeated, from 0 to 1.
    pub write_share: f64,
    /// Seed of the random instants and choices.
    pub seed: u64,
    /// Services below the first one in a call chain, in order.
    pub chain: Vec<String>,
}

/// Outcome of a call as its caller observed it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ObservedOutcome {
    /// The caller received the complete answer to its own request.
    Answered,
    /// The caller received an error response.
    Failed,
    /// The answer reported that the call did not run.
    NotRun,
    /// The answer reported that the outcome is unknown.
    Unknown,
    /// The caller received no complete answer: the connection broke or the call timed out.
    Lost,
    /// The caller received another call's answer or an incomplete answer.
    Wrong,
}

/// A finished call.
#[derive(Debug, Clone)]
pub struct FinishedCall {
    /// Key of the call in the run records.
    pub key: String,
    /// Kind of the call.
    pub kind: CallKind,
    /// Outcome that the caller observed.
    pub outcome: ObservedOutcome,
    /// Reason given to the caller; empty if none was given.
    pub reason: String,
    /// Planned instant in µs since the start of the run.
    pub planned_us: u64,
    /// Time from the planned instant to the end of the call in µs.
    pub latency_us: u64,
}

/// A call to make.
#[derive(Debug, Clone)]
pub struct CallRequest {
    /// URI that the call is sent to.
    pub uri: Uri,
    /// Kind of the call.
    pub kind: CallKind,
    /// Key of the call in the run records.
    pub key: String,
    /// Requested length of the answer body; `None` requests an echo of the request body.
    pub answer_bytes: Option<u64>,
    /// Services that the target calls next, separated by commas.
    pub chain: String,
}

impl CallRequest {
    /// Creates a call without a requested answer length or a chain.
    pub fn new(uri: Uri, kind: CallKind, key: &str) -> Self {
        Self { uri, kind, key: key.to_owned(), answer_bytes: None, chain: String::new() }
    }
}

/// Number of finished calls by outcome, and of violated guarantees.
#[derive(Debug, Clone, Default, serde::Serialize)]
pub struct Totals {
    /// Calls made by callers.
    pub calls: u64,
    /// Calls answered in full.
    pub answered: u64,
    /// Calls answered with an error.
    pub failed: u64,
    /// Calls that ended as *not run*.
    pub not_run: u64,
    /// Calls that ended as *unknown*.
    pub unknown: u64,
    /// Calls without a complete answer.
    pub lost: u64,
    /// Calls with a wrong or incomplete answer.
    pub wrong: u64,
    /// Calls reported as *not run* although a target executed them.
    pub not_run_but_ran: u64,
    /// Calls that must not be repeated but ran more than once.
    pub ran_twice: u64,
}

impl Totals {
    /// Counts the outcomes of `calls` and compares them with the run records.
    pub fn count(calls: &[FinishedCall], records: &RunRecords) -> Self {
        let mut totals = Self { calls: calls.len() as u64, ..Self::default() };
        for call in calls {
            match call.outcome {
                ObservedOutcome::Answered => totals.answered += 1,
                ObservedOutcome::Failed => totals.failed += 1,
                ObservedOutcome::NotRun => totals.not_run += 1,
                ObservedOutcome::Unknown => totals.unknown += 1,
                ObservedOutcome::Lost => totals.lost += 1,
                ObservedOutcome::Wrong => totals.wrong += 1,
            }
            let runs = records.runs(&call.key);
            totals.not_run_but_ran += u64::from(call.outcome == ObservedOutcome::NotRun && runs > 0);
            totals.ran_twice += u64::from(call.kind == CallKind::Write && runs > 1);
        }
        totals
    }

    /// Returns whether any guarantee was violated.
    pub fn violates_guarantees(&self) -> bool {
        self.wrong + self.not_run_but_ran + self.ran_twice > 0
    }
}

/// Returns the latencies of the calls that were answered in full.
pub fn answered_latency<'a>(calls: impl IntoIterator<Item = &'a FinishedCall>) -> LatencyHistogram {
    let mut latency = LatencyHistogram::new();
    for call in calls.into_iter().filter(|call| call.outcome == ObservedOutcome::Answered) {
        latency.add_us(call.latency_us);
    }
    latency
}

/// Addresses of the entry nodes that callers use.
#[derive(Debug, Default)]
pub struct EntryAddresses {
    addresses: RwLock<Vec<SocketAddr>>,
}

impl EntryAddresses {
    /// Creates a list of these addresses.
    pub fn new(addresses: Vec<SocketAddr>) -> Arc<Self> {
        Arc::new(Self { addresses: RwLock::new(addresses) })
    }

    /// Removes an address, so that callers stop using it.
    pub fn remove(&self, address: SocketAddr) {
        self.addresses.write().unwrap_or_else(PoisonError::into_inner).retain(|other| *other != address);
    }

    /// Adds an address, so that callers use it again.
    pub fn add(&self, address: SocketAddr) {
        self.addresses.write().unwrap_or_else(PoisonError::into_inner).push(address);
    }

    fn choose(&self, rng: &mut SmallRng) -> Option<SocketAddr> {
        let addresses = self.addresses.read().unwrap_or_else(PoisonError::into_inner);
        (!addresses.is_empty()).then(|| addresses[rng.random_range(0..addresses.len())])
    }
}

/// A population of callers.
#[derive(Debug)]
pub struct Callers {
    client: Client<HttpConnector, Full<Bytes>>,
    entries: Arc<EntryAddresses>,
    finished: Mutex<Vec<FinishedCall>>,
    is_finished: AtomicBool,
}

impl Callers {
    /// Creates callers that send their calls to `entries`.
    pub fn new(entries: Arc<EntryAddresses>) -> Arc<Self> {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new()).pool_max_idle_per_host(2_000).build(connector);
        Arc::new(Self { client, entries, finished: Mutex::default(), is_finished: AtomicBool::new(false) })
    }

    /// Makes calls at planned instants, whether or not earlier calls have ended.
    ///
    /// Latency counts from the planned instant, so it includes delays of the caller itself.
    pub async fn run(self: &Arc<Self>, plan: &CallPlan) {
        let mut rng = SmallRng::seed_from_u64(plan.seed);
        let start = StdInstant::now();
        let mut offset = StdDuration::ZERO;
        let mut number = 0;
        let mut running = JoinSet::new();
        let chain = plan.chain.join(",");
        loop {
            let interval_s = -(1.0 - rng.random::<f64>()).ln() / plan.rate_per_s;
            offset += StdDuration::from_secs_f64(interval_s);
            if offset >= plan.length {
                break;
            }
            wait_until(start + offset).await;
            let Some(entry) = self.entries.choose(&mut rng) else { continue };
            let service = &plan.services[rng.random_range(0..plan.services.len())];
            let kind = if rng.random_bool(plan.write_share) { CallKind::Write } else { CallKind::Read };
            let key = format!("{}-{number}", plan.seed);
            number += 1;
            let request =
                CallRequest { chain: chain.clone(), ..CallRequest::new(uri(entry, service), kind, &key) };
            let this = self.clone();
            let plan_start = plan.start;
            running.spawn(async move {
                let planned = start + offset;
                let (outcome, reason) = this.call_with_reason(&request).await;
                let latency_us = planned.elapsed().as_micros() as u64;
                let planned_us = (plan_start + offset).as_micros() as u64;
                this.finished().push(FinishedCall { key, kind, outcome, reason, planned_us, latency_us });
            });
            while running.try_join_next().is_some() {}
        }
        while running.join_next().await.is_some() {}
        self.is_finished.store(true, Ordering::Relaxed);
    }

    /// Makes pings one after the other, alternating between an entry node and a direct connection to a target.
    ///
    /// Returns when the calls of `others` have ended, with the latencies through the entry node and of the direct
    /// connection, each from sending to the end of the answer.
    pub async fn ping(
        &self,
        service: &str,
        targets: &[SocketAddr],
        pause: StdDuration,
        seed: u64,
        others: &Self,
    ) -> (LatencyHistogram, LatencyHistogram) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let (mut via_entry, mut direct) = (LatencyHistogram::new(), LatencyHistogram::new());
        while !others.is_finished.load(Ordering::Relaxed) {
            sleep(pause).await;
            let Some(entry) = self.entries.choose(&mut rng) else { continue };
            let target = targets[rng.random_range(0..targets.len())];
            for (address, latency) in [(entry, &mut via_entry), (target, &mut direct)] {
                let started = StdInstant::now();
                let request = CallRequest::new(uri(address, service), CallKind::Ping, "ping");
                let outcome = self.call(&request).await;
                if outcome == ObservedOutcome::Answered {
                    latency.add_us(started.elapsed().as_micros() as u64);
                }
            }
        }
        (via_entry, direct)
    }

    /// Returns the calls that have ended so far.
    pub fn finished(&self) -> MutexGuard<'_, Vec<FinishedCall>> {
        self.finished.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes one call and verifies its answer.
    pub async fn call(&self, call: &CallRequest) -> ObservedOutcome {
        self.call_with_reason(call).await.0
    }

    async fn call_with_reason(&self, call: &CallRequest) -> (ObservedOutcome, String) {
        let is_write = call.kind == CallKind::Write;
        let body = if is_write { Bytes::from(format!("body of {}", call.key)) } else { Bytes::new() };
        let mut request = Request::new(Full::new(body.clone()));
        *request.method_mut() = if is_write { Method::POST } else { Method::GET };
        *request.uri_mut() = call.uri.clone();
        let headers = request.headers_mut();
        headers.insert(HOST, HeaderValue::from_static(CALLER_HOST));
        headers.insert(KEY_HEADER, HeaderValue::from_str(&call.key).expect("keys are valid header values"));
        if call.kind == CallKind::Ping {
            headers.insert(NO_WORK_HEADER, HeaderValue::from_static("1"));
        }
        if let Some(bytes) = call.answer_bytes {
            headers.insert(ANSWER_BYTES_HEADER, HeaderValue::from(bytes));
        }
        if !call.chain.is_empty() {
            headers.insert(
                CHAIN_HEADER,
                HeaderValue::from_str(&call.chain).expect("service names are valid header values"),
            );
        }
        let result =
            timeout(CALL_TIMEOUT, self.send_and_verify(request, &call.key, &body, call.answer_bytes)).await;
        result.unwrap_or((ObservedOutcome::Lost, "no answer in time".to_owned()))
    }

    async fn send_and_verify(
        &self,
        request: Request<Full<Bytes>>,
        key: &str,
        body: &Bytes,
        bytes: Option<u64>,
    ) -> (ObservedOutcome, String) {
        let response = match self.client.request(request).await {
            Ok(response) => response,
            Err(error) => return (ObservedOutcome::Lost, error.to_string()),
        };
        let (parts, answer) = response.into_parts();
        let reason =
            parts.headers.get(REASON).and_then(|reason| reason.to_str().ok()).unwrap_or_default().to_owned();
        let outcome_header = parts.headers.get(OUTCOME).map(HeaderValue::as_bytes);
        match outcome_header {
            Some(b"not-run") => return (ObservedOutcome::NotRun, reason),
            Some(b"unknown") => return (ObservedOutcome::Unknown, reason),
            _ => {}
        }
        if parts.status != StatusCode::OK {
            return (ObservedOutcome::Failed, parts.status.to_string());
        }
        let has_own_key =
            parts.headers.get(KEY_HEADER).is_some_and(|value| value.as_bytes() == key.as_bytes());
        // A body that ends early is an explicit error, not a wrong answer.
        let Ok(answer) = answer.collect().await else {
            return (ObservedOutcome::Lost, "broke off".to_owned());
        };
        let answer = answer.to_bytes();
        let is_complete = match bytes {
            Some(bytes) => {
                let is_pattern = |(at, byte): (usize, &u8)| *byte == pattern_byte(at as u64);
                answer.len() as u64 == bytes && answer.iter().enumerate().all(is_pattern)
            }
            None => answer == *body,
        };
        if has_own_key && is_complete {
            (ObservedOutcome::Answered, reason)
        } else {
            (ObservedOutcome::Wrong, reason)
        }
    }
}

async fn wait_until(at: StdInstant) {
    let left = at.saturating_duration_since(StdInstant::now());
    if left > SPIN_WINDOW {
        let until = Instant::now() + left - SPIN_WINDOW;
        tokio::time::sleep_until(until).await;
    }
    while StdInstant::now() < at {
        yield_now().await;
    }
}
