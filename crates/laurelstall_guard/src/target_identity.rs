//! Which instance of the target stands beside a guard.
//!
//! The published list names an instance, but it lags: while the platform is away, a host may restart with a new
//! instance of its target that no list names. A request that is sent under the wrong name reaches the target
//! for nothing. So the guard goes by the list until the instance itself says or shows something else.

use std::mem;

/// First pause after an instance denied the name that it was called by, in µs: about as long as the list takes
/// to name a new instance while the platform answers.
const PAUSE_MIN_US: u64 = 100_000;
/// Times that the pause doubles, up to 3.2 s: an instance that denies its own name for good is given fewer than
/// twenty requests a minute by all entries together.
const PAUSE_DOUBLINGS_MAX: u32 = 5;

/// How long an instance that did not answer is not asked for its first word again, in µs: each question holds up the
/// calls that wait for its answer.
const SILENCE_PAUSE_US: u64 = 1_000_000;

/// How a call may be sent to the instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Claim {
    /// Under this name.
    SendAs(String),
    /// Not before the instance was asked who it is; see [`TargetIdentity::note_word`].
    Ask,
    /// Not at all for now.
    Refuse {
        /// When to come back, in µs from now.
        wait_us: u64,
    },
}

/// The instance denied the name that a request was sent under, or says that it has another one.
#[derive(Debug, Clone, Copy)]
struct Doubt {
    /// Whether the present name was denied: what an instance says of itself at its load path may be wrong, and
    /// shuts nothing out alone.
    is_denied: bool,
    /// Denials in a row.
    denials: u32,
    /// Until when nothing is sent, in µs of the guard's clock.
    until_us: u64,
    /// Whether one request is under way to find out.
    is_tried: bool,
}

impl Doubt {
    fn new(is_denied: bool, now_us: u64) -> Self {
        Self { is_denied, denials: 0, until_us: now_us, is_tried: false }
    }
}

/// What a guard knows of the instance beside it.
#[derive(Debug)]
pub struct TargetIdentity {
    /// Until when the first word of the instance is taken for the name of the target, in µs of the guard's clock.
    first_word_until_us: u64,
    /// The name in the list.
    listed: String,
    /// The name that the instance gave as its first word, where the list has another one.
    successor: Option<String>,
    /// Whether the instance has said or shown who it is since the start.
    has_spoken: bool,
    /// Until when it is not asked for its first word, since it did not answer, in µs of the guard's clock.
    silent_until_us: u64,
    /// Whether it ran requests under a name that it said is not its own.
    is_word_wrong: bool,
    doubt: Option<Doubt>,
}

impl TargetIdentity {
    /// Nothing is known yet.
    ///
    /// Until `first_word_until_us` whoever stands here belongs to the service of the target: the node's settings
    /// were made for its start, and an address is not given to another service so soon. Later only the list
    /// can tell to which service an instance belongs.
    pub fn new(first_word_until_us: u64) -> Self {
        Self {
            first_word_until_us,
            listed: String::new(),
            successor: None,
            has_spoken: false,
            silent_until_us: 0,
            is_word_wrong: false,
            doubt: None,
        }
    }

    /// Takes the name in the list; a new one makes the instance's own words out of date.
    pub fn follow_list(&mut self, listed: &str) {
        if self.listed == listed {
            return;
        }
        listed.clone_into(&mut self.listed);
        self.forget_word();
    }

    /// Forgets what the instance said and showed: another one stands there under the same name.
    pub fn forget_word(&mut self) {
        self.successor = None;
        self.is_word_wrong = false;
        self.doubt = None;
    }

    /// The name that the instance is called by now.
    pub fn name(&self) -> &str {
        self.successor.as_deref().unwrap_or(&self.listed)
    }

    /// Whether a call that an entry addressed to `name` is for the instance here.
    pub fn is_called(&self, name: &str) -> bool {
        self.listed == name || self.successor.as_deref() == Some(name)
    }

    /// How long nothing may be sent, in µs; none when a call may be sent, or the instance asked, now.
    pub fn refused_for_us(&self, now_us: u64) -> Option<u64> {
        let doubt = self.doubt.filter(|doubt| now_us < doubt.until_us)?;
        Some(doubt.until_us - now_us)
    }

    /// How a call may be sent now; `can_ask` says whether the instance tells its name where it is asked.
    pub fn claim(&mut self, can_ask: bool, now_us: u64) -> Claim {
        if let Some(wait_us) = self.refused_for_us(now_us) {
            return Claim::Refuse { wait_us };
        }
        let is_first = !self.has_spoken && !self.listed.is_empty() && now_us < self.first_word_until_us;
        let is_first_asked = is_first && now_us >= self.silent_until_us;
        if can_ask && (is_first_asked || self.doubt.is_some()) {
            return Claim::Ask;
        }
        self.send(now_us)
    }

    /// Takes what the instance said of itself; none when it took the question and did not say its name.
    pub fn note_word(&mut self, name: Option<&str>, now_us: u64) {
        let is_first = !mem::replace(&mut self.has_spoken, true);
        let Some(name) = name else { return };
        if is_first && now_us < self.first_word_until_us && !self.is_called(name) {
            self.successor = Some(name.to_owned());
        }
        if self.name() == name || self.is_word_wrong || self.refused_for_us(now_us).is_some() {
            return;
        }
        match self.doubt {
            None => self.doubt = Some(Doubt::new(false, now_us)),
            Some(doubt) if doubt.is_denied => self.note_other(now_us),
            Some(_) => {}
        }
    }

    /// Notes that the instance was asked and did not answer: that is no word, and the next one is its first.
    pub fn note_silence(&mut self, now_us: u64) {
        self.silent_until_us = now_us + SILENCE_PAUSE_US;
    }

    /// How the call that asked the instance may be sent, once its word was taken.
    pub fn claim_after_word(&mut self, now_us: u64) -> Claim {
        self.claim(false, now_us)
    }

    /// What becomes of the call that asked when the instance took no connection.
    pub fn claim_unreached() -> Claim {
        Claim::Refuse { wait_us: PAUSE_MIN_US }
    }

    /// Notes that the instance denied `name`, under which a request was sent to it.
    pub fn note_denied(&mut self, name: &str, now_us: u64) {
        if self.name() != name {
            return;
        }
        let was_successor = self.successor.take().is_some();
        match &mut self.doubt {
            // The listed name was not denied yet.
            _ if was_successor => self.doubt = Some(Doubt::new(false, now_us)),
            // It is asked before the next call.
            None => self.doubt = Some(Doubt::new(true, now_us)),
            Some(doubt) if doubt.is_tried => {
                doubt.is_denied = true;
                self.note_other(now_us);
            }
            Some(doubt) => doubt.is_denied = true,
        }
    }

    /// Notes that the instance ran a request that was sent under `name`.
    pub fn note_ran(&mut self, name: &str) {
        if self.name() == name {
            self.has_spoken = true;
            self.is_word_wrong |= self.doubt.is_some_and(|doubt| !doubt.is_denied);
            self.doubt = None;
        }
    }

    /// Whether the instance denied its name and has not run anything since.
    pub fn is_in_doubt(&self) -> bool {
        self.doubt.is_some()
    }

    /// One call goes to the instance; while its name is in doubt, others wait for what comes of it.
    fn send(&mut self, now_us: u64) -> Claim {
        if let Some(doubt) = &mut self.doubt {
            doubt.is_tried = true;
            doubt.until_us = now_us + pause_us(doubt.denials);
        }
        Claim::SendAs(self.name().to_owned())
    }

    /// The instance is another than the one in the list: nothing is sent for a while.
    fn note_other(&mut self, now_us: u64) {
        let Some(doubt) = &mut self.doubt else { return };
        doubt.until_us = now_us + pause_us(doubt.denials);
        doubt.denials = doubt.denials.saturating_add(1);
        doubt.is_tried = false;
    }
}

fn pause_us(denials: u32) -> u64 {
    PAUSE_MIN_US << denials.min(PAUSE_DOUBLINGS_MAX)
}
