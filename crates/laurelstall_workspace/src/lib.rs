//! Keys and quotas of workspaces.
//!
//! A caller's key identifies its workspace. A quota limits the call rate of a workspace over all nodes together: it is
//! split into a few shares, each share has one owner among the nodes, and a node requests a token from an owner before
//! it admits a call. Owners are not elected: each node finds them by rendezvous hashing over the list of hosts, and a
//! node stops granting tokens when another one may own the share (`docs/design/quotas.md`).
//!
//! Nothing in this crate reads a clock, a socket or a random number; users pass in events and times.

pub mod key_directory;
pub mod owned_shares;
pub mod quota_split;
pub mod share_owner_list;
pub mod share_ownership;
pub mod token_bucket;

/// The most commonly used types.
pub mod prelude {
    pub use crate::{
        key_directory::{KeyDirectory, KeyLookup},
        owned_shares::{Grant, OwnedShares, ShareKey},
        quota_split::QuotaSplit,
        share_owner_list::{ShareOwner, ShareOwnerList},
        share_ownership::{ShareOwnership, owner_of},
        token_bucket::TokenBucket,
    };
}
