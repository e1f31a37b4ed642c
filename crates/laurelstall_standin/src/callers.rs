//! Callers: calls at planned instants, each answer checked, each outcome held against the
//! targets' records.

use crate::{
    call_uri::{CALLER_HOST, uri},
    latency::Latency,
    records::Records,
    target::{ANSWER_BYTES, CHAIN, KEY, NO_WORK, pattern_byte},
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

/// Longest wait of a caller.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);
/// How long before a planned instant the caller stops sleeping and polls: timers are too coarse.
const SPIN: Duration = Duration::from_millis(2);

/// The kinds of call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// May be repeated.
    Read,
    /// May not be repeated.
    Write,
    /// No work at the target, to measure the way.
    Ping,
}

/// Calls to make.
#[derive(Debug, Clone)]
pub struct CallPlan {
    /// Services called in turn at random.
    pub services: Vec<String>,
    /// Calls a second.
    pub rate_per_s: f64,
    /// Start of this plan on the clock that planned instants count from.
    pub start: StdDuration,
    /// For how long.
    pub length: StdDuration,
    /// Share of calls that may not be repeated.
    pub write_share: f64,
    /// Seed of instants and choices.
    pub seed: u64,
    /// Services that the first one calls on, one after the other.
    pub chain: Vec<String>,
}

/// What a caller saw.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Seen {
    /// The complete answer to its own request.
    Answered,
    /// A target's error.
    Failed,
    /// *Not run*.
    NotRun,
    /// *Unknown*.
    Unknown,
    /// No answer: the connection broke, or nothing came in time.
    Lost,
    /// Another call's answer, or part of one.
    Wrong,
}

/// One finished call.
#[derive(Debug, Clone)]
pub struct Finished {
    /// Its key.
    pub key: String,
    /// Its kind.
    pub kind: CallKind,
    /// What its caller saw.
    pub seen: Seen,
    /// The reason its caller was told, if any.
    pub reason: String,
    /// Its planned instant, in µs from the start.
    pub planned_us: u64,
    /// From its planned instant to its end, in µs.
    pub latency_us: u64,
}

/// One call to make.
#[derive(Debug, Clone)]
pub struct CallRequest {
    /// Where to.
    pub uri: Uri,
    /// Its kind.
    pub kind: CallKind,
    /// Its key.
    pub key: String,
    /// Length of the answer to ask for.
    pub answer_bytes: Option<u64>,
    /// Services that the target calls on, separated by commas.
    pub chain: String,
}

impl CallRequest {
    /// A call without anything special.
    pub fn new(uri: Uri, kind: CallKind, key: &str) -> Self {
        Self { uri, kind, key: key.to_owned(), answer_bytes: None, chain: String::new() }
    }
}

/// Counts over finished calls.
#[derive(Debug, Clone, Default, serde::Serialize)]
pub struct Totals {
    /// Calls made.
    pub calls: u64,
    /// Answered in full.
    pub answered: u64,
    /// Answered with a target's error.
    pub failed: u64,
    /// Told *not run*.
    pub not_run: u64,
    /// Told *unknown*.
    pub unknown: u64,
    /// Without an answer.
    pub lost: u64,
    /// With a wrong or partial answer.
    pub wrong: u64,
    /// Told *not run* though a target ran it.
    pub not_run_but_ran: u64,
    /// Not repeatable, yet run more than once.
    pub ran_twice: u64,
}

impl Totals {
    /// Counts `calls` and holds them against `records`.
    pub fn count(calls: &[Finished], records: &Records) -> Self {
        let mut totals = Self { calls: calls.len() as u64, ..Self::default() };
        for call in calls {
            match call.seen {
                Seen::Answered => totals.answered += 1,
                Seen::Failed => totals.failed += 1,
                Seen::NotRun => totals.not_run += 1,
                Seen::Unknown => totals.unknown += 1,
                Seen::Lost => totals.lost += 1,
                Seen::Wrong => totals.wrong += 1,
            }
            let runs = records.runs(&call.key);
            totals.not_run_but_ran += u64::from(call.seen == Seen::NotRun && runs > 0);
            totals.ran_twice += u64::from(call.kind == CallKind::Write && runs > 1);
        }
        totals
    }

    /// Whether a promise was broken.
    pub fn is_broken(&self) -> bool {
        self.wrong + self.not_run_but_ran + self.ran_twice > 0
    }
}

/// Latencies of calls answered in full.
pub fn latency_of<'a>(calls: impl IntoIterator<Item = &'a Finished>) -> Latency {
    let mut latency = Latency::new();
    for call in calls.into_iter().filter(|call| call.seen == Seen::Answered) {
        latency.add_us(call.latency_us);
    }
    latency
}

/// The entries that callers use.
#[derive(Debug, Default)]
pub struct Entries {
    open: RwLock<Vec<SocketAddr>>,
}

impl Entries {
    /// These addresses.
    pub fn new(open: Vec<SocketAddr>) -> Arc<Self> {
        Arc::new(Self { open: RwLock::new(open) })
    }

    /// Callers use this one no more.
    pub fn close(&self, address: SocketAddr) {
        self.open.write().unwrap_or_else(PoisonError::into_inner).retain(|other| *other != address);
    }

    /// Callers use this one again.
    pub fn open(&self, address: SocketAddr) {
        self.open.write().unwrap_or_else(PoisonError::into_inner).push(address);
    }

    fn pick(&self, rng: &mut SmallRng) -> Option<SocketAddr> {
        let open = self.open.read().unwrap_or_else(PoisonError::into_inner);
        (!open.is_empty()).then(|| open[rng.random_range(0..open.len())])
    }
}

/// A population of callers.
#[derive(Debug)]
pub struct Callers {
    client: Client<HttpConnector, Full<Bytes>>,
    entries: Arc<Entries>,
    finished: Mutex<Vec<Finished>>,
    is_over: AtomicBool,
}

impl Callers {
    /// Callers that use `entries`.
    pub fn new(entries: Arc<Entries>) -> Arc<Self> {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new()).pool_max_idle_per_host(2_000).build(connector);
        Arc::new(Self { client, entries, finished: Mutex::default(), is_over: AtomicBool::new(false) })
    }

    /// Makes calls at planned instants, whether or not earlier ones have ended.
    ///
    /// Each latency counts from the planned instant, so a late caller hides nothing.
    pub async fn run(self: &Arc<Self>, plan: &CallPlan) {
        let mut rng = SmallRng::seed_from_u64(plan.seed);
        let start = StdInstant::now();
        let mut at = StdDuration::ZERO;
        let mut number = 0;
        let mut running = JoinSet::new();
        let chain = plan.chain.join(",");
        loop {
            let gap_s = -(1.0 - rng.random::<f64>()).ln() / plan.rate_per_s;
            at += StdDuration::from_secs_f64(gap_s);
            if at >= plan.length {
                break;
            }
            wait_until(start + at).await;
            let Some(entry) = self.entries.pick(&mut rng) else { continue };
            let service = &plan.services[rng.random_range(0..plan.services.len())];
            let kind = if rng.random_bool(plan.write_share) { CallKind::Write } else { CallKind::Read };
            let key = format!("{}-{number}", plan.seed);
            number += 1;
            let request =
                CallRequest { chain: chain.clone(), ..CallRequest::new(uri(entry, service), kind, &key) };
            let this = self.clone();
            let plan_start = plan.start;
            running.spawn(async move {
                let planned = start + at;
                let (seen, reason) = this.call_with_reason(&request).await;
                let latency_us = planned.elapsed().as_micros() as u64;
                let planned_us = (plan_start + at).as_micros() as u64;
                this.finished().push(Finished { key, kind, seen, reason, planned_us, latency_us });
            });
            while running.try_join_next().is_some() {}
        }
        while running.join_next().await.is_some() {}
        self.is_over.store(true, Ordering::Relaxed);
    }

    /// Makes pings one after the other, in turn through the system and straight to a target.
    ///
    /// Ends when the calls of `others` do. Gives the latencies of both, from sending to the end of
    /// the answer.
    pub async fn ping(
        &self,
        service: &str,
        targets: &[SocketAddr],
        pause: StdDuration,
        seed: u64,
        others: &Self,
    ) -> (Latency, Latency) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let (mut through, mut direct) = (Latency::new(), Latency::new());
        while !others.is_over.load(Ordering::Relaxed) {
            sleep(pause).await;
            let Some(entry) = self.entries.pick(&mut rng) else { continue };
            let target = targets[rng.random_range(0..targets.len())];
            for (address, latency) in [(entry, &mut through), (target, &mut direct)] {
                let started = StdInstant::now();
                let request = CallRequest::new(uri(address, service), CallKind::Ping, "ping");
                let seen = self.call(&request).await;
                if seen == Seen::Answered {
                    latency.add_us(started.elapsed().as_micros() as u64);
                }
            }
        }
        (through, direct)
    }

    /// What ended so far.
    pub fn finished(&self) -> MutexGuard<'_, Vec<Finished>> {
        self.finished.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes one call and checks its answer.
    pub async fn call(&self, call: &CallRequest) -> Seen {
        self.call_with_reason(call).await.0
    }

    async fn call_with_reason(&self, call: &CallRequest) -> (Seen, String) {
        let is_write = call.kind == CallKind::Write;
        let body = if is_write { Bytes::from(format!("body of {}", call.key)) } else { Bytes::new() };
        let mut request = Request::new(Full::new(body.clone()));
        *request.method_mut() = if is_write { Method::POST } else { Method::GET };
        *request.uri_mut() = call.uri.clone();
        let headers = request.headers_mut();
        headers.insert(HOST, HeaderValue::from_static(CALLER_HOST));
        headers.insert(KEY, HeaderValue::from_str(&call.key).expect("keys are plain"));
        if call.kind == CallKind::Ping {
            headers.insert(NO_WORK, HeaderValue::from_static("1"));
        }
        if let Some(bytes) = call.answer_bytes {
            headers.insert(ANSWER_BYTES, HeaderValue::from(bytes));
        }
        if !call.chain.is_empty() {
            headers.insert(CHAIN, HeaderValue::from_str(&call.chain).expect("names are plain"));
        }
        let called =
            timeout(CALL_TIMEOUT, self.read_answer(request, &call.key, &body, call.answer_bytes)).await;
        called.unwrap_or((Seen::Lost, "no answer in time".to_owned()))
    }

    async fn read_answer(
        &self,
        request: Request<Full<Bytes>>,
        key: &str,
        body: &Bytes,
        bytes: Option<u64>,
    ) -> (Seen, String) {
        let response = match self.client.request(request).await {
            Ok(response) => response,
            Err(error) => return (Seen::Lost, error.to_string()),
        };
        let (parts, answer) = response.into_parts();
        let reason =
            parts.headers.get(REASON).and_then(|reason| reason.to_str().ok()).unwrap_or_default().to_owned();
        let outcome = parts.headers.get(OUTCOME).map(HeaderValue::as_bytes);
        match outcome {
            Some(b"not-run") => return (Seen::NotRun, reason),
            Some(b"unknown") => return (Seen::Unknown, reason),
            _ => {}
        }
        if parts.status != StatusCode::OK {
            return (Seen::Failed, parts.status.to_string());
        }
        let is_own = parts.headers.get(KEY).is_some_and(|own| own.as_bytes() == key.as_bytes());
        // A body that breaks off is a clear error, not a wrong answer.
        let Ok(answer) = answer.collect().await else { return (Seen::Lost, "broke off".to_owned()) };
        let answer = answer.to_bytes();
        let is_whole = match bytes {
            Some(bytes) => {
                let is_pattern = |(at, byte): (usize, &u8)| *byte == pattern_byte(at as u64);
                answer.len() as u64 == bytes && answer.iter().enumerate().all(is_pattern)
            }
            None => answer == *body,
        };
        if is_own && is_whole { (Seen::Answered, reason) } else { (Seen::Wrong, reason) }
    }
}

async fn wait_until(at: StdInstant) {
    let left = at.saturating_duration_since(StdInstant::now());
    if left > SPIN {
        let until = Instant::now() + left - SPIN;
        tokio::time::sleep_until(until).await;
    }
    while StdInstant::now() < at {
        yield_now().await;
    }
}
