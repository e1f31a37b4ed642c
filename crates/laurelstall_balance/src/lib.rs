//! Decisions of an entry node, the node that receives a call: which target the call goes to, whether it may be
//! retried, hedged or rerouted, and how much traffic may be spent on probing targets.
//!
//! The types hold plain data and have no locks of their own. Time is passed in as µs of a monotonic clock, so tests
//! and simulations need no real time.

pub mod attempt_budget;
pub mod baseline;
pub mod chooser;
pub mod class_times;
pub mod ejection;
pub mod fading;
mod grant_counts;
pub mod half_open;
pub mod hint;
pub mod importance_tracker;
pub mod least_cost;
pub mod leaving_targets;
pub mod lender_rotation;
pub mod observe_budget;
pub mod recent_count;
pub mod service_balancer;
pub mod shared_retry_budget;
pub mod spillover;
pub mod target_view;
pub mod typical_budgets;

/// The most commonly used types.
pub mod prelude {
    pub use crate::{
        attempt_budget::AttemptBudget,
        chooser::{Candidate, Choice, Chooser, Reason},
        hint::{Hint, TargetState},
        least_cost::LeastCost,
        observe_budget::{ObserveBudget, ObserveCost},
        service_balancer::{AttemptResult, ChoiceRequest, ServiceBalancer},
        target_view::TargetView,
    };
}
