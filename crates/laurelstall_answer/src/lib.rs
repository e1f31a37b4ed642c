//! What a whole, well-framed HTTP answer is.
//!
//! Targets, other nodes and the platform may send bytes that are no answer. An HTTP library that accepts as much as it can is no
//! measure for what may be passed on, so each place that reads answers asks this crate.

pub mod answer_error;
pub mod answer_head;
pub mod length_checked_body;
mod spoilt_name;

/// The types that most users of this crate need.
pub mod prelude {
    pub use crate::{
        answer_error::AnswerError,
        answer_head::{AnswerHead, Framing},
        length_checked_body::LengthCheckedBody,
    };
}
