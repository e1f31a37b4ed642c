//! Tickets and the ledger of their outcomes.

use bytes::Bytes;
use laurelstall_guard::{
    ledger::{KeptAnswer, Ledger, RunToken, TicketUse},
    ticket::Ticket,
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use std::collections::HashMap;

const INCARNATION: u64 = 7;
const LIFETIME_US: u64 = 1_000_000;

fn answer(text: &str) -> KeptAnswer {
    KeptAnswer { status: 200, headers: Vec::new(), body: Bytes::from(text.to_owned()) }
}

fn begin_run(ledger: &mut Ledger, number: u64) -> RunToken {
    match ledger.use_ticket(INCARNATION, number, 0) {
        TicketUse::FirstUse(token) => token,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_repeated_call_waits_for_or_gets_the_stored_answer() {
    let mut ledger = Ledger::new(INCARNATION, 10);
    let (first, count) = ledger.issue(2, LIFETIME_US, 0);
    assert_eq!(count, 2);
    let token = begin_run(&mut ledger, first);
    let TicketUse::Running(mut done) = ledger.use_ticket(INCARNATION, first, 0) else { panic!("it runs") };
    assert!(!*done.borrow_and_update());
    ledger.end_answered(token, Some(answer("sold")));
    assert!(*done.borrow_and_update());
    let TicketUse::Answered(kept) = ledger.use_ticket(INCARNATION, first, 0) else { panic!("it is kept") };
    assert_eq!(kept.body, "sold");
}

#[test]
fn void_used_unknown_and_expired_tickets_never_run() {
    let mut ledger = Ledger::new(INCARNATION, 10);
    let (first, _) = ledger.issue(3, LIFETIME_US, 0);
    let token = begin_run(&mut ledger, first);
    ledger.end_not_run(token);
    assert!(matches!(ledger.use_ticket(INCARNATION, first, 0), TicketUse::Void));
    let token = begin_run(&mut ledger, first + 1);
    ledger.end_unknown(token);
    assert!(matches!(ledger.use_ticket(INCARNATION, first + 1, 0), TicketUse::OutcomeUnknown));
    assert!(matches!(ledger.use_ticket(INCARNATION + 1, first + 2, 0), TicketUse::Invalid));
    assert!(matches!(ledger.use_ticket(INCARNATION, first + 3, 0), TicketUse::Invalid));
    assert!(matches!(ledger.use_ticket(INCARNATION, first + 2, LIFETIME_US), TicketUse::Invalid));
}

#[test]
fn the_ledger_is_bounded_and_expiry_frees_capacity() {
    let mut ledger = Ledger::new(INCARNATION, 5);
    assert_eq!(ledger.issue(9, LIFETIME_US, 0).1, 5);
    assert_eq!(ledger.issue(1, LIFETIME_US, 0).1, 0);
    assert_eq!(ledger.issue(9, LIFETIME_US, LIFETIME_US).1, 5);
    assert_eq!(ledger.open(), 5);
}

#[test]
fn a_run_that_outlives_its_ticket_leaves_no_record() {
    let mut ledger = Ledger::new(INCARNATION, 5);
    let (first, _) = ledger.issue(1, LIFETIME_US, 0);
    let token = begin_run(&mut ledger, first);
    ledger.issue(1, LIFETIME_US, LIFETIME_US);
    ledger.end_answered(token, Some(answer("late")));
    assert!(matches!(ledger.use_ticket(INCARNATION, first, LIFETIME_US), TicketUse::Invalid));
}

#[test]
fn long_random_runs_never_run_a_ticket_twice() {
    for seed in 0..20 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut ledger = Ledger::new(INCARNATION, 200);
        let mut runs: HashMap<u64, u32> = HashMap::new();
        let mut proved_not_run: HashMap<u64, bool> = HashMap::new();
        let mut running: Vec<(u64, RunToken)> = Vec::new();
        let (mut now_us, mut last) = (0, 0);
        for _ in 0..5_000 {
            now_us += rng.random_range(0..5_000);
            match rng.random_range(0..4) {
                0 => {
                    let (first, count) = ledger.issue(rng.random_range(1..10), LIFETIME_US, now_us);
                    last = first + u64::from(count);
                }
                1 | 2 => {
                    let number = rng.random_range(0..last + 2);
                    match ledger.use_ticket(INCARNATION, number, now_us) {
                        TicketUse::FirstUse(token) => {
                            let count = runs.entry(number).or_default();
                            *count += 1;
                            assert_eq!(*count, 1, "ticket {number} began twice");
                            assert!(!proved_not_run.contains_key(&number), "ticket {number} ran after all");
                            running.push((number, token));
                        }
                        TicketUse::Void => assert!(proved_not_run.contains_key(&number)),
                        TicketUse::Answered(kept) => assert_eq!(kept.body, number.to_string()),
                        _ => {}
                    }
                }
                _ if running.is_empty() => {}
                _ => {
                    let (number, token) = running.swap_remove(rng.random_range(0..running.len()));
                    match rng.random_range(0..3) {
                        0 => ledger.end_answered(token, Some(answer(&number.to_string()))),
                        1 => ledger.end_unknown(token),
                        _ => {
                            proved_not_run.insert(number, true);
                            ledger.end_not_run(token);
                        }
                    }
                }
            }
            assert!(ledger.open() <= 200);
        }
    }
}

#[test]
fn a_ticket_has_one_text_form() {
    let ticket = Ticket { service: "t/s".to_owned(), target: "a".to_owned(), incarnation: 255, number: 3 };
    assert_eq!(ticket.to_string(), "t/s~a~ff~3");
    assert_eq!(Ticket::from_text("t/s~a~ff~3"), Ok(ticket));
    for wrong in ["", "t/s~a~ff", "t/s~a~ff~3~4", "t/s~a~0ff~3", "t/s~a~ff~+3", "t/s~a~FF~3", "t/s~~ff~3"] {
        assert!(Ticket::from_text(wrong).is_err(), "{wrong}");
    }
}

#[test]
fn no_text_makes_the_parser_panic() {
    bolero::check!().with_type::<String>().with_iterations(5_000).for_each(|text| {
        if let Ok(ticket) = Ticket::from_text(text) {
            assert_eq!(&ticket.to_string(), text);
        }
    });
}
