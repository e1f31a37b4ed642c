//! The kinds of control messages between nodes, by which their traffic is counted.

use crate::message::PeerRequest;

/// Number of kinds of control messages.
pub const CONTROL_KINDS: usize = 8;

/// What a control message between nodes is for. An answer has the kind of its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ControlKind {
    /// Comparisons of versions.
    Exchange,
    /// Offers of new versions.
    Offer,
    /// Transfers of documents.
    Pull,
    /// New crash reports.
    CrashReports,
    /// Comparisons of all crash reports.
    CrashComparison,
    /// Comparisons of the corrections to the list of hosts.
    Corrections,
    /// Probes of the load or of the ability to read the platform.
    Probe,
    /// Tickets, and tokens of quotas and retry budgets.
    Tokens,
}

impl ControlKind {
    /// All kinds, in the order of [`index`](Self::index).
    pub const ALL: [Self; CONTROL_KINDS] = [
        Self::Exchange,
        Self::Offer,
        Self::Pull,
        Self::CrashReports,
        Self::CrashComparison,
        Self::Corrections,
        Self::Probe,
        Self::Tokens,
    ];

    /// Returns the kind of a request and its answer. Attempts at calls are not control messages; the refusal
    /// of one that is sent as such counts as a probe.
    pub fn of(request: &PeerRequest) -> Self {
        match request {
            PeerRequest::Exchange(_) => Self::Exchange,
            PeerRequest::Offer(..) => Self::Offer,
            PeerRequest::Pull(_) => Self::Pull,
            PeerRequest::CrashReports(_) | PeerRequest::CrashReportBatch(_) => Self::CrashReports,
            PeerRequest::CompareCrashes(_) | PeerRequest::CompareCrashFingerprints(_) => {
                Self::CrashComparison
            }
            PeerRequest::CompareCorrections(_) => Self::Corrections,
            PeerRequest::Probe | PeerRequest::CanRead | PeerRequest::Attempt(_) => Self::Probe,
            PeerRequest::Tickets(_) | PeerRequest::TakeTokens(..) | PeerRequest::ReturnTokens(..) => {
                Self::Tokens
            }
        }
    }

    /// Position of the kind in [`ALL`](Self::ALL).
    pub fn index(self) -> usize {
        self as usize
    }

    /// Names of the gauges with the bytes and the number of messages of this kind.
    pub fn gauge_names(self) -> (&'static str, &'static str) {
        match self {
            Self::Exchange => ("control_exchange_bytes", "control_exchange_messages"),
            Self::Offer => ("control_offer_bytes", "control_offer_messages"),
            Self::Pull => ("control_pull_bytes", "control_pull_messages"),
            Self::CrashReports => ("control_crash_report_bytes", "control_crash_report_messages"),
            Self::CrashComparison => ("control_crash_comparison_bytes", "control_crash_comparison_messages"),
            Self::Corrections => ("control_correction_bytes", "control_correction_messages"),
            Self::Probe => ("control_probe_bytes", "control_probe_messages"),
            Self::Tokens => ("control_token_bytes", "control_token_messages"),
        }
    }
}
