//! The border to the network between nodes, where tests bring about its failures.

use std::{fmt, net::SocketAddr};

/// What a connection asks of the network.
pub trait Link: Send + Sync + fmt::Debug {
    /// Whether nothing passes between this node and `other` now.
    ///
    /// A connection over a cut link takes what is written and delivers nothing; once the link is
    /// back, it turns out to be broken.
    fn is_cut(&self, other: SocketAddr) -> bool;
}

/// The network as it is.
#[derive(Debug, Clone, Copy, Default)]
pub struct OpenLink;

impl Link for OpenLink {
    fn is_cut(&self, _: SocketAddr) -> bool {
        false
    }
}
