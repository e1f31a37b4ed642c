//! The entry's decisions: which target a call goes to, whether it may be tried again or hedged,
//! and how much may be spent on observing targets.
//!
//! Everything here is plain data under a caller's lock; time is passed in as µs of a monotonic
//! clock, so that tests and long random runs need no real time.

pub mod baseline;
pub mod chooser;
pub mod class_times;
pub mod ejection;
pub mod foremost_calls;
pub mod hint;
pub mod least_wait;
pub mod observe_budget;
pub mod recent_count;
pub mod service_balancer;
pub mod share_budget;
pub mod spill;
pub mod target_view;
pub mod usual_budgets;

/// The types most callers need.
pub mod prelude {
    pub use crate::{
        chooser::{Candidate, Choice, Chooser, Reason},
        hint::{Hint, TargetState},
        least_wait::LeastWait,
        observe_budget::{ObserveBudget, ObserveCost},
        service_balancer::{AttemptResult, Choosing, ServiceBalancer},
        share_budget::ShareBudget,
        target_view::TargetView,
    };
}
