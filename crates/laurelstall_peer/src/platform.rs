//! The border to the platform's configuration service, which can only be read.

use futures_util::future::{BoxFuture, FutureExt};
use laurelstall_config::{
    document::{Document, DocumentName, Version},
    settings::PlatformSettings,
};
use quick_error::quick_error;
use std::fmt;

/// What the platform has.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listing {
    /// How often the platform had come back from an older copy: its sequence and the versions that it counts itself
    /// may have gone back each time.
    pub era: u64,
    /// Grows with each change; a watch waits for one above the last seen.
    pub sequence: u64,
    /// The newest version of each document.
    pub versions: Vec<(DocumentName, Version)>,
}

/// What the platform had some seconds ago, as far as a stale read tells.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StaleListing {
    /// How often the platform had come back from an older copy.
    pub era: u64,
    /// The version of each document.
    pub versions: Vec<(DocumentName, Version)>,
    /// Documents of these whose parts may be from different moments: no other node need have the same text
    /// under this version.
    pub mixed: Vec<DocumentName>,
}

quick_error! {
    /// A read that failed.
    #[derive(Debug)]
    pub enum PlatformError {
        /// The platform did not answer, or not well.
        Unreachable(message: String) {
            display("{message}")
        }
    }
}

/// A reader of the platform.
pub trait PlatformSource: Send + Sync + fmt::Debug {
    /// Waits for a listing with a sequence above `after`, or for the watch to end.
    fn watch(&self, after: Option<u64>) -> BoxFuture<'_, Result<Listing, PlatformError>>;

    /// Lists all once, at the least cost for the platform: what it tells may be seconds old, and parts of one document
    /// may be from different moments. None from a source that knows no such read.
    fn read_stale(&self) -> BoxFuture<'_, Result<Option<StaleListing>, PlatformError>> {
        async { Ok(None) }.boxed()
    }

    /// Told of the latest era of the platform that another node has read in, for sources whose answers may not say it.
    fn note_era(&self, _era: u64) {}

    /// Takes changed settings; a source that has none of them keeps what it was made with.
    fn set_settings(&self, _settings: &PlatformSettings) {}

    /// Reads one document.
    fn read(&self, name: DocumentName) -> BoxFuture<'_, Result<Document, PlatformError>>;
}
