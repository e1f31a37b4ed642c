//! The documents that a node holds, the newest accepted version of each.

use crate::{
    carried_news::CarriedNews,
    delta::{DeltaError, pack_delta, pack_whole, unpack_delta, unpack_whole},
    message::{PullItem, Transfer, TransferText},
};
use laurelstall_config::{
    document::{DOCUMENT_BYTES_MAX, DOCUMENTS_MAX, Document, DocumentName, Version},
    problem::ConfigError,
};
use std::{
    collections::{BTreeMap, VecDeque},
    fmt,
    hash::Hasher,
};
use xxhash_rust::xxh3::Xxh3;

/// Older versions kept of each document, to make deltas against.
pub const HISTORY_LENGTH: usize = 4;

/// Whoever checks a document and puts it in force.
pub trait Acceptor: Send + Sync + fmt::Debug {
    /// Checks `document` whole and, if it is right, swaps it in.
    ///
    /// # Errors
    ///
    /// All its faults; nothing has changed then.
    fn accept(&self, document: &Document) -> Result<(), ConfigError>;

    /// Told that the platform is back since `returned_age_ms`, after it was away so long that registrations may have
    /// run out there: what is missing from its next lists may live all the same.
    fn expect_lapsed(&self, _returned_age_ms: u64) {}

    /// A hash of what is carried over the last return of the platform from an older copy; 0 for nothing.
    fn carried_hash(&self) -> u64 {
        0
    }

    /// What is carried over the last return of the platform, for other nodes.
    fn carried(&self) -> Option<CarriedNews> {
        None
    }

    /// Takes what another node carries over the last return of the platform.
    fn take_carried(&self, _news: &CarriedNews) {}

    /// Told how long after a node read it from the platform a document came in force here, in µs.
    fn note_delay(&self, _delay_us: u64) {}
}

/// What became of a document that was offered.
#[derive(Debug, Clone)]
pub enum Offer {
    /// It is in force now.
    Taken,
    /// The version held is as new or newer.
    NotNewer,
    /// The same version came with another text; the one held stays.
    Conflict,
    /// It has faults; the one held stays.
    Refused(ConfigError),
    /// It is too long, or there are too many.
    TooLarge,
}

#[derive(Debug)]
struct Entry {
    current: Document,
    checksum: u64,
    older: VecDeque<Document>,
    /// What was packed of the current version, by the version that its receivers had; none for the whole text.
    packed: Vec<(Version, TransferText)>,
}

/// Documents by name; versions only grow.
#[derive(Debug, Default)]
pub struct Store {
    entries: BTreeMap<DocumentName, Entry>,
    refused: BTreeMap<DocumentName, Version>,
    /// Versions of documents that are in force but not held; see [`Store::offer_mixed`].
    mixed: BTreeMap<DocumentName, Version>,
    conflicts: u64,
}

impl Store {
    /// Offers a document, from wherever it came.
    pub fn offer(&mut self, document: Document, acceptor: &dyn Acceptor) -> Offer {
        let held = self.version(&document.name);
        if document.version < held.max(self.mixed_version(&document.name))
            || document.version == Version::NONE
        {
            return Offer::NotNewer;
        }
        if document.version == held {
            return self.compare(&document);
        }
        let is_new_name = !self.entries.contains_key(&document.name);
        if document.text.len() > DOCUMENT_BYTES_MAX || (is_new_name && self.entries.len() >= DOCUMENTS_MAX) {
            return Offer::TooLarge;
        }
        if let Err(error) = acceptor.accept(&document) {
            let refused = self.refused.entry(document.name).or_default();
            *refused = document.version.max(*refused);
            return Offer::Refused(error);
        }
        self.put(document);
        Offer::Taken
    }

    /// Puts a document in force whose parts may be from different moments, until a whole one is there.
    ///
    /// It is not held: its text may differ from what other nodes have under this version, so it is neither
    /// compared nor given to them. A whole one replaces it unless it is older.
    pub fn offer_mixed(&mut self, document: &Document, acceptor: &dyn Acceptor) -> Offer {
        if self.entries.contains_key(&document.name) || document.version <= self.mixed_version(&document.name)
        {
            return Offer::NotNewer;
        }
        if let Err(error) = acceptor.accept(document) {
            return Offer::Refused(error);
        }
        self.mixed.insert(document.name.clone(), document.version);
        Offer::Taken
    }

    fn mixed_version(&self, name: &DocumentName) -> Version {
        self.mixed.get(name).copied().unwrap_or_default()
    }

    /// The version held; [`Version::NONE`] for none.
    pub fn version(&self, name: &DocumentName) -> Version {
        self.entries.get(name).map(|entry| entry.current.version).unwrap_or_default()
    }

    /// The document held.
    pub fn document(&self, name: &DocumentName) -> Option<&Document> {
        self.entries.get(name).map(|entry| &entry.current)
    }

    /// All versions held.
    pub fn versions(&self) -> Vec<(DocumentName, Version)> {
        self.entries.iter().map(|(name, entry)| (name.clone(), entry.current.version)).collect()
    }

    /// A hash of all versions held.
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

    /// Versions that were refused and not replaced since.
    pub fn refused(&self) -> impl Iterator<Item = (&DocumentName, Version)> {
        let newer = |(name, version): &(&DocumentName, Version)| *version > self.version(name);
        self.refused.iter().map(|(name, version)| (name, *version)).filter(newer)
    }

    /// Offers that had a held version with another text.
    pub fn conflicts(&self) -> u64 {
        self.conflicts
    }

    /// Whether `version` is worth fetching: newer than what is held and not refused before.
    pub fn wants(&self, name: &DocumentName, version: Version) -> bool {
        let refused = self.refused.get(name).copied().unwrap_or_default();
        version > self.version(name) && version >= self.mixed_version(name) && version != refused
    }

    /// What to pull from somebody who has these versions.
    pub fn behind(&self, theirs: &[(DocumentName, Version)]) -> Vec<PullItem> {
        let wanted = theirs.iter().filter(|(name, version)| self.wants(name, *version));
        wanted.map(|(name, _)| self.pull_item(name)).collect()
    }

    /// The versions held that are newer than `theirs`.
    pub fn ahead(&self, theirs: &[(DocumentName, Version)]) -> Vec<(DocumentName, Version)> {
        let known = |name: &DocumentName| {
            let found = theirs.iter().find(|(n, _)| n == name);
            found.map(|(_, version)| *version).unwrap_or_default()
        };
        self.versions().into_iter().filter(|(name, version)| *version > known(name)).collect()
    }

    /// Packs a document for somebody who has what `item` says, without its age; none when it is not newer.
    ///
    /// A node is asked by its partners within some ms of each other, most of which have the same version: the text is
    /// packed once for all of them.
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

    /// Rebuilds a document that was sent.
    ///
    /// # Errors
    ///
    /// [`DeltaError`]: the sender must then be asked for the whole text.
    pub fn unpack(&self, transfer: &Transfer) -> Result<Document, DeltaError> {
        let text_bytes = (transfer.text_bytes as usize).min(DOCUMENT_BYTES_MAX);
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

    fn compare(&mut self, document: &Document) -> Offer {
        let is_same = self.document(&document.name).is_some_and(|held| held.text == document.text);
        if is_same {
            return Offer::NotNewer;
        }
        self.conflicts += 1;
        Offer::Conflict
    }

    fn put(&mut self, document: Document) {
        let checksum = document.checksum();
        let name = document.name.clone();
        self.mixed.remove(&name);
        let Some(entry) = self.entries.get_mut(&name) else {
            self.entries.insert(
                name,
                Entry { current: document, checksum, older: VecDeque::new(), packed: Vec::new() },
            );
            return;
        };
        assert!(document.version > entry.current.version, "a configuration never goes back");
        let old = std::mem::replace(&mut entry.current, document);
        entry.checksum = checksum;
        entry.packed.clear();
        entry.older.push_back(old);
        if entry.older.len() > HISTORY_LENGTH {
            entry.older.pop_front();
        }
    }
}
