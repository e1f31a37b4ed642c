//! Digests of callers' keys. Nodes and documents store these instead of the keys.

use quick_error::quick_error;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};
use sha2::{Digest, Sha256};
use std::{
    fmt,
    hash::{Hash, Hasher},
    str::FromStr,
};
use subtle::ConstantTimeEq;

/// Number of bytes of a key's SHA-256 that a digest holds: with a million keys, the chance that a guessed key matches
/// one of their digests is below 2^-100.
pub const KEY_DIGEST_BYTES: usize = 16;
/// Maximum length of a key in bytes; such a key fits into the smallest request head that can be set as the limit.
pub const KEY_BYTES_MAX: usize = 4_096;

quick_error! {
    /// An invalid key or digest. Contains no part of the key, so that it can be logged.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum KeyError {
        /// The key is empty.
        Empty {
            display("a key is empty")
        }
        /// The key has this number of bytes, more than [`KEY_BYTES_MAX`].
        TooLong(bytes: usize) {
            display("a key has {bytes} bytes, {KEY_BYTES_MAX} is the most")
        }
        /// The text is not a digest in hexadecimal digits.
        InvalidDigest {
            display("a key's digest must be {} hexadecimal digits", 2 * KEY_DIGEST_BYTES)
        }
    }
}

/// The digest of a key, compared in constant time.
#[derive(Clone, Copy)]
pub struct KeyDigest([u8; KEY_DIGEST_BYTES]);

impl KeyDigest {
    /// Computes the digest of a key as its caller sends it.
    ///
    /// # Errors
    ///
    /// Returns a [`KeyError`] if the key is empty or too long.
    pub fn of_key(key: &[u8]) -> Result<Self, KeyError> {
        if key.is_empty() {
            return Err(KeyError::Empty);
        }
        if key.len() > KEY_BYTES_MAX {
            return Err(KeyError::TooLong(key.len()));
        }
        let hash = Sha256::digest(key);
        let mut digest = [0; KEY_DIGEST_BYTES];
        digest.copy_from_slice(&hash[..KEY_DIGEST_BYTES]);
        Ok(Self(digest))
    }
}

impl PartialEq for KeyDigest {
    fn eq(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl Eq for KeyDigest {}

impl Hash for KeyDigest {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.hash(state);
    }
}

/// Leaves out the digest, since short keys can be guessed from it.
impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// Writes the hexadecimal form that documents contain.
impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl FromStr for KeyDigest {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, KeyError> {
        let is_hex = text.len() == 2 * KEY_DIGEST_BYTES && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if !is_hex {
            return Err(KeyError::InvalidDigest);
        }
        let mut digest = [0; KEY_DIGEST_BYTES];
        for (index, byte) in digest.iter_mut().enumerate() {
            let pair = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(pair, 16).map_err(|_| KeyError::InvalidDigest)?;
        }
        Ok(Self(digest))
    }
}

impl Serialize for KeyDigest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for KeyDigest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(D::Error::custom)
    }
}
