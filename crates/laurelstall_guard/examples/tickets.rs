//! Life cycle of a ticket: issued, used, and used again by a caller that lost the answer.
//!
//! Run it with `cargo run -p laurelstall_guard --example tickets`.

use bytes::Bytes;
use laurelstall_guard::prelude::*;

const LIFETIME_US: u64 = 60_000_000;

fn main() {
    let mut ledger = Ledger::new(0xbeef, 100);
    let (number, _) = ledger.issue(1, LIFETIME_US, 0);
    let ticket =
        Ticket { service: "t/trade".to_owned(), target: "trade-1".to_owned(), incarnation: 0xbeef, number };
    println!("ticket {ticket}");
    if let TicketUse::FirstUse(token) = ledger.use_ticket(ticket.incarnation, ticket.number, 1) {
        println!("first use: the call runs");
        let answer = KeptAnswer { status: 200, headers: Vec::new(), body: Bytes::from_static(b"sold") };
        ledger.end_answered(token, Some(answer));
    }
    match ledger.use_ticket(ticket.incarnation, ticket.number, 2) {
        TicketUse::Answered(answer) => println!("repeat: kept answer {:?}", answer.body),
        other => println!("repeat: {other:?}"),
    }
    println!("after the guard's restart: {:?}", ledger.use_ticket(0xcafe, ticket.number, 3));
}
