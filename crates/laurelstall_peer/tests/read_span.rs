//! Merging of platform reads, and the outages that they rule out.

use laurelstall_peer::read_span::{OUTAGE_MIN_US, ReadSpan};

const SECOND_US: i64 = 1_000_000;

fn reads(times_s: impl IntoIterator<Item = i64>) -> ReadSpan {
    let reads = times_s.into_iter().map(|time_s| ReadSpan::new(time_s * SECOND_US));
    reads.reduce(ReadSpan::merged).expect("at least one read")
}

#[test]
fn reads_without_a_gap_rule_out_an_outage_between_them() {
    let span = reads(1..=20);
    assert!(span.rules_out_outage_before(20 * SECOND_US));
    assert!(span.rules_out_outage_before(22 * SECOND_US), "the last read lies in the reported outage");
    assert!(
        !span.rules_out_outage_before(20 * SECOND_US + OUTAGE_MIN_US),
        "no reads are known from that time"
    );
    assert!(!span.rules_out_outage_before(3 * SECOND_US), "no reads are known before the first one");
}

#[test]
fn reads_after_an_outage_do_not_rule_it_out() {
    let span = reads((1..=10).chain(15..=17));
    assert_eq!(span, ReadSpan { first_us: 15 * SECOND_US, last_us: 17 * SECOND_US });
    for ended_s in 15..=17 {
        assert!(!span.rules_out_outage_before(ended_s * SECOND_US), "{ended_s}");
    }
}

#[test]
fn reads_of_other_nodes_close_a_gap_in_any_order() {
    let early = ReadSpan { first_us: SECOND_US, last_us: 6 * SECOND_US };
    let middle = ReadSpan { first_us: 5 * SECOND_US, last_us: 12 * SECOND_US };
    let late = ReadSpan::new(14 * SECOND_US);
    let whole = ReadSpan { first_us: SECOND_US, last_us: 14 * SECOND_US };
    for order in [[early, middle, late], [late, middle, early], [middle, late, early]] {
        assert_eq!(order.into_iter().reduce(ReadSpan::merged), Some(whole));
    }
    assert_eq!(late.merged(early), late, "a known outage lies between them");
}

#[test]
fn reads_from_before_the_start_of_a_node_count_like_others() {
    let span = reads(-20..=2);
    assert_eq!(span, ReadSpan { first_us: -20 * SECOND_US, last_us: 2 * SECOND_US });
    assert!(span.rules_out_outage_before(SECOND_US) && !span.rules_out_outage_before(-20 * SECOND_US));
}
