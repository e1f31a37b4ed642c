//! A document's text on the wire: whole, or against a version the receiver has.
//!
//! A delta is the new text compressed with the old one as dictionary, with a checksum of the
//! result; the way of sending only what changed and checking the rebuilt whole follows
//! "Frontier RL Is Cheaper Than You Think" (Fireworks), measured here in `docs/SPREADING.md`.

use quick_error::quick_error;
use std::io;
use zstd::bulk::{Compressor, Decompressor};

/// Compression level; higher ones gained under 3 % on published documents.
pub const LEVEL: i32 = 3;

quick_error! {
    /// A text that could not be rebuilt.
    #[derive(Debug)]
    pub enum DeltaError {
        /// The compressed bytes are broken.
        Broken(error: io::Error) {
            display("broken text: {error}")
            source(error)
            from()
        }
        /// The rebuilt text is not the one that was sent.
        Checksum {
            display("the rebuilt text has another checksum")
        }
        /// The text is not UTF-8.
        NotText {
            display("the rebuilt text is not UTF-8")
        }
    }
}

/// Compresses all of `text`.
pub fn pack_whole(text: &str) -> Vec<u8> {
    zstd::bulk::compress(text.as_bytes(), LEVEL).expect("compressing in memory")
}

/// Compresses `text` against `base`.
pub fn pack_delta(base: &str, text: &str) -> Vec<u8> {
    let compressor = Compressor::with_dictionary(LEVEL, base.as_bytes());
    let packed = compressor.and_then(|mut compressor| compressor.compress(text.as_bytes()));
    packed.expect("compressing in memory")
}

/// Rebuilds a whole text of at most `text_bytes`.
///
/// # Errors
///
/// [`DeltaError`] when it cannot be rebuilt.
pub fn unpack_whole(packed: &[u8], text_bytes: usize) -> Result<String, DeltaError> {
    let bytes = zstd::bulk::decompress(packed, text_bytes)?;
    String::from_utf8(bytes).map_err(|_| DeltaError::NotText)
}

/// Rebuilds a text of at most `text_bytes` from `base`.
///
/// # Errors
///
/// [`DeltaError`] when it cannot be rebuilt.
pub fn unpack_delta(base: &str, packed: &[u8], text_bytes: usize) -> Result<String, DeltaError> {
    let bytes = Decompressor::with_dictionary(base.as_bytes())?.decompress(packed, text_bytes)?;
    String::from_utf8(bytes).map_err(|_| DeltaError::NotText)
}
