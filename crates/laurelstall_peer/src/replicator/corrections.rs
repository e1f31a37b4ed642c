//! Exchanges the corrections that apply after the platform was restored from an older copy.
//!
//! Nodes that ran before the restore derive nearly the same corrections from the lists of hosts that they
//! received. Exchanges compare a hash of them, so that a node that starts later, or was partitioned,
//! receives what it lacks.

use super::Replicator;
use crate::{
    client::PeerError,
    fleet_corrections::FleetCorrections,
    message::{PeerAnswer, PeerRequest},
};
use std::net::SocketAddr;

impl Replicator {
    /// Merges another node's corrections and answers with this node's.
    pub fn answer_corrections(&self, theirs: Option<&FleetCorrections>) -> PeerAnswer {
        if let Some(theirs) = theirs {
            self.acceptor.merge_corrections(theirs);
        }
        PeerAnswer::Corrections(self.acceptor.corrections())
    }

    /// Exchanges corrections with a node unless `their_hash` shows that both have the same.
    pub(super) async fn exchange_corrections(
        &self,
        address: SocketAddr,
        their_hash: u64,
    ) -> Result<(), PeerError> {
        if their_hash == self.acceptor.corrections_hash() {
            return Ok(());
        }
        let ours = self.acceptor.corrections().map(FleetCorrections::without_unlisted);
        let request = PeerRequest::CompareCorrections(ours);
        match self.client.request(address, &request).await? {
            PeerAnswer::Corrections(theirs) => {
                if let Some(theirs) = theirs {
                    self.acceptor.merge_corrections(&theirs);
                }
                Ok(())
            }
            _ => Err(PeerError::Unexpected),
        }
    }
}
