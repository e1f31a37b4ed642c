//! What became of each ticket that this guard gave out.

use bytes::Bytes;
use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
};
use tokio::sync::watch;

/// An answer kept for repeats of a ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeptAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers, names in lower case.
    pub headers: Vec<(String, Bytes)>,
    /// The whole body.
    pub body: Bytes,
}

/// What became of a ticket that was used.
#[derive(Debug, Clone)]
enum Entry {
    /// Its call runs or waits for a slot.
    Running(watch::Receiver<bool>, u64),
    /// Its call was answered and the answer is kept.
    Answered(Arc<KeptAnswer>),
    /// Its call ran or may have run, and no answer is kept.
    Spent,
    /// Its call was refused before it ran; the ticket is void and never runs.
    Void,
}

/// What to do with a call that brings a ticket.
#[derive(Debug)]
pub enum Begin {
    /// First use: run it, and end the run with this.
    Run(RunToken),
    /// It was answered: this is the answer.
    Kept(Arc<KeptAnswer>),
    /// It runs now: wait until this changes, then ask again.
    Wait(watch::Receiver<bool>),
    /// It ran, or may have: nobody can tell with what answer.
    Unknown,
    /// It was refused before it ran and can never run: proved *not run*.
    NotRun,
    /// The ticket was never given out here, or its lifetime is over, or it is of an earlier
    /// start of this guard: it is not run, but may have run before.
    Foreign,
}

/// The first use of a ticket, to be ended in one of three ways.
#[derive(Debug)]
pub struct RunToken {
    number: u64,
    run: u64,
    done: watch::Sender<bool>,
}

#[derive(Debug)]
struct Batch {
    first: u64,
    end: u64,
    expires_us: u64,
}

/// A bounded record of tickets and what became of them.
///
/// A ticket leaves the record only when its lifetime is over, and a ticket without a record is
/// never run, so forgetting is always safe.
#[derive(Debug)]
pub struct Ledger {
    incarnation: u64,
    batches: VecDeque<Batch>,
    entries: HashMap<u64, Entry>,
    next_number: u64,
    next_run: u64,
    tickets_max: usize,
    open: usize,
    kept_bytes: usize,
}

/// Most bytes of kept answers in one ledger.
pub const KEPT_BYTES_MAX: usize = 16 * 1024 * 1024;
/// Most tickets given out at once.
pub const BATCH_MAX: u32 = 1_000;

impl Ledger {
    /// An empty ledger of a guard that started as `incarnation`.
    pub fn new(incarnation: u64, tickets_max: usize) -> Self {
        Self {
            incarnation,
            batches: VecDeque::new(),
            entries: HashMap::new(),
            next_number: 0,
            next_run: 0,
            tickets_max,
            open: 0,
            kept_bytes: 0,
        }
    }

    /// Changes how many tickets may be open.
    pub fn set_tickets_max(&mut self, tickets_max: usize) {
        self.tickets_max = tickets_max;
    }

    /// Gives out up to `count` tickets with consecutive numbers; the first number and how many.
    pub fn give(&mut self, count: u32, lifetime_us: u64, now_us: u64) -> (u64, u32) {
        self.expire(now_us);
        let room = self.tickets_max.saturating_sub(self.open).min(BATCH_MAX as usize) as u32;
        let count = count.min(room);
        let first = self.next_number;
        if count > 0 {
            self.next_number += u64::from(count);
            self.open += count as usize;
            let batch = Batch { first, end: self.next_number, expires_us: now_us + lifetime_us };
            // Kept in order of expiry even when the lifetime is changed in between.
            let at = self.batches.partition_point(|other| other.expires_us <= batch.expires_us);
            self.batches.insert(at, batch);
        }
        (first, count)
    }

    /// Starts a call that brings ticket `number` of `incarnation`.
    pub fn begin(&mut self, incarnation: u64, number: u64, now_us: u64) -> Begin {
        self.expire(now_us);
        let is_known = self.batches.iter().any(|batch| (batch.first..batch.end).contains(&number));
        if incarnation != self.incarnation || !is_known {
            return Begin::Foreign;
        }
        match self.entries.get(&number) {
            None => Begin::Run(self.start(number)),
            Some(Entry::Running(done, _)) => Begin::Wait(done.clone()),
            Some(Entry::Answered(answer)) => Begin::Kept(answer.clone()),
            Some(Entry::Spent) => Begin::Unknown,
            Some(Entry::Void) => Begin::NotRun,
        }
    }

    /// Ends a run that was answered; the answer is kept if it is given and there is room.
    pub fn end_answered(&mut self, token: RunToken, answer: Option<KeptAnswer>) {
        let kept = answer.filter(|answer| self.kept_bytes + answer.body.len() <= KEPT_BYTES_MAX);
        let entry = match kept {
            Some(answer) => {
                self.kept_bytes += answer.body.len();
                Entry::Answered(Arc::new(answer))
            }
            None => Entry::Spent,
        };
        self.end(token, entry);
    }

    /// Ends a run whose outcome nobody knows.
    pub fn end_unknown(&mut self, token: RunToken) {
        self.end(token, Entry::Spent);
    }

    /// Ends a run that was refused before the target saw a byte: the ticket is void.
    ///
    /// It must not run later, since its caller is told *not run*: an earlier copy of the same
    /// call may still be on its way here.
    pub fn end_not_run(&mut self, token: RunToken) {
        self.end(token, Entry::Void);
    }

    /// Tickets given out and not expired.
    pub fn open(&self) -> usize {
        self.open
    }

    /// The guard's start.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    fn start(&mut self, number: u64) -> RunToken {
        let (done, changed) = watch::channel(false);
        let run = self.next_run;
        self.next_run += 1;
        self.entries.insert(number, Entry::Running(changed, run));
        RunToken { number, run, done }
    }

    fn end(&mut self, token: RunToken, entry: Entry) {
        let is_own =
            matches!(self.entries.get(&token.number), Some(Entry::Running(_, run)) if *run == token.run);
        // An expired ticket has no record any more and gets none.
        if is_own {
            self.entries.insert(token.number, entry);
        } else if let Entry::Answered(answer) = &entry {
            self.kept_bytes -= answer.body.len();
        }
        token.done.send_replace(true);
    }

    fn expire(&mut self, now_us: u64) {
        while self.batches.front().is_some_and(|batch| batch.expires_us <= now_us) {
            let Some(batch) = self.batches.pop_front() else { return };
            self.open -= (batch.end - batch.first) as usize;
            for number in batch.first..batch.end {
                if let Some(Entry::Answered(answer)) = self.entries.remove(&number) {
                    self.kept_bytes -= answer.body.len();
                }
            }
        }
    }
}
