//! Shared helpers for tests with several nodes.

pub mod attempts;
pub mod mesh;
