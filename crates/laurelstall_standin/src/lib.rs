//! Stand-ins for the systems around Laurelstall, and programs that measure Laurelstall with them.
//!
//! Targets, the platform and callers are small fakes that speak the same HTTP as the real ones. The nodes between them
//! are real nodes that communicate over real sockets.

pub mod call_uri;
pub mod callers;
pub mod experiment;
pub mod fault;
pub mod fault_plan;
pub mod fleet_bench;
pub mod harness;
pub mod harness_plan;
pub mod latency;
pub mod node_thread;
pub mod notice_record;
pub mod partitions;
pub mod platform;
pub mod process;
pub mod program;
pub mod report;
pub mod run_records;
pub mod runtime_thread;
pub mod scenario;
pub mod target;

/// Re-exports the most commonly used types.
pub mod prelude {
    pub use crate::{
        callers::{CallPlan, Callers, Totals},
        harness::Harness,
        harness_plan::HarnessPlan,
        platform::StandinPlatform,
        run_records::RunRecords,
        target::StandinTarget,
    };
}
