//! Packed crash reports are unpacked as they were, and bad ones are left out.

use laurelstall_crash::{
    crash_record::{CrashReport, ReportedCrash},
    report_batch::CrashReportBatch,
    request_digest::RequestDigest,
};

fn report(number: u64, service: &str, crashes: &[(u64, u64, bool)]) -> CrashReport {
    let crash = |(id, age_ms, is_cleared): &(u64, u64, bool)| ReportedCrash {
        id: *id,
        age_ms: *age_ms,
        is_cleared: *is_cleared,
    };
    CrashReport {
        digest: RequestDigest { whole: number, head: number + 1 },
        service: service.to_owned(),
        ends: crashes.iter().map(crash).collect(),
        good_run_age_ms: number.is_multiple_of(2).then_some(number),
        release_age_ms: number.is_multiple_of(3).then_some(number),
    }
}

#[test]
fn reports_are_unpacked_as_they_were() {
    let reports = [
        report(1, "a/b", &[(10, 100, false), (11, 50, true)]),
        report(2, "c/d", &[(11, 50, false)]),
        report(6, "a/b", &[]),
        report(7, "", &[(10, 100, true), (12, 0, false)]),
    ];
    assert_eq!(CrashReportBatch::pack(&reports).unpack(), reports);
}

#[test]
fn a_crash_keeps_the_earliest_time_of_its_reports() {
    let reports = [report(1, "a/b", &[(10, 100, false)]), report(2, "a/b", &[(10, 170, false)])];
    let ages = CrashReportBatch::pack(&reports).unpack().into_iter().map(|report| report.ends[0].age_ms);
    assert_eq!(ages.collect::<Vec<_>>(), [170, 170]);
}
