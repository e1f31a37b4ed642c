//! Size of messages, and decoding of invalid ones.

use laurelstall_balance::hint::{HINT_BYTES, Hint, TargetState};
use laurelstall_config::{
    document::{DocumentName, Version},
    fleet::EVACUATED_MAX,
};
use laurelstall_crash::{
    crash_record::{CrashReport, ReportedCrash},
    report_batch::CrashReportBatch,
    request_digest::RequestDigest,
};
use laurelstall_guard::refusal::{Refusal, RefusalReason};
use laurelstall_peer::{
    fleet_corrections::{DepartedHost, Departure, EvacuationState, FleetCorrections, HostInstance},
    fleet_corrector::CHANGES_MAX,
    frame::{HEAD_BYTES_MAX, MESSAGE_VERSION, decode, encode},
    message::{AttemptHead, BodyKind, PeerAnswer, PeerRequest, PullItem},
};

/// Length of the version and length fields before each message.
const PREFIX_BYTES: usize = 5;

fn head() -> AttemptHead {
    AttemptHead {
        call_id: 1,
        service: "t/s".to_owned(),
        target: "a".to_owned(),
        method: "GET".to_owned(),
        uri: "/x".to_owned(),
        digest: RequestDigest { whole: 1, head: 2 },
        headers: vec![("host".to_owned(), b"a".to_vec())],
        budget_us: 1,
        is_repeat: false,
        may_repeat: false,
        useful_us: 1,
        class: 7,
        importance: 5,
        workspace: String::new(),
        is_return: false,
        may_hand_back: true,
        hand_backs: 0,
        slow_from_percent: None,
        ticket: Some((1, 2)),
        body: BodyKind::Empty,
        wants_hint: true,
    }
}

#[test]
fn a_message_survives_encoding_and_decoding() {
    let request = PeerRequest::Attempt(head());
    let frame = encode(&request);
    assert_eq!(frame[0], MESSAGE_VERSION);
    assert_eq!(decode::<PeerRequest>(&frame[PREFIX_BYTES..]).expect("it is complete"), request);
}

#[test]
fn unknown_variants_and_trailing_bytes_are_rejected() {
    let mut longer = encode(&PeerRequest::Probe).to_vec();
    longer.push(0);
    assert!(decode::<PeerRequest>(&longer[PREFIX_BYTES..]).is_err());
    assert!(decode::<PeerRequest>(&[250]).is_err());
}

#[test]
fn every_refusal_reason_survives_encoding_and_decoding() {
    for reason in RefusalReason::ALL {
        let refusal = Refusal { reason, retry_after_ms: 9, slowness_percent: 400 };
        let answer = PeerAnswer::Refused(refusal);
        assert_eq!(decode::<PeerAnswer>(&encode(&answer)[PREFIX_BYTES..]).expect("it is complete"), answer);
    }
}

#[test]
fn a_hint_is_no_larger_than_the_budget_accounts_for() {
    let largest = Hint {
        incarnation: u32::MAX,
        in_flight: u32::MAX,
        queued: u32::MAX,
        limit: u32::MAX,
        service_us: u32::MAX,
        slowness_percent: 400,
        state: TargetState::Draining,
    };
    let answer = |hint: Option<Hint>| {
        let refusal = Refusal::new(RefusalReason::QueueFull);
        encode(&PeerAnswer::NotRun { call_id: 1, refusal, hint: hint.map(Into::into) }).len() as u64
    };
    assert!(answer(Some(largest)) - answer(None) <= HINT_BYTES);
}

#[test]
fn the_largest_corrections_fit_into_a_request() {
    let longest_name = |number: usize| format!("{number:0>63}");
    let departed = |number: usize| DepartedHost {
        instance: HostInstance {
            host: longest_name(number),
            target: longest_name(number),
            started_unix_ms: u64::MAX,
        },
        departure: Departure::Gone,
    };
    let evacuation =
        |number: usize| EvacuationState { data_centre: longest_name(number), is_evacuated: true };
    let corrections = FleetCorrections {
        era: u64::MAX,
        age_ms: u64::MAX,
        departed: (0..CHANGES_MAX).map(departed).collect(),
        unlisted: "a host of a megabyte ".repeat(50_000),
        evacuations: (0..EVACUATED_MAX).map(evacuation).collect(),
    };
    let request = encode(&PeerRequest::CompareCorrections(Some(corrections.without_unlisted())));
    assert!(request.len() <= HEAD_BYTES_MAX, "{} bytes", request.len());
}

#[test]
fn arbitrary_bytes_are_decoded_without_a_panic_or_much_memory() {
    bolero::check!().with_type::<Vec<u8>>().with_iterations(20_000).for_each(|bytes| {
        let _ = decode::<PeerRequest>(bytes);
        let _ = decode::<PeerAnswer>(bytes);
    });
}

#[test]
fn a_valid_message_with_a_changed_byte_is_decoded_without_a_panic() {
    let item = PullItem {
        name: DocumentName::Team("a".to_owned()),
        known_version: Version::new(3),
        known_checksum: 4,
    };
    let report = CrashReport {
        digest: RequestDigest { whole: 1, head: 2 },
        service: "t/s".to_owned(),
        ends: vec![ReportedCrash { id: 3, age_ms: 4, is_cleared: false }],
        good_run_age_ms: None,
        release_age_ms: Some(5),
    };
    let messages = [
        PeerRequest::Attempt(head()),
        PeerRequest::Pull(vec![item]),
        PeerRequest::CrashReports(vec![report.clone()]),
        PeerRequest::CrashReportBatch(CrashReportBatch::pack(std::slice::from_ref(&report))),
        PeerRequest::CompareCrashes(vec![report]),
        PeerRequest::CompareCrashFingerprints(vec![6, u64::MAX]),
    ];
    bolero::check!().with_type::<(usize, usize, u8)>().with_iterations(20_000).for_each(
        |(which, at, byte)| {
            let mut bytes = encode(&messages[which % messages.len()])[PREFIX_BYTES..].to_vec();
            let at = at % bytes.len();
            bytes[at] = *byte;
            let _ = decode::<PeerRequest>(&bytes);
        },
    );
}
