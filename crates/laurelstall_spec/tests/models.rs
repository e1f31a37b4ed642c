//! The design holds in all states; without any one of its rules, the search finds the fault.

use laurelstall_spec::{
    attempts::{self, AttemptModel},
    quotas::{self, QuotaModel},
    returns::{self, ReturnModel},
    search::{Model, search},
    spread::{self, SpreadModel},
    tickets::{self, TicketModel},
};

fn holds<M: Model>(model: &M, states_min: usize) {
    let found = search(model);
    assert_eq!(found.counterexample, None);
    assert!(found.states >= states_min, "only {} states were explored", found.states);
}

fn breaks<M: Model>(model: &M, invariant: &str) {
    let found = search(model).counterexample.map(|(invariant, _)| invariant);
    assert_eq!(found, Some(invariant));
}

#[test]
fn tickets_hold() {
    holds(&TicketModel { weakness: tickets::Weakness::None }, 1_000);
}

#[test]
fn tickets_break_without_each_rule() {
    use tickets::Weakness as W;
    for weakness in [W::AnyIncarnation, W::NoLedger, W::NoVoid, W::TimeoutIsNotRun, W::ForgetsRunning] {
        breaks(&TicketModel { weakness }, "told not run, but it ran");
    }
}

#[test]
fn attempts_hold() {
    holds(&AttemptModel { weakness: attempts::Weakness::None }, 60);
}

#[test]
fn attempts_break_without_each_rule() {
    use attempts::Weakness as W;
    breaks(&AttemptModel { weakness: W::RetryUnknown }, "a call that may not be repeated took effect twice");
    for weakness in [W::BrokenIsNotRun, W::ForgetsUnknown, W::HandsBackRunning] {
        breaks(&AttemptModel { weakness }, "told not run, but it ran");
    }
}

#[test]
fn spread_holds() {
    holds(&SpreadModel { weakness: spread::Weakness::None }, 1_000);
}

#[test]
fn spread_breaks_without_each_rule() {
    use spread::Weakness as W;
    for weakness in [W::TakesAny, W::ServesBeforeAsking] {
        breaks(&SpreadModel { weakness }, "a node went back to an older version");
    }
    breaks(&SpreadModel { weakness: W::NoExchange }, "nodes that reach each other stay apart");
}

#[test]
fn quotas_hold() {
    holds(&QuotaModel { weakness: quotas::Weakness::None }, 1_000);
}

#[test]
fn quotas_break_without_each_rule() {
    use quotas::Weakness as W;
    for weakness in [W::NoHandover, W::NoSilence, W::FullAtStart] {
        breaks(&QuotaModel { weakness }, "more tokens were given out than the bound allows");
    }
}

#[test]
fn returns_hold() {
    holds(&ReturnModel { weakness: returns::Weakness::None }, 1_000);
}

#[test]
fn returns_break_without_each_rule() {
    use returns::Weakness as W;
    breaks(
        &ReturnModel { weakness: W::OrdersByRevision },
        "a configuration that was written again is not in force",
    );
    breaks(
        &ReturnModel { weakness: W::KeepsRevision },
        "a configuration that was written again is not in force",
    );
    breaks(&ReturnModel { weakness: W::TakesCopysWord }, "a target that said it leaves is in service again");
    breaks(
        &ReturnModel { weakness: W::JoinsAlone },
        "a node serves by an older configuration than others hold",
    );
    breaks(
        &ReturnModel { weakness: W::ComparesRevisions },
        "nodes that have read the store hold another list",
    );
}
