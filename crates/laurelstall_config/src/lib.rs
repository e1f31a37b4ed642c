//! Node settings and published configuration of laurelstall.
//!
//! A node reads its own [`Settings`](settings::Settings) file once at start, and applies the
//! [`documents`](document::Document) that the platform publishes with increasing versions. Both are
//! TOML or JSON. `laurelstall-check` runs the same checks.

pub mod configuration;
mod data_centre_names;
pub mod document;
pub mod fleet;
pub mod key_digest;
pub mod load_control;
pub mod problem;
pub mod route;
pub mod settings;
pub mod system;
pub mod target_bounds;
pub mod team;
pub mod workspace;

/// The most commonly used types.
pub mod prelude {
    pub use crate::{
        configuration::Configuration,
        document::{Document, DocumentName, Version},
        fleet::{Fleet, Host, HostState},
        key_digest::KeyDigest,
        problem::{Checker, ConfigError, Problem},
        settings::Settings,
        system::SystemLimits,
        team::{Service, ServiceLimits, Target, Team},
        workspace::{Quota, Workspace},
    };
}
