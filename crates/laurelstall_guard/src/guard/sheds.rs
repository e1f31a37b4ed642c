//! Effect of a target's refusals on its concurrency limit.

use super::state::State;
use crate::refusal_causes::{RefusalCause, RefusalKind};

impl State {
    /// Records that the target refused a request that began with `running` calls, and lowers the limit if it should.
    pub(super) fn note_shed(&mut self, kind: RefusalKind, running: u32, is_draining: bool, now_us: u64) {
        if !self.limits.has_refusal_causes {
            self.limit.note_shed();
            return;
        }
        let is_limited = self.cold.is_cold(now_us) || self.stated.stated_per_s().is_some();
        if is_draining || is_limited {
            return;
        }
        let is_at_limit = running >= self.limit.limit();
        let is_full = match self.causes.note_refusal(running, now_us) {
            RefusalCause::Concurrency => true,
            RefusalCause::Other => false,
            RefusalCause::Unknown { .. } if kind == RefusalKind::NoConnection => false,
            // One step below the previous limit shows whether fewer running calls are refused less often.
            RefusalCause::Unknown { is_nearly_all } => {
                is_at_limit && (is_nearly_all || !self.limit.is_recovering())
            }
        };
        if is_full {
            self.limit.note_shed_for_now(running, now_us);
        }
    }
}
