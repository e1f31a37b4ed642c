//! Operators' routing programs: short `rhai` scripts that say what to do with a request.
//!
//! A program sees the constants `method`, `host`, `path` and the constant `headers`, read by `headers.header("name")`, and
//! ends in a map: `#{ service: "market", repeat: true, budget_ms: 500 }` or
//! `#{ refuse: "closed for the night" }`. See [`Plan`](plan::Plan) for the fields.

pub mod plan;
pub mod program;

/// The types most callers need.
pub mod prelude {
    pub use crate::{
        plan::{Plan, PlanError, Route},
        program::{Program, ProgramError, RequestView},
    };
}
