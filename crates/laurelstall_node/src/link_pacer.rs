//! Paces the bodies that leave this node over its link.

use crate::{
    counters::{Counters, count},
    metrics::{Latencies, record_us},
};
use laurelstall_guard::{
    clock::Clock,
    refusal::{Refusal, RefusalReason},
};
use laurelstall_link::{
    held_bytes::HeldBytes,
    link_admission::{ExpectedAnswer, LinkAdmission, LinkCall, LinkRefusal},
    link_scheduler::{FlowId, LinkScheduler},
};
use std::{
    collections::HashMap,
    fmt,
    sync::{Arc, Mutex, MutexGuard, PoisonError, atomic::Ordering},
    task::{Context, Poll, Waker},
};
use tokio::{sync::Notify, time::sleep_until};

/// Owns the decisions on this node's link, and wakes the bodies whose turn it is.
#[derive(Debug)]
pub struct LinkPacer {
    link_mbps: f64,
    clock: Clock,
    counters: Arc<Counters>,
    latencies: Arc<Latencies>,
    state: Mutex<State>,
    /// Notified when a piece starts to wait.
    piece_waits: Notify,
}

struct State {
    scheduler: LinkScheduler,
    admission: LinkAdmission,
    held: HeldBytes,
    /// Bodies that requested a piece.
    turns: HashMap<FlowId, Turn>,
}

impl fmt::Debug for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("State").field("scheduler", &self.scheduler).finish_non_exhaustive()
    }
}

impl State {
    /// Requests a piece, unless the body has already requested one.
    fn request(&mut self, flow: FlowId, bytes: u64, waker: &Waker, now_us: u64) {
        match self.turns.get_mut(&flow) {
            Some(Turn::Granted) => {}
            Some(Turn::Waiting(known)) => known.clone_from(waker),
            None => {
                self.scheduler.request(flow, bytes, now_us);
                self.turns.insert(flow, Turn::Waiting(waker.clone()));
            }
        }
    }

    /// Hands the link to waiting pieces as long as it is free, and returns their bodies with their wakers.
    fn grant(&mut self, now_us: u64) -> Vec<(FlowId, Waker)> {
        let mut granted = Vec::new();
        while let Some(flow) = self.scheduler.grant_next(now_us) {
            if let Some(Turn::Waiting(waker)) = self.turns.insert(flow, Turn::Granted) {
                granted.push((flow, waker));
            }
        }
        granted
    }
}

/// Wakes bodies, except the one that is being polled.
fn wake(granted: Vec<(FlowId, Waker)>, polled: Option<FlowId>) {
    let others = granted.into_iter().filter(|(flow, _)| Some(*flow) != polled);
    others.for_each(|(_, waker)| waker.wake());
}

/// The state of a requested piece.
enum Turn {
    /// The piece waits; its body is woken by the waker.
    Waiting(Waker),
    /// The piece may be sent.
    Granted,
}

impl LinkPacer {
    /// Creates the pacer of a link with this bandwidth in Mbit/s; `None` if the bandwidth is unknown.
    pub fn new(
        link_mbps: f64,
        clock: Clock,
        counters: Arc<Counters>,
        latencies: Arc<Latencies>,
    ) -> Option<Arc<Self>> {
        if link_mbps <= 0.0 {
            return None;
        }
        let state = State {
            scheduler: LinkScheduler::new(link_mbps),
            admission: LinkAdmission::default(),
            held: HeldBytes::default(),
            turns: HashMap::new(),
        };
        let state = Mutex::new(state);
        Some(Arc::new(Self { link_mbps, clock, counters, latencies, state, piece_waits: Notify::new() }))
    }

    /// Hands the link to waiting pieces when it becomes free. Runs until dropped.
    pub async fn run(&self) {
        loop {
            let (granted, next_us) = {
                let mut state = self.lock();
                (state.grant(self.clock.now_us()), state.scheduler.next_grant_us())
            };
            wake(granted, None);
            match next_us {
                Some(at_us) => sleep_until(self.clock.instant_of(at_us)).await,
                None => self.piece_waits.notified().await,
            }
        }
    }

    /// Bandwidth of the link in Mbit/s.
    pub fn link_mbps(&self) -> f64 {
        self.link_mbps
    }

    /// Number of bytes that the open bodies have yet to send.
    pub fn waiting_bytes(&self) -> u64 {
        self.lock().scheduler.remaining_bytes()
    }

    /// Number of bytes that were read but not yet sent.
    pub fn held_bytes(&self) -> u64 {
        self.lock().held.held()
    }

    /// Counts bytes that are sent without waiting.
    pub(crate) fn count_unpaced(&self, bytes: u64) {
        self.counters.link_bytes.fetch_add(bytes, Ordering::Relaxed);
        self.lock().scheduler.count_unpaced(bytes, self.clock.now_us());
    }

    /// Largest size of a piece in bytes.
    pub(crate) fn piece_bytes(&self) -> u64 {
        self.lock().scheduler.piece_bytes()
    }

    /// Adds a body, whose size may be unknown.
    pub(crate) fn open(&self, importance: u8, size_bytes: Option<u64>) -> FlowId {
        self.lock().scheduler.open(importance, size_bytes, self.clock.now_us())
    }

    /// Removes a body.
    pub(crate) fn close(&self, flow: FlowId) {
        let mut state = self.lock();
        state.scheduler.close(flow);
        state.turns.remove(&flow);
    }

    /// Waits until a piece of this size of a body may be sent.
    pub(crate) fn poll_piece(&self, flow: FlowId, bytes: u64, cx: &Context<'_>) -> Poll<()> {
        let mut state = self.lock();
        let now_us = self.clock.now_us();
        state.request(flow, bytes, cx.waker(), now_us);
        let granted = state.grant(now_us);
        let is_granted = matches!(state.turns.get(&flow), Some(Turn::Granted));
        if is_granted {
            state.turns.remove(&flow);
        }
        drop(state);
        wake(granted, Some(flow));
        if !is_granted {
            self.piece_waits.notify_one();
            return Poll::Pending;
        }
        self.counters.link_bytes.fetch_add(bytes, Ordering::Relaxed);
        Poll::Ready(())
    }

    /// Records for how long a piece waited, in µs.
    pub(crate) fn note_wait(&self, wait_us: u64) {
        record_us(&self.latencies.link_waits, wait_us);
    }

    /// Counts bytes that were read from a body.
    pub(crate) fn hold(&self, bytes: u64) {
        self.lock().held.add(bytes);
    }

    /// Counts bytes that a body no longer holds.
    pub(crate) fn release(&self, bytes: u64) {
        self.lock().held.remove(bytes);
    }

    /// Whether bodies must not be read ahead.
    pub(crate) fn is_memory_full(&self) -> bool {
        self.lock().held.is_full()
    }

    /// Learns the size of an answer.
    pub(crate) fn note_answer(&self, class: u32, bytes: u64) {
        self.lock().admission.note_answer(class, bytes);
    }

    /// Admits a call by the time that its answer needs on the link. The result counts until it is dropped.
    pub(crate) fn admit_answer(self: &Arc<Self>, call: &LinkCall) -> Result<AnswerReservation, Refusal> {
        let now_us = self.clock.now_us();
        let admitted = {
            let State { scheduler, admission, held, .. } = &mut *self.lock();
            admission.admit_answer(call, scheduler, held.is_full(), now_us)
        };
        let reservation = |expected| AnswerReservation { pacer: self.clone(), expected };
        admitted.map(reservation).map_err(|refusal| self.refuse(refusal))
    }

    /// Admits the upload of a body by the time that it needs on the link.
    pub(crate) fn admit_upload(&self, call: &LinkCall, bytes: u64) -> Result<(), Refusal> {
        let now_us = self.clock.now_us();
        let admitted = {
            let State { scheduler, admission, held, .. } = &mut *self.lock();
            admission.admit_upload(call, bytes, scheduler, held.is_full(), now_us)
        };
        admitted.map_err(|refusal| self.refuse(refusal))
    }

    fn refuse(&self, refusal: LinkRefusal) -> Refusal {
        count(&self.counters.link_refusals);
        let retry_after_ms = refusal.retry_after_us.div_ceil(1_000) as u32;
        Refusal::new(RefusalReason::Busy).with_retry_after_ms(retry_after_ms)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Link time that an admitted call's answer is expected to need, until the answer begins.
#[derive(Debug)]
pub(crate) struct AnswerReservation {
    pacer: Arc<LinkPacer>,
    expected: ExpectedAnswer,
}

impl Drop for AnswerReservation {
    fn drop(&mut self) {
        self.pacer.lock().admission.end(self.expected);
    }
}
