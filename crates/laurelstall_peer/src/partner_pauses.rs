//! Partners that do not answer are asked less and less often.

use std::{collections::HashMap, net::SocketAddr};

/// Longest pause of a partner that does not answer, in turns.
const TURNS_MAX: u32 = 32;

#[derive(Debug, Clone, Copy)]
struct Pause {
    left: u32,
    length: u32,
}

/// The pauses of partners, counted in turns at which they would be asked.
#[derive(Debug, Default)]
pub struct PartnerPauses {
    pauses: HashMap<SocketAddr, Pause>,
}

impl PartnerPauses {
    /// Forgets all but these partners.
    pub fn keep_only(&mut self, partners: &[SocketAddr]) {
        self.pauses.retain(|address, _| partners.contains(address));
    }

    /// Takes a partner's turn; false while it pauses.
    pub fn take_turn(&mut self, address: SocketAddr) -> bool {
        match self.pauses.get_mut(&address) {
            Some(pause) if pause.left > 0 => {
                pause.left -= 1;
                false
            }
            _ => true,
        }
    }

    /// Notes that a partner answered.
    pub fn note_reached(&mut self, address: SocketAddr) {
        self.pauses.remove(&address);
    }

    /// Notes that a partner did not answer: its pause doubles. True when it has been away for long.
    pub fn note_failed(&mut self, address: SocketAddr) -> bool {
        let pause = self.pauses.entry(address).or_insert(Pause { left: 0, length: 1 });
        let is_long_away = pause.length >= TURNS_MAX;
        pause.left = pause.length;
        pause.length = (pause.length * 2).min(TURNS_MAX);
        is_long_away
    }
}
