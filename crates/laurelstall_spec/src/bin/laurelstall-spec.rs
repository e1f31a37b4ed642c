//! Explores all models, whole and weakened, and prints what was found.

use laurelstall_spec::{
    attempts::{self, AttemptModel},
    quotas::{self, QuotaModel},
    returns::{self, ReturnModel},
    search::{Model, search},
    spread::{self, SpreadModel},
    tickets::{self, TicketModel},
};
use std::{fmt::Debug, time::Instant};

fn main() {
    use {
        attempts::Weakness as A, quotas::Weakness as Q, returns::Weakness as R, spread::Weakness as S,
        tickets::Weakness as T,
    };
    for weakness in
        [T::None, T::AnyIncarnation, T::NoLedger, T::NoVoid, T::TimeoutIsNotRun, T::ForgetsRunning]
    {
        show("tickets", &weakness, &TicketModel { weakness });
    }
    for weakness in [A::None, A::RetryUnknown, A::BrokenIsNotRun, A::ForgetsUnknown, A::HandsBackRunning] {
        show("attempts", &weakness, &AttemptModel { weakness });
    }
    for weakness in [Q::None, Q::NoHandover, Q::NoSilence, Q::FullAtStart] {
        show("quotas", &weakness, &QuotaModel { weakness });
    }
    for weakness in [
        R::None,
        R::KeepsRevision,
        R::ComparesRevisions,
        R::OrdersByRevision,
        R::TakesCopysWord,
        R::JoinsAlone,
    ] {
        show("returns", &weakness, &ReturnModel { weakness });
    }
    for weakness in [S::None, S::TakesAny, S::ServesBeforeAsking, S::NoExchange] {
        show("spread", &weakness, &SpreadModel { weakness });
    }
}

fn show<M: Model>(name: &str, weakness: &impl Debug, model: &M) {
    let started = Instant::now();
    let found = search(model);
    let took_ms = started.elapsed().as_millis();
    match found.counterexample {
        None => println!("{name} {weakness:?}: holds in all {} states, {took_ms} ms", found.states),
        Some((invariant, path)) => {
            println!("{name} {weakness:?}: broken after {} steps: {invariant}, {took_ms} ms", path.len() - 1);
        }
    }
}
