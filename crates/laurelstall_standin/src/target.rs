//! A stand-in target with concurrency slots, random service times, injectable faults and a record of executed calls.

use crate::{
    call_uri::{CALLER_HOST, uri},
    notice_record::NoticeRecord,
    run_records::RunRecords,
};
use bytes::Bytes;
use http::{HeaderName, HeaderValue, Request, Response, StatusCode, header::HOST};
use http_body::{Body, Frame};
use http_body_util::{BodyExt, Empty, Full, combinators::UnsyncBoxBody};
use hyper::{body::Incoming, service::service_fn};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioIo},
    server::{conn::auto::Builder, graceful::GracefulShutdown},
};
use laurelstall_balance::baseline::TrueLoads;
use laurelstall_config::team::SHED_HEADER;
use laurelstall_node::headers::{BUDGET, DEPTH, LEAVING, RATE_LIMIT};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use std::{
    collections::HashMap,
    convert::Infallible,
    error::Error,
    net::{SocketAddr, TcpListener as StdListener},
    pin::Pin,
    sync::{
        Arc, Mutex, OnceLock, PoisonError, RwLock,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    task::{Context, Poll},
};
use tokio::{
    net::TcpListener,
    sync::{Semaphore, watch},
    time::{Duration, Instant, sleep, sleep_until},
};

/// Header that identifies a call to callers, targets and run records.
pub const KEY_HEADER: HeaderName = HeaderName::from_static("standin-key");
/// Header that requests an answer body of this many bytes.
pub const ANSWER_BYTES_HEADER: HeaderName = HeaderName::from_static("standin-answer-bytes");
/// Header that makes the target answer without work, to measure the network path.
pub const NO_WORK_HEADER: HeaderName = HeaderName::from_static("standin-no-work");
/// Header with the services to call next, separated by commas.
pub const CHAIN_HEADER: HeaderName = HeaderName::from_static("standin-chain");
/// Chunk size of generated answer bodies.
const ANSWER_CHUNK_BYTES: usize = 16 * 1024;
/// Mean overshoot of the timer in µs, subtracted from each service time.
const TIMER_OVERSHOOT_US: f64 = 900.0;

type BoxedBody = UnsyncBoxBody<Bytes, Box<dyn Error + Send + Sync>>;

/// Behaviour of a stand-in target, which can change at any time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Behaviour {
    /// Speed relative to normal: 0.1 is ten times slower, 0 is paused.
    pub speed: f64,
    /// Whether the target answers each call immediately with an error.
    pub is_failing_fast: bool,
    /// Whether the target sheds each call and marks the response as shed.
    pub is_shedding: bool,
    /// Whether the target aborts generated answer bodies after half of their length.
    pub is_cutting_answers: bool,
    /// Calls per second that the target states it takes; `None` if it states no limit.
    pub rate_limit_per_s: Option<f64>,
    /// Whether the target states that it is leaving.
    pub is_leaving: bool,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            speed: 1.0,
            is_failing_fast: false,
            is_shedding: false,
            is_cutting_answers: false,
            rate_limit_per_s: None,
            is_leaving: false,
        }
    }
}

/// Parameters of a stand-in target.
#[derive(Debug, Clone)]
pub struct TargetPlan {
    /// Name of the target.
    pub name: String,
    /// Number of requests that run concurrently; further requests wait in the target's queue.
    pub slots: u32,
    /// Mean service time in ms, exponentially distributed with a floor of a quarter.
    pub service_mean_ms: f64,
    /// Delay in ms before an accepted connection is served.
    pub accept_delay_ms: u64,
    /// Seed of the random service times.
    pub seed: u64,
}

/// A running stand-in target.
#[derive(Debug)]
pub struct StandinTarget {
    plan: TargetPlan,
    records: Arc<RunRecords>,
    notices: NoticeRecord,
    behaviour: watch::Sender<Behaviour>,
    slots: Semaphore,
    in_flight: AtomicU32,
    /// Number of calls that a balancer with access to actual loads has sent here and that have not arrived yet.
    pending_arrivals: AtomicU32,
    served: AtomicU64,
    requests_received: AtomicU64,
    calls_made: AtomicU64,
    entry: OnceLock<SocketAddr>,
    client: Client<HttpConnector, Empty<Bytes>>,
    rng: Mutex<SmallRng>,
    stopping: watch::Sender<bool>,
}

impl StandinTarget {
    /// Starts a target on the current runtime.
    ///
    /// # Panics
    ///
    /// Panics if the listener cannot be registered with the runtime.
    pub fn start(plan: TargetPlan, records: Arc<RunRecords>, listener: StdListener) -> Arc<Self> {
        let (behaviour, _) = watch::channel(Behaviour::default());
        let (stopping, _) = watch::channel(false);
        let this = Arc::new(Self {
            slots: Semaphore::new(plan.slots as usize),
            rng: Mutex::new(SmallRng::seed_from_u64(plan.seed)),
            plan,
            records,
            notices: NoticeRecord::default(),
            behaviour,
            in_flight: AtomicU32::new(0),
            pending_arrivals: AtomicU32::new(0),
            served: AtomicU64::new(0),
            requests_received: AtomicU64::new(0),
            calls_made: AtomicU64::new(0),
            entry: OnceLock::new(),
            client: Client::builder(TokioExecutor::new()).build(HttpConnector::new()),
            stopping,
        });
        listener.set_nonblocking(true).expect("the listener can be registered with the runtime");
        let listener =
            TcpListener::from_std(listener).expect("the listener can be registered with the runtime");
        tokio::spawn(this.clone().serve(listener));
        this
    }

    /// Returns the name of the target.
    pub fn name(&self) -> &str {
        &self.plan.name
    }

    /// Changes the behaviour of the target with `change`.
    pub fn update_behaviour(&self, change: impl FnOnce(&mut Behaviour)) {
        self.behaviour.send_modify(change);
    }

    /// Stops the target gracefully: connections close after the pending answers.
    pub fn stop(&self) {
        self.stopping.send_replace(true);
    }

    /// Sets the address of the entry node on the same host, which the target uses for nested calls.
    pub fn set_entry_address(&self, entry: SocketAddr) {
        // Fails after a restart of the node, which keeps its address.
        let _ = self.entry.set(entry);
    }

    /// Returns the number of requests that reached the target.
    pub fn requests_received(&self) -> u64 {
        self.requests_received.load(Ordering::Relaxed)
    }

    /// Returns the number of nested calls that the target made.
    pub fn calls_made(&self) -> u64 {
        self.calls_made.load(Ordering::Relaxed)
    }

    /// Returns the target's statements and the calls that reached it.
    pub fn notices(&self) -> &NoticeRecord {
        &self.notices
    }

    /// Returns the number of calls that the target has served.
    pub fn served(&self) -> u64 {
        self.served.load(Ordering::Relaxed)
    }

    /// Returns the expected duration in µs of a call that arrives now.
    pub fn expected_us(&self) -> f64 {
        let behaviour = *self.behaviour.borrow();
        let speed = behaviour.speed.max(0.001);
        let in_flight =
            self.in_flight.load(Ordering::Relaxed) + self.pending_arrivals.load(Ordering::Relaxed);
        let in_flight = f64::from(in_flight);
        let slots = f64::from(self.plan.slots);
        let penalty = if behaviour.is_failing_fast || behaviour.is_shedding { 1e9 } else { 0.0 };
        let queue_rounds = (in_flight + 1.0 - slots).max(0.0) / slots;
        let contention = in_flight / slots * 0.1;
        self.plan.service_mean_ms * 1_000.0 / speed * (1.0 + queue_rounds + contention) + penalty
    }

    async fn serve(self: Arc<Self>, listener: TcpListener) {
        let graceful = GracefulShutdown::new();
        let mut stopping = self.stopping.subscribe();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = stopping.wait_for(|is_stopping| *is_stopping) => break,
            };
            let Ok((stream, _)) = accepted else { continue };
            let _ = stream.set_nodelay(true);
            let this = self.clone();
            let service = service_fn(move |request| {
                let this = this.clone();
                async move { Ok::<_, Infallible>(this.answer(request).await) }
            });
            let builder = Builder::new(TokioExecutor::new());
            let connection = builder.serve_connection(TokioIo::new(stream), service).into_owned();
            let connection = graceful.watch(connection);
            let accept_delay_ms = self.plan.accept_delay_ms;
            tokio::spawn(async move {
                if accept_delay_ms > 0 {
                    sleep(Duration::from_millis(accept_delay_ms)).await;
                }
                // Connection errors are reported by the client.
                let _ = connection.await;
            });
        }
        drop(listener);
        graceful.shutdown().await;
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<BoxedBody> {
        if request.uri().path().starts_with("/standin/") {
            return self.handle_control(&request);
        }
        self.notices.note_arrival();
        let mut response = self.answer_call(request).await;
        let behaviour = *self.behaviour.borrow();
        self.notices.note_answer(behaviour.rate_limit_per_s, behaviour.is_leaving);
        let headers = response.headers_mut();
        if let Some(per_s) = behaviour.rate_limit_per_s {
            let value = HeaderValue::from_str(&per_s.to_string()).expect("a number is a valid header value");
            headers.insert(RATE_LIMIT, value);
        }
        if behaviour.is_leaving {
            headers.insert(LEAVING, HeaderValue::from_static("1"));
        }
        response
    }

    async fn answer_call(&self, request: Request<Incoming>) -> Response<BoxedBody> {
        self.requests_received.fetch_add(1, Ordering::Relaxed);
        let remove_arrival = |pending_arrivals: u32| pending_arrivals.checked_sub(1);
        // Fails if the balancer does not count pending calls.
        let _ = self.pending_arrivals.fetch_update(Ordering::Relaxed, Ordering::Relaxed, remove_arrival);
        let behaviour = *self.behaviour.borrow();
        if behaviour.is_shedding {
            let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, "shed");
            response.headers_mut().insert(SHED_HEADER, HeaderValue::from_static("1"));
            return response;
        }
        if behaviour.is_failing_fast {
            self.record_run(&request);
            return text_response(StatusCode::INTERNAL_SERVER_ERROR, "failed");
        }
        let _in_flight = InFlightGuard::new(&self.in_flight);
        if !request.headers().contains_key(NO_WORK_HEADER) {
            let _slot = self.slots.acquire().await;
            self.record_run(&request);
            self.work().await;
            if !self.call_next_service(&request).await {
                return text_response(StatusCode::BAD_GATEWAY, "a call further down failed");
            }
        } else {
            self.record_run(&request);
        }
        self.served.fetch_add(1, Ordering::Relaxed);
        let is_cutting = self.behaviour.borrow().is_cutting_answers;
        respond(request, is_cutting).await
    }

    /// Calls the next service of the chain; returns false if that call fails.
    async fn call_next_service(&self, request: &Request<Incoming>) -> bool {
        let chain =
            request.headers().get(CHAIN_HEADER).and_then(|chain| chain.to_str().ok()).unwrap_or_default();
        let (next, rest) = chain.split_once(',').unwrap_or((chain, ""));
        let Some(entry) = self.entry.get().filter(|_| !next.is_empty()) else { return true };
        let mut call = Request::new(Empty::new());
        *call.uri_mut() = uri(*entry, next);
        let headers = call.headers_mut();
        headers.insert(HOST, HeaderValue::from_static(CALLER_HOST));
        for name in [KEY_HEADER, BUDGET, DEPTH] {
            if let Some(value) = request.headers().get(&name) {
                headers.insert(name, value.clone());
            }
        }
        if !rest.is_empty() {
            headers.insert(
                CHAIN_HEADER,
                HeaderValue::from_str(rest).expect("service names are valid header values"),
            );
        }
        self.calls_made.fetch_add(1, Ordering::Relaxed);
        match self.client.request(call).await {
            Ok(response) if response.status() == StatusCode::OK => {
                response.into_body().collect().await.is_ok()
            }
            _ => false,
        }
    }

    fn record_run(&self, request: &Request<Incoming>) {
        let key = request.headers().get(KEY_HEADER).and_then(|key| key.to_str().ok());
        if let Some(key) = key {
            self.records.record_run(key);
        }
    }

    /// Waits for one random service time, adjusted to changes of the speed.
    async fn work(&self) {
        let mut remaining_us = self.sample_service_time_us();
        let mut changes = self.behaviour.subscribe();
        while remaining_us > 0.0 {
            let speed = changes.borrow_and_update().speed;
            let started = Instant::now();
            if speed <= 0.0 {
                // Cannot fail: the target owns the sender.
                let _ = changes.changed().await;
                continue;
            }
            let until = started + Duration::from_micros((remaining_us / speed) as u64);
            tokio::select! {
                () = sleep_until(until) => return,
                _ = changes.changed() => remaining_us -= started.elapsed().as_micros() as f64 * speed,
            }
        }
    }

    fn sample_service_time_us(&self) -> f64 {
        let mean_us = self.plan.service_mean_ms * 1_000.0;
        let uniform: f64 = self.rng.lock().unwrap_or_else(PoisonError::into_inner).random();
        let sample = 0.25 * mean_us - 0.75 * mean_us * (1.0 - uniform).ln();
        (sample - TIMER_OVERSHOOT_US).max(0.0)
    }

    /// Handles `POST /standin/set?speed=0.1&failing=1&shedding=0&cutting=0&rate_limit=5.5&leaving=0`, which changes the
    /// behaviour of a target that runs as its own process. An empty `rate_limit` ends the limit.
    fn handle_control(&self, request: &Request<Incoming>) -> Response<BoxedBody> {
        let query = request.uri().query().unwrap_or_default();
        self.update_behaviour(|behaviour| {
            for (name, value) in query.split('&').filter_map(|pair| pair.split_once('=')) {
                match name {
                    "speed" => behaviour.speed = value.parse().unwrap_or(behaviour.speed),
                    "failing" => behaviour.is_failing_fast = value == "1",
                    "shedding" => behaviour.is_shedding = value == "1",
                    "cutting" => behaviour.is_cutting_answers = value == "1",
                    "rate_limit" => behaviour.rate_limit_per_s = value.parse().ok(),
                    "leaving" => behaviour.is_leaving = value == "1",
                    _ => {}
                }
            }
        });
        let now = *self.behaviour.borrow();
        text_response(
            StatusCode::OK,
            &format!("{now:?} served={} recorded={}", self.served(), self.records.len()),
        )
    }
}

struct InFlightGuard<'a>(&'a AtomicU32);

impl<'a> InFlightGuard<'a> {
    fn new(count: &'a AtomicU32) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Echoes the request body, or sends a generated body of the requested length.
async fn respond(request: Request<Incoming>, is_cutting: bool) -> Response<BoxedBody> {
    let key = request.headers().get(KEY_HEADER).cloned();
    let bytes =
        request.headers().get(ANSWER_BYTES_HEADER).and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
    let mut response = match bytes {
        Some(bytes) => {
            let end = if is_cutting { bytes / 2 } else { bytes };
            let body = PatternBody { sent: 0, end, declared: bytes };
            let mut response = Response::new(body.boxed_unsync());
            response.headers_mut().insert(http::header::CONTENT_LENGTH, HeaderValue::from(bytes));
            response
        }
        None => Response::new(request.into_body().map_err(Into::into).boxed_unsync()),
    };
    if let Some(key) = key {
        response.headers_mut().insert(KEY_HEADER, key);
    }
    response
}

/// Returns the byte at position `at` of a generated answer body.
pub fn pattern_byte(at: u64) -> u8 {
    (at % 251) as u8
}

struct PatternBody {
    sent: u64,
    end: u64,
    declared: u64,
}

impl Body for PatternBody {
    type Data = Bytes;
    type Error = Box<dyn Error + Send + Sync>;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        if self.sent >= self.end {
            let is_complete = self.end == self.declared;
            return Poll::Ready(if is_complete { None } else { Some(Err("cut short".into())) });
        }
        let length = (self.end - self.sent).min(ANSWER_CHUNK_BYTES as u64);
        let start = self.sent;
        let chunk = (start..start + length).map(pattern_byte).collect::<Vec<_>>();
        self.sent += length;
        Poll::Ready(Some(Ok(Frame::data(chunk.into()))))
    }
}

fn text_response(status: StatusCode, message: &str) -> Response<BoxedBody> {
    let body = Full::new(Bytes::from(message.to_owned())).map_err(|never| match never {});
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = status;
    response
}

/// The targets of one process, with access to their actual loads.
#[derive(Debug, Default)]
pub struct Targets {
    by_name: RwLock<HashMap<String, Arc<StandinTarget>>>,
}

impl Targets {
    /// Adds a target under its name.
    pub fn add(&self, target: Arc<StandinTarget>) {
        let mut by_name = self.by_name.write().unwrap_or_else(PoisonError::into_inner);
        by_name.insert(target.name().to_owned(), target);
    }

    /// Returns the target called `name`.
    pub fn get(&self, name: &str) -> Option<Arc<StandinTarget>> {
        self.by_name.read().unwrap_or_else(PoisonError::into_inner).get(name).cloned()
    }

    /// Returns all targets in no particular order.
    pub fn all(&self) -> Vec<Arc<StandinTarget>> {
        self.by_name.read().unwrap_or_else(PoisonError::into_inner).values().cloned().collect()
    }
}

impl TrueLoads for Targets {
    fn expected_us(&self, target: &str) -> f64 {
        self.get(target).map_or(f64::MAX, |target| target.expected_us())
    }

    fn note_chosen(&self, target: &str) {
        if let Some(target) = self.get(target) {
            target.pending_arrivals.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Binds a listener to a free port of the loopback interface.
///
/// # Panics
///
/// Panics if no port is free.
pub fn listen() -> (StdListener, SocketAddr) {
    let listener = StdListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let address = listener.local_addr().expect("a bound listener has an address");
    (listener, address)
}
