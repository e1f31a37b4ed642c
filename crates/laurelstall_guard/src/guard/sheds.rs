//! Effect of a target's refusals on its concurrency limit.

use super::state::State;
use crate::refusal_causes::{RefusalCause, RefusalKind};

impl State {
    /// Records that the target refused a request that began with `running` calls, and lowers the limit if it should;
    /// returns whether it did.
    pub(super) fn note_shed(
        &mut self,
        kind: RefusalKind,
        running: u32,
        is_draining: bool,
        now_us: u64,
    ) -> bool {
        let before = self.limit.settled();
        if !self.limits.has_refusal_causes {
            if kind != RefusalKind::Reset {
                self.limit.note_shed();
            }
        } else if !is_draining && self.is_for_concurrency(kind, running, now_us) {
            self.limit.lower_temporarily(running, now_us);
        }
        self.limit.settled() < before
    }

    /// Returns whether fewer running calls would have been refused less often.
    fn is_for_concurrency(&mut self, kind: RefusalKind, running: u32, now_us: u64) -> bool {
        if self.cold.is_cold(now_us) || self.stated.stated_per_s().is_some() {
            return false;
        }
        match self.causes.note_refusal(running, now_us) {
            RefusalCause::Concurrency => true,
            RefusalCause::Other => false,
            RefusalCause::Unknown { .. } if kind != RefusalKind::Answered => false,
            // One step below the previous limit shows whether fewer running calls are refused less often.
            RefusalCause::Unknown { is_nearly_all } => {
                running >= self.limit.limit() && (is_nearly_all || !self.limit.is_recovering())
            }
        }
    }
}
