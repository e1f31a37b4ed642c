//! Pulls newer documents from other nodes, and answers their pulls.

use super::{Origin, Replicator};
use crate::{
    client::PeerError,
    message::{PeerAnswer, PeerRequest, PullItem, Transfer},
};
use laurelstall_config::document::{DocumentName, Version};
use std::{net::SocketAddr, pin::pin, sync::atomic::Ordering};
use tokio::time::{Duration, timeout};

/// Maximum number of documents in one pull.
const PULL_ITEMS_MAX: usize = 64;
/// Time for which a pull blocks the next one: longer than a transfer takes on a working connection, and short
/// enough that a lost node does not delay a pull from another one. Without this limit, nodes that had been
/// offered a version by a reader that was then lost took it only 1.0 s after another node offered it, and
/// with it after 0.3 s.
const PULL_LOCK_MAX: Duration = Duration::from_millis(300);

impl Replicator {
    /// Answers a pull with the requested documents that are newer here.
    pub fn answer_pull(&self, items: &[PullItem]) -> PeerAnswer {
        let mut store = self.store();
        let packed = items.iter().take(PULL_ITEMS_MAX).filter_map(|item| store.pack(item));
        let transfers = packed.map(|transfer| {
            let read_age_ms = self.read_age_us(&transfer.name) / 1_000;
            Transfer { read_age_ms, ..transfer }
        });
        PeerAnswer::Documents(transfers.collect())
    }

    /// Pulls the documents that are newer at `address`. Pulls run one after the other, so that concurrent
    /// offers of a version cause one transfer. A pull that exceeds [`PULL_LOCK_MAX`] continues without blocking
    /// the next.
    pub(super) async fn pull(
        &self,
        address: SocketAddr,
        theirs: &[(DocumentName, Version)],
    ) -> Result<(), PeerError> {
        let lock = self.pull_lock.lock().await;
        let items = self.store().pull_items_for(theirs);
        let mut pulled = pin!(self.pull_all(address, items));
        if let Ok(pulled) = timeout(PULL_LOCK_MAX, pulled.as_mut()).await {
            return pulled;
        }
        drop(lock);
        pulled.await
    }

    async fn pull_all(&self, address: SocketAddr, mut items: Vec<PullItem>) -> Result<(), PeerError> {
        while !items.is_empty() {
            let rest = items.split_off(items.len().min(PULL_ITEMS_MAX));
            let failed = self.pull_items(address, items).await?;
            if !failed.is_empty() {
                self.pull_items(address, failed).await?;
            }
            items = rest;
        }
        Ok(())
    }

    /// Pulls documents; returns those whose delta could not be applied, to be requested as whole texts.
    async fn pull_items(
        &self,
        address: SocketAddr,
        items: Vec<PullItem>,
    ) -> Result<Vec<PullItem>, PeerError> {
        let answer = self.client.request(address, &PeerRequest::Pull(items)).await?;
        let PeerAnswer::Documents(transfers) = answer else { return Err(PeerError::Unexpected) };
        let mut failed = Vec::new();
        for transfer in transfers {
            let unpacked = self.store().unpack(&transfer);
            match unpacked {
                Ok(document) => {
                    let read_us =
                        self.clock.now_us().saturating_sub(transfer.read_age_ms.saturating_mul(1_000));
                    self.apply_from(document, Origin { peer: Some(address), is_stale: false, read_us });
                }
                Err(error) => {
                    log::debug!("{} from {address} could not be rebuilt: {error}", transfer.name);
                    self.counts.deltas_failed.fetch_add(1, Ordering::Relaxed);
                    failed.push(PullItem {
                        name: transfer.name,
                        known_version: Version::NONE,
                        known_checksum: 0,
                    });
                }
            }
        }
        Ok(failed)
    }
}
