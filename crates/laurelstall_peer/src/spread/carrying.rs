//! Telling other nodes what is carried over a return of the platform from an older copy.
//!
//! Nodes that were there before the return carry nearly the same: each has it from the lists that it took. Exchanges
//! compare a hash of it, so a node that starts after the return, or that was cut off before it, gets the rest.

use super::Spread;
use crate::{
    carried_news::CarriedNews,
    client::PeerError,
    message::{PeerAnswer, PeerRequest},
};
use std::net::SocketAddr;

impl Spread {
    /// Answers a node that told what it carries with what is carried here.
    pub fn answer_carried(&self, theirs: Option<&CarriedNews>) -> PeerAnswer {
        if let Some(theirs) = theirs {
            self.acceptor.take_carried(theirs);
        }
        PeerAnswer::Carried(self.acceptor.carried())
    }

    /// Compares what both carry, if `their_hash` says that it differs.
    pub(super) async fn exchange_carried(
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
