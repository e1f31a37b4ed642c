//! Exchanges the corrections that apply after the platform was restored from an older copy.
//!
//! Nodes that ran before the restore derive nearly the same corrections from the lists of hosts that they
//! received. Exchanges compare a hash of them, so that a node that starts later, or was partitioned,
//! receives what it lacks.

use super::Spread;
use crate::{
    carried_news::CarriedNews,
    client::PeerError,
    message::{PeerAnswer, PeerRequest},
};
use std::net::SocketAddr;

impl Spread {
    /// Merges another node's corrections and answers with this node's.
    pub fn answer_carried(&self, theirs: Option<&CarriedNews>) -> PeerAnswer {
        if let Some(theirs) = theirs {
            self.acceptor.take_carried(theirs);
        }
        PeerAnswer::Carried(self.acceptor.carried())
    }

    /// Exchanges corrections with a node unless `their_hash` shows that both have the same.
    pub(super) async fn exchange_corrections(
        &self,
        address: SocketAddr,
        their_hash: u64,
    ) -> Result<(), PeerError> {
        if their_hash == self.acceptor.carried_hash() {
            return Ok(());
        }
        let ours = self.acceptor.carried().map(CarriedNews::in_question);
        let request = PeerRequest::CompareCarried(ours);
        match self.client.ask(address, &request).await? {
            PeerAnswer::Carried(theirs) => {
                if let Some(theirs) = theirs {
                    self.acceptor.take_carried(&theirs);
                }
                Ok(())
            }
            _ => Err(PeerError::Unexpected),
        }
    }
}
