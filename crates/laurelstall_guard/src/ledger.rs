//! Outcome of each ticket that a guard issued.

use bytes::Bytes;
use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
};
use tokio::sync::watch;

/// An answer that is kept, and returned when the ticket is used again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeptAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers, names in lower case.
    pub headers: Vec<(String, Bytes)>,
    /// Complete body.
    pub body: Bytes,
}

/// State of a ticket that was used.
#[derive(Debug, Clone)]
enum TicketState {
    /// The call runs or waits for a slot; the receiver changes when it ends. The number identifies the run.
    Running(watch::Receiver<bool>, u64),
    /// The call was answered and the answer is kept.
    Answered(Arc<KeptAnswer>),
    /// The call ran or may have run, and no answer is kept.
    OutcomeUnknown,
    /// The call was refused before it ran; the ticket is void and never runs.
    Void,
}

/// How to handle a call that brings a ticket.
#[derive(Debug)]
pub enum TicketUse {
    /// First use: the call has to be run, and the token ended with one of the `end_*` methods.
    FirstUse(RunToken),
    /// The call was answered before; this is the kept answer.
    Answered(Arc<KeptAnswer>),
    /// The call is running: wait until the receiver changes, then look the ticket up again.
    Running(watch::Receiver<bool>),
    /// The call ran or may have run; its answer is not known.
    OutcomeUnknown,
    /// The call was refused before it ran and never will: it is proved *not run*.
    Void,
    /// The ticket was not issued here, has expired, or was issued before the guard's last restart: the call
    /// is not run now, but may have run before.
    Invalid,
}

/// The first use of a ticket; ended by exactly one of the `end_*` methods of [`Ledger`].
#[derive(Debug)]
pub struct RunToken {
    number: u64,
    /// Number of this use; its end is recorded only while the ticket's state is still that of this use.
    run: u64,
    done: watch::Sender<bool>,
}

#[derive(Debug)]
struct Batch {
    first: u64,
    end: u64,
    expires_us: u64,
}

/// A bounded record of issued tickets and their outcomes.
///
/// A ticket is removed only when it expires, and a ticket without a record is never run, so removal is always
/// safe.
#[derive(Debug)]
pub struct Ledger {
    incarnation: u64,
    batches: VecDeque<Batch>,
    states: HashMap<u64, TicketState>,
    next_number: u64,
    next_run: u64,
    tickets_max: usize,
    /// Number of issued tickets that have not expired.
    open: usize,
    kept_bytes: usize,
}

/// Maximum size of the bodies of all kept answers of one ledger, in bytes.
pub const KEPT_BYTES_MAX: usize = 16 * 1024 * 1024;
/// Maximum number of tickets issued at once.
pub const BATCH_MAX: u32 = 1_000;

impl Ledger {
    /// Creates an empty ledger for a guard that started as `incarnation`.
    pub fn new(incarnation: u64, tickets_max: usize) -> Self {
        Self {
            incarnation,
            batches: VecDeque::new(),
            states: HashMap::new(),
            next_number: 0,
            next_run: 0,
            tickets_max,
            open: 0,
            kept_bytes: 0,
        }
    }

    /// Sets the maximum number of open tickets.
    pub fn set_tickets_max(&mut self, tickets_max: usize) {
        self.tickets_max = tickets_max;
    }

    /// Issues up to `count` tickets with consecutive numbers; returns the first number and how many were
    /// issued.
    pub fn issue(&mut self, count: u32, lifetime_us: u64, now_us: u64) -> (u64, u32) {
        self.expire(now_us);
        let available = self.tickets_max.saturating_sub(self.open).min(BATCH_MAX as usize) as u32;
        let count = count.min(available);
        let first = self.next_number;
        if count > 0 {
            self.next_number += u64::from(count);
            self.open += count as usize;
            let batch = Batch { first, end: self.next_number, expires_us: now_us + lifetime_us };
            // Batches are sorted by expiry even if the lifetime changed in between.
            let at = self.batches.partition_point(|other| other.expires_us <= batch.expires_us);
            self.batches.insert(at, batch);
        }
        (first, count)
    }

    /// Looks up ticket `number` of `incarnation` for a call that brings it, and marks it as running on its
    /// first use.
    pub fn use_ticket(&mut self, incarnation: u64, number: u64, now_us: u64) -> TicketUse {
        self.expire(now_us);
        let is_known = self.batches.iter().any(|batch| (batch.first..batch.end).contains(&number));
        if incarnation != self.incarnation || !is_known {
            return TicketUse::Invalid;
        }
        match self.states.get(&number) {
            None => TicketUse::FirstUse(self.start(number)),
            Some(TicketState::Running(done, _)) => TicketUse::Running(done.clone()),
            Some(TicketState::Answered(answer)) => TicketUse::Answered(answer.clone()),
            Some(TicketState::OutcomeUnknown) => TicketUse::OutcomeUnknown,
            Some(TicketState::Void) => TicketUse::Void,
        }
    }

    /// Ends a run that was answered; keeps the answer if one is passed and there is room for it.
    pub fn end_answered(&mut self, token: RunToken, answer: Option<KeptAnswer>) {
        let kept = answer.filter(|answer| self.kept_bytes + answer.body.len() <= KEPT_BYTES_MAX);
        let state = match kept {
            Some(answer) => {
                self.kept_bytes += answer.body.len();
                TicketState::Answered(Arc::new(answer))
            }
            None => TicketState::OutcomeUnknown,
        };
        self.end(token, state);
    }

    /// Ends a run with an unknown outcome.
    pub fn end_unknown(&mut self, token: RunToken) {
        self.end(token, TicketState::OutcomeUnknown);
    }

    /// Ends a run that was refused before any byte reached the target, and voids the ticket.
    ///
    /// The caller is answered *not run*, so a delayed copy of the same call must not run later.
    pub fn end_not_run(&mut self, token: RunToken) {
        self.end(token, TicketState::Void);
    }

    /// Returns the number of issued tickets that have not expired.
    pub fn open(&self) -> usize {
        self.open
    }

    /// Returns the incarnation of the guard, which identifies its start.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    fn start(&mut self, number: u64) -> RunToken {
        let (done, changed) = watch::channel(false);
        let run = self.next_run;
        self.next_run += 1;
        self.states.insert(number, TicketState::Running(changed, run));
        RunToken { number, run, done }
    }

    fn end(&mut self, token: RunToken, state: TicketState) {
        let is_own =
            matches!(self.states.get(&token.number), Some(TicketState::Running(_, run)) if *run == token.run);
        // An expired ticket has no record and gets no new one.
        if is_own {
            self.states.insert(token.number, state);
        } else if let TicketState::Answered(answer) = &state {
            self.kept_bytes -= answer.body.len();
        }
        token.done.send_replace(true);
    }

    fn expire(&mut self, now_us: u64) {
        while self.batches.front().is_some_and(|batch| batch.expires_us <= now_us) {
            let Some(batch) = self.batches.pop_front() else { return };
            self.open -= (batch.end - batch.first) as usize;
            for number in batch.first..batch.end {
                if let Some(TicketState::Answered(answer)) = self.states.remove(&number) {
                    self.kept_bytes -= answer.body.len();
                }
            }
        }
    }
}
