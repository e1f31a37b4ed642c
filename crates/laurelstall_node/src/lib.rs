//! The node: the entry that accepts callers' requests, the guard of the local target, and the
//! administration API.

pub mod active_config;
pub mod admin;
pub mod background;
pub mod body;
pub mod call;
pub mod call_request;
pub mod caller_limits;
pub mod caller_link;
pub mod chain_run;
pub mod chains;
pub mod counters;
pub mod decision_log;
pub mod dialect;
pub mod entry;
pub mod headers;
mod http_builder;
pub mod late_answer_body;
pub mod link_pacer;
pub mod listener;
pub mod load_query;
pub mod logging;
pub mod malformed_answers;
pub mod metrics;
pub mod milestones;
pub mod node;
pub mod observer;
pub mod paced_body;
pub mod pipelined_connection;
pub mod platform_http;
pub mod process;
pub mod quotas;
pub mod request_head;
pub mod responder;
pub mod retry_loans;
pub mod running_requests;
pub mod services;
pub mod target_guard;
pub mod target_http;
pub mod target_notice;
pub mod target_pool;
mod ticket_runs;
pub mod wall_clock;
pub mod write_timeout_stream;

/// The types that most users of this crate need.
pub mod prelude {
    pub use crate::{
        counters::Counters,
        node::{Listeners, Node, NodeError, NodeOptions},
    };
}
