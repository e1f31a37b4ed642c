//! Fetching newer documents from other nodes, and giving them.

use super::{Origin, Spread};
use crate::{
    client::PeerError,
    message::{PeerAnswer, PeerRequest, PullItem, Transfer},
};
use laurelstall_config::document::{DocumentName, Version};
use std::{net::SocketAddr, pin::pin, sync::atomic::Ordering};
use tokio::time::{Duration, timeout};

/// Most documents in one pull.
const PULL_ITEMS_MAX: usize = 64;
/// How long a pull holds up others: longer than a document takes on a sound way, far below the second in which a
/// version is to be in force. Without it, nodes that had heard of a version from a reader that was then lost
/// took it 1.0 s after another one offered it, with it after 0.3 s (13 nodes, longest of 12 runs).
const PULL_TURN: Duration = Duration::from_millis(300);

impl Spread {
    /// Answers a pull.
    pub fn answer_pull(&self, items: &[PullItem]) -> PeerAnswer {
        let mut store = self.store();
        let packed = items.iter().take(PULL_ITEMS_MAX).filter_map(|item| store.pack(item));
        let transfers = packed.map(|transfer| {
            let read_age_ms = self.read_age_us(&transfer.name) / 1_000;
            Transfer { read_age_ms, ..transfer }
        });
        PeerAnswer::Documents(transfers.collect())
    }

    /// Pulls what is newer there. Pulls take turns, so offers of the same news cost nothing; one that takes
    /// longer than [`PULL_TURN`] goes on, but no longer holds up the next: its node may be lost.
    pub(super) async fn pull(
        &self,
        address: SocketAddr,
        theirs: &[(DocumentName, Version)],
    ) -> Result<(), PeerError> {
        let turn = self.pulling.lock().await;
        let items = self.store().behind(theirs);
        let mut pulled = pin!(self.pull_all(address, items));
        if let Ok(pulled) = timeout(PULL_TURN, pulled.as_mut()).await {
            return pulled;
        }
        drop(turn);
        pulled.await
    }

    async fn pull_all(&self, address: SocketAddr, mut items: Vec<PullItem>) -> Result<(), PeerError> {
        while !items.is_empty() {
            let rest = items.split_off(items.len().min(PULL_ITEMS_MAX));
            let again = self.pull_items(address, items).await?;
            if !again.is_empty() {
                self.pull_items(address, again).await?;
            }
            items = rest;
        }
        Ok(())
    }

    /// Pulls these; gives back those whose delta did not fit, to be asked for whole.
    async fn pull_items(
        &self,
        address: SocketAddr,
        items: Vec<PullItem>,
    ) -> Result<Vec<PullItem>, PeerError> {
        let answer = self.client.ask(address, &PeerRequest::Pull(items)).await?;
        let PeerAnswer::Documents(transfers) = answer else { return Err(PeerError::Unexpected) };
        let mut again = Vec::new();
        for transfer in transfers {
            let unpacked = self.store().unpack(&transfer);
            match unpacked {
                Ok(document) => {
                    let read_us =
                        self.clock.now_us().saturating_sub(transfer.read_age_ms.saturating_mul(1_000));
                    self.take_from(document, Origin { peer: Some(address), is_stale: false, read_us });
                }
                Err(error) => {
                    log::debug!("{} from {address}: {error}", transfer.name);
                    self.counts.deltas_failed.fetch_add(1, Ordering::Relaxed);
                    again.push(PullItem {
                        name: transfer.name,
                        known_version: Version::NONE,
                        known_checksum: 0,
                    });
                }
            }
        }
        Ok(again)
    }
}
