//! Model-checked specifications of call outcomes, tickets, quotas, loans of retry tokens, the replication of configuration and
//! restores of the platform from older copies.
//!
//! Each model is a small state machine that is explored breadth first until no new state is reachable. A
//! violated invariant is the goal of the search, so a counterexample is always a shortest path. To show
//! that a model can detect faults, each rule of the design can be left out by a `Mutation`; the search
//! must then find a counterexample.

pub mod attempts;
pub mod quotas;
pub mod replication;
pub mod restores;
pub mod retry_loans;
pub mod search;
pub mod tickets;

/// The models and the search.
pub mod prelude {
    pub use crate::{
        attempts::AttemptModel,
        quotas::QuotaModel,
        replication::ReplicationModel,
        restores::RestoreModel,
        retry_loans::RetryLoanModel,
        search::{Model, SearchResult, search},
        tickets::TicketModel,
    };
}
