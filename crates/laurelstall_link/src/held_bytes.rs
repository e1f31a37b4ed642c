//! Bounds the memory for bodies whose readers are slower than their senders.

/// Largest total of bytes held, a fifth of the 160 MB that a node may use. The rest is for buffers of connections and
/// the configuration.
pub const HELD_BYTES_MAX: u64 = 32 * 1024 * 1024;

/// Total of the bytes of bodies that are read but not yet sent.
///
/// *Load pattern*: readers that stop or read slowly while many large bodies arrive.
#[derive(Debug, Default)]
pub struct HeldBytes {
    held: u64,
}

impl HeldBytes {
    /// Counts bytes that were read.
    pub fn add(&mut self, bytes: u64) {
        self.held += bytes;
    }

    /// Counts bytes that were sent or dropped.
    pub fn remove(&mut self, bytes: u64) {
        self.held = self.held.saturating_sub(bytes);
    }

    /// Number of bytes held now.
    pub fn held(&self) -> u64 {
        self.held
    }

    /// Whether bodies must not be read ahead, and calls with large bodies not be taken.
    pub fn is_full(&self) -> bool {
        self.held >= HELD_BYTES_MAX
    }
}
