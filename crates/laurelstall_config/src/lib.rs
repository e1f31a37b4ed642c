//! Node settings and published configuration of laurelstall.
//!
//! Two kinds of text reach a node: its own [`Settings`](settings::Settings) file, read once at
//! start, and the [`documents`](document::Document) that the platform publishes with growing
//! versions. Both are TOML, both are checked here, and `laurelstall-check` uses the same code.

pub mod configuration;
pub mod document;
pub mod fleet;
pub mod problem;
pub mod route;
pub mod settings;
pub mod system;
pub mod team;

/// The types most callers need.
pub mod prelude {
    pub use crate::{
        configuration::Configuration,
        document::{Document, DocumentName, Version},
        fleet::{Fleet, Host, HostState},
        problem::{Checker, ConfigError, Problem},
        settings::Settings,
        system::SystemLimits,
        team::{Service, ServiceLimits, Target, Team},
    };
}
