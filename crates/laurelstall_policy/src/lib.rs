//! Routing programs: short `rhai` scripts by which operators decide how a request is routed.
//!
//! A program sees the constants `method`, `host`, `path` and `headers`, reads a header with
//! `headers.header("name")`, and returns a map such as `#{ service: "market", repeat: true, budget_ms: 500 }`
//! or `#{ refuse: "closed for the night" }`. See [`Plan`](plan::Plan) and [`Route`](plan::Route) for the
//! fields.

pub mod plan;
pub mod program;

/// The types that most users of this crate need.
pub mod prelude {
    pub use crate::{
        plan::{Plan, PlanError, Route},
        program::{Program, ProgramError, RequestView},
    };
}
