//! Communication between nodes: attempts at calls, probes, tickets and replication of the configuration, as
//! `bincode` messages on `h2` streams.

mod answer_body;
pub mod attempt;
mod awaited_answer;
pub mod body;
pub mod client;
pub mod control_kind;
pub mod crash_registry;
pub mod delta;
pub mod fleet_corrections;
pub mod fleet_corrector;
pub mod frame;
pub mod gauge;
pub mod lingering_stream;
pub mod link;
mod liveness;
pub mod message;
pub mod meter;
pub mod partner_backoff;
pub mod partners;
pub mod platform;
pub mod pool;
pub mod read_span;
pub mod rejection;
pub mod replication_state;
pub mod replicator;
pub mod server;
pub mod store;
mod suspicion;

/// The most commonly used types.
pub mod prelude {
    pub use crate::{
        attempt::{Admission, Attempt, AttemptAnswer, AttemptBody, AttemptHandler, AttemptOutcome},
        body::{BodyError, BoxedBody},
        client::{PeerClient, PeerError},
        link::{Link, OpenLink},
        message::{AttemptHead, PeerAnswer, PeerRequest, TicketsRequest, WireHint},
        meter::Meter,
        platform::{Listing, PlatformError, PlatformSource},
        replicator::{Replicator, ReplicatorOptions},
        server::{PeerHandler, PeerServer},
        store::{Acceptor, ApplyOutcome, DocumentStore},
    };
}
