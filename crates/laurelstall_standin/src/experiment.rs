//! One scenario under one balancer, and what came of it.

use crate::{
    callers::{CallPlan, Callers, Entries, Finished, Seen, Totals, latency_of},
    fault::FaultContext,
    harness::Harness,
    harness_plan::{ChooserMaker, HarnessPlan, ServicePlan},
    latency::Latency,
    process::{cpu_s, threads_cpu_s},
    scenario::{Noise, Scenario},
    target::Targets,
    threads::RuntimeThread,
};
use laurelstall_balance::{
    baseline::{LeastStale, Oracle, Random, RoundRobin, TrueLoads, TwoChoices},
    chooser::Chooser,
};
use laurelstall_config::{settings::DecisionFormat, team::ServiceLimits};
use laurelstall_node::services::ChooserFactory;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use serde::Serialize;
use std::{collections::BTreeMap, sync::Arc, time::Instant as StdInstant};
use tokio::{
    task::JoinSet,
    time::{Duration, sleep},
};

/// Length of one window of the report in ms.
pub const WINDOW_MS: u64 = 250;
/// Pause between two looks at what was spent on observing, in ms.
const SAMPLE_MS: u64 = 100;
/// Threads that make calls.
const CALLER_THREADS: usize = 3;

/// The ways to balance that can be measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Balancer {
    /// The product's own.
    Laurelstall,
    /// Any target.
    Random,
    /// One after the other.
    RoundRobin,
    /// Least loaded by a delayed report.
    LeastStale,
    /// Better of two by own calls in flight.
    TwoChoices,
    /// Best by true load and speed.
    Oracle,
}

impl Balancer {
    /// All, the product's own first.
    pub const ALL: [Self; 6] =
        [Self::Laurelstall, Self::Random, Self::RoundRobin, Self::LeastStale, Self::TwoChoices, Self::Oracle];

    /// Its name.
    pub fn name(self) -> &'static str {
        match self {
            Self::Laurelstall => "laurelstall",
            Self::Random => "random",
            Self::RoundRobin => "round_robin",
            Self::LeastStale => "least_stale",
            Self::TwoChoices => "two_choices",
            Self::Oracle => "oracle",
        }
    }

    /// The one of this name.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|balancer| balancer.name() == name)
    }

    fn maker(self) -> Option<ChooserMaker> {
        if self == Self::Laurelstall {
            return None;
        }
        Some(Arc::new(move |targets: &Arc<Targets>| -> ChooserFactory {
            let targets = targets.clone();
            Arc::new(move || -> Box<dyn Chooser> {
                let loads: Arc<dyn TrueLoads> = targets.clone();
                match self {
                    Self::Random | Self::Laurelstall => Box::new(Random),
                    Self::RoundRobin => Box::new(RoundRobin::default()),
                    Self::LeastStale => Box::new(LeastStale::new(loads)),
                    Self::TwoChoices => Box::new(TwoChoices),
                    Self::Oracle => Box::new(Oracle::new(loads)),
                }
            })
        }))
    }
}

/// Changes to the defaults for one measurement.
#[derive(Debug, Clone, Copy)]
pub struct Tuning {
    /// Observing budget in percent of the default.
    pub observe_percent: u64,
    /// Limits of each service.
    pub limits: ServiceLimits,
    /// Hedge after so many ms; not at all when absent.
    pub hedge_after_ms: Option<u64>,
    /// Whether decisions are logged.
    pub has_decision_log: bool,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            observe_percent: 100,
            limits: ServiceLimits::default(),
            hedge_after_ms: None,
            has_decision_log: true,
        }
    }
}

/// What happened in one window of time.
#[derive(Debug, Clone, Serialize)]
pub struct Window {
    /// Its start in ms.
    pub from_ms: u64,
    /// 99th percentile of answered calls planned in it, in ms.
    pub p99_ms: f64,
    /// Calls answered.
    pub answered: u64,
    /// Calls answered with an error, unknown or lost.
    pub failed: u64,
    /// Calls told *not run*.
    pub not_run: u64,
}

/// The result of one scenario under one balancer.
#[derive(Debug, Clone, Serialize)]
pub struct BalancerResult {
    /// Median latency in ms.
    pub p50_ms: f64,
    /// 99th percentile in ms.
    pub p99_ms: f64,
    /// 99.9th percentile in ms.
    pub p999_ms: f64,
    /// Calls answered a second.
    pub goodput_per_s: f64,
    /// Calls a second that all targets could do undisturbed.
    pub capacity_per_s: f64,
    /// Counts.
    #[serde(flatten)]
    pub totals: Totals,
    /// 99th percentile of the time to a refusal, in ms.
    pub refused_p99_ms: f64,
    /// Most bytes a node spent on observing in any second.
    pub observe_bytes_per_s_max: u64,
    /// What it may spend.
    pub observe_budget_bytes_per_s: u64,
    /// Bytes a second a node spent on observing on average.
    pub observe_bytes_per_s_mean: f64,
    /// Probes sent by all nodes.
    pub probes: u64,
    /// Calls handed back.
    pub hand_backs: u64,
    /// Further attempts.
    pub retries: u64,
    /// Hedges.
    pub hedges: u64,
    /// Attempts for each call.
    pub attempts_per_call: f64,
    /// Processor time of the whole process for each call in µs, stand-ins included.
    pub cpu_us_per_call: f64,
    /// Processor time of all nodes for each call in µs: entry and guard together.
    pub node_cpu_us_per_call: f64,
    /// Most attempts for each call at one level of a chain; 0 without a chain.
    pub attempts_per_call_max_level: f64,
    /// Calls without an answer by outcome and reason.
    pub reasons: BTreeMap<String, u64>,
    /// Windows of time.
    pub windows: Vec<Window>,
    /// The distribution, for the report.
    #[serde(skip)]
    pub cdf: Vec<(f64, f64)>,
}

/// Runs `scenario` under `balancer`.
///
/// # Errors
///
/// What kept the deployment from starting.
pub async fn run(
    scenario: &Scenario,
    balancer: Balancer,
    tuning: Tuning,
    seed: u64,
) -> Result<BalancerResult, String> {
    let plan = harness_plan(scenario, balancer, tuning, seed)?;
    let budget = plan.observe.bytes_per_s;
    let services = plan.services.iter().map(|service| service.name.clone()).collect::<Vec<_>>();
    // The last level of a chain holds what the chain can carry.
    let capacity_per_s = plan.capacity_per_s() / scenario.levels as f64;
    let harness = Arc::new(Harness::start(plan).await.map_err(|error| error.to_string())?);
    let nodes = harness.nodes();
    let entries = Entries::new(nodes.iter().map(|(_, node)| node.entry_address).collect());
    let context = FaultContext { harness: harness.clone(), entries: entries.clone() };
    let threads =
        (0..CALLER_THREADS).map(|n| RuntimeThread::start(&format!("callers-{n}"))).collect::<Vec<_>>();
    let callers = threads.iter().map(|_| Callers::new(entries.clone())).collect::<Vec<_>>();
    let cpu_before_s = (cpu_s(), node_cpu_s());
    let started = StdInstant::now();
    let mut disturbing = JoinSet::new();
    start_faults(&mut disturbing, scenario, &context);
    if let Some(noise) = scenario.noise {
        start_noise(&mut disturbing, noise, &harness, seed);
    }
    let sampler = tokio::spawn(sample_observing(harness.clone(), scenario.seconds));
    call(scenario, &threads, &callers, &services, capacity_per_s, seed).await;
    let length_s = scenario.seconds as f64;
    log::debug!("{} took {:?}", scenario.name, started.elapsed());
    let cpu_spent_s = (cpu_s() - cpu_before_s.0, node_cpu_s() - cpu_before_s.1);
    let (observe_max, observe_mean) = sampler.await.unwrap_or((0, 0.0));
    disturbing.shutdown().await;
    let finished = callers.iter().flat_map(|callers| callers.finished().clone()).collect::<Vec<_>>();
    Ok(summarise(Measured {
        scenario,
        harness: &harness,
        finished: &finished,
        capacity_per_s,
        length_s,
        cpu_spent_s,
        observe_max,
        observe_mean,
        budget,
    }))
}

fn node_cpu_s() -> f64 {
    threads_cpu_s(|name| {
        !name.starts_with("targets") && !name.starts_with("callers") && !name.starts_with("laurelstall")
    })
}

struct Measured<'a> {
    scenario: &'a Scenario,
    harness: &'a Harness,
    finished: &'a [Finished],
    capacity_per_s: f64,
    length_s: f64,
    cpu_spent_s: (f64, f64),
    observe_max: u64,
    observe_mean: f64,
    budget: u64,
}

fn summarise(measured: Measured<'_>) -> BalancerResult {
    let finished = measured.finished;
    let totals = Totals::count(finished, &measured.harness.records);
    let latency = latency_of(finished);
    let mut refused = Latency::new();
    for call in finished.iter().filter(|call| call.seen == Seen::NotRun) {
        refused.add_us(call.latency_us);
    }
    let counted = |name: &str| measured.harness.count(name);
    let calls = totals.calls.max(1) as f64;
    BalancerResult {
        p50_ms: latency.percentile_ms(50.0),
        p99_ms: latency.percentile_ms(99.0),
        p999_ms: latency.percentile_ms(99.9),
        goodput_per_s: totals.answered as f64 / measured.length_s,
        capacity_per_s: measured.capacity_per_s,
        refused_p99_ms: refused.percentile_ms(99.0),
        observe_bytes_per_s_max: measured.observe_max,
        observe_budget_bytes_per_s: measured.budget,
        observe_bytes_per_s_mean: measured.observe_mean,
        probes: counted("probes"),
        hand_backs: counted("hand_backs"),
        retries: counted("retries"),
        hedges: counted("hedges"),
        attempts_per_call: counted("attempts") as f64 / counted("calls").max(1) as f64,
        cpu_us_per_call: measured.cpu_spent_s.0 * 1e6 / calls,
        node_cpu_us_per_call: measured.cpu_spent_s.1 * 1e6 / calls,
        attempts_per_call_max_level: measured
            .harness
            .attempts_per_call_max_level(measured.scenario.levels, totals.calls),
        reasons: reasons(finished),
        windows: windows(finished, measured.scenario.seconds),
        cdf: latency.cdf(),
        totals,
    }
}

fn reasons(finished: &[Finished]) -> BTreeMap<String, u64> {
    let mut reasons = BTreeMap::new();
    for call in finished.iter().filter(|call| call.seen != Seen::Answered) {
        *reasons.entry(format!("{:?}: {}", call.seen, call.reason)).or_default() += 1;
    }
    reasons
}

fn windows(finished: &[Finished], seconds: u64) -> Vec<Window> {
    let of = |index: u64| {
        let from_ms = index * WINDOW_MS;
        let is_in = |call: &&Finished| (from_ms..from_ms + WINDOW_MS).contains(&(call.planned_us / 1_000));
        let calls = finished.iter().filter(is_in).collect::<Vec<_>>();
        let count = |seen: &[Seen]| calls.iter().filter(|call| seen.contains(&call.seen)).count() as u64;
        Window {
            from_ms,
            p99_ms: latency_of(calls.iter().copied()).percentile_ms(99.0),
            answered: count(&[Seen::Answered]),
            failed: count(&[Seen::Failed, Seen::Unknown, Seen::Lost, Seen::Wrong]),
            not_run: count(&[Seen::NotRun]),
        }
    };
    (0..seconds * 1_000 / WINDOW_MS).map(of).collect()
}

fn harness_plan(
    scenario: &Scenario,
    balancer: Balancer,
    tuning: Tuning,
    seed: u64,
) -> Result<HarnessPlan, String> {
    let plan = HarnessPlan::deployment(&scenario.deployment, scenario.services, scenario.service_mean_ms);
    let mut plan = plan.ok_or("no such deployment")?;
    if scenario.levels > 1 {
        let first = plan.services[0].clone();
        let level = |number| ServicePlan { name: format!("level-{number}"), targets: 2, ..first.clone() };
        plan.services = (1..=scenario.levels).map(level).collect();
    }
    for service in &mut plan.services {
        service.limits = tuning.limits;
    }
    if let Some(hedge_after_ms) = tuning.hedge_after_ms {
        plan.program = format!(
            "let parts = path.split(\"/\");\nif method == \"GET\" {{ #{{ service: parts[1], repeat: true, \
             hedge_after_ms: {hedge_after_ms} }} }} else {{ #{{ service: parts[1] }} }}"
        );
    }
    plan.observe.bytes_per_s = plan.observe.bytes_per_s * tuning.observe_percent / 100;
    plan.observe.probes_per_s = plan.observe.probes_per_s * tuning.observe_percent / 100;
    plan.chooser = balancer.maker();
    plan.is_baseline = balancer != Balancer::Laurelstall;
    plan.decisions = if tuning.has_decision_log { DecisionFormat::Human } else { DecisionFormat::Off };
    plan.seed = seed;
    Ok(plan)
}

async fn call(
    scenario: &Scenario,
    threads: &[RuntimeThread],
    callers: &[Arc<Callers>],
    services: &[String],
    capacity_per_s: f64,
    seed: u64,
) {
    let first_level = if scenario.levels > 1 { &services[..1] } else { services };
    let mut running = Vec::new();
    for (start_ms, length_ms, load_percent) in scenario.stretches() {
        for (number, (thread, callers)) in threads.iter().zip(callers).enumerate() {
            let plan = CallPlan {
                services: first_level.to_vec(),
                rate_per_s: capacity_per_s * load_percent as f64 / 100.0 / threads.len() as f64,
                start: std::time::Duration::from_millis(start_ms),
                length: std::time::Duration::from_millis(length_ms),
                write_share: scenario.write_percent as f64 / 100.0,
                seed: (seed * 1_000 + start_ms) * 10 + number as u64,
                chain: services.iter().skip(1).take(scenario.levels - 1).cloned().collect(),
            };
            let callers = callers.clone();
            running.push(thread.handle().spawn(async move {
                sleep(Duration::from_millis(start_ms)).await;
                callers.run(&plan).await;
            }));
        }
    }
    futures_util::future::join_all(running).await;
}

fn start_faults(running: &mut JoinSet<()>, scenario: &Scenario, context: &FaultContext) {
    for (plan, fault) in scenario.fault_objects() {
        let context = context.clone();
        running.spawn(async move {
            sleep(Duration::from_millis(plan.at_ms)).await;
            let started = StdInstant::now();
            fault.start(&context).await;
            let left = Duration::from_millis(plan.for_ms).saturating_sub(started.elapsed());
            sleep(left).await;
            fault.end(&context).await;
        });
    }
}

fn start_noise(running: &mut JoinSet<()>, noise: Noise, harness: &Harness, seed: u64) {
    let mut targets = harness.targets.all();
    targets.sort_by(|a, b| a.name().cmp(b.name()));
    for (index, target) in targets.into_iter().enumerate() {
        let mut rng = SmallRng::seed_from_u64(seed * 31 + index as u64);
        running.spawn(async move {
            loop {
                let quiet_ms = -(1.0 - rng.random::<f64>()).ln() * noise.every_ms as f64;
                sleep(Duration::from_micros((quiet_ms * 1_000.0) as u64)).await;
                let factor = rng.random_range(noise.factor_min..=noise.factor_max);
                let ratio = noise.longest_ms as f64 / noise.shortest_ms as f64;
                let stolen_ms = noise.shortest_ms as f64 * ratio.powf(rng.random::<f64>());
                target.change(|behaviour| behaviour.speed = 1.0 / factor);
                sleep(Duration::from_micros((stolen_ms * 1_000.0) as u64)).await;
                target.change(|behaviour| behaviour.speed = 1.0);
            }
        });
    }
}

/// What all nodes had spent on observing between two instants.
struct Sample {
    before: StdInstant,
    after: StdInstant,
    spent: Vec<u64>,
}

/// Most bytes any node spent on observing in any second, and the mean over nodes.
///
/// Only stretches that surely lie within one second count, from before the first reading to after
/// the last, so a sampler that wakes up late finds nothing that was not there.
async fn sample_observing(harness: Arc<Harness>, seconds: u64) -> (u64, f64) {
    let samples_per_s = (1_000 / SAMPLE_MS) as usize;
    let mut samples: Vec<Sample> = Vec::new();
    for _ in 0..seconds * samples_per_s as u64 {
        sleep(Duration::from_millis(SAMPLE_MS)).await;
        let nodes = harness.nodes();
        let before = StdInstant::now();
        let spent = nodes.iter().map(|(_, node)| node.entry.context.observer.usage().bytes).collect();
        samples.push(Sample { before, after: StdInstant::now(), spent });
    }
    let mut grown = Vec::new();
    for (index, first) in samples.iter().enumerate() {
        let is_within = |last: &&Sample| last.after.duration_since(first.before) <= Duration::from_secs(1);
        let is_same_fleet = |last: &&Sample| last.spent.len() == first.spent.len();
        let last = samples[index..].iter().take_while(is_within).filter(is_same_fleet).last();
        let pairs = last.into_iter().flat_map(|last| first.spent.iter().zip(&last.spent));
        grown.extend(pairs.map(|(from, to)| to.saturating_sub(*from)));
    }
    let mean = grown.iter().sum::<u64>() as f64 / grown.len().max(1) as f64;
    (grown.iter().max().copied().unwrap_or(0), mean)
}
