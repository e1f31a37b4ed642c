//! Counts of the attempts that a budget granted and refused.

/// How many attempts a budget granted and refused since its creation.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct GrantCounts {
    /// Attempts granted.
    pub granted: u64,
    /// Attempts refused.
    pub refused: u64,
}

impl GrantCounts {
    /// Counts a decision and returns it.
    pub(crate) fn note(&mut self, is_granted: bool) -> bool {
        if is_granted {
            self.granted += 1;
        } else {
            self.refused += 1;
        }
        is_granted
    }
}
