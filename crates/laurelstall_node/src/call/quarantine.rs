//! Refuses calls whose requests are quarantined because they crash targets.

use super::Call;
use laurelstall_crash::{crash_record::CrashReport, crash_table::RequestStatus};
use laurelstall_guard::refusal::{Refusal, RefusalReason};
use laurelstall_peer::partners::is_trial_host;

/// Number of target crashes during a request up to which the entry still retries it. A single crash is rarely caused
/// by a particular request.
const RETRIED_CRASHES_MAX: usize = 1;

/// Retry delay in ms for the caller of a quarantined request whose trial run is the task of another node. If
/// the trial takes place, it is over by then.
const TRIAL_ELSEWHERE_RETRY_MS: u64 = 60_000;

impl Call<'_> {
    /// Returns the refusal of a quarantined request; `None` if the request may be sent.
    pub(super) fn quarantine_refusal(&self) -> Option<Refusal> {
        let retry_after_ms = match self.context.crashes.request_status(self.request.digest) {
            RequestStatus::Quarantined { retry_after_ms } => retry_after_ms,
            RequestStatus::HalfOpen if !self.begin_local_trial() => TRIAL_ELSEWHERE_RETRY_MS,
            _ => return None,
        };
        let refusal = Refusal::new(RefusalReason::Quarantined);
        Some(refusal.with_retry_after_ms(retry_after_ms.try_into().unwrap_or(u32::MAX)))
    }

    /// Begins the trial run of a quarantined request if this node is the one that may do so.
    fn begin_local_trial(&self) -> bool {
        let digest = self.request.digest;
        let fleet = &self.snapshot.configuration.fleet;
        is_trial_host(fleet, &self.context.host, digest.whole) && self.context.crashes.begin_trial(digest)
    }

    /// Merges the crash report of an attempt and returns whether the request must not be retried.
    pub(super) fn merge_and_check_suspect(&self, report: Option<CrashReport>) -> bool {
        let crashes = &self.context.crashes;
        crashes.merge_reports(report.as_slice());
        match crashes.request_status(self.request.digest) {
            RequestStatus::Harmless => false,
            RequestStatus::Suspected(crash_count) => crash_count > RETRIED_CRASHES_MAX,
            RequestStatus::Quarantined { .. } | RequestStatus::HalfOpen => true,
        }
    }
}
