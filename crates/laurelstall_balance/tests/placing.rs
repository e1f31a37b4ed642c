//! A simulation of 300 entry nodes that send calls to 144 targets with noisy neighbours in five data centres.
//!
//! Each entry node sends few calls, so its last hint from a target is seconds old when the target is chosen again. The
//! guard of a target queues a call only as long as its answer is useful.

use laurelstall_balance::{
    hint::{Hint, TargetState},
    least_cost::LeastCost,
    service_balancer::{AttemptResult, ChoiceRequest, ServiceBalancer},
    target_view::TargetView,
};
use laurelstall_config::team::ServiceLimits;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
};

const ENTRIES: usize = 300;
const TARGETS: usize = 144;
const DATA_CENTRES: usize = 5;
const LIMIT: u32 = 7;
const RUN_US: u64 = 310_000;
const USEFUL_US: u64 = 800_000;
const SECOND_US: u64 = 1_000_000;
/// Share of the targets that are slow at any time, by which factor, and for how long.
const SLOW_SHARE: f64 = 0.25;
const SLOW_FACTOR: u64 = 4;
const PHASE_US: u64 = 300_000;
const SIMULATED_S: u64 = 20;
/// Time from which calls count in the result.
const WARM_UP_US: u64 = 5 * SECOND_US;
/// Largest number of attempts per call.
const ATTEMPTS_MAX: usize = 8;
/// Cost of a remote data centre in percent of the value of an answer.
const REMOTE_COST_PERCENT: u32 = 90;

struct Target {
    running: u32,
    waiting: VecDeque<Waiting>,
    /// Part of the seed of the slow phases.
    phase: u64,
}

impl Target {
    fn slowness(&self, now_us: u64, seed: u64) -> u64 {
        let mut rng =
            SmallRng::seed_from_u64(seed ^ (now_us / PHASE_US).wrapping_mul(0x9e37_79b9) ^ self.phase);
        if rng.random_bool(SLOW_SHARE) { SLOW_FACTOR } else { 1 }
    }

    fn hint(&self, now_us: u64, seed: u64) -> Hint {
        Hint {
            incarnation: 1,
            in_flight: self.running,
            queued: self.waiting.len() as u32,
            limit: LIMIT,
            service_us: RUN_US as u32,
            slowness_percent: 100 * self.slowness(now_us, seed) as u32,
            state: TargetState::Serving,
        }
    }
}

/// A call in the queue of a target.
struct Waiting {
    arrived_us: u64,
    entry: usize,
}

/// The end of a run; ordered by time.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct End {
    at_us: u64,
    target: usize,
    entry: usize,
    /// When the call arrived at its entry node, and when its run started.
    arrived_us: u64,
    started_us: u64,
}

/// The results of the simulated calls.
#[derive(Debug, Default, Clone, Copy)]
struct Outcome {
    calls: u32,
    in_time: u32,
    refused: u32,
    remote: u32,
    attempts: u32,
}

impl Outcome {
    fn share_in_time(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.calls.max(1))
    }
}

/// A simulated fleet and its running calls.
struct Fleet {
    seed: u64,
    rng: SmallRng,
    entries: Vec<ServiceBalancer>,
    targets: Vec<Target>,
    ends: BinaryHeap<Reverse<End>>,
    /// Number of targets that an entry node probes before a call.
    probes: usize,
    result: Outcome,
}

impl Fleet {
    fn new(probes: usize, seed: u64) -> Self {
        let targets =
            (0..TARGETS).map(|n| Target { running: 0, waiting: VecDeque::new(), phase: n as u64 * 7_919 });
        let entry = |n: usize| {
            let limits = ServiceLimits { slow_start_ms: 0, ..ServiceLimits::default() };
            let mut balancer = ServiceBalancer::new(limits, Box::new(LeastCost::default()), seed + n as u64);
            let views = (0..TARGETS).map(|t| {
                let is_remote = t % DATA_CENTRES != n % DATA_CENTRES;
                let round_trip_us = if is_remote { 2_000 } else { 300 };
                let mut view = TargetView::new(&format!("t-{t}"), &format!("h-{t}"), 9, round_trip_us, 0);
                view.remote_cost_percent = if is_remote { REMOTE_COST_PERCENT } else { 0 };
                view
            });
            balancer.set_targets(limits, views.collect());
            balancer
        };
        Self {
            seed,
            rng: SmallRng::seed_from_u64(seed),
            entries: (0..ENTRIES).map(entry).collect(),
            targets: targets.collect(),
            ends: BinaryHeap::new(),
            probes,
            result: Outcome::default(),
        }
    }

    /// Probes the load of a few targets, as a node does before it chooses one.
    fn probe(&mut self, entry: usize, now_us: u64) {
        for probed in self.entries[entry].targets_to_probe(self.probes, now_us) {
            let hint = self.targets[probed.index].hint(now_us, self.seed);
            self.entries[entry].update_hint(probed.index, &probed.name, hint, now_us);
        }
    }

    fn call(&mut self, entry: usize, arrived_us: u64) {
        self.probe(entry, arrived_us);
        let counts = arrived_us >= WARM_UP_US;
        self.result.calls += u32::from(counts);
        let mut excluded = Vec::new();
        let mut slow = Vec::new();
        let mut now_us = arrived_us;
        for _ in 0..ATTEMPTS_MAX {
            let useful_us = Some((arrived_us + USEFUL_US).saturating_sub(now_us));
            let request = ChoiceRequest {
                excluded: &excluded,
                only: None,
                data_centres: None,
                class: 1,
                useful_us,
                waives_remote_cost: !excluded.is_empty(),
                now_us,
            };
            let Some(choice) = self.entries[entry].choose(&request) else { break };
            let target = choice.index;
            self.result.attempts += u32::from(counts);
            let is_remote = target % DATA_CENTRES != entry % DATA_CENTRES;
            now_us += if is_remote { 2_000 } else { 300 };
            let hint = self.targets[target].hint(now_us, self.seed);
            let name = format!("t-{target}");
            let slow_from = self.entries[entry].slow_from_percent(now_us);
            if hint.slowness_percent >= slow_from && !slow.contains(&target) {
                slow.push(target);
                self.entries[entry].note_slow_refusal(target, &name, hint.slowness_percent, now_us);
                continue;
            }
            let run_us = RUN_US * u64::from(hint.slowness_percent) / 100;
            let waiting = self.targets[target].waiting.len() as u64 + u64::from(hint.in_flight >= LIMIT);
            let wait_us = waiting * RUN_US / u64::from(LIMIT);
            if now_us + wait_us + run_us > arrived_us + USEFUL_US {
                excluded.push(target);
                self.entries[entry].note_queueing(target, &name, true, now_us);
                continue;
            }
            self.result.remote += u32::from(is_remote && counts);
            self.entries[entry].note_sent(target);
            if hint.in_flight < LIMIT {
                self.start_run(target, entry, arrived_us, now_us);
            } else {
                self.targets[target].waiting.push_back(Waiting { arrived_us, entry });
            }
            return;
        }
        self.result.refused += u32::from(counts);
    }

    fn start_run(&mut self, target: usize, entry: usize, arrived_us: u64, now_us: u64) {
        self.targets[target].running += 1;
        let run_us = RUN_US * self.targets[target].slowness(now_us, self.seed);
        let run_us = (run_us as f64 * self.rng.random_range(0.6..1.4)) as u64;
        let end = End { at_us: now_us + run_us, target, entry, arrived_us, started_us: now_us };
        self.ends.push(Reverse(end));
    }

    fn end_until(&mut self, until_us: u64) {
        while self.ends.peek().is_some_and(|Reverse(end)| end.at_us <= until_us) {
            let Some(Reverse(end)) = self.ends.pop() else { return };
            let End { at_us, target, entry, arrived_us, started_us } = end;
            self.targets[target].running -= 1;
            let hint = self.targets[target].hint(at_us, self.seed);
            let name = format!("t-{target}");
            self.entries[entry].update_hint(target, &name, hint, at_us);
            let result = AttemptResult::Succeeded(at_us - started_us);
            self.entries[entry].note_result(target, &name, 1, result, at_us);
            let is_in_time = at_us - arrived_us <= USEFUL_US;
            self.result.in_time += u32::from(is_in_time && arrived_us >= WARM_UP_US);
            if let Some(Waiting { arrived_us, entry }) = self.targets[target].waiting.pop_front() {
                self.start_run(target, entry, arrived_us, at_us);
            }
        }
    }
}

/// Simulates calls at `load` times the capacity of the targets at normal speed. `shares` has the weight of each data
/// centre in the arrivals, and an entry node probes `probes` targets before each call.
fn simulate(load: f64, probes: usize, shares: [f64; DATA_CENTRES], seed: u64) -> Outcome {
    let mut fleet = Fleet::new(probes, seed);
    let per_s = load * TARGETS as f64 * f64::from(LIMIT) * SECOND_US as f64 / RUN_US as f64;
    let mut now_us = 0.0;
    while now_us < (SIMULATED_S * SECOND_US) as f64 {
        now_us += -fleet.rng.random::<f64>().max(1e-9).ln() * SECOND_US as f64 / per_s;
        fleet.end_until(now_us as u64);
        let mut draw = fleet.rng.random_range(0.0..shares.iter().sum());
        let data_centre = shares.iter().position(|share| {
            draw -= share;
            draw < 0.0
        });
        let entry =
            fleet.rng.random_range(0..ENTRIES / DATA_CENTRES) * DATA_CENTRES + data_centre.unwrap_or(0);
        fleet.call(entry, now_us as u64);
    }
    fleet.end_until(u64::MAX);
    fleet.result
}

const EVEN: [f64; DATA_CENTRES] = [1.0; DATA_CENTRES];
/// Arrivals of a fleet whose last data centre has more than a third of the callers and a fifth of the targets.
const UNEVEN: [f64; DATA_CENTRES] = [0.5, 0.8, 1.0, 1.0, 2.0];
const SEEDS: [u64; 3] = [3, 4, 5];

fn mean(of: impl Fn(u64) -> f64) -> f64 {
    SEEDS.into_iter().map(of).sum::<f64>() / SEEDS.len() as f64
}

fn remote_share(outcome: &Outcome) -> f64 {
    f64::from(outcome.remote) / f64::from(outcome.calls.max(1))
}

#[test]
fn at_high_load_probes_before_calls_avoid_busy_targets() {
    let without = mean(|seed| simulate(0.6, 0, EVEN, seed).share_in_time());
    let probed = mean(|seed| simulate(0.6, 2, EVEN, seed).share_in_time());
    println!("share in time: {without:.3} without probes, {probed:.3} with two");
    assert!(probed > 0.93, "{probed}");
    assert!(probed > without + 0.05, "{probed} with probes, {without} without");
}

#[test]
fn at_low_load_no_target_is_probed() {
    let mut fleet = Fleet::new(2, 3);
    for step in 0..1_000 {
        let now_us = step * 1_000;
        fleet.end_until(now_us);
        assert!(fleet.entries[0].targets_to_probe(2, now_us).is_empty());
        fleet.call(step as usize % ENTRIES, now_us);
    }
}

#[test]
fn an_overloaded_data_centre_sends_calls_to_the_others() {
    let outcomes = SEEDS.map(|seed| simulate(0.4, 2, UNEVEN, seed));
    for outcome in &outcomes {
        println!(
            "in time {:.3}, remote {:.3}, {} attempts",
            outcome.share_in_time(),
            remote_share(outcome),
            outcome.attempts
        );
        assert!(outcome.share_in_time() > 0.95, "{outcome:?}");
        // Loads are equal when about a sixth of the calls leaves its data centre.
        assert!(remote_share(outcome) < 0.17, "{outcome:?}");
    }
}

#[test]
fn data_centres_with_equal_load_keep_their_calls() {
    for load in [0.25, 0.4, 0.5] {
        let remote = mean(|seed| remote_share(&simulate(load, 2, EVEN, seed)));
        assert!(remote < 0.02, "{remote} remote at load {load}");
    }
}
