//! Shared helpers for tests with several nodes.

pub mod mesh;
