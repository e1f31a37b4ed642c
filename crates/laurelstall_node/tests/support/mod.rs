//! Helpers of the tests.

pub mod strict_reader;
