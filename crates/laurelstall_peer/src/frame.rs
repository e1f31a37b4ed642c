//! Encodes messages on a stream: a version, a length and a `bincode` payload.

use bincode::config;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use h2::RecvStream;
use laurelstall_config::settings::DOCUMENT_BYTES_LIMIT;
use quick_error::quick_error;
use serde::{Serialize, de::DeserializeOwned};

/// Version of the message format.
///
/// Messages of other versions, or with unknown fields, are rejected.
pub const MESSAGE_VERSION: u8 = 6;
/// Maximum length of the head of an attempt or answer in bytes.
pub const HEAD_BYTES_MAX: usize = 256 * 1024;
/// Maximum length of an answer to a control message in bytes, except answers with documents.
pub const ANSWER_BYTES_MAX: usize = 4 * 1024 * 1024;
/// Maximum length of any message in bytes.
const MESSAGE_BYTES_MAX: usize = transfer_bytes_max(DOCUMENT_BYTES_LIMIT);
/// Length in bytes of compressed documents from which an answer contains no further document.
pub const DOCUMENTS_ANSWER_BYTES: usize = 1024 * 1024;
/// Maximum growth of an incompressible text, as a divisor of its length.
const COMPRESSION_GROWTH_DIVISOR: usize = 128;
const PREFIX_BYTES: usize = 5;

/// Returns the maximum length in bytes of an answer with documents whose texts have at most `document_bytes_max`: one of
/// this size after others that do not reach [`DOCUMENTS_ANSWER_BYTES`].
pub const fn transfer_bytes_max(document_bytes_max: usize) -> usize {
    let growth = document_bytes_max / COMPRESSION_GROWTH_DIVISOR;
    DOCUMENTS_ANSWER_BYTES + document_bytes_max + growth + HEAD_BYTES_MAX
}

quick_error! {
    /// A stream with invalid content.
    #[derive(Debug)]
    pub enum FrameError {
        /// The message has another format version.
        Version(found: u8) {
            display("message version {found}, not {MESSAGE_VERSION}")
        }
        /// The message is longer than allowed.
        TooLong(bytes: usize) {
            display("message of {bytes} bytes is too long")
        }
        /// The message cannot be decoded, or has trailing bytes.
        Malformed(message: String) {
            display("malformed message: {message}")
        }
        /// The stream ended inside a message.
        Ended {
            display("stream ended inside a message")
        }
        /// The stream failed.
        Stream(error: h2::Error) {
            display("stream: {error}")
            source(error)
            from()
        }
    }
}

/// Encodes a message with its prefix.
pub fn encode<T: Serialize>(message: &T) -> Bytes {
    let payload = bincode::serde::encode_to_vec(message, config::standard());
    let payload = payload.expect("messages hold nothing that cannot be encoded");
    let mut frame = BytesMut::with_capacity(PREFIX_BYTES + payload.len());
    frame.put_u8(MESSAGE_VERSION);
    frame.put_u32(payload.len() as u32);
    frame.put_slice(&payload);
    frame.freeze()
}

/// Decodes the payload of a message.
///
/// # Errors
///
/// [`FrameError::Malformed`] if it cannot be decoded, or has trailing bytes.
pub fn decode<T: DeserializeOwned>(payload: &[u8]) -> Result<T, FrameError> {
    let config = config::standard().with_limit::<MESSAGE_BYTES_MAX>();
    let decoded = bincode::serde::decode_from_slice(payload, config);
    let (message, read) = decoded.map_err(|error| FrameError::Malformed(error.to_string()))?;
    if read != payload.len() {
        return Err(FrameError::Malformed(format!("{} bytes left over", payload.len() - read)));
    }
    Ok(message)
}

/// Reads messages and then the body from a stream.
#[derive(Debug)]
pub struct FrameReader {
    stream: RecvStream,
    buffer: BytesMut,
}

impl FrameReader {
    /// Creates a reader of `stream`.
    pub fn new(stream: RecvStream) -> Self {
        Self { stream, buffer: BytesMut::new() }
    }

    /// Reads the next message of at most `bytes_max`.
    ///
    /// # Errors
    ///
    /// [`FrameError`]; nothing more can be read after one.
    pub async fn read<T: DeserializeOwned>(&mut self, bytes_max: usize) -> Result<T, FrameError> {
        self.fill(PREFIX_BYTES).await?;
        let version = self.buffer[0];
        if version != MESSAGE_VERSION {
            return Err(FrameError::Version(version));
        }
        self.buffer.advance(1);
        let length = self.buffer.get_u32() as usize;
        if length > bytes_max {
            return Err(FrameError::TooLong(length));
        }
        self.fill(length).await?;
        let payload = self.buffer.split_to(length);
        decode(&payload)
    }

    /// Returns the data that was read beyond the last message, and the rest of the stream.
    pub fn into_rest(self) -> (Bytes, RecvStream) {
        (self.buffer.freeze(), self.stream)
    }

    async fn fill(&mut self, length: usize) -> Result<(), FrameError> {
        while self.buffer.len() < length {
            let data = self.stream.data().await.ok_or(FrameError::Ended)??;
            self.stream.flow_control().release_capacity(data.len())?;
            self.buffer.extend_from_slice(&data);
        }
        Ok(())
    }
}
