//! Versions of documents that a node has received and does not activate.

use laurelstall_config::{document::Version, problem::ConfigError};
use quick_error::quick_error;
use tokio::time::Instant;

quick_error! {
    /// Why a version of a document is not activated.
    #[derive(Debug, Clone)]
    pub enum RejectionReason {
        /// The document has these problems.
        Invalid(error: ConfigError) {
            display("{error}")
            from()
        }
        /// The text exceeds the maximum size of a document.
        TooLarge(bytes: usize, bytes_max: usize) {
            display("its text of {bytes} bytes exceeds the maximum of {bytes_max} bytes")
        }
        /// The node holds the maximum number of documents, and this is a new one.
        TooMany(documents_max: usize) {
            display("the maximum of {documents_max} documents is reached")
        }
    }
}

/// The newest version of a document that a node does not activate.
#[derive(Debug, Clone)]
pub struct RejectedVersion {
    /// The version.
    pub version: Version,
    /// Why it is not activated.
    pub reason: RejectionReason,
    /// Since when the node has not activated the newest version that it knows of this document.
    pub since: Instant,
}

impl RejectedVersion {
    /// Returns the time since which the node lacks the newest version that it knows, in ms.
    pub fn age_ms(&self) -> u64 {
        self.since.elapsed().as_millis() as u64
    }
}
