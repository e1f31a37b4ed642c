//! Elects substitutes for readers that are lost.
//!
//! The list of hosts determines the readers of a data centre, but it lags by seconds when a reader loses
//! power or is refused by the platform. The next few hosts in the reader order are standbys: each checks
//! whether the hosts before it can read, and reads the platform while too few can.

use super::Replicator;
use crate::{
    client::PeerError,
    message::{PeerAnswer, PeerRequest},
    partners::preceding_hosts,
};
use futures_util::future::join_all;
use std::{
    collections::HashSet,
    net::SocketAddr,
    sync::{PoisonError, atomic::Ordering},
};
use tokio::time::{Duration, sleep, timeout};

/// Number of standbys in each data centre. Losing half of the fleet rarely hits all readers and standbys.
/// With two readers, three standbys are all other hosts of a data centre of five. In three data centres, a
/// loss of more than half of the fleet hits all readers and standbys with a probability below 1 %.
const STANDBYS: usize = 3;
/// Mean pause between two rounds of checks, in ms. Keeps the traffic of a standby at about half of its
/// control budget. With four hosts ahead of it, a round costs about 1.2 KB, and the budget is 6 KB/s.
const CHECK_INTERVAL_MS: u64 = 400;
/// Time to wait for an answer; a host that misses two in a row counts as lost.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);

/// Whether a node reads the platform, and why.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReaderRole {
    /// It is a regular reader by the list of hosts.
    Reader,
    /// It is a standby, and too few of the hosts before it can read.
    Substitute,
    /// It does not read.
    None,
}

impl Replicator {
    /// Returns this node's role.
    pub(super) fn reader_role(&self) -> ReaderRole {
        let fleet = self.view.fleet();
        if fleet.hosts.is_empty() {
            return if self.is_bootstrap_reader() { ReaderRole::Reader } else { ReaderRole::None };
        }
        let count = self.view.replication_settings().readers_per_data_centre;
        let Some(preceding) = self.preceding_addresses() else { return ReaderRole::None };
        if preceding.len() < count {
            return ReaderRole::Reader;
        }
        let failed = self.failed_readers.lock().unwrap_or_else(PoisonError::into_inner);
        let working = preceding.iter().filter(|address| !failed.contains(*address)).count();
        if working < count { ReaderRole::Substitute } else { ReaderRole::None }
    }

    /// Whether another node precedes this one in the reader order and can read, as far as known.
    pub(super) fn has_working_predecessor(&self) -> bool {
        let preceding = self.preceding_addresses().unwrap_or_default();
        let failed = self.failed_readers.lock().unwrap_or_else(PoisonError::into_inner);
        preceding.iter().any(|address| !failed.contains(address))
    }

    /// Whether this node's last read of the platform, if any, succeeded.
    pub(super) fn can_read(&self) -> bool {
        !self.is_read_failing.load(Ordering::Relaxed)
    }

    /// Checks whether the hosts before this one can read, while this node is a standby.
    pub(super) async fn standby_loop(&self) {
        loop {
            sleep(self.jittered(CHECK_INTERVAL_MS)).await;
            let count = self.view.replication_settings().readers_per_data_centre;
            let preceding = self.preceding_addresses().unwrap_or_default();
            let is_standby = (count..count + STANDBYS).contains(&preceding.len());
            let checked = if is_standby { preceding } else { Vec::new() };
            let answers = join_all(checked.iter().map(|address| self.check_can_read(*address))).await;
            let failed = checked.into_iter().zip(answers).filter(|(_, can_read)| !can_read);
            self.set_failed_readers(failed.map(|(address, _)| address).collect());
        }
    }

    fn set_failed_readers(&self, failed: HashSet<SocketAddr>) {
        let before = self.reader_role();
        *self.failed_readers.lock().unwrap_or_else(PoisonError::into_inner) = failed;
        let after = self.reader_role();
        if before == after {
            return;
        }
        match after {
            ReaderRole::Substitute => {
                log::info!("platform: this node reads it as a substitute, since too few readers can")
            }
            _ => log::info!("platform: this node is no substitute reader any more"),
        }
        self.role_changed.notify_one();
    }

    /// Whether a host reports that it can read the platform; two missing answers count as no.
    async fn check_can_read(&self, address: SocketAddr) -> bool {
        for _ in 0..2 {
            if let Ok(can_read) = self.request_can_read(address).await {
                return can_read;
            }
        }
        false
    }

    async fn request_can_read(&self, address: SocketAddr) -> Result<bool, PeerError> {
        let answered = timeout(ANSWER_TIMEOUT, self.client.request(address, &PeerRequest::CanRead)).await;
        match answered.unwrap_or(Err(PeerError::TimedOut))? {
            PeerAnswer::CanRead(can_read) => Ok(can_read),
            _ => Err(PeerError::Unexpected),
        }
    }

    /// Addresses of the nodes before this one in the reader order of its data centre; `None` if its own
    /// host is not listed.
    fn preceding_addresses(&self) -> Option<Vec<SocketAddr>> {
        let fleet = self.view.fleet();
        fleet.host(&self.options.host)?;
        let preceding = preceding_hosts(&fleet, &self.options.host, &self.options.data_centre);
        Some(preceding.into_iter().map(|host| host.node_address).collect())
    }
}
