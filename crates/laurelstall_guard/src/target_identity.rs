//! Identity of the target instance at a guard.
//!
//! An instance is one start of the target's process; the platform normally gives each its own name. The
//! published list names an instance but may be out of date: while the platform is unreachable, a host may
//! restart with a new instance of its target that no list names yet, the successor. A request sent under the
//! wrong name is denied by the instance and lost; the guard reports the denial to the entry as
//! [`RefusalReason::Replaced`](crate::refusal::RefusalReason::Replaced). So the guard uses the listed name
//! until the instance itself reports or shows another one.

use std::mem;

/// First pause after an instance denied the name that it was addressed by, in µs; about as long as the list
/// takes to name a new instance while the platform answers.
const PAUSE_MIN_US: u64 = 100_000;
/// Number of times that the pause doubles, up to 3.2 s: an instance that keeps denying its own name gets
/// fewer than twenty requests a minute from all entries together.
const PAUSE_DOUBLINGS_MAX: u32 = 5;

/// Pause after a query without a reply, in µs, because each query delays the calls that wait for it.
const NO_REPLY_PAUSE_US: u64 = 1_000_000;

/// Under which name a call may be sent to the instance, if at all.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SendDecision {
    /// Send it under this name.
    SendAs(String),
    /// Query the instance for its name first; see [`TargetIdentity::note_reported_name`].
    QueryFirst,
    /// Refuse it for now.
    Refuse {
        /// Time after which to retry, in µs.
        wait_us: u64,
    },
}

/// Doubt about the instance's name, after it denied the name that a request was sent under or reported
/// another one.
#[derive(Debug, Clone, Copy)]
struct Doubt {
    /// Whether the instance denied a request sent under its current name. A differing name in a load report
    /// alone does not block calls, because it may be wrong.
    is_denied: bool,
    /// Number of denials in a row.
    denials: u32,
    /// Time until which nothing is sent, in µs of the guard's clock.
    until_us: u64,
    /// Whether one request is in flight to find out.
    is_probing: bool,
}

impl Doubt {
    fn new(is_denied: bool, now_us: u64) -> Self {
        Self { is_denied, denials: 0, until_us: now_us, is_probing: false }
    }
}

/// What a guard knows about the name of its target instance.
#[derive(Debug)]
pub struct TargetIdentity {
    /// Time until which the address is not reused for another service, so that the first name that the
    /// instance reports is taken for the name of the target, in µs of the guard's clock.
    address_reserved_until_us: u64,
    /// Name in the published list.
    listed: String,
    /// First name that the instance reported, if it differs from the listed one.
    successor: Option<String>,
    /// Whether the instance has reported or shown its name since the start.
    has_reported: bool,
    /// Time until which the instance is not queried again because it did not reply, in µs of the guard's
    /// clock.
    no_query_until_us: u64,
    /// Whether the instance ran a request under a name that it had reported not to be its own.
    is_report_wrong: bool,
    doubt: Option<Doubt>,
}

impl TargetIdentity {
    /// Creates an identity without a name.
    ///
    /// Until `address_reserved_until_us`, any instance at the address belongs to the target's service: the
    /// node's settings are made for its start, and an address is not reused for another service so soon.
    /// Later only the list shows to which service an instance belongs.
    pub fn new(address_reserved_until_us: u64) -> Self {
        Self {
            address_reserved_until_us,
            listed: String::new(),
            successor: None,
            has_reported: false,
            no_query_until_us: 0,
            is_report_wrong: false,
            doubt: None,
        }
    }

    /// Sets the name from the published list; a new name discards what the instance reported.
    pub fn set_listed_name(&mut self, listed: &str) {
        if self.listed == listed {
            return;
        }
        listed.clone_into(&mut self.listed);
        self.reset_to_listed_name();
    }

    /// Addresses the instance by its listed name again and discards any doubt about it, because another
    /// instance was started under the same name.
    pub fn reset_to_listed_name(&mut self) {
        self.successor = None;
        self.is_report_wrong = false;
        self.doubt = None;
    }

    /// Returns the name that the instance is addressed by now.
    pub fn name(&self) -> &str {
        self.successor.as_deref().unwrap_or(&self.listed)
    }

    /// Returns whether a call that an entry addressed to `name` is for this instance.
    pub fn is_addressed_as(&self, name: &str) -> bool {
        self.listed == name || self.successor.as_deref() == Some(name)
    }

    /// Returns for how long calls are refused, in µs; `None` when a call may be sent, or the instance
    /// queried, now.
    pub fn refused_for_us(&self, now_us: u64) -> Option<u64> {
        let doubt = self.doubt.filter(|doubt| now_us < doubt.until_us)?;
        Some(doubt.until_us - now_us)
    }

    /// Decides how a call may be sent now; `can_query` is whether the instance reports its name when queried.
    pub fn decide_send(&mut self, can_query: bool, now_us: u64) -> SendDecision {
        if let Some(wait_us) = self.refused_for_us(now_us) {
            return SendDecision::Refuse { wait_us };
        }
        let is_first =
            !self.has_reported && !self.listed.is_empty() && now_us < self.address_reserved_until_us;
        let needs_first_report = is_first && now_us >= self.no_query_until_us;
        if can_query && (needs_first_report || self.doubt.is_some()) {
            return SendDecision::QueryFirst;
        }
        self.send(now_us)
    }

    /// Records the name that the instance reported; `None` when it replied without a name.
    pub fn note_reported_name(&mut self, name: Option<&str>, now_us: u64) {
        let is_first = !mem::replace(&mut self.has_reported, true);
        let Some(name) = name else { return };
        if is_first && now_us < self.address_reserved_until_us && !self.is_addressed_as(name) {
            self.successor = Some(name.to_owned());
        }
        if self.name() == name || self.is_report_wrong || self.refused_for_us(now_us).is_some() {
            return;
        }
        match self.doubt {
            None => self.doubt = Some(Doubt::new(false, now_us)),
            Some(doubt) if doubt.is_denied => self.block_calls(now_us),
            Some(_) => {}
        }
    }

    /// Records that the instance did not reply to a query; the next report counts as its first.
    pub fn note_no_reply(&mut self, now_us: u64) {
        self.no_query_until_us = now_us + NO_REPLY_PAUSE_US;
    }

    /// Decides how the call that queried the instance may be sent, after the report was recorded.
    pub fn decide_send_after_report(&mut self, now_us: u64) -> SendDecision {
        self.decide_send(false, now_us)
    }

    /// Returns the decision for a call that queried the instance when no connection could be opened.
    pub fn refuse_unreachable() -> SendDecision {
        SendDecision::Refuse { wait_us: PAUSE_MIN_US }
    }

    /// Records that the instance denied `name`, under which a request was sent to it.
    pub fn note_denied(&mut self, name: &str, now_us: u64) {
        if self.name() != name {
            return;
        }
        let was_successor = self.successor.take().is_some();
        match &mut self.doubt {
            // The listed name itself has not been denied yet.
            _ if was_successor => self.doubt = Some(Doubt::new(false, now_us)),
            // The instance is queried before the next call.
            None => self.doubt = Some(Doubt::new(true, now_us)),
            Some(doubt) if doubt.is_probing => {
                doubt.is_denied = true;
                self.block_calls(now_us);
            }
            Some(doubt) => doubt.is_denied = true,
        }
    }

    /// Records that the instance ran a request that was sent under `name`.
    pub fn note_ran(&mut self, name: &str) {
        if self.name() == name {
            self.has_reported = true;
            self.is_report_wrong |= self.doubt.is_some_and(|doubt| !doubt.is_denied);
            self.doubt = None;
        }
    }

    /// Returns whether the name is in doubt and no request has run since.
    pub fn is_in_doubt(&self) -> bool {
        self.doubt.is_some()
    }

    /// Sends one call; while the name is in doubt, others wait for its result.
    fn send(&mut self, now_us: u64) -> SendDecision {
        if let Some(doubt) = &mut self.doubt {
            doubt.is_probing = true;
            doubt.until_us = now_us + pause_us(doubt.denials);
        }
        SendDecision::SendAs(self.name().to_owned())
    }

    /// Blocks calls for a while because the instance is not the one in the list.
    fn block_calls(&mut self, now_us: u64) {
        let Some(doubt) = &mut self.doubt else { return };
        doubt.until_us = now_us + pause_us(doubt.denials);
        doubt.denials = doubt.denials.saturating_add(1);
        doubt.is_probing = false;
    }
}

fn pause_us(denials: u32) -> u64 {
    PAUSE_MIN_US << denials.min(PAUSE_DOUBLINGS_MAX)
}
