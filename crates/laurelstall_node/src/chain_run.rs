//! Identifies a run at the local target whose calls are learned from.

use laurelstall_balance::class_times::CallClass;
use laurelstall_chains::chain_table::RunId;

/// A run at the local target whose calls are learned from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChainRun {
    /// Class of the run.
    pub class: CallClass,
    /// Number of the run.
    pub id: RunId,
}
