//! A stand-in for a target: slots, service times, faults, and a record of what it ran.

use crate::{
    call_uri::{CALLER_HOST, uri},
    records::Records,
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
use laurelstall_node::headers::{BUDGET, DEPTH};
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

/// Header by which a call is known to callers, targets and their records.
pub const KEY: HeaderName = HeaderName::from_static("standin-key");
/// Header that asks for an answer of so many bytes.
pub const ANSWER_BYTES: HeaderName = HeaderName::from_static("standin-answer-bytes");
/// Header that asks for no work at all, to measure the way.
pub const NO_WORK: HeaderName = HeaderName::from_static("standin-no-work");
/// Header with the services to call on, separated by commas.
pub const CHAIN: HeaderName = HeaderName::from_static("standin-chain");
/// Body of an answer to a call without a request body.
const ANSWER_CHUNK_BYTES: usize = 16 * 1024;
/// Mean overshoot of the timer in µs, taken off each wait.
const TIMER_OVERSHOOT_US: f64 = 900.0;

type AnswerBody = UnsyncBoxBody<Bytes, Box<dyn Error + Send + Sync>>;

/// How a stand-in target behaves; each can change at any instant.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Behaviour {
    /// Speed: 1 is normal, 0.1 ten times slower, 0 paused.
    pub speed: f64,
    /// Whether it answers each call at once with an error.
    pub is_failing_fast: bool,
    /// Whether it sheds each call, marked as such.
    pub is_shedding: bool,
    /// Whether answers break off after half of their body.
    pub is_cutting_answers: bool,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self { speed: 1.0, is_failing_fast: false, is_shedding: false, is_cutting_answers: false }
    }
}

/// What a stand-in target is made of.
#[derive(Debug, Clone)]
pub struct TargetPlan {
    /// Its name.
    pub name: String,
    /// Requests it runs at once; more wait in its own queue.
    pub slots: u32,
    /// Mean service time in ms, exponentially distributed with a floor of a quarter.
    pub service_mean_ms: f64,
    /// Time to open a connection in ms.
    pub open_ms: u64,
    /// Seed of its service times.
    pub seed: u64,
}

/// A running stand-in target.
#[derive(Debug)]
pub struct StandinTarget {
    plan: TargetPlan,
    records: Arc<Records>,
    behaviour: watch::Sender<Behaviour>,
    slots: Semaphore,
    in_flight: AtomicU32,
    /// Calls that were sent here by somebody who sees true loads, and did not arrive yet.
    on_its_way: AtomicU32,
    served: AtomicU64,
    seen: AtomicU64,
    made: AtomicU64,
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
    /// When the listener cannot be used.
    pub fn start(plan: TargetPlan, records: Arc<Records>, listener: StdListener) -> Arc<Self> {
        let (behaviour, _) = watch::channel(Behaviour::default());
        let (stopping, _) = watch::channel(false);
        let this = Arc::new(Self {
            slots: Semaphore::new(plan.slots as usize),
            rng: Mutex::new(SmallRng::seed_from_u64(plan.seed)),
            plan,
            records,
            behaviour,
            in_flight: AtomicU32::new(0),
            on_its_way: AtomicU32::new(0),
            served: AtomicU64::new(0),
            seen: AtomicU64::new(0),
            made: AtomicU64::new(0),
            entry: OnceLock::new(),
            client: Client::builder(TokioExecutor::new()).build(HttpConnector::new()),
            stopping,
        });
        listener.set_nonblocking(true).expect("the listener is usable");
        let listener = TcpListener::from_std(listener).expect("the listener is usable");
        tokio::spawn(this.clone().serve(listener));
        this
    }

    /// Its name.
    pub fn name(&self) -> &str {
        &self.plan.name
    }

    /// Changes how it behaves.
    pub fn change(&self, change: impl FnOnce(&mut Behaviour)) {
        self.behaviour.send_modify(change);
    }

    /// Stops it as its platform would: connections end after the answers they owe.
    pub fn stop(&self) {
        self.stopping.send_replace(true);
    }

    /// Tells it the entry beside it, for calls of its own.
    pub fn set_entry(&self, entry: SocketAddr) {
        // A node that is started again on the same addresses changes nothing.
        let _ = self.entry.set(entry);
    }

    /// Requests that reached it.
    pub fn seen(&self) -> u64 {
        self.seen.load(Ordering::Relaxed)
    }

    /// Calls it made on.
    pub fn made(&self) -> u64 {
        self.made.load(Ordering::Relaxed)
    }

    /// Calls it has served.
    pub fn served(&self) -> u64 {
        self.served.load(Ordering::Relaxed)
    }

    /// Expected time of a call that comes now, in µs.
    pub fn expected_us(&self) -> f64 {
        let behaviour = *self.behaviour.borrow();
        let speed = behaviour.speed.max(0.001);
        let in_flight = self.in_flight.load(Ordering::Relaxed) + self.on_its_way.load(Ordering::Relaxed);
        let in_flight = f64::from(in_flight);
        let slots = f64::from(self.plan.slots);
        let penalty = if behaviour.is_failing_fast || behaviour.is_shedding { 1e9 } else { 0.0 };
        let waves = (in_flight + 1.0 - slots).max(0.0) / slots;
        let spread = in_flight / slots * 0.1;
        self.plan.service_mean_ms * 1_000.0 / speed * (1.0 + waves + spread) + penalty
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
            let open_ms = self.plan.open_ms;
            tokio::spawn(async move {
                if open_ms > 0 {
                    sleep(Duration::from_millis(open_ms)).await;
                }
                // Callers that break off are the other side's business.
                let _ = connection.await;
            });
        }
        drop(listener);
        graceful.shutdown().await;
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<AnswerBody> {
        if request.uri().path().starts_with("/standin/") {
            return self.control(&request);
        }
        self.seen.fetch_add(1, Ordering::Relaxed);
        let arrive = |on_its_way: u32| on_its_way.checked_sub(1);
        // Fails when nobody counts calls on their way.
        let _ = self.on_its_way.fetch_update(Ordering::Relaxed, Ordering::Relaxed, arrive);
        let behaviour = *self.behaviour.borrow();
        if behaviour.is_shedding {
            let mut response = text(StatusCode::SERVICE_UNAVAILABLE, "shed");
            response.headers_mut().insert(SHED_HEADER, HeaderValue::from_static("1"));
            return response;
        }
        if behaviour.is_failing_fast {
            self.note_run(&request);
            return text(StatusCode::INTERNAL_SERVER_ERROR, "failed");
        }
        let _running = Running::new(&self.in_flight);
        if !request.headers().contains_key(NO_WORK) {
            let _slot = self.slots.acquire().await;
            self.note_run(&request);
            self.work().await;
            if !self.call_on(&request).await {
                return text(StatusCode::BAD_GATEWAY, "a call further down failed");
            }
        } else {
            self.note_run(&request);
        }
        self.served.fetch_add(1, Ordering::Relaxed);
        let is_cut = self.behaviour.borrow().is_cutting_answers;
        respond(request, is_cut).await
    }

    /// Calls the next service of a chain; false when that failed.
    async fn call_on(&self, request: &Request<Incoming>) -> bool {
        let chain = request.headers().get(CHAIN).and_then(|chain| chain.to_str().ok()).unwrap_or_default();
        let (next, rest) = chain.split_once(',').unwrap_or((chain, ""));
        let Some(entry) = self.entry.get().filter(|_| !next.is_empty()) else { return true };
        let mut call = Request::new(Empty::new());
        *call.uri_mut() = uri(*entry, next);
        let headers = call.headers_mut();
        headers.insert(HOST, HeaderValue::from_static(CALLER_HOST));
        for name in [KEY, BUDGET, DEPTH] {
            if let Some(value) = request.headers().get(&name) {
                headers.insert(name, value.clone());
            }
        }
        if !rest.is_empty() {
            headers.insert(CHAIN, HeaderValue::from_str(rest).expect("names are plain"));
        }
        self.made.fetch_add(1, Ordering::Relaxed);
        match self.client.request(call).await {
            Ok(response) if response.status() == StatusCode::OK => {
                response.into_body().collect().await.is_ok()
            }
            _ => false,
        }
    }

    fn note_run(&self, request: &Request<Incoming>) {
        let key = request.headers().get(KEY).and_then(|key| key.to_str().ok());
        if let Some(key) = key {
            self.records.note_run(key);
        }
    }

    /// Works off one service time at whatever speed there is at each instant.
    async fn work(&self) {
        let mut left_us = self.sample_us();
        let mut changes = self.behaviour.subscribe();
        while left_us > 0.0 {
            let speed = changes.borrow_and_update().speed;
            let started = Instant::now();
            if speed <= 0.0 {
                // The sender lives as long as this target does.
                let _ = changes.changed().await;
                continue;
            }
            let until = started + Duration::from_micros((left_us / speed) as u64);
            tokio::select! {
                () = sleep_until(until) => return,
                _ = changes.changed() => left_us -= started.elapsed().as_micros() as f64 * speed,
            }
        }
    }

    fn sample_us(&self) -> f64 {
        let mean_us = self.plan.service_mean_ms * 1_000.0;
        let uniform: f64 = self.rng.lock().unwrap_or_else(PoisonError::into_inner).random();
        let sample = 0.25 * mean_us - 0.75 * mean_us * (1.0 - uniform).ln();
        (sample - TIMER_OVERSHOOT_US).max(0.0)
    }

    /// `POST /standin/set?speed=0.1&failing=1&shedding=0&cutting=0`, for a target run by hand.
    fn control(&self, request: &Request<Incoming>) -> Response<AnswerBody> {
        let query = request.uri().query().unwrap_or_default();
        self.change(|behaviour| {
            for (name, value) in query.split('&').filter_map(|pair| pair.split_once('=')) {
                match name {
                    "speed" => behaviour.speed = value.parse().unwrap_or(behaviour.speed),
                    "failing" => behaviour.is_failing_fast = value == "1",
                    "shedding" => behaviour.is_shedding = value == "1",
                    "cutting" => behaviour.is_cutting_answers = value == "1",
                    _ => {}
                }
            }
        });
        let now = *self.behaviour.borrow();
        text(StatusCode::OK, &format!("{now:?} served={} recorded={}", self.served(), self.records.len()))
    }
}

struct Running<'a>(&'a AtomicU32);

impl<'a> Running<'a> {
    fn new(count: &'a AtomicU32) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Answers with the request's own body, or with as many bytes as it asks for.
async fn respond(request: Request<Incoming>, is_cut: bool) -> Response<AnswerBody> {
    let key = request.headers().get(KEY).cloned();
    let bytes =
        request.headers().get(ANSWER_BYTES).and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
    let mut response = match bytes {
        Some(bytes) => {
            let end = if is_cut { bytes / 2 } else { bytes };
            let body = PatternBody { sent: 0, end, declared: bytes };
            let mut response = Response::new(body.boxed_unsync());
            response.headers_mut().insert(http::header::CONTENT_LENGTH, HeaderValue::from(bytes));
            response
        }
        None => Response::new(request.into_body().map_err(Into::into).boxed_unsync()),
    };
    if let Some(key) = key {
        response.headers_mut().insert(KEY, key);
    }
    response
}

/// The byte at `at` of an answer of asked length.
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
            let is_whole = self.end == self.declared;
            return Poll::Ready(if is_whole { None } else { Some(Err("cut short".into())) });
        }
        let length = (self.end - self.sent).min(ANSWER_CHUNK_BYTES as u64);
        let start = self.sent;
        let chunk = (start..start + length).map(pattern_byte).collect::<Vec<_>>();
        self.sent += length;
        Poll::Ready(Some(Ok(Frame::data(chunk.into()))))
    }
}

fn text(status: StatusCode, message: &str) -> Response<AnswerBody> {
    let body = Full::new(Bytes::from(message.to_owned())).map_err(|never| match never {});
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = status;
    response
}

/// The targets of one process, with their true loads.
#[derive(Debug, Default)]
pub struct Targets {
    by_name: RwLock<HashMap<String, Arc<StandinTarget>>>,
}

impl Targets {
    /// Adds a target.
    pub fn add(&self, target: Arc<StandinTarget>) {
        let mut by_name = self.by_name.write().unwrap_or_else(PoisonError::into_inner);
        by_name.insert(target.name().to_owned(), target);
    }

    /// The target called `name`.
    pub fn get(&self, name: &str) -> Option<Arc<StandinTarget>> {
        self.by_name.read().unwrap_or_else(PoisonError::into_inner).get(name).cloned()
    }

    /// All targets.
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
            target.on_its_way.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Listens on a free port of loopback.
///
/// # Panics
///
/// When there is none.
pub fn listen() -> (StdListener, SocketAddr) {
    let listener = StdListener::bind("127.0.0.1:0").expect("a free port on loopback");
    let address = listener.local_addr().expect("a bound listener has an address");
    (listener, address)
}
