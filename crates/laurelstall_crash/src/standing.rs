//! Which of the requests in a table are quarantined or suspected, computed once for each change of the table.
//!
//! Calls ask for it far more often than it changes.

use crate::{
    crash_record::CrashRecord,
    quarantine_thresholds::{QUARANTINE_CRASHES, QUARANTINE_CRASHES_AFTER_SUCCESS},
};
use std::{
    cmp::Reverse,
    collections::{HashMap, HashSet},
};

/// Largest number of quarantined requests of one service: when targets crash whatever they run, most requests must
/// still reach them.
const QUARANTINED_MAX: usize = 32;

/// The order in which requests are quarantined.
type QuarantineRank = (Reverse<usize>, i64, u64);

/// The quarantined and suspected requests of a table.
#[derive(Debug, Default)]
pub(crate) struct Standing {
    /// Requests with enough crashes that are among the [`QUARANTINED_MAX`] of their service that rank highest.
    quarantined: HashSet<u64>,
    /// Heads of the requests against which crashes count.
    suspected_heads: HashSet<u64>,
}

impl Standing {
    /// The standing that follows from these records.
    pub(crate) fn of<'a>(records: impl Iterator<Item = &'a CrashRecord>) -> Self {
        let mut standing = Self::default();
        let mut ranks = HashMap::<&str, Vec<QuarantineRank>>::new();
        for record in records.filter(|record| record.counted_crashes() > 0) {
            standing.suspected_heads.insert(record.digest.head);
            if let Some(rank) = quarantine_rank(record) {
                ranks.entry(&record.service).or_default().push(rank);
            }
        }
        for mut ranks in ranks.into_values() {
            if ranks.len() > QUARANTINED_MAX {
                ranks.select_nth_unstable(QUARANTINED_MAX);
                ranks.truncate(QUARANTINED_MAX);
            }
            standing.quarantined.extend(ranks.into_iter().map(|(_, _, digest_hash)| digest_hash));
        }
        standing
    }

    /// Whether the request is quarantined, before the time since its last crash is considered.
    pub(crate) fn is_quarantined(&self, digest_hash: u64) -> bool {
        self.quarantined.contains(&digest_hash)
    }

    /// Whether crashes count against a request with this head.
    pub(crate) fn is_suspected_head(&self, head: u64) -> bool {
        self.suspected_heads.contains(&head)
    }
}

/// The order in which requests are quarantined: those with more crashes first, then those that reached the required
/// number first. `None` for a request with too few crashes.
pub(crate) fn quarantine_rank(record: &CrashRecord) -> Option<QuarantineRank> {
    let required = if record.has_succeeded() { QUARANTINE_CRASHES_AFTER_SUCCESS } else { QUARANTINE_CRASHES };
    let reached_us = record.counted_crash_us(required)?;
    Some((Reverse(record.counted_crashes()), reached_us, record.digest.whole))
}
