//! Model-checked specification of outcomes, tickets, quotas, the spreading of configuration and returns of the
//! platform from older copies.
//!
//! Each model is a small state with its possible steps, explored breadth first until no state is
//! new. A broken invariant is the goal of the search, so that a fault comes with its shortest
//! history. Each rule of the design can be left out: a search that then finds nothing would
//! prove nothing.

pub mod attempts;
pub mod quotas;
pub mod returns;
pub mod search;
pub mod spread;
pub mod tickets;

/// The types most callers need.
pub mod prelude {
    pub use crate::{
        attempts::AttemptModel,
        quotas::QuotaModel,
        returns::ReturnModel,
        search::{Found, Model, search},
        spread::SpreadModel,
        tickets::TicketModel,
    };
}
