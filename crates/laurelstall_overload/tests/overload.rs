//! Goodput of a service and of one behind it at up to 8 times the capacity, callers' returns included.

mod model;

use model::{BROWSE, Model, NESTED, ORDER, SECOND_US};
use std::ops::Range;

const LOADS: [f64; 6] = [0.5, 1.0, 1.5, 2.5, 4.0, 8.0];
/// Goodput in an overload, relative to the highest over all loads, that the design requires.
const GOODPUT_SHARE_MIN: f64 = 0.90;
/// Slots of the second service that suffice for the first at its capacity.
const ENOUGH_SLOTS: usize = 9;
/// Slots of the second service with which it is overloaded when the first runs orders only.
const FEW_SLOTS: usize = 4;
const SEEDS: Range<u64> = 1..5;

/// Measures at each load for ten seconds, after two seconds at it.
fn steady<T>(new: impl Fn() -> Model, measure: impl Fn(&mut Model, f64) -> T) -> Vec<T> {
    let measure_at = |load: &f64| {
        let mut model = new();
        model.run(*load, 2 * SECOND_US);
        measure(&mut model, *load)
    };
    LOADS.iter().map(measure_at).collect()
}

fn goodput(model: &mut Model, load: f64) -> f64 {
    model.run(load, 10 * SECOND_US)
}

fn assert_near_highest(goodput: &[f64], case: &str) {
    println!("{case}: {goodput:.1?}");
    let highest = goodput.iter().copied().fold(0.0, f64::max);
    for (load, answers) in LOADS.iter().zip(goodput).filter(|(load, _)| **load > 1.0) {
        assert!(*answers >= GOODPUT_SHARE_MIN * highest, "{case}, load {load}: {goodput:?}");
    }
}

#[test]
fn goodput_stays_near_the_highest_at_any_steady_load() {
    for seed in SEEDS {
        let goodput = steady(|| Model::new(seed, ENOUGH_SLOTS), goodput);
        assert_near_highest(&goodput, &format!("seed {seed}"));
    }
}

/// Runs that start in a slow phase are late however early they start, which must not stop the others. The phases halve
/// the capacity. Their random lengths change the goodput by a tenth, so it is summed over the seeds.
#[test]
fn goodput_stays_near_the_highest_when_targets_have_slow_phases() {
    let mut sums = [0.0; LOADS.len()];
    for seed in 1..9 {
        let new = || Model::new(seed, ENOUGH_SLOTS).with_slow_phases();
        let goodput = steady(new, |model, load| model.run(load / 2.0, 30 * SECOND_US));
        sums.iter_mut().zip(goodput).for_each(|(sum, goodput)| *sum += goodput);
    }
    assert_near_highest(&sums, "eight seeds");
}

#[test]
fn a_second_service_behind_keeps_its_goodput() {
    for seed in SEEDS {
        let nested = |model: &mut Model, load| {
            let before = model.in_time[NESTED];
            model.run(load, 10 * SECOND_US);
            (model.in_time[NESTED] - before) as f64 / 10.0
        };
        let goodput = steady(|| Model::new(seed, FEW_SLOTS), nested);
        assert_near_highest(&goodput, &format!("seed {seed}"));
    }
}

#[test]
fn the_less_important_class_is_shed_first() {
    for load in [1.5, 2.5] {
        let mut model = Model::new(3, ENOUGH_SLOTS);
        model.run(load, 2 * SECOND_US);
        (model.sent, model.in_time) = Default::default();
        model.run(load, 10 * SECOND_US);
        let share = |class: usize| model.in_time[class] as f64 / model.sent[class] as f64;
        println!("load {load}: orders {:.2}, browsing {:.2}", share(ORDER), share(BROWSE));
        // Orders alone are 0.6 and 1.0 times the capacity.
        assert!(share(ORDER) > 0.85, "load {load}: orders {:.2}", share(ORDER));
        assert!(share(BROWSE) < 0.6, "load {load}: browsing {:.2}", share(BROWSE));
    }
}

#[test]
fn goodput_holds_in_steps_of_the_load() {
    for seed in SEEDS {
        let best = Model::new(seed, ENOUGH_SLOTS).run(1.5, 10 * SECOND_US);
        let mut model = Model::new(seed, ENOUGH_SLOTS);
        for load in [2.5, 8.0, 1.5, 4.0] {
            model.run(0.5, 3 * SECOND_US);
            let goodput = model.run(load, 3 * SECOND_US);
            println!("seed {seed}: {goodput:.1} after a step to {load}, best {best:.1}");
            assert!(goodput >= GOODPUT_SHARE_MIN * best, "seed {seed}, step to {load}: {goodput} of {best}");
        }
    }
}

#[test]
fn a_guard_or_entry_without_state_recovers_within_a_second() {
    for seed in SEEDS {
        for lose in [Model::lose_guard_state, Model::lose_entry_state] {
            let mut model = Model::new(seed, ENOUGH_SLOTS);
            model.run(4.0, 2 * SECOND_US);
            let before = model.run(4.0, 5 * SECOND_US);
            lose(&mut model);
            let at_once = model.run(4.0, SECOND_US);
            let after = model.run(4.0, 2 * SECOND_US);
            println!("seed {seed}: {before:.1}, {at_once:.1} in the first second, then {after:.1}");
            assert!(after >= GOODPUT_SHARE_MIN * before, "seed {seed}: {after} of {before}");
        }
    }
}

#[test]
fn the_regime_ends_with_the_overload() {
    for seed in SEEDS {
        let mut model = Model::new(seed, ENOUGH_SLOTS);
        model.run(4.0, 5 * SECOND_US);
        assert!(model.is_limiting());
        // The callers that were refused return for half a second.
        model.run(0.4, SECOND_US);
        assert!(!model.is_overloaded(), "seed {seed}");
        model.run(0.4, 2 * SECOND_US);
        assert!(!model.is_limiting(), "seed {seed}");
    }
}

#[test]
fn nothing_changes_under_light_load_and_in_short_bursts() {
    for seed in SEEDS {
        let mut model = Model::new(seed, ENOUGH_SLOTS);
        for _ in 0..20 {
            model.run(0.5, SECOND_US);
            model.run(3.0, SECOND_US / 20);
            model.run(0.5, SECOND_US / 2);
            assert!(!model.is_limiting(), "seed {seed}");
        }
        assert_eq!(model.refused_by_entries, 0);
    }
}
