//! Compresses the text of a document for transfer, either whole or as a delta to a version that the
//! receiver holds.
//!
//! A delta is the new text compressed with the old text as dictionary. A checksum verifies the rebuilt
//! text. "Frontier RL Is Cheaper Than You Think" (Fireworks) describes the same method for model weights.

use quick_error::quick_error;
use std::io;
use zstd::{
    bulk::{Compressor, Decompressor},
    zstd_safe::CParameter,
};

/// zstd compression level. Higher levels save less than 3 % of the size of published documents.
pub const ZSTD_LEVEL: i32 = 3;
/// Number of bytes of a dictionary that zstd indexes for each entry of its hash table.
const DICTIONARY_BYTES_PER_HASH: usize = 8;
/// Logarithm of the size of the hash table at [`ZSTD_LEVEL`].
const HASH_LOG_MIN: u32 = 17;
/// Maximum logarithm of the size of the hash table, which then has 16 MiB.
const HASH_LOG_MAX: u32 = 22;
/// Minimum logarithm of the compression window.
const WINDOW_LOG_MIN: u32 = 17;
/// Maximum logarithm of a window that decompressors accept by default.
const WINDOW_LOG_MAX: u32 = 27;

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
    try_pack_delta(base, text).expect("compressing in memory")
}

fn try_pack_delta(base: &str, text: &str) -> io::Result<Vec<u8>> {
    let mut compressor = Compressor::with_dictionary(ZSTD_LEVEL, base.as_bytes())?;
    let (window_log, hash_log) = logs_for(base.len(), text.len());
    compressor.set_parameter(CParameter::WindowLog(window_log))?;
    compressor.set_parameter(CParameter::HashLog(hash_log))?;
    compressor.compress(text.as_bytes())
}

/// Returns the logarithms of a window and of a hash table that cover the whole base. zstd does not refer to the rest, so
/// that the delta of a small change would be as large as that rest.
fn logs_for(base_bytes: usize, text_bytes: usize) -> (u32, u32) {
    let window_log = bits(base_bytes + text_bytes).clamp(WINDOW_LOG_MIN, WINDOW_LOG_MAX);
    let hash_log = bits(base_bytes / DICTIONARY_BYTES_PER_HASH).clamp(HASH_LOG_MIN, HASH_LOG_MAX);
    (window_log, hash_log)
}

fn bits(number: usize) -> u32 {
    usize::BITS - number.leading_zeros()
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
