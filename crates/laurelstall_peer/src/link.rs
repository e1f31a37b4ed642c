//! Abstraction of the network between nodes, for fault injection in tests.

use std::{fmt, net::SocketAddr};
use tokio::time::Instant;

/// State of the network between this node and others.
pub trait Link: Send + Sync + fmt::Debug {
    /// Whether the network between this node and `other` is partitioned.
    ///
    /// A connection over a partitioned link accepts writes without delivering them, and is reset once the link
    /// works again.
    fn is_partitioned(&self, other: SocketAddr) -> bool;

    /// Whether a connection to `other` that was opened at this time went silent for good, while new ones work.
    ///
    /// A silent connection accepts writes without delivering them, receives nothing, and is never reset.
    fn is_silent(&self, _other: SocketAddr, _opened: Instant) -> bool {
        false
    }
}

/// A network without faults.
#[derive(Debug, Clone, Copy, Default)]
pub struct OpenLink;

impl Link for OpenLink {
    fn is_partitioned(&self, _: SocketAddr) -> bool {
        false
    }
}
