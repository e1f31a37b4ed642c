//! Pulls newer documents from other nodes, and answers their pulls.

use super::{Origin, Replicator};
use crate::{
    client::PeerError,
    frame::{DOCUMENTS_ANSWER_BYTES, transfer_bytes_max},
    message::{PeerAnswer, PullItem, Transfer},
    rejection::RejectionReason,
};
use laurelstall_config::document::{DocumentName, Version};
use std::{collections::HashSet, net::SocketAddr, pin::pin, sync::atomic::Ordering};
use tokio::time::{Duration, timeout};

/// Maximum number of documents in one pull.
const PULL_ITEMS_MAX: usize = 64;
/// Time for which a pull blocks the next one: longer than a transfer takes on a working connection, and short
/// enough that a lost node does not delay a pull from another one. Without this limit, nodes that had been
/// offered a version by a reader that was then lost took it only 1.0 s after another node offered it, and
/// with it after 0.3 s.
const PULL_LOCK_MAX: Duration = Duration::from_millis(300);

/// Time without data from a node after which a pull from it is repeated over a new connection.
const PULL_SILENCE_MAX: Duration = Duration::from_millis(200);

impl Replicator {
    /// Answers a pull with the requested documents that are newer here.
    pub fn answer_pull(&self, items: &[PullItem]) -> PeerAnswer {
        let mut store = self.store();
        let mut transfers = Vec::new();
        let mut bytes = 0;
        for item in items.iter().take(PULL_ITEMS_MAX) {
            if bytes >= DOCUMENTS_ANSWER_BYTES {
                break;
            }
            let Some(transfer) = store.pack(item) else { continue };
            bytes += transfer.text.packed().len();
            let read_age_ms = self.read_age_us(&transfer.name) / 1_000;
            transfers.push(Transfer { read_age_ms, ..transfer });
        }
        PeerAnswer::Documents(transfers)
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

    /// Pulls documents, and those whose delta could not be applied once more as whole texts.
    async fn pull_all(&self, address: SocketAddr, items: Vec<PullItem>) -> Result<(), PeerError> {
        let failed = self.pull_items(address, items).await?;
        self.pull_items(address, failed).await?;
        Ok(())
    }

    /// Pulls documents; returns those that could not be rebuilt, to be requested as whole texts.
    ///
    /// An answer may lack documents that make it too long. They are requested again, as long as each answer has some.
    async fn pull_items(
        &self,
        address: SocketAddr,
        mut items: Vec<PullItem>,
    ) -> Result<Vec<PullItem>, PeerError> {
        let mut failed = Vec::new();
        while !items.is_empty() {
            let requested = items.len().min(PULL_ITEMS_MAX);
            let bytes_max = transfer_bytes_max(self.store().document_bytes_max());
            let transfers = self.request_documents(address, &items[..requested], bytes_max).await?;
            let received = transfers.iter().map(|transfer| transfer.name.clone()).collect::<HashSet<_>>();
            failed
                .extend(transfers.into_iter().filter_map(|transfer| self.apply_transfer(address, transfer)));
            let count = items.len();
            items.retain(|item| !received.contains(&item.name));
            if items.len() == count {
                items.drain(..requested);
            }
        }
        Ok(failed)
    }

    /// Requests documents, once more over a new connection if the old one is silent: it may be the first request on it
    /// since it went silent, although the other node's connection to this one works.
    async fn request_documents(
        &self,
        address: SocketAddr,
        items: &[PullItem],
        bytes_max: usize,
    ) -> Result<Vec<Transfer>, PeerError> {
        let mut requested = pin!(self.client.pull(address, items, bytes_max));
        if let Ok(transfers) = timeout(PULL_SILENCE_MAX, requested.as_mut()).await {
            return transfers;
        }
        if self.client.pool().renew(address, PULL_SILENCE_MAX).await {
            return self.client.pull(address, items, bytes_max).await;
        }
        requested.await
    }

    /// Applies a received document. Returns the document if it could not be rebuilt, to be requested as a whole text.
    fn apply_transfer(&self, address: SocketAddr, transfer: Transfer) -> Option<PullItem> {
        let checked = self.store().check_bytes(transfer.text_bytes as usize);
        if let Err(reason) = checked {
            self.reject(transfer.name, transfer.version, reason);
            return None;
        }
        let unpacked = self.store().unpack(&transfer);
        match unpacked {
            Ok(document) => {
                let read_us = self.clock.now_us().saturating_sub(transfer.read_age_ms.saturating_mul(1_000));
                self.apply_from(document, Origin { peer: Some(address), is_stale: false, read_us });
                None
            }
            Err(error) => {
                log::debug!("{} from {address} could not be rebuilt: {error}", transfer.name);
                self.counts.deltas_failed.fetch_add(1, Ordering::Relaxed);
                Some(PullItem { name: transfer.name, known_version: Version::NONE, known_checksum: 0 })
            }
        }
    }

    fn reject(&self, name: DocumentName, version: Version, reason: RejectionReason) {
        self.counts.rejected.fetch_add(1, Ordering::Relaxed);
        log::error!("{name} version {version} is rejected, the active version stays: {reason}");
        self.store().reject(name, version, reason);
    }
}
