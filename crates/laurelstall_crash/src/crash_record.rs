//! What is known of one request that was at work when targets ended.

use crate::request_digest::RequestDigest;
use serde::{Deserialize, Serialize};

/// How long before an end a run that ended well still speaks for the request, in µs.
///
/// What is asked all the time is at work at any target that ends, several at one instant when a rack loses power, and has
/// just run well elsewhere. A request that ends every target it runs on has no such run.
pub const GOOD_RUN_SHIELD_US: i64 = 2_000_000;
/// Most ends kept of one request: the latest ones.
const ENDS_MAX: usize = 16;
/// Ends with longer pauses than this between them belong to different spells, in µs: within one, arrivals that were on
/// their way when the request was held back end targets too.
const SPELL_PAUSE_US: i64 = 30_000_000;
/// Oldest news that are told apart from older ones, in ms: thirty days, far longer than any hold that ends by itself.
const AGE_MAX_MS: u64 = 2_592_000_000;
/// Differences between the times of two nodes that are not worth telling, in µs: what news take on their way.
const TIME_SLACK_US: i64 = 500_000;

/// An end of a target under the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashEnd {
    /// Number of the end, alike at all nodes.
    pub id: u64,
    /// When it was, in µs of the node's clock; negative before the node started.
    pub at_us: i64,
}

/// An end as it is told to another node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndNews {
    /// Number of the end.
    pub id: u64,
    /// Since it happened, in ms.
    pub age_ms: u64,
}

/// What one node tells another of one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashNews {
    /// The request.
    pub digest: RequestDigest,
    /// Full name of the service whose targets ended.
    pub service: String,
    /// The ends.
    pub ends: Vec<EndNews>,
    /// Since a run of it ended well last, in ms; none when no node remembers one.
    pub good_run_age_ms: Option<u64>,
    /// Since an operator let it go last, in ms; none when none did.
    pub release_age_ms: Option<u64>,
}

/// What is known of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashRecord {
    /// The request.
    pub digest: RequestDigest,
    /// Full name of the service whose targets ended.
    pub service: String,
    ends: Vec<CrashEnd>,
    /// When a run of it ended well last, in µs of the node's clock.
    good_run_us: Option<i64>,
    /// When an operator let it go last, in µs of the node's clock.
    release_us: Option<i64>,
}

impl CrashRecord {
    /// Nothing is known of the request yet.
    pub fn new(digest: RequestDigest, service: &str) -> Self {
        Self { digest, service: service.to_owned(), ends: Vec::new(), good_run_us: None, release_us: None }
    }

    /// Takes an end; whether it is news. Of two times that nodes tell of one end the earlier holds: news arrive late.
    pub fn take_end(&mut self, end: CrashEnd) -> bool {
        if let Some(known) = self.ends.iter_mut().find(|known| known.id == end.id) {
            known.at_us = known.at_us.min(end.at_us);
            return false;
        }
        if self.ends.len() >= ENDS_MAX && self.ends.iter().all(|known| known.at_us >= end.at_us) {
            return false;
        }
        self.ends.push(end);
        self.ends.sort_by_key(|end| end.at_us);
        if self.ends.len() > ENDS_MAX {
            self.ends.remove(0);
        }
        true
    }

    /// Notes that a run of the request ended well; whether that is news.
    pub fn take_good_run(&mut self, at_us: i64) -> bool {
        take_later(&mut self.good_run_us, at_us)
    }

    /// Notes that an operator let the request go: no earlier end speaks against it any more. Whether that is news.
    pub fn take_release(&mut self, at_us: i64) -> bool {
        take_later(&mut self.release_us, at_us)
    }

    /// Whether a run of the request is known that ended well.
    pub fn has_run_well(&self) -> bool {
        self.good_run_us.is_some()
    }

    /// The ends that speak against the request, earliest first: those that no good run and no operator answers.
    pub fn counted(&self) -> &[CrashEnd] {
        let shielded_us = self.good_run_us.map_or(i64::MIN, |at_us| at_us + GOOD_RUN_SHIELD_US);
        let released_us = self.release_us.unwrap_or(i64::MIN);
        let from_us = shielded_us.max(released_us);
        let first = self.ends.partition_point(|end| end.at_us <= from_us);
        &self.ends[first..]
    }

    /// Since the last end, in µs; none when no end is known.
    pub fn last_end_age_us(&self, now_us: i64) -> Option<i64> {
        self.ends.last().map(|end| now_us - end.at_us)
    }

    /// Spells of ends that speak against the request: the first one, and one for each trial that failed.
    pub fn spells(&self) -> usize {
        let counted = self.counted();
        let is_pause = |pair: &&[CrashEnd]| pair[1].at_us - pair[0].at_us > SPELL_PAUSE_US;
        usize::from(!counted.is_empty()) + counted.windows(2).filter(is_pause).count()
    }

    /// What another node is told.
    pub fn news(&self, now_us: i64) -> CrashNews {
        let age_ms = |at_us: i64| u64::try_from((now_us - at_us) / 1_000).unwrap_or(0);
        CrashNews {
            digest: self.digest,
            service: self.service.clone(),
            ends: self.ends.iter().map(|end| EndNews { id: end.id, age_ms: age_ms(end.at_us) }).collect(),
            good_run_age_ms: self.good_run_us.map(age_ms),
            release_age_ms: self.release_us.map(age_ms),
        }
    }

    /// Takes what another node told; whether any of it is news.
    pub fn take_news(&mut self, news: &CrashNews, now_us: i64) -> bool {
        let at_us = |age_ms: u64| now_us - i64::try_from(age_ms.min(AGE_MAX_MS)).unwrap_or(0) * 1_000;
        let mut is_news = false;
        for end in news.ends.iter().take(ENDS_MAX) {
            is_news |= self.take_end(CrashEnd { id: end.id, at_us: at_us(end.age_ms) });
        }
        if let Some(age_ms) = news.good_run_age_ms {
            is_news |= self.take_good_run(at_us(age_ms));
        }
        if let Some(age_ms) = news.release_age_ms {
            is_news |= self.take_release(at_us(age_ms));
        }
        is_news
    }

    /// Numbers of the ends, in an order that is alike at all nodes.
    pub fn end_ids(&self) -> Vec<u64> {
        let mut ids = self.ends.iter().map(|end| end.id).collect::<Vec<_>>();
        ids.sort_unstable();
        ids
    }
}

/// Takes the later of two times; whether it is later by enough to be told.
fn take_later(known_us: &mut Option<i64>, at_us: i64) -> bool {
    if known_us.is_some_and(|known_us| at_us <= known_us + TIME_SLACK_US) {
        return false;
    }
    *known_us = Some(at_us);
    true
}
