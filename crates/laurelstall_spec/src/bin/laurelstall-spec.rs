//! Explores every model, with all rules and with each rule left out, and prints the results.

use laurelstall_spec::{
    attempts::{self, AttemptModel},
    quotas::{self, QuotaModel},
    replication::{self, ReplicationModel},
    restores::{self, RestoreModel},
    retry_loans::{self, RetryLoanModel},
    search::{Model, search},
    tickets::{self, TicketModel},
};
use std::{fmt::Debug, time::Instant};

fn main() {
    use {
        attempts::Mutation as AttemptMutation, quotas::Mutation as QuotaMutation,
        replication::Mutation as ReplicationMutation, restores::Mutation as RestoreMutation,
        retry_loans::Mutation as LoanMutation, tickets::Mutation as TicketMutation,
    };
    for mutation in [
        TicketMutation::None,
        TicketMutation::AcceptsAnyIncarnation,
        TicketMutation::IgnoresLedger,
        TicketMutation::RefusedNotVoided,
        TicketMutation::TimeoutIsNotRun,
        TicketMutation::RunningNotRecorded,
    ] {
        explore("tickets", &mutation, &TicketModel { mutation });
    }
    for mutation in [
        AttemptMutation::None,
        AttemptMutation::RetriesUnknown,
        AttemptMutation::BrokenConnectionIsNotRun,
        AttemptMutation::ReportsUnknownAsNotRun,
        AttemptMutation::HandsBackRunning,
    ] {
        explore("attempts", &mutation, &AttemptModel { mutation });
    }
    for mutation in [
        QuotaMutation::None,
        QuotaMutation::NoHandoverWait,
        QuotaMutation::GrantsWithoutContact,
        QuotaMutation::FullBucketAtStart,
    ] {
        explore("quotas", &mutation, &QuotaModel { mutation });
    }
    for mutation in [
        LoanMutation::None,
        LoanMutation::LenderKeepsTokens,
        LoanMutation::LostLoanIsReturned,
        LoanMutation::LoansDoNotExpire,
        LoanMutation::FullAtStart,
    ] {
        explore("loans", &mutation, &RetryLoanModel { mutation });
    }
    for mutation in [
        RestoreMutation::None,
        RestoreMutation::IgnoresEraOnRead,
        RestoreMutation::OrdersListsByRevision,
        RestoreMutation::OrdersConfigurationsByRevision,
        RestoreMutation::ForgetsLeaving,
        RestoreMutation::JoinsWithoutSync,
    ] {
        explore("returns", &mutation, &RestoreModel { mutation });
    }
    for mutation in [
        ReplicationMutation::None,
        ReplicationMutation::AcceptsAnyVersion,
        ReplicationMutation::ServesBeforeSync,
        ReplicationMutation::NoExchange,
    ] {
        explore("spread", &mutation, &ReplicationModel { mutation });
    }
}

/// Explores `model` and prints the result, labelled with the model's name and its mutation.
fn explore<M: Model>(name: &str, mutation: &impl Debug, model: &M) {
    let started = Instant::now();
    let result = search(model);
    let elapsed_ms = started.elapsed().as_millis();
    match result.counterexample {
        None => println!("{name} {mutation:?}: holds in all {} states, {elapsed_ms} ms", result.state_count),
        Some((invariant, path)) => {
            println!(
                "{name} {mutation:?}: violated after {} steps: {invariant}, {elapsed_ms} ms",
                path.len() - 1
            );
        }
    }
}
