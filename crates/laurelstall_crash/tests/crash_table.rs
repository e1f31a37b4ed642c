//! Which requests are quarantined and for how long, and that all nodes reach the same decision.

use laurelstall_crash::{
    crash_record::{CrashReport, ReportedCrash, TargetCrash},
    crash_table::{CrashTable, RequestStatus},
    request_digest::RequestDigest,
};

const S: i64 = 1_000_000;
/// Largest number of records of requests with one crash.
const OTHER_RECORDS_MAX: usize = 2_048;
/// Largest number of records of requests with several crashes that have room of their own.
const REPEATED_CRASH_RECORDS_MAX: usize = 512;
const SERVICE: &str = "team/service";

fn digest(number: u64) -> RequestDigest {
    RequestDigest { whole: number, head: number }
}

fn crash(table: &mut CrashTable, id: u64, at_s: i64, numbers: &[u64]) {
    let digests = numbers.iter().map(|number| digest(*number)).collect::<Vec<_>>();
    table.note_crash(TargetCrash { id, at_us: at_s * S }, SERVICE, &digests, at_s * S);
}

fn is_quarantined(table: &CrashTable, number: u64, now_s: i64) -> bool {
    matches!(table.request_status(digest(number), now_s * S), RequestStatus::Quarantined { .. })
}

#[test]
fn a_request_is_quarantined_after_two_crashes_but_not_after_one() {
    let mut table = CrashTable::default();
    crash(&mut table, 1, 10, &[1, 2, 3]);
    assert_eq!(table.request_status(digest(1), 10 * S), RequestStatus::Suspected(1));
    crash(&mut table, 2, 11, &[1, 4]);
    assert!(is_quarantined(&table, 1, 11));
    for number in [2, 3, 4] {
        assert_eq!(table.request_status(digest(number), 11 * S), RequestStatus::Suspected(1));
    }
    assert_eq!(table.request_status(digest(5), 11 * S), RequestStatus::Harmless);
}

#[test]
fn a_crash_that_is_reported_twice_counts_once() {
    let mut table = CrashTable::default();
    crash(&mut table, 1, 10, &[1]);
    crash(&mut table, 1, 12, &[1]);
    assert_eq!(table.request_status(digest(1), 12 * S), RequestStatus::Suspected(1));
}

#[test]
fn a_successful_run_shortly_before_several_crashes_clears_a_request() {
    let mut table = CrashTable::default();
    table.note_success(digest(1), 10 * S);
    for id in 1..=4 {
        crash(&mut table, id, 11, &[1, 2]);
    }
    assert_eq!(table.request_status(digest(1), 11 * S), RequestStatus::Harmless);
    assert!(is_quarantined(&table, 2, 11), "this request has no successful run");
}

#[test]
fn a_request_that_succeeded_before_is_quarantined_after_four_crashes() {
    let mut table = CrashTable::default();
    table.note_success(digest(1), 10 * S);
    for id in 1..=4 {
        assert!(!is_quarantined(&table, 1, 13));
        crash(&mut table, id, 13, &[1]);
    }
    assert!(is_quarantined(&table, 1, 13));
}

#[test]
fn a_successful_run_ends_the_quarantine_at_all_nodes() {
    let (mut one, mut two) = (CrashTable::default(), CrashTable::default());
    crash(&mut one, 1, 10, &[1]);
    crash(&mut one, 2, 11, &[1]);
    two.merge_reports(&one.all_reports(11 * S), 111 * S);
    assert!(is_quarantined(&two, 1, 111));
    assert!(two.note_success(digest(1), 112 * S));
    assert_eq!(two.request_status(digest(1), 112 * S), RequestStatus::Harmless);
    assert_eq!(one.merge_reports(&two.all_reports(112 * S), 12 * S), vec![digest(1)]);
    assert_eq!(one.request_status(digest(1), 12 * S), RequestStatus::Harmless);
    assert_eq!(one.hash(), two.hash());
}

#[test]
fn a_node_with_a_successful_run_reports_it_in_return_for_a_crash() {
    let (mut witness, mut other) = (CrashTable::default(), CrashTable::default());
    other.note_success(digest(1), 10 * S);
    crash(&mut witness, 1, 10, &[1]);
    crash(&mut witness, 2, 10, &[1]);
    assert!(is_quarantined(&witness, 1, 10));
    assert_eq!(other.merge_reports(&witness.all_reports(10 * S), 10 * S), vec![digest(1)]);
    witness.merge_reports(&other.all_reports(10 * S), 10 * S);
    assert_eq!(witness.request_status(digest(1), 10 * S), RequestStatus::Harmless);
}

#[test]
fn repeated_reports_in_any_order_lead_to_the_same_state() {
    let mut witnesses = (0..3).map(|_| CrashTable::default()).collect::<Vec<_>>();
    for (index, witness) in witnesses.iter_mut().enumerate() {
        let id = index as u64 + 1;
        crash(witness, id, 10, &[7, 10 + id]);
    }
    let reports =
        witnesses.iter().map(|witness| witness.all_reports(10 * S)).collect::<Vec<Vec<CrashReport>>>();
    let orders = [[0, 1, 2, 0], [2, 1, 0, 2], [1, 1, 2, 0]];
    let tables = orders.map(|order| {
        let mut table = CrashTable::default();
        for index in order {
            table.merge_reports(&reports[index], 10 * S);
        }
        table
    });
    for table in &tables {
        assert_eq!(table.hash(), tables[0].hash());
        assert!(is_quarantined(table, 7, 10));
        assert_eq!(table.suspects(10 * S)[0].crashes, 3);
    }
}

#[test]
fn a_node_that_started_after_the_crashes_knows_their_age() {
    let (mut old, mut young) = (CrashTable::default(), CrashTable::default());
    crash(&mut old, 1, 100, &[1]);
    crash(&mut old, 2, 101, &[1]);
    young.merge_reports(&old.all_reports(200 * S), S);
    let RequestStatus::Quarantined { retry_after_ms } = young.request_status(digest(1), S) else {
        panic!("the request is not quarantined")
    };
    assert_eq!(old.request_status(digest(1), 200 * S), RequestStatus::Quarantined { retry_after_ms });
}

#[test]
fn the_quarantine_becomes_longer_with_each_failed_trial_and_then_permanent() {
    let mut table = CrashTable::default();
    crash(&mut table, 1, 10, &[1]);
    crash(&mut table, 2, 11, &[1]);
    let mut now_s = 11;
    let mut trials = 0;
    for quarantine_s in [300, 3_600, 43_200] {
        assert!(is_quarantined(&table, 1, now_s + quarantine_s - 1));
        now_s += quarantine_s;
        assert_eq!(table.request_status(digest(1), now_s * S), RequestStatus::HalfOpen);
        trials += 1;
        crash(&mut table, 2 + trials, now_s, &[1]);
    }
    assert!(is_quarantined(&table, 1, now_s + 10_000_000), "there is no fourth trial");
}

#[test]
fn a_release_by_an_operator_clears_a_request_until_further_crashes() {
    let mut table = CrashTable::default();
    crash(&mut table, 1, 10, &[1]);
    crash(&mut table, 2, 11, &[1]);
    assert_eq!(table.release(1, 12 * S), Some(digest(1)));
    assert_eq!(table.request_status(digest(1), 12 * S), RequestStatus::Harmless);
    assert_eq!(table.release(1, 12 * S), None);
    crash(&mut table, 3, 13, &[1]);
    crash(&mut table, 4, 13, &[1]);
    assert!(is_quarantined(&table, 1, 13));
}

#[test]
fn targets_that_crash_whatever_they_run_have_few_quarantined_requests() {
    let mut table = CrashTable::default();
    let all = (0..100).collect::<Vec<_>>();
    for id in 0..20 {
        crash(&mut table, id, 10 + id as i64, &all);
    }
    let quarantined = all.iter().filter(|number| is_quarantined(&table, **number, 40)).count();
    assert_eq!(quarantined, 32);
}

#[test]
fn the_number_of_records_is_bounded_and_the_cause_of_the_crashes_stays() {
    let mut table = CrashTable::default();
    for id in 0..200 {
        let harmless = (0..30).map(|number| 1_000 + id * 30 + number);
        let running = harmless.chain([1]).collect::<Vec<_>>();
        crash(&mut table, id, 10 + id as i64, &running);
    }
    assert_eq!(table.all_reports(210 * S).len(), OTHER_RECORDS_MAX + 1);
    assert!(is_quarantined(&table, 1, 210));
}

/// Two nodes that heard the same crashes in another order, with other delays, must keep the same records: otherwise each
/// brings back what the other dropped.
#[test]
fn full_tables_keep_the_same_records_whatever_the_order_and_age_of_the_reports() {
    let mut witness = CrashTable::default();
    let mut reports = Vec::new();
    for number in 0..4_000 {
        let numbers = [10 + number, 10_000 + number % 700];
        crash(&mut witness, 1 + number * 7_919 % 4_001, 10 + number as i64 / 100, &numbers);
        reports.extend(witness.reports_of(&numbers.map(digest), 50 * S));
    }
    let merged = |reports: &mut dyn Iterator<Item = &CrashReport>, now_us: i64| {
        let mut table = CrashTable::default();
        for (index, report) in reports.enumerate() {
            table.merge_reports(std::slice::from_ref(report), now_us + index as i64 * 997 % 300_000);
        }
        table
    };
    let forwards = merged(&mut reports.iter(), 50 * S);
    let backwards = merged(&mut reports.iter().rev(), 50 * S);
    let mut tables = [forwards, backwards, witness];
    assert!(tables.iter().all(|table| table.len() == OTHER_RECORDS_MAX + REPEATED_CRASH_RECORDS_MAX));
    // What one table lacks of a request that it dropped and took again, the others tell it once.
    for _ in 0..2 {
        for (from, to) in [(0, 1), (1, 2), (2, 0)] {
            let told = tables[from].all_reports(51 * S);
            tables[to].merge_reports(&told, 51 * S);
        }
    }
    let [forwards, mut backwards, witness] = tables;
    assert_eq!(forwards.hash(), backwards.hash());
    assert_eq!(forwards.hash(), witness.hash());
    let dropped = reports.iter().filter(|report| backwards.reports_of(&[report.digest], 51 * S).is_empty());
    let dropped = dropped.cloned().collect::<Vec<_>>();
    assert!(!dropped.is_empty());
    assert_eq!(backwards.merge_reports(&dropped, 51 * S), Vec::new(), "a dropped record does not come back");
}

/// A node that has just forgotten a request must not take it from one that is about to: the ages in reports do not grow on
/// the way, so the request would go round among the nodes for long.
#[test]
fn a_request_that_is_about_to_be_forgotten_is_not_taken_from_a_report() {
    let (mut old, mut young) = (CrashTable::default(), CrashTable::default());
    crash(&mut old, 1, 10, &[1]);
    assert_eq!(young.merge_reports(&old.all_reports(605 * S), S), Vec::new());
    assert!(young.is_empty());
    assert_eq!(young.merge_reports(&old.all_reports(500 * S), S), vec![digest(1)]);
}

/// The success that ends a long quarantine must be told on by the nodes that hear of it, so they keep the record.
#[test]
fn a_success_long_after_the_crashes_is_told_on() {
    let (mut one, mut two) = (CrashTable::default(), CrashTable::default());
    crash(&mut one, 1, 10, &[1]);
    crash(&mut one, 2, 11, &[1]);
    two.merge_reports(&one.all_reports(11 * S), 11 * S);
    assert!(one.note_success(digest(1), 4_000 * S));
    assert_eq!(two.merge_reports(&one.all_reports(4_000 * S), 4_000 * S), vec![digest(1)]);
    assert_eq!(two.request_status(digest(1), 4_000 * S), RequestStatus::Harmless);
    assert_eq!(one.hash(), two.hash());
}

/// Nodes estimate times differently. If each decided for itself whether a crash shortly after a successful run counts, their
/// hashes would differ for good and each comparison would carry both tables.
#[test]
fn all_nodes_agree_on_a_crash_shortly_after_a_successful_run() {
    let us = |ms: i64| ms * 1_000;
    let (mut one, mut two) = (CrashTable::default(), CrashTable::default());
    one.note_success(digest(1), us(10_000));
    let crash_at = |table: &mut CrashTable, ms: i64| {
        table.note_crash(TargetCrash { id: 7, at_us: us(ms) }, SERVICE, &[digest(1)], us(ms));
    };
    crash_at(&mut one, 12_100);
    assert_eq!(one.request_status(digest(1), us(12_100)), RequestStatus::Suspected(1));
    // The other node heard of the success, with the age of a delayed message, before the crash.
    two.note_success(digest(1), us(10_200));
    crash_at(&mut two, 12_100);
    assert_eq!(two.request_status(digest(1), us(12_100)), RequestStatus::Harmless);
    assert_eq!(one.merge_reports(&two.all_reports(us(12_200)), us(12_200)), vec![digest(1)]);
    assert_eq!(two.merge_reports(&one.all_reports(us(12_300)), us(12_300)), Vec::new());
    assert_eq!(one.request_status(digest(1), us(12_300)), RequestStatus::Harmless);
    assert_eq!(one.hash(), two.hash());
}

/// A success is told on once by each node, however much later the delays of the messages make it look.
#[test]
fn a_known_success_that_looks_later_is_not_news() {
    let (mut one, mut two) = (CrashTable::default(), CrashTable::default());
    one.note_success(digest(1), 10 * S);
    crash(&mut one, 1, 10, &[1]);
    assert_eq!(two.merge_reports(&one.all_reports(11 * S), 12 * S), vec![digest(1)]);
    assert_eq!(one.merge_reports(&two.all_reports(13 * S), 15 * S), Vec::new());
    assert_eq!(two.merge_reports(&one.all_reports(16 * S), 20 * S), Vec::new());
    assert_eq!(one.hash(), two.hash());
}

#[test]
fn records_that_are_dropped_from_a_full_table_and_taken_again_are_counted() {
    let mut table = CrashTable::default();
    let mut witness = CrashTable::default();
    crash(&mut witness, 1, 10, &[1]);
    let report = witness.all_reports(10 * S);
    table.merge_reports(&report, 10 * S);
    assert_eq!((table.counts().received, table.counts().changed, table.counts().dropped), (1, 1, 0));
    for id in 2..7 {
        crash(&mut table, id, 10 + id as i64, &(0..500).map(|number| id * 500 + number).collect::<Vec<_>>());
    }
    assert!(table.counts().dropped > 0);
    assert_eq!(table.counts().taken_again, 0);
    crash(&mut table, 500, 300, &[1]);
    assert_eq!(table.counts().taken_again, 1, "it was at another crash");
}

#[test]
fn a_request_that_is_not_quarantined_is_forgotten_after_ten_minutes() {
    let mut table = CrashTable::default();
    crash(&mut table, 1, 10, &[1]);
    crash(&mut table, 2, 700, &[2]);
    assert_eq!(table.all_reports(700 * S).len(), 1);
}

/// An arbitrary report: request, ids and ages of crashes, ages of the last successful run and release.
type AnyReport = (u8, Vec<(u64, u64)>, Option<u64>, Option<u64>);

#[test]
fn arbitrary_reports_are_merged_without_a_panic_and_within_bounds() {
    bolero::check!().with_type::<Vec<(u32, Vec<AnyReport>)>>().with_iterations(150).for_each(|steps| {
        let mut table = CrashTable::default();
        let mut now_us = S;
        for (passed_ms, reports) in steps {
            now_us += i64::from(*passed_ms) * 1_000;
            let reports = reports.iter().map(|(number, ends, good_run_age_ms, release_age_ms)| CrashReport {
                digest: digest(u64::from(*number)),
                service: SERVICE.to_owned(),
                ends: ends
                    .iter()
                    .map(|(id, age_ms)| ReportedCrash {
                        id: *id,
                        age_ms: *age_ms,
                        is_cleared: id.is_multiple_of(3),
                    })
                    .collect(),
                good_run_age_ms: *good_run_age_ms,
                release_age_ms: *release_age_ms,
            });
            table.merge_reports(&reports.collect::<Vec<_>>(), now_us);
            table.note_crash(TargetCrash { id: 1, at_us: now_us }, SERVICE, &[digest(1)], now_us);
            for state in table.suspects(now_us) {
                table.request_status(state.digest, now_us);
            }
            assert!(table.all_reports(now_us).len() <= 256);
            assert!(table.all_reports(now_us).iter().all(|report| report.ends.len() <= 16));
        }
    });
}
