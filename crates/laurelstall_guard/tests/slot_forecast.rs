//! Tests the forecast of when a queued call gets a slot.

use laurelstall_guard::slot_forecast::slot_wait_us;

const SERVICE_US: u64 = 100;
const NOW_US: u64 = 1_000;

fn wait_us(starts_us: &[u64], position: usize, limit: usize) -> u64 {
    slot_wait_us(starts_us.iter().copied(), position, limit, SERVICE_US, NOW_US)
}

#[test]
fn slots_are_free_when_the_running_calls_end_in_order_of_their_start() {
    let starts_us = [990, 920];
    let waits = (0..4).map(|position| wait_us(&starts_us, position, 2)).collect::<Vec<_>>();
    assert_eq!(waits, [20, 90, 120, 190]);
}

#[test]
fn a_free_slot_is_there_at_once() {
    assert_eq!(wait_us(&[920], 0, 2), 0);
    assert_eq!(wait_us(&[920], 1, 2), 20);
    assert_eq!(wait_us(&[], 0, 0), 0, "a limit of 0 counts as 1");
}

/// Guards against a slot that is counted although the limit was lowered below the number of running calls.
#[test]
fn calls_beyond_the_limit_free_no_slot() {
    assert_eq!(wait_us(&[910, 920, 930], 0, 1), 30);
    assert_eq!(wait_us(&[910, 920, 930], 1, 1), 130);
}

#[test]
fn overdue_and_reserved_runs_are_counted() {
    assert_eq!(wait_us(&[100], 0, 1), 0, "it is about to end");
    assert_eq!(wait_us(&[u64::MAX], 0, 1), SERVICE_US, "it begins now");
}
