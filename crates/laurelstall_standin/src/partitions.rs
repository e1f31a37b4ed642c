//! Simulates network partitions between data centres, behind the [`Link`] that nodes connect over.

use laurelstall_peer::link::Link;
use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::{
        Arc, PoisonError, RwLock,
        atomic::{AtomicBool, Ordering},
    },
};

/// The data centres that are partitioned from the others.
#[derive(Debug, Default)]
pub struct Partitions {
    data_centre_of: RwLock<HashMap<SocketAddr, String>>,
    partitioned: RwLock<HashSet<String>>,
    platform_flags: RwLock<HashMap<String, Arc<AtomicBool>>>,
}

impl Partitions {
    /// Partitions a data centre from the others and from the platform, or ends the partition.
    pub fn set_partitioned(&self, data_centre: &str, is_partitioned: bool) {
        let mut partitioned = self.partitioned.write().unwrap_or_else(PoisonError::into_inner);
        if is_partitioned {
            partitioned.insert(data_centre.to_owned());
        } else {
            partitioned.remove(data_centre);
        }
        self.platform_partition_flag(data_centre).store(is_partitioned, Ordering::Relaxed);
    }

    /// Returns the flag that is set while a data centre is partitioned from the platform.
    pub fn platform_partition_flag(&self, data_centre: &str) -> Arc<AtomicBool> {
        let mut flags = self.platform_flags.write().unwrap_or_else(PoisonError::into_inner);
        flags.entry(data_centre.to_owned()).or_default().clone()
    }

    /// Registers the data centre of the node with this peer address.
    pub fn set_data_centre(&self, address: SocketAddr, data_centre: &str) {
        let mut data_centres = self.data_centre_of.write().unwrap_or_else(PoisonError::into_inner);
        data_centres.insert(address, data_centre.to_owned());
    }
}

/// The network links of one host.
#[derive(Debug)]
pub struct HostLink {
    /// Data centre of the host.
    pub data_centre: String,
    /// The active network partitions.
    pub partitions: Arc<Partitions>,
}

impl Link for HostLink {
    fn is_partitioned(&self, other: SocketAddr) -> bool {
        let partitioned = self.partitions.partitioned.read().unwrap_or_else(PoisonError::into_inner);
        if partitioned.is_empty() {
            return false;
        }
        let data_centres = self.partitions.data_centre_of.read().unwrap_or_else(PoisonError::into_inner);
        let Some(other) = data_centres.get(&other) else { return false };
        *other != self.data_centre && (partitioned.contains(&self.data_centre) || partitioned.contains(other))
    }
}
