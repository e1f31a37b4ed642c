//! Admission control of one target: which requests reach it, when, and how many at once.
//!
//! Every request to a target goes through its guard, which therefore knows exactly what runs there. It admits
//! a call, queues it for a bounded time, hands it back to its entry, or refuses it. Until it admits a call,
//! no byte of it has reached the target, so a refusal proves that the call did not run.

pub mod ask;
pub mod clock;
pub mod cold_bound;
pub mod guard;
pub mod guard_limits;
pub mod guard_load;
pub mod ledger;
pub mod limit_search;
pub mod pace;
pub mod phase_times;
pub mod refusal;
pub mod sharer_loads;
pub mod start_decision;
pub mod suspension;
pub mod target_identity;
pub mod ticket;
pub mod wait_queue;

/// The types that most users of this crate need.
pub mod prelude {
    pub use crate::{
        ask::{Ask, Rank, Sharer},
        clock::Clock,
        guard::{Guard, Permit},
        guard_limits::GuardLimits,
        guard_load::GuardLoad,
        ledger::{Begin, KeptAnswer, Ledger},
        limit_search::AdaptiveLimit,
        refusal::{Refusal, RefusalReason},
        ticket::{Ticket, TicketError},
    };
}
