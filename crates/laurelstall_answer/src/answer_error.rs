//! Reasons for which bytes are no answer.

use quick_error::quick_error;

quick_error! {
    /// Why bytes that were received in place of an answer are not one.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum AnswerError {
        /// The head can't be parsed.
        Head(message: String) {
            display("the head is no head of an answer: {message}")
        }
        /// The status is not one of a final answer.
        Status(status: u16) {
            display("{status} is no status of a final answer")
        }
        /// The transfer coding is not `chunked` alone, or there must be none.
        TransferCoding {
            display("the transfer coding is not 'chunked'")
        }
        /// The head states a transfer coding and a length.
        CodingAndLength {
            display("both a transfer coding and a length")
        }
        /// The length is not one number.
        Length {
            display("the length is not one number")
        }
        /// The head states no end of the body, and the name of a field is one byte away from one that would.
        SpoiltName {
            display("a field whose name is nearly that of the length or the transfer coding")
        }
        /// The head states a body, which an answer with this status doesn't have.
        UnexpectedBody(status: u16) {
            display("a body in an answer with status {status}")
        }
        /// A field of the connection is in the head of an answer that did not come over one of its own.
        ConnectionField {
            display("a field of another connection")
        }
        /// The head is well-framed, but lacks what the environment asks of each answer.
        Content(what: &'static str) {
            display("{what}")
        }
        /// The body has another length than the head states, in bytes.
        BodyLength(stated_bytes: u64, received_bytes: u64) {
            display("the head states {stated_bytes} bytes, the body has {received_bytes}")
        }
    }
}

impl AnswerError {
    /// Returns the label of the reason for logs.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Head(_) => "head",
            Self::Status(_) => "status",
            Self::TransferCoding => "transfer_coding",
            Self::CodingAndLength => "coding_and_length",
            Self::Length => "length",
            Self::SpoiltName => "spoilt_name",
            Self::UnexpectedBody(_) => "unexpected_body",
            Self::ConnectionField => "connection_field",
            Self::Content(_) => "content",
            Self::BodyLength(..) => "body_length",
        }
    }
}
