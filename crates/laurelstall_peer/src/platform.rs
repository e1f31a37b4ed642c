//! Read-only interface to the platform's configuration service.

use futures_util::future::{BoxFuture, FutureExt};
use laurelstall_config::{
    document::{Document, DocumentName, Version},
    settings::PlatformSettings,
};
use quick_error::quick_error;
use std::fmt;

/// The document versions that the platform holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listing {
    /// How often the platform was restored from an older copy. Each restore may decrease the sequence and
    /// those versions that the platform assigns.
    pub era: u64,
    /// Increases with each change; a watch waits for a greater one than the last.
    pub sequence: u64,
    /// The newest version of each document.
    pub versions: Vec<(DocumentName, Version)>,
}

/// Document versions of a stale read, some seconds old.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StaleListing {
    /// How often the platform was restored from an older copy.
    pub era: u64,
    /// The version of each document.
    pub versions: Vec<(DocumentName, Version)>,
    /// Those documents whose parts may be from different moments. The text of other nodes for the same
    /// version may differ.
    pub inconsistent: Vec<DocumentName>,
}

quick_error! {
    /// A failed read of the platform.
    #[derive(Debug)]
    pub enum PlatformError {
        /// The platform did not answer, answered with an error or unreadably, or has not been read yet.
        ReadFailed(message: String) {
            display("{message}")
        }
        /// The answer exceeds the maximum size.
        AnswerTooLarge(bytes_max: usize) {
            display("the answer exceeds {bytes_max} bytes")
        }
    }
}

/// Reads documents from the platform.
pub trait PlatformSource: Send + Sync + fmt::Debug {
    /// Waits until the sequence exceeds `after`, or until the watch times out.
    fn watch(&self, after: Option<u64>) -> BoxFuture<'_, Result<Listing, PlatformError>>;

    /// Lists all documents once, at the lowest cost for the platform. The result may be seconds old, and
    /// parts of a document may be from different moments. Returns `None` if the source does not support
    /// such reads.
    fn read_stale(&self) -> BoxFuture<'_, Result<Option<StaleListing>, PlatformError>> {
        async { Ok(None) }.boxed()
    }

    /// Number of values that should be documents and cannot be read at all, as of the last read.
    fn unreadable_documents(&self) -> u64 {
        0
    }

    /// Called with the latest known era of the platform, for sources whose answers may lack it.
    fn note_era(&self, _era: u64) {}

    /// Applies changed settings. A source without settings ignores them.
    fn set_settings(&self, _settings: &PlatformSettings) {}

    /// Reads one document.
    fn read(&self, name: DocumentName) -> BoxFuture<'_, Result<Document, PlatformError>>;
}
