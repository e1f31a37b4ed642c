//! Decides which body sends its next piece over the link.

use std::{
    cmp::{Ordering, Reverse},
    collections::{BTreeSet, HashMap},
};

/// Size in bytes up to which a body is sent without waiting. Callers wait for such answers in nested calls, and each of
/// them occupies the link for a few ms at most.
pub const SMALL_BODY_BYTES: u64 = 8 * 1024;
/// Share of the bandwidth that is used, in percent. The rest is for headers of the lower layers, so that no queue
/// forms there.
const USED_PERCENT: f64 = 95.0;
/// Time that the link needs for one piece, in µs: what a small call may have to wait for.
const PIECE_US: f64 = 2_000.0;
/// Smallest size of a piece in bytes; smaller ones cost more for their frames and wake-ups than they gain.
const PIECE_BYTES_MIN: u64 = 4 * 1024;
/// Largest size of a piece in bytes, on fast links.
const PIECE_BYTES_MAX: u64 = 64 * 1024;
/// Time in µs before the link is idle at which the next piece may be handed over. Timers are accurate to 1 ms.
const LEAD_US: f64 = 1_000.0;
/// Longest time in µs for which pieces that waited make up for a late wake-up. A node with a tenth of a core may be
/// suspended for tens of ms, and the link would be idle for this time.
const CATCH_UP_US: f64 = 20_000.0;
/// Longest time in µs for which a body makes up for an idle link on which no piece waited: the time between two of its
/// requests.
const IDLE_CREDIT_US: f64 = 2_000.0;
/// Longest time in µs for which bodies wait for bytes that are counted but did not wait themselves. It bounds the effect
/// of a setting that is below the real bandwidth.
const UNPACED_BACKLOG_US: f64 = 100_000.0;
/// Bytes that a body sends before it is the turn of others of its importance and size class. Bodies up to this size are
/// sent in the order in which they began: if they took turns by pieces, all of a burst would end late.
const QUANTUM_BYTES: u64 = 128 * 1024;
/// Time in µs without a request after which a body is taken to be stalled by its reader or its source. Bodies that are read
/// request their next piece within a few ms of the last one.
const STALLED_US: u64 = 100_000;
/// Size in bytes of the remainder of a body in the lowest size class; each further class is twice as large.
const SIZE_CLASS_BYTES: u64 = 16 * 1024;

/// Multiple of its own size that a body waits at most for one of the same importance, which goes after it once it is
/// larger. Without a bound, one very large body would make the node refuse all others while it is sent.
const LARGER_BODY_FACTOR: u64 = 4;

/// Identifies a body that sends over the link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FlowId(u64);

/// Order in which waiting pieces are sent; the lowest goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct PieceRank {
    importance: Reverse<u8>,
    /// Class of the bytes that remain of the body.
    size_class: u32,
    /// Start tag of fair queueing by bytes.
    start_tag: u64,
    flow: FlowId,
}

#[derive(Debug)]
struct Flow {
    importance: u8,
    /// Bytes that remain; 0 if the size is unknown.
    remaining_bytes: u64,
    sent_bytes: u64,
    is_size_known: bool,
    /// When the body was opened or last handed a piece over.
    active_us: u64,
    /// Start tag of the flow's current turn.
    turn_tag: u64,
    /// Bytes sent in the current turn.
    turn_bytes: u64,
    /// The piece that waits: its rank and its size in bytes.
    waiting: Option<(PieceRank, u64)>,
}

impl Flow {
    /// Whether the body has not begun, or has not stalled.
    fn is_active(&self, now_us: u64) -> bool {
        let is_recent = now_us.saturating_sub(self.active_us) < STALLED_US;
        self.waiting.is_some() || self.sent_bytes == 0 || is_recent
    }
}

/// Decides which body sends its next piece over a link of known bandwidth.
///
/// *Load pattern*: a burst of large answers or uploads, up to 2.6 times the bandwidth, beside small calls. Pieces go by
/// importance, then by the size of what remains of their body, then by start-time fair queueing of bytes, in turns of
/// [`QUANTUM_BYTES`]. Bodies that
/// are nearly sent go before others of the same importance, so that in a burst some answers are in time instead of all
/// being late. The scheduler tracks when the link will have sent what was handed over, and hands over the next piece
/// just before.
///
/// A body whose reader stops requests no piece, so that it occupies nothing here.
#[derive(Debug)]
pub struct LinkScheduler {
    bytes_per_us: f64,
    /// When the link will have sent everything that was handed over.
    busy_until_us: f64,
    /// When the last piece was handed over.
    granted_us: u64,
    /// Start tag of the piece handed over last.
    virtual_bytes: u64,
    flows: HashMap<FlowId, Flow>,
    waiting: BTreeSet<PieceRank>,
    opened: u64,
}

impl LinkScheduler {
    /// Creates the scheduler of a link with this bandwidth in Mbit/s, which must be above 0.
    pub fn new(link_mbps: f64) -> Self {
        Self {
            bytes_per_us: link_mbps / 8.0 * USED_PERCENT / 100.0,
            busy_until_us: 0.0,
            granted_us: 0,
            virtual_bytes: 0,
            flows: HashMap::new(),
            waiting: BTreeSet::new(),
            opened: 0,
        }
    }

    /// Largest size of a piece in bytes.
    pub fn piece_bytes(&self) -> u64 {
        ((self.bytes_per_us * PIECE_US) as u64).clamp(PIECE_BYTES_MIN, PIECE_BYTES_MAX)
    }

    /// Time in µs that the link needs for this number of bytes.
    pub fn send_us(&self, bytes: u64) -> u64 {
        (bytes as f64 / self.bytes_per_us) as u64
    }

    /// Adds a body of this size, which has yet to be sent. Of a body of unknown size as much is expected to remain as
    /// was sent.
    pub fn open(&mut self, importance: u8, size_bytes: Option<u64>, now_us: u64) -> FlowId {
        self.opened += 1;
        let id = FlowId(self.opened);
        let flow = Flow {
            importance,
            remaining_bytes: size_bytes.unwrap_or(0),
            sent_bytes: 0,
            is_size_known: size_bytes.is_some(),
            active_us: now_us,
            turn_tag: self.virtual_bytes,
            turn_bytes: 0,
            waiting: None,
        };
        self.flows.insert(id, flow);
        id
    }

    /// Requests to send the next piece of a body, which [`grant_next`](Self::grant_next) allows when it is its turn.
    pub fn request(&mut self, id: FlowId, piece_bytes: u64, now_us: u64) {
        self.limit_credit(now_us);
        let Some(flow) = self.flows.get_mut(&id).filter(|flow| flow.waiting.is_none()) else { return };
        let remaining_bytes = if flow.is_size_known { flow.remaining_bytes } else { flow.sent_bytes };
        let rank = PieceRank {
            importance: Reverse(flow.importance),
            size_class: size_class(remaining_bytes.max(piece_bytes)),
            start_tag: flow.turn_tag,
            flow: id,
        };
        flow.waiting = Some((rank, piece_bytes));
        self.waiting.insert(rank);
    }

    /// Hands the link to the next piece if it is free, and returns the body of this piece.
    pub fn grant_next(&mut self, now_us: u64) -> Option<FlowId> {
        if self.busy_until_us > now_us as f64 + LEAD_US {
            return None;
        }
        let rank = self.waiting.pop_first()?;
        let flow = self.flows.get_mut(&rank.flow)?;
        let (_, piece_bytes) = flow.waiting.take()?;
        flow.remaining_bytes = flow.remaining_bytes.saturating_sub(piece_bytes);
        flow.sent_bytes += piece_bytes;
        flow.active_us = now_us;
        flow.turn_bytes += piece_bytes;
        if flow.turn_bytes >= QUANTUM_BYTES {
            flow.turn_tag = flow.turn_tag.max(self.virtual_bytes) + flow.turn_bytes;
            flow.turn_bytes = 0;
        }
        self.virtual_bytes = self.virtual_bytes.max(rank.start_tag);
        let starts_us = self.busy_until_us.max(now_us as f64 - CATCH_UP_US);
        self.busy_until_us = starts_us + piece_bytes as f64 / self.bytes_per_us;
        self.granted_us = now_us;
        Some(rank.flow)
    }

    /// Returns when the next piece may be sent; `None` if none is waiting.
    pub fn next_grant_us(&self) -> Option<u64> {
        let is_waiting = !self.waiting.is_empty();
        is_waiting.then(|| (self.busy_until_us - LEAD_US).max(0.0).ceil() as u64)
    }

    /// Removes a body that is sent or was cancelled.
    pub fn close(&mut self, id: FlowId) {
        let removed = self.flows.remove(&id);
        if let Some((rank, _)) = removed.and_then(|flow| flow.waiting) {
            self.waiting.remove(&rank);
        }
    }

    /// Counts bytes that are sent without waiting: heads and small bodies.
    pub fn count_unpaced(&mut self, bytes: u64, now_us: u64) {
        self.limit_credit(now_us);
        let ends_us = self.busy_until_us + bytes as f64 / self.bytes_per_us;
        let limit_us = (now_us as f64 + UNPACED_BACKLOG_US).max(self.busy_until_us);
        self.busy_until_us = ends_us.min(limit_us);
    }

    /// Limits the idle time that the next pieces may make up for.
    fn limit_credit(&mut self, now_us: u64) {
        let since_grant_us = now_us.saturating_sub(self.granted_us) as f64;
        let is_idle = self.waiting.is_empty() && since_grant_us > IDLE_CREDIT_US;
        let credit_us = if is_idle { IDLE_CREDIT_US } else { CATCH_UP_US };
        self.busy_until_us = self.busy_until_us.max(now_us as f64 - credit_us);
    }

    /// Number of bytes that the open bodies have yet to send.
    pub fn remaining_bytes(&self) -> u64 {
        self.flows.values().fold(0, |sum, flow| sum.saturating_add(flow.remaining_bytes))
    }

    /// Number of bytes that are sent before a new body of this importance and size: what remains of bodies that are
    /// at least as important. Of an equally important one, at most [`LARGER_BODY_FACTOR`] times this size counts.
    ///
    /// Stalled bodies do not count. Those that have not begun do, because uploads wait for their slot first.
    pub fn bytes_ahead(&self, importance: u8, bytes: u64, now_us: u64) -> u64 {
        let equal_max_bytes = bytes.saturating_mul(LARGER_BODY_FACTOR);
        let bytes_of = |flow: &Flow| match flow.importance.cmp(&importance) {
            Ordering::Greater => flow.remaining_bytes,
            Ordering::Equal => flow.remaining_bytes.min(equal_max_bytes),
            Ordering::Less => 0,
        };
        let active = self.flows.values().filter(|flow| flow.is_active(now_us));
        active.fold(0, |sum, flow| sum.saturating_add(bytes_of(flow)))
    }
}

/// Returns the class of a number of remaining bytes; smaller ones go first.
fn size_class(bytes: u64) -> u32 {
    bytes.div_ceil(SIZE_CLASS_BYTES).max(1).next_power_of_two().trailing_zeros()
}
