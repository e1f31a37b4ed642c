//! Cuts of the network between data centres, behind the border that nodes connect over.

use laurelstall_peer::link::Link;
use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::{
        Arc, PoisonError, RwLock,
        atomic::{AtomicBool, Ordering},
    },
};

/// Which data centres are cut off from the others.
#[derive(Debug, Default)]
pub struct Cuts {
    data_centre_of: RwLock<HashMap<SocketAddr, String>>,
    cut: RwLock<HashSet<String>>,
    platform: RwLock<HashMap<String, Arc<AtomicBool>>>,
}

impl Cuts {
    /// Cuts a data centre off from the others and from the platform, or brings it back.
    pub fn set_cut(&self, data_centre: &str, is_cut: bool) {
        let mut cut = self.cut.write().unwrap_or_else(PoisonError::into_inner);
        if is_cut {
            cut.insert(data_centre.to_owned());
        } else {
            cut.remove(data_centre);
        }
        self.platform_flag(data_centre).store(is_cut, Ordering::Relaxed);
    }

    /// The flag that cuts a data centre's way to the platform.
    pub fn platform_flag(&self, data_centre: &str) -> Arc<AtomicBool> {
        let mut flags = self.platform.write().unwrap_or_else(PoisonError::into_inner);
        flags.entry(data_centre.to_owned()).or_default().clone()
    }

    /// Notes where a node stands.
    pub fn place(&self, address: SocketAddr, data_centre: &str) {
        let mut places = self.data_centre_of.write().unwrap_or_else(PoisonError::into_inner);
        places.insert(address, data_centre.to_owned());
    }
}

/// The network as one host sees it.
#[derive(Debug)]
pub struct HostLink {
    /// Its data centre.
    pub data_centre: String,
    /// What is cut.
    pub cuts: Arc<Cuts>,
}

impl Link for HostLink {
    fn is_cut(&self, other: SocketAddr) -> bool {
        let cut = self.cuts.cut.read().unwrap_or_else(PoisonError::into_inner);
        if cut.is_empty() {
            return false;
        }
        let places = self.cuts.data_centre_of.read().unwrap_or_else(PoisonError::into_inner);
        let Some(other) = places.get(&other) else { return false };
        *other != self.data_centre && (cut.contains(&self.data_centre) || cut.contains(other))
    }
}
