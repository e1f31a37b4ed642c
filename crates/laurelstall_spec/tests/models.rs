//! Checks that each model holds in all states, and that the search finds a counterexample when any rule is
//! left out.

use laurelstall_spec::{
    attempts::{self, AttemptModel},
    quotas::{self, QuotaModel},
    replication::{self, ReplicationModel},
    restores::{self, RestoreModel},
    retry_loans::{self, RetryLoanModel},
    search::{Model, search},
    tickets::{self, TicketModel},
};

fn assert_holds<M: Model>(model: &M, states_min: usize) {
    let result = search(model);
    assert_eq!(result.counterexample, None);
    assert!(result.state_count >= states_min, "only {} states were explored", result.state_count);
}

fn assert_violates<M: Model>(model: &M, invariant: &str) {
    let violated = search(model).counterexample.map(|(invariant, _)| invariant);
    assert_eq!(violated, Some(invariant));
}

#[test]
fn tickets_hold() {
    assert_holds(&TicketModel { mutation: tickets::Mutation::None }, 1_000);
}

#[test]
fn tickets_break_without_each_rule() {
    use tickets::Mutation;
    for mutation in [
        Mutation::AcceptsAnyIncarnation,
        Mutation::IgnoresLedger,
        Mutation::RefusedNotVoided,
        Mutation::TimeoutIsNotRun,
        Mutation::RunningNotRecorded,
    ] {
        assert_violates(&TicketModel { mutation }, "reported as not run, but it ran");
    }
}

#[test]
fn attempts_hold() {
    assert_holds(&AttemptModel { mutation: attempts::Mutation::None }, 60);
}

#[test]
fn attempts_break_without_each_rule() {
    use attempts::Mutation;
    assert_violates(
        &AttemptModel { mutation: Mutation::RetriesUnknown },
        "a call that must not be repeated took effect twice",
    );
    for mutation in
        [Mutation::BrokenConnectionIsNotRun, Mutation::ReportsUnknownAsNotRun, Mutation::HandsBackRunning]
    {
        assert_violates(&AttemptModel { mutation }, "reported as not run, but it ran");
    }
}

#[test]
fn replication_holds() {
    assert_holds(&ReplicationModel { mutation: replication::Mutation::None }, 1_000);
}

#[test]
fn replication_breaks_without_each_rule() {
    use replication::Mutation;
    for mutation in [Mutation::AcceptsAnyVersion, Mutation::ServesBeforeSync] {
        assert_violates(&ReplicationModel { mutation }, "a node went back to an older version");
    }
    assert_violates(&ReplicationModel { mutation: Mutation::NoExchange }, "connected nodes do not converge");
}

#[test]
fn quotas_hold() {
    assert_holds(&QuotaModel { mutation: quotas::Mutation::None }, 1_000);
}

#[test]
fn quotas_break_without_each_rule() {
    use quotas::Mutation;
    for mutation in [Mutation::NoHandoverWait, Mutation::GrantsWithoutContact, Mutation::FullBucketAtStart] {
        assert_violates(&QuotaModel { mutation }, "more tokens were granted than the bound allows");
    }
}

#[test]
fn restores_hold() {
    assert_holds(&RestoreModel { mutation: restores::Mutation::None }, 1_000);
}

#[test]
fn restores_break_without_each_rule() {
    use restores::Mutation;
    assert_violates(
        &RestoreModel { mutation: Mutation::OrdersConfigurationsByRevision },
        "a configuration that was written again is not active",
    );
    assert_violates(
        &RestoreModel { mutation: Mutation::IgnoresEraOnRead },
        "a configuration that was written again is not active",
    );
    assert_violates(
        &RestoreModel { mutation: Mutation::ForgetsLeaving },
        "a target that announced that it leaves is in service again",
    );
    assert_violates(
        &RestoreModel { mutation: Mutation::JoinsWithoutSync },
        "a node serves with an older configuration than its peers hold",
    );
    assert_violates(
        &RestoreModel { mutation: Mutation::OrdersListsByRevision },
        "nodes that have read the store hold a different list",
    );
}

#[test]
fn retry_loans_hold() {
    assert_holds(&RetryLoanModel { mutation: retry_loans::Mutation::None }, 1_000);
}

#[test]
fn retry_loans_break_without_each_rule() {
    use retry_loans::Mutation;
    for mutation in [
        Mutation::LenderKeepsTokens,
        Mutation::LostLoanIsReturned,
        Mutation::LoansDoNotExpire,
        Mutation::FullAtStart,
    ] {
        assert_violates(&RetryLoanModel { mutation }, "more retries were made than the bound allows");
    }
}
