//! Holds the newest accepted version of each document.

use crate::{
    delta::{DeltaError, pack_delta, pack_whole, unpack_delta, unpack_whole},
    fleet_corrections::FleetCorrections,
    message::{PullItem, Transfer, TransferText},
    rejection::{RejectedVersion, RejectionReason},
};
use laurelstall_config::{
    document::{DOCUMENTS_MAX, Document, DocumentName, Version},
    problem::ConfigError,
};
use std::{
    collections::{BTreeMap, VecDeque},
    fmt,
    hash::Hasher,
};
use tokio::time::Instant;
use xxhash_rust::xxh3::Xxh3;

/// Number of older versions kept of each document as bases for deltas.
pub const HISTORY_LENGTH: usize = 4;
/// Maximum size of the older versions kept of a document, in bytes; the latest is kept whatever its size.
const HISTORY_BYTES_MAX: usize = 4 * 1024 * 1024;

/// Validates documents and activates them.
pub trait Acceptor: Send + Sync + fmt::Debug {
    /// Validates `document` and activates it if it is valid.
    ///
    /// # Errors
    ///
    /// All faults of the document; nothing is changed then.
    fn accept(&self, document: &Document) -> Result<(), ConfigError>;

    /// Called when a platform outage ended `ended_age_ms` ago that was long enough for registrations to
    /// expire: targets missing from the next lists may still be running.
    fn on_platform_outage_end(&self, _ended_age_ms: u64) {}

    /// A hash of the corrections since the platform was last restored from an older copy; 0 for none.
    fn corrections_hash(&self) -> u64 {
        0
    }

    /// The corrections since the platform was last restored, to be sent to other nodes.
    fn corrections(&self) -> Option<FleetCorrections> {
        None
    }

    /// Merges the corrections of another node.
    fn merge_corrections(&self, _corrections: &FleetCorrections) {}

    /// Records the time in µs between the first read of a document from the platform and its activation
    /// here.
    fn record_delay(&self, _delay_us: u64) {}
}

/// Result of applying a document to the store.
#[derive(Debug, Clone)]
pub enum ApplyOutcome {
    /// The document is active now.
    Accepted,
    /// The held version is at least as new.
    NotNewer,
    /// The held document has the same version but another text; it stays.
    Conflict,
    /// The document cannot be activated; the held one stays.
    Rejected(RejectionReason),
}

#[derive(Debug)]
struct Entry {
    current: Document,
    checksum: u64,
    older: VecDeque<Document>,
    /// Packed texts of the current version by the base version of the receiver; [`Version::NONE`] for the
    /// whole text.
    packed: Vec<(Version, TransferText)>,
}

impl Entry {
    fn trim_history(&mut self) {
        let mut bytes = self.older.iter().map(|old| old.text.len()).sum::<usize>();
        while self.older.len() > 1 && (self.older.len() > HISTORY_LENGTH || bytes > HISTORY_BYTES_MAX) {
            bytes -= self.older.pop_front().map_or(0, |old| old.text.len());
        }
    }
}

/// Documents by name; the version of a document never decreases.
#[derive(Debug)]
pub struct DocumentStore {
    /// Maximum size of a document's text in bytes.
    document_bytes_max: usize,
    entries: BTreeMap<DocumentName, Entry>,
    /// The newest version of each document that was not activated.
    rejected: BTreeMap<DocumentName, RejectedVersion>,
    /// Versions of documents that are active but not held; see [`DocumentStore::apply_inconsistent`].
    inconsistent: BTreeMap<DocumentName, Version>,
    conflicts: u64,
}

impl DocumentStore {
    /// Creates an empty store of documents whose texts have at most `document_bytes_max`.
    pub fn new(document_bytes_max: usize) -> Self {
        Self {
            document_bytes_max,
            entries: BTreeMap::new(),
            rejected: BTreeMap::new(),
            inconsistent: BTreeMap::new(),
            conflicts: 0,
        }
    }

    /// Returns the maximum size of a document's text in bytes.
    pub fn document_bytes_max(&self) -> usize {
        self.document_bytes_max
    }

    /// Changes the maximum size of a document's text. Versions that were rejected as too large may be requested again.
    pub fn set_document_bytes_max(&mut self, document_bytes_max: usize) {
        self.document_bytes_max = document_bytes_max;
        self.rejected.retain(|_, rejected| match rejected.reason {
            RejectionReason::TooLarge(bytes, _) => bytes > document_bytes_max,
            _ => true,
        });
    }

    /// Holds and activates a document from any source if it is newer than the held one and valid.
    pub fn apply(&mut self, document: Document, acceptor: &dyn Acceptor) -> ApplyOutcome {
        let held = self.version(&document.name);
        if document.version < held.max(self.inconsistent_version(&document.name))
            || document.version == Version::NONE
        {
            return ApplyOutcome::NotNewer;
        }
        if document.version == held {
            return self.check_conflict(&document);
        }
        if let Err(reason) = self.activate(&document, acceptor) {
            self.reject(document.name, document.version, reason.clone());
            return ApplyOutcome::Rejected(reason);
        }
        self.insert(document);
        ApplyOutcome::Accepted
    }

    fn activate(&self, document: &Document, acceptor: &dyn Acceptor) -> Result<(), RejectionReason> {
        self.check_bytes(document.text.len())?;
        let is_new_name = !self.entries.contains_key(&document.name);
        if is_new_name && self.entries.len() >= DOCUMENTS_MAX {
            return Err(RejectionReason::TooMany(DOCUMENTS_MAX));
        }
        Ok(acceptor.accept(document)?)
    }

    /// Checks the size of a document's text.
    ///
    /// # Errors
    ///
    /// [`RejectionReason::TooLarge`] if the text exceeds the maximum size.
    pub fn check_bytes(&self, bytes: usize) -> Result<(), RejectionReason> {
        if bytes > self.document_bytes_max {
            return Err(RejectionReason::TooLarge(bytes, self.document_bytes_max));
        }
        Ok(())
    }

    /// Records a version that is not activated, so that it is not requested again.
    pub fn reject(&mut self, name: DocumentName, version: Version, reason: RejectionReason) {
        let held = self.version(&name);
        let before = self.rejected.get(&name).filter(|rejected| rejected.version > held);
        if before.is_some_and(|before| before.version > version) {
            return;
        }
        let since = before.map_or_else(Instant::now, |before| before.since);
        self.rejected.insert(name, RejectedVersion { version, reason, since });
    }

    /// Activates a document whose parts may be from different moments, until a consistent one arrives.
    ///
    /// It is not held, compared or sent to other nodes, since their text of this version may differ. A
    /// consistent document replaces it unless it is older.
    pub fn apply_inconsistent(&mut self, document: &Document, acceptor: &dyn Acceptor) -> ApplyOutcome {
        if self.entries.contains_key(&document.name)
            || document.version <= self.inconsistent_version(&document.name)
        {
            return ApplyOutcome::NotNewer;
        }
        if let Err(error) = acceptor.accept(document) {
            return ApplyOutcome::Rejected(error.into());
        }
        self.inconsistent.insert(document.name.clone(), document.version);
        ApplyOutcome::Accepted
    }

    fn inconsistent_version(&self, name: &DocumentName) -> Version {
        self.inconsistent.get(name).copied().unwrap_or_default()
    }

    /// Returns the held version, or [`Version::NONE`].
    pub fn version(&self, name: &DocumentName) -> Version {
        self.entries.get(name).map(|entry| entry.current.version).unwrap_or_default()
    }

    /// Returns the held document.
    pub fn document(&self, name: &DocumentName) -> Option<&Document> {
        self.entries.get(name).map(|entry| &entry.current)
    }

    /// Returns all held versions.
    pub fn versions(&self) -> Vec<(DocumentName, Version)> {
        self.entries.iter().map(|(name, entry)| (name.clone(), entry.current.version)).collect()
    }

    /// Returns a hash of all held versions and texts.
    pub fn versions_hash(&self) -> u64 {
        let mut hash = Xxh3::new();
        for (name, entry) in &self.entries {
            hash.write(name.to_string().as_bytes());
            hash.write_u64(entry.current.version.era);
            hash.write_u64(entry.current.version.number);
            hash.write_u64(entry.checksum);
        }
        hash.finish()
    }

    /// Returns the rejected versions that are newer than the held ones.
    pub fn rejected(&self) -> impl Iterator<Item = (&DocumentName, &RejectedVersion)> {
        self.rejected.iter().filter(|(name, rejected)| rejected.version > self.version(name))
    }

    /// Number of applied documents that had a held version with another text.
    pub fn conflicts(&self) -> u64 {
        self.conflicts
    }

    /// Whether `version` is worth pulling: newer than the held one and not rejected before.
    pub fn wants(&self, name: &DocumentName, version: Version) -> bool {
        let rejected = self.rejected.get(name).map(|rejected| rejected.version).unwrap_or_default();
        version > self.version(name) && version >= self.inconsistent_version(name) && version != rejected
    }

    /// Returns what to pull from a node that holds the versions `theirs`.
    pub fn pull_items_for(&self, theirs: &[(DocumentName, Version)]) -> Vec<PullItem> {
        let wanted = theirs.iter().filter(|(name, version)| self.wants(name, *version));
        wanted.map(|(name, _)| self.pull_item(name)).collect()
    }

    /// Returns the held versions that are newer than `theirs`.
    pub fn newer_than(&self, theirs: &[(DocumentName, Version)]) -> Vec<(DocumentName, Version)> {
        let known = |name: &DocumentName| {
            let found = theirs.iter().find(|(n, _)| n == name);
            found.map(|(_, version)| *version).unwrap_or_default()
        };
        self.versions().into_iter().filter(|(name, version)| *version > known(name)).collect()
    }

    /// Packs a document for a node that holds the version in `item`, with a read age of 0; `None` if the
    /// document is not newer.
    ///
    /// Caches the packed text, since several partners with the same version usually pull at the same time.
    pub fn pack(&mut self, item: &PullItem) -> Option<Transfer> {
        let entry = self.entries.get_mut(&item.name)?;
        let current = &entry.current;
        if current.version <= item.known_version {
            return None;
        }
        let is_base =
            |old: &&Document| old.version == item.known_version && old.checksum() == item.known_checksum;
        let base = entry.older.iter().find(is_base);
        let base_version = base.map(|base| base.version).unwrap_or_default();
        let known = entry.packed.iter().find(|(version, _)| *version == base_version);
        let text = known.map(|(_, text)| text.clone()).unwrap_or_else(|| match base {
            Some(base) => TransferText::Delta(pack_delta(&base.text, &current.text)),
            None => TransferText::Whole(pack_whole(&current.text)),
        });
        if known.is_none() {
            entry.packed.push((base_version, text.clone()));
        }
        Some(Transfer {
            name: item.name.clone(),
            version: current.version,
            checksum: entry.checksum,
            text_bytes: current.text.len() as u32,
            read_age_ms: 0,
            text,
        })
    }

    /// Rebuilds a received document.
    ///
    /// # Errors
    ///
    /// [`DeltaError`] if the text cannot be rebuilt; the caller then requests the whole text.
    pub fn unpack(&self, transfer: &Transfer) -> Result<Document, DeltaError> {
        let text_bytes = (transfer.text_bytes as usize).min(self.document_bytes_max);
        let text = match &transfer.text {
            TransferText::Whole(packed) => unpack_whole(packed, text_bytes)?,
            TransferText::Delta(packed) => {
                let base = self.document(&transfer.name).map_or("", |document| &document.text);
                unpack_delta(base, packed, text_bytes)?
            }
        };
        let document = Document { name: transfer.name.clone(), version: transfer.version, text };
        if document.checksum() != transfer.checksum {
            return Err(DeltaError::Checksum);
        }
        Ok(document)
    }

    fn pull_item(&self, name: &DocumentName) -> PullItem {
        let entry = self.entries.get(name);
        PullItem {
            name: name.clone(),
            known_version: entry.map(|entry| entry.current.version).unwrap_or_default(),
            known_checksum: entry.map_or(0, |entry| entry.checksum),
        }
    }

    fn check_conflict(&mut self, document: &Document) -> ApplyOutcome {
        let is_same = self.document(&document.name).is_some_and(|held| held.text == document.text);
        if is_same {
            return ApplyOutcome::NotNewer;
        }
        self.conflicts += 1;
        ApplyOutcome::Conflict
    }

    fn insert(&mut self, document: Document) {
        let checksum = document.checksum();
        let name = document.name.clone();
        self.inconsistent.remove(&name);
        let Some(entry) = self.entries.get_mut(&name) else {
            self.entries.insert(
                name,
                Entry { current: document, checksum, older: VecDeque::new(), packed: Vec::new() },
            );
            return;
        };
        assert!(document.version > entry.current.version, "a document's version never decreases");
        let old = std::mem::replace(&mut entry.current, document);
        entry.checksum = checksum;
        entry.packed.clear();
        entry.older.push_back(old);
        entry.trim_history();
    }
}
