//! Load balancing decisions of an entry node, in single cases and in long random runs.

mod support;

use laurelstall_balance::{
    attempt_budget::{AttemptBudget, BudgetClass},
    hint::{Hint, TargetState},
    least_cost::LeastCost,
    observe_budget::{ObserveBudget, ObserveCost},
    service_balancer::{AttemptResult, ChoiceRequest, ServiceBalancer},
    target_view::TargetView,
    typical_budgets::TypicalBudgets,
};
use laurelstall_config::team::ServiceLimits;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use support::{any_target, choose};

const START_US: u64 = 1_000_000;
const SECOND_US: u64 = 1_000_000;

fn balancer(targets: usize, limits: ServiceLimits) -> ServiceBalancer {
    let mut balancer = ServiceBalancer::new(limits, Box::new(LeastCost::default()), 7);
    balancer.set_targets(limits, views(targets));
    balancer
}

fn views(targets: usize) -> Vec<TargetView> {
    (0..targets).map(|n| TargetView::new(&format!("t-{n}"), &format!("h-{n}"), 12, 100, START_US)).collect()
}

fn hint(in_flight: u32, queued: u32) -> Hint {
    Hint {
        incarnation: 1,
        in_flight,
        queued,
        limit: 12,
        service_us: 10_000,
        slowness_percent: 100,
        state: TargetState::Serving,
    }
}

#[test]
fn the_least_loaded_target_by_fresh_hints_is_chosen() {
    let mut balancer = balancer(4, ServiceLimits::default());
    for index in 0..4 {
        let load = if index == 2 { 1 } else { 12 };
        balancer.update_hint(index, &format!("t-{index}"), hint(load, load), START_US);
    }
    for _ in 0..20 {
        assert_eq!(choose(&mut balancer, START_US), Some(2));
    }
}

#[test]
fn own_calls_in_flight_outweigh_an_old_hint() {
    let mut balancer = balancer(2, ServiceLimits::default());
    balancer.update_hint(0, "t-0", hint(0, 0), START_US);
    balancer.update_hint(1, "t-1", hint(12, 3), START_US);
    for _ in 0..30 {
        balancer.note_sent(0);
    }
    assert_eq!(choose(&mut balancer, START_US + 5 * SECOND_US), Some(1));
}

#[test]
fn a_draining_target_is_tried_again_after_a_second() {
    let mut balancer = balancer(1, ServiceLimits::default());
    balancer.update_hint(0, "t-0", Hint { state: TargetState::Draining, ..hint(0, 0) }, START_US);
    assert_eq!(choose(&mut balancer, START_US + SECOND_US / 2), None);
    let later_us = START_US + SECOND_US + SECOND_US / 2;
    assert_eq!(choose(&mut balancer, later_us), Some(0), "it may be back without a hint");
    balancer.note_draining(0, "t-0", later_us);
    assert_eq!(choose(&mut balancer, later_us + SECOND_US / 2), None, "it refused since it still drains");
}

#[test]
fn draining_and_leaving_targets_get_no_calls() {
    let mut balancer = balancer(3, ServiceLimits::default());
    balancer.update_hint(0, "t-0", Hint { state: TargetState::Draining, ..hint(0, 0) }, START_US);
    let mut listed = views(3);
    listed[1].is_live = false;
    balancer.set_targets(ServiceLimits::default(), listed);
    for step in 0..50 {
        assert_eq!(choose(&mut balancer, START_US + step), Some(2));
    }
}

#[test]
fn a_target_that_fails_fast_is_avoided_then_tried_again() {
    let mut balancer = balancer(4, ServiceLimits::default());
    for _ in 0..6 {
        balancer.note_sent(0);
        balancer.note_result(0, "t-0", 0, AttemptResult::Failed, START_US);
    }
    for step in 0..200 {
        assert_ne!(choose(&mut balancer, START_US + step), Some(0));
    }
    let later = START_US + 30 * SECOND_US;
    let is_chosen = (0..400).any(|step| choose(&mut balancer, later + step) == Some(0));
    assert!(is_chosen, "the target was never tried again");
}

#[test]
fn at_most_the_configured_percentage_is_ejected() {
    let mut balancer = balancer(6, ServiceLimits { ejected_max_percent: 34, ..ServiceLimits::default() });
    // The targets fail one after the other, so that each is an outlier among the rest.
    for index in 0..6 {
        for _ in 0..20 {
            balancer.note_sent(index);
            balancer.note_result(index, &format!("t-{index}"), 0, AttemptResult::Failed, START_US);
        }
    }
    let ejected = balancer.targets().iter().filter(|view| view.ejection.is_ejected(START_US)).count();
    assert_eq!(ejected, 2);
}

#[test]
fn only_lasting_slowness_ejects_a_target() {
    let mut balancer = balancer(4, ServiceLimits::default());
    let mut run = |from_us: u64, length_us: u64| {
        for step in 0..100 {
            let now_us = from_us + step * length_us / 100;
            for index in 0..4 {
                let latency_us = if index == 0 { 100_000 } else { 10_000 };
                balancer.note_sent(index);
                balancer.note_result(
                    index,
                    &format!("t-{index}"),
                    0,
                    AttemptResult::Succeeded(latency_us),
                    now_us,
                );
            }
        }
        balancer.totals().ejections
    };
    assert_eq!(run(START_US, SECOND_US / 2), 0);
    assert!(run(START_US + SECOND_US / 2, 2 * SECOND_US) > 0);
}

#[test]
fn new_and_restarted_targets_ramp_up() {
    let mut balancer = balancer(2, ServiceLimits::default());
    balancer.set_targets(ServiceLimits::default(), views(3));
    let count = |balancer: &mut ServiceBalancer, now_us: u64| {
        (0..300).filter(|step| choose(balancer, now_us + step) == Some(2)).count()
    };
    assert_eq!(count(&mut balancer, START_US), 0);
    assert!(count(&mut balancer, START_US + 10 * SECOND_US) > 30);
    balancer.update_hint(2, "t-2", hint(0, 0), START_US + 10 * SECOND_US);
    balancer.update_hint(2, "t-2", Hint { incarnation: 2, ..hint(0, 0) }, START_US + 10 * SECOND_US);
    assert_eq!(count(&mut balancer, START_US + 10 * SECOND_US), 0);
}

#[test]
fn no_hedges_are_sent_while_the_service_queues() {
    let mut balancer = balancer(3, ServiceLimits { hedge_percent: 50, ..ServiceLimits::default() });
    for _ in 0..40 {
        balancer.note_sent(0);
        balancer.note_result(0, "t-0", 0, AttemptResult::Succeeded(1_000), START_US);
    }
    assert!(balancer.try_withdraw_hedge(START_US));
    for index in 0..3 {
        balancer.update_hint(index, &format!("t-{index}"), hint(12, 12), START_US);
    }
    assert!(!balancer.try_withdraw_hedge(START_US));
}

#[test]
fn a_refusal_counts_without_a_hint() {
    let mut balancer = balancer(2, ServiceLimits::default());
    balancer.note_queueing(0, "t-0", true, START_US);
    assert_eq!(choose(&mut balancer, START_US), Some(1));
    assert!(!balancer.is_queueing(START_US), "the load of the other target is unknown");
    balancer.note_queueing(1, "t-1", true, START_US);
    assert!(balancer.is_queueing(START_US));
}

#[test]
fn retries_stay_within_their_percentage() {
    let mut budget = AttemptBudget::new(10, 0.0);
    let mut rng = SmallRng::seed_from_u64(3);
    let mut granted = 0;
    for call in 0..10_000 {
        let now_us = call * 1_000;
        budget.note_call(now_us);
        budget.deposit(now_us);
        let mut spend = || u32::from(budget.try_withdraw(BudgetClass::MostImportant, rng.random(), now_us));
        granted += spend() + spend();
    }
    assert!(granted <= 1_000, "{granted}");
    assert!(granted >= 900, "{granted}");
    assert!(!AttemptBudget::new(0, 10.0).try_withdraw(BudgetClass::MostImportant, 0.0, 0));
}

#[test]
fn no_window_of_a_second_exceeds_the_probing_budget() {
    bolero::check!().with_type::<(u16, Vec<(u32, u16)>)>().with_iterations(2_000).for_each(
        |(rate, steps)| {
            let rate = u64::from(*rate);
            let mut budget = ObserveBudget::new(rate, 1_000_000);
            let mut now_us = START_US;
            let mut spent: Vec<(u64, u64)> = Vec::new();
            for (pause_us, bytes) in steps {
                now_us += u64::from(*pause_us) % 400_000;
                let cost = ObserveCost { bytes: u64::from(*bytes) % 2_000, messages: 0 };
                if budget.try_take(now_us, cost, 100) {
                    spent.push((now_us, cost.bytes));
                }
                let window = spent.iter().filter(|(at_us, _)| *at_us + SECOND_US > now_us);
                let total: u64 = window.map(|(_, bytes)| bytes).sum();
                assert!(total <= rate, "{total} of {rate}");
            }
        },
    );
}

#[test]
fn the_probing_budget_is_used_and_a_budget_of_zero_grants_nothing() {
    let mut budget = ObserveBudget::new(4_000, 10);
    let mut spent = 0;
    for step in 0..10_000 {
        let cost = ObserveCost { bytes: 21, messages: 0 };
        spent += u64::from(budget.try_take(START_US + step * 1_000, cost, 100)) * 21;
    }
    assert!(spent >= 27_000, "{spent} of 40000");
    for rate in [10, 100, 500, 1_000] {
        let mut small = ObserveBudget::new(rate, rate);
        let cost = ObserveCost { bytes: 5, messages: 1 };
        let taken =
            (0..100_000).filter(|step| small.try_take(START_US + step * 1_000, cost, 100)).count() as u64;
        assert!(taken * 5 >= rate * 100 / 3, "{taken} of {rate} a second in 100 s");
    }
    let mut none = ObserveBudget::new(0, 0);
    assert!(!none.try_take(START_US, ObserveCost { bytes: 1, messages: 0 }, 100));
}

/// Plays calls with random results in random order and checks the invariants of choices, counts and ejections.
fn random_run(seed: u64, steps: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut balancer = balancer(5, ServiceLimits::default());
    let mut now_us = START_US;
    let mut running: Vec<(usize, String)> = Vec::new();
    for _ in 0..steps {
        now_us += rng.random_range(0..20_000);
        match rng.random_range(0..10) {
            0..4 => {
                let excluded = [rng.random_range(0..5)];
                let choice = balancer.choose(&ChoiceRequest { excluded: &excluded, ..any_target(now_us) });
                let Some(choice) = choice else { continue };
                let view = &balancer.targets()[choice.index];
                assert!(view.is_eligible(now_us) && choice.index != excluded[0]);
                running.push((choice.index, view.name.clone()));
                balancer.note_sent(choice.index);
            }
            4..8 if !running.is_empty() => {
                let (index, name) = running.swap_remove(rng.random_range(0..running.len()));
                let result = match rng.random_range(0..4) {
                    0 => AttemptResult::Succeeded(rng.random_range(1..100_000)),
                    1 => AttemptResult::Failed,
                    2 => AttemptResult::NotRun,
                    _ => AttemptResult::Cancelled,
                };
                balancer.note_result(index, &name, 0, result, now_us);
            }
            8 => {
                let index = rng.random_range(0..5);
                let hint = Hint { incarnation: rng.random_range(1..3), ..hint(rng.random_range(0..30), 0) };
                balancer.update_hint(index, &format!("t-{index}"), hint, now_us);
            }
            _ => {
                let mut listed = views(5);
                listed[rng.random_range(0..5)].is_live = rng.random();
                balancer.set_targets(ServiceLimits::default(), listed);
            }
        }
        let in_flight: u32 = balancer.targets().iter().map(TargetView::in_flight).sum();
        assert_eq!(in_flight as usize, running.len());
        let ejected = balancer.targets().iter().filter(|view| view.ejection.is_ejected(now_us)).count();
        assert!(ejected <= 1, "{ejected} of 5 targets are ejected");
    }
}

#[test]
fn long_random_runs_keep_all_invariants() {
    for seed in 0..20 {
        random_run(seed, 5_000);
    }
}

/// Run it with `cargo test --release -p laurelstall_balance --test decisions -- --ignored`.
#[test]
#[ignore = "runs for minutes"]
fn much_longer_random_runs_keep_all_invariants() {
    for seed in 1_000..3_000 {
        random_run(seed, 100_000);
    }
}

#[test]
fn a_call_leaves_its_data_centre_only_if_the_local_target_would_be_late() {
    let mut balancer = balancer(2, ServiceLimits::default());
    let mut listed = views(2);
    listed[1].remote_cost_percent = 50;
    balancer.set_targets(ServiceLimits::default(), listed);
    let mut choose = |percent: u32, useful_ms: u64| {
        let local = Hint { slowness_percent: percent, ..hint(0, 0) };
        balancer.update_hint(0, "t-0", local, START_US);
        balancer.update_hint(1, "t-1", hint(0, 0), START_US);
        let useful_us = Some(useful_ms * 1_000);
        let request = ChoiceRequest { useful_us, ..any_target(START_US) };
        balancer.choose(&request).expect("a target").index
    };
    // A call takes 10 ms, or 40 ms while the local target is slow.
    assert_eq!(choose(100, 30), 0, "both targets are in time");
    assert_eq!(choose(400, 100), 0, "the slow target is in time too");
    assert_eq!(choose(400, 30), 1, "the local target would be late");
}

#[test]
fn a_target_is_slow_only_compared_with_the_others() {
    let mut balancer = balancer(4, ServiceLimits::default());
    // A cold target, at 200 %, takes calls, and one with a noisy neighbour, at 400 %, does not.
    assert_eq!(balancer.slow_from_percent(START_US), 300, "no target has sent a hint");
    for index in 0..4 {
        let cold = Hint { slowness_percent: 200, ..hint(0, 0) };
        balancer.update_hint(index, &format!("t-{index}"), cold, START_US);
    }
    assert_eq!(balancer.slow_from_percent(START_US), 400, "all targets are slow");
    for index in 0..2 {
        balancer.update_hint(index, &format!("t-{index}"), hint(0, 0), START_US);
    }
    assert_eq!(balancer.slow_from_percent(START_US), 200, "half of the targets are not slow");
    assert_eq!(balancer.slow_from_percent(START_US + SECOND_US), 200, "hints of a second ago count");
    assert_eq!(balancer.slow_from_percent(START_US + 3 * SECOND_US), 300, "the hints are too old");
}

#[test]
fn a_call_with_less_than_the_typical_budget_is_a_retry() {
    let mut budgets = TypicalBudgets::default();
    for _ in 0..20 {
        assert!(!budgets.note(1, 800), "the typical budget");
    }
    assert!(budgets.note(1, 610), "part of the budget was spent before");
    assert!(!budgets.note(1, 2_400), "a longer budget");
    assert!(!budgets.note(2, 610), "the class is unknown");
}

#[test]
fn without_a_typical_budget_no_call_is_a_retry() {
    let mut budgets = TypicalBudgets::default();
    let is_any = (0..2_000u64).any(|call| budgets.note(1, 100 + call * 37 % 900));
    assert!(!is_any);
}

#[test]
fn the_typical_budget_is_found_although_most_calls_are_retries() {
    let mut budgets = TypicalBudgets::default();
    let mut detected = 0;
    for call in 0..900u64 {
        let is_retry = call % 3 != 0;
        let budget_ms = if is_retry { 300 + call * 7 % 400 } else { 800 };
        let is_detected = budgets.note(1, budget_ms);
        assert!(is_retry || !is_detected);
        detected += u32::from(is_detected);
    }
    assert!(detected > 500, "{detected} of 600");
}

#[test]
fn of_many_equal_targets_a_local_one_is_chosen() {
    let mut balancer = ServiceBalancer::new(ServiceLimits::default(), Box::new(LeastCost::default()), 7);
    let mut listed = views(30);
    for view in &mut listed[6..] {
        view.remote_cost_percent = 90;
    }
    balancer.set_targets(ServiceLimits::default(), listed);
    for index in 0..30 {
        balancer.update_hint(index, &format!("t-{index}"), hint(1, 0), START_US);
    }
    let remote = (0..500).filter(|_| {
        let choice = choose(&mut balancer, START_US).expect("all are eligible");
        balancer.note_result(choice, &format!("t-{choice}"), 0, AttemptResult::Cancelled, START_US);
        choice >= 6
    });
    assert_eq!(remote.count(), 0);
}

#[test]
fn a_call_that_busy_local_targets_refused_leaves_its_data_centre() {
    let mut balancer = balancer(3, ServiceLimits::default());
    let mut listed = views(3);
    listed[2].remote_cost_percent = 90;
    balancer.set_targets(ServiceLimits::default(), listed);
    balancer.update_hint(0, "t-0", hint(12, 12), START_US);
    balancer.update_hint(1, "t-1", hint(12, 6), START_US);
    balancer.update_hint(2, "t-2", hint(0, 0), START_US);
    let mut choose = |waives_remote_cost: bool| {
        let useful_us = Some(20_000);
        let request = ChoiceRequest { excluded: &[0], useful_us, waives_remote_cost, ..any_target(START_US) };
        balancer.choose(&request).expect("a target").index
    };
    assert_eq!(choose(false), 1, "a local target is tried first");
    assert_eq!(choose(true), 2, "then the call goes to an idle remote target");
}
