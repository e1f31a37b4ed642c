//! Admission control of one target: which requests reach it, when, and how many at once.
//!
//! Every request to a target goes through its guard, which therefore knows exactly what runs there. It admits
//! a call, queues it for a bounded time, hands it back to its entry, or refuses it. Until it admits a call,
//! no byte of it has reached the target, so a refusal proves that the call did not run.

pub mod adaptive_limit;
pub mod admission_request;
pub mod clock;
pub mod cold_start_limiter;
pub mod guard;
pub mod guard_limits;
pub mod guard_load;
pub mod ledger;
pub mod phase_times;
pub mod refusal;
pub mod refusal_causes;
pub mod running_counts;
pub mod shed_recovery;
pub mod slot_forecast;
pub mod start_decision;
pub mod stated_rate_limiter;
pub mod suspension;
pub mod target_identity;
pub mod target_speed;
pub mod ticket;
pub mod wait_queue;
pub mod workspace_loads;

/// The types that most users of this crate need.
pub mod prelude {
    pub use crate::{
        adaptive_limit::AdaptiveLimit,
        admission_request::{AdmissionRequest, Rank, WorkspaceShare},
        clock::Clock,
        guard::{Guard, Permit},
        guard_limits::GuardLimits,
        guard_load::GuardLoad,
        ledger::{KeptAnswer, Ledger, TicketUse},
        refusal::{Refusal, RefusalReason},
        ticket::{Ticket, TicketError},
    };
}
